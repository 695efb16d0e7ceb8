/// \file relay_faults.cpp
/// Network faults between instances and upstreams, injected by a relay in front of each upstream: late
/// responses, half-open connections, stalls and disconnects. Guards against acknowledged writes that are
/// lost and responses that reach the wrong request.
#include "load/mixed_load.hpp"
#include "load/pg_session.hpp"
#include "support/promises.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace std::chrono_literals;
using test::check_writes_during_fault;
using test::fleet;

namespace {

struct network_fault {
    const char* m_name;
    const char* m_begin;
    const char* m_end;
};

constexpr network_fault faults[] = {
    {"responses delayed by 250 ms", R"({"answer_delay_ms":250})", R"({"answer_delay_ms":0})"},
    {"all traffic delayed by 100 ms", R"({"delay_ms":100})", R"({"delay_ms":0})"},
    {"traffic stalled", R"({"stall":true})", R"({"stall":false})"},
    {"responses dropped", R"({"drop_answers":true})", R"({"drop_answers":false})"},
    {"connections cut", R"({"cut":true})", R"({"cut":false})"},
    {"connections reset and refused", R"({"refuse":true})", R"({"refuse":false})"},
};

/// Returns how many statements of the first instance are "waiting" or "running" at a home.
int statements(const fleet& all, const char* what) {
    int sum = 0;
    const nlohmann::json dump = all.dump();
    for (const auto& shard : dump["shards"]) {
        for (const auto& home : shard["homes"]) {
            for (const auto& rank : home["ranks"]) {
                sum += rank[what].get<int>();
            }
        }
    }
    return sum;
}

/// Sends `sql`, so that the first instance of `all`, which has one slot, finds at once that the slot is
/// free for it and that the upstream has closed all connections. Returns the error, if any.
std::string error_after_connections_ended(fleet& all, standin::pg_session& session,
                                          const std::string& sql) {
    standin::pg_session read(all.caller(), "orders");
    BOOST_REQUIRE(PQsendQuery(read.native(), "SELECT pg_sleep(1)") == 1);
    BOOST_REQUIRE(test::eventually([&] { return statements(all, "running") == 1; }));
    BOOST_REQUIRE(PQsendQuery(session.native(), sql.c_str()) == 1);
    BOOST_REQUIRE(test::eventually([&] { return statements(all, "waiting") == 1; }));
    all.instance(0).suspend();
    std::this_thread::sleep_for(1500ms);
    all.relay_fault(0, R"({"cut":true})");
    all.relay_fault(0, R"({"cut":false})");
    all.instance(0).signal(SIGCONT);
    PGresult* read_result = PQgetResult(read.native());
    BOOST_TEST(PQresultStatus(read_result) == PGRES_TUPLES_OK);
    PQclear(read_result);
    PGresult* result = PQgetResult(session.native());
    std::string error = PQresultErrorMessage(result);
    PQclear(result);
    while ((result = PQgetResult(session.native())) != nullptr) {
        PQclear(result);
    }
    return error;
}

std::vector<std::string> caller_addresses(const fleet& all) {
    return {all.caller(0), all.caller(1), all.caller(2)};
}

}

BOOST_AUTO_TEST_CASE(acknowledged_writes_survive_network_faults) {
    for (const network_fault& each : faults) {
        BOOST_TEST_CONTEXT(each.m_name) {
            fleet all({.m_instances = 3, .m_relays = true});
            BOOST_TEST_MESSAGE(each.m_name);
            check_writes_during_fault(all, [&] {
                all.relay_fault(0, each.m_begin);
                std::this_thread::sleep_for(1500ms);
                all.relay_fault(0, each.m_end);
            });
        }
    }
}

BOOST_AUTO_TEST_CASE(late_responses_and_cancels_do_not_reach_other_requests) {
    fleet all({.m_instances = 3, .m_relays = true});
    for (int number = 0; number < 3; ++number) {
        all.relay_fault(number, R"({"answer_delay_ms":7})");
    }
    // Cancel requests arrive while responses on the cancelled connections are still in transit.
    std::atomic<bool> done{false};
    std::thread canceller([&] {
        standin::pg_session victim(all.caller(0), "orders");
        while (!done) {
            PQsendQuery(victim.native(), "SELECT pg_sleep(0.01)");
            PGcancel* request = PQgetCancel(victim.native());
            char error[256];
            PQcancel(request, error, sizeof error);
            PQfreeCancel(request);
            for (PGresult* result = PQgetResult(victim.native()); result != nullptr;
                 result = PQgetResult(victim.native())) {
                PQclear(result);
            }
        }
    });
    const nlohmann::json outcome = standin::run_mixed_load({.m_caller_addresses = caller_addresses(all),
                                                            .m_group = "orders",
                                                            .m_connections = 40,
                                                            .m_statements = 20,
                                                            .m_roam_every = 7,
                                                            .m_seed = 20261204});
    done = true;
    canceller.join();
    BOOST_TEST_CONTEXT(outcome.dump()) {
        BOOST_TEST(outcome["errors"].get<long>() == 0);
        BOOST_TEST(outcome["mismatches"].get<long>() == 0);
    }
}

