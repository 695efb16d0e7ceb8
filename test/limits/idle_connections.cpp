/// \file idle_connections.cpp
/// More connections than the process may hold descriptors. Without a limit on connections it takes the
/// descriptors that it needs for upstreams, the store and other instances.
#include "limits/limits_site.hpp"

#include <boost/test/unit_test.hpp>

namespace {

constexpr int more_than_descriptors = test::machine_descriptors + 200;

}

BOOST_AUTO_TEST_CASE(connections_that_send_nothing_leave_descriptors_for_others) {
    test::limits_site site({.m_settings = {"--start_ms=1000"}});
    test::crowd callers(site, site.address(test::gateway_port::callers), more_than_descriptors);
    site.check();
}

BOOST_AUTO_TEST_CASE(connections_to_the_peer_port_leave_descriptors_for_others) {
    test::limits_site site({.m_settings = {"--start_ms=1000"}});
    test::crowd peers(site, site.address(test::gateway_port::peers), more_than_descriptors);
    site.check();
}

BOOST_AUTO_TEST_CASE(connections_to_the_store_relay_leave_descriptors_for_others) {
    test::limits_site site;
    test::crowd relayed(site, site.address(test::gateway_port::store_relay), more_than_descriptors);
    site.check();
}

BOOST_AUTO_TEST_CASE(connections_to_the_operators_ports_leave_descriptors_for_others) {
    test::limits_site site;
    test::crowd readiness(site, site.address(test::gateway_port::readiness), more_than_descriptors / 2);
    test::crowd metrics(site, site.address(test::gateway_port::metrics), more_than_descriptors / 2);
    site.check();
}
