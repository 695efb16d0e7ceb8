/// \file request_routing.cpp
/// Where each kind of request goes, and what is asked of its upstream first.
#include "anvilmount/decisions/request_routing.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

namespace {

upstream_spec named(const char* name) {
    return {.m_id = {name}, .m_address = {}, .m_data_centre = {}};
}

const steady_time now{std::chrono::seconds{100}};

group_view caught_up_group() {
    const group_spec spec{.m_name = {"orders"},
                          .m_database = {},
                          .m_user = {},
                          .m_upstreams = {named("one"), named("two")},
                          .m_rules = {}};
    group_view view(spec);
    view.note_primary({.m_primary = {"one"}, .m_term = 1});
    view.note_position({"two"}, {1, 50}, now);
    return view;
}

routing_request read_with_token(std::uint64_t offset) {
    return {.m_is_read = true,
            .m_max_staleness = {},
            .m_session_position = log_position{1, offset},
            .m_unconfirmed_write = {}};
}

routing_request read_of_age(milliseconds age) {
    return {.m_is_read = true, .m_max_staleness = age, .m_session_position = {}, .m_unconfirmed_write = {}};
}

}

BOOST_AUTO_TEST_CASE(a_write_goes_to_the_primary_and_is_fenced_only_when_nothing_else_proves_it) {
    group_view view = caught_up_group();
    const routing_request held{.m_max_staleness = {},
                               .m_session_position = {},
                               .m_unconfirmed_write = {},
                               .m_waits_for_majority = true};
    const routing_request begin{.m_max_staleness = {}, .m_session_position = {}, .m_unconfirmed_write = {}};
    BOOST_TEST(plan_route(view, held, now, 0).m_upstream.m_text == "one");
    BOOST_TEST(!plan_route(view, held, now, 0).m_fence);
    BOOST_TEST(plan_route(view, begin, now, 0).m_fence);
    BOOST_TEST(!plan_route(view, begin, now, 0).m_only_position);
}

BOOST_AUTO_TEST_CASE(a_session_read_goes_to_a_replica_with_its_token) {
    group_view view = caught_up_group();
    const routing_plan plan = plan_route(view, read_with_token(50), now, 0);
    BOOST_TEST(plan.m_upstream.m_text == "two");
    BOOST_TEST(!plan.m_needs_primary);
    BOOST_TEST(plan.m_min_position->m_offset == 50U);
    routing_request again = read_with_token(50);
    again.m_replica_was_behind = true;
    BOOST_TEST(plan_route(view, again, now, 0).m_upstream.m_text == "one");
}

BOOST_AUTO_TEST_CASE(a_new_session_first_asks_the_primary_what_it_must_see) {
    group_view view = caught_up_group();
    const routing_request fresh{
        .m_is_read = true, .m_max_staleness = {}, .m_session_position = {}, .m_unconfirmed_write = {}};
    const routing_plan plan = plan_route(view, fresh, now, 0);
    BOOST_TEST(plan.m_upstream.m_text == "one");
    BOOST_TEST(plan.m_only_position);
    BOOST_TEST(plan.m_fence);
    // With no replica to read from there is nothing to gain by asking first.
    view.avoid({"two"}, now + std::chrono::seconds{1});
    BOOST_TEST(!plan_route(view, fresh, now, 0).m_only_position);
    BOOST_TEST(plan_route(view, fresh, now, 0).m_fence);
}

BOOST_AUTO_TEST_CASE(a_read_of_a_stated_age_needs_a_proof_within_it) {
    group_view view = caught_up_group();
    BOOST_TEST(plan_route(view, read_of_age(milliseconds{500}), now, 0).m_upstream.m_text == "one");
    view.note_proven({.m_at = now - milliseconds{600}, .m_position = {1, 20}});
    view.note_proven({.m_at = now - milliseconds{300}, .m_position = {1, 40}});
    BOOST_TEST(plan_route(view, read_of_age(milliseconds{200}), now, 0).m_upstream.m_text == "one");
    const routing_plan young = plan_route(view, read_of_age(milliseconds{500}), now, 0);
    BOOST_TEST(young.m_upstream.m_text == "two");
    BOOST_TEST(young.m_min_position->m_offset == 40U);
    BOOST_TEST((*young.m_fresh_until == now + milliseconds{200}));
    // The oldest proof that is young enough asks least.
    BOOST_TEST(plan_route(view, read_of_age(milliseconds{700}), now, 0).m_min_position->m_offset == 20U);
    routing_request own_writes = read_of_age(milliseconds{700});
    own_writes.m_session_position = log_position{1, 45};
    BOOST_TEST(plan_route(view, own_writes, now, 0).m_min_position->m_offset == 45U);
}

BOOST_AUTO_TEST_CASE(a_write_to_settle_is_looked_for_at_a_proven_primary) {
    group_view view = caught_up_group();
    const routing_request lost_sight{
        .m_max_staleness = {}, .m_session_position = {}, .m_unconfirmed_write = log_position{1, 47}};
    const routing_plan plan = plan_route(view, lost_sight, now, 0);
    BOOST_TEST(plan.m_only_position);
    BOOST_TEST(plan.m_fence);
    BOOST_TEST(plan.m_min_position->m_offset == 47U);
}
