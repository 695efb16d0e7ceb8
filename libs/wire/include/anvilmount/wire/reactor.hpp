/// \file reactor.hpp
/// The event loop of one thread: file descriptors, timers, deferred work and a mailbox for work from other
/// threads. It runs inside that thread's Qt event loop. Qt watches a single epoll descriptor, and epoll
/// watches the sockets, because Qt's own dispatcher polls every descriptor at each wake-up and an instance
/// has thousands of caller connections.
#pragma once

#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

class QSocketNotifier;
class QTimer;

namespace anvilmount {

/// Bytes transferred by all streams of a reactor since its creation.
struct stream_traffic {
    std::uint64_t m_received{0};
    std::uint64_t m_sent{0};
};

/// Dispatches events to handlers in one thread.
class reactor {
public:
    /// Receives the epoll event mask.
    using ready_handler = std::function<void(std::uint32_t events)>;
    using task = std::function<void()>;

    /// Identifies a timer; never reused.
    struct timer_id {
        steady_time m_deadline{};
        std::uint64_t m_sequence{0};
        auto operator<=>(const timer_id&) const = default;
    };

    /// Attaches to the Qt event loop of the calling thread. Only post() may be called from other threads.
    reactor();
    ~reactor();
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

    /// Watches `fd` for `events` (EPOLLIN, EPOLLOUT).
    void watch(int fd, std::uint32_t events, ready_handler handler);
    /// Replaces the events that `fd` is watched for.
    void set_events(int fd, std::uint32_t events);
    /// Stops watching `fd`. Call before closing it.
    void unwatch(int fd);

    /// Runs `work` in the thread of this reactor. Thread-safe.
    void post(task work);

    /// Runs `work` in this thread after the current round of events.
    void defer(task work);

    /// Runs `work` once after `delay`, unless cancelled.
    timer_id after(microseconds delay, task work);
    void cancel(const timer_id& timer);

    /// Permanently stops timers, descriptor handlers and deferred work; only posted work still runs. The
    /// objects that they refer to can then be destroyed in several steps.
    void stop();

    [[nodiscard]] static steady_time now() { return std::chrono::steady_clock::now(); }

    [[nodiscard]] stream_traffic& traffic() { return m_traffic; }

private:
    struct watched_descriptor {
        std::uint32_t m_generation{0};
        std::shared_ptr<ready_handler> m_handler;
    };

    void dispatch();
    void run_mailbox();
    void run_deferred();
    void run_timers();
    void arm_timer();
    void signal_wake_fd() const;

    int m_epoll_fd{-1};
    int m_wake_fd{-1}; ///< An eventfd; readable when the mailbox or deferred work needs a round.
    std::unique_ptr<QSocketNotifier> m_notifier;
    std::unique_ptr<QTimer> m_timer;
    std::vector<watched_descriptor> m_watched; ///< Indexed by descriptor.
    std::uint32_t m_next_generation{1};
    std::map<timer_id, task> m_timers;
    std::uint64_t m_next_timer_sequence{1};
    std::vector<task> m_deferred;
    bool m_dispatching{false}; ///< A round is in progress and runs the deferred work at its end.
    bool m_stopped{false};     ///< Once set, m_timers and m_deferred stay empty.
    stream_traffic m_traffic;

    std::mutex m_mailbox_lock;
    std::vector<task> m_mailbox; ///< Guarded by m_mailbox_lock.
};

}
