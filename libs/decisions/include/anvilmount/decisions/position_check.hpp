/// \file position_check.hpp
/// Decides whether an upstream may serve a read that must see a position. An
/// offset alone says too little: an upstream that was primary of an older term
/// may hold more records than the group, and other ones.
#pragma once

#include "anvilmount/base/log_position.hpp"
#include "anvilmount/decisions/lineage.hpp"

#include <span>

namespace anvilmount {

enum class position_status {
    reached,
    behind, ///< The upstream may get there yet.
    lost,   ///< The position is in no history that survived.
};

/// What an upstream says of itself, as far as it matters here.
struct upstream_log {
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_position; ///< Its term is that of the last record.
    std::span<const term_start> m_history;
};

/// A replica serves only once it holds the first record of its own term: before
/// that it may hold records that the term's history does not have.
[[nodiscard]] position_status check_position(const log_position& wanted, const upstream_log& upstream);

}
