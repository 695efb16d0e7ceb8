/// \file request_routing.hpp
/// Decides which upstream a request is sent to and what the upstream must prove
/// before the request runs. A write goes to the primary. A read goes to a replica
/// that can be fresh enough. When the read's session has no log position yet, the
/// plan first asks the primary for its current position, which takes no slot
/// there; the read can then go to a replica that has applied it.
#pragma once

#include "anvilmount/decisions/group_view.hpp"

#include <cstdint>
#include <optional>

namespace anvilmount {

/// The properties of a request that decide its route.
struct routing_request {
    bool m_is_read{false};                          ///< The request provably writes nothing.
    std::optional<milliseconds> m_max_staleness;    ///< Staleness bound of a read.
    milliseconds m_replica_wait{30};                ///< Maximum wait for a replica to catch up.
    std::optional<log_position> m_session_position; ///< Reads must see the log up to here.
    /// Log position of a write whose outcome must be looked up in the group's history.
    std::optional<log_position> m_unconfirmed_write;
    bool m_replica_was_behind{false}; ///< An earlier attempt found a replica behind.
    bool m_waits_for_majority{false}; ///< The reply is held until a majority has the write.
};

/// Where a request goes, and under which conditions it runs there.
struct routing_plan {
    upstream_id m_upstream; ///< Empty when the group has no upstreams.
    bool m_needs_primary{true};
    bool m_only_position{false}; ///< Run nothing; ask for the log position.
    /// The primary must prove that it was still the primary after the request arrived.
    bool m_fence{false};
    std::optional<log_position> m_min_position; ///< The upstream must have applied this position.
    std::optional<steady_time> m_fresh_until;   ///< A read that starts later exceeds its staleness bound.
};

/// Returns the route of one request at `now`. `random` spreads reads over equally good replicas.
[[nodiscard]] routing_plan plan_route(group_view& view, const routing_request& request, steady_time now,
                                      std::uint32_t random);

}
