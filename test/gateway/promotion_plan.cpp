/// \file promotion_plan.cpp
/// Checks the coordinator's steps: which candidate is promoted, when, and above all
/// when not yet. Guards against two usable primaries: a candidate promoted while an
/// instance may still use the old primary.
#include "anvilmount/decisions/promotion_plan.hpp"

#include "anvilmount/decisions/era_number.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

const steady_time start{100s};
const plan_options options{.m_lease = 12s};

log_position at(std::uint64_t term, std::uint64_t offset) {
    return {.m_term = term, .m_offset = offset};
}

plan_upstream upstream(const char* id, bool is_primary, std::uint64_t offset) {
    return {.m_id = {id},
            .m_registered = true,
            .m_registered_as_primary = is_primary,
            .m_status_at = start,
            .m_is_primary = is_primary,
            .m_term = 1,
            .m_position = at(1, offset)};
}

plan_view healthy() {
    return {.m_record = {.m_epoch = 5, .m_primary = {"a"}, .m_term = 1, .m_start = at(1, 1)},
            .m_upstreams = {upstream("a", true, 100), upstream("b", false, 90), upstream("c", false, 95)},
            .m_instances = {plan_instance{.m_has_acknowledged = true},
                            plan_instance{.m_has_acknowledged = true},
                            plan_instance{.m_has_acknowledged = true}},
            .m_record_seen_at = start};
}

void lose_primary(plan_view& view) {
    view.m_upstreams[0].m_status_at.reset();
    view.m_coordinator_cannot_reach_primary = true;
    for (plan_instance& each : view.m_instances) {
        each.m_cannot_reach_primary = true;
    }
}

void report_at(plan_view& view, steady_time now) {
    for (plan_upstream& each : view.m_upstreams) {
        if (each.m_status_at) {
            each.m_status_at = now;
        }
    }
}

/// Gives the plan what it orders to be written.
void adopt(plan_view& view, const plan_order& order, steady_time now) {
    BOOST_REQUIRE((order.m_step == plan_step::write_record));
    view.m_record = order.m_record;
    view.m_record_seen_at = now;
}

plan_view switching(bool planned) {
    plan_view view = healthy();
    view.m_record.m_epoch = 6;
    view.m_record.m_stage = group_stage::switching;
    view.m_record.m_candidate = {"c"};
    view.m_record.m_planned = planned;
    if (!planned) {
        lose_primary(view);
    }
    return view;
}

}

BOOST_AUTO_TEST_CASE(a_group_without_a_record_gets_one_that_names_its_primary) {
    plan_view view = healthy();
    view.m_record = {};
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_primary.m_text == "a");
    BOOST_TEST(order.m_record.m_epoch == 1U);
    BOOST_TEST(order.m_record.m_term == 1U);
}

BOOST_AUTO_TEST_CASE(a_healthy_group_is_left_alone) {
    BOOST_TEST((promotion_plan(options).next(healthy(), start).m_step == plan_step::wait));
}

BOOST_AUTO_TEST_CASE(a_primary_that_most_instances_cannot_reach_is_replaced_by_the_most_advanced_replica) {
    plan_view view = healthy();
    lose_primary(view);
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST((order.m_record.m_stage == group_stage::switching));
    BOOST_TEST(order.m_record.m_candidate.m_text == "c");
    BOOST_TEST(!order.m_record.m_planned);
}

BOOST_AUTO_TEST_CASE(a_primary_that_only_the_coordinator_cannot_reach_is_kept) {
    plan_view view = healthy();
    view.m_coordinator_cannot_reach_primary = true;
    view.m_instances[0].m_cannot_reach_primary = true;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::wait));
}

BOOST_AUTO_TEST_CASE(a_primary_that_half_of_the_instances_reach_is_kept) {
    plan_view view = healthy();
    view.m_coordinator_cannot_reach_primary = true;
    view.m_instances.assign(4, {.m_has_acknowledged = true});
    view.m_instances[0].m_cannot_reach_primary = true;
    view.m_instances[1].m_cannot_reach_primary = true;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::wait));
    view.m_instances[2].m_cannot_reach_primary = true;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::write_record));
}

