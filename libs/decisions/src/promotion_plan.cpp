/// \file promotion_plan.cpp
/// Implements the steps of the coordinator, one function per stage of the
/// group's record: no record yet, steady, switching.
#include "anvilmount/decisions/promotion_plan.hpp"

#include "anvilmount/decisions/era_number.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

const plan_upstream* find(const plan_view& view, const upstream_id& id) {
    const auto found = std::find_if(view.m_upstreams.begin(), view.m_upstreams.end(),
                                    [&](const plan_upstream& each) { return each.m_id == id; });
    return found == view.m_upstreams.end() ? nullptr : &*found;
}

/// Returns whether most of the instances that can observe the primary cannot reach
/// it. Instances whose heartbeats do not arrive are not counted: they may still be
/// using the primary.
bool most_cannot_reach_primary(const plan_view& view) {
    const auto can_observe = [](const plan_instance& each) {
        return each.m_has_connections && each.m_is_alive;
    };
    const auto observers = std::count_if(view.m_instances.begin(), view.m_instances.end(), can_observe);
    const auto cut_off =
        std::count_if(view.m_instances.begin(), view.m_instances.end(), [&](const plan_instance& each) {
            return can_observe(each) && each.m_cannot_reach_primary;
        });
    return 2 * cut_off > observers;
}

/// Returns whether the coordinator's own connections do not contradict that the
/// primary is unreachable.
bool coordinator_cannot_confirm_primary(const plan_view& view) {
    return view.m_coordinator_cannot_reach_primary || !view.m_coordinator_has_connections;
}

/// Returns whether an order may still make another upstream than `primary` the primary of a newer term.
/// The commits made at `primary` until then would be lost.
bool may_be_superseded(const plan_view& view, const upstream_id& primary) {
    // An order is sent only after a record that says so, which whoever has adopted it writes back.
    const bool was_forgotten = !view.m_knows_all_orders &&
                               view.m_record.m_stage == group_stage::switching &&
                               is_before_era(view.m_record.m_epoch, view.m_era);
    return was_forgotten || std::any_of(view.m_pending_orders.begin(), view.m_pending_orders.end(),
                                        [&](const upstream_id& each) { return each != primary; });
}

/// Returns whether `upstream` reports that it leads the term of the record.
bool leads_term_of(const plan_view& view, const plan_upstream& upstream) {
    return upstream.m_is_primary && upstream.m_term == view.m_record.m_term;
}

/// Returns the step that stores `record` as the next change of the present one.
plan_order next_record(const plan_view& view, group_record record) {
    record.m_epoch = next_number(view.m_record.m_epoch, view.m_era);
    return {.m_step = plan_step::write_record, .m_record = record};
}

/// Returns the record that ends the change of primary without one.
plan_order keep_primary(const plan_view& view) {
    group_record record = view.m_record;
    record.m_stage = group_stage::steady;
    record.m_candidate = {};
    return next_record(view, record);
}

/// Returns whether no instance can use the old primary any more. What the coordinator sees of
/// the primary says nothing about that: other instances may have a path to it.
bool is_old_primary_unused(const plan_view& view) {
    return view.m_instances_current && view.m_knows_all_leases &&
           std::all_of(view.m_instances.begin(), view.m_instances.end(), [](const plan_instance& each) {
               return each.m_has_acknowledged || each.m_cannot_use_primary;
           });
}

}

bool promotion_plan::is_fresh(const plan_upstream& upstream, steady_time now) const {
    return upstream.m_status_at && *upstream.m_status_at + m_options.m_status_lifetime >= now;
}

const plan_upstream* promotion_plan::find_new_primary(const plan_view& view, steady_time now) const {
    const plan_upstream* new_primary = nullptr;
    for (const plan_upstream& each : view.m_upstreams) {
        // It led that term when it answered, however long that took.
        if (has_reported_since(each, now - m_options.m_status_lifetime) && each.m_is_primary &&
            each.m_term > view.m_record.m_term &&
            (new_primary == nullptr || each.m_term > new_primary->m_term)) {
            new_primary = &each;
        }
    }
    return new_primary;
}

