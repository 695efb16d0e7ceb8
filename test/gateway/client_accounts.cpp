/// \file client_accounts.cpp
/// Client accounts in a fleet in virtual time: connections of one account each, keys that are removed,
/// and instances that cannot confirm that a key is still valid.
#include "caller_connection.hpp"
#include "line_codec.hpp"
#include "platform_records.hpp"
#include "support/event_loop.hpp"
#include "support/gateway_fleet.hpp"
#include "support/raw_peer.hpp"
#include "support/unlimited_callers.hpp"

#include "anvilmount/observe/event_log.hpp"
#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdio>
#include <deque>

#include <unistd.h>

using namespace anvilmount;
using namespace std::chrono_literals;
using test::raw_peer;
using kind = gateway::statement_kind;
using gateway::statement_permit;

namespace {

constexpr milliseconds limit{5000};
const std::string key_one = "k-5f0c1be0a77d";
const std::string key_two = "k-91d2e6c3b048";

/// Instances with the accounts "one" and "two", whose databases need a key, but for "open".
struct account_fleet {
    test::gateway_fleet m_fleet;

    explicit account_fleet(int instances, std::optional<milliseconds> revocation_limit = limit,
                           const endpoint& forwarding = {.m_address = "10.1.0.3", .m_port = 0})
        : m_fleet(0, 1, forwarding) {
        m_fleet.m_revocation_limit = revocation_limit;
        auto& configuration = m_fleet.m_configuration;
        configuration.m_accounts["one"] = {};
        configuration.m_accounts["two"] = {};
        configuration.m_account_keys = {{key_one, "one"}, {key_two, "two"}};
        configuration.m_routes["open"] = configuration.m_routes["scan"];
        configuration.m_routes["open"].m_is_public = true;
        m_fleet.m_account_keys_from[7] = {{key_two, "two"}};
        m_fleet.follow_configuration();
        m_fleet.put_configuration(5);
        for (int number = 1; number <= instances; ++number) {
            m_fleet.start(number);
        }
        m_fleet.run_for(5000ms);
    }

    statement_permit check(int number, const std::string& key = key_one,
                           const std::string& account = "one") {
        return m_fleet.instance(number).check_statement("pay", key, account);
    }
};

/// Checks that the session of `peer` ended with `last_answer`: nothing of it is served any more, and a peer
/// that goes on sending statements is disconnected.
void check_session_has_ended(raw_peer& peer, test::gateway_fleet& fleet, const std::string& last_answer) {
    const std::string announcement = "ERROR BUSY the session has ended; connect again\r\n";
    BOOST_TEST(last_answer.ends_with("READY I -\r\n" + announcement));
    const std::size_t runs = fleet.m_upstreams.m_runs.size();
    BOOST_TEST(peer.exchange("QUERY after WRITE c\r\n", fleet) == "READY I -\r\n" + announcement);
    for (int number = 0; number < 8; ++number) {
        BOOST_TEST(!peer.is_closed());
        BOOST_TEST(peer.exchange("QUERY after WRITE c\r\n", fleet).starts_with("READY I -\r\n"));
    }
    BOOST_TEST(peer.is_closed());
    BOOST_TEST(fleet.m_upstreams.m_runs.size() == runs);
}

/// Writes the log to a file while it exists.
class captured_log {
public:
    captured_log() : m_file(std::tmpfile()), m_standard_error(dup(STDERR_FILENO)) {
        BOOST_REQUIRE(m_file != nullptr);
        dup2(fileno(m_file), STDERR_FILENO);
        start_event_log({.m_process_name = "test", .m_threshold = "debug", .m_to_standard_output = false});
    }
    ~captured_log() {
        dup2(m_standard_error, STDERR_FILENO);
        close(m_standard_error);
        std::fclose(m_file);
    }
    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;