BOOST_AUTO_TEST_CASE(instances_without_heartbeats_are_not_counted_against_a_primary) {
    // Of six instances, two reach only the store, two reach the store and the primary,
    // and two are cut off from the store.
    plan_view view = healthy();
    view.m_coordinator_cannot_reach_primary = true;
    view.m_instances.assign(6, {.m_has_acknowledged = true});
    for (const std::size_t cut_from_primary : {0U, 1U}) {
        view.m_instances[cut_from_primary].m_cannot_reach_primary = true;
    }
    for (const std::size_t cut_from_store : {4U, 5U}) {
        view.m_instances[cut_from_store] = {.m_cannot_reach_primary = true, .m_is_alive = false};
    }
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::wait));
    view.m_instances[2].m_cannot_reach_primary = true;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::write_record));
}

BOOST_AUTO_TEST_CASE(only_instances_with_connections_are_counted_against_a_primary) {
    plan_view view = healthy();
    view.m_coordinator_cannot_reach_primary = true;
    view.m_instances.assign(10, {.m_has_acknowledged = true, .m_has_connections = false});
    view.m_instances[0] = {
        .m_has_acknowledged = true, .m_has_connections = true, .m_cannot_reach_primary = true};
    view.m_instances[1] = {
        .m_has_acknowledged = true, .m_has_connections = true, .m_cannot_reach_primary = false};
    view.m_instances[2] = {
        .m_has_acknowledged = true, .m_has_connections = true, .m_cannot_reach_primary = false};
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::wait));
    view.m_instances[1].m_cannot_reach_primary = true;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::write_record));
}

BOOST_AUTO_TEST_CASE(a_leaving_primary_is_replaced_by_a_planned_switch) {
    plan_view view = healthy();
    view.m_upstreams[0].m_leaving = true;
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    report_at(view, start + 40ms);
    BOOST_TEST((plan.next(view, start + 40ms).m_step == plan_step::request_status));
    view.m_upstreams[2].m_position = at(1, 100);
    const plan_order order = plan.next(view, start + 40ms);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST((order.m_record.m_stage == group_stage::switching));
    BOOST_TEST(order.m_record.m_candidate.m_text == "c");
    BOOST_TEST(order.m_record.m_planned);
}

BOOST_AUTO_TEST_CASE(nobody_is_promoted_while_an_instance_may_use_the_old_primary) {
    plan_view view = switching(false);
    view.m_instances[1].m_has_acknowledged = false;
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step != plan_step::promote));
    BOOST_TEST((plan.next(view, start + 11s).m_step != plan_step::promote));
    for (const std::size_t replica : {1U, 2U}) {
        view.m_upstreams[replica].m_status_at = start + 15s;
    }
    BOOST_TEST((plan.next(view, start + 13s).m_step != plan_step::promote));
    BOOST_TEST((plan.next(view, start + 15s).m_step == plan_step::promote));
}

BOOST_AUTO_TEST_CASE(a_promotion_does_not_wait_for_an_instance_whose_lease_is_over) {
    plan_view view = switching(false);
    view.m_instances[1] = {.m_has_acknowledged = false, .m_cannot_use_primary = true};
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::promote));
    BOOST_TEST(order.m_target.m_text == "c");
}

/// To other instances the path may be open.
BOOST_AUTO_TEST_CASE(a_primary_that_refuses_connections_is_not_replaced_while_an_instance_may_use_it) {
    plan_view view = switching(false);
    view.m_instances[1].m_has_acknowledged = false;
    view.m_primary_refuses_connections = true;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::request_status));
    view.m_instances[1].m_has_acknowledged = true;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::promote));
}

BOOST_AUTO_TEST_CASE(the_candidate_of_a_planned_switch_catches_up_before_promotion) {
    plan_view view = switching(true);
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    view.m_upstreams[2].m_position = at(1, 100);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::promote));
}

BOOST_AUTO_TEST_CASE(a_primary_that_recovers_before_the_promotion_is_ordered_is_kept) {
    plan_view view = switching(false);
    view.m_upstreams[0].m_status_at = start;
    view.m_coordinator_cannot_reach_primary = false;
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST((order.m_record.m_stage == group_stage::steady));
    BOOST_TEST(order.m_record.m_primary.m_text == "a");
    BOOST_TEST(order.m_record.m_term == 1U);
}

BOOST_AUTO_TEST_CASE(a_recovered_primary_is_not_announced_while_a_promotion_may_take_effect) {
    plan_view view = switching(false);
    view.m_upstreams[0].m_status_at = start;
    view.m_coordinator_cannot_reach_primary = false;
    view.m_pending_orders = {{"c"}};
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::promote));
    BOOST_TEST(order.m_target.m_text == "c");
}

