/// \file connection_share.cpp
#include "anvilmount/decisions/connection_share.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

/// One connection in this many stays free for instances that come or go.
constexpr int reserve_divisor = 8;

}

int connection_share(const connection_budget& budget) {
    const int instances = std::max(1, budget.m_instances);
    // After a loss of power of all, each finds one free beside those of before.
    const int free = std::max(instances, budget.m_max_connections / reserve_divisor);
    return std::max(1, (budget.m_max_connections - free) / instances);
}

}
