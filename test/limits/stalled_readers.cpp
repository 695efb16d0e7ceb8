/// \file stalled_readers.cpp
/// Callers that read nothing, or a byte now and then, while answers with large rows wait for them. A caller
/// that is closed only once everything is written stays for ever.
#include "limits/limits_site.hpp"

#include <boost/test/unit_test.hpp>

namespace {

constexpr int statements = 12;
constexpr int rounds = 20;

std::string reads_of_large_rows() {
    std::string text = "START pay0 crowd\r\n";
    for (int number = 0; number < statements; ++number) {
        text += "QUERY q READ large\r\n";
    }
    return text;
}

}

BOOST_AUTO_TEST_CASE(callers_that_read_nothing_stay_within_the_memory) {
    test::limits_site site;
    site.write_item("large", std::string(test::large_message_size / 2, 'x'));
    test::crowd callers(site, site.address(test::gateway_port::callers), test::crowd_size);
    callers.send(reads_of_large_rows());
    site.run_for(anvilmount::milliseconds{3000});
    site.check();
}

BOOST_AUTO_TEST_CASE(callers_that_read_a_byte_now_and_then_stay_within_the_memory) {
    test::limits_site site;
    site.write_item("large", std::string(test::large_message_size / 2, 'x'));
    test::crowd callers(site, site.address(test::gateway_port::callers), test::crowd_size);
    callers.send(reads_of_large_rows());
    for (int round = 0; round < rounds; ++round) {
        callers.read(1);
        site.run_for(anvilmount::milliseconds{150});
    }
    site.check();
}