BOOST_AUTO_TEST_CASE(a_primary_of_a_newer_term_is_not_announced_while_another_promotion_may_take_effect) {
    for (const auto stage : {group_stage::switching, group_stage::steady}) {
        plan_view view = switching(false);
        view.m_record.m_stage = stage;
        view.m_upstreams[1].m_is_primary = true;
        view.m_upstreams[1].m_term = 2;
        view.m_pending_orders = {{"b"}, {"c"}};
        BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::request_status));
        view.m_pending_orders = {{"b"}};
        const plan_order order = promotion_plan(options).next(view, start);
        BOOST_TEST((order.m_step == plan_step::write_record));
        BOOST_TEST(order.m_record.m_primary.m_text == "b");
    }
}

BOOST_AUTO_TEST_CASE(
    without_coordinator_connections_the_other_instances_decide_that_the_primary_recovered) {
    plan_view view = switching(false);
    view.m_upstreams[0].m_status_at = start;
    view.m_coordinator_has_connections = false;
    view.m_instances.assign(6, {.m_has_acknowledged = true, .m_cannot_reach_primary = true});
    view.m_instances[5].m_has_acknowledged = false;
    view.m_instances[0].m_has_connections = false;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::request_status));
    for (plan_instance& each : view.m_instances) {
        each.m_cannot_reach_primary = false;
    }
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST((order.m_record.m_stage == group_stage::steady));
    BOOST_TEST(order.m_record.m_primary.m_text == "a");
}

BOOST_AUTO_TEST_CASE(a_promotion_is_ordered_only_once_before_its_timeout) {
    plan_view view = switching(false);
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::promote));
    plan.record_promotion_result(true, start + 10ms);
    BOOST_TEST((plan.next(view, start + 300ms).m_step == plan_step::request_status));
    BOOST_TEST((plan.next(view, start + 1400ms).m_step == plan_step::request_status));
}

BOOST_AUTO_TEST_CASE(a_new_coordinator_requests_status_before_it_orders_a_promotion) {
    plan_view view = switching(false);
    view.m_upstreams[2].m_status_at.reset();
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    view.m_upstreams[2].m_status_at = start;
    BOOST_TEST((plan.next(view, start).m_step == plan_step::promote));
}

BOOST_AUTO_TEST_CASE(an_unresponsive_candidate_is_replaced) {
    plan_view view = switching(false);
    view.m_upstreams[1].m_status_at = start + 2s;
    view.m_upstreams[2].m_status_at.reset();
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    const plan_order order = plan.next(view, start + 2s);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_candidate.m_text == "b");
}

BOOST_AUTO_TEST_CASE(a_candidate_that_is_not_running_is_replaced_in_a_new_epoch) {
    plan_view view = switching(false);
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::promote));
    plan.record_promotion_result(false, start + 10ms);
    view.m_upstreams[2].m_registered = false;
    const plan_order order = plan.next(view, start + 20ms);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_candidate.m_text == "b");
    BOOST_TEST(order.m_record.m_epoch == 7U);
}

BOOST_AUTO_TEST_CASE(a_new_coordinator_finishes_a_switch_that_its_predecessor_began) {
    plan_view view = switching(false);
    view.m_upstreams[2].m_is_primary = true;
    view.m_upstreams[2].m_term = 2;
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST((order.m_record.m_stage == group_stage::steady));
    BOOST_TEST(order.m_record.m_primary.m_text == "c");
    BOOST_TEST(order.m_record.m_term == 2U);
}

// An overloaded upstream that answered later than reports are kept was never announced.
BOOST_AUTO_TEST_CASE(a_new_primary_that_answers_late_is_announced) {
    plan_view view = switching(false);
    view.m_upstreams[2].m_is_primary = true;
    view.m_upstreams[2].m_term = 2;
    view.m_upstreams[2].m_answered_at = start + 600ms;
    const plan_order order = promotion_plan(options).next(view, start + 600ms);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_primary.m_text == "c");
}

