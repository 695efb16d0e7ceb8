/// \file forwarded_sessions.cpp
/// Sessions that one instance forwards to another over real connections, while the configuration of
/// either changes.
#include "caller_connection.hpp"
#include "line_codec.hpp"
#include "support/event_loop.hpp"
#include "support/gateway_fleet.hpp"
#include "support/raw_peer.hpp"
#include "support/unlimited_callers.hpp"

#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace anvilmount;
using namespace std::chrono_literals;
using test::raw_peer;

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
