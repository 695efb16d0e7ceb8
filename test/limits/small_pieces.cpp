/// \file small_pieces.cpp
/// Many callers send messages of legal size in small pieces, so that all of them are incomplete for long.
/// A process that searches an incomplete line again with each piece also spends its time on it.
#include "limits/limits_site.hpp"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(a_crowd_of_large_statements_in_small_pieces_stays_within_the_memory) {
    test::limits_site site;
    test::crowd callers(site, site.address(test::gateway_port::callers), test::crowd_size);
    callers.send("START pay0 crowd\r\nQUERY q READ item " + std::string(test::large_message_size, 'x') +
                     "\r\n",
                 4096);
    site.check();
}