/// A term has one leader. An upstream that leads the record's term is therefore the recorded primary's
/// server, restarted under another id. It is used only if its log holds as much as every replica's.
const plan_upstream* promotion_plan::find_restarted_primary(const plan_view& view, steady_time now) const {
    const plan_upstream* restarted = nullptr;
    for (const plan_upstream& each : view.m_upstreams) {
        if (each.m_registered && !each.m_leaving && is_fresh(each, now) && leads_term_of(view, each)) {
            if (each.m_id == view.m_record.m_primary || restarted != nullptr) {
                return nullptr;
            }
            restarted = &each;
        }
    }
    const bool has_full_log =
        restarted != nullptr &&
        std::none_of(view.m_upstreams.begin(), view.m_upstreams.end(), [&](const plan_upstream& each) {
            return is_fresh(each, now) && each.m_position > restarted->m_position;
        });
    return has_full_log ? restarted : nullptr;
}

bool promotion_plan::have_all_reported(const plan_view& view, const upstream_id& excepted,
                                       steady_time now) const {
    return std::all_of(view.m_upstreams.begin(), view.m_upstreams.end(), [&](const plan_upstream& each) {
        return each.m_id == excepted || !each.m_registered || each.m_departed || is_fresh(each, now);
    });
}

milliseconds promotion_plan::report_wait(const plan_view& view) const {
    return view.m_synchronous_replicas > 0 ? m_options.m_synchronous_report_wait : m_options.m_report_wait;
}

choice_context promotion_plan::make_context(const plan_view& view, steady_time now) const {
    return {.m_upstreams = view.m_upstreams,
            .m_primary = view.m_record.m_primary,
            .m_term = view.m_record.m_term,
            .m_primary_refuses_connections = view.m_primary_refuses_connections,
            .m_fresh_since = now - m_options.m_status_lifetime,
            .m_complete_since = now - m_options.m_status_lifetime,
            .m_now = now,
            .m_acknowledged = newest_acknowledged(view),
            .m_registry_complete = view.m_registry_complete,
            .m_synchronous_replicas = view.m_synchronous_replicas};
}

candidate_choice promotion_plan::choose(const plan_view& view, const choice_context& context) const {
    if (!m_refused_at) {
        return choose_candidate(context, view.m_record.m_candidate);
    }
    std::vector<plan_upstream> running = view.m_upstreams;
    std::erase_if(running, [&](const plan_upstream& each) {
        return each.m_id == m_ordered_target && (!each.m_status_at || *each.m_status_at <= *m_refused_at);
    });
    choice_context without = context;
    without.m_upstreams = running;
    candidate_choice choice = choose_candidate(without, view.m_record.m_candidate);
    choice.m_best = choice.m_best == nullptr ? nullptr : find(view, choice.m_best->m_id);
    return choice;
}

const plan_upstream* promotion_plan::find_follower(const plan_view& view, const log_position& position,
                                                   steady_time since, steady_time now) const {
    const choice_context context = make_context(view, now);
    const plan_upstream* found = nullptr;
    for (const plan_upstream& each : view.m_upstreams) {
        const bool follows = is_candidate(each, context) && !each.m_leaving &&
                             has_reported_since(each, context.m_fresh_since) &&
                             *each.m_status_at >= since && each.m_position >= position;
        if (follows && (found == nullptr || each.m_id == view.m_record.m_candidate)) {
            found = &each;
        }
    }
    return found;
}

plan_order promotion_plan::next(const plan_view& view, steady_time now) {
    if (view.m_record.m_epoch == 0) {
        return plan_first_record(view, now);
    }
    if (const plan_upstream* new_primary = find_new_primary(view, now)) {
        if (may_be_superseded(view, new_primary->m_id)) {
            return {.m_step = plan_step::request_status};
        }
        if (const auto fence = fence_old_primary(view, *new_primary, now)) {
            return *fence;
        }
        return next_record(view, {.m_stage = group_stage::steady,
                                  .m_primary = new_primary->m_id,
                                  .m_term = new_primary->m_term,
                                  .m_start = new_primary->m_position});
    }
    // In a new era the record may be older than the newest term; plan_in_new_era() finds that out first.
    const plan_upstream* restarted =
        is_before_era(view.m_record.m_epoch, view.m_era) ? nullptr : find_restarted_primary(view, now);
    if (restarted == nullptr) {
        m_primary_found_at.reset();
    } else if (!may_be_superseded(view, restarted->m_id)) {
        m_primary_found_at = m_primary_found_at.value_or(now);
        if (!have_all_reported(view, view.m_record.m_primary, now) &&
            now < *m_primary_found_at + report_wait(view)) {
            return {.m_step = plan_step::request_status};
        }
        group_record record = view.m_record;
        record.m_stage = group_stage::steady;
        record.m_primary = restarted->m_id;
        record.m_candidate = {};
        return next_record(view, record);
    }
    if (view.m_record.m_stage == group_stage::switching) {
        return plan_while_switching(view, now);
    }
    return is_before_era(view.m_record.m_epoch, view.m_era) ? plan_in_new_era(view, now)
                                                            : plan_while_steady(view, now);
}

