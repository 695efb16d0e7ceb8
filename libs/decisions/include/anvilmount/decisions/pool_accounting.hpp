/// \file pool_accounting.hpp
/// Counts the connections of one upstream and decides when to open and close
/// them. The number of open and opening connections never exceeds the limit.
/// Connections are opened before they are needed, since a connect takes far
/// longer than a statement.
#pragma once

#include "anvilmount/base/time.hpp"

#include <cstdint>

namespace anvilmount {

struct pool_options {
    int m_limit{20};                    ///< Connections allowed at once.
    int m_min_idle{2};                  ///< Idle connections to keep ready.
    milliseconds m_idle_timeout{60000}; ///< A spare connection idle for this long is closed.
    milliseconds m_initial_backoff{50}; ///< Pause after a failed connect; doubles up to m_max_backoff.
    milliseconds m_max_backoff{2000};
};

class pool_accounting {
public:
    explicit pool_accounting(const pool_options& options) : m_options(options) {}

    void set_options(const pool_options& options) { m_options = options; }

    /// Returns how many connections to start opening now, for `waiting`
    /// requests that have none. The caller reports each by record_opening().
    [[nodiscard]] int connections_to_open(int waiting, steady_time now) const;

    /// Returns whether a connection idle since `idle_since` should be closed.
    [[nodiscard]] bool should_close_idle(steady_time idle_since, steady_time now) const;

    void record_opening();
    void record_opened();

    /// A connect failed. `random` spreads the pause of several pools.
    void record_open_failed(steady_time now, std::uint32_t random);

    void record_acquired();
    void record_released();
    void record_closed_idle();
    void record_closed_busy();

    [[nodiscard]] int opening() const { return m_opening; }
    [[nodiscard]] int idle() const { return m_idle; }
    [[nodiscard]] int busy() const { return m_busy; }
    [[nodiscard]] int total() const { return m_opening + m_idle + m_busy; }
    [[nodiscard]] int limit() const { return m_options.m_limit; }

    /// Consecutive failed connects; 0 after a success.
    [[nodiscard]] int consecutive_failures() const { return m_consecutive_failures; }

private:
    pool_options m_options;
    int m_opening{0}; ///< m_opening + m_idle + m_busy never exceeds the limit.
    int m_idle{0};
    int m_busy{0};
    int m_consecutive_failures{0};
    steady_time m_next_open_at{};
};

}
