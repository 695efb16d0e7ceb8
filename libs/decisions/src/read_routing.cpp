/// \file read_routing.cpp
#include "anvilmount/decisions/read_routing.hpp"

#include <algorithm>
#include <vector>

namespace anvilmount {
namespace {

/// Answer times closer than this count as equal, and chance decides.
constexpr microseconds equal_times{500};

bool has_caught_up(const upstream_view& upstream, const log_position& at_least) {
    return upstream.m_applied.m_offset >= at_least.m_offset;
}

bool is_worth_asking(const upstream_view& upstream, const log_position& at_least, steady_time now) {
    return now >= upstream.m_behind_until || at_least.m_offset < upstream.m_behind_from;
}

}

std::optional<upstream_id> choose_replica(std::span<const upstream_view> upstreams,
                                          const read_requirement& requirement, steady_time now,
                                          std::uint32_t random) {
    if (!requirement.m_min_position) {
        return std::nullopt;
    }
    std::vector<const upstream_view*> fresh;
    std::vector<const upstream_view*> hopeful;
    for (const upstream_view& each : upstreams) {
        if (each.m_is_primary || each.m_leaving || each.m_avoid_until > now) {
            continue;
        }
        if (has_caught_up(each, *requirement.m_min_position)) {
            fresh.push_back(&each);
        } else if (requirement.m_replica_wait.count() > 0 &&
                   is_worth_asking(each, *requirement.m_min_position, now)) {
            hopeful.push_back(&each);
        }
    }
    if (fresh.empty()) {
        fresh = std::move(hopeful);
    }
    if (fresh.empty()) {
        return std::nullopt;
    }
    const auto fastest =
        std::min_element(fresh.begin(), fresh.end(), [](const auto* left, const auto* right) {
            return left->m_expected_time < right->m_expected_time;
        });
    const microseconds bound = (*fastest)->m_expected_time + equal_times;
    std::erase_if(fresh, [&](const upstream_view* each) { return each->m_expected_time > bound; });
    return fresh[random % fresh.size()]->m_id;
}

}
