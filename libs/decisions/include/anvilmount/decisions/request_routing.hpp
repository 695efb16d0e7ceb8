/// \file request_routing.hpp
/// Plans where one request goes and what its upstream must show first. A write
/// goes to the primary. A read goes to a replica that can be fresh enough; when
/// its session has no token yet, the primary is first asked for a position that
/// the session must see, which takes no slot there.
#pragma once

#include "anvilmount/decisions/group_view.hpp"

#include <cstdint>
#include <optional>

namespace anvilmount {

struct routing_request {
    bool m_is_read{false};                          ///< Provably.
    std::optional<milliseconds> m_max_staleness;    ///< Age that a read accepts.
    milliseconds m_replica_wait{30};                ///< Longest wait for a replica to catch up.
    std::optional<log_position> m_session_position; ///< What the session has seen.
    std::optional<log_position>
        m_unconfirmed_write;          ///< A write there waits to be found in the group's history.
    bool m_replica_was_behind{false}; ///< A replica was tried and had not caught up.
    bool m_waits_for_majority{false}; ///< A majority must hold the write before its answer goes out.
};

struct routing_plan {
    upstream_id m_upstream; ///< Empty when the group has none.
    bool m_needs_primary{true};
    bool m_only_position{false}; ///< Run nothing; ask for a position.
    bool m_fence{false};         ///< The primary must be proven to lead after the request came.
    std::optional<log_position> m_min_position;
    std::optional<steady_time> m_fresh_until; ///< A read that starts later would be too old.
};

/// `random` spreads reads over replicas that are equally good.
[[nodiscard]] routing_plan plan_route(group_view& view, const routing_request& question, steady_time now,
                                      std::uint32_t random);

}
