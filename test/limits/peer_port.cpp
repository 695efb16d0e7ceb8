/// \file peer_port.cpp
/// The same crowds against the port on which other instances forward sessions.
#include "limits/limits_site.hpp"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(a_crowd_of_starts_on_the_peer_port_stays_within_the_memory) {
    test::limits_site site;
    test::crowd peers(site, site.address(test::gateway_port::peers), test::crowd_size);
    peers.send("START " + std::string(test::large_message_size, 'x'));
    site.check();
}

BOOST_AUTO_TEST_CASE(a_crowd_of_large_statements_on_the_peer_port_stays_within_the_memory) {
    test::limits_site site;
    test::crowd peers(site, site.address(test::gateway_port::peers), test::crowd_size);
    peers.send("START pay0 anvilmount/1\r\nQUERY q READ item " +
               std::string(test::large_message_size, 'x') + "\r\n");
    site.check();
}