/// Guards against "not run" for a write whose first attempt may have run, after later ones did not reach an
/// upstream.
BOOST_AUTO_TEST_CASE(a_repeated_write_is_not_reported_as_not_run) {
    constexpr int outcome_unknown = 1302;
    fleet all({.m_instances = 1, .m_upstreams = 1, .m_relays = true});
    standin::pg_session session(all.caller(), "orders");
    BOOST_REQUIRE(session.run("CREATE TABLE t (id int primary key)").m_good);
    BOOST_REQUIRE(session.run("SET anvilmount.request_id = 'first'").m_good);
    BOOST_REQUIRE(session.run("INSERT INTO t VALUES (1)").m_good);
    BOOST_REQUIRE(session.run("SET anvilmount.deadline = 4000").m_good);
    BOOST_REQUIRE(session.run("SET anvilmount.request_id = 'second'").m_good);
    all.relay_fault(0, R"({"drop_answers":true})");
    const standin::pg_answer answer = session.run("INSERT INTO t VALUES (2)");
    BOOST_TEST_CONTEXT(answer.m_error) {
        BOOST_TEST(answer.code() == outcome_unknown);
    }
}

BOOST_AUTO_TEST_CASE(a_statement_whose_response_was_dropped_still_ends) {
    // With one upstream there is no change of primary that ends the statement, and its connections stay
    // open, so no disconnect ends it either. The read must be retried, and the write must end with an
    // unknown outcome (08007).
    const fleet all({.m_instances = 1, .m_upstreams = 1, .m_relays = true});
    standin::pg_session setup(all.caller(0), "orders");
    BOOST_REQUIRE(setup.run("CREATE TABLE t (id int primary key)").m_good);
    standin::pg_session read(all.caller(0), "orders");
    standin::pg_session write(all.caller(0), "orders");
    BOOST_REQUIRE(PQsendQuery(read.native(), "SELECT pg_sleep(0.3)") == 1);
    std::this_thread::sleep_for(100ms);
    all.relay_fault(0, R"({"drop_answers":true})");
    BOOST_REQUIRE(PQsendQuery(write.native(), "INSERT INTO t VALUES (1)") == 1);
    std::this_thread::sleep_for(900ms);
    all.relay_fault(0, R"({"drop_answers":false})");
    for (standin::pg_session* session : {&read, &write}) {
        BOOST_REQUIRE(test::eventually(
            [&] { return PQconsumeInput(session->native()) == 1 && PQisBusy(session->native()) == 0; },
            60000ms));
    }
    PGresult* read_result = PQgetResult(read.native());
    BOOST_TEST(PQresultStatus(read_result) == PGRES_TUPLES_OK);
    PQclear(read_result);
    PGresult* write_result = PQgetResult(write.native());
    BOOST_TEST(std::string(PQresultErrorField(write_result, PG_DIAG_SQLSTATE)) == "08007");
    PQclear(write_result);
    BOOST_TEST(setup.run("SELECT count(*) FROM t").value() == "1");
}

/// Guards against writes that are sent on a connection which the upstream has closed, and end as unknown.
BOOST_AUTO_TEST_CASE(a_write_is_not_sent_on_a_connection_that_has_ended) {
    fleet all({.m_instances = 1, .m_upstreams = 1, .m_slots = 1, .m_relays = true});
    standin::pg_session session(all.caller(), "orders");
    BOOST_REQUIRE(session.run("CREATE TABLE t (id int primary key)").m_good);
    BOOST_TEST(error_after_connections_ended(all, session, "INSERT INTO t VALUES (1)") == "");
    BOOST_TEST(session.run("SELECT count(*) FROM t").value() == "1");
}

/// Guards against a COMMIT that ends as unknown although its transaction had ended before it was sent.
BOOST_AUTO_TEST_CASE(a_commit_is_not_sent_on_a_connection_that_has_ended) {
    fleet all({.m_instances = 1, .m_upstreams = 1, .m_slots = 1, .m_relays = true});
    standin::pg_session session(all.caller(), "orders");
    BOOST_REQUIRE(session.run("CREATE TABLE t (id int primary key)").m_good);
    BOOST_REQUIRE(session.run("BEGIN").m_good);
    BOOST_REQUIRE(session.run("INSERT INTO t VALUES (1)").m_good);
    const std::string error = error_after_connections_ended(all, session, "COMMIT");
    BOOST_TEST_CONTEXT(error) {
        BOOST_TEST(error.find("1306 transaction_lost") != std::string::npos);
    }
    BOOST_TEST(session.run("SELECT count(*) FROM t").value() == "0");
}
