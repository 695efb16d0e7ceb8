/// \file failover.cpp
/// Checks when failover replaces a primary, which upstream it promotes, and when
/// it leaves the group alone. Guards against a change of primary on the view of a
/// single instance or a single replica, without a majority, or too soon after the
/// previous one.
#include "anvilmount/decisions/failover.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace anvilmount;

namespace {

const upstream_id one{"one"};
const upstream_id two{"two"};
const upstream_id three{"three"};

/// Drives the decisions in virtual time, with reports every 50 ms.
class group {
public:
    group() : m_failover({.m_members = {one, two, three}}) {
        m_reports[one] = {
            .m_is_primary = true, .m_term = 1, .m_position = {1, 10}, .m_active_followers = 2};
        for (const upstream_id& replica : {two, three}) {
            m_reports[replica] = {
                .m_term = 1, .m_position = {1, 10}, .m_following = one, .m_stream_works = true};
        }
    }

    /// Advances the time and returns all orders given meanwhile.
    std::vector<failover_order> advance(milliseconds time) {
        std::vector<failover_order> all;
        const steady_time until = m_now + time;
        while (m_now < until) {
            m_now += milliseconds{50};
            for (const auto& [id, report] : m_reports) {
                if (m_silent.contains(id)) {
                    m_failover.on_silence(id, m_now);
                } else {
                    m_failover.on_report(id, report, m_now);
                }
            }
            for (const failover_order& order : m_failover.decide(m_now, 7)) {
                all.push_back(order);
            }
        }
        return all;
    }

    void disconnect_replicas() {
        m_reports[two].m_stream_works = false;
        m_reports[three].m_stream_works = false;
        m_reports[one].m_active_followers = 0;
    }

    steady_time m_now{std::chrono::seconds{100}};
    failover m_failover;
    std::map<upstream_id, member_report> m_reports;
    std::set<upstream_id> m_silent;
};

std::set<upstream_id> raise_term_targets(const std::vector<failover_order>& orders) {
    std::set<upstream_id> targets;
    for (const failover_order& order : orders) {
        if (order.m_kind == order_kind::raise_term) {
            targets.insert(order.m_upstream);
        }
    }
    return targets;
}

}

BOOST_AUTO_TEST_CASE(a_healthy_group_is_left_alone) {
    group healthy;
    BOOST_TEST(healthy.advance(std::chrono::seconds{10}).empty());
}

BOOST_AUTO_TEST_CASE(a_primary_that_only_this_instance_cannot_reach_is_left_alone) {
    group unreachable; // The primary has no connection left for this instance, but answers its replicas.
    unreachable.m_silent = {one};
    BOOST_TEST(unreachable.advance(std::chrono::seconds{10}).empty());
}

BOOST_AUTO_TEST_CASE(a_primary_that_one_replica_cannot_reach_is_left_alone) {
    group degraded;
    degraded.m_reports[two].m_stream_works = false;
    degraded.m_reports[one].m_active_followers = 1;
    BOOST_TEST(degraded.advance(std::chrono::seconds{10}).empty());
}

BOOST_AUTO_TEST_CASE(a_dead_primary_is_replaced_by_the_replica_with_the_greatest_position) {
    group broken;
    broken.advance(std::chrono::seconds{1});
    broken.m_silent = {one};
    broken.disconnect_replicas();
    const auto orders = broken.advance(milliseconds{300});
    BOOST_TEST(raise_term_targets(orders).size() == 3U);
    broken.m_failover.on_order_refused(one, 2, broken.m_now);
    broken.m_failover.on_term_raised(two, 2, {1, 9}, broken.m_now);
    BOOST_TEST(broken.m_failover.decide(broken.m_now, 7).empty());
    broken.m_failover.on_term_raised(three, 2, {1, 10}, broken.m_now);
    const auto promote = broken.m_failover.decide(broken.m_now, 7);
    BOOST_REQUIRE(promote.size() == 1U);
    BOOST_TEST((promote[0].m_kind == order_kind::promote));
    BOOST_TEST(promote[0].m_upstream.m_text == "three");
    BOOST_TEST(promote[0].m_term == 2U);
    broken.m_failover.on_promoted(three, 2, broken.m_now);
    const auto follow = broken.m_failover.decide(broken.m_now, 7);
    BOOST_REQUIRE(follow.size() == 1U);
    BOOST_TEST((follow[0].m_kind == order_kind::follow));
    BOOST_TEST(follow[0].m_upstream.m_text == "two");
    BOOST_TEST(follow[0].m_primary.m_text == "three");
}

BOOST_AUTO_TEST_CASE(a_primary_cut_off_from_its_replicas_is_replaced_even_if_it_answers) {
    group partitioned;
    partitioned.disconnect_replicas();
    BOOST_TEST(raise_term_targets(partitioned.advance(milliseconds{300})).size() == 3U);
    // The old primary holds more records than the others, but none of those was acknowledged.
    partitioned.m_failover.on_term_raised(one, 2, {1, 15}, partitioned.m_now);
    partitioned.m_failover.on_term_raised(two, 2, {1, 10}, partitioned.m_now);
    BOOST_TEST(partitioned.m_failover.decide(partitioned.m_now, 7).empty());
    partitioned.m_failover.on_term_raised(three, 2, {1, 9}, partitioned.m_now);
    BOOST_TEST(partitioned.m_failover.decide(partitioned.m_now, 7).front().m_upstream.m_text == "two");
}

