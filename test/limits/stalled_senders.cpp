/// \file stalled_senders.cpp
/// Callers that stop halfway: before START, in a message after it, and in a transaction. What they have
/// sent, and the upstream connections of their transactions, must not be held for ever.
#include "limits/limits_site.hpp"

#include <boost/test/unit_test.hpp>

namespace {

const std::string half_message = "QUERY q READ item " + std::string(900 * 1024, 'x');

}

BOOST_AUTO_TEST_CASE(callers_that_stop_before_start_leave_room_for_others) {
    test::limits_site site({.m_settings = {"--start_ms=1000"}});
    // As many as sessions are allowed.
    test::crowd callers(site, site.address(test::gateway_port::callers), 300);
    callers.send("STA");
    site.check();
}

BOOST_AUTO_TEST_CASE(callers_that_stop_in_a_message_stay_within_the_memory) {
    test::limits_site site({.m_settings = {"--message_ms=1000"}});
    test::crowd callers(site, site.address(test::gateway_port::callers), test::crowd_size);
    callers.send("START pay0 crowd\r\n" + half_message);
    site.check();
}

BOOST_AUTO_TEST_CASE(callers_that_stop_in_a_transaction_leave_room_for_others) {
    test::limits_site site({.m_settings = {"--message_ms=1000"}});
    test::crowd callers(site, site.address(test::gateway_port::callers), test::crowd_size);
    callers.send("START pay0 crowd\r\nQUERY a BEGIN\r\nQUERY b READ item\r\n");
    site.run_for(anvilmount::milliseconds{1000});
    callers.send(half_message);
    site.check();
}
