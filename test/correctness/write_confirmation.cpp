/// \file write_confirmation.cpp
/// Checks that a write whose answer is held back is acknowledged only once a
/// majority holds it. Guards against acknowledgements by a replaced primary or
/// from a stale report.
#include "anvilmount/decisions/write_confirmation.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using std::chrono::seconds;

namespace {

const steady_time now{seconds{100}};
const steady_time future_deadline = now + seconds{5};
const log_position written{2, 40};

primary_observation primary_with_confirmed(std::uint64_t confirmed) {
    return {.m_is_responsive = true, .m_is_primary = true, .m_term = 2, .m_confirmed = {2, confirmed}};
}

bool is(write_decision got, write_decision wanted) {
    return got == wanted;
}

}

BOOST_AUTO_TEST_CASE(a_write_is_acknowledged_once_a_majority_holds_it) {
    BOOST_TEST(is(decide_write(written, primary_with_confirmed(40), future_deadline, now),
                  write_decision::acknowledge));
    BOOST_TEST(
        is(decide_write(written, primary_with_confirmed(39), future_deadline, now), write_decision::wait));
    BOOST_TEST(
        is(decide_write(written, primary_with_confirmed(39), now, now), write_decision::deadline_passed));
    // A confirmed write is acknowledged even after the deadline.
    BOOST_TEST(
        is(decide_write(written, primary_with_confirmed(41), now, now), write_decision::acknowledge));
}

BOOST_AUTO_TEST_CASE(a_replaced_primary_never_acknowledges) {
    primary_observation stepped_down = primary_with_confirmed(99);
    stepped_down.m_is_primary = false;
    BOOST_TEST(is(decide_write(written, stepped_down, future_deadline, now), write_decision::replaced));
    primary_observation promoted_again = primary_with_confirmed(99);
    promoted_again.m_term = 4;
    BOOST_TEST(is(decide_write(written, promoted_again, future_deadline, now), write_decision::replaced));
}

BOOST_AUTO_TEST_CASE(a_write_waits_for_a_silent_primary_until_the_silence_timeout) {
    primary_observation silent = primary_with_confirmed(39);
    silent.m_is_responsive = false;
    silent.m_silent_since = now;
    BOOST_TEST(
        is(decide_write(written, silent, future_deadline, now + milliseconds{199}), write_decision::wait));
    BOOST_TEST(is(decide_write(written, silent, future_deadline, now + milliseconds{200}),
                  write_decision::primary_unreachable));
    // A position confirmed by a stale report does not prove that the upstream is still primary.
    silent.m_confirmed = {2, 99};
    BOOST_TEST(is(decide_write(written, silent, future_deadline, now), write_decision::wait));
}