    [[nodiscard]] std::string text() const {
        std::string read;
        std::array<char, 4096> chunk{};
        std::rewind(m_file);
        for (std::size_t size = 0; (size = std::fread(chunk.data(), 1, chunk.size(), m_file)) > 0;) {
            read.append(chunk.data(), size);
        }
        return read;
    }

private:
    std::FILE* m_file;
    int m_standard_error;
};

/// Sends one read after the other; each names its account.
class busy_caller {
public:
    busy_caller(gateway::gateway& instance, std::string account)
        : m_account(std::move(account)), m_caller(instance, "scan", m_account) {}

    void step() {
        if (m_caller.m_answers.size() == m_sent) {
            ++m_sent;
            m_caller.send(kind::read, "READ " + m_account);
        }
    }

    std::string m_account;
    test::test_caller m_caller;
    std::size_t m_sent{0};
};

void check_connections_by_account(const test::fake_upstreams& upstreams) {
    std::size_t with_account = 0;
    for (const test::run_statement& each : upstreams.m_runs) {
        if (each.m_text.starts_with("READ ")) {
            ++with_account;
            BOOST_TEST(each.m_account == each.m_text.substr(5));
        }
    }
    BOOST_TEST(with_account > 0U);
}

}

/// Guards against a connection that an upstream knows as one account's and that serves another's work, and
/// against work that is forgotten because its account never gets a connection.
BOOST_AUTO_TEST_CASE(work_of_many_accounts_on_few_connections_is_served_on_connections_of_their_own) {
    constexpr int accounts = 12;
    test::gateway_fleet fleet(1);
    fleet.m_configuration.m_services[{"orders"}].m_max_connections = 5;
    for (int number = 1; number <= accounts; ++number) {
        fleet.m_configuration.m_accounts["a" + std::to_string(number)] = {};
    }
    ++fleet.m_configuration.m_revision;
    fleet.instance(1).adopt_configuration(fleet.m_configuration);
    std::deque<busy_caller> callers;
    for (int number = 1; number <= accounts; ++number) {
        callers.emplace_back(fleet.instance(1), "a" + std::to_string(number));
    }
    for (int step = 0; step < 300; ++step) {
        for (busy_caller& each : callers) {
            each.step();
        }
        fleet.run_for(10ms);
    }
    check_connections_by_account(fleet.m_upstreams);
    for (const busy_caller& each : callers) {
        BOOST_TEST(each.m_caller.m_answers.size() > 20U);
        for (const gateway::answer& reply : each.m_caller.m_answers) {
            BOOST_TEST(reply.succeeded());
        }
    }
    // One for each work at most, beside the first of each upstream.
    const nlohmann::json state = fleet.instance(1).state_dump();
    BOOST_TEST(state.at("metrics").at("counters").value("upstream_connections_opened", 0U) <=
               fleet.m_upstreams.m_runs.size() + 3U);
    for (const auto& [id, upstream] : fleet.m_upstreams.registry()) {
        BOOST_TEST(fleet.m_upstreams.at(id.m_text).m_peak_open <= 5);
    }
}

/// Guards against connections that are opened and closed in a loop while there is room for all accounts.
BOOST_AUTO_TEST_CASE(accounts_that_alternate_keep_their_connections) {
    account_fleet accounts(1);
    test::gateway_fleet& fleet = accounts.m_fleet;
    test::test_caller one(fleet.instance(1), "pay", "one");
    test::test_caller two(fleet.instance(1), "pay", "two");
    const auto opened = [&] {
        return fleet.instance(1)
            .state_dump()
            .at("metrics")
            .at("counters")
            .value("upstream_connections_opened", 0);
    };
    int before = 0;
    for (int round = 0; round < 40; ++round) {
        one.send(kind::read, "READ one");
        fleet.run_for(60ms);
        two.send(kind::read, "READ two");
        fleet.run_for(60ms);
        before = round == 0 ? opened() : before;
    }
    BOOST_TEST(opened() == before);
    check_connections_by_account(fleet.m_upstreams);
    BOOST_TEST(one.m_answers.size() + two.m_answers.size() == 80U);
}