BOOST_AUTO_TEST_CASE(a_new_primary_is_not_announced_while_the_old_one_serves) {
    plan_view view = switching(false);
    view.m_instances[1].m_has_acknowledged = false;
    view.m_upstreams[2].m_is_primary = true;
    view.m_upstreams[2].m_term = 2;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::request_status));
    view.m_upstreams[0].m_status_at = start;
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::demote));
    BOOST_TEST(order.m_target.m_text == "a");
    view.m_upstreams[0].m_is_primary = false;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::write_record));
}

BOOST_AUTO_TEST_CASE(an_old_primary_of_an_earlier_term_is_demoted) {
    plan_view view = healthy();
    view.m_record.m_primary = {"b"};
    view.m_record.m_term = 2;
    view.m_upstreams[1].m_is_primary = true;
    view.m_upstreams[1].m_term = 2;
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::demote));
    BOOST_TEST(order.m_target.m_text == "a");
    BOOST_TEST(order.m_term == 2U);
}

namespace {

/// The store came back from an older copy; the record is from before.
plan_view restored() {
    plan_view view = healthy();
    view.m_era = 2;
    view.m_era_seen_at = start;
    return view;
}

}

BOOST_AUTO_TEST_CASE(a_record_from_an_earlier_era_is_written_anew_once_the_upstreams_agree) {
    const plan_view view = restored();
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_epoch == next_number(5, 2));
    BOOST_TEST(order.m_record.m_primary.m_text == "a");
    plan_view confirmed = view;
    confirmed.m_record = order.m_record;
    BOOST_TEST((promotion_plan(options).next(confirmed, start).m_step == plan_step::wait));
}

BOOST_AUTO_TEST_CASE(a_record_from_an_earlier_era_is_not_written_while_a_promotion_may_take_effect) {
    plan_view view = restored();
    view.m_pending_orders = {{"c"}};
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::request_status));
}

BOOST_AUTO_TEST_CASE(a_recovered_primary_is_not_announced_while_the_store_may_have_forgotten_an_order) {
    plan_view view = switching(false);
    view.m_upstreams[0].m_status_at = start;
    view.m_coordinator_cannot_reach_primary = false;
    view.m_era = 2;
    view.m_knows_all_orders = false;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step != plan_step::write_record));
    view.m_knows_all_orders = true;
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_REQUIRE((order.m_step == plan_step::write_record));
    BOOST_TEST((order.m_record.m_stage == group_stage::steady));
    BOOST_TEST(order.m_record.m_primary.m_text == "a");
}

BOOST_AUTO_TEST_CASE(a_record_from_an_earlier_era_is_not_written_while_a_newer_one_may_be_known) {
    plan_view view = restored();
    view.m_lost_records_written = false;
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::request_status));
    view.m_record = {};
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::request_status));
}

/// A silent upstream may have been promoted by a change that the store forgot.
BOOST_AUTO_TEST_CASE(a_record_from_an_earlier_era_waits_for_every_upstream_or_the_lease) {
    plan_view view = restored();
    view.m_upstreams[1].m_status_at.reset();
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::request_status));
    view.m_upstreams[0].m_status_at = start + options.m_lease;
    BOOST_TEST(
        (promotion_plan(options).next(view, start + options.m_lease).m_step == plan_step::write_record));
}

BOOST_AUTO_TEST_CASE(a_promotion_that_the_store_forgot_is_found_by_its_term) {
    plan_view view = restored();
    view.m_upstreams[2].m_is_primary = true;
    view.m_upstreams[2].m_term = 2;
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_primary.m_text == "c");
    BOOST_TEST(order.m_record.m_term == 2U);
    BOOST_TEST(order.m_record.m_epoch == next_number(5, 2));
}

BOOST_AUTO_TEST_CASE(a_primary_lost_along_with_the_store_is_replaced_in_the_new_era) {
    plan_view view = restored();
    lose_primary(view);
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST((order.m_record.m_stage == group_stage::switching));
    BOOST_TEST(order.m_record.m_epoch == next_number(5, 2));
}

// A promotion of the upstream that leads already is accepted and changes nothing: it was ordered again
// and again, and the group stayed without a primary.
BOOST_AUTO_TEST_CASE(a_primary_that_restarted_under_another_id_is_recorded_without_a_promotion) {
    plan_view view = switching(false);
    view.m_upstreams[0] = upstream("d", true, 100);
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST((order.m_record.m_stage == group_stage::steady));
    BOOST_TEST(order.m_record.m_primary.m_text == "d");
    BOOST_TEST(order.m_record.m_term == 1U);
    BOOST_TEST((order.m_record.m_start == at(1, 1)));
    BOOST_TEST(order.m_record.m_epoch == 7U);
}

