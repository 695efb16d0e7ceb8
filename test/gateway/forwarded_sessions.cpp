/// \file forwarded_sessions.cpp
/// Sessions that one instance forwards to another over real connections, while the configuration of
/// either changes.
#include "caller_connection.hpp"
#include "line_codec.hpp"
#include "support/event_loop.hpp"
#include "support/gateway_fleet.hpp"
#include "support/unlimited_callers.hpp"

#include "anvilmount/wire/tcp_listener.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

/// One end of a connection whose other end is served by the code under test.
class raw_peer {
public:
    raw_peer() { BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, m_ends.data()) == 0); }
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
    std::array<int, 2> m_ends{};
    std::string m_received;
};

}

BOOST_AUTO_TEST_CASE(a_session_forwarded_to_a_starting_instance_is_not_judged_by_an_older_configuration) {
    test::event_loop loop;
    test::gateway_fleet fleet(1);
    fleet.start(2);
    BOOST_REQUIRE(!fleet.instance(2).can_open_sessions());
    raw_peer sender;
    line_protocol::serve_forwarded_caller(loop.m_loop, sender.served_end(), fleet.instance(2),
                                          test::unlimited_callers(loop));
    sender.write(line_protocol::encode_forwarded_greeting(test::gateway_fleet::database_of(5), 5));
    BOOST_TEST(sender.received().empty());
    fleet.run_for(100ms);
    BOOST_REQUIRE(fleet.instance(2).can_open_sessions());
    BOOST_TEST(sender.received().starts_with("ERROR BUSY"));
}

BOOST_AUTO_TEST_CASE(a_configuration_that_changes_while_a_session_is_opened_does_not_refuse_it) {
    test::event_loop loop;
    test::gateway_fleet fleet(1);
    fleet.start(2);
    raw_peer sender;
    line_protocol::serve_forwarded_caller(loop.m_loop, sender.served_end(), fleet.instance(2),
                                          test::unlimited_callers(loop));
    sender.write(line_protocol::encode_forwarded_greeting("pay", 1) + line_protocol::encode_revision(2));
    BOOST_TEST(sender.received().empty());
    fleet.m_configuration.m_revision = 2;
    fleet.instance(2).adopt_configuration(fleet.m_configuration);
    fleet.run_for(100ms);
    BOOST_TEST(sender.received() == "READY I -\r\n");
}

BOOST_AUTO_TEST_CASE(
    a_configuration_that_changes_while_a_session_is_forwarded_is_not_sent_before_its_start) {
    constexpr int instances = 12;
    test::event_loop loop;
    test::gateway_fleet fleet(instances, 1, test::test_address(0));
    std::string received;
    std::vector<std::unique_ptr<tcp_listener>> listeners;
    std::vector<std::shared_ptr<tcp_stream>> streams;
    int forwarding = 0;
    for (int number = 1; number <= instances; ++number) {
        auto listener = tcp_listener::listen(loop.m_loop, test::test_address(number), [&](int fd) {
            streams.push_back(
                tcp_stream::adopt(loop.m_loop, fd,
                                  {.m_on_bytes = [&](std::string_view bytes) { received.append(bytes); },
                                   .m_on_closed = [](close_reason) {}}));
        });
        listeners.push_back(std::move(listener.value()));
        if (fleet.instance(number).forwarding_target("pay")) {
            forwarding = number;
        }
    }
    BOOST_REQUIRE(forwarding > 0);
    raw_peer caller;
    line_protocol::serve_caller(loop.m_loop, caller.served_end(), fleet.instance(forwarding),
                                test::unlimited_callers(loop));
    caller.write("START pay caller\r\n");
    QCoreApplication::processEvents(QEventLoop::AllEvents);
    fleet.m_configuration.m_revision = 2;
    fleet.instance(forwarding).adopt_configuration(fleet.m_configuration);
    loop.run_until([&] { return received.find("\r\n") != std::string::npos; });
    BOOST_TEST(received.starts_with("START pay"));
}
