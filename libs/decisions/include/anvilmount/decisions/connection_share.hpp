/// \file connection_share.hpp
/// Divides the connections that one upstream allows among the instances. An
/// instance that loses power occupies its share until the upstream drops it, so
/// one connection for each instance stays free, and at least a part for
/// instances that are just being added.
#pragma once

namespace anvilmount {

/// Statements in flight for each slot of an upstream, over all instances: one runs
/// while the next is on its way. The upstream queues what is beyond its slots,
/// and knows no urgency.
inline constexpr int in_flight_per_slot = 2;

struct connection_budget {
    int m_max_connections{20}; ///< Connections that the upstream allows over all instances.
    int m_instances{1};        ///< Instances known to be alive.
};

/// Returns how many connections one instance may hold; at least 1.
[[nodiscard]] int connection_share(const connection_budget& budget);

}
