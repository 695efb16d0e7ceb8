/// \file caller_protocol.cpp
/// Checks the PostgreSQL protocol with libpq sessions through instance processes. Most
/// cases run twice, because a session reaches the home in its own instance and the home in
/// another instance on different paths.
#include "load/pg_session.hpp"
#include "support/fleet.hpp"
#include "support/raw_caller.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using standin::pg_session;
using test::eventually;
using test::fleet;
using test::raw_caller;

namespace {

struct two_instances {
    fleet m_fleet{{.m_instances = 2, .m_upstreams = 1}};
    int m_home{m_fleet.home_of("orders-1")};

    /// Caller address of the instance that is the home of the upstream.
    std::string home_address() const { return m_fleet.caller(m_home); }
    /// Caller address of the other instance.
    std::string remote_address() const { return m_fleet.caller(1 - m_home); }
};

std::string cancel(PGconn* connection) {
    PGcancel* request = PQgetCancel(connection);
    char error[256];
    const int sent = PQcancel(request, error, sizeof error);
    PQfreeCancel(request);
    return sent == 1 ? "" : error;
}

}

BOOST_FIXTURE_TEST_CASE(protocol_works_at_the_home_and_at_another_instance, two_instances) {
    pg_session(home_address(), "orders").run("CREATE TABLE t (id int primary key, v text)");
    int key = 0;
    for (const std::string& address : {home_address(), remote_address()}) {
        BOOST_TEST_CONTEXT(address) {
            pg_session session(address, "orders");
            BOOST_REQUIRE(session.is_connected());
            const std::string id = std::to_string(++key);

            // Simple protocol: results, errors with their SQLSTATE, several statements in one query.
            BOOST_TEST(session.run("INSERT INTO t VALUES (" + id + ", 'a')").m_tag == "INSERT 0 1");
            BOOST_TEST(session.run("INSERT INTO t VALUES (" + id + ", 'a')").m_sqlstate == "23505");
            BOOST_TEST(session.run("SELECT * FROM nothing").m_sqlstate == "42P01");
            BOOST_TEST(session.run("SELECT 1; SELECT 2").value() == "2");
            BOOST_TEST(session.run("").m_good);

            // Extended protocol, with unnamed and named statements. The second round uses statements
            // that the upstream connection has already prepared.
            for (int round = 0; round < 2; ++round) {
                BOOST_TEST(session.run("SELECT v FROM t WHERE id = $1", {id}).value() == "a");
                const std::string name = "by_id" + std::to_string(round);
                BOOST_TEST(session.prepare(name, "SELECT v FROM t WHERE id = $1").m_good);
                BOOST_TEST(session.run_prepared(name, {id}).value() == "a");
            }
            BOOST_TEST(session.prepare("broken", "SELEC 1").m_sqlstate == "42601");
            BOOST_TEST(session.run_prepared("missing", {}).m_sqlstate == "26000");

            // Other sessions do not see an open transaction's changes; a failed transaction is rolled back.
            BOOST_TEST(session.run("BEGIN").m_tag == "BEGIN");
            BOOST_TEST(session.run("UPDATE t SET v = 'b' WHERE id = $1", {id}).m_tag == "UPDATE 1");
            BOOST_TEST(pg_session(address, "orders").run("SELECT v FROM t WHERE id = " + id).value() ==
                       "a");
            BOOST_TEST(session.run("SELECT v FROM t WHERE id = " + id).value() == "b");
            BOOST_TEST(session.run("SELECT * FROM nothing").m_sqlstate == "42P01");
            BOOST_TEST(session.run("SELECT 1").m_sqlstate == "25P02");
            BOOST_TEST(session.run("COMMIT").m_tag == "ROLLBACK");
            BOOST_TEST(session.run("SELECT v FROM t WHERE id = " + id).value() == "a");
        }
    }
}

/// Guards against rows lost or reordered by flow control: the results are far larger than the
/// bytes that may be in flight at once.
BOOST_FIXTURE_TEST_CASE(large_results_arrive_complete, two_instances) {
    for (const std::string& address : {home_address(), remote_address()}) {
        pg_session session(address, "orders");
        const auto many = session.run("SELECT * FROM generate_series(1, 200000)");
        BOOST_TEST(many.m_rows.size() == 200000U);
        BOOST_TEST(many.m_rows.back().front() == "200000");
        BOOST_TEST(session.run("SELECT repeat('x', 5000000)").value().size() == 5000000U);
        BOOST_TEST(session.run("SELECT 1").value() == "1");
    }
}

