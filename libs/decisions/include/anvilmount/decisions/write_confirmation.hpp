/// \file write_confirmation.hpp
/// Decides the outcome of a write that its primary has committed and whose answer
/// is held back. The write is acknowledged once a majority holds it, and never by
/// a primary that has been replaced.
#pragma once

#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"

#include <optional>

namespace anvilmount {

enum class write_decision {
    wait,
    acknowledge,
    replaced,            ///< The upstream is not primary of the write's term any more.
    primary_unreachable, ///< The primary stopped answering; the next primary may have the write.
    deadline_passed,     ///< No majority has confirmed the write by the deadline.
};

/// What the home of the primary that committed the write knows of it.
struct primary_observation {
    bool m_is_responsive{false};  ///< The last report is recent.
    bool m_is_primary{false};     ///< By its last report.
    std::uint64_t m_term{0};      ///< By its last report.
    log_position m_confirmed;     ///< Position that a majority holds, by its reports.
    steady_time m_silent_since{}; ///< Set while the primary does not answer.
};

/// Returns what to do with the write at position `written`.
[[nodiscard]] write_decision decide_write(const log_position& written,
                                          const primary_observation& observation, steady_time deadline,
                                          steady_time now);

}
