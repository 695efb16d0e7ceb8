/// \file primary_outage.hpp
/// Tracks an outage of a group's primary and estimates when it ends. A request
/// that needs the primary waits if the outage is expected to end before the
/// request's deadline, and is refused at once otherwise.
#pragma once

#include "anvilmount/base/time.hpp"

#include <optional>

namespace anvilmount {

/// Expected duration of an outage, by its cause.
struct outage_expectation {
    milliseconds m_startup{300};   ///< From the start of an instance until it may use the primary.
    milliseconds m_failover{1800}; ///< Failure detection, acknowledgements and promotion.
};

class primary_outage {
public:
    explicit primary_outage(const outage_expectation& expectation) : m_expectation(expectation) {}

    void record_usable(bool usable, steady_time now);

    /// Returns the expected remaining time of the outage; nothing when the primary is
    /// usable. Past the expected duration, an outage is assumed to last half as long
    /// again as it has lasted so far.
    [[nodiscard]] std::optional<milliseconds> expected_remaining(steady_time now) const;

    /// Returns how long the outage has lasted; zero when the primary is usable.
    [[nodiscard]] milliseconds elapsed(steady_time now) const;

private:
    outage_expectation m_expectation;
    std::optional<steady_time> m_started_at; ///< Unset: the primary is usable.
    bool m_was_usable{false};                ///< The primary was usable at some time.
};

}
