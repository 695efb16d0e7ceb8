/// \file retry.cpp
/// Guards against a write that takes effect twice: a request is retried only when
/// it did not run or is idempotent, and within its deadline.
#include "anvilmount/decisions/retry.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using std::chrono::seconds;

namespace {

const steady_time now{seconds{10}};

failed_attempt failed_write(result_code code) {
    return {.m_code = code, .m_attempts = 1, .m_deadline = now + seconds{5}};
}

}

BOOST_AUTO_TEST_CASE(a_request_that_did_not_run_is_retried) {
    for (const result_code code :
         {result_code::not_primary, result_code::upstream_unavailable, result_code::no_live_home,
          result_code::upstream_leaving, result_code::no_fresh_upstream}) {
        BOOST_TEST(retry_delay(failed_write(code), now, 1).has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_write_with_an_unknown_outcome_is_not_retried) {
    BOOST_TEST(!retry_delay(failed_write(result_code::outcome_unknown), now, 1).has_value());
    BOOST_TEST(!retry_delay(failed_write(result_code::upstream_protocol_violation), now, 1).has_value());
    failed_attempt read = failed_write(result_code::outcome_unknown);
    read.m_idempotent = true;
    BOOST_TEST(retry_delay(read, now, 1).has_value());
}

BOOST_AUTO_TEST_CASE(a_request_in_a_transaction_or_with_a_partial_reply_is_not_retried) {
    failed_attempt in_transaction = failed_write(result_code::upstream_unavailable);
    in_transaction.m_in_transaction = true;
    BOOST_TEST(!retry_delay(in_transaction, now, 1).has_value());
    failed_attempt reply_started = failed_write(result_code::outcome_unknown);
    reply_started.m_idempotent = true;
    reply_started.m_reply_started = true;
    BOOST_TEST(!retry_delay(reply_started, now, 1).has_value());
}

BOOST_AUTO_TEST_CASE(overload_is_reported_without_a_retry) {
    BOOST_TEST(!retry_delay(failed_write(result_code::queue_full), now, 1).has_value());
    BOOST_TEST(!retry_delay(failed_write(result_code::deadline_exceeded), now, 1).has_value());
}

BOOST_AUTO_TEST_CASE(no_retry_passes_the_deadline_and_the_backoff_grows_to_its_limit) {
    failed_attempt expired = failed_write(result_code::upstream_unavailable);
    expired.m_deadline = now;
    BOOST_TEST(!retry_delay(expired, now, 1).has_value());
    failed_attempt repeated = failed_write(result_code::upstream_unavailable);
    repeated.m_attempts = 2;
    const auto second_delay = retry_delay(repeated, now, 0);
    repeated.m_attempts = 5;
    BOOST_TEST((retry_delay(repeated, now, 0) > second_delay));
    repeated.m_attempts = 1000;
    BOOST_TEST((*retry_delay(repeated, now, 77777) <= milliseconds{100}));
}
