/// \file upstream_choice.hpp
/// Chooses the upstream for one read among those that may serve it: the one
/// expected to answer first. The primary is kept for the work that only it can
/// do and takes reads only while it has nothing else.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"

#include <optional>
#include <span>

namespace anvilmount {

/// What is known of one upstream of the group.
struct read_candidate {
    upstream_id m_id;
    bool m_is_primary{false};
    bool m_usable{true};                      ///< Registered, not leaving, and answering.
    bool m_nearby{false};                     ///< In the instance's own data centre.
    int m_in_flight{0};                       ///< Statements of this instance that run or wait there.
    int m_max_in_flight{1};                   ///< Statements that this instance may run there at once.
    microseconds m_answer_time{0};            ///< Smoothed; zero: not measured yet.
    std::optional<log_position> m_position{}; ///< Newest known end of its log.
    steady_time m_behind_until{};             ///< It lacked a position that was asked for lately.
};

struct read_constraints {
    std::optional<log_position> m_min_position; ///< Unset: no sample proves the age asked for.
    std::span<const upstream_id> m_excluded{};  ///< Have failed to answer this read.
};

/// Returns the upstream to ask; nothing when none can serve the read now.
[[nodiscard]] std::optional<upstream_id> choose_for_read(std::span<const read_candidate> candidates,
                                                         const read_constraints& demand, steady_time now);

}