BOOST_FIXTURE_TEST_CASE(a_cancel_ends_only_its_own_statement_at_any_instance, two_instances) {
    for (const std::string& address : {home_address(), remote_address()}) {
        pg_session session(address, "orders");
        pg_session other_session(address, "orders");
        BOOST_REQUIRE(PQsendQuery(session.native(), "SELECT pg_sleep(20)") == 1);
        BOOST_REQUIRE(PQsendQuery(other_session.native(), "SELECT pg_sleep(0.5)") == 1);
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
        BOOST_TEST(cancel(session.native()).empty());
        PGresult* result = PQgetResult(session.native());
        BOOST_TEST(std::string(PQresultErrorField(result, PG_DIAG_SQLSTATE)) == "57014");
        PQclear(result);
        PQclear(PQgetResult(session.native()));
        BOOST_TEST(session.run("SELECT 7").value() == "7");
        PGresult* other_result = PQgetResult(other_session.native());
        BOOST_TEST(PQresultStatus(other_result) == PGRES_TUPLES_OK);
        PQclear(other_result);
    }
}

/// Guards against channels that their home keeps after the caller has gone, until no new ones open.
BOOST_FIXTURE_TEST_CASE(a_caller_that_goes_leaves_no_channel_between_instances, two_instances) {
    pg_session(home_address(), "orders").run("CREATE TABLE t (id int primary key)");
    for (int count = 0; count < 3; ++count) {
        pg_session caller(remote_address(), "orders");
        BOOST_REQUIRE(caller.run("BEGIN").m_good);
        BOOST_REQUIRE(caller.run("INSERT INTO t VALUES (1)").m_good);
    }
    BOOST_TEST(test::eventually([&] {
        const auto dump = m_fleet.dump(1 - m_home);
        long channels = 0;
        for (const auto& shard : dump["shards"]) {
            for (const auto& link : shard["peer_links"]) {
                channels += link["channels"].get<long>();
            }
        }
        return channels == 0;
    }));
}

