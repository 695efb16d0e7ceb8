/// \file acknowledged_range.hpp
/// Where the newest commit lies that was acknowledged to callers. The primary names the end of its log with
/// each answer, not the position of a commit: other commits may be in that log which are not acknowledged
/// yet.
#pragma once

#include "anvilmount/base/log_position.hpp"

#include <algorithm>

namespace anvilmount {

struct acknowledged_range {
    /// A commit at this position or a later one was acknowledged.
    log_position m_at_least{};
    /// None at a later position was.
    log_position m_at_most{};

    auto operator<=>(const acknowledged_range&) const = default;
};

/// Returns the range of what the owners of both have acknowledged.
[[nodiscard]] inline acknowledged_range newest_of(const acknowledged_range& one,
                                                  const acknowledged_range& other) {
    return {.m_at_least = std::max(one.m_at_least, other.m_at_least),
            .m_at_most = std::max(one.m_at_most, other.m_at_most)};
}

}
