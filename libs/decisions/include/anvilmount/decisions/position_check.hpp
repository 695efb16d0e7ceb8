/// \file position_check.hpp
/// Decides whether an upstream may serve a read that must see a log position. The
/// offset alone is not sufficient: an upstream that was primary in an older term
/// may hold more records than the group, and different ones.
#pragma once

#include "anvilmount/base/log_position.hpp"
#include "anvilmount/decisions/lineage.hpp"

#include <span>

namespace anvilmount {

enum class position_status {
    reached,
    behind, ///< The upstream may still reach the position.
    lost,   ///< The position belongs to no surviving history.
};

/// The part of an upstream's state report that the check needs.
struct upstream_log {
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_position; ///< Position of the last record, with that record's term.
    std::span<const term_start> m_history;
};

/// Returns whether `upstream` has reached `wanted`. A replica serves reads only
/// once it holds the first record of its own term. Before that it may hold records
/// that are not part of the term's history.
[[nodiscard]] position_status check_position(const log_position& wanted, const upstream_log& upstream);

}
