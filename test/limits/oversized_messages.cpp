/// \file oversized_messages.cpp
/// Messages far over the limit, with and without a line end. A process that reads them whole outgrows the
/// machine.
#include "limits/limits_site.hpp"

#include <boost/test/unit_test.hpp>

namespace {

constexpr std::size_t oversized = std::size_t{64} << 20U;
constexpr int few = 8;

}

BOOST_AUTO_TEST_CASE(oversized_messages_without_a_line_end_stay_within_the_memory) {
    test::limits_site site;
    test::crowd callers(site, site.address(test::gateway_port::callers), few);
    callers.send("START pay0 crowd\r\nQUERY q READ item " + std::string(oversized, 'x'));
    site.check();
}

BOOST_AUTO_TEST_CASE(oversized_messages_with_a_line_end_stay_within_the_memory) {
    test::limits_site site;
    test::crowd callers(site, site.address(test::gateway_port::callers), few);
    callers.send("START pay0 crowd\r\nQUERY q READ item " + std::string(oversized, 'x') + "\r\n");
    site.check();
}