BOOST_AUTO_TEST_CASE(a_restarted_primary_is_recorded_before_a_change_of_primary_begins) {
    plan_view view = healthy();
    view.m_upstreams[0] = upstream("d", true, 100);
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_primary.m_text == "d");
    BOOST_TEST((order.m_record.m_stage == group_stage::steady));
}

// Acknowledged commits would be missing from an upstream that leads the term with less than its replicas.
BOOST_AUTO_TEST_CASE(a_restarted_primary_that_lost_its_log_is_not_recorded) {
    plan_view view = switching(false);
    view.m_upstreams[0] = upstream("d", true, 10);
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::promote));
    BOOST_TEST(order.m_target.m_text == "c");
}

// The commits made at the restarted primary until the promotion takes effect would be lost.
BOOST_AUTO_TEST_CASE(a_restarted_primary_is_not_recorded_while_an_ordered_promotion_may_take_effect) {
    plan_view view = switching(false);
    view.m_upstreams[0] = upstream("d", true, 100);
    view.m_pending_orders = {upstream_id{"c"}};
    BOOST_TEST((promotion_plan(options).next(view, start).m_step != plan_step::write_record));
}

BOOST_AUTO_TEST_CASE(a_restarted_primary_is_no_candidate_for_a_promotion) {
    plan_view view = healthy();
    view.m_upstreams[0] = upstream("d", true, 100);
    view.m_pending_orders = {upstream_id{"b"}};
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step != plan_step::write_record || order.m_record.m_candidate.m_text != "d"));
}

// The replica that lags is idle and reports first; it was promoted without the commits of the other one.
BOOST_AUTO_TEST_CASE(a_switch_does_not_begin_with_the_first_replica_that_reports) {
    plan_view view = healthy();
    lose_primary(view);
    view.m_upstreams[2].m_status_at.reset();
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    view.m_upstreams[2].m_status_at = start + 30ms;
    const plan_order order = plan.next(view, start + 30ms);
    BOOST_REQUIRE((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_candidate.m_text == "c");
}

BOOST_AUTO_TEST_CASE(a_switch_begins_without_a_report_that_does_not_come) {
    plan_view view = healthy();
    lose_primary(view);
    view.m_upstreams[2].m_status_at.reset();
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    report_at(view, start + options.m_first_report_wait);
    const plan_order order = plan.next(view, start + options.m_first_report_wait);
    BOOST_REQUIRE((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_candidate.m_text == "b");
}

// A coordinator ordered the promotion of the recorded candidate, though another upstream held more.
BOOST_AUTO_TEST_CASE(the_candidate_is_chosen_anew_before_the_order) {
    plan_view view = switching(false);
    view.m_record.m_candidate = {"b"};
    promotion_plan plan(options);
    const plan_order change = plan.next(view, start);
    BOOST_REQUIRE((change.m_step == plan_step::write_record));
    BOOST_TEST((change.m_record.m_stage == group_stage::switching));
    BOOST_TEST(change.m_record.m_candidate.m_text == "c");
    adopt(view, change, start + 10ms);
    // The instances that acknowledged the record before cannot use the primary since.
    view.m_instances[1].m_has_acknowledged = false;
    const plan_order order = plan.next(view, start + 10ms);
    BOOST_TEST((order.m_step == plan_step::promote));
    BOOST_TEST(order.m_target.m_text == "c");
}

BOOST_AUTO_TEST_CASE(a_changed_candidate_of_another_coordinator_is_acknowledged_anew) {
    plan_view view = switching(false);
    view.m_record.m_candidate = {"b"};
    promotion_plan plan(options);
    adopt(view, plan.next(view, start), start + 10ms);
    view.m_record.m_term = 2;
    view.m_instances[1].m_has_acknowledged = false;
    BOOST_TEST((plan.next(view, start + 10ms).m_step == plan_step::request_status));
}

// While the old primary could be used, commits were acknowledged that a report from then lacks.
BOOST_AUTO_TEST_CASE(only_reports_from_after_the_last_acknowledgement_complete_the_choice) {
    plan_view view = switching(false);
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start + 100ms).m_step == plan_step::request_status));
    view.m_upstreams[2].m_status_at = start + 100ms;
    BOOST_TEST((plan.next(view, start + 110ms).m_step == plan_step::request_status));
    view.m_upstreams[1].m_status_at = start + 100ms;
    view.m_upstreams[1].m_position = at(1, 99);
    const plan_order order = plan.next(view, start + 120ms);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_candidate.m_text == "b");
}

