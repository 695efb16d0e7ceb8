/// \file record_acknowledgement.cpp
/// The version up to which an instance reports all group records as acknowledged.
#include "anvilmount/decisions/record_acknowledgement.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilmount;

namespace {

store_version at(std::uint64_t number) {
    return {.m_era = 3, .m_number = number};
}

}

BOOST_AUTO_TEST_CASE(all_acknowledged_records_are_covered_by_the_newest_version) {
    const std::vector<record_state> records{{at(7), true}, {at(12), true}, {at(9), true}};
    BOOST_TEST((acknowledged_version(records) == at(12)));
}

BOOST_AUTO_TEST_CASE(a_pending_record_and_later_ones_are_not_covered) {
    const std::vector<record_state> records{{at(7), true}, {at(9), false}, {at(12), true}};
    BOOST_TEST((acknowledged_version(records) == at(8)));
    const std::vector<record_state> newest_pending{{at(7), true}, {at(9), true}, {at(12), false}};
    BOOST_TEST((acknowledged_version(newest_pending) >= at(9)));
    BOOST_TEST((acknowledged_version(newest_pending) < at(12)));
}

BOOST_AUTO_TEST_CASE(without_records_nothing_is_covered) {
    BOOST_TEST(!acknowledged_version({}).is_set());
}

BOOST_AUTO_TEST_CASE(a_record_of_an_earlier_era_holds_back_all_of_later_ones) {
    const std::vector<record_state> records{{{.m_era = 1, .m_number = 90}, false}, {at(4), true}};
    BOOST_TEST((acknowledged_version(records) == store_version{.m_era = 1, .m_number = 89}));
}
