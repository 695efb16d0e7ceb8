/// \file group_holders.hpp
/// Chooses the instances that hold connections to a group's upstreams. While
/// the upstreams' limit gives every instance at least two, and the statements
/// that each has in flight do not queue at the upstreams, all are holders;
/// otherwise rendezvous hashing picks some, and the others hand the sessions of
/// that group on to one of them.
#pragma once

#include "anvilmount/base/identifiers.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace anvilmount {

struct holder_candidate {
    std::string m_name;
    data_centre m_data_centre{};
};

/// What one upstream of a group allows over all instances.
struct holding_limits {
    int m_connections{20};
    int m_slots{0}; ///< Statements that it runs at once; 0: not known, and no limit.
};

/// Returns how many of `instances` may hold connections; at least 1.
[[nodiscard]] int holder_count(const holding_limits& limits, int instances);

/// Returns the holders of `group`, the same at every instance that knows the
/// same candidates.
[[nodiscard]] std::vector<holder_candidate> group_holders(const group_name& group,
                                                          const holding_limits& limits,
                                                          std::span<const holder_candidate> candidates);

/// Returns the holder for one session: one in `near` when there is any, spread by `number`.
/// `holders` must not be empty.
[[nodiscard]] const holder_candidate& holder_for_session(std::span<const holder_candidate> holders,
                                                         const data_centre& near, std::uint64_t number);

}
