/// \file request_routing.cpp
/// Plans replica reads first and falls back to the primary.
#include "anvilmount/decisions/request_routing.hpp"

#include "anvilmount/decisions/read_routing.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

routing_plan primary_route(group_view& view, steady_time now) {
    return {.m_upstream = view.primary_to_ask(now).value_or(upstream_id{}),
            .m_needs_primary = true,
            .m_min_position = {},
            .m_fresh_until = {}};
}

/// Returns the position that a replica must have applied to serve the read, and
/// until when that position satisfies the staleness bound; nothing when no such
/// position is known and the primary must serve the read.
std::optional<routing_plan> replica_route(const group_view& view, const routing_request& request,
                                          steady_time now) {
    routing_plan plan{.m_upstream = {},
                      .m_needs_primary = false,
                      .m_min_position = request.m_session_position,
                      .m_fresh_until = {}};
    if (!request.m_max_staleness) {
        return request.m_session_position ? std::optional<routing_plan>{plan} : std::nullopt;
    }
    const auto proof = view.oldest_proof_within(*request.m_max_staleness, now);
    if (!proof) {
        return std::nullopt;
    }
    plan.m_min_position = std::max(request.m_session_position.value_or(log_position{}), proof->m_position);
    plan.m_fresh_until = proof->m_at + *request.m_max_staleness;
    return plan;
}

std::optional<upstream_id> choose_replica_for(const group_view& view, const routing_request& request,
                                              const std::optional<log_position>& min_position,
                                              steady_time now, std::uint32_t random) {
    return choose_replica(view.upstreams(),
                          {.m_min_position = min_position, .m_replica_wait = request.m_replica_wait}, now,
                          random);
}

}

routing_plan plan_route(group_view& view, const routing_request& request, steady_time now,
                        std::uint32_t random) {
    // Only a proven primary can tell whether the group's history contains the write.
    if (request.m_unconfirmed_write) {
        routing_plan plan = primary_route(view, now);
        plan.m_only_position = true;
        plan.m_fence = true;
        plan.m_min_position = request.m_unconfirmed_write;
        return plan;
    }
    if (request.m_is_read && !request.m_replica_was_behind) {
        auto plan = replica_route(view, request, now);
        const auto replica =
            plan ? choose_replica_for(view, request, plan->m_min_position, now, random) : std::nullopt;
        if (replica) {
            plan->m_upstream = *replica;
            return *plan;
        }
    }
    routing_plan plan = primary_route(view, now);
    plan.m_min_position = request.m_session_position;
    // A majority that confirms the write also proves that the upstream is the primary.
    plan.m_fence = !request.m_session_position && !request.m_waits_for_majority;
    // With the primary's position the first read of a session can go to a replica.
    const bool new_session_reads =
        request.m_is_read && !request.m_max_staleness && !request.m_session_position;
    plan.m_only_position =
        new_session_reads && choose_replica_for(view, request, log_position{}, now, random).has_value();
    return plan;
}

}