std::optional<plan_order> promotion_plan::fence_old_primary(const plan_view& view,
                                                            const plan_upstream& new_primary,
                                                            steady_time now) const {
    const bool lease_over = now >= view.m_record_seen_at + m_options.m_lease;
    if (view.m_record.m_stage == group_stage::steady || is_old_primary_unused(view) || lease_over) {
        return std::nullopt;
    }
    const plan_upstream* old_primary = find(view, view.m_record.m_primary);
    if (old_primary == nullptr || !is_fresh(*old_primary, now)) {
        return plan_order{.m_step = plan_step::request_status};
    }
    if (!old_primary->m_is_primary) {
        return std::nullopt;
    }
    return plan_order{
        .m_step = plan_step::demote, .m_target = old_primary->m_id, .m_term = new_primary.m_term};
}

plan_order promotion_plan::plan_first_record(const plan_view& view, steady_time now) {
    const plan_upstream* primary = nullptr;
    std::uint64_t newest_term = 0;
    for (const plan_upstream& each : view.m_upstreams) {
        if (!each.m_registered || !is_fresh(each, now)) {
            continue;
        }
        newest_term = std::max(newest_term, each.m_term);
        if (each.m_is_primary && (primary == nullptr || each.m_term > primary->m_term)) {
            primary = &each;
        }
    }
    if (primary == nullptr || !view.m_lost_records_written || may_be_superseded(view, primary->m_id)) {
        m_primary_found_at.reset();
        return {.m_step = plan_step::request_status};
    }
    // An upstream that does not answer may lead a newer term.
    const bool may_be_replaced = newest_term > primary->m_term || !have_all_reported(view, {}, now);
    m_primary_found_at = m_primary_found_at.value_or(now);
    if (may_be_replaced && now < *m_primary_found_at + report_wait(view)) {
        return {.m_step = plan_step::request_status};
    }
    m_primary_found_at.reset();
    return next_record(view, {.m_stage = group_stage::steady,
                              .m_primary = primary->m_id,
                              .m_term = primary->m_term,
                              .m_start = primary->m_position});
}

plan_order promotion_plan::plan_in_new_era(const plan_view& view, steady_time now) {
    if (!view.m_lost_records_written || may_be_superseded(view, view.m_record.m_primary)) {
        return {.m_step = plan_step::request_status};
    }
    const plan_upstream* primary = find(view, view.m_record.m_primary);
    const bool is_primary = primary != nullptr && is_fresh(*primary, now) && primary->m_is_primary &&
                            primary->m_term == view.m_record.m_term;
    // An upstream that does not answer may have been promoted by a change that the store forgot. After
    // the lease no instance can be using it.
    if (is_primary && (have_all_reported(view, {}, now) || now >= view.m_era_seen_at + m_options.m_lease)) {
        return next_record(view, view.m_record);
    }
    const plan_order order = plan_while_steady(view, now);
    return order.m_step == plan_step::wait ? plan_order{.m_step = plan_step::request_status} : order;
}

plan_order promotion_plan::plan_while_steady(const plan_view& view, steady_time now) {
    m_promotion_ordered_at.reset();
    m_refused_at.reset();
    m_fenced_at.reset();
    const plan_upstream* primary = find(view, view.m_record.m_primary);
    // A planned switch waits for all leases; it is better not begun than kept waiting without a primary.
    const bool is_leaving =
        primary != nullptr && primary->m_registered && primary->m_leaving && view.m_knows_all_leases;
    if (is_leaving) {
        if (const auto order = begin_planned_switch(view, *primary, now)) {
            return *order;
        }
    } else {
        m_reference.reset();
    }
    const bool is_gone = view.m_registry_complete && (primary == nullptr || !primary->m_registered);
    const bool is_lost =
        coordinator_cannot_confirm_primary(view) && (is_gone || most_cannot_reach_primary(view));
    // The upstream answers but is not primary any more: another coordinator has
    // demoted it, or it restarted as a replica.
    const bool is_replica = primary != nullptr && is_fresh(*primary, now) && !primary->m_is_primary;
    if (is_lost || is_replica) {
        return begin_switch(view, false, now);
    }
    m_switch_wanted_since.reset();
    // A former primary that does not know of the new term would continue to serve.
    for (const plan_upstream& each : view.m_upstreams) {
        if (each.m_id != view.m_record.m_primary && is_fresh(each, now) && each.m_is_primary &&
            each.m_term < view.m_record.m_term && m_demoted_epoch < view.m_record.m_epoch) {
            m_demoted_epoch = view.m_record.m_epoch;
            return {.m_step = plan_step::demote, .m_target = each.m_id, .m_term = view.m_record.m_term};
        }
    }
    return {.m_step = is_leaving ? plan_step::request_status : plan_step::wait};
}

