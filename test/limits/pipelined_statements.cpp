/// \file pipelined_statements.cpp
/// Callers send statements by the thousand without reading the answers, which have large rows. A process
/// that serves them all the same holds the answers.
#include "limits/limits_site.hpp"

#include <boost/test/unit_test.hpp>

namespace {

constexpr int callers_count = 40;
constexpr int statements = 2000;
/// Some 50 statements, fewer than a session takes at once.
constexpr std::size_t piece = 1000;

}

BOOST_AUTO_TEST_CASE(pipelined_reads_of_large_rows_stay_within_the_memory) {
    test::limits_site site;
    site.write_item("large", std::string(test::large_message_size / 2, 'x'));
    test::crowd callers(site, site.address(test::gateway_port::callers), callers_count);
    std::string text = "START pay0 crowd\r\n";
    for (int number = 0; number < statements; ++number) {
        text += "QUERY q READ large\r\n";
    }
    callers.send(text, piece);
    site.check();
}
