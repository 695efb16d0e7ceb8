/// \file peer_goaway.cpp
/// Checks the announcement with which a leaving instance ends its connections from other instances.
#include "support/event_loop.hpp"
#include "support/raw_caller.hpp"
#include "support/raw_peer.hpp"

#include "anvilmount/wire/http2_connection.hpp"
#include "anvilmount/wire/http2_server.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace anvilmount;
using namespace anvilmount::test;

namespace {

constexpr std::size_t frame_head_size = 9;
constexpr char headers_type = 1;
constexpr char settings_type = 4;
constexpr char goaway_type = 7;
constexpr char window_update_type = 8;

std::string number(std::uint32_t value, int bytes) {
    std::string out;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        out += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return out;
}

std::uint32_t read_number(std::string_view bytes) {
    std::uint32_t value = 0;
    for (const char each : bytes) {
        value = (value << 8U) | static_cast<unsigned char>(each);
    }
    return value;
}

std::string frame(char type, char flags, std::uint32_t stream, const std::string& body) {
    return number(static_cast<std::uint32_t>(body.size()), 3) + type + flags + number(stream, 4) + body;
}

/// POST / on a new stream; the request has a body.
std::string request(std::uint32_t stream) {
    constexpr char end_of_headers = 4;
    return frame(headers_type, end_of_headers, stream, "\x83\x86\x84\x41\x01p");
}

/// Returns the last stream that a GOAWAY frame among `bytes` names, or 0.
std::uint32_t last_stream_served(std::string_view bytes) {
    while (bytes.size() >= frame_head_size) {
        const std::size_t size = frame_head_size + read_number(bytes.substr(0, 3));
        if (bytes[3] == goaway_type && bytes.size() >= size) {
            return read_number(bytes.substr(frame_head_size, 4));
        }
        bytes.remove_prefix(std::min(size, bytes.size()));
    }
    return 0;
}

void process_events() {
    for (int round = 0; round < 20; ++round) {
        QCoreApplication::processEvents(QEventLoop::AllEvents);
    }
}

}

/// Guards against a stream that is served although GOAWAY says it was not: the peer would send it again.
BOOST_AUTO_TEST_CASE(a_stream_opened_before_a_delayed_goaway_is_refused_or_served_but_not_both) {
    event_loop loop;
    raw_peer peer;
    std::vector<std::shared_ptr<http2_stream>> served;
    const auto connection = http2_connection::accept(
        loop.m_loop, peer.served_end(),
        {.m_on_request = [&](const std::shared_ptr<http2_stream>& stream) { served.push_back(stream); }});
    constexpr std::uint32_t window = 16 * 1024 * 1024;
    constexpr std::size_t unread = std::size_t{4} * 1024 * 1024;
    const std::string initial_window = number(4, 2) + number(window, 4);
    peer.write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(settings_type, 0, 0, initial_window) +
               frame(window_update_type, 0, 0, number(window, 4)) + request(1));
    process_events();
    BOOST_REQUIRE(served.size() == 1U);
    // The peer reads nothing, so that the connection sends nothing more.
    served.front()->respond(200);
    served.front()->send(std::string(unread, 'x'));
    process_events();
    served.front()->send("x"); // Fills what the kernel has taken out of the connection's buffer.
    process_events();

    connection->send_goaway();
    peer.write(request(3));
    process_events();
    std::uint32_t last_stream = 0;
    while (last_stream == 0) {
        last_stream = last_stream_served(peer.received());
    }
    BOOST_TEST(served.size() == (last_stream + 1) / 2);
}

/// Guards against peers that are reset, instead of sent on, because they wait to be accepted.
BOOST_AUTO_TEST_CASE(a_peer_that_waits_to_be_accepted_gets_the_goaway) {
    event_loop loop;
    constexpr std::size_t waiting = 100;
    auto listening = value_or_failure([&] {
        return http2_server::listen(loop.m_loop, test_address(0),
                                    [](const std::shared_ptr<http2_stream>&) {});
    });
    const auto& server = std::get<0>(listening);
    std::vector<std::unique_ptr<::test::raw_caller>> peers;
    for (std::size_t count = 0; count < waiting; ++count) {
        peers.push_back(std::make_unique<::test::raw_caller>(to_string(server->address())));
    }
    server->stop_accepting();
    BOOST_TEST(server->connection_count() == waiting);
}
