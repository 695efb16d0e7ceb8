/// \file read_routing.hpp
/// Chooses the replica for one read. A replica is eligible when it has applied,
/// or may soon apply, the log position that the read requires; of the eligible
/// replicas the one with the shortest expected answer time is chosen. Reads
/// prefer replicas so that the primary is kept for writes. The function does no
/// I/O: its inputs are the known state of each upstream, the current time and a
/// random number.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/decisions/group_view.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace anvilmount {

/// The freshness that one read requires. A staleness bound has already been
/// converted to a log position: one that the primary is proven to have reached
/// no longer ago than the bound allows.
struct read_requirement {
    /// The replica must have applied at least this position. Unset: it is not
    /// known which writes the session has seen, and only the primary can serve.
    std::optional<log_position> m_min_position;
    /// Maximum wait for a replica to catch up. Zero: only replicas known to have
    /// caught up are eligible.
    milliseconds m_replica_wait{0};
};

/// Returns the replica to read from, or nothing when the primary must serve the
/// read. Replicas known to have caught up are preferred. Another replica may have
/// caught up since its last report, or may do so soon, and is tried unless it was
/// recently found behind. This is safe: the replica's home (the instance that owns
/// the connections to it) checks the position before anything runs.
[[nodiscard]] std::optional<upstream_id> choose_replica(std::span<const upstream_view> upstreams,
                                                        const read_requirement& requirement,
                                                        steady_time now, std::uint32_t random);

}