/// Guards against spare connections without account that are opened whenever an account's are in use, and
/// closed again because nothing uses them.
BOOST_AUTO_TEST_CASE(a_busy_account_causes_no_connections_without_account) {
    account_fleet accounts(1);
    test::gateway_fleet& fleet = accounts.m_fleet;
    test::test_caller caller(fleet.instance(1), "pay", "one");
    const auto opened = [&] {
        return fleet.instance(1)
            .state_dump()
            .at("metrics")
            .at("counters")
            .value("upstream_connections_opened", 0);
    };
    int before = 0;
    std::size_t sent = 0;
    for (int step = 0; step < 2000; ++step) {
        if (caller.m_answers.size() == sent) {
            ++sent;
            caller.send(kind::read, "READ one");
        }
        fleet.run_for(10ms);
        before = step == 100 ? opened() : before;
    }
    BOOST_TEST(opened() == before);
    BOOST_TEST(sent > 500U);
}

/// Guards against the account of a transaction's connection being lost on the way to the pool.
BOOST_AUTO_TEST_CASE(transactions_run_on_connections_of_their_account) {
    account_fleet accounts(1);
    test::gateway_fleet& fleet = accounts.m_fleet;
    for (const char* account : {"one", "two", "one"}) {
        test::test_caller caller(fleet.instance(1), "pay", account);
        caller.send(kind::begin, "BEGIN");
        caller.send(kind::read, std::string("READ ") + account);
        caller.send(kind::commit, "COMMIT");
        fleet.run_for(200ms);
        BOOST_REQUIRE(caller.m_answers.size() == 3U);
        BOOST_TEST(caller.m_answers.back().succeeded());
    }
    check_connections_by_account(fleet.m_upstreams);
}

BOOST_AUTO_TEST_CASE(a_session_needs_an_account_that_is_known_unless_its_route_is_public) {
    account_fleet accounts(1);
    gateway::gateway& instance = accounts.m_fleet.instance(1);
    BOOST_TEST(
        (test::test_caller(instance, "pay", "three").m_rejected == result_code::account_unconfirmed));
    BOOST_TEST((test::test_caller(instance, "pay").m_rejected == result_code::account_unconfirmed));
    BOOST_TEST(test::test_caller(instance, "open").is_open());
    BOOST_TEST(!instance.find_account("pay", "unknown"));
    BOOST_TEST(!instance.find_account("pay", "one"));
    BOOST_TEST((instance.find_account("pay", key_two) == "two"));
    BOOST_TEST((instance.find_account("open", "unknown") == ""));
    BOOST_TEST((accounts.check(1, key_two, "one") == statement_permit::account_changed));
}

BOOST_AUTO_TEST_CASE(without_strict_revocation_an_instance_that_hears_the_store_refuses_a_removed_key) {
    account_fleet accounts(3, std::nullopt);
    accounts.m_fleet.put_configuration(7);
    accounts.m_fleet.run_for(1000ms);
    for (int number = 1; number <= 3; ++number) {
        BOOST_TEST((accounts.check(number) == statement_permit::unauthenticated));
        BOOST_TEST((accounts.check(number, key_two, "two") == statement_permit::granted));
    }
}

/// Guards against an instance that goes on with a key that it has not heard the removal of.
BOOST_AUTO_TEST_CASE(a_key_removed_while_the_store_is_silent_is_refused_in_time_on_every_instance) {
    account_fleet accounts(3);
    for (int number = 1; number <= 3; ++number) {
        BOOST_TEST((accounts.check(number) == statement_permit::granted));
    }
    accounts.m_fleet.m_store.m_unreachable = true;
    accounts.m_fleet.put_configuration(7);
    accounts.m_fleet.run_for(limit);
    for (int number = 1; number <= 3; ++number) {
        BOOST_TEST((accounts.check(number) == statement_permit::unconfirmed));
        BOOST_TEST((accounts.m_fleet.instance(number).check_statement("open", "anyone", "") ==
                    statement_permit::granted));
    }
    accounts.m_fleet.m_store.m_unreachable = false;
    accounts.m_fleet.run_for(6000ms);
    for (int number = 1; number <= 3; ++number) {
        BOOST_TEST((accounts.check(number) == statement_permit::unauthenticated));
        BOOST_TEST((accounts.check(number, key_two, "two") == statement_permit::granted));
    }
}