BOOST_AUTO_TEST_CASE(a_replica_that_does_not_report_holds_a_promotion_for_a_bounded_time) {
    for (const int synchronous : {0, 1}) {
        plan_view view = switching(false);
        view.m_synchronous_replicas = synchronous;
        view.m_upstreams[1].m_status_at.reset();
        const milliseconds bound =
            synchronous == 0 ? options.m_report_wait : options.m_synchronous_report_wait;
        promotion_plan plan(options);
        for (milliseconds time{0}; time < bound; time += 100ms) {
            report_at(view, start + time);
            BOOST_TEST((plan.next(view, start + time).m_step == plan_step::request_status));
        }
        report_at(view, start + bound);
        const plan_order order = plan.next(view, start + bound);
        BOOST_TEST((order.m_step == plan_step::promote));
        BOOST_TEST(order.m_target.m_text == "c");
    }
}

BOOST_AUTO_TEST_CASE(a_replica_that_does_not_report_holds_nothing_if_the_candidate_has_all_acknowledged) {
    plan_view view = switching(false);
    view.m_upstreams[1].m_status_at.reset();
    for (plan_instance& each : view.m_instances) {
        each.m_acknowledged = {.m_at_most = at(1, 95)};
    }
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::promote));
    view.m_instances[1].m_acknowledged = {.m_at_most = at(1, 96)};
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::request_status));
    view.m_instances[1].m_acknowledged.reset();
    BOOST_TEST((promotion_plan(options).next(view, start).m_step == plan_step::request_status));
}

// With the target of the first order lacking commits, a second order would lose them with either outcome.
BOOST_AUTO_TEST_CASE(no_other_promotion_is_ordered_while_that_of_a_shorter_log_may_take_effect) {
    plan_view view = switching(false);
    view.m_pending_orders = {{"b"}};
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    view.m_pending_orders.clear();
    const plan_order order = plan.next(view, start);
    BOOST_TEST((order.m_step == plan_step::promote));
    BOOST_TEST(order.m_target.m_text == "c");
}

// The platform says that the candidate does not run; its report is from before.
BOOST_AUTO_TEST_CASE(a_refused_candidate_is_not_ordered_again_on_its_old_report) {
    plan_view view = switching(false);
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::promote));
    plan.record_promotion_result(false, start + 10ms);
    adopt(view, plan.next(view, start + 20ms), start + 30ms);
    BOOST_TEST(view.m_record.m_candidate.m_text == "b");
    const plan_order order = plan.next(view, start + 30ms);
    BOOST_TEST((order.m_step == plan_step::promote));
    BOOST_TEST(order.m_target.m_text == "b");
}

// Writes paused for a candidate that received nothing, while the old primary could serve.
BOOST_AUTO_TEST_CASE(a_planned_switch_does_not_begin_with_a_candidate_that_is_behind) {
    plan_view view = healthy();
    view.m_upstreams[0].m_leaving = true;
    view.m_primary_serves_until = start + 7s;
    promotion_plan plan(options);
    for (milliseconds time{0}; time < 7s; time += 40ms) {
        report_at(view, start + time);
        view.m_upstreams[0].m_position.m_offset += 4;
        BOOST_TEST((plan.next(view, start + time).m_step == plan_step::request_status));
    }
    report_at(view, start + 7s);
    const plan_order order = plan.next(view, start + 7s);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_planned);
}

BOOST_AUTO_TEST_CASE(a_planned_switch_takes_the_candidate_that_follows) {
    plan_view view = healthy();
    view.m_upstreams[0].m_leaving = true;
    view.m_upstreams[2].m_position = at(1, 20);
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    view.m_upstreams[1].m_position = at(1, 100);
    report_at(view, start + 40ms);
    view.m_upstreams[0].m_position = at(1, 104);
    const plan_order order = plan.next(view, start + 40ms);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_candidate.m_text == "b");
}

