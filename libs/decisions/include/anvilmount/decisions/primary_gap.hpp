/// \file primary_gap.hpp
/// Tracks a gap of a group and estimates when it ends. A request that needs the
/// primary waits if the gap is expected to end before the request's deadline, and
/// is refused at once otherwise.
#pragma once

#include "anvilmount/base/time.hpp"

#include <optional>

namespace anvilmount {

/// Expected duration of a gap, by its cause.
struct gap_expectation {
    milliseconds m_startup{300};   ///< From the start of an instance until it may use the primary.
    milliseconds m_failover{1800}; ///< Failure detection, acknowledgements and promotion.
};

/// Tracks a gap: the time in which a group has no usable primary.
class primary_gap {
public:
    explicit primary_gap(const gap_expectation& expectation) : m_expectation(expectation) {}

    void record_usable(bool usable, steady_time now);

    /// Returns the expected remaining time of the gap; nothing when the primary is
    /// usable. Past the expected duration, a gap is assumed to last half as long again
    /// as it has lasted so far.
    [[nodiscard]] std::optional<milliseconds> expected_remaining(steady_time now) const;

    /// Returns how long the gap has lasted; zero when the primary is usable.
    [[nodiscard]] milliseconds elapsed(steady_time now) const;

private:
    gap_expectation m_expectation;
    std::optional<steady_time> m_started_at; ///< Unset: the primary is usable.
    bool m_was_usable{false};                ///< The primary was usable at some time.
};

}