/// A request that is not supported must fail with its result code and leave the session usable.
BOOST_FIXTURE_TEST_CASE(unsupported_requests_are_refused_with_their_result_code, two_instances) {
    pg_session session(home_address(), "orders");
    struct refusal {
        const char* m_sql;
        int m_code;
    };
    constexpr refusal refusals[] = {
        {"COPY t TO STDOUT", 1101},           {"LISTEN a", 1103},
        {"SET search_path = a", 1103},        {"SET anvilmount.rank = 9", 1106},
        {"SET anvilmount.nothing = 1", 1106}, {"SET anvilmount.session_token = 'x'", 1207}};
    for (const refusal& each : refusals) {
        BOOST_TEST_CONTEXT(each.m_sql) {
            BOOST_TEST(session.run(each.m_sql).code() == each.m_code);
            BOOST_TEST(session.run(each.m_sql, std::vector<std::string>{}).code() == each.m_code);
            BOOST_TEST(session.run("SELECT 1").value() == "1");
        }
    }
    BOOST_TEST(pg_session(home_address(), "nothing").connect_error().find("1005") != std::string::npos);
    BOOST_TEST(pg_session(home_address(), "orders", "-c anvilmount.rank=0").connect_error().find("1106") !=
               std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(session_settings_can_be_set_and_shown, two_instances) {
    pg_session session(home_address(), "orders", "-c anvilmount.rank=3");
    BOOST_TEST(session.run("SHOW anvilmount.rank").value() == "3");
    BOOST_TEST(session.run("SET anvilmount.rank = 1").m_tag == "SET");
    BOOST_TEST(session.run("SHOW anvilmount.rank", std::vector<std::string>{}).value() == "1");
    BOOST_TEST(session.run("SET anvilmount.max_staleness TO '500'").m_good);
    BOOST_TEST(session.run("SHOW anvilmount.max_staleness").value() == "500");
    BOOST_TEST(session.run("CREATE TABLE s (id int primary key)").m_good);
    BOOST_TEST(session.token().starts_with("orders/1:"));
    BOOST_TEST(session.run("SHOW anvilmount.session_token").value() == session.token());
}

/// Guards against statements without an answer because their caller has nothing more to send.
BOOST_FIXTURE_TEST_CASE(a_caller_that_finishes_sending_after_its_query_gets_the_answer, two_instances) {
    constexpr std::size_t large = 8000000;
    for (const std::string& address : {home_address(), remote_address()}) {
        BOOST_TEST_CONTEXT(address) {
            raw_caller slow(address);
            slow.start("orders");
            slow.query("SELECT pg_sleep(0.3)");
            slow.query("SELECT 2");
            slow.finish_sending();
            BOOST_TEST(slow.read_to('Z')); // Of the startup.
            BOOST_TEST(slow.read_to('C'));
            BOOST_TEST(slow.read_to('Z'));
            BOOST_TEST(slow.read_to('D'));
            BOOST_TEST(slow.last_body().back() == '2');
            BOOST_TEST(slow.read_to('Z'));
            BOOST_TEST(slow.is_closed_in_order());

            raw_caller long_answer(address);
            long_answer.start("orders");
            long_answer.query("SELECT repeat('x', " + std::to_string(large) + ")");
            long_answer.finish_sending();
            BOOST_TEST(long_answer.read_to('D'));
            BOOST_TEST(long_answer.last_body().size() > large);
            BOOST_TEST(long_answer.read_to('Z'));
            BOOST_TEST(long_answer.is_closed_in_order());

            // What is unfinished ends with its caller: it can't send the rest.
            raw_caller in_transaction(address);
            in_transaction.start("orders");
            in_transaction.query("BEGIN");
            in_transaction.finish_sending();
            BOOST_TEST(in_transaction.read_to('C'));
            BOOST_TEST(in_transaction.read_to('Z'));
            BOOST_TEST(in_transaction.is_closed_in_order());
        }
    }
    BOOST_TEST(eventually([&] {
        const nlohmann::json dump = m_fleet.dump(m_home);
        for (const auto& shard : dump["shards"]) {
            for (const auto& home : shard["homes"]) {
                if (home["channels"] != 0) {
                    return false;
                }
            }
        }
        return true;
    }));
}

/// Guards against statements that are run for callers that have gone while they waited.
BOOST_AUTO_TEST_CASE(a_statement_that_waits_is_not_run_when_its_caller_has_gone) {
    fleet all({.m_instances = 1, .m_upstreams = 1, .m_slots = 1});
    const auto waiting = [&] {
        int sum = 0;
        const nlohmann::json dump = all.dump();
        for (const auto& shard : dump["shards"]) {
            for (const auto& home : shard["homes"]) {
                for (const auto& rank : home["ranks"]) {
                    sum += rank["waiting"].get<int>();
                }
            }
        }
        return sum;
    };
    pg_session first(all.caller(), "orders");
    BOOST_REQUIRE(first.run("CREATE TABLE t (id int primary key)").m_good);
    BOOST_REQUIRE(PQsendQuery(first.native(), "SELECT pg_sleep(2)") == 1);
    {
        raw_caller gone(all.caller());
        gone.start("orders");
        BOOST_REQUIRE(gone.read_to('Z'));
        gone.query("INSERT INTO t VALUES (1)");
        BOOST_REQUIRE(eventually([&] { return waiting() == 1; }));
    }
    BOOST_TEST(eventually([&] { return waiting() == 0; }));
    PQclear(PQgetResult(first.native()));
    PQclear(PQgetResult(first.native()));
    BOOST_TEST(first.run("SELECT count(*) FROM t").value() == "0");
}

/// Guards against writes that are sent over a connection whose other instance has gone, and end as unknown.
BOOST_FIXTURE_TEST_CASE(a_write_is_not_sent_to_an_instance_that_has_gone, two_instances) {
    raw_caller caller(remote_address());
    caller.start("orders");
    caller.query("CREATE TABLE t (id int primary key)");
    BOOST_REQUIRE(caller.read_to('C'));
    BOOST_REQUIRE(caller.read_to('Z'));
    // The instance finds the statement first, and then the end of its connection to the other one.
    m_fleet.instance(1 - m_home).suspend();
    caller.query("INSERT INTO t VALUES (1)");
    m_fleet.instance(m_home).kill_now();
    m_fleet.instance(1 - m_home).signal(SIGCONT);
    const char answer = caller.read_to_one_of("CE");
    BOOST_TEST_CONTEXT(caller.last_body()) {
        BOOST_TEST(answer == 'C');
    }
    BOOST_TEST(pg_session(remote_address(), "orders").run("SELECT count(*) FROM t").value() == "1");
}

/// Guards against refusals that are lost to a reset because the caller has sent more than its startup
/// message.
BOOST_AUTO_TEST_CASE(a_caller_that_is_one_too_many_is_told_so) {
    const fleet all({.m_instances = 1,
                     .m_upstreams = 1,
                     .m_instance_settings = {"--shards", "1", "--most_callers", "1"}});
    raw_caller served(all.caller());
    served.start("orders");
    BOOST_REQUIRE(served.read_to('Z'));
    raw_caller refused(all.caller());
    refused.start("orders");
    refused.query("SELECT 1");
    BOOST_TEST(refused.read_to('E'));
    BOOST_TEST(refused.last_body().find("too_many_callers") != std::string::npos);
    BOOST_TEST(refused.is_closed_in_order());
}
