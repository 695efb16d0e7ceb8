/// \file event_loop.cpp
/// Measures the cost of one wake-up against the number of idle descriptors: one QSocketNotifier per
/// descriptor, compared with the reactor, which exposes a single epoll descriptor to Qt.
/// Prints {"points":[{"idle":..,"qt_us":..,"reactor_us":..}]}.
#include "anvilmount/wire/reactor.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <nlohmann/json.hpp>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdio>
#include <memory>
#include <vector>

namespace {

constexpr int rounds = 2000;

std::vector<int> idle_descriptors(int count) {
    std::vector<int> all;
    for (int number = 0; number < count; ++number) {
        all.push_back(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    }
    return all;
}

void make_readable(int fd) {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(fd, &one, sizeof one);
}

/// A descriptor that becomes readable again after each event, until all rounds are done.
class rearming_descriptor {
public:
    rearming_descriptor() : m_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) { make_readable(m_fd); }
    ~rearming_descriptor() { close(m_fd); }
    rearming_descriptor(const rearming_descriptor&) = delete;
    rearming_descriptor& operator=(const rearming_descriptor&) = delete;

    void on_event() {
        std::uint64_t ignored = 0;
        [[maybe_unused]] const ssize_t got = read(m_fd, &ignored, sizeof ignored);
        if (++m_events_handled == rounds) {
            QCoreApplication::quit();
            return;
        }
        make_readable(m_fd);
    }

    [[nodiscard]] int fd() const { return m_fd; }

private:
    int m_fd;
    int m_events_handled{0};
};

/// Runs the event loop until all rounds are done. Returns microseconds per round.
double measure_loop() {
    const auto start = std::chrono::steady_clock::now();
    QCoreApplication::exec();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() /
           rounds;
}

double measure_qt(const std::vector<int>& idle) {
    std::vector<std::unique_ptr<QSocketNotifier>> notifiers;
    for (const int fd : idle) {
        notifiers.push_back(std::make_unique<QSocketNotifier>(fd, QSocketNotifier::Read));
    }
    rearming_descriptor busy;
    const QSocketNotifier notifier(busy.fd(), QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, [&] { busy.on_event(); });
    return measure_loop();
}

double measure_reactor(const std::vector<int>& idle) {
    anvilmount::reactor loop;
    for (const int fd : idle) {
        loop.watch(fd, EPOLLIN, [](std::uint32_t) {});
    }
    rearming_descriptor busy;
    loop.watch(busy.fd(), EPOLLIN, [&](std::uint32_t) { busy.on_event(); });
    const double cost = measure_loop();
    loop.unwatch(busy.fd());
    return cost;
}

}

int main(int argc, char** argv) {
    qputenv("QT_NO_GLIB", "1");
    const QCoreApplication application(argc, argv);
    nlohmann::json points = nlohmann::json::array();
    for (const int count : {10, 100, 1000, 5700}) {
        const std::vector<int> idle = idle_descriptors(count);
        points.push_back(
            {{"idle", count}, {"qt_us", measure_qt(idle)}, {"reactor_us", measure_reactor(idle)}});
        for (const int fd : idle) {
            close(fd);
        }
    }
    std::printf("%s\n", nlohmann::json{{"points", points}}.dump().c_str());
    return 0;
}
