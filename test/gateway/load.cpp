/// \file load.cpp
/// Tests admission and connection limits under load, in virtual time: bursts of the
/// least urgent requests, a group without a primary, slow replicas, and a power failure.
#include "support/gateway_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;
using kind = gateway::statement_kind;

namespace {

using callers = std::vector<std::unique_ptr<test::test_caller>>;

/// Opens `count` callers on `database` and sends one statement from each.
void send(test::gateway_fleet& fleet, callers& opened, const std::string& database, int count,
          kind what = kind::read) {
    for (int number = 0; number < count; ++number) {
        opened.push_back(std::make_unique<test::test_caller>(fleet.instance(1), database));
        opened.back()->send(what, what == kind::read ? "READ 1" : "WRITE 1 a");
    }
}

int successes(const callers& all) {
    return static_cast<int>(std::count_if(all.begin(), all.end(), [](const auto& each) {
        return !each->m_answers.empty() && each->m_answers[0].succeeded();
    }));
}

}

/// Guards against priority inversion: 200 reads of the least urgent rank fill the queues and
/// slots just before two urgent writes arrive.
BOOST_AUTO_TEST_CASE(urgent_writes_are_not_delayed_by_a_burst_of_reads) {
    test::gateway_fleet fleet(1);
    for (int number = 1; number <= 3; ++number) {
        fleet.m_upstreams.at("orders-" + std::to_string(number)).m_work_time = 40ms;
    }
    callers reports;
    send(fleet, reports, "look", 200);
    fleet.run_for(60ms);
    callers payments;
    send(fleet, payments, "pay", 2, kind::write);
    fleet.run_for(150ms);
    BOOST_TEST(successes(payments) == 2);
}

/// Guards against queueing requests that would miss their latency target anyway. Some of them
/// must be refused within 30 ms, and every caller gets exactly one answer.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_start_in_time_is_refused_as_not_run) {
    test::gateway_fleet fleet(1);
    for (int number = 1; number <= 3; ++number) {
        fleet.m_upstreams.at("orders-" + std::to_string(number)).m_work_time = 40ms;
    }
    callers first;
    for (int round = 0; round < 20; ++round) {
        send(fleet, first, "look", 10);
        fleet.run_for(50ms);
    }
    callers late;
    send(fleet, late, "look", 100);
    fleet.run_for(30ms);
    int refused = 0;
    for (const auto& each : late) {
        if (!each->m_answers.empty() && !each->m_answers[0].succeeded()) {
            BOOST_TEST((traits_of(each->m_answers[0].m_code).m_outcome == outcome::not_run));
            ++refused;
        }
    }
    BOOST_TEST(refused > 0);
    fleet.run_for(2000ms);
    for (const auto& each : late) {
        BOOST_TEST(each->m_answers.size() == 1U);
    }
}

/// Guards against callers that wait for their whole deadline while the primary has been
/// unreachable for longer than a failover takes.
BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_during_a_long_primary_outage) {
    test::gateway_fleet fleet(1);
    for (int number = 1; number <= 3; ++number) {
        fleet.m_upstreams.at("orders-" + std::to_string(number)).m_silent = true;
    }
    callers probing;
    send(fleet, probing, "pay", 1, kind::write);
    fleet.run_for(6000ms);
    callers writes;
    send(fleet, writes, "pay", 5, kind::write);
    fleet.run_for(20ms);
    for (const auto& each : writes) {
        BOOST_REQUIRE(each->m_answers.size() == 1U);
        BOOST_TEST((traits_of(each->m_answers[0].m_code).m_outcome == outcome::not_run));
    }
}

