/// \file read_routing.hpp
/// Chooses the upstream for one read. A read may go to any upstream that can
/// be fresh enough for its session; among those the one expected to answer
/// first wins, with a replica preferred so that the primary is kept for writes.
/// Nothing here does I/O: the caller supplies what is known of each upstream,
/// the current time and a random number.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/decisions/group_view.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace anvilmount {

/// What one read asks of freshness. A stated age has become a position by then:
/// one that the primary had reached, provably, no longer ago than that.
struct read_requirement {
    /// The upstream must have applied at least this position. Unset: nothing is
    /// known of what the session has seen, and only the primary serves.
    std::optional<log_position> m_min_position;
    /// Longest wait for a replica that has not caught up; zero: none is asked
    /// unless it is known to have.
    milliseconds m_replica_wait{0};
};

/// Returns the replica to ask, or nothing when the primary must serve the read.
/// Replicas that are known to have caught up go first. Another may have done so
/// since its last report, or may do so soon, and is worth asking unless it was
/// just found behind: its home checks the position before anything runs.
[[nodiscard]] std::optional<upstream_id> choose_replica(std::span<const upstream_view> upstreams,
                                                        const read_requirement& requirement,
                                                        steady_time now, std::uint32_t random);

}
