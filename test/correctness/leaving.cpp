/// \file leaving.cpp
/// Guards against requests that fail, or writes that are lost, because an instance
/// or an upstream is taken out of service. Instances leave on SIGTERM; upstreams
/// leave when the configuration marks them or when they report it themselves.
#include "load/pg_session.hpp"
#include "support/fleet.hpp"
#include "support/raw_caller.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <functional>
#include <thread>
#include <utility>

using namespace std::chrono_literals;
using standin::pg_answer;
using standin::pg_session;
using test::eventually;
using test::fleet;
using test::raw_caller;

namespace {

long busy_callers(const fleet& all, int number = 0) {
    long sum = 0;
    const nlohmann::json dump = all.dump(number);
    for (const auto& shard : dump["shards"]) {
        sum += shard["busy_callers"].get<long>();
    }
    return sum;
}

/// Returns a counter of an instance, over all its shards.
long counter(const fleet& all, const std::string& name, int number = 0) {
    long sum = 0;
    const nlohmann::json dump = all.dump(number);
    for (const auto& shard : dump["shards"]) {
        sum += shard["metrics"]["counters"].value(name, 0L);
    }
    return sum;
}

/// Sum of a value over the homes of an instance.
long homes_sum(const fleet& all, int number, const std::function<long(const nlohmann::json&)>& value) {
    long sum = 0;
    const nlohmann::json dump = all.dump(number);
    for (const auto& shard : dump["shards"]) {
        for (const auto& home : shard["homes"]) {
            sum += value(home);
        }
    }
    return sum;
}

long open_channels(const fleet& all, int number) {
    return homes_sum(all, number, [](const nlohmann::json& home) { return home["channels"].get<long>(); });
}

long running_statements(const fleet& all, int number) {
    return homes_sum(all, number, [](const nlohmann::json& home) {
        long sum = 0;
        for (const auto& rank : home["ranks"]) {
            sum += rank["running"].get<long>();
        }
        return sum;
    });
}

/// Reads the answer to a statement that was sent, and returns the error in it, if any.
std::string first_error(pg_session& session) {
    std::string error;
    while (PGresult* result = PQgetResult(session.native())) {
        if (error.empty()) {
            error = PQresultErrorMessage(result);
        }
        PQclear(result);
    }
    return error;
}

/// Returns how much of an answer leaves an instance before its caller reads any of it.
std::size_t bytes_held_by_the_kernel(const fleet& all) {
    constexpr std::size_t held_at_least = 100000;
    constexpr std::size_t probes = 5000; // Sent to the upstream meanwhile, at most.
    const auto bytes_sent = [&] {
        std::size_t sum = 0;
        const nlohmann::json dump = all.dump();
        for (const auto& shard : dump["shards"]) {
            sum += shard["bytes_sent"].get<std::size_t>();
        }
        return sum;
    };
    raw_caller caller(all.caller());
    caller.start("orders");
    BOOST_REQUIRE(caller.read_to('Z'));
    const std::size_t before = bytes_sent();
    caller.query("SELECT repeat('x', 8000000)");
    std::size_t last = before;
    BOOST_REQUIRE(eventually([&] {
        std::this_thread::sleep_for(200ms);
        const std::size_t earlier = std::exchange(last, bytes_sent());
        return last > before + held_at_least && last <= earlier + probes;
    }));
    return last - before;
}

}

BOOST_AUTO_TEST_CASE(a_leaving_instance_finishes_work_in_progress) {
    fleet all({.m_instances = 3});
    const int home = all.home_of("orders-1");
    pg_session setup(all.caller((home + 1) % 3), "orders");
    BOOST_REQUIRE(setup.run("CREATE TABLE t (id int primary key, v int)").m_good);
    BOOST_REQUIRE(setup.run("INSERT INTO t VALUES (1, 0)").m_good);

    // Callers of the leaving home: one runs a statement, one has an open transaction, one is idle.
    // Another instance's caller has an open transaction at that home.
    pg_session running(all.caller(home), "orders");
    pg_session open(all.caller(home), "orders");
    pg_session via_other_instance(all.caller((home + 1) % 3), "orders");
    pg_session idle(all.caller(home), "orders");
    BOOST_REQUIRE(open.run("BEGIN").m_good);
    BOOST_REQUIRE(open.run("UPDATE t SET v = 1 WHERE id = 1").m_good);
    BOOST_REQUIRE(via_other_instance.run("BEGIN").m_good);
    BOOST_REQUIRE(via_other_instance.run("INSERT INTO t VALUES (2, 2)").m_good);
    BOOST_REQUIRE(PQsendQuery(running.native(), "SELECT pg_sleep(0.6)") == 1);
    std::this_thread::sleep_for(150ms);

    all.instance(home).signal(SIGTERM);
    PGresult* slept = PQgetResult(running.native());
    BOOST_TEST(PQresultStatus(slept) == PGRES_TUPLES_OK);
    PQclear(slept);
    // libpq reports an error that arrives on an idle connection in one of three places.
    const pg_answer idle_answer = idle.run("SELECT 1");
    const std::string messages = idle_answer.m_error + idle.notices() + idle.connect_error();
    BOOST_TEST_CONTEXT(messages) {
        BOOST_TEST(messages.find("1307 instance_leaving") != std::string::npos);
    }
    BOOST_TEST(open.run("COMMIT").m_tag == "COMMIT");
    BOOST_TEST(via_other_instance.run("COMMIT").m_tag == "COMMIT");
    BOOST_TEST(all.instance(home).wait() == 0);
    BOOST_TEST(setup.run("SELECT count(*) FROM t WHERE v > 0").value() == "2");
}

