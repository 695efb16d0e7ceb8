/// \file reactor.cpp
/// Implements the reactor with epoll, an eventfd for wake-ups, and one QTimer for the earliest timer.
#include "anvilmount/wire/reactor.hpp"

#include "anvilmount/base/failure.hpp"

#include <QSocketNotifier>
#include <QTimer>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace anvilmount {
namespace {

constexpr int events_per_round = 256;
constexpr unsigned generation_shift = 32;

std::uint64_t event_key(int fd, std::uint32_t generation) {
    return (static_cast<std::uint64_t>(generation) << generation_shift) | static_cast<std::uint32_t>(fd);
}

}

reactor::reactor()
    : m_epoll_fd(epoll_create1(EPOLL_CLOEXEC)), m_wake_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      m_notifier(std::make_unique<QSocketNotifier>(m_epoll_fd, QSocketNotifier::Read)),
      m_timer(std::make_unique<QTimer>()) {
    internal_check(m_epoll_fd >= 0 && m_wake_fd >= 0,
                   "the kernel provides the epoll and eventfd descriptors of the event loop");
    QObject::connect(m_notifier.get(), &QSocketNotifier::activated, [this] { dispatch(); });
    m_timer->setSingleShot(true);
    m_timer->setTimerType(Qt::PreciseTimer);
    QObject::connect(m_timer.get(), &QTimer::timeout, [this] { run_timers(); });
    watch(m_wake_fd, EPOLLIN, [this](std::uint32_t) { run_mailbox(); });
}

reactor::~reactor() {
    m_notifier.reset();
    close(m_wake_fd);
    close(m_epoll_fd);
}

void reactor::watch(int fd, std::uint32_t events, ready_handler handler) {
    const auto index = static_cast<std::size_t>(fd);
    if (m_watched.size() <= index) {
        m_watched.resize(std::max(index + 1, m_watched.size() * 2));
    }
    m_watched[index] = {.m_generation = m_next_generation++,
                        .m_handler = std::make_shared<ready_handler>(std::move(handler))};
    epoll_event event{};
    event.events = events;
    event.data.u64 = event_key(fd, m_watched[index].m_generation);
    internal_check(epoll_ctl(m_epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0,
                   "a descriptor to watch is open and not watched yet");
}

void reactor::set_events(int fd, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.u64 = event_key(fd, m_watched[static_cast<std::size_t>(fd)].m_generation);
    internal_check(epoll_ctl(m_epoll_fd, EPOLL_CTL_MOD, fd, &event) == 0,
                   "a descriptor whose events are set is watched");
}

void reactor::unwatch(int fd) {
    epoll_ctl(m_epoll_fd, EPOLL_CTL_DEL, fd, nullptr);
    m_watched[static_cast<std::size_t>(fd)] = {};
}

void reactor::post(task work) {
    // Signalled under the lock: the work may destroy this reactor, which must not happen before the signal
    // has been sent.
    const std::lock_guard guard(m_mailbox_lock);
    m_mailbox.push_back(std::move(work));
    if (m_mailbox.size() == 1) {
        signal_wake_fd();
    }
}

void reactor::signal_wake_fd() const {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(m_wake_fd, &one, sizeof one);
}

void reactor::defer(task work) {
    if (m_stopped) {
        return;
    }
    m_deferred.push_back(std::move(work));
    if (!m_dispatching) {
        signal_wake_fd();
    }
}

reactor::timer_id reactor::after(microseconds delay, task work) {
    const timer_id id{.m_deadline = now() + delay, .m_sequence = m_next_timer_sequence++};
    if (m_stopped) {
        return id;
    }
    m_timers.emplace(id, std::move(work));
    if (m_timers.begin()->first == id) {
        arm_timer();
    }
    return id;
}

void reactor::cancel(const timer_id& timer) {
    m_timers.erase(timer);
}

void reactor::stop() {
    m_stopped = true;
    m_timer->stop();
    // Moved out before they are destroyed: objects that the work owns may cancel timers in their
    // destructors.
    const auto timers = std::exchange(m_timers, {});
    const auto deferred = std::exchange(m_deferred, {});
}

void reactor::arm_timer() {
    if (m_timers.empty()) {
        return;
    }
    const auto wait = std::chrono::ceil<milliseconds>(m_timers.begin()->first.m_deadline - now());
    m_timer->start(std::max(milliseconds{0}, wait));
}

void reactor::run_timers() {
    m_dispatching = true;
    const steady_time until = now();
    while (!m_timers.empty() && m_timers.begin()->first.m_deadline <= until) {
        auto due = m_timers.extract(m_timers.begin());
        due.mapped()();
    }
    run_deferred();
    m_dispatching = false;
    arm_timer();
}

void reactor::dispatch() {
    m_dispatching = true;
    std::array<epoll_event, events_per_round> events{};
    const int count = epoll_wait(m_epoll_fd, events.data(), events_per_round, 0);
    for (int index = 0; index < count; ++index) {
        const epoll_event& event = events[static_cast<std::size_t>(index)];
        const auto fd = static_cast<std::uint32_t>(event.data.u64);
        const watched_descriptor& target = m_watched[fd];
        if (m_stopped && fd != static_cast<std::uint32_t>(m_wake_fd)) {
            continue;
        }
        // Skips a descriptor that a handler of this round has unwatched, or that has been reused since.
        if (target.m_handler && target.m_generation == event.data.u64 >> generation_shift) {
            const std::shared_ptr<ready_handler> handler = target.m_handler;
            (*handler)(event.events);
        }
    }
    run_deferred();
    m_dispatching = false;
}

void reactor::run_mailbox() {
    std::uint64_t ignored = 0;
    [[maybe_unused]] const ssize_t got = read(m_wake_fd, &ignored, sizeof ignored);
    std::vector<task> work;
    {
        const std::lock_guard guard(m_mailbox_lock);
        work.swap(m_mailbox);
    }
    for (task& each : work) {
        each();
    }
}

void reactor::run_deferred() {
    while (!m_deferred.empty()) {
        std::vector<task> work;
        work.swap(m_deferred);
        for (task& each : work) {
            each();
        }
    }
}

}
