/// \file lineage.hpp
/// Tells whether a log position belongs to the history that survived all changes
/// of primary. Each change begins a new term at some offset. Records that an older
/// term wrote at or after that offset are lost, and their positions are invalid.
#pragma once

#include "anvilmount/base/log_position.hpp"

#include <span>

namespace anvilmount {

/// The first log record of a term.
struct term_start {
    std::uint64_t m_term{0};
    std::uint64_t m_first_offset{0};
};

/// Returns whether `position` lies in the history given by `starts`, which is
/// ordered by term. A position of a term later than all of them is not known to be
/// lost, and counts as part of the history.
[[nodiscard]] bool is_in_lineage(const log_position& position, std::span<const term_start> starts);

}