/// Guards against the end of a session that discards an answer which its caller has not read yet.
BOOST_AUTO_TEST_CASE(an_answer_that_is_not_read_yet_survives_the_end_of_its_session) {
    struct variant {
        const char* m_what;
        bool m_sends_another;  ///< Another statement crosses the end of the session.
        bool m_exceeds_kernel; ///< The instance itself holds the end of the answer.
    };
    constexpr variant variants[] = {{"in the kernel's buffer", false, false},
                                    {"in the kernel's buffer, another statement crosses", true, false},
                                    {"in the instance's buffer", false, true},
                                    {"in the instance's buffer, another statement crosses", true, true}};
    for (const variant& each : variants) {
        BOOST_TEST_CONTEXT(each.m_what) {
            fleet all({.m_instances = 1, .m_upstreams = 1});
            constexpr std::size_t small_answer = 200000;
            const std::size_t answer_size =
                small_answer + (each.m_exceeds_kernel ? bytes_held_by_the_kernel(all) : 0);
            const long batches_before = counter(all, "home.batches");
            raw_caller caller(all.caller());
            caller.start("orders");
            BOOST_REQUIRE(caller.read_to('Z'));
            caller.query("SELECT repeat('x', " + std::to_string(answer_size) + ")");
            // The upstream has answered whole, and the caller has read nothing.
            BOOST_REQUIRE(eventually(
                [&] { return counter(all, "home.batches") > batches_before && busy_callers(all) == 0; }));
            all.instance(0).signal(SIGTERM);
            std::this_thread::sleep_for(300ms);
            if (each.m_sends_another) {
                caller.query("SELECT 2");
            }
            std::this_thread::sleep_for(500ms);
            BOOST_TEST(caller.read_to('Z'));
            BOOST_TEST(caller.received().size() > answer_size);
            BOOST_TEST(caller.read_to('E'));
            BOOST_TEST(caller.last_body().find("1307 instance_leaving") != std::string::npos);
            BOOST_TEST(caller.is_closed_in_order());
            BOOST_TEST(all.instance(0).wait() == 0);
        }
    }
}

/// Guards against statements without an answer or an error because the time for leaving is over.
BOOST_AUTO_TEST_CASE(what_is_unfinished_when_the_time_to_leave_is_over_gets_an_error) {
    fleet all(
        {.m_instances = 2, .m_upstreams = 1, .m_slots = 1, .m_instance_settings = {"--leave_ms", "2000"}});
    const int home = all.home_of("orders-1");
    pg_session setup(all.caller(home), "orders");
    BOOST_REQUIRE(setup.run("CREATE TABLE t (id int primary key)").m_good);
    pg_session open(all.caller(home), "orders");
    BOOST_REQUIRE(open.run("BEGIN").m_good);
    BOOST_REQUIRE(open.run("INSERT INTO t VALUES (1)").m_good);
    pg_session running(all.caller(home), "orders");
    BOOST_REQUIRE(PQsendQuery(running.native(), "SELECT pg_sleep(20)") == 1);
    BOOST_REQUIRE(eventually([&] { return running_statements(all, home) == 1; }));
    pg_session waiting(all.caller(home), "orders");
    BOOST_REQUIRE(PQsendQuery(waiting.native(), "INSERT INTO t VALUES (2)") == 1);
    pg_session waiting_elsewhere(all.caller(1 - home), "orders");
    BOOST_REQUIRE(PQsendQuery(waiting_elsewhere.native(), "INSERT INTO t VALUES (3)") == 1);
    BOOST_REQUIRE(eventually([&] { return open_channels(all, home) == 4; }));

    all.instance(home).signal(SIGTERM);
    const std::string running_error = first_error(running);
    BOOST_TEST_CONTEXT(running_error) {
        BOOST_TEST(running_error.find("1302 outcome_unknown") != std::string::npos);
    }
    BOOST_TEST(first_error(waiting).find("1307 instance_leaving (not run)") != std::string::npos);
    BOOST_TEST(first_error(waiting_elsewhere).empty());
    // Run before its errors are read: the operands of + are evaluated in any order.
    const pg_answer commit = open.run("COMMIT");
    const std::string commit_error = commit.m_error + open.notices() + open.connect_error();
    BOOST_TEST_CONTEXT(commit_error) {
        BOOST_TEST(commit_error.find("1306 transaction_lost") != std::string::npos);
    }
    BOOST_TEST(all.instance(home).wait() == 0);
    BOOST_TEST(pg_session(all.caller(1 - home), "orders").run("SELECT id FROM t").value() == "3");
}

