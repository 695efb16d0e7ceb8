/// \file pool_accounting.cpp
/// Implements pool sizing with jittered exponential backoff for failed connects.
#include "anvilmount/decisions/pool_accounting.hpp"

#include "anvilmount/base/failure.hpp"

#include <algorithm>

namespace anvilmount {

int pool_accounting::room(steady_time now) const {
    if (now < m_next_open_at) {
        return 0;
    }
    // While connects fail, one attempt at a time is enough to detect recovery.
    if (m_consecutive_failures > 0) {
        return m_opening == 0 && total() < m_options.m_limit ? 1 : 0;
    }
    return std::max(0, m_options.m_limit - total());
}

int pool_accounting::connections_to_open(int waiting, steady_time now) const {
    const int most = room(now);
    const int wanted = waiting + m_options.m_min_idle - m_idle - m_opening;
    return m_consecutive_failures > 0 ? most : std::clamp(wanted, 0, most);
}

bool pool_accounting::should_close_idle(steady_time idle_since, steady_time now) const {
    if (total() > m_options.m_limit) {
        return true;
    }
    return m_idle > m_options.m_min_idle && now - idle_since >= m_options.m_idle_timeout;
}

void pool_accounting::record_opening() {
    ++m_opening;
}

void pool_accounting::record_opened() {
    internal_check(m_opening > 0, "pool_accounting::record_opened(): a connection is opening");
    --m_opening;
    ++m_idle;
    m_consecutive_failures = 0;
}

void pool_accounting::record_open_failed(steady_time now, std::uint32_t random) {
    internal_check(m_opening > 0, "pool_accounting::record_open_failed(): a connection is opening");
    --m_opening;
    constexpr int max_doublings = 10;
    const milliseconds backoff =
        std::min(m_options.m_max_backoff,
                 m_options.m_initial_backoff * (1 << std::min(m_consecutive_failures, max_doublings)));
    ++m_consecutive_failures;
    const auto jitter =
        backoff.count() > 0 ? milliseconds{random % (backoff.count() / 2 + 1)} : milliseconds{0};
    m_next_open_at = now + backoff / 2 + jitter;
}

void pool_accounting::record_acquired() {
    internal_check(m_idle > 0, "pool_accounting::record_acquired(): a connection is idle");
    --m_idle;
    ++m_busy;
}

void pool_accounting::record_released() {
    internal_check(m_busy > 0, "pool_accounting::record_released(): a connection is busy");
    --m_busy;
    ++m_idle;
}

void pool_accounting::record_closed_idle() {
    internal_check(m_idle > 0, "pool_accounting::record_closed_idle(): a connection is idle");
    --m_idle;
}

void pool_accounting::record_closed_busy() {
    internal_check(m_busy > 0, "pool_accounting::record_closed_busy(): a connection is busy");
    --m_busy;
}

}
