/// \file upstream_choice.hpp
/// Chooses the upstream for one read: of those that can serve it, the one with
/// the shortest expected answer time. The primary's expected time is weighted up
/// with each statement in flight there, which keeps it free for the work that
/// only a primary can do.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"

#include <optional>
#include <span>

namespace anvilmount {

/// What the instance knows about one upstream of the group.
struct read_candidate {
    upstream_id m_id;
    bool m_is_primary{false};
    bool m_usable{true};                      ///< Registered, not leaving (being drained), and answering.
    bool m_nearby{false};                     ///< In the same data centre as the instance.
    int m_in_flight{0};                       ///< This instance's statements that run or wait there.
    int m_max_in_flight{1};                   ///< Statements that this instance may run there at once.
    microseconds m_answer_time{0};            ///< Moving average; zero: not measured yet.
    std::optional<log_position> m_position{}; ///< Latest known end of its log.
    steady_time m_behind_until{}; ///< Not chosen before then: the replica lacked a requested position.
};

/// What a read requires of the upstream that serves it.
struct read_constraints {
    /// The upstream's log must contain this position. Unset: no known position proves
    /// the staleness bound, and only the primary can serve the read.
    std::optional<log_position> m_min_position;
    std::span<const upstream_id> m_excluded{}; ///< Upstreams that failed to answer this read.
};

/// Returns the upstream to read from, or nothing when none can serve the read at `now`.
[[nodiscard]] std::optional<upstream_id> choose_for_read(std::span<const read_candidate> candidates,
                                                         const read_constraints& constraints,
                                                         steady_time now);

}
