/// \file placement.cpp
/// Implements rendezvous hashing with a hash (FNV-1a, then a mixer) that does not
/// depend on the standard library.
#include "anvilmount/decisions/placement.hpp"

#include <algorithm>
#include <tuple>

namespace anvilmount {
namespace {

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

/// Spreads similar values over the whole range (finaliser of splitmix64).
std::uint64_t mix(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

struct candidate {
    instance_id m_id;
    int m_state_order;
    bool m_in_other_data_centre;
    std::uint64_t m_weight;
};

}

std::uint64_t stable_hash(std::string_view text) {
    std::uint64_t hash = fnv_offset;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * fnv_prime;
    }
    return mix(hash);
}

upstream_id coordinator_key(const group_name& group) {
    return {"steward of " + group.m_text};
}

std::vector<instance_id> home_order(std::span<const instance_view> instances, const upstream_id& upstream,
                                    const data_centre& centre) {
    std::vector<candidate> candidates;
    candidates.reserve(instances.size());
    const std::uint64_t upstream_hash = stable_hash(upstream.m_text);
    for (const instance_view& each : instances) {
        candidates.push_back({.m_id = each.m_id,
                              .m_state_order = static_cast<int>(each.m_state),
                              .m_in_other_data_centre = each.m_data_centre != centre,
                              .m_weight = mix(stable_hash(each.m_id.m_text) ^ upstream_hash)});
    }
    std::sort(candidates.begin(), candidates.end(), [](const candidate& left, const candidate& right) {
        return std::tie(left.m_state_order, left.m_in_other_data_centre, right.m_weight, left.m_id) <
               std::tie(right.m_state_order, right.m_in_other_data_centre, left.m_weight, right.m_id);
    });
    std::vector<instance_id> order;
    order.reserve(candidates.size());
    for (candidate& each : candidates) {
        order.push_back(std::move(each.m_id));
    }
    return order;
}

}