/// Guards against a COMMIT that crosses the end of the time for leaving and is answered wrongly or not at
/// all.
BOOST_AUTO_TEST_CASE(a_commit_that_crosses_the_end_of_the_time_to_leave_is_answered_truly) {
    fleet all({.m_instances = 2, .m_upstreams = 1, .m_instance_settings = {"--leave_ms", "1000"}});
    constexpr int transactions = 10;
    const int home = all.home_of("orders-1");
    BOOST_REQUIRE(pg_session(all.caller(home), "orders").run("CREATE TABLE t (id int primary key)").m_good);
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int number = 0; number < transactions; ++number) {
        callers.push_back(std::make_unique<raw_caller>(all.caller(number % 2 == 0 ? home : 1 - home)));
        raw_caller& caller = *callers.back();
        caller.start("orders");
        BOOST_REQUIRE(caller.read_to('Z'));
        for (const std::string& sql :
             {std::string("BEGIN"), "INSERT INTO t VALUES (" + std::to_string(number) + ")"}) {
            caller.query(sql);
            BOOST_REQUIRE(caller.read_to('C'));
            BOOST_REQUIRE(caller.read_to('Z'));
        }
    }
    // The instance finds each COMMIT and the end of its time together.
    all.instance(home).signal(SIGTERM);
    std::this_thread::sleep_for(300ms);
    all.instance(home).suspend();
    for (const auto& caller : callers) {
        caller->query("COMMIT");
    }
    std::this_thread::sleep_for(1000ms);
    all.instance(home).signal(SIGCONT);
    std::vector<char> answers;
    std::vector<std::string> errors;
    for (const auto& caller : callers) {
        answers.push_back(caller->read_to_one_of("CE"));
        errors.push_back(caller->last_body());
    }
    BOOST_TEST(all.instance(home).wait() == 0);
    pg_session after(all.caller(1 - home), "orders");
    for (int number = 0; number < transactions; ++number) {
        const auto index = static_cast<std::size_t>(number);
        const std::string found =
            after.run("SELECT count(*) FROM t WHERE id = " + std::to_string(number)).value();
        const bool is_lost = errors[index].find("1306 transaction_lost") != std::string::npos;
        const bool is_unknown = errors[index].find("1302 outcome_unknown") != std::string::npos;
        BOOST_TEST_CONTEXT("caller " << number << ", " << errors[index] << ", found " << found) {
            BOOST_TEST((answers[index] == 'C' || (answers[index] == 'E' && (is_lost || is_unknown))));
            BOOST_TEST((is_unknown || found == (answers[index] == 'C' ? "1" : "0")));
        }
    }
}

/// Guards against callers that are reset because they wait to be accepted when the instance stops
/// accepting.
BOOST_AUTO_TEST_CASE(a_caller_that_waits_to_be_accepted_by_a_leaving_instance_is_refused) {
    fleet all({.m_instances = 1, .m_upstreams = 1});
    constexpr int waiting = 600; // More than the shards accept at once.
    all.instance(0).suspend();
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int number = 0; number < waiting; ++number) {
        callers.push_back(std::make_unique<raw_caller>(all.caller()));
        callers.back()->start("orders");
    }
    all.instance(0).signal(SIGTERM);
    all.instance(0).signal(SIGCONT);
    int refused = 0;
    for (const auto& caller : callers) {
        refused += caller->read_to('E') &&
                           caller->last_body().find("1307 instance_leaving") != std::string::npos &&
                           caller->is_closed_in_order()
                       ? 1
                       : 0;
    }
    BOOST_TEST(refused == waiting);
    callers.clear();
    BOOST_TEST(all.instance(0).wait() == 0);
}

