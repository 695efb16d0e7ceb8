/// \file configuration.hpp
/// The configuration that operators apply: the database groups with their
/// upstreams, and the rules that set the rank, staleness bound, deadline and
/// repeatability of requests. A configuration is immutable after parsing; a
/// change is a complete new configuration with a higher revision.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount {

/// Ranks are the priority classes of requests, numbered from the most urgent.
inline constexpr int most_urgent_rank = 1;
inline constexpr int least_urgent_rank = 3;
inline constexpr std::size_t rank_count = 3;

/// One database server of a group.
struct upstream_spec {
    upstream_id m_id;
    endpoint m_address;
    data_centre m_data_centre;
    int m_connections{20}; ///< Connections that the upstream allows, over all instances.
    int m_slots{0};        ///< Statements that run at once; 0: as many as connections.
    bool m_leaving{false}; ///< Being drained: gets no new work.
};

/// How a request is served; set by rules and by the caller's session.
struct request_class {
    int m_rank{2};
    /// Staleness bound of a read. Unset: a read sees at least its session's own writes.
    std::optional<milliseconds> m_max_staleness;
    milliseconds m_deadline{30000};  ///< From arrival at the front until the reply starts.
    bool m_repeatable{false};        ///< May be sent again when its outcome is unknown.
    milliseconds m_replica_wait{30}; ///< Maximum wait of a read for a replica to catch up.
};

/// Sets the class of the requests that match all of its conditions. The first
/// matching rule of a group applies.
struct rule_spec {
    std::string m_name;
    std::string m_user;          ///< Empty: any.
    std::string m_application;   ///< Empty: any.
    std::string m_table;         ///< Lower case; empty: any.
    std::optional<bool> m_reads; ///< True: only reads; false: only writes; unset: any.
    request_class m_class;
};

/// When a write is acknowledged to the caller.
enum class acknowledgement {
    majority, ///< Once a majority of the group has it: no change of primary loses it.
    primary,  ///< Once the primary has it: faster, but lost with the primary.
};

/// A database group: a primary and its replicas.
struct group_spec {
    group_name m_name;
    std::string m_database; ///< Name of the database at the upstreams.
    std::string m_user;     ///< User that the proxy logs in as at the upstreams.
    std::vector<upstream_spec> m_upstreams;
    std::vector<rule_spec> m_rules;
    acknowledgement m_acknowledge{acknowledgement::majority};
    bool m_automatic_promotion{true}; ///< Off: only an operator changes the primary.
};

/// How each home (the instance that owns an upstream's connections) serves one rank.
struct rank_spec {
    double m_floor{0.0}; ///< Share of slots guaranteed to the rank while more urgent requests wait.
    double m_greatest_share{1.0}; ///< Maximum share of slots that the rank may hold at once.
    int m_queue_limit{1000};      ///< Maximum number of waiting requests per upstream.
};

/// A complete configuration.
struct configuration {
    std::uint64_t m_revision{0}; ///< Increases with each change.
    std::vector<group_spec> m_groups;
    std::array<rank_spec, rank_count> m_ranks{
        rank_spec{.m_floor = 0.0, .m_greatest_share = 1.0, .m_queue_limit = 2000},
        rank_spec{.m_floor = 0.1, .m_greatest_share = 1.0, .m_queue_limit = 1000},
        rank_spec{.m_floor = 0.05, .m_greatest_share = 0.67, .m_queue_limit = 500}};

    /// Returns the group, or null when there is none of this name.
    [[nodiscard]] const group_spec* find_group(const group_name& name) const {
        for (const group_spec& group : m_groups) {
            if (group.m_name == name) {
                return &group;
            }
        }
        return nullptr;
    }

    /// Returns the upstream, or null when no group has it.
    [[nodiscard]] const upstream_spec* find_upstream(const upstream_id& id) const {
        for (const group_spec& group : m_groups) {
            for (const upstream_spec& upstream : group.m_upstreams) {
                if (upstream.m_id == id) {
                    return &upstream;
                }
            }
        }
        return nullptr;
    }
};

}