/// The time of the proof counts suspended time: nothing has run here when the instance wakes.
BOOST_AUTO_TEST_CASE(a_frozen_instance_refuses_on_waking) {
    account_fleet accounts(2);
    BOOST_TEST((accounts.check(1) == statement_permit::granted));
    accounts.m_fleet.m_store.m_unreachable = true;
    accounts.m_fleet.m_clock.run_for(limit);
    BOOST_TEST((accounts.check(1) == statement_permit::unconfirmed));
}

/// Guards against heartbeats so rare that one lost answer refuses the work of all accounts.
BOOST_AUTO_TEST_CASE(the_proof_outlasts_a_lost_answer_in_a_large_fleet) {
    constexpr int instances = 26;
    account_fleet accounts(instances);
    accounts.m_fleet.run_for(10s);
    for (int step = 0; step < 600; ++step) {
        // Not a multiple of any interval, so that it hits heartbeats at each of their phases.
        accounts.m_fleet.m_store.m_loses_change_answers = step % 127 >= 107;
        accounts.m_fleet.run_for(50ms);
        for (int number = 1; number <= instances; ++number) {
            BOOST_TEST_CONTEXT("instance " << number << " step " << step) {
                BOOST_TEST((accounts.check(number) == statement_permit::granted));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_configuration_that_is_older_brings_no_key_back) {
    account_fleet accounts(1);
    accounts.m_fleet.put_configuration(7);
    accounts.m_fleet.run_for(1000ms);
    accounts.m_fleet.put_configuration(6);
    accounts.m_fleet.run_for(2000ms);
    BOOST_TEST((accounts.check(1) == statement_permit::unauthenticated));
}

BOOST_AUTO_TEST_CASE(a_statement_without_a_confirmed_account_does_not_run) {
    account_fleet accounts(1);
    test::gateway_fleet& fleet = accounts.m_fleet;
    test::test_caller caller(fleet.instance(1), "pay", "one");
    caller.send_checked(kind::write, "WRITE a", statement_permit::unconfirmed);
    BOOST_REQUIRE(caller.m_answers.size() == 1U);
    BOOST_TEST((caller.m_answers[0].m_code == result_code::account_unconfirmed));
    BOOST_TEST((caller.m_answers[0].m_state == gateway::session_state::idle));
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE b");
    fleet.run_for(100ms);
    caller.send_checked(kind::commit, "COMMIT", statement_permit::unconfirmed);
    BOOST_REQUIRE(caller.m_answers.size() == 4U);
    BOOST_TEST((caller.m_answers[3].m_code == result_code::transaction_lost));
    BOOST_TEST((caller.m_answers[3].m_state == gateway::session_state::failed));
    caller.send_checked(kind::rollback, "ROLLBACK", statement_permit::unconfirmed);
    BOOST_REQUIRE(caller.m_answers.size() == 5U);
    BOOST_TEST(caller.m_answers[4].succeeded());
    BOOST_TEST(caller.is_open());
    for (const test::run_statement& each : fleet.m_upstreams.m_runs) {
        BOOST_TEST(each.m_text == "WRITE b");
    }
}

BOOST_AUTO_TEST_CASE(a_session_whose_key_is_gone_rolls_back_and_closes) {
    account_fleet accounts(1);
    test::gateway_fleet& fleet = accounts.m_fleet;
    test::test_caller caller(fleet.instance(1), "pay", "one");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE b");
    fleet.run_for(100ms);
    caller.send_checked(kind::commit, "COMMIT", statement_permit::unauthenticated);
    BOOST_REQUIRE(caller.m_answers.size() == 3U);
    BOOST_TEST((caller.m_answers[2].m_code == result_code::unauthenticated));
    BOOST_TEST((caller.m_answers[2].m_state == gateway::session_state::idle));
    BOOST_TEST(!caller.is_open());
    fleet.run_for(100ms);
    BOOST_TEST(fleet.m_upstreams.m_runs.back().m_text == "WRITE b");
}

BOOST_AUTO_TEST_CASE(the_lines_of_a_caller_with_a_key_that_is_unknown_removed_or_unconfirmed) {
    test::event_loop loop;
    account_fleet accounts(1);
    test::gateway_fleet& fleet = accounts.m_fleet;
    raw_peer unknown;
    line_protocol::serve_caller(loop.m_loop, unknown.served_end(), fleet.instance(1),
                                test::unlimited_callers(loop));
    BOOST_TEST(unknown.exchange("START pay one\r\n", fleet).starts_with("ERROR UNAUTHED "));
    BOOST_TEST(unknown.is_closed());

    raw_peer open;
    line_protocol::serve_caller(loop.m_loop, open.served_end(), fleet.instance(1),
                                test::unlimited_callers(loop));
    BOOST_TEST(open.exchange("START open anyone\r\n", fleet) == "READY I -\r\n");

    raw_peer caller;
    line_protocol::serve_caller(loop.m_loop, caller.served_end(), fleet.instance(1),
                                test::unlimited_callers(loop));
    BOOST_TEST(caller.exchange("START pay " + key_one + "\r\n", fleet) == "READY I -\r\n");
    BOOST_TEST(caller.exchange("QUERY q1 READ one\r\n", fleet).starts_with("COMPLETE proof-q1\r\nREADY I"));
    BOOST_TEST(caller.exchange("QUERY q2 BEGIN\r\nQUERY q3 WRITE b\r\n", fleet).find("READY T") !=
               std::string::npos);

    fleet.m_store.m_unreachable = true;
    fleet.run_for(limit);
    const std::string inside = caller.exchange("QUERY q4 COMMIT\r\n", fleet);
    BOOST_TEST(inside.starts_with("ERROR ABORTED "));
    BOOST_TEST(inside.find("READY E") != std::string::npos);
    BOOST_TEST(caller.exchange("QUERY q5 ROLLBACK\r\n", fleet).find("READY I") != std::string::npos);
    const std::string outside = caller.exchange("QUERY q6 READ one\r\n", fleet);
    BOOST_TEST(outside.starts_with("ERROR BUSY "));
    BOOST_TEST(outside.find("READY I") != std::string::npos);
    BOOST_TEST(open.exchange("QUERY q1 READ x\r\n", fleet).starts_with("COMPLETE proof-q1\r\n"));

    fleet.m_store.m_unreachable = false;
    fleet.run_for(5000ms);
    BOOST_TEST(caller.exchange("QUERY q7 READ one\r\n", fleet).starts_with("COMPLETE proof-q7\r\n"));
    fleet.put_configuration(7);
    fleet.run_for(1000ms);
    const std::string removed = caller.exchange("QUERY q8 READ one\r\n", fleet);
    BOOST_TEST(removed.starts_with("ERROR UNAUTHED "));
    check_session_has_ended(caller, fleet, removed);
}

/// Guards against a write that is said not to have run since a BEGIN came before it, though that BEGIN was
/// refused and the write stood alone.
BOOST_AUTO_TEST_CASE(a_write_after_a_refused_begin_is_in_doubt_when_its_serving_instance_is_lost) {
    constexpr int instances = 12;
    test::event_loop loop;
    account_fleet accounts(instances, limit, test::test_address(0));
    test::gateway_fleet& fleet = accounts.m_fleet;
    std::string received;
    std::vector<std::unique_ptr<tcp_listener>> listeners;
    std::vector<std::shared_ptr<tcp_stream>> streams;
    int forwarding = 0;
    for (int number = 1; number <= instances; ++number) {
        auto listener = tcp_listener::listen(loop.m_loop, test::test_address(number), [&](int fd) {
            streams.push_back(tcp_stream::adopt(loop.m_loop, fd,
                                                {.m_on_bytes =
                                                     [&](std::string_view bytes) {
                                                         received.append(bytes);
                                                         if (bytes.starts_with("START")) {
                                                             streams.back()->write("READY I -\r\n");
                                                         }
                                                     },
                                                 .m_on_closed = [](close_reason) {}}));
        });
        listeners.push_back(std::move(listener.value()));
        forwarding = fleet.instance(number).forwarding_target("pay", "one") ? number : forwarding;
    }
    BOOST_REQUIRE(forwarding > 0);
    raw_peer caller;
    line_protocol::serve_caller(loop.m_loop, caller.served_end(), fleet.instance(forwarding),
                                test::unlimited_callers(loop));
    caller.write("START pay " + key_one + "\r\n");
    loop.run_until([&] { return caller.received() == "READY I -\r\n"; });
    fleet.m_store.m_unreachable = true;
    fleet.run_for(limit);
    caller.write("QUERY q1 BEGIN\r\n");
    loop.run_until([&] {
        (void)caller.received();
        return received.find("REFUSED q1 BUSY\r\n") != std::string::npos;
    });
    fleet.m_store.m_unreachable = false;
    fleet.run_for(6000ms);
    caller.write("QUERY q2 WRITE b\r\n");
    loop.run_until([&] {
        (void)caller.received();
        return received.find("QUERY q2 WRITE b\r\n") != std::string::npos;
    });
    streams.back()->close();
    loop.run_until([&] { return caller.received().find("connect again") != std::string::npos; });
    BOOST_TEST_CONTEXT(caller.received()) {
        BOOST_TEST(caller.received().find("ERROR INDOUBT ") != std::string::npos);
    }
}

/// Guards against a key that reaches another instance, the log, the metrics or the state dump, and against
/// a forwarded statement that is not checked where it arrived.
BOOST_AUTO_TEST_CASE(a_key_never_leaves_the_instance_that_received_it) {
    constexpr int instances = 12;
    const captured_log log;
    test::event_loop loop;
    account_fleet accounts(instances, limit, test::test_address(0));
    test::gateway_fleet& fleet = accounts.m_fleet;
    std::string received;
    std::vector<std::unique_ptr<tcp_listener>> listeners;
    std::vector<std::shared_ptr<tcp_stream>> streams;
    int forwarding = 0;
    for (int number = 1; number <= instances; ++number) {
        auto listener = tcp_listener::listen(loop.m_loop, test::test_address(number), [&](int fd) {
            streams.push_back(tcp_stream::adopt(loop.m_loop, fd,
                                                {.m_on_bytes =
                                                     [&](std::string_view bytes) {
                                                         received.append(bytes);
                                                         if (bytes.starts_with("START")) {
                                                             streams.back()->write("READY I -\r\n");
                                                         }
                                                     },
                                                 .m_on_closed = [](close_reason) {}}));
        });
        listeners.push_back(std::move(listener.value()));
        forwarding = fleet.instance(number).forwarding_target("pay", "one") ? number : forwarding;
    }
    BOOST_REQUIRE(forwarding > 0);
    raw_peer stranger;
    line_protocol::serve_caller(loop.m_loop, stranger.served_end(), fleet.instance(forwarding),
                                test::unlimited_callers(loop));
    BOOST_TEST(stranger.exchange("START pay k-of-nobody\r\n", fleet).starts_with("ERROR UNAUTHED "));

    raw_peer caller;
    line_protocol::serve_caller(loop.m_loop, caller.served_end(), fleet.instance(forwarding),
                                test::unlimited_callers(loop));
    const auto has_received = [&](const std::string& text) {
        loop.run_until([&] { return received.find(text) != std::string::npos; });
    };
    caller.exchange("START pay " + key_one + "\r\nQUERY q1 READ one\r\n", fleet);
    has_received("QUERY q1 READ one\r\n");
    BOOST_TEST(received.starts_with("START pay anvilmount/5/one\r\n"));
    fleet.m_store.m_unreachable = true;
    fleet.run_for(limit);
    caller.exchange("QUERY q2 WRITE a\r\nQUERY q3 ROLLBACK\r\n", fleet);
    has_received("QUERY q3 ROLLBACK\r\n");
    BOOST_TEST(received.find("REFUSED q2 BUSY\r\n") != std::string::npos);
    fleet.m_store.m_unreachable = false;
    fleet.put_configuration(7);
    fleet.run_for(6000ms);
    caller.exchange("QUERY q4 WRITE b\r\n", fleet);
    has_received("REFUSED q4 UNAUTHED\r\n");
    BOOST_TEST(received.find("WRITE") == std::string::npos);
    const std::string again = caller.exchange("START pay " + key_one + "\r\n", fleet);
    BOOST_TEST(again.find("ERROR MALFORMED ") != std::string::npos);

    // The configuration is cut off within a key.
    BOOST_TEST(!decode_configuration(R"({"version":8,"tenants":[{"name":"one","apiKeys":[")" + key_one));

    const std::string written = log.text();
    BOOST_TEST(written.find("configuration.unreadable") != std::string::npos);
    BOOST_TEST(written.find("caller.rejected") != std::string::npos);
    std::string dumps;
    for (int number = 1; number <= instances; ++number) {
        dumps += fleet.instance(number).state_dump().dump();
    }
    for (const std::string& key : {key_one, key_two, std::string("k-of-nobody")}) {
        BOOST_TEST(received.find(key) == std::string::npos);
        BOOST_TEST(written.find(key) == std::string::npos);
        BOOST_TEST(dumps.find(key) == std::string::npos);
    }
}

/// The serving instance judges a forwarded session by the account that its START names, and refuses the
/// statements that the forwarding instance refused.
BOOST_AUTO_TEST_CASE(the_serving_instance_of_a_forwarded_session) {
    test::event_loop loop;
    account_fleet accounts(1);
    test::gateway_fleet& fleet = accounts.m_fleet;
    const auto serve = [&](raw_peer& peer, const std::string& account) {
        line_protocol::serve_forwarded_caller(loop.m_loop, peer.served_end(), fleet.instance(1),
                                              test::unlimited_callers(loop));
        return peer.exchange(line_protocol::encode_forwarded_greeting("pay", 5, account), fleet);
    };
    raw_peer unknown;
    BOOST_TEST(serve(unknown, "three").starts_with("ERROR BUSY "));
    raw_peer unnamed;
    BOOST_TEST(serve(unnamed, "").starts_with("ERROR BUSY "));
    raw_peer peer;
    BOOST_TEST(serve(peer, "one") == "READY I -\r\n");
    BOOST_TEST(peer.exchange("QUERY q1 READ one\r\n", fleet).starts_with("COMPLETE proof-q1\r\n"));
    check_connections_by_account(fleet.m_upstreams);
    const std::string busy =
        peer.exchange(line_protocol::encode_refused_statement("q2", statement_permit::unconfirmed), fleet);
    BOOST_TEST(busy.starts_with("ERROR BUSY "));
    BOOST_TEST(busy.find("READY I") != std::string::npos);
    peer.exchange("QUERY q3 BEGIN\r\nQUERY q4 WRITE b\r\n", fleet);
    BOOST_TEST(
        peer.exchange(line_protocol::encode_refused_statement("q5", statement_permit::unconfirmed), fleet)
            .starts_with("ERROR ABORTED "));
    const std::string gone = peer.exchange(
        line_protocol::encode_refused_statement("q6", statement_permit::unauthenticated), fleet);
    BOOST_TEST(gone.starts_with("ERROR UNAUTHED "));
    check_session_has_ended(peer, fleet, gone);
}

/// One operation is taken for a statement outside transactions and one for a transaction, and given back
/// only if nothing was sent for it.
BOOST_AUTO_TEST_CASE(a_session_takes_one_operation_from_the_quota_and_gives_it_back_if_nothing_was_sent) {
    test::manual_clock clock;
    test::fake_upstreams upstreams(clock);
    upstreams.add_group("orders", 1);
    const gateway::clock_port port = clock.port();
    const gateway::upstream_connector connector = upstreams.connector("i1");
    metrics counters;
    confirmation_lease lease(10s);
    lease.renew(clock.now(), clock.now(), 1);
    gateway::group_service group({.m_name = {"orders"}, .m_limits = {.m_connections = 5, .m_slots = 3}},
                                 port, connector, lease, counters);
    gateway::database_route route{.m_group = {"orders"}, .m_latency_target = 400ms};
    route.m_class.m_rank = 1;
    route.m_class.m_deadline = 1000ms;
    int available = 2;
    int taken = 0;
    int returned = 0;
    const gateway::session_context context{
        .m_find_route = [&](const std::string&) { return &route; },
        .m_find_group = [&](const group_name&) { return &group; },
        .m_revision = [] { return std::uint64_t{1}; },
        .m_idle_transaction_timeout = [] { return milliseconds{0}; },
        .m_shared_statement_name = [](const std::string&, bool) { return std::string("a1"); },
        .m_take_quota = [&](const std::string& account) -> std::optional<steady_time> {
            BOOST_TEST(account == "one");
            if (taken == available) {
                return clock.now() + 70ms;
            }
            ++taken;
            return std::nullopt;
        },
        .m_return_quota = [&](const std::string&) { ++returned; },
        .m_clock = &port,
        .m_metrics = &counters};
    std::vector<gateway::answer> answers;
    const auto session = std::make_shared<gateway::caller_session>(
        1, "pay", "one", context,
        gateway::caller_session::outputs{
            .m_answer = [&](const gateway::answer& reply) { answers.push_back(reply); },
            .m_close = [](gateway::session_end) {}});
    const auto run = [&](kind what, const std::string& text) {
        session->on_statement({.m_id = "q", .m_kind = what, .m_text = text});
        for (int step = 0; step < 120; ++step) {
            clock.run_for(10ms);
            group.tick();
        }
        return answers.back();
    };
    // No upstream is known: nothing is sent.
    BOOST_TEST(!run(kind::read, "READ 1").succeeded());
    BOOST_TEST(taken == 1);
    BOOST_TEST(returned == 1);
    BOOST_TEST(run(kind::begin, "BEGIN").succeeded());
    BOOST_TEST(taken == 1);
    BOOST_TEST(!run(kind::read, "READ 1").succeeded());
    BOOST_TEST(taken == 2);
    BOOST_TEST(returned == 2);
    BOOST_TEST(run(kind::rollback, "ROLLBACK").succeeded());
    // The quota is used up.
    const gateway::answer refused = run(kind::read, "READ 1");
    BOOST_TEST((refused.m_code == result_code::quota_exceeded));
    BOOST_TEST(refused.m_reason.find("retry in 70 ms") != std::string::npos);
    BOOST_TEST(run(kind::begin, "BEGIN").succeeded());
    BOOST_TEST((run(kind::read, "READ 1").m_code == result_code::quota_exceeded));
    BOOST_TEST((answers.back().m_state == gateway::session_state::failed));
    BOOST_TEST(run(kind::rollback, "ROLLBACK").succeeded());
    BOOST_TEST(returned == 2);
    session->on_disconnect();
}
