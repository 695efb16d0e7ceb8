/// \file write_confirmation.hpp
/// Decides what becomes of a write that its primary has committed and whose
/// answer is held: acknowledged once a majority holds it, and never by a primary
/// that has been replaced.
#pragma once

#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"

#include <optional>

namespace anvilmount {

enum class write_decision {
    wait,
    acknowledge,
    replaced,            ///< The upstream does not lead the write's term any more.
    primary_unreachable, ///< The primary has been silent for too long; the next one may know the write.
    deadline_passed,     ///< No majority has confirmed it by the deadline.
};

/// What is known of the primary that took the write.
struct primary_observation {
    bool m_is_responsive{false};  ///< Its last report is recent.
    bool m_is_primary{false};     ///< As it last said.
    std::uint64_t m_term{0};      ///< As it last said.
    log_position m_confirmed;     ///< What a majority holds, by its reports.
    steady_time m_silent_since{}; ///< While it does not answer.
};

[[nodiscard]] write_decision decide_write(const log_position& written,
                                          const primary_observation& observation, steady_time deadline,
                                          steady_time now);

}
