/// \file retry.cpp
/// A request runs again only when that cannot double anything.
#include "anvilmount/decisions/retry.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using std::chrono::seconds;

namespace {

const steady_time now{seconds{10}};

failed_attempt write_that_failed(result_code code) {
    return {.m_code = code, .m_attempts = 1, .m_deadline = now + seconds{5}};
}

}

BOOST_AUTO_TEST_CASE(what_did_not_run_is_tried_again) {
    for (const result_code code :
         {result_code::not_primary, result_code::upstream_unavailable, result_code::no_live_home,
          result_code::upstream_leaving, result_code::no_fresh_upstream}) {
        BOOST_TEST(retry_delay(write_that_failed(code), now, 1).has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_write_whose_outcome_is_unknown_is_never_tried_again) {
    BOOST_TEST(!retry_delay(write_that_failed(result_code::outcome_unknown), now, 1).has_value());
    BOOST_TEST(
        !retry_delay(write_that_failed(result_code::upstream_protocol_violation), now, 1).has_value());
    failed_attempt read = write_that_failed(result_code::outcome_unknown);
    read.m_idempotent = true;
    BOOST_TEST(retry_delay(read, now, 1).has_value());
}

BOOST_AUTO_TEST_CASE(nothing_is_tried_again_inside_a_transaction_or_behind_half_an_answer) {
    failed_attempt inside = write_that_failed(result_code::upstream_unavailable);
    inside.m_in_transaction = true;
    BOOST_TEST(!retry_delay(inside, now, 1).has_value());
    failed_attempt begun = write_that_failed(result_code::outcome_unknown);
    begun.m_idempotent = true;
    begun.m_reply_started = true;
    BOOST_TEST(!retry_delay(begun, now, 1).has_value());
}

BOOST_AUTO_TEST_CASE(overload_is_reported_at_once) {
    BOOST_TEST(!retry_delay(write_that_failed(result_code::queue_full), now, 1).has_value());
    BOOST_TEST(!retry_delay(write_that_failed(result_code::deadline_exceeded), now, 1).has_value());
}

BOOST_AUTO_TEST_CASE(no_try_goes_past_the_deadline_and_pauses_grow) {
    failed_attempt late = write_that_failed(result_code::upstream_unavailable);
    late.m_deadline = now;
    BOOST_TEST(!retry_delay(late, now, 1).has_value());
    failed_attempt many = write_that_failed(result_code::upstream_unavailable);
    many.m_attempts = 2;
    const auto early = retry_delay(many, now, 0);
    many.m_attempts = 5;
    BOOST_TEST((retry_delay(many, now, 0) > early));
    many.m_attempts = 1000;
    BOOST_TEST((*retry_delay(many, now, 77777) <= milliseconds{100}));
}
