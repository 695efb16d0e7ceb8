/// \file connection_share.cpp
/// Implements the reserve of max(instances, 1/reserve_divisor of all connections).
#include "anvilmount/decisions/connection_share.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

/// At least 1/reserve_divisor of the connections stays free for instances that are added or removed.
constexpr int reserve_divisor = 8;

}

int connection_share(const connection_budget& budget) {
    const int instances = std::max(1, budget.m_instances);
    // After all instances lose power, each finds one connection free besides its stale ones.
    const int reserve = std::max(instances, budget.m_max_connections / reserve_divisor);
    return std::max(1, (budget.m_max_connections - reserve) / instances);
}

}
