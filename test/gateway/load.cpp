/// \file load.cpp
/// Loads that the queues answer for: a burst of the least urgent work, a group
/// without a primary, replicas that were slow for a while.
#include "support/gateway_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;
using kind = gateway::statement_kind;

namespace {

using callers = std::vector<std::unique_ptr<test::test_caller>>;

/// Sends one statement each from new callers.
void send(test::gateway_fleet& fleet, callers& into, const std::string& database, int count,
          kind what = kind::read) {
    for (int number = 0; number < count; ++number) {
        into.push_back(std::make_unique<test::test_caller>(fleet.instance(1), database));
        into.back()->send(what, what == kind::read ? "READ 1" : "WRITE 1 a");
    }
}

int successes(const callers& all) {
    return static_cast<int>(std::count_if(all.begin(), all.end(), [](const auto& each) {
        return !each->m_answers.empty() && each->m_answers[0].succeeded();
    }));
}

}

BOOST_AUTO_TEST_CASE(urgent_work_does_not_wait_behind_a_burst) {
    test::gateway_fleet fleet(1);
    for (int number = 1; number <= 3; ++number) {
        fleet.m_upstreams.at("orders-" + std::to_string(number)).m_work = 40ms;
    }
    callers reports;
    send(fleet, reports, "look", 200);
    fleet.run_for(60ms);
    callers payments;
    send(fleet, payments, "pay", 2, kind::write);
    fleet.run_for(150ms);
    BOOST_TEST(successes(payments) == 2);
}

BOOST_AUTO_TEST_CASE(what_cannot_start_in_time_is_refused_at_once_as_not_run) {
    test::gateway_fleet fleet(1);
    for (int number = 1; number <= 3; ++number) {
        fleet.m_upstreams.at("orders-" + std::to_string(number)).m_work = 40ms;
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

BOOST_AUTO_TEST_CASE(a_group_that_stays_without_a_primary_refuses_at_once) {
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

BOOST_AUTO_TEST_CASE(replicas_that_were_slow_serve_again) {
    test::gateway_fleet fleet(1);
    fleet.m_upstreams.at("orders-2").m_work = 350ms;
    fleet.m_upstreams.at("orders-3").m_work = 350ms;
    callers reads;
    for (int round = 0; round < 10; ++round) {
        send(fleet, reads, "scan", 2);
        fleet.run_for(200ms);
    }
    fleet.m_upstreams.at("orders-2").m_work = 10ms;
    fleet.m_upstreams.at("orders-3").m_work = 10ms;
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
    BOOST_TEST(fleet.m_upstreams.at("orders-1").m_most_open <= 21);
}

BOOST_AUTO_TEST_CASE(after_a_loss_of_power_each_instance_gets_a_connection) {
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
    // The upstreams still count the connections of before.
    BOOST_TEST(write_everywhere(5) == 30);
}

BOOST_AUTO_TEST_CASE(a_burst_opens_no_more_connections_than_may_run) {
    test::gateway_fleet fleet(1);
    callers burst;
    send(fleet, burst, "look", 150);
    fleet.run_for(500ms);
    // Three statements run at an upstream at once; one idle connection is kept at hand.
    for (int number = 1; number <= 3; ++number) {
        BOOST_TEST(fleet.m_upstreams.at("orders-" + std::to_string(number)).m_most_open <= 4);
    }
}

BOOST_AUTO_TEST_CASE(spare_connections_are_closed_after_a_burst) {
    test::gateway_fleet fleet(1);
    callers burst;
    send(fleet, burst, "pay", 12, kind::write);
    fleet.run_for(500ms);
    BOOST_TEST(fleet.m_upstreams.at("orders-1").m_open > 2);
    fleet.run_for(5000ms);
    BOOST_TEST(fleet.m_upstreams.at("orders-1").m_open <= 2);
}
