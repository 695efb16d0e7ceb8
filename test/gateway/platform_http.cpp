/// \file platform_http.cpp
/// Tests the HTTP client and server on loopback, also with peers that close the
/// connection, do not answer or send malformed responses.
#include "http_channel.hpp"
#include "support/event_loop.hpp"

#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds default_timeout{10000};

/// An event loop on which the client, the server and raw peers run.
struct event_loop : test::event_loop {
    /// Sends `outgoing` and waits for the response or the failure.
    std::optional<http::response> send_and_wait(const std::shared_ptr<http::client>& client,
                                                const http::request& outgoing,
                                                milliseconds timeout = default_timeout) {
        std::optional<http::response> got;
        bool ended = false;
        client->send(outgoing, timeout, [&](std::optional<http::response> received) {
            got = std::move(received);
            ended = true;
        });
        run_until([&] { return ended; });
        return got;
    }
};

/// Accepts connections and answers any bytes with `reply`. An empty `reply` closes the
/// connection; "silence" sends nothing.
std::unique_ptr<tcp_listener> raw_peer(event_loop& loop, const endpoint& address,
                                       const std::string& reply) {
    auto streams = std::make_shared<std::vector<std::shared_ptr<tcp_stream>>>();
    auto made = tcp_listener::listen(loop.m_loop, address, [&loop, streams, reply](int fd) {
        const std::size_t index = streams->size();
        streams->push_back(tcp_stream::adopt(loop.m_loop, fd,
                                             {.m_on_bytes =
                                                  [streams, index, reply](std::string_view) {
                                                      if (reply.empty()) {
                                                          (*streams)[index]->close();
                                                      } else if (reply != "silence") {
                                                          (*streams)[index]->write(reply);
                                                      }
                                                  },
                                              .m_on_closed = [](close_reason) {}}));
    });
    return std::move(made.value());
}

}

BOOST_AUTO_TEST_CASE(several_requests_are_answered_over_one_connection) {
    event_loop loop;
    const auto made = http::server::listen(loop.m_loop, test::test_address(1), [](const std::string& path) {
        return http::response{.m_status = path == "/ready" ? 200 : 404, .m_body = "body of " + path};
    });
    BOOST_REQUIRE(made.has_value());
    const auto client = std::make_shared<http::client>(loop.m_loop, test::test_address(1));
    for (int round = 0; round < 3; ++round) {
        const auto got = loop.send_and_wait(client, {.m_target = "/ready"});
        BOOST_REQUIRE(got.has_value());
        BOOST_TEST(got->m_status == 200);
        BOOST_TEST(got->m_body == "body of /ready");
    }
    BOOST_TEST(
        loop.send_and_wait(client, {.m_method = "POST", .m_target = "/x", .m_body = "{}"})->m_status ==
        404);
}

BOOST_AUTO_TEST_CASE(a_failing_or_silent_peer_yields_no_response) {
    event_loop loop;
    const auto closing = raw_peer(loop, test::test_address(2), "");
    const auto silent = raw_peer(loop, test::test_address(3), "silence");
    const auto malformed = raw_peer(loop, test::test_address(4), "what?\r\n\r\n");
    for (const int peer : {2, 4, 5}) {
        const auto client = std::make_shared<http::client>(loop.m_loop, test::test_address(peer));
        BOOST_TEST_CONTEXT(peer) {
            BOOST_TEST(!loop.send_and_wait(client, {.m_target = "/"}).has_value());
            BOOST_TEST(!loop.send_and_wait(client, {.m_target = "/"}).has_value());
        }
    }
    const auto client = std::make_shared<http::client>(loop.m_loop, test::test_address(3));
    BOOST_TEST(!loop.send_and_wait(client, {.m_target = "/"}, 50ms).has_value());
}

BOOST_AUTO_TEST_CASE(a_response_of_1_mib_is_received_completely) {
    event_loop loop;
    const std::string long_body(std::size_t{1} << 20, 'x');
    const auto made = http::server::listen(loop.m_loop, test::test_address(6), [&](const std::string&) {
        return http::response{.m_status = 200, .m_body = long_body};
    });
    BOOST_REQUIRE(made.has_value());
    const auto client = std::make_shared<http::client>(loop.m_loop, test::test_address(6));
    BOOST_TEST(loop.send_and_wait(client, {.m_target = "/"})->m_body.size() == long_body.size());
}

/// Otherwise the kernel would go on sending it, and it would be carried out when nobody expects it any
/// more.
BOOST_AUTO_TEST_CASE(a_request_that_is_given_up_is_not_delivered_later) {
    event_loop loop;
    std::shared_ptr<tcp_stream> accepted;
    std::optional<close_reason> reason;
    const auto listener = tcp_listener::listen(loop.m_loop, test::test_address(7), [&](int fd) {
        accepted = tcp_stream::adopt(loop.m_loop, fd,
                                     {.m_on_bytes = [](std::string_view) {},
                                      .m_on_closed = [&](close_reason seen) { reason = seen; }});
    });
    BOOST_REQUIRE(listener.has_value());
    const auto client = std::make_shared<http::client>(loop.m_loop, test::test_address(7));
    BOOST_TEST(!loop.send_and_wait(client, {.m_method = "POST", .m_target = "/"}, 50ms).has_value());
    loop.run_until([&] { return reason.has_value(); });
    BOOST_TEST((*reason == close_reason::by_network));
}
