/// \file group_holders.cpp
/// Implements the number of holders, their choice by rendezvous hashing, and the
/// assignment of sessions to them.
#include "anvilmount/decisions/group_holders.hpp"

#include "anvilmount/decisions/connection_share.hpp"
#include "anvilmount/decisions/placement.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount {
namespace {

/// Two connections per holder: one can run a statement while a transaction keeps the other.
constexpr int min_connections_per_holder = 2;

}

int holder_count(const holding_limits& limits, int instances) {
    const int max_holders = limits.m_slots > 0 ? limits.m_slots * in_flight_per_slot : instances;
    for (int holders = std::max(1, std::min(max_holders, instances)); holders > 1; --holders) {
        if (connection_share({.m_max_connections = limits.m_connections, .m_instances = holders}) >=
            min_connections_per_holder) {
            return holders;
        }
    }
    return 1;
}

std::vector<holder_candidate> group_holders(const group_name& group, const holding_limits& limits,
                                            std::span<const holder_candidate> candidates) {
    std::vector<std::pair<std::uint64_t, holder_candidate>> weighted;
    weighted.reserve(candidates.size());
    for (const holder_candidate& each : candidates) {
        weighted.emplace_back(stable_hash(group.m_text + " held by " + each.m_name), each);
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second.m_name < right.second.m_name;
    });
    weighted.resize(std::min<std::size_t>(
        weighted.size(),
        static_cast<std::size_t>(holder_count(limits, static_cast<int>(candidates.size())))));
    std::vector<holder_candidate> holders;
    holders.reserve(weighted.size());
    for (auto& each : weighted) {
        holders.push_back(std::move(each.second));
    }
    return holders;
}

const holder_candidate& holder_for_session(std::span<const holder_candidate> holders,
                                           const data_centre& near, std::uint64_t number) {
    std::vector<const holder_candidate*> nearby;
    for (const holder_candidate& each : holders) {
        if (each.m_data_centre == near) {
            nearby.push_back(&each);
        }
    }
    if (!nearby.empty()) {
        return *nearby[number % nearby.size()];
    }
    return holders[number % holders.size()];
}

}