BOOST_AUTO_TEST_CASE(a_planned_switch_returns_to_the_primary_if_no_candidate_catches_up) {
    plan_view view = switching(true);
    view.m_upstreams[0].m_leaving = true;
    view.m_primary_serves_until = start + 7s;
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    const steady_time late = start + options.m_catch_up_timeout;
    report_at(view, late);
    const plan_order order = plan.next(view, late);
    BOOST_REQUIRE((order.m_step == plan_step::write_record));
    BOOST_TEST((order.m_record.m_stage == group_stage::steady));
    BOOST_TEST(order.m_record.m_primary.m_text == "a");
    // Another one begins later, with a candidate that follows.
    adopt(view, order, late);
    view.m_upstreams[2].m_position = at(1, 100);
    BOOST_TEST((plan.next(view, late).m_step == plan_step::request_status));
}

BOOST_AUTO_TEST_CASE(a_planned_switch_does_not_return_to_the_primary_while_a_promotion_may_take_effect) {
    plan_view view = switching(true);
    view.m_pending_orders = {{"c"}};
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    report_at(view, start + options.m_catch_up_timeout);
    BOOST_TEST((plan.next(view, start + options.m_catch_up_timeout).m_step == plan_step::request_status));
}

/// The primary may not be used any more, but still has the commits that the candidates lack.
BOOST_AUTO_TEST_CASE(a_planned_switch_out_of_time_waits_for_the_candidate_for_a_bounded_time) {
    for (const int synchronous : {0, 1}) {
        plan_view view = switching(true);
        view.m_synchronous_replicas = synchronous;
        view.m_upstreams[0].m_leaving = true;
        view.m_primary_serves_until = start;
        const milliseconds bound =
            synchronous == 0 ? options.m_report_wait : options.m_synchronous_report_wait;
        promotion_plan plan(options);
        for (milliseconds time{0}; time < bound; time += 100ms) {
            report_at(view, start + time);
            BOOST_TEST((plan.next(view, start + time).m_step == plan_step::request_status));
        }
        report_at(view, start + bound);
        BOOST_TEST((plan.next(view, start + bound).m_step == plan_step::promote));
    }
}

BOOST_AUTO_TEST_CASE(a_primary_that_comes_back_without_its_log_is_not_kept) {
    plan_view view = switching(false);
    view.m_upstreams[0].m_status_at = start;
    view.m_upstreams[0].m_position = at(1, 0);
    view.m_coordinator_cannot_reach_primary = false;
    view.m_instances[2].m_acknowledged = {.m_at_most = at(1, 90)};
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::promote));
    BOOST_TEST(order.m_target.m_text == "c");
}

// The replica that did not report held commits that the restarted primary lacked.
BOOST_AUTO_TEST_CASE(a_restarted_primary_is_recorded_only_when_the_replicas_have_reported) {
    plan_view view = healthy();
    view.m_upstreams[0] = upstream("d", true, 92);
    view.m_upstreams[2].m_status_at.reset();
    promotion_plan plan(options);
    BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
    report_at(view, start + options.m_report_wait);
    const plan_order order = plan.next(view, start + options.m_report_wait);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_primary.m_text == "d");
    view.m_upstreams[2].m_status_at = start;
    BOOST_TEST((promotion_plan(options).next(view, start).m_record.m_primary.m_text != "d"));
}

// The first in the order of ids was recorded, though another one led a newer term.
BOOST_AUTO_TEST_CASE(the_first_record_names_the_primary_of_the_newest_term) {
    plan_view view = healthy();
    view.m_record = {};
    view.m_upstreams[2].m_is_primary = true;
    view.m_upstreams[2].m_term = 2;
    const plan_order order = promotion_plan(options).next(view, start);
    BOOST_TEST((order.m_step == plan_step::write_record));
    BOOST_TEST(order.m_record.m_primary.m_text == "c");
    BOOST_TEST(order.m_record.m_term == 2U);
}

BOOST_AUTO_TEST_CASE(the_first_record_waits_for_an_upstream_that_may_lead_a_newer_term) {
    for (const bool is_silent : {true, false}) {
        plan_view view = healthy();
        view.m_record = {};
        if (is_silent) {
            view.m_upstreams[2].m_status_at.reset();
        } else {
            view.m_upstreams[2].m_term = 2;
        }
        promotion_plan plan(options);
        BOOST_TEST((plan.next(view, start).m_step == plan_step::request_status));
        report_at(view, start + options.m_report_wait);
        BOOST_TEST((plan.next(view, start + options.m_report_wait).m_step == plan_step::write_record));
    }
}
