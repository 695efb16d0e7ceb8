/// \file forwarding_crowd.cpp
/// Crowds on one instance that forwards their sessions, and on the one that serves them. Lines of a
/// forwarded session wait at both.
#include "limits/limits_site.hpp"

#include <boost/test/unit_test.hpp>

namespace {

/// So few connections to an upstream that one of two instances holds them all.
constexpr int connections_of_one_holder = 3;

}

BOOST_AUTO_TEST_CASE(crowds_on_both_instances_stay_within_the_memory) {
    test::limits_site site({.m_gateways = 2, .m_max_connections = connections_of_one_holder});
    const std::string text =
        "START pay0 crowd\r\nQUERY q READ item " + std::string(test::large_message_size, 'x') + "\r\n";
    test::crowd first(site, site.address(test::gateway_port::callers, 0), test::crowd_size);
    test::crowd second(site, site.address(test::gateway_port::callers, 1), test::crowd_size);
    first.send(text);
    second.send(text);
    site.check(0);
    site.check(1);
}

BOOST_AUTO_TEST_CASE(readers_that_stall_on_both_instances_stay_within_the_memory) {
    test::limits_site site({.m_gateways = 2, .m_max_connections = connections_of_one_holder});
    site.write_item("large", std::string(test::large_message_size / 2, 'x'));
    std::string text = "START pay0 crowd\r\n";
    for (int number = 0; number < 12; ++number) {
        text += "QUERY q READ large\r\n";
    }
    test::crowd first(site, site.address(test::gateway_port::callers, 0), test::crowd_size);
    test::crowd second(site, site.address(test::gateway_port::callers, 1), test::crowd_size);
    first.send(text);
    second.send(text);
    site.run_for(anvilmount::milliseconds{3000});
    site.check(0);
    site.check(1);
}
