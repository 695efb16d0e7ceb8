/// \file relay_faults.cpp
/// Networks that misbehave between instances and upstreams: late answers, half
/// open connections, stalls and cuts, brought by a relay in front of each
/// upstream. Writes keep their promises, and no answer reaches the wrong request.
#include "load/mixed_load.hpp"
#include "load/pg_session.hpp"
#include "support/promises.hpp"

#include <boost/test/unit_test.hpp>

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
    {"answers 250 ms late", R"({"answer_delay_ms":250})", R"({"answer_delay_ms":0})"},
    {"everything 100 ms slower", R"({"delay_ms":100})", R"({"delay_ms":0})"},
    {"stalled", R"({"stall":true})", R"({"stall":false})"},
    {"answers thrown away", R"({"drop_answers":true})", R"({"drop_answers":false})"},
    {"cut", R"({"cut":true})", R"({"cut":false})"},
};

std::vector<std::string> callers_of(const fleet& all) {
    return {all.caller(0), all.caller(1), all.caller(2)};
}

}

BOOST_AUTO_TEST_CASE(writes_keep_their_promises_behind_a_bad_network) {
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

BOOST_AUTO_TEST_CASE(late_answers_and_cancels_never_cross) {
    fleet all({.m_instances = 3, .m_relays = true});
    for (int number = 0; number < 3; ++number) {
        all.relay_fault(number, R"({"answer_delay_ms":7})");
    }
    // Cancels hit connections whose answers are still on their way.
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
    const nlohmann::json outcome = standin::run_mixed_load({.m_callers = callers_of(all),
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

BOOST_AUTO_TEST_CASE(a_statement_whose_answer_was_lost_ends_all_the_same) {
    // One upstream, so no change of primary helps; its connections never break.
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
    PGresult* slept = PQgetResult(read.native());
    BOOST_TEST(PQresultStatus(slept) == PGRES_TUPLES_OK);
    PQclear(slept);
    PGresult* written = PQgetResult(write.native());
    BOOST_TEST(std::string(PQresultErrorField(written, PG_DIAG_SQLSTATE)) == "08007");
    PQclear(written);
    BOOST_TEST(setup.run("SELECT count(*) FROM t").value() == "1");
}
