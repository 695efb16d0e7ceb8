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

struct running_loop {
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

BOOST_AUTO_TEST_CASE(a_stopped_loop_runs_posted_work_alone) {
    running_loop all;
    int timers = 0;
    int deferred = 0;
    int ready = 0;
    const int source = eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK);
    all.m_loop.after(0us, [&] { ++timers; });
    all.m_loop.watch(source, EPOLLIN, [&](std::uint32_t) { ++ready; });
    all.run_rounds(3);
    BOOST_TEST(timers == 1);
    BOOST_TEST(ready > 0);

    bool posted = false;
    all.m_loop.post([&] {
        all.m_loop.after(0us, [&] { ++timers; });
        all.m_loop.defer([&] { ++deferred; });
        all.m_loop.stop();
        ready = 0;
        all.m_loop.after(0us, [&] { ++timers; });
        all.m_loop.defer([&] { ++deferred; });
        all.m_loop.post([&] { posted = true; });
    });
    all.run_rounds(3);
    BOOST_TEST(posted);
    BOOST_TEST(timers == 1);
    BOOST_TEST(deferred == 0);
    BOOST_TEST(ready == 0);
    all.m_loop.unwatch(source);
    close(source);
}

BOOST_AUTO_TEST_CASE(stopping_survives_work_that_cancels_timers_as_it_is_destroyed) {
    running_loop all;
    struct canceller {
        reactor& m_loop;
        reactor::timer_id m_timer;
        ~canceller() { m_loop.cancel(m_timer); }
    };
    const auto first = all.m_loop.after(1h, [] {});
    auto held = std::shared_ptr<canceller>(new canceller{all.m_loop, first});
    all.m_loop.after(2h, [held] {});
    held.reset();
    all.m_loop.stop();
    all.run_rounds(1);
}
