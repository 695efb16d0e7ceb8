/// \file group_record.hpp
/// The record in the metadata store that names the primary of a database group.
/// All instances follow it. It is written only on the condition that its stored
/// version is unchanged. Its epoch rises with every change, so that an instance
/// can report which version it has adopted.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/log_position.hpp"

#include <cstdint>

namespace anvilmount {

enum class group_stage {
    steady,   ///< Every instance that holds a lease may use the primary.
    switching ///< No instance may use the old primary; the candidate is being promoted.
};

struct group_record {
    std::uint64_t m_epoch{0}; ///< 0: the group has no record yet.
    group_stage m_stage{group_stage::steady};
    upstream_id m_primary{}; ///< While switching: the primary that is being replaced.
    std::uint64_t m_term{0}; ///< Term of m_primary.
    /// End of m_primary's log when it was found to be primary. Records of earlier
    /// terms that survived lie before this position.
    log_position m_start{};
    upstream_id m_candidate{}; ///< While switching: the upstream to promote.
    bool m_planned{false};     ///< The old primary still works; the candidate must catch up first.

    auto operator<=>(const group_record&) const = default;
};

}
