/// \file candidate_choice.cpp
/// Compares the candidates by position, and tells whether a missing report may change the choice.
#include "anvilmount/decisions/candidate_choice.hpp"

#include <algorithm>
#include <tuple>

namespace anvilmount {
namespace {

steady_time last_answer(const plan_upstream& upstream) {
    const steady_time requested_at = upstream.m_status_at.value_or(steady_time{});
    return std::max(requested_at, upstream.m_answered_at.value_or(requested_at));
}

/// Returns whether a report of the upstream is missing that may still come.
bool is_awaited(const plan_upstream& upstream, const choice_context& context) {
    const bool has_answered = has_reported_since(upstream, context.m_fresh_since) &&
                              *upstream.m_status_at >= context.m_complete_since;
    return !has_answered &&
           context.m_now < std::max(context.m_wait_from, last_answer(upstream)) + context.m_wait;
}

/// The order in which candidates are preferred, least first.
auto preference(const plan_upstream& upstream, const upstream_id& preferred) {
    return std::tuple(upstream.m_position, !upstream.m_leaving, upstream.m_id == preferred);
}

}

bool has_reported_since(const plan_upstream& upstream, steady_time since) {
    return upstream.m_status_at && last_answer(upstream) >= since;
}

bool is_candidate(const plan_upstream& upstream, const choice_context& context) {
    if (!upstream.m_registered || upstream.m_departed) {
        return false;
    }
    if (upstream.m_id == context.m_primary) {
        return upstream.m_status_at
                   ? !upstream.m_is_primary
                   : !upstream.m_registered_as_primary && !context.m_primary_refuses_connections;
    }
    return !(has_reported_since(upstream, context.m_fresh_since) && upstream.m_is_primary &&
             upstream.m_term == context.m_term);
}

candidate_choice choose_candidate(const choice_context& context, const upstream_id& preferred) {
    candidate_choice choice;
    bool is_any_awaited = false;
    for (const plan_upstream& each : context.m_upstreams) {
        if (!is_candidate(each, context)) {
            continue;
        }
        is_any_awaited = is_any_awaited || is_awaited(each, context);
        if (has_reported_since(each, context.m_fresh_since) &&
            (choice.m_best == nullptr ||
             preference(each, preferred) > preference(*choice.m_best, preferred))) {
            choice.m_best = &each;
        }
    }
    if (choice.m_best == nullptr) {
        return choice;
    }
    const log_position& held = choice.m_best->m_position;
    const acknowledged_commits& acknowledged = context.m_acknowledged;
    if (context.m_synchronous_replicas == 0) {
        choice.m_is_complete =
            !is_any_awaited || (acknowledged.m_is_final && held >= acknowledged.m_range.m_at_most);
        return choice;
    }
    // Whoever holds the missing commits is not among those that answered, and may come back.
    const bool is_known_to_lack = held < acknowledged.m_range.m_at_least;
    const bool may_come_back = context.m_now < context.m_wait_from + context.m_wait;
    choice.m_is_complete =
        !is_any_awaited && !((is_known_to_lack || !context.m_registry_complete) && may_come_back);
    return choice;
}

}
