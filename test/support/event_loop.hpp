/// \file event_loop.hpp
/// A reactor on its own event loop, and addresses on loopback, for tests with real connections.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/wire/reactor.hpp"

#include <QCoreApplication>
#include <QEventLoop>

#include <cstdlib>
#include <string>

namespace anvilmount::test {

/// The event loop on which the code under test and raw peers run.
struct event_loop {
    int m_count{1};
    std::string m_name{"test"};
    char* m_arguments[2]{m_name.data(), nullptr};
    QCoreApplication m_application{m_count, m_arguments};
    reactor m_loop;

    /// Runs until `ended` returns true.
    template <class Condition>
    void run_until(const Condition& ended) {
        while (!ended()) {
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
        }
    }
};

/// Returns a loopback address that no other test program uses.
inline endpoint test_address(int offset) {
    const char* base = std::getenv("ANVILMOUNT_TEST_PORTS");
    const int first = base == nullptr ? 20000 : std::stoi(base);
    return {.m_address = "127.0.0.1", .m_port = static_cast<std::uint16_t>(first + offset)};
}

}
