/// \file primary_gap.cpp
/// Implements the estimate of a gap's remaining time.
#include "anvilmount/decisions/primary_gap.hpp"

#include <algorithm>

namespace anvilmount {

void primary_gap::record_usable(bool usable, steady_time now) {
    if (usable) {
        m_started_at.reset();
        m_was_usable = true;
    } else if (!m_started_at) {
        m_started_at = now;
    }
}

std::optional<milliseconds> primary_gap::expected_remaining(steady_time now) const {
    if (!m_started_at) {
        return std::nullopt;
    }
    const milliseconds expected = m_was_usable ? m_expectation.m_failover : m_expectation.m_startup;
    return std::max(expected - elapsed(now), elapsed(now) / 2);
}

milliseconds primary_gap::elapsed(steady_time now) const {
    return m_started_at ? std::chrono::duration_cast<milliseconds>(now - *m_started_at) : milliseconds{0};
}

}
