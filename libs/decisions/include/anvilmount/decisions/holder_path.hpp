/// \file holder_path.hpp
/// Chooses the holder of a session by both hops of its statements: from the caller's instance to the
/// holder, and from the holder to the upstream. The cheaper pair wins; among equal ones the instance's own
/// data centre does.
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/group_holders.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace anvilmount {

/// What the instance that chooses knows of the paths.
struct holder_paths {
    data_centre m_here{};
    /// Data centres of the upstreams that may serve the session; empty: not known.
    std::vector<data_centre> m_upstreams{};
    /// Measured time to connect to the holders of a data centre. Others, and the paths between two other
    /// data centres, are taken to be ordinary.
    std::map<data_centre, microseconds> m_times{};
    double m_byte_price{0}; ///< Milliseconds of answer time for a kilobyte.
};

/// Returns the holder for one session; as holder_for_session() at price 0. `holders` must not be empty.
[[nodiscard]] const holder_candidate& holder_by_path(std::span<const holder_candidate> holders,
                                                     const holder_paths& paths, std::uint64_t number);

}
