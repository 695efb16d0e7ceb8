/// \file lease_faults.cpp
/// The parts of the soak that let a lease outlive a change of primary: the relay that refuses all clients
/// but one, the ports by which that one is known, and the schedule.
#include "relay/fault_relay.hpp"
#include "soak/open_ports.hpp"
#include "soak/soak_schedule.hpp"
#include "support/event_loop.hpp"

#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <algorithm>
#include <vector>

namespace soak = test;
using namespace anvilmount;

namespace {

/// A client's connection through the relay.
struct client {
    client(reactor& loop, const endpoint& where) {
        m_stream = tcp_stream::connect(loop, where,
                                       {.m_on_connected = [this] { m_connected = true; },
                                        .m_on_bytes = [](std::string_view) {},
                                        .m_on_closed = [this](close_reason) { m_closed = true; }});
    }

    std::shared_ptr<tcp_stream> m_stream;
    bool m_connected{false};
    bool m_closed{false};
};

}

BOOST_AUTO_TEST_CASE(a_refusing_relay_resets_all_connections_but_the_spared_ones) {
    anvilmount::test::event_loop loop;
    const endpoint server = anvilmount::test::test_address(310);
    const endpoint relayed = anvilmount::test::test_address(311);
    std::vector<std::shared_ptr<tcp_stream>> accepted;
    const auto listener = tcp_listener::listen(loop.m_loop, server, [&](int fd) {
                              accepted.push_back(tcp_stream::adopt(loop.m_loop, fd, {}));
                          }).value();
    standin::fault_relay relay(loop.m_loop, {.m_listen = relayed, .m_target = server});
    BOOST_REQUIRE(!failure_of([&] { return relay.start(); }));
    const auto ports_before = soak::open_ports(getpid());
    client spared(loop.m_loop, relayed);
    loop.run_until([&] { return spared.m_connected && accepted.size() == 1; });
    const auto ports_of_spared = soak::open_ports(getpid());
    client other(loop.m_loop, relayed);
    loop.run_until([&] { return other.m_connected && accepted.size() == 2; });
    BOOST_TEST(ports_of_spared.size() > ports_before.size());

    relay.set_faults({.m_refuse = true, .m_spared_client_ports = ports_of_spared});
    loop.run_until([&] { return other.m_closed; });
    client refused(loop.m_loop, relayed);
    loop.run_until([&] { return refused.m_closed; });
    BOOST_TEST(refused.m_stream->was_refused());
    BOOST_TEST(!spared.m_closed);

    relay.set_faults({});
    client later(loop.m_loop, relayed);
    loop.run_until([&] { return later.m_connected; });
    BOOST_TEST(!spared.m_closed);
}

BOOST_AUTO_TEST_CASE(ports_of_a_process_that_does_not_exist_are_none) {
    BOOST_TEST(soak::open_ports(-1).empty());
}

BOOST_AUTO_TEST_CASE(each_schedule_replaces_a_primary_while_an_instance_holds_a_lease) {
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        const auto events = soak::draw_schedule(
            seed, {.m_gateways = 4, .m_upstreams = 6, .m_duration = milliseconds{12000}});
        const auto count = [&](soak::soak_fault fault) {
            return std::count_if(events.begin(), events.end(),
                                 [&](const soak::soak_event& each) { return each.m_fault == fault; });
        };
        const auto refused = count(soak::soak_fault::instance_refused);
        const auto silent = count(soak::soak_fault::instance_silent);
        const auto turns = count(soak::soak_fault::store_late) + count(soak::soak_fault::confirmed_pause);
        BOOST_TEST(turns >= 1);
        BOOST_TEST(refused + silent >= 1 + count(soak::soak_fault::store_late));
        BOOST_TEST(count(soak::soak_fault::primary_drains) == refused + turns);
        BOOST_TEST(count(soak::soak_fault::primary_refuses) ==
                   silent - count(soak::soak_fault::store_late));
    }
}
