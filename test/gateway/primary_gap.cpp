/// \file primary_gap.cpp
/// Checks the estimate of how long a gap of the primary lasts. A wrong estimate
/// makes requests wait in vain, or refuses requests that could have been served.
#include "anvilmount/decisions/primary_gap.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(a_usable_primary_means_no_outage) {
    primary_gap gap{{.m_failover = 1800ms}};
    gap.record_usable(true, steady_time{10s});
    BOOST_TEST(!gap.expected_remaining(steady_time{11s}).has_value());
}

BOOST_AUTO_TEST_CASE(an_outage_past_its_expected_duration_lasts_half_as_long_again) {
    primary_gap gap{{.m_failover = 1800ms}};
    gap.record_usable(true, steady_time{9s});
    gap.record_usable(false, steady_time{10s});
    gap.record_usable(false, steady_time{11s});
    BOOST_TEST(gap.expected_remaining(steady_time{10s})->count() == 1800);
    BOOST_TEST(gap.expected_remaining(steady_time{11s})->count() == 800);
    BOOST_TEST(gap.expected_remaining(steady_time{20s})->count() == 5000);
}

BOOST_AUTO_TEST_CASE(the_next_outage_is_estimated_afresh) {
    primary_gap gap{{.m_failover = 1800ms}};
    gap.record_usable(false, steady_time{10s});
    gap.record_usable(true, steady_time{20s});
    gap.record_usable(false, steady_time{30s});
    BOOST_TEST(gap.expected_remaining(steady_time{30s})->count() == 1800);
}

BOOST_AUTO_TEST_CASE(the_first_outage_after_a_start_uses_the_startup_estimate) {
    primary_gap gap{{.m_startup = 300ms, .m_failover = 1800ms}};
    gap.record_usable(false, steady_time{10s});
    BOOST_TEST(gap.expected_remaining(steady_time{10s})->count() == 300);
    BOOST_TEST(gap.expected_remaining(steady_time{12s})->count() == 1000);
    gap.record_usable(true, steady_time{12s});
    gap.record_usable(false, steady_time{13s});
    BOOST_TEST(gap.expected_remaining(steady_time{13s})->count() == 1800);
}
