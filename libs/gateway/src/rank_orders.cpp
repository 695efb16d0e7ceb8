/// \file rank_orders.cpp
/// Compares the latency targets of a group's routes, rank by rank.
#include "anvilmount/gateway/rank_orders.hpp"

#include <optional>

namespace anvilmount::gateway {

std::array<rank_order, rank_count> rank_orders_of(const fleet_configuration& configuration,
                                                  const group_name& group) {
    std::array<rank_order, rank_count> orders{};
    if (!configuration.m_accounts.empty()) {
        orders.fill(rank_order::accounts);
        return orders;
    }
    std::array<std::optional<milliseconds>, rank_count> targets{};
    for (const auto& [database, route] : configuration.m_routes) {
        if (route.m_group != group || route.m_class.m_rank < most_urgent_rank ||
            route.m_class.m_rank > least_urgent_rank) {
            continue;
        }
        const auto index = static_cast<std::size_t>(route.m_class.m_rank - 1);
        if (targets.at(index).value_or(route.m_latency_target) != route.m_latency_target) {
            orders.at(index) = rank_order::latest_start;
        }
        targets.at(index) = route.m_latency_target;
    }
    return orders;
}

}
