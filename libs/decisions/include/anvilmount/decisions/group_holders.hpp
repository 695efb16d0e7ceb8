/// \file group_holders.hpp
/// Chooses the holders of a group: the instances that hold connections to its
/// upstreams. Every instance is a holder as long as the upstreams' connection
/// limit allows each at least two connections, and the statements that all
/// instances have in flight do not queue at the upstreams. Otherwise rendezvous
/// hashing selects some instances, and the others forward the group's sessions to
/// one of the holders.
#pragma once

#include "anvilmount/base/identifiers.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace anvilmount {

/// An instance that may become a holder.
struct holder_candidate {
    std::string m_name;
    data_centre m_data_centre{};
};

/// Limits of one upstream of a group, over all instances.
struct holding_limits {
    int m_connections{20};
    int m_slots{0}; ///< Statements that the upstream runs concurrently; 0: unknown, no limit.
};

/// Returns how many of `instances` may hold connections; at least 1.
[[nodiscard]] int holder_count(const holding_limits& limits, int instances);

/// Returns the holders of `group`. Every instance that knows the same candidates
/// computes the same holders.
[[nodiscard]] std::vector<holder_candidate> group_holders(const group_name& group,
                                                          const holding_limits& limits,
                                                          std::span<const holder_candidate> candidates);

/// Returns the holder for one session, preferably in the data centre `near`.
/// `number` spreads the sessions over the holders. `holders` must not be empty.
[[nodiscard]] const holder_candidate& holder_for_session(std::span<const holder_candidate> holders,
                                                         const data_centre& near, std::uint64_t number);

}
