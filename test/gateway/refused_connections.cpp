/// \file refused_connections.cpp
/// Connections that are refused since the process holds as many as it may.
#include "caller_connection.hpp"
#include "support/event_loop.hpp"
#include "support/gateway_fleet.hpp"

#include "anvilmount/observe/metrics.hpp"
#include "anvilmount/wire/tcp_listener.hpp"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <string>
#include <vector>

using namespace anvilmount;

namespace {

const std::string start_line = "START pay caller\r\n";
const std::string refusal = "ERROR TOOMANY too many callers\r\n";

/// A caller that reads only when it is told to.
class tcp_caller {
public:
    explicit tcp_caller(const endpoint& where) : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(where.m_port);
        inet_pton(AF_INET, where.m_address.c_str(), &address.sin_addr);
        BOOST_REQUIRE(connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    }
    ~tcp_caller() { close(m_fd); }
    tcp_caller(const tcp_caller&) = delete;
    tcp_caller& operator=(const tcp_caller&) = delete;

    [[nodiscard]] bool send_start() const {
        return send(m_fd, start_line.data(), start_line.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
               static_cast<ssize_t>(start_line.size());
    }

    /// Reads what has come, and returns whether the connection has ended.
    bool read_to_end() {
        std::array<char, 256> bytes{};
        ssize_t got = 0;
        while ((got = recv(m_fd, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0) {
            m_received.append(bytes.data(), static_cast<std::size_t>(got));
        }
        m_error = got < 0 ? errno : 0;
        return m_error != EAGAIN;
    }

    std::string m_received;
    int m_error{0}; ///< With which reading ended; 0: the other end has closed the connection in order.

private:
    int m_fd;
};

/// An instance that may hold no connection of a caller.
struct full_instance {
    test::event_loop m_loop;
    test::gateway_fleet m_fleet{1};
    metrics m_counters;
    std::shared_ptr<line_protocol::caller_limits> m_limits;
    std::unique_ptr<tcp_listener> m_listener;

    explicit full_instance(line_protocol::caller_limit_options options = {}) {
        options.m_max_descriptors = 0;
        m_limits = std::make_shared<line_protocol::caller_limits>(m_loop.m_loop, options, m_counters);
        auto listener = tcp_listener::listen(m_loop.m_loop, address(), [this](int fd) {
            line_protocol::serve_caller(m_loop.m_loop, fd, m_fleet.instance(1), m_limits);
        });
        m_listener = std::move(listener.value());
    }

    [[nodiscard]] static endpoint address() { return test::test_address(0); }
};

}

BOOST_AUTO_TEST_CASE(the_refusal_of_a_connection_is_not_followed_by_a_reset) {
    full_instance instance;
    tcp_caller caller(full_instance::address());
    BOOST_TEST(caller.send_start());
    instance.m_loop.run_until([&] { return caller.read_to_end(); });
    BOOST_TEST(caller.m_received == refusal);
    BOOST_TEST(caller.m_error == 0);
}

BOOST_AUTO_TEST_CASE(a_start_that_arrives_after_the_refusal_is_not_answered_by_a_reset) {
    full_instance instance;
    tcp_caller caller(full_instance::address());
    instance.m_loop.run_until([&] { return caller.read_to_end(); });
    BOOST_TEST(caller.send_start());
    BOOST_TEST(caller.send_start());
    BOOST_TEST(caller.read_to_end());
    BOOST_TEST(caller.m_received == refusal);
    BOOST_TEST(caller.m_error == 0);
}

BOOST_AUTO_TEST_CASE(a_crowd_that_is_refused_holds_few_descriptors) {
    constexpr int crowd_size = 6;
    constexpr std::size_t max_refusals = 2;
    full_instance instance({.m_max_refusals = max_refusals});
    std::vector<std::unique_ptr<tcp_caller>> crowd;
    for (int number = 0; number < crowd_size; ++number) {
        crowd.push_back(std::make_unique<tcp_caller>(full_instance::address()));
    }
    instance.m_loop.run_until([&] {
        return std::all_of(crowd.begin(), crowd.end(),
                           [](const auto& each) { return each->read_to_end(); });
    });
    // One that was closed answers START by a reset.
    std::size_t held = 0;
    for (const auto& each : crowd) {
        BOOST_TEST(each->m_received == refusal);
        held += each->send_start() && each->send_start() ? 1 : 0;
    }
    BOOST_TEST(held == max_refusals);
    BOOST_TEST(instance.m_limits->has_connections());
    crowd.clear();
    instance.m_loop.run_until([&] { return !instance.m_limits->has_connections(); });
}

BOOST_AUTO_TEST_CASE(a_refused_caller_that_neither_closes_nor_stops_sending_is_disconnected) {
    full_instance instance;
    const tcp_caller caller(full_instance::address());
    instance.m_loop.run_until([&] { return instance.m_limits->has_connections(); });
    while (caller.send_start()) {
        QCoreApplication::processEvents();
    }
    instance.m_loop.run_until([&] { return !instance.m_limits->has_connections(); });
}
