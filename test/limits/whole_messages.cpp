/// \file whole_messages.cpp
/// Many callers send a message of legal size at once, each in one go. Without a bound over all callers
/// the process holds all of them, some at several places, and outgrows the machine.
#include "limits/limits_site.hpp"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(a_crowd_of_starts_without_a_line_end_stays_within_the_memory) {
    test::limits_site site;
    test::crowd callers(site, site.address(test::gateway_port::callers), test::crowd_size);
    callers.send("START " + std::string(test::large_message_size, 'x'));
    site.check();
}

BOOST_AUTO_TEST_CASE(a_crowd_of_large_statements_stays_within_the_memory) {
    test::limits_site site;
    test::crowd callers(site, site.address(test::gateway_port::callers), test::crowd_size);
    callers.send("START pay0 crowd\r\nQUERY q READ item " + std::string(test::large_message_size, 'x') +
                 "\r\n");
    site.check();
}

// A session keeps the values that its caller sets, and what it prepares.
BOOST_AUTO_TEST_CASE(a_crowd_that_sets_large_values_stays_within_the_memory) {
    test::limits_site site;
    test::crowd callers(site, site.address(test::gateway_port::callers), test::crowd_size / 4);
    std::string text = "START pay0 crowd\r\n";
    for (int number = 0; number < 8; ++number) {
        text += "QUERY q SET v" + std::to_string(number) + " " +
                std::string(test::large_message_size, 'x') + "\r\n";
    }
    callers.send(text);
    site.check();
}

// A limit that is too low for one message would refuse callers that keep to the documented limits.
BOOST_AUTO_TEST_CASE(one_large_message_is_served) {
    test::limits_site site;
    site.write_item("large", std::string(test::large_message_size - 64, 'x'));
    site.check();
}
