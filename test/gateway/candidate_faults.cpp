/// \file candidate_faults.cpp
/// Changes of primary in virtual time while one replica receives nothing. The upstream that is promoted
/// must hold what another one that runs still has, and a planned change must not stop writes for a replica
/// that does not catch up.
#include "support/gateway_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

/// A replica that serves all reads of its group answers status requests later than an idle one.
constexpr milliseconds busy_status_time{30};

/// Three instances; orders-2 receives nothing and reports at once, orders-3 receives all and is busy.
struct lagging_fleet {
    test::gateway_fleet m_fleet{3};
    int m_acknowledged{0};

    lagging_fleet() {
        m_fleet.m_upstreams.at("orders-3").m_status_time = busy_status_time;
        write(5);
        m_fleet.m_upstreams.set_receiving("orders-2", false);
        write(20);
    }

    /// Sends a write at each instance in turn, `count` times in all.
    void write(int count) {
        for (int number = 0; number < count; ++number) {
            m_acknowledged += m_fleet.write_succeeds(1 + number % 3, 100ms) ? 1 : 0;
        }
    }

    /// Sends writes for a while and returns how many were acknowledged.
    int write_for(milliseconds time) {
        const steady_time until = m_fleet.m_clock.now() + time;
        const int before = m_acknowledged;
        while (m_fleet.m_clock.now() < until) {
            write(1);
        }
        return m_acknowledged - before;
    }

    test::fake_upstream& upstream(const std::string& id) { return m_fleet.m_upstreams.at(id); }

    void leave_primary() {
        upstream("orders-1").m_entry.m_leaving = true;
        m_fleet.publish_registry();
    }
};

}

// Issue 63, case 11 of the review: acknowledged commits were lost although the other replica held them.
BOOST_AUTO_TEST_CASE(the_replica_that_reports_first_is_not_promoted_if_another_holds_more) {
    lagging_fleet tested;
    tested.m_fleet.m_upstreams.crash("orders-1");
    tested.m_fleet.run_for(3000ms);
    BOOST_TEST(tested.upstream("orders-3").m_is_primary);
    BOOST_TEST(!tested.upstream("orders-2").m_is_primary);
    BOOST_TEST(tested.m_fleet.write_succeeds(1, 100ms));
}

// The first coordinator had reports of one replica only.
BOOST_AUTO_TEST_CASE(the_next_coordinator_does_not_promote_a_recorded_candidate_that_is_behind) {
    lagging_fleet tested;
    tested.upstream("orders-3").m_ignores_status = true;
    tested.m_fleet.m_upstreams.crash("orders-1");
    const int first = tested.m_fleet.coordinator();
    while (!tested.m_fleet.instance(first).state_dump()["groups"]["orders"]["switching"].get<bool>()) {
        tested.m_fleet.run_for(20ms);
    }
    tested.m_fleet.kill(first);
    tested.upstream("orders-3").m_ignores_status = false;
    tested.m_fleet.run_for(20000ms);
    BOOST_TEST(tested.upstream("orders-3").m_is_primary);
    BOOST_TEST(!tested.upstream("orders-2").m_is_primary);
}

// Issue 63, case 12 of the review: the candidate was promoted after 1.5 s without what it had not received.
BOOST_AUTO_TEST_CASE(a_planned_switch_does_not_promote_a_replica_that_is_behind) {
    lagging_fleet tested;
    tested.leave_primary();
    tested.write_for(5000ms);
    BOOST_TEST(tested.upstream("orders-3").m_is_primary);
    BOOST_TEST(!tested.upstream("orders-2").m_is_primary);
}

// Writes stopped for a candidate that did not catch up, while the old primary served.
BOOST_AUTO_TEST_CASE(writes_go_on_while_no_replica_can_replace_a_leaving_primary) {
    lagging_fleet tested;
    tested.m_fleet.m_upstreams.set_receiving("orders-3", false);
    tested.write(3);
    tested.leave_primary();
    BOOST_TEST(tested.write_for(4000ms) >= 30);
    BOOST_TEST(tested.m_fleet.m_upstreams.m_promotions == 0);
    tested.m_fleet.m_upstreams.set_receiving("orders-2", true);
    tested.write_for(2000ms);
    BOOST_TEST(tested.upstream("orders-2").m_is_primary);
}

// The replica ceases to receive between the record and the promotion.
BOOST_AUTO_TEST_CASE(a_planned_switch_whose_candidate_falls_behind_takes_another_or_goes_back) {
    lagging_fleet tested;
    tested.m_fleet.m_upstreams.set_receiving("orders-2", true);
    tested.leave_primary();
    tested.write_for(80ms);
    for (const char* each : {"orders-2", "orders-3"}) {
        tested.m_fleet.m_upstreams.set_receiving(each, false);
    }
    tested.write_for(3000ms);
    const log_position held = tested.upstream("orders-1").m_position;
    for (const char* each : {"orders-2", "orders-3"}) {
        BOOST_TEST((!tested.upstream(each).m_is_primary || tested.upstream(each).m_position >= held));
    }
    BOOST_TEST(tested.write_for(1000ms) >= 5);
}

// A replica that is registered and does not answer holds the group for a bounded time.
BOOST_AUTO_TEST_CASE(a_replica_that_never_reports_does_not_keep_the_group_without_a_primary) {
    lagging_fleet tested;
    tested.upstream("orders-3").m_ignores_status = true;
    tested.m_fleet.m_upstreams.crash("orders-1");
    tested.m_fleet.run_for(5000ms);
    BOOST_TEST(tested.upstream("orders-2").m_is_primary);
    BOOST_TEST(tested.m_fleet.write_succeeds(1, 100ms));
}

namespace {

/// Returns the median over different moments of the time until writes succeed again, with all upstreams
/// answering at once. `planned`: the primary leaves; otherwise it crashes.
milliseconds median_gap(bool planned) {
    constexpr int moments = 21;
    constexpr milliseconds attempt_time{20};
    std::vector<milliseconds> gaps;
    for (int moment = 0; moment < moments; ++moment) {
        test::gateway_fleet fleet(3);
        fleet.run_for(1000ms + 70ms * moment);
        for (int number = 1; number <= 3; ++number) {
            BOOST_REQUIRE(fleet.write_succeeds(number, 100ms));
        }
        if (planned) {
            fleet.m_upstreams.at("orders-1").m_entry.m_leaving = true;
            fleet.publish_registry();
        } else {
            fleet.m_upstreams.crash("orders-1");
        }
        steady_time last = fleet.m_clock.now();
        milliseconds longest{0};
        const steady_time until = last + 4000ms;
        while (fleet.m_clock.now() < until) {
            if (fleet.write_succeeds(1 + moment % 3, attempt_time)) {
                longest =
                    std::max(longest, std::chrono::duration_cast<milliseconds>(fleet.m_clock.now() - last));
                last = fleet.m_clock.now();
            }
        }
        BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
        gaps.push_back(longest);
    }
    std::sort(gaps.begin(), gaps.end());
    return gaps[gaps.size() / 2];
}

}

// Waiting for reports must not delay a change of primary whose reports all come in time. The promotion
// itself takes 600 ms.
BOOST_AUTO_TEST_CASE(a_change_of_primary_with_all_reports_stops_writes_for_less_than_a_second) {
    const milliseconds after_crash = median_gap(false);
    const milliseconds when_planned = median_gap(true);
    BOOST_TEST_MESSAGE("gap after a crash " << after_crash.count() << " ms, planned "
                                            << when_planned.count() << " ms");
    BOOST_TEST(after_crash.count() < 1000);
    BOOST_TEST(when_planned.count() < 900);
}
