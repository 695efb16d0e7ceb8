/// \file drain_window.cpp
/// The limit on new work for an upstream that is being drained, alone and in a fleet that no coordinator
/// can serve: the case of statements that reached a draining primary after its bound.
#include "support/gateway_fleet.hpp"

#include "anvilmount/decisions/drain_window.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace anvilmount;
using namespace std::chrono_literals;
using kind = gateway::statement_kind;

namespace {

const steady_time start{1h};

}

BOOST_AUTO_TEST_CASE(the_window_closes_before_the_limit) {
    drain_window window(7s);
    window.observe(false, start);
    BOOST_TEST(window.is_open(start + 60s));
    window.observe(true, start + 60s);
    window.observe(true, start + 62s);
    BOOST_TEST(window.is_open(start + 65s));
    BOOST_TEST(!window.is_open(start + 67s));
    window.observe(false, start + 70s);
    BOOST_TEST(window.is_open(start + 70s));
}

BOOST_AUTO_TEST_CASE(a_drain_that_began_unseen_counts_as_over) {
    drain_window window(7s);
    window.observe(true, start);
    BOOST_TEST(!window.is_open(start));
}

BOOST_AUTO_TEST_CASE(without_a_limit_the_window_stays_open) {
    drain_window window(0ms);
    window.observe(true, start);
    BOOST_TEST(window.is_open(start + 60s));
}

BOOST_AUTO_TEST_CASE(a_limit_below_the_delay_of_news_leaves_no_window) {
    drain_window window(500ms);
    window.observe(false, start);
    window.observe(true, start);
    BOOST_TEST(!window.is_open(start));
}

BOOST_AUTO_TEST_CASE(no_statement_reaches_a_draining_primary_after_its_limit_while_no_coordinator_acts) {
    test::gateway_fleet fleet(3);
    for (int number = 1; number <= 3; ++number) {
        BOOST_TEST(fleet.write_succeeds(number, 200ms));
    }
    const auto runs = [&](const std::string& text) {
        return std::count_if(
            fleet.m_upstreams.m_runs.begin(), fleet.m_upstreams.m_runs.end(),
            [&](const test::run_statement& each) { return each.m_text.starts_with(text); });
    };
    fleet.m_store.m_unreachable = true;
    fleet.m_upstreams.at("orders-1").m_entry.m_leaving = true;
    fleet.publish_registry();
    const steady_time reported_at = fleet.m_clock.now();
    BOOST_TEST(fleet.write_succeeds(1, 200ms));
    fleet.run_for(5000ms);
    test::test_caller open(fleet.instance(2), "pay");
    open.send(kind::begin, "BEGIN");
    open.send(kind::write, "WRITE 7 early", {}, {}, true);
    fleet.run_for(200ms);
    BOOST_REQUIRE(open.m_answers.size() == 2U);
    BOOST_TEST(open.m_answers.back().succeeded());
    while (fleet.m_clock.now() < reported_at + 6500ms) {
        fleet.run_for(10ms);
    }
    for (int round = 0; fleet.m_clock.now() < reported_at + 8000ms; ++round) {
        test::test_caller caller(fleet.instance(1 + round % 3), "pay");
        caller.send(kind::write, "WRITE 8 late", {}, {}, true);
        fleet.run_for(300ms);
        // Refused before the caller's deadline of a second, so that it can go elsewhere.
        BOOST_REQUIRE(caller.m_answers.size() == 1U);
        BOOST_TEST(!caller.m_answers[0].succeeded());
    }
    BOOST_TEST(runs("WRITE 8") == 0);
    open.send(kind::commit, "COMMIT");
    fleet.run_for(200ms);
    BOOST_REQUIRE(open.m_answers.size() == 3U);
    BOOST_TEST(open.m_answers.back().succeeded());
}
