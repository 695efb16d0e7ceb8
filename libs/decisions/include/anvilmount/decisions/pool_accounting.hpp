/// \file pool_accounting.hpp
/// Counts the connections in the pool of one upstream and decides when to open
/// and close them. Open and opening connections together never exceed the limit.
/// A minimum number of idle connections is kept open, because a connect takes
/// far longer than a statement. The pool reports each event to a record_ function.
#pragma once

#include "anvilmount/base/time.hpp"

#include <cstdint>

namespace anvilmount {

struct pool_options {
    int m_limit{20};                    ///< Maximum number of open and opening connections.
    int m_min_idle{2};                  ///< Idle connections to keep open.
    milliseconds m_idle_timeout{60000}; ///< Idle connections beyond m_min_idle are closed after this time.
    milliseconds m_initial_backoff{50}; ///< Wait after a failed connect; doubles up to m_max_backoff.
    milliseconds m_max_backoff{2000};
};

class pool_accounting {
public:
    explicit pool_accounting(const pool_options& options) : m_options(options) {}

    void set_options(const pool_options& options) { m_options = options; }

    /// Returns how many connections to start opening at `now`, when `waiting` requests
    /// need one. The pool calls record_opening() for each.
    [[nodiscard]] int connections_to_open(int waiting, steady_time now) const;

    /// Returns how many connections may be opened at `now`, whether needed or not.
    [[nodiscard]] int room(steady_time now) const;

    /// Whether a connection may be opened at `now`, if need be in the place of an idle one.
    [[nodiscard]] bool may_open(steady_time now) const {
        return now >= m_next_open_at && (m_consecutive_failures == 0 || m_opening == 0);
    }

    /// Returns whether to close a connection that has been idle since `idle_since`.
    /// Idle connections above a lowered limit are closed without waiting.
    [[nodiscard]] bool should_close_idle(steady_time idle_since, steady_time now) const;

    void record_opening();

    /// An opening connection is open and idle.
    void record_opened();

    /// A connect failed. `random` adds jitter to the backoff, so that pools do not reconnect in step.
    void record_open_failed(steady_time now, std::uint32_t random);

    /// An idle connection was taken for a request and is now busy.
    void record_acquired();

    /// A busy connection was returned and is now idle.
    void record_released();

    void record_closed_idle();
    void record_closed_busy();

    [[nodiscard]] int opening() const { return m_opening; }
    [[nodiscard]] int idle() const { return m_idle; }
    [[nodiscard]] int busy() const { return m_busy; }
    [[nodiscard]] int total() const { return m_opening + m_idle + m_busy; }
    [[nodiscard]] int limit() const { return m_options.m_limit; }
    [[nodiscard]] int min_idle() const { return m_options.m_min_idle; }

    /// Consecutive failed connects; 0 after a successful one.
    [[nodiscard]] int consecutive_failures() const { return m_consecutive_failures; }

private:
    pool_options m_options;
    int m_opening{0};
    int m_idle{0};
    int m_busy{0};
    int m_consecutive_failures{0};
    steady_time m_next_open_at{}; ///< No connect before then: backoff after a failure.
};

}
