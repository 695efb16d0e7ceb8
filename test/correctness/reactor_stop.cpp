/// \file reactor_stop.cpp
/// A stopped reactor runs only posted work. Guards against timers, deferred work and descriptor handlers
/// that run during shutdown and use objects that are already destroyed.
#include "anvilmount/wire/reactor.hpp"

#include <QCoreApplication>
#include <QEventLoop>

#include <boost/test/unit_test.hpp>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

struct loop_fixture {
    int m_count{1};
    std::string m_name{"test"};
    char* m_arguments[2]{m_name.data(), nullptr};
    QCoreApplication m_application{m_count, m_arguments};
    reactor m_loop;

    /// Processes events until posted work has run `rounds` times.
    void run_rounds(int rounds) {
        for (int round = 0; round < rounds; ++round) {
            bool passed = false;
            m_loop.post([&] { passed = true; });
            while (!passed) {
                QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
            }
        }
    }
};

}

BOOST_AUTO_TEST_CASE(a_stopped_reactor_runs_only_posted_work) {
    loop_fixture fixture;
    int timers = 0;
    int deferred = 0;
    int ready = 0;
    const int event_fd = eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK);
    fixture.m_loop.after(0us, [&] { ++timers; });
    fixture.m_loop.watch(event_fd, EPOLLIN, [&](std::uint32_t) { ++ready; });
    fixture.run_rounds(3);
    BOOST_TEST(timers == 1);
    BOOST_TEST(ready > 0);

    bool posted = false;
    fixture.m_loop.post([&] {
        fixture.m_loop.after(0us, [&] { ++timers; });
        fixture.m_loop.defer([&] { ++deferred; });
        fixture.m_loop.stop();
        ready = 0;
        fixture.m_loop.after(0us, [&] { ++timers; });
        fixture.m_loop.defer([&] { ++deferred; });
        fixture.m_loop.post([&] { posted = true; });
    });
    fixture.run_rounds(3);
    BOOST_TEST(posted);
    BOOST_TEST(timers == 1);
    BOOST_TEST(deferred == 0);
    BOOST_TEST(ready == 0);
    fixture.m_loop.unwatch(event_fd);
    close(event_fd);
}

BOOST_AUTO_TEST_CASE(stop_allows_destroyed_work_to_cancel_timers) {
    loop_fixture fixture;
    struct canceller {
        reactor& m_loop;
        reactor::timer_id m_timer;
        ~canceller() { m_loop.cancel(m_timer); }
    };
    const auto first = fixture.m_loop.after(1h, [] {});
    auto held = std::shared_ptr<canceller>(new canceller{fixture.m_loop, first});
    fixture.m_loop.after(2h, [held] {});
    held.reset();
    fixture.m_loop.stop();
    fixture.run_rounds(1);
}
