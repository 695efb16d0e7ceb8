/// \file primary_gap.cpp
#include "anvilmount/decisions/primary_gap.hpp"

#include <algorithm>

namespace anvilmount {

void primary_gap::note_usable(bool usable, steady_time now) {
    if (usable) {
        m_since.reset();
        m_was_usable = true;
    } else if (!m_since) {
        m_since = now;
    }
}

std::optional<milliseconds> primary_gap::remaining(steady_time now) const {
    if (!m_since) {
        return std::nullopt;
    }
    const milliseconds expected = m_was_usable ? m_expectation.m_usual : m_expectation.m_first;
    return std::max(expected - lasted(now), lasted(now) / 2);
}

milliseconds primary_gap::lasted(steady_time now) const {
    return m_since ? std::chrono::duration_cast<milliseconds>(now - *m_since) : milliseconds{0};
}

}