std::optional<plan_order>
promotion_plan::begin_planned_switch(const plan_view& view, const plan_upstream& primary, steady_time now) {
    if (primary.m_departed || (view.m_primary_serves_until && now >= *view.m_primary_serves_until)) {
        return begin_switch(view, true, now);
    }
    if (now < m_next_planned_switch) {
        return std::nullopt;
    }
    const plan_upstream* follower =
        m_reference ? find_follower(view, m_reference->m_position, m_reference->m_at, now) : nullptr;
    if (follower != nullptr) {
        group_record record = view.m_record;
        record.m_stage = group_stage::switching;
        record.m_candidate = follower->m_id;
        record.m_planned = true;
        return next_record(view, record);
    }
    if (!m_reference || now >= m_reference->m_at + m_options.m_status_lifetime) {
        log_position known = newest_acknowledged(view).m_range.m_at_most;
        if (is_fresh(primary, now)) {
            known = std::max(known, primary.m_position);
        }
        if (known != log_position{}) {
            m_reference = {.m_position = known, .m_at = now};
        }
    }
    return std::nullopt;
}

plan_order promotion_plan::begin_switch(const plan_view& view, bool planned, steady_time now) {
    m_switch_wanted_since = m_switch_wanted_since.value_or(now);
    choice_context context = make_context(view, now);
    context.m_wait = m_options.m_first_report_wait;
    context.m_wait_from = *m_switch_wanted_since;
    const candidate_choice choice = choose(view, context);
    if (!choice.m_is_complete) {
        return {.m_step = plan_step::request_status};
    }
    group_record record = view.m_record;
    record.m_stage = group_stage::switching;
    record.m_candidate = choice.m_best->m_id;
    record.m_planned = planned;
    return next_record(view, record);
}

acknowledged_commits promotion_plan::newest_acknowledged(const plan_view& view) const {
    // A process that has ended takes with it what it knew.
    const bool is_settled =
        view.m_instances_unchanged_since + m_options.m_settled_instances_time <= view.m_record_seen_at;
    acknowledged_commits newest{.m_is_final =
                                    view.m_instances_current && view.m_knows_all_leases && is_settled};
    for (const plan_instance& each : view.m_instances) {
        newest.m_is_final = newest.m_is_final && each.m_has_acknowledged && each.m_acknowledged.has_value();
        newest.m_range = newest_of(newest.m_range, each.m_acknowledged.value_or(acknowledged_range{}));
    }
    return newest;
}

bool promotion_plan::is_old_primary_back(const plan_view& view, steady_time now) const {
    const plan_upstream* primary = find(view, view.m_record.m_primary);
    const bool is_reachable = view.m_coordinator_has_connections ? !view.m_coordinator_cannot_reach_primary
                                                                 : !most_cannot_reach_primary(view);
    return primary != nullptr && primary->m_registered && !primary->m_leaving && is_fresh(*primary, now) &&
           leads_term_of(view, *primary) && is_reachable &&
           // Otherwise it has lost its log.
           primary->m_position >= newest_acknowledged(view).m_range.m_at_most;
}

plan_order promotion_plan::plan_while_switching(const plan_view& view, steady_time now) {
    m_switch_wanted_since.reset();
    m_reference.reset();
    const bool is_ordered = m_promoting_epoch == view.m_record.m_epoch && m_promotion_ordered_at;
    if (is_ordered && !m_promotion_failed &&
        now < *m_promotion_ordered_at + m_options.m_promotion_timeout) {
        return {.m_step = plan_step::request_status};
    }
    if (is_ordered && m_promotion_failed) {
        m_refused_at = m_promotion_ordered_at;
        m_promotion_failed = false;
        m_promotion_ordered_at.reset();
    }
    if (!view.m_record.m_planned && !m_promotion_ordered_at && is_old_primary_back(view, now) &&
        !may_be_superseded(view, view.m_record.m_primary)) {
        // No promotion can take effect, so keeping the old primary loses no commit.
        return keep_primary(view);
    }
    const bool was_fenced =
        view.m_record == m_fenced_record && !is_before_era(view.m_record.m_epoch, view.m_era);
    const bool is_fenced =
        was_fenced || is_old_primary_unused(view) || now >= view.m_record_seen_at + m_options.m_lease;
    if (!is_fenced) {
        m_fenced_at.reset();
        return {.m_step = plan_step::request_status};
    }
    m_fenced_at = m_fenced_at.value_or(now);
    const bool was_slow = *m_fenced_at >= view.m_record_seen_at + m_options.m_slow_switch_threshold;
    if (!view.m_record.m_planned && !view.m_primary_refuses_connections && was_slow &&
        now < *m_fenced_at + m_options.m_old_primary_grace) {
        return {.m_step = plan_step::request_status};
    }
    return plan_promotion(view, now);
}

