/// \file read_routing.cpp
/// Guards against stale reads and against waits that can be avoided: a replica is
/// chosen only when it has, or may soon have, the position that the read requires.
#include "anvilmount/decisions/read_routing.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using std::chrono::seconds;

namespace {

upstream_spec upstream_named(const char* name) {
    return {.m_id = {name}, .m_address = {}, .m_data_centre = {}};
}

const steady_time now{seconds{1000}};

std::vector<upstream_view> group(std::uint64_t first_replica, std::uint64_t second_replica) {
    const auto upstream = [](const char* name, bool primary, std::uint64_t offset) {
        return upstream_view{
            .m_id = {name}, .m_is_primary = primary, .m_applied = {1, offset}, .m_reported_at = now};
    };
    return {upstream("one", true, 100), upstream("two", false, first_replica),
            upstream("three", false, second_replica)};
}

read_requirement at_least(std::uint64_t offset) {
    return {.m_min_position = log_position{.m_term = 1, .m_offset = offset},
            .m_replica_wait = milliseconds{30}};
}

}

BOOST_AUTO_TEST_CASE(a_read_without_a_known_position_goes_to_the_primary) {
    BOOST_TEST(!choose_replica(group(100, 100), {}, now, 0).has_value());
}

BOOST_AUTO_TEST_CASE(a_replica_known_to_have_caught_up_is_preferred) {
    for (std::uint32_t random = 0; random < 10; ++random) {
        BOOST_TEST(choose_replica(group(99, 100), at_least(100), now, random)->m_text == "three");
    }
    BOOST_TEST(choose_replica(group(99, 98), at_least(100), now, 0).has_value());
}

BOOST_AUTO_TEST_CASE(with_zero_replica_wait_only_a_caught_up_replica_is_chosen) {
    read_requirement without_wait = at_least(100);
    without_wait.m_replica_wait = milliseconds{0};
    BOOST_TEST(!choose_replica(group(99, 98), without_wait, now, 0).has_value());
    BOOST_TEST(choose_replica(group(99, 100), without_wait, now, 0).has_value());
}

BOOST_AUTO_TEST_CASE(a_replica_found_behind_is_skipped_by_reads_that_need_that_position) {
    const group_spec spec{.m_name = {"orders"},
                          .m_database = {},
                          .m_user = {},
                          .m_upstreams = {upstream_named("one"), upstream_named("two")},
                          .m_rules = {}};
    group_view view(spec);
    view.record_primary({.m_primary = {"one"}, .m_term = 1});
    view.record_position({"two"}, {1, 50}, now);
    view.record_lag({"two"}, {1, 100}, now);
    BOOST_TEST(!choose_replica(view.upstreams(), at_least(100), now, 0).has_value());
    BOOST_TEST(!choose_replica(view.upstreams(), at_least(101), now, 0).has_value());
    BOOST_TEST(choose_replica(view.upstreams(), at_least(99), now, 0).has_value());
    BOOST_TEST(choose_replica(view.upstreams(), at_least(100), now + milliseconds{20}, 0).has_value());
    // The pause doubles with each consecutive report and ends once the replica has caught up.
    view.record_lag({"two"}, {1, 100}, now + milliseconds{20});
    BOOST_TEST(!choose_replica(view.upstreams(), at_least(100), now + milliseconds{59}, 0).has_value());
    BOOST_TEST(choose_replica(view.upstreams(), at_least(100), now + milliseconds{60}, 0).has_value());
    view.record_position({"two"}, {1, 100}, now + milliseconds{30});
    BOOST_TEST(choose_replica(view.upstreams(), at_least(100), now + milliseconds{31}, 0).has_value());
}

BOOST_AUTO_TEST_CASE(an_avoided_or_leaving_replica_is_not_chosen) {
    auto views = group(100, 100);
    views[1].m_avoid_until = now + seconds{1};
    views[2].m_leaving = true;
    BOOST_TEST(!choose_replica(views, at_least(100), now, 0).has_value());
    views[1].m_avoid_until = now;
    BOOST_TEST(choose_replica(views, at_least(100), now, 0)->m_text == "two");
}

BOOST_AUTO_TEST_CASE(the_replica_with_the_shortest_expected_time_is_chosen) {
    auto views = group(100, 100);
    views[1].m_smoothed_latency = milliseconds{20};
    views[2].m_smoothed_latency = milliseconds{2};
    for (std::uint32_t random = 0; random < 10; ++random) {
        BOOST_TEST(choose_replica(views, at_least(100), now, random)->m_text == "three");
    }
}
