/// \file rank_orders.hpp
/// Says in which order a group's queues serve each rank. Accounts, and routes of one rank with different
/// latency targets, call for an order of their own; everywhere else callers are served in turn.
#pragma once

#include "anvilmount/decisions/admission.hpp"
#include "anvilmount/gateway/fleet.hpp"

#include <array>

namespace anvilmount::gateway {

/// Returns the order of each rank (index: rank - 1) at the upstreams of `group`. Only routes of the group
/// count, since only these meet in its queues.
[[nodiscard]] std::array<rank_order, rank_count> rank_orders_of(const fleet_configuration& configuration,
                                                                const group_name& group);

}