plan_order promotion_plan::plan_promotion(const plan_view& view, steady_time now) {
    if (view.m_record.m_planned) {
        if (const auto order = wait_for_catch_up(view, now)) {
            return *order;
        }
    }
    choice_context context = make_context(view, now);
    context.m_complete_since = *m_fenced_at;
    context.m_wait = report_wait(view);
    context.m_wait_from = *m_fenced_at;
    const candidate_choice choice = choose(view, context);
    if (!choice.m_is_complete) {
        return {.m_step = plan_step::request_status, .m_at_once = true};
    }
    return promote(view, choice.m_best->m_id, now);
}

std::optional<plan_order> promotion_plan::wait_for_catch_up(const plan_view& view, steady_time now) {
    const plan_upstream* old_primary = find(view, view.m_record.m_primary);
    if (old_primary == nullptr || !old_primary->m_registered) {
        return std::nullopt;
    }
    const acknowledged_commits acknowledged = newest_acknowledged(view);
    const plan_upstream* holds_acknowledged =
        view.m_synchronous_replicas == 0 && acknowledged.m_is_final
            ? find_follower(view, acknowledged.m_range.m_at_most, now - m_options.m_status_lifetime, now)
            : nullptr;
    if (holds_acknowledged != nullptr) {
        return promote(view, holds_acknowledged->m_id, now);
    }
    const bool may_wait = now < *m_fenced_at + m_options.m_catch_up_timeout;
    const plan_order wait{.m_step = plan_step::request_status, .m_at_once = true};
    const bool has_reported = is_fresh(*old_primary, now) && *old_primary->m_status_at >= *m_fenced_at;
    if (!has_reported) {
        const bool may_answer = !old_primary->m_departed && !view.m_coordinator_cannot_reach_primary;
        return may_answer && may_wait ? std::optional{wait} : std::nullopt;
    }
    if (!leads_term_of(view, *old_primary)) {
        return std::nullopt;
    }
    if (const auto* follower = find_follower(view, old_primary->m_position, *m_fenced_at, now)) {
        return promote(view, follower->m_id, now);
    }
    const bool may_serve =
        !old_primary->m_departed && (!view.m_primary_serves_until || now < *view.m_primary_serves_until);
    if (!may_wait && may_serve && !m_promotion_ordered_at &&
        !may_be_superseded(view, view.m_record.m_primary)) {
        m_next_planned_switch = now + m_options.m_planned_retry_delay;
        return keep_primary(view);
    }
    return now < *m_fenced_at + report_wait(view) ? std::optional{wait} : std::nullopt;
}

plan_order promotion_plan::promote(const plan_view& view, const upstream_id& target, steady_time now) {
    const plan_upstream* chosen = find(view, target);
    // An order that is under way cannot be taken back. Where its target holds less than `target`, a second
    // order would lose commits with either outcome; without it, the first may prove to have no effect.
    const bool another_may_act = std::any_of(
        view.m_pending_orders.begin(), view.m_pending_orders.end(), [&](const upstream_id& each) {
            const plan_upstream* ordered = find(view, each);
            return each != target && ordered != nullptr && is_fresh(*ordered, now) &&
                   ordered->m_position < chosen->m_position;
        });
    if (another_may_act) {
        return {.m_step = plan_step::request_status};
    }
    if (target != view.m_record.m_candidate) {
        group_record record = view.m_record;
        record.m_candidate = target;
        const plan_order order = next_record(view, record);
        m_fenced_record = order.m_record;
        return order;
    }
    m_promoting_epoch = view.m_record.m_epoch;
    m_promotion_ordered_at = now;
    m_ordered_target = target;
    m_refused_at.reset();
    m_promotion_failed = false;
    return {.m_step = plan_step::promote, .m_target = target};
}

void promotion_plan::record_promotion_result(bool accepted, steady_time now) {
    m_promotion_failed = !accepted;
    m_promotion_ordered_at = now;
}

}