// An upstream that is no member any more was counted for the majority, and could be promoted.
BOOST_AUTO_TEST_CASE(an_upstream_that_left_the_group_during_the_attempt_is_neither_counted_nor_promoted) {
    group tested;
    tested.disconnect_replicas();
    tested.m_silent = {one};
    BOOST_REQUIRE(!tested.advance(milliseconds{300}).empty());
    tested.m_failover.set_options({.m_members = {one, two, upstream_id{"four"}}});
    tested.m_failover.on_term_raised(two, 2, {1, 10}, tested.m_now);
    tested.m_failover.on_term_raised(three, 2, {1, 12}, tested.m_now);
    for (const failover_order& order : tested.advance(milliseconds{350})) {
        BOOST_TEST((order.m_kind != order_kind::promote));
    }
}

BOOST_AUTO_TEST_CASE(without_a_majority_the_term_is_not_raised) {
    group alone;
    alone.disconnect_replicas();
    alone.m_silent = {one, two};
    BOOST_TEST(alone.advance(std::chrono::seconds{10}).empty());
}

BOOST_AUTO_TEST_CASE(disabled_automatic_promotion_and_a_recent_change_prevent_promotion) {
    group paused;
    paused.m_failover.set_options({.m_members = {one, two, three}, .m_automatic = false});
    paused.disconnect_replicas();
    BOOST_TEST(paused.advance(std::chrono::seconds{10}).empty());

    group flapping;
    flapping.disconnect_replicas();
    BOOST_TEST(!flapping.advance(milliseconds{300}).empty());
    flapping.m_failover.on_term_raised(two, 2, {1, 10}, flapping.m_now);
    flapping.m_failover.on_term_raised(three, 2, {1, 9}, flapping.m_now);
    BOOST_TEST(!flapping.m_failover.decide(flapping.m_now, 7).empty());
    flapping.m_failover.on_promoted(two, 2, flapping.m_now);
    flapping.m_reports[two] = {.m_is_primary = true, .m_term = 2, .m_position = {2, 11}};
    flapping.m_reports[three] = {.m_term = 2, .m_position = {1, 9}, .m_following = two};
    flapping.m_reports[one] = {.m_term = 2, .m_position = {1, 10}, .m_following = two};
    BOOST_TEST(raise_term_targets(flapping.advance(milliseconds{900})).empty());
    BOOST_TEST(!raise_term_targets(flapping.advance(milliseconds{700})).empty());
}

BOOST_AUTO_TEST_CASE(an_unfinished_attempt_is_abandoned_and_repeated) {
    group stuck;
    stuck.disconnect_replicas();
    BOOST_TEST(!raise_term_targets(stuck.advance(milliseconds{300})).empty());
    BOOST_TEST(raise_term_targets(stuck.advance(milliseconds{350})).empty());
    BOOST_TEST(!raise_term_targets(stuck.advance(milliseconds{700})).empty());
}

BOOST_AUTO_TEST_CASE(a_returned_primary_of_an_old_term_is_ordered_to_follow) {
    group returned;
    returned.m_reports[two] = {
        .m_is_primary = true, .m_term = 2, .m_position = {2, 12}, .m_active_followers = 1};
    returned.m_reports[three] = {
        .m_term = 2, .m_position = {2, 12}, .m_following = two, .m_stream_works = true};
    const auto orders = returned.advance(milliseconds{50});
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].m_upstream.m_text == "one");
    BOOST_TEST(orders[0].m_primary.m_text == "two");
    BOOST_TEST(orders[0].m_term == 2U);
}

BOOST_AUTO_TEST_CASE(a_requested_switch_drains_the_primary_and_promotes_the_target) {
    group switched;
    switched.advance(milliseconds{200});
    BOOST_TEST(switched.m_failover.request_switch(one, switched.m_now).has_value());
    BOOST_TEST(switched.m_failover.request_switch({"four"}, switched.m_now).has_value());
    BOOST_TEST(!switched.m_failover.request_switch(three, switched.m_now).has_value());
    switched.m_reports[three].m_position = {1, 8};
    const auto hold = switched.advance(milliseconds{100});
    BOOST_REQUIRE(hold.size() == 1U);
    BOOST_TEST((hold[0].m_kind == order_kind::hold_writes));
    switched.m_reports[three].m_position = {1, 10};
    BOOST_TEST(raise_term_targets(switched.advance(milliseconds{50})).size() == 3U);
    for (const upstream_id& id : {one, two, three}) {
        switched.m_failover.on_term_raised(id, 2, {1, 10}, switched.m_now);
    }
    BOOST_TEST(switched.m_failover.decide(switched.m_now, 7).front().m_upstream.m_text == "three");
}
