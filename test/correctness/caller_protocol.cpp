/// \file caller_protocol.cpp
/// libpq sessions through real processes: front and home in one instance, and
/// one hop apart.
#include "load/pg_session.hpp"
#include "support/fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <thread>

using standin::pg_session;
using test::fleet;

namespace {

struct two_instances {
    fleet m_fleet{{.m_instances = 2, .m_upstreams = 1}};
    int m_home{m_fleet.home_of("orders-1")};

    std::string local() const { return m_fleet.caller(m_home); }
    std::string hop() const { return m_fleet.caller(1 - m_home); }
};

std::string cancel(PGconn* connection) {
    PGcancel* request = PQgetCancel(connection);
    char error[256];
    const int sent = PQcancel(request, error, sizeof error);
    PQfreeCancel(request);
    return sent == 1 ? "" : error;
}

}

BOOST_FIXTURE_TEST_CASE(sessions_work_locally_and_over_a_hop, two_instances) {
    pg_session(local(), "orders").run("CREATE TABLE t (id int primary key, v text)");
    int key = 0;
    for (const std::string& address : {local(), hop()}) {
        BOOST_TEST_CONTEXT(address) {
            pg_session session(address, "orders");
            BOOST_REQUIRE(session.is_connected());
            const std::string id = std::to_string(++key);

            // Simple protocol, errors with their SQLSTATE, and several statements at once.
            BOOST_TEST(session.run("INSERT INTO t VALUES (" + id + ", 'a')").m_tag == "INSERT 0 1");
            BOOST_TEST(session.run("INSERT INTO t VALUES (" + id + ", 'a')").m_sqlstate == "23505");
            BOOST_TEST(session.run("SELECT * FROM nothing").m_sqlstate == "42P01");
            BOOST_TEST(session.run("SELECT 1; SELECT 2").value() == "2");
            BOOST_TEST(session.run("").m_good);

            // Extended protocol, unnamed and named, twice to meet what the connection has prepared.
            for (int round = 0; round < 2; ++round) {
                BOOST_TEST(session.run("SELECT v FROM t WHERE id = $1", {id}).value() == "a");
                const std::string name = "by_id" + std::to_string(round);
                BOOST_TEST(session.prepare(name, "SELECT v FROM t WHERE id = $1").m_good);
                BOOST_TEST(session.run_prepared(name, {id}).value() == "a");
            }
            BOOST_TEST(session.prepare("broken", "SELEC 1").m_sqlstate == "42601");
            BOOST_TEST(session.run_prepared("missing", {}).m_sqlstate == "26000");

            // Transactions keep to themselves.
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

BOOST_FIXTURE_TEST_CASE(large_results_stream_whole, two_instances) {
    for (const std::string& address : {local(), hop()}) {
        pg_session session(address, "orders");
        const auto many = session.run("SELECT * FROM generate_series(1, 200000)");
        BOOST_TEST(many.m_rows.size() == 200000U);
        BOOST_TEST(many.m_rows.back().front() == "200000");
        BOOST_TEST(session.run("SELECT repeat('x', 5000000)").value().size() == 5000000U);
        BOOST_TEST(session.run("SELECT 1").value() == "1");
    }
}

BOOST_FIXTURE_TEST_CASE(a_cancel_ends_the_running_statement_only_and_at_any_instance, two_instances) {
    for (const std::string& address : {local(), hop()}) {
        pg_session session(address, "orders");
        pg_session bystander(address, "orders");
        BOOST_REQUIRE(PQsendQuery(session.native(), "SELECT pg_sleep(20)") == 1);
        BOOST_REQUIRE(PQsendQuery(bystander.native(), "SELECT pg_sleep(0.5)") == 1);
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
        BOOST_TEST(cancel(session.native()).empty());
        PGresult* result = PQgetResult(session.native());
        BOOST_TEST(std::string(PQresultErrorField(result, PG_DIAG_SQLSTATE)) == "57014");
        PQclear(result);
        PQclear(PQgetResult(session.native()));
        BOOST_TEST(session.run("SELECT 7").value() == "7");
        PGresult* other = PQgetResult(bystander.native());
        BOOST_TEST(PQresultStatus(other) == PGRES_TUPLES_OK);
        PQclear(other);
    }
}

BOOST_FIXTURE_TEST_CASE(what_cannot_be_served_is_refused_with_its_number, two_instances) {
    pg_session session(local(), "orders");
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
    BOOST_TEST(pg_session(local(), "nothing").connect_error().find("1005") != std::string::npos);
    BOOST_TEST(pg_session(local(), "orders", "-c anvilmount.rank=0").connect_error().find("1106") !=
               std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(settings_of_a_session_can_be_set_and_shown, two_instances) {
    pg_session session(local(), "orders", "-c anvilmount.rank=3");
    BOOST_TEST(session.run("SHOW anvilmount.rank").value() == "3");
    BOOST_TEST(session.run("SET anvilmount.rank = 1").m_tag == "SET");
    BOOST_TEST(session.run("SHOW anvilmount.rank", std::vector<std::string>{}).value() == "1");
    BOOST_TEST(session.run("SET anvilmount.max_staleness TO '500'").m_good);
    BOOST_TEST(session.run("SHOW anvilmount.max_staleness").value() == "500");
    BOOST_TEST(session.run("CREATE TABLE s (id int primary key)").m_good);
    BOOST_TEST(session.token().starts_with("orders/1:"));
    BOOST_TEST(session.run("SHOW anvilmount.session_token").value() == session.token());
}
