/// \file store_relay_port.cpp
/// Requests to the store relay whose bodies never end. A relay that collects bodies of many streams without
/// a bound over all of them outgrows the machine.
#include "limits/limits_site.hpp"

#include "anvilmount/wire/http2_connection.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

namespace {

constexpr int connections = 4;
constexpr int streams = 8;
constexpr int rounds = 40;
constexpr std::size_t body_size = std::size_t{4} << 20U;

}

BOOST_AUTO_TEST_CASE(bodies_that_never_end_stay_within_the_memory) {
    ::test::limits_site site;
    std::vector<std::shared_ptr<http2_connection>> open;
    std::vector<std::shared_ptr<http2_stream>> bodies;
    for (int number = 0; number < connections; ++number) {
        const auto connection =
            http2_connection::connect(site.loop(), site.address(::test::gateway_port::store_relay), {});
        open.push_back(connection);
        for (int stream = 0; stream < streams; ++stream) {
            bodies.push_back(connection->open_stream({.m_method = "POST", .m_path = "/store"}, {}));
            bodies.back()->send(std::string(body_size, 'x'));
        }
    }
    for (int round = 0; round < rounds; ++round) {
        for (const auto& each : bodies) {
            each->send("x");
        }
        site.run_for(milliseconds{50});
    }
    site.check();
}

// Bytes that are not HTTP/2, and a preface after which nothing follows.
BOOST_AUTO_TEST_CASE(a_crowd_that_does_not_speak_the_protocol_stays_within_the_memory) {
    ::test::limits_site site;
    ::test::crowd garbage(site, site.address(::test::gateway_port::store_relay), ::test::crowd_size);
    garbage.send(std::string(::test::large_message_size, 'x'));
    ::test::crowd prefaces(site, site.address(::test::gateway_port::store_relay), ::test::crowd_size);
    prefaces.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    site.check();
}