/// Guards against connections that end with a statement unanswered and leave no trace of the cause.
BOOST_AUTO_TEST_CASE(a_statement_whose_caller_disconnects_is_counted_with_its_cause) {
    fleet all({.m_instances = 1, .m_upstreams = 1});
    {
        pg_session caller(all.caller(), "orders");
        BOOST_REQUIRE(PQsendQuery(caller.native(), "SELECT pg_sleep(20)") == 1);
        BOOST_REQUIRE(eventually([&] { return running_statements(all, 0) == 1; }));
    }
    BOOST_TEST(eventually([&] { return counter(all, "front.ended_unanswered.caller_closed") == 1; }));
    BOOST_TEST(eventually([&] { return counter(all, "home.front_gone") == 1; }));
}

/// Guards against a session that seems to have begun, and whose first statement then meets its end.
BOOST_AUTO_TEST_CASE(a_session_that_begins_while_the_instance_leaves_is_refused) {
    fleet all({.m_instances = 1, .m_upstreams = 1});
    raw_caller caller(all.caller());
    BOOST_REQUIRE(eventually([&] { return busy_callers(all) == 1; }));
    all.instance(0).signal(SIGTERM);
    BOOST_REQUIRE(eventually([&] {
        return test::run_program(test::program("anvilmountctl"), {"status", "--server", all.operators()})
                   .m_output.find("leaving") != std::string::npos;
    }));
    caller.start("orders");
    BOOST_TEST(caller.read_to('E'));
    BOOST_TEST(caller.last_body().find("1307 instance_leaving") != std::string::npos);
    BOOST_TEST(caller.received().front() == 'E');
}

BOOST_AUTO_TEST_CASE(replacing_every_instance_under_load_fails_no_request) {
    fleet all({.m_instances = 3});
    BOOST_REQUIRE(pg_session(all.caller(0), "orders").run("CREATE TABLE t (id int primary key)").m_good);
    std::atomic<bool> done{false};
    std::atomic<long> good{0};
    std::atomic<long> failed{0};
    std::string first_failure;
    std::vector<std::thread> writers;
    for (int number = 0; number < 6; ++number) {
        writers.emplace_back([&, number] {
            int at = number % 3;
            auto session = std::make_unique<pg_session>(all.caller(at), "orders");
            for (long next = 0; !done; ++next) {
                if (!session->is_connected()) {
                    at = (at + 1) % 3;
                    session = std::make_unique<pg_session>(all.caller(at), "orders");
                    continue;
                }
                const pg_answer answer =
                    session->run("INSERT INTO t VALUES (" + std::to_string(number * 1000000 + next) + ")");
                // libpq reports an error that arrives on an idle connection in one of three places.
                const std::string told = answer.m_error + session->notices() + session->connect_error();
                const bool ended_while_idle =
                    !session->is_connected() &&
                    told.find("1307 instance_leaving (not run)") != std::string::npos;
                good += answer.m_good ? 1 : 0;
                if (!answer.m_good && !ended_while_idle && failed++ == 0) {
                    first_failure = told;
                }
            }
        });
    }
    for (int number = 0; number < 3; ++number) {
        all.instance(number).signal(SIGTERM);
        BOOST_TEST(all.instance(number).wait() == 0);
        all.restart_instance(number);
        std::this_thread::sleep_for(300ms);
    }
    done = true;
    for (std::thread& writer : writers) {
        writer.join();
    }
    BOOST_TEST_CONTEXT(first_failure) {
        BOOST_TEST(failed.load() == 0);
    }
    BOOST_TEST(good.load() > 0);
    BOOST_TEST(pg_session(all.caller(0), "orders").run("SELECT count(*) FROM t").value() ==
               std::to_string(good.load()));
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_gets_no_new_work) {
    fleet all({.m_instances = 2});
    pg_session session(all.caller(0), "orders");
    BOOST_REQUIRE(session.run("CREATE TABLE t (id int primary key)").m_good);
    // orders-2 reports itself as leaving; the configuration marks orders-3.
    all.query_upstream(1, "SELECT standin_control('leaving', 'on')");
    auto record = all.configuration();
    record["groups"][0]["upstreams"][2]["leaving"] = true;
    BOOST_REQUIRE(all.apply(record.dump()) == 0);
    BOOST_REQUIRE(eventually([&] {
        return all.dump(0)["configuration"]["revision"] == 2 &&
               all.dump(1)["configuration"]["revision"] == 2;
    }));
    std::this_thread::sleep_for(500ms);
    for (int count = 0; count < 60; ++count) {
        BOOST_REQUIRE(session.run("SELECT count(*) FROM t; SHOW transaction_read_only").value() == "off");
    }
}
