/// \file connection_share.hpp
/// Divides the connections that one upstream allows among the instances. The
/// connections of an instance that loses power stay open at the upstream until it
/// drops them, so one connection per instance is kept in reserve, and at least a
/// fixed part of all connections for instances that are being added.
#pragma once

namespace anvilmount {

/// Statements in flight per slot of an upstream, over all instances: one runs while
/// the next is on its way. More would wait in the upstream's own queue, which
/// has no priorities.
inline constexpr int in_flight_per_slot = 2;

/// What connection_share() divides.
struct connection_budget {
    int m_max_connections{20}; ///< Connections that the upstream allows, over all instances.
    int m_instances{1};        ///< Live instances.
};

/// Returns how many connections one instance may open; at least 1.
[[nodiscard]] int connection_share(const connection_budget& budget);

}
