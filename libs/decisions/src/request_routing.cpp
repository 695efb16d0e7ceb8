/// \file request_routing.cpp
#include "anvilmount/decisions/request_routing.hpp"

#include "anvilmount/decisions/read_routing.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

routing_plan at_primary(group_view& view, steady_time now) {
    return {.m_upstream = view.primary_to_ask(now).value_or(upstream_id{}),
            .m_needs_primary = true,
            .m_min_position = {},
            .m_fresh_until = {}};
}

/// What a read must see, and until when that is good enough; nothing when only
/// the primary can tell.
std::optional<routing_plan> replica_requirement(const group_view& view, const routing_request& question,
                                                steady_time now) {
    routing_plan plan{.m_upstream = {},
                      .m_needs_primary = false,
                      .m_min_position = question.m_session_position,
                      .m_fresh_until = {}};
    if (!question.m_max_staleness) {
        return question.m_session_position ? std::optional<routing_plan>{plan} : std::nullopt;
    }
    const auto proof = view.proof_within(*question.m_max_staleness, now);
    if (!proof) {
        return std::nullopt;
    }
    plan.m_min_position = std::max(question.m_session_position.value_or(log_position{}), proof->m_position);
    plan.m_fresh_until = proof->m_at + *question.m_max_staleness;
    return plan;
}

std::optional<upstream_id> replica_for(const group_view& view, const routing_request& question,
                                       const std::optional<log_position>& at_least, steady_time now,
                                       std::uint32_t random) {
    return choose_replica(view.upstreams(),
                          {.m_min_position = at_least, .m_replica_wait = question.m_replica_wait}, now,
                          random);
}

}

routing_plan plan_route(group_view& view, const routing_request& question, steady_time now,
                        std::uint32_t random) {
    if (question.m_unconfirmed_write) {
        routing_plan plan = at_primary(view, now);
        plan.m_only_position = true;
        plan.m_fence = true;
        plan.m_min_position = question.m_unconfirmed_write;
        return plan;
    }
    if (question.m_is_read && !question.m_replica_was_behind) {
        auto plan = replica_requirement(view, question, now);
        const auto replica =
            plan ? replica_for(view, question, plan->m_min_position, now, random) : std::nullopt;
        if (replica) {
            plan->m_upstream = *replica;
            return *plan;
        }
    }
    routing_plan plan = at_primary(view, now);
    plan.m_min_position = question.m_session_position;
    plan.m_fence = !question.m_session_position && !question.m_waits_for_majority;
    const bool new_session_reads =
        question.m_is_read && !question.m_max_staleness && !question.m_session_position;
    plan.m_only_position =
        new_session_reads && replica_for(view, question, log_position{}, now, random).has_value();
    return plan;
}

}