/// Guards against an answer time that stays high because a slow replica gets no more reads
/// and so is never measured again.
BOOST_AUTO_TEST_CASE(replicas_serve_reads_again_after_being_slow) {
    test::gateway_fleet fleet(1);
    fleet.m_upstreams.at("orders-2").m_work_time = 350ms;
    fleet.m_upstreams.at("orders-3").m_work_time = 350ms;
    callers reads;
    for (int round = 0; round < 10; ++round) {
        send(fleet, reads, "scan", 2);
        fleet.run_for(200ms);
    }
    fleet.m_upstreams.at("orders-2").m_work_time = 10ms;
    fleet.m_upstreams.at("orders-3").m_work_time = 10ms;
    for (int round = 0; round < 10; ++round) {
        send(fleet, reads, "scan", 2);
        fleet.run_for(200ms);
    }
    fleet.m_upstreams.m_runs.clear();
    send(fleet, reads, "scan", 6);
    fleet.run_for(500ms);
    const auto at_replicas =
        std::count_if(fleet.m_upstreams.m_runs.begin(), fleet.m_upstreams.m_runs.end(),
                      [](const test::run_statement& each) { return each.m_upstream != "orders-1"; });
    BOOST_TEST(at_replicas > 0);
}

/// Guards against instances that together open more than the 21 connections that the upstream
/// allows, with 20 open transactions at each of six instances.
BOOST_AUTO_TEST_CASE(connections_of_all_instances_stay_under_the_upstreams_limit) {
    test::gateway_fleet fleet(6);
    callers all;
    for (int number = 1; number <= 6; ++number) {
        for (int caller = 0; caller < 20; ++caller) {
            all.push_back(std::make_unique<test::test_caller>(fleet.instance(number), "pay"));
            all.back()->send(kind::begin, "BEGIN");
            all.back()->send(kind::read, "READ 1");
        }
    }
    fleet.run_for(1000ms);
    BOOST_TEST(fleet.m_upstreams.at("orders-1").m_peak_open <= 21);
}

/// Guards against instances without any connection after a power failure. The upstreams still
/// count the old connections while six instances start within some hundred ms.
BOOST_AUTO_TEST_CASE(each_instance_gets_a_connection_after_a_power_failure) {
    test::gateway_fleet fleet(6);
    const auto write_everywhere = [&](int count) {
        callers all;
        for (int number = 1; number <= 6; ++number) {
            for (int each = 0; each < count; ++each) {
                all.push_back(std::make_unique<test::test_caller>(fleet.instance(number), "pay"));
                all.back()->send(kind::write, "WRITE 1 a");
            }
        }
        fleet.run_for(600ms);
        return successes(all);
    };
    write_everywhere(5);
    for (int number = 1; number <= 6; ++number) {
        fleet.lose_power(number);
    }
    fleet.run_for(500ms);
    for (int number = 1; number <= 6; ++number) {
        fleet.start(number);
        fleet.run_for(30ms);
    }
    // The upstreams still count the connections from before the power failure.
    BOOST_TEST(write_everywhere(5) == 30);
}

/// Guards against opening a connection for each of 150 queued reads.
BOOST_AUTO_TEST_CASE(a_burst_opens_no_more_connections_than_statements_may_run) {
    test::gateway_fleet fleet(1);
    callers burst;
    send(fleet, burst, "look", 150);
    fleet.run_for(500ms);
    // An instance runs at most three statements at an upstream and keeps one idle connection.
    for (int number = 1; number <= 3; ++number) {
        BOOST_TEST(fleet.m_upstreams.at("orders-" + std::to_string(number)).m_peak_open <= 4);
    }
}

/// Guards against idle connections that occupy the upstream's slots after a burst.
BOOST_AUTO_TEST_CASE(idle_connections_are_closed_after_a_burst) {
    test::gateway_fleet fleet(1);
    callers burst;
    send(fleet, burst, "pay", 12, kind::write);
    fleet.run_for(500ms);
    BOOST_TEST(fleet.m_upstreams.at("orders-1").m_open > 2);
    fleet.run_for(5000ms);
    BOOST_TEST(fleet.m_upstreams.at("orders-1").m_open <= 2);
}
