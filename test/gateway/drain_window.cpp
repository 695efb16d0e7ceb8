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

BOOST_AUTO_TEST_CASE(new_work_ends_before_the_limit) {
    const drain_report serving = next_report(std::nullopt, false, start);
    BOOST_TEST(accepts_new_work(serving, 7s, start + 60s));
    const drain_report leaving = next_report(serving, true, start + 60s);
    BOOST_TEST((next_report(leaving, true, start + 62s) == leaving));
    BOOST_TEST(accepts_new_work(leaving, 7s, start + 66s));
    BOOST_TEST(!accepts_new_work(leaving, 7s, start + 66800ms));
    BOOST_TEST(accepts_new_work(next_report(leaving, false, start + 70s), 7s, start + 70s));
}

BOOST_AUTO_TEST_CASE(the_limit_of_a_report_that_is_learnt_late_counts_from_the_last_news_before) {
    const drain_report leaving = next_report(next_report(std::nullopt, false, start), true, start + 10s);
    BOOST_TEST(accepts_new_work(leaving, 7s, start + 14s));
    BOOST_TEST(!accepts_new_work(leaving, 7s, start + 17s));
}

BOOST_AUTO_TEST_CASE(a_drain_that_began_before_the_first_registration_seen_counts_as_over) {
    BOOST_TEST(!accepts_new_work(next_report(std::nullopt, true, start), 7s, start));
}

BOOST_AUTO_TEST_CASE(without_a_limit_new_work_goes_on) {
    BOOST_TEST(accepts_new_work(next_report(std::nullopt, true, start), 0ms, start + 60s));
}

BOOST_AUTO_TEST_CASE(a_limit_below_the_time_of_a_path_leaves_no_window) {
    const drain_report serving = next_report(std::nullopt, false, start);
    BOOST_TEST(!accepts_new_work(next_report(serving, true, start), 200ms, start));
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
    fleet.run_for(4000ms);
    test::test_caller open(fleet.instance(2), "pay");
    open.send(kind::begin, "BEGIN");
    open.send(kind::write, "WRITE 7 early", {}, {}, true);
    fleet.run_for(200ms);
    BOOST_REQUIRE(open.m_answers.size() == 2U);
    BOOST_TEST(open.m_answers.back().succeeded());
    while (fleet.m_clock.now() < reported_at + 6700ms) {
        fleet.run_for(10ms);
    }
    std::vector<std::unique_ptr<test::test_caller>> callers;
    for (int number = 1; number <= 3; ++number) {
        callers.push_back(std::make_unique<test::test_caller>(fleet.instance(number), "pay"));
        callers.back()->send(kind::write, "WRITE 8 late", {}, {}, true);
    }
    // The route's deadline is a second.
    fleet.run_for(1010ms);
    for (const auto& each : callers) {
        BOOST_REQUIRE(each->m_answers.size() == 1U);
        BOOST_TEST(!each->m_answers[0].succeeded());
    }
    BOOST_TEST(runs("WRITE 8") == 0);
    open.send(kind::commit, "COMMIT");
    fleet.run_for(200ms);
    BOOST_REQUIRE(open.m_answers.size() == 3U);
    BOOST_TEST(open.m_answers.back().succeeded());
}

/// The instance has lost the store when the report is written, and learns of it seconds later.
BOOST_AUTO_TEST_CASE(a_report_that_an_instance_learns_late_leaves_it_less_time) {
    test::gateway_fleet fleet(3);
    BOOST_TEST(fleet.write_succeeds(1, 200ms));
    fleet.m_store.m_unreachable = true;
    fleet.m_upstreams.at("orders-1").m_entry.m_leaving = true;
    const steady_time reported_at = fleet.m_clock.now();
    fleet.run_for(4000ms);
    fleet.publish_registry();
    while (fleet.m_clock.now() < reported_at + 6800ms) {
        fleet.run_for(10ms);
    }
    BOOST_TEST(!fleet.write_succeeds(1, 300ms));
    BOOST_TEST(!fleet.write_succeeds(2, 300ms));
}
