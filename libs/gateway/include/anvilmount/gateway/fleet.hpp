/// \file fleet.hpp
/// The fleet's configuration, as operators set it, and the registry of upstreams, as upstreams
/// register themselves, in the form the gateway uses. Adapters parse them from the store's tables;
/// each change replaces the whole value.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace anvilmount::gateway {

/// Which commits a read must see.
enum class consistency {
    strong,            ///< Every commit acknowledged before the read; the primary serves it.
    read_your_writes,  ///< The session's own commits, and every commit older than the staleness bound.
    bounded_staleness, ///< Every commit older than the staleness bound.
};

/// How requests to one database are served.
struct database_route {
    group_name m_group{};
    consistency m_consistency{consistency::strong};
    request_class m_class{};          ///< Priority, staleness bound and statement timeout.
    milliseconds m_latency_target{0}; ///< For a whole operation.
    bool m_is_public{false};          ///< Served without a client account's key.
};

/// A client account and its quota over the whole fleet. The quota counts operations: statements outside
/// transactions, and transactions.
struct client_account {
    int m_priority{0};
    std::optional<double> m_operations_per_second{}; ///< Unset: no limit.
    double m_burst{0};                               ///< Operations beyond the rate that may run at once.
};

/// Limits of one group (the configuration calls it a service).
struct service_limits {
    int m_max_connections{20};     ///< To one upstream, over all instances.
    int m_synchronous_replicas{0}; ///< The primary acknowledges a commit once so many replicas hold it.
};

/// What operators configure for the whole fleet.
struct fleet_configuration {
    std::uint64_t m_revision{0};                      ///< 0: no configuration is known yet.
    std::map<std::string, database_route> m_routes{}; ///< Key: database name.
    std::map<group_name, service_limits> m_services{};
    milliseconds m_idle_transaction_timeout{0}; ///< 0: idle transactions are not ended.
    /// Key: the account's name. Empty: the deployment has no client accounts.
    std::map<std::string, client_account> m_accounts{};
    /// Account names by key. Keys are secrets: they are never logged, dumped or sent to another process.
    std::map<std::string, std::string> m_account_keys{};
};

/// One upstream as it registered itself.
struct upstream_entry {
    upstream_id m_id{};
    group_name m_group{};
    endpoint m_address{};
    data_centre m_data_centre{};
    int m_slots{1};                      ///< Statements that the upstream runs at once.
    bool m_leaving{false};               ///< The upstream is being drained before it stops.
    steady_time m_leaving_since{};       ///< At the earliest; only while leaving.
    bool m_registered_as_primary{false}; ///< The upstream's registration names it as primary.
    std::int64_t m_started_at_ms{0};     ///< Unix time; a later start has no state from before.

    auto operator<=>(const upstream_entry&) const = default;
};

using upstream_registry = std::map<upstream_id, upstream_entry>;

}
