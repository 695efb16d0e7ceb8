/// \file answer_time.cpp
/// Guards against an upstream that is excluded for good after one slow phase or one
/// stuck answer.
#include "anvilmount/decisions/answer_time.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(the_estimate_is_zero_before_the_first_answer) {
    BOOST_TEST(answer_time_estimate{}.at(steady_time{1s}).count() == 0);
}

BOOST_AUTO_TEST_CASE(the_estimate_approaches_the_recorded_times) {
    answer_time_estimate estimate;
    steady_time now{1s};
    for (int answer = 0; answer < 50; ++answer) {
        estimate.record(40ms, now);
        now += 10ms;
    }
    BOOST_TEST(estimate.at(now).count() > 30000);
    BOOST_TEST(estimate.at(now).count() <= 40000);
}

BOOST_AUTO_TEST_CASE(a_high_estimate_decays_to_the_typical_time) {
    answer_time_estimate estimate;
    const steady_time now{1s};
    estimate.record(400ms, now);
    BOOST_TEST(estimate.at(now).count() == 400000);
    BOOST_TEST(estimate.at(now + 300ms).count() == 200000);
    BOOST_TEST(estimate.at(now + 5s).count() == 20000);
}

BOOST_AUTO_TEST_CASE(a_stuck_answer_is_capped) {
    answer_time_estimate estimate;
    estimate.record(30s, steady_time{1s});
    BOOST_TEST(estimate.at(steady_time{1s}).count() <= 500000);
}
