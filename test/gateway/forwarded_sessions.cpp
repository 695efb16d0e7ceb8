/// \file forwarded_sessions.cpp
/// Sessions that one instance forwards to another over real connections, while the configuration of
/// either changes.
#include "line_channels.hpp"
#include "line_codec.hpp"
#include "support/gateway_fleet.hpp"

#include "anvilmount/wire/tcp_listener.hpp"

#include <QCoreApplication>
#include <QEventLoop>

#include <boost/test/unit_test.hpp>

#include <array>

#include <sys/socket.h>
#include <unistd.h>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

struct event_loop {
    int m_count{1};
    std::string m_name{"test"};
    char* m_arguments[2]{m_name.data(), nullptr};
    QCoreApplication m_application{m_count, m_arguments};
    reactor m_loop;
};

int test_port(int offset) {
    const char* base = std::getenv("ANVILMOUNT_TEST_PORTS");
    return (base == nullptr ? 20000 : std::stoi(base)) + offset;
}

/// One end of a connection whose other end is served by the code under test.
class raw_peer {
public:
    explicit raw_peer(event_loop& loop) : m_loop(loop) {
        BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, m_ends.data()) == 0);
    }
    ~raw_peer() { close(m_ends[0]); }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    [[nodiscard]] int served_end() const { return m_ends[1]; }

    void write(const std::string& text) {
        BOOST_REQUIRE(send(m_ends[0], text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    }

    /// Runs the event loop until nothing is left to do, and returns what was received so far.
    std::string received() {
        std::array<char, 4096> chunk{};
        for (int round = 0; round < 20; ++round) {
            QCoreApplication::processEvents(QEventLoop::AllEvents);
        }
        for (ssize_t size = 0; (size = recv(m_ends[0], chunk.data(), chunk.size(), 0)) > 0;) {
            m_received.append(chunk.data(), static_cast<std::size_t>(size));
        }
        return m_received;
    }

private:
    event_loop& m_loop;
    std::array<int, 2> m_ends{};
    std::string m_received;
};

}

BOOST_AUTO_TEST_CASE(a_session_forwarded_to_a_starting_instance_is_not_judged_by_an_older_configuration) {
    event_loop loop;
    test::gateway_fleet fleet(1);
    fleet.start(2);
    BOOST_REQUIRE(!fleet.instance(2).can_open_sessions());
    raw_peer sender(loop);
    line_protocol::serve_forwarded_caller(loop.m_loop, sender.served_end(), fleet.instance(2));
    sender.write(line_protocol::encode_forwarded_greeting(test::gateway_fleet::database_of(5), 5));
    BOOST_TEST(sender.received().empty());
    fleet.run_for(100ms);
    BOOST_REQUIRE(fleet.instance(2).can_open_sessions());
    BOOST_TEST(sender.received().starts_with("ERROR BUSY"));
}
