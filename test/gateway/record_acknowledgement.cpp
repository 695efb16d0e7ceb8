/// \file record_acknowledgement.cpp
/// The version up to which an instance reports all group records as acknowledged.
#include "anvilmount/decisions/record_acknowledgement.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilmount;

BOOST_AUTO_TEST_CASE(all_acknowledged_records_are_covered_by_the_newest_version) {
    const std::vector<record_state> records{{7, true}, {12, true}, {9, true}};
    BOOST_TEST(acknowledged_version(records) == 12U);
}

BOOST_AUTO_TEST_CASE(a_pending_record_and_later_ones_are_not_covered) {
    const std::vector<record_state> records{{7, true}, {9, false}, {12, true}};
    BOOST_TEST(acknowledged_version(records) == 8U);
    const std::vector<record_state> newest_pending{{7, true}, {9, true}, {12, false}};
    BOOST_TEST(acknowledged_version(newest_pending) >= 9U);
    BOOST_TEST(acknowledged_version(newest_pending) < 12U);
}

BOOST_AUTO_TEST_CASE(without_records_nothing_is_covered) {
    BOOST_TEST(acknowledged_version({}) == 0U);
}
