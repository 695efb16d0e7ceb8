/// \file reactor.hpp
/// One thread's view of its file descriptors, timers and mailbox. It lives
/// inside that thread's Qt event loop: Qt watches a single epoll descriptor,
/// and epoll watches the sockets, because Qt's own dispatcher polls every
/// descriptor each time it wakes and an instance holds thousands of callers.
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

/// Bytes that went through a reactor's streams since it began.
struct stream_traffic {
    std::uint64_t m_received{0};
    std::uint64_t m_sent{0};
};

class reactor {
public:
    /// Called with the epoll event bits that are set.
    using ready_handler = std::function<void(std::uint32_t events)>;
    using task = std::function<void()>;

    /// Identifies a timer; never reused.
    struct timer_id {
        steady_time m_deadline{};
        std::uint64_t m_sequence{0};
        auto operator<=>(const timer_id&) const = default;
    };

    /// Attaches to the calling thread's Qt event loop. All members but post()
    /// belong to that thread.
    reactor();
    ~reactor();
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

    /// Watches `fd` for `events` (EPOLLIN, EPOLLOUT).
    void watch(int fd, std::uint32_t events, ready_handler handler);
    void set_events(int fd, std::uint32_t events);
    void unwatch(int fd);

    /// Runs `work` in this reactor's thread. May be called from any thread.
    void post(task work);

    /// Runs `work` in this thread once the current round of events is done.
    void defer(task work);

    timer_id after(microseconds delay, task work);
    void cancel(const timer_id& timer);

    /// Ends timers, descriptors and deferred work for good; only posted work runs
    /// from now on. What they would call may then be destroyed piece by piece.
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
    int m_wake_fd{-1};
    std::unique_ptr<QSocketNotifier> m_notifier;
    std::unique_ptr<QTimer> m_timer;
    std::vector<watched_descriptor> m_watched; ///< Index: descriptor.
    std::uint32_t m_next_generation{1};
    std::map<timer_id, task> m_timers;
    std::uint64_t m_next_timer_sequence{1};
    std::vector<task> m_deferred;
    bool m_dispatching{false};
    bool m_stopped{false}; ///< Once set, m_timers and m_deferred stay empty.
    stream_traffic m_traffic;

    std::mutex m_mailbox_lock;
    std::vector<task> m_mailbox; ///< Guarded by m_mailbox_lock.
};

}
