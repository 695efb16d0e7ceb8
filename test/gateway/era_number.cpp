/// \file era_number.cpp
/// Numbers given out in one era are above all of earlier eras, also those that nobody knows any more.
#include "anvilmount/decisions/era_number.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

BOOST_AUTO_TEST_CASE(numbers_rise_by_one_within_an_era) {
    BOOST_TEST(next_number(0, 0) == 1U);
    BOOST_TEST(next_number(7, 1) == 8U);
    const std::uint64_t first = next_number(7, 2);
    BOOST_TEST(next_number(first, 2) == first + 1);
}

BOOST_AUTO_TEST_CASE(the_first_number_of_an_era_is_above_forgotten_ones) {
    const std::uint64_t forgotten = next_number(next_number(7, 2), 2);
    BOOST_TEST(next_number(3, 3) > forgotten);
    BOOST_TEST(is_before_era(forgotten, 3));
    BOOST_TEST(!is_before_era(forgotten, 2));
    BOOST_TEST(!is_before_era(next_number(3, 3), 3));
}

BOOST_AUTO_TEST_CASE(a_store_that_never_went_back_changes_nothing) {
    for (const std::uint64_t era : {std::uint64_t{0}, std::uint64_t{1}}) {
        BOOST_TEST(!is_before_era(0, era));
        BOOST_TEST(next_number(41, era) == 42U);
    }
}
