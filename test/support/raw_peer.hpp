/// \file raw_peer.hpp
/// One end of a connection whose other end is served by the code under test.
#pragma once

#include "support/gateway_fleet.hpp"

#include <QCoreApplication>
#include <QEventLoop>

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace anvilmount::test {

class raw_peer {
public:
    raw_peer() { BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, m_ends.data()) == 0); }
    ~raw_peer() { close(m_ends[0]); }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    [[nodiscard]] int served_end() const { return m_ends[1]; }

    void write(const std::string& text) {
        BOOST_REQUIRE(send(m_ends[0], text.data(), text.size(), MSG_NOSIGNAL) ==
                      static_cast<ssize_t>(text.size()));
    }

    /// Closes the sending direction; receiving goes on.
    void end_writing() { BOOST_REQUIRE(shutdown(m_ends[0], SHUT_WR) == 0); }

    /// Runs the event loop until nothing is left to do, and returns what was received so far.
    std::string received() {
        std::array<char, 4096> chunk{};
        for (int round = 0; round < 20; ++round) {
            QCoreApplication::processEvents(QEventLoop::AllEvents);
        }
        ssize_t size = 0;
        while ((size = recv(m_ends[0], chunk.data(), chunk.size(), 0)) > 0) {
            m_received.append(chunk.data(), static_cast<std::size_t>(size));
        }
        m_closed = m_closed || size == 0;
        return m_received;
    }

    /// Sends `text`, lets `fleet` run, and returns what was received since the call before.
    std::string exchange(const std::string& text, gateway_fleet& fleet) {
        write(text);
        (void)received();
        fleet.run_for(milliseconds{100});
        return received().substr(std::exchange(m_exchanged, received().size()));
    }

    /// Whether the other end had closed the connection when received() was last called.
    [[nodiscard]] bool is_closed() const { return m_closed; }

private:
    std::array<int, 2> m_ends{};
    std::string m_received;
    std::size_t m_exchanged{0}; ///< Bytes that exchange() has returned.
    bool m_closed{false};
};

}
