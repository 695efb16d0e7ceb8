/// \file request_routing.cpp
/// Guards against reads on replicas that are too stale, against needless round
/// trips, and against a former primary serving a request: checks the upstream that
/// each kind of request is sent to, and what that upstream must prove first.
#include "anvilmount/decisions/request_routing.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

namespace {

upstream_spec upstream_named(const char* name) {
    return {.m_id = {name}, .m_address = {}, .m_data_centre = {}};
}

const steady_time now{std::chrono::seconds{100}};

group_view caught_up_group() {
    const group_spec spec{.m_name = {"orders"},
                          .m_database = {},
                          .m_user = {},
                          .m_upstreams = {upstream_named("one"), upstream_named("two")},
                          .m_rules = {}};
    group_view view(spec);
    view.record_primary({.m_primary = {"one"}, .m_term = 1});
    view.record_position({"two"}, {1, 50}, now);
    return view;
}

routing_request read_after_position(std::uint64_t offset) {
    return {.m_is_read = true,
            .m_max_staleness = {},
            .m_session_position = log_position{1, offset},
            .m_unconfirmed_write = {}};
}

routing_request read_with_max_staleness(milliseconds max_staleness) {
    return {.m_is_read = true,
            .m_max_staleness = max_staleness,
            .m_session_position = {},
            .m_unconfirmed_write = {}};
}

}

BOOST_AUTO_TEST_CASE(a_write_is_fenced_only_when_its_reply_does_not_wait_for_a_majority) {
    group_view view = caught_up_group();
    const routing_request waits_for_majority{.m_max_staleness = {},
                                             .m_session_position = {},
                                             .m_unconfirmed_write = {},
                                             .m_waits_for_majority = true};
    const routing_request begin{.m_max_staleness = {}, .m_session_position = {}, .m_unconfirmed_write = {}};
    BOOST_TEST(plan_route(view, waits_for_majority, now, 0).m_upstream.m_text == "one");
    BOOST_TEST(!plan_route(view, waits_for_majority, now, 0).m_fence);
    BOOST_TEST(plan_route(view, begin, now, 0).m_fence);
    BOOST_TEST(!plan_route(view, begin, now, 0).m_only_position);
}

BOOST_AUTO_TEST_CASE(a_session_read_goes_to_a_replica_with_its_position) {
    group_view view = caught_up_group();
    const routing_plan plan = plan_route(view, read_after_position(50), now, 0);
    BOOST_TEST(plan.m_upstream.m_text == "two");
    BOOST_TEST(!plan.m_needs_primary);
    BOOST_TEST(plan.m_min_position->m_offset == 50U);
    routing_request retried = read_after_position(50);
    retried.m_replica_was_behind = true;
    BOOST_TEST(plan_route(view, retried, now, 0).m_upstream.m_text == "one");
}

BOOST_AUTO_TEST_CASE(a_read_of_a_new_session_first_gets_a_position_from_the_primary) {
    group_view view = caught_up_group();
    const routing_request first_read{
        .m_is_read = true, .m_max_staleness = {}, .m_session_position = {}, .m_unconfirmed_write = {}};
    const routing_plan plan = plan_route(view, first_read, now, 0);
    BOOST_TEST(plan.m_upstream.m_text == "one");
    BOOST_TEST(plan.m_only_position);
    BOOST_TEST(plan.m_fence);
    // Without a replica to read from the extra round trip is useless.
    view.avoid({"two"}, now + std::chrono::seconds{1});
    BOOST_TEST(!plan_route(view, first_read, now, 0).m_only_position);
    BOOST_TEST(plan_route(view, first_read, now, 0).m_fence);
}

BOOST_AUTO_TEST_CASE(a_bounded_staleness_read_needs_a_proof_within_the_bound) {
    group_view view = caught_up_group();
    BOOST_TEST(plan_route(view, read_with_max_staleness(milliseconds{500}), now, 0).m_upstream.m_text ==
               "one");
    view.record_proof({.m_at = now - milliseconds{600}, .m_position = {1, 20}});
    view.record_proof({.m_at = now - milliseconds{300}, .m_position = {1, 40}});
    BOOST_TEST(plan_route(view, read_with_max_staleness(milliseconds{200}), now, 0).m_upstream.m_text ==
               "one");
    const routing_plan recent = plan_route(view, read_with_max_staleness(milliseconds{500}), now, 0);
    BOOST_TEST(recent.m_upstream.m_text == "two");
    BOOST_TEST(recent.m_min_position->m_offset == 40U);
    BOOST_TEST((*recent.m_fresh_until == now + milliseconds{200}));
    // The oldest proof within the bound requires the lowest position.
    BOOST_TEST(
        plan_route(view, read_with_max_staleness(milliseconds{700}), now, 0).m_min_position->m_offset ==
        20U);
    routing_request with_position = read_with_max_staleness(milliseconds{700});
    with_position.m_session_position = log_position{1, 45};
    BOOST_TEST(plan_route(view, with_position, now, 0).m_min_position->m_offset == 45U);
}

BOOST_AUTO_TEST_CASE(an_unconfirmed_write_is_looked_up_at_a_proven_primary) {
    group_view view = caught_up_group();
    const routing_request unconfirmed{
        .m_max_staleness = {}, .m_session_position = {}, .m_unconfirmed_write = log_position{1, 47}};
    const routing_plan plan = plan_route(view, unconfirmed, now, 0);
    BOOST_TEST(plan.m_only_position);
    BOOST_TEST(plan.m_fence);
    BOOST_TEST(plan.m_min_position->m_offset == 47U);
}
