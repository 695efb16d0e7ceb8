/// \file read_routing.cpp
/// Selects the eligible replicas, then one at random of the fastest among them.
#include "anvilmount/decisions/read_routing.hpp"

#include <algorithm>
#include <vector>

namespace anvilmount {
namespace {

/// Expected times that differ by no more than this count as equal; one of these replicas is chosen at
/// random.
constexpr microseconds equal_times{500};

bool has_caught_up(const upstream_view& upstream, const log_position& min_position) {
    return upstream.m_applied.m_offset >= min_position.m_offset;
}

bool may_have_caught_up(const upstream_view& upstream, const log_position& min_position, steady_time now) {
    return now >= upstream.m_lagging_until || min_position.m_offset < upstream.m_lagging_from_offset;
}

}

std::optional<upstream_id> choose_replica(std::span<const upstream_view> upstreams,
                                          const read_requirement& requirement, steady_time now,
                                          std::uint32_t random) {
    if (!requirement.m_min_position) {
        return std::nullopt;
    }
    std::vector<const upstream_view*> candidates;
    std::vector<const upstream_view*> fallback_candidates;
    for (const upstream_view& each : upstreams) {
        if (each.m_is_primary || each.m_leaving || each.m_avoid_until > now) {
            continue;
        }
        if (has_caught_up(each, *requirement.m_min_position)) {
            candidates.push_back(&each);
        } else if (requirement.m_replica_wait.count() > 0 &&
                   may_have_caught_up(each, *requirement.m_min_position, now)) {
            fallback_candidates.push_back(&each);
        }
    }
    // Replicas that may have caught up count only when none is known to have.
    if (candidates.empty()) {
        candidates = std::move(fallback_candidates);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto fastest =
        std::min_element(candidates.begin(), candidates.end(), [](const auto* left, const auto* right) {
            return left->m_smoothed_latency < right->m_smoothed_latency;
        });
    const microseconds max_expected_time = (*fastest)->m_smoothed_latency + equal_times;
    std::erase_if(candidates,
                  [&](const upstream_view* each) { return each->m_smoothed_latency > max_expected_time; });
    return candidates[random % candidates.size()]->m_id;
}

}
