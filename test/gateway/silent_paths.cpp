/// \file silent_paths.cpp
/// Connections that lose their path without a reset: each one on which an instance waits for news, or
/// that it keeps for later, is probed by the kernel while nothing is sent.
#include "http_channel.hpp"
#include "support/event_loop.hpp"

#include "anvilmount/wire/http2_exchange.hpp"
#include "anvilmount/wire/http2_server.hpp"
#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds default_timeout{10000};
constexpr int max_descriptor = 256;

/// The kernel must give up a silent path within this time: the least bound on a configuration.
constexpr std::chrono::seconds max_detection_time{3};

int option(int fd, int level, int name) {
    int value = 0;
    socklen_t size = sizeof value;
    BOOST_REQUIRE(getsockopt(fd, level, name, &value, &size) == 0);
    return value;
}

/// Returns this process's descriptors of connections that it made to `server`.
std::vector<int> connections_to(const endpoint& server) {
    std::vector<int> found;
    for (int fd = 0; fd < max_descriptor; ++fd) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 && peer.sin_family == AF_INET &&
            ntohs(peer.sin_port) == server.m_port) {
            found.push_back(fd);
        }
    }
    return found;
}

/// Checks that each connection to `server` is closed by the kernel soon after its path is lost, both
/// while it is idle and while sent data is unacknowledged.
void check_probed(const endpoint& server) {
    const std::vector<int> connections = connections_to(server);
    BOOST_TEST(!connections.empty());
    for (const int fd : connections) {
        BOOST_TEST(option(fd, SOL_SOCKET, SO_KEEPALIVE) == 1);
        const std::chrono::seconds detection_time{option(fd, IPPROTO_TCP, TCP_KEEPIDLE) +
                                                  option(fd, IPPROTO_TCP, TCP_KEEPINTVL) *
                                                      option(fd, IPPROTO_TCP, TCP_KEEPCNT)};
        BOOST_TEST((detection_time <= max_detection_time));
        const milliseconds unacknowledged{option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT)};
        BOOST_TEST(unacknowledged.count() > 0);
        BOOST_TEST((unacknowledged <= max_detection_time));
    }
}

}

BOOST_AUTO_TEST_CASE(a_connection_to_the_store_that_goes_silent_is_noticed_while_a_watch_waits) {
    test::event_loop loop;
    const auto accepted = std::make_shared<std::shared_ptr<tcp_stream>>();
    bool received = false;
    const auto listener = tcp_listener::listen(loop.m_loop, test::test_address(1), [&, accepted](int fd) {
        *accepted = tcp_stream::adopt(
            loop.m_loop, fd,
            {.m_on_bytes = [&](std::string_view) { received = true; }, .m_on_closed = [](close_reason) {}});
    });
    BOOST_REQUIRE(listener.has_value());
    const auto client = std::make_shared<http::client>(loop.m_loop, test::test_address(1));
    client->send({.m_target = "/watch"}, default_timeout, [](const auto&) {});
    loop.run_until([&] { return received; });
    check_probed(test::test_address(1));
}

BOOST_AUTO_TEST_CASE(a_connection_to_another_instance_that_goes_silent_is_noticed_while_it_is_idle) {
    test::event_loop loop;
    const auto server = http2_server::listen(loop.m_loop, test::test_address(2), [](const auto& stream) {
        serve_request(stream, [](const http2_request&, const response_sender& respond) {
            respond({.m_status = 200, .m_body = "ok"});
        });
    });
    BOOST_REQUIRE(server.has_value());
    http2_client client(loop.m_loop, test::test_address(2));
    bool ended = false;
    client.send({.m_path = "/store"}, default_timeout, [&](const auto&) { ended = true; });
    loop.run_until([&] { return ended; });
    check_probed(test::test_address(2));
}
