/// \file fleet.hpp
/// What operators configure and what upstreams register, as the gateway uses
/// it. A change arrives as a whole new value.
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
    strong,            ///< All that were acknowledged before the read: the primary serves it.
    read_your_writes,  ///< Those of its session, and all older than the stated age.
    bounded_staleness, ///< All older than the stated age.
};

/// How requests to one database are served.
struct database_route {
    group_name m_group{};
    consistency m_consistency{consistency::strong};
    request_class m_class{};          ///< Rank, greatest age, and time that one statement may take.
    milliseconds m_latency_target{0}; ///< For a whole operation.
};

struct service_limits {
    int m_max_connections{20}; ///< Per upstream, over all instances.
};

struct fleet_configuration {
    std::uint64_t m_revision{0};                      ///< 0: none known yet.
    std::map<std::string, database_route> m_routes{}; ///< Key: database name.
    std::map<group_name, service_limits> m_services{};
    milliseconds m_idle_transaction_timeout{0}; ///< 0: none.
};

/// One upstream as it registered itself.
struct upstream_entry {
    upstream_id m_id{};
    group_name m_group{};
    endpoint m_address{};
    data_centre m_data_centre{};
    int m_slots{1};
    bool m_leaving{false};
    bool m_registered_as_primary{false};
    std::int64_t m_started_at_ms{0}; ///< Unix time of its start: another start knows nothing of before.

    auto operator<=>(const upstream_entry&) const = default;
};

using upstream_registry = std::map<upstream_id, upstream_entry>;

}
