/// \file lineage.hpp
/// Tells whether a position belongs to the history that survived. Each change
/// of primary begins a new term at some offset; what an older term wrote beyond
/// that offset was lost, and a position there names nothing any more.
#pragma once

#include "anvilmount/base/log_position.hpp"

#include <span>

namespace anvilmount {

/// The first log record of a term.
struct term_start {
    std::uint64_t m_term{0};
    std::uint64_t m_first_offset{0};
};

/// True when `position` lies in the history given by `starts`, which is in
/// order of terms. A position of a term later than all of them is not known to
/// have been lost, and counts as within.
[[nodiscard]] bool is_in_lineage(const log_position& position, std::span<const term_start> starts);

}
