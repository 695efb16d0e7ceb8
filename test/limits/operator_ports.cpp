/// \file operator_ports.cpp
/// The same crowds against the ports for readiness checks and metrics: large bodies and headers, and
/// requests sent ahead without reading the answers.
#include "limits/limits_site.hpp"

#include <boost/test/unit_test.hpp>

namespace {

constexpr int requests = 4000;

}

BOOST_AUTO_TEST_CASE(a_crowd_of_large_bodies_stays_within_the_memory) {
    test::limits_site site;
    test::crowd callers(site, site.address(test::gateway_port::readiness), test::crowd_size);
    callers.send("POST /anvilmount/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 1048000\r\n\r\n" +
                 std::string(1000000, 'x'));
    site.check();
}

BOOST_AUTO_TEST_CASE(a_crowd_of_headers_that_never_end_stays_within_the_memory) {
    test::limits_site site;
    test::crowd callers(site, site.address(test::gateway_port::readiness), test::crowd_size);
    callers.send("GET /anvilmount/ready HTTP/1.1\r\nX: " + std::string(test::large_message_size, 'x'));
    site.check();
}

BOOST_AUTO_TEST_CASE(metrics_that_are_never_read_stay_within_the_memory) {
    test::limits_site site;
    test::crowd callers(site, site.address(test::gateway_port::metrics), test::crowd_size);
    std::string text;
    for (int number = 0; number < requests; ++number) {
        text += "GET /state HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    callers.send(text);
    site.check();
}
