/// \file configuration_proof.cpp
/// For how long keys may be checked against a configuration that was proved to be the newest.
#include "anvilmount/decisions/configuration_proof.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

const steady_time start{100s};

}

BOOST_AUTO_TEST_CASE(without_a_proof_no_key_is_checked) {
    BOOST_TEST(!configuration_proof(5000ms).holds(start));
}

BOOST_AUTO_TEST_CASE(without_a_limit_no_proof_is_needed) {
    const configuration_proof proof(std::nullopt);
    BOOST_TEST(proof.holds(start));
    BOOST_TEST((proof.limit_interval(3000ms) == 3000ms));
    BOOST_TEST((proof.limit_batch_delay(1500ms) == 1500ms));
}

BOOST_AUTO_TEST_CASE(a_proof_lapses_before_the_limit) {
    configuration_proof proof(5000ms);
    proof.record(start);
    BOOST_TEST(proof.holds(start + 4749ms));
    BOOST_TEST(!proof.holds(start + 4750ms));
}

/// An answer that was delayed must not make the proof younger or older than the newest heartbeat.
BOOST_AUTO_TEST_CASE(an_earlier_heartbeat_that_is_answered_late_changes_nothing) {
    configuration_proof proof(5000ms);
    proof.record(start + 2s);
    proof.record(start);
    BOOST_TEST(proof.holds(start + 6s));
    BOOST_TEST(!proof.holds(start + 7s));
}

BOOST_AUTO_TEST_CASE(heartbeats_are_frequent_enough_at_every_limit) {
    const configuration_proof usual(5000ms);
    BOOST_TEST((usual.limit_interval(3000ms) <= 2000ms));
    BOOST_TEST((usual.limit_batch_delay(1500ms) <= 1000ms));
    BOOST_TEST((usual.limit_interval(100ms) == 100ms));
    const configuration_proof shorter(1000ms);
    BOOST_TEST((shorter.limit_interval(3000ms) <= 400ms));
    BOOST_TEST((shorter.limit_batch_delay(1500ms) <= 200ms));
}

/// The users' rule: whatever the order of heartbeats, removal, sending and check, no statement that was
/// sent more than the limit after the removal passes the check on a configuration from before.
BOOST_AUTO_TEST_CASE(no_statement_sent_after_the_limit_is_checked_on_an_older_configuration) {
    const bool holds = rc::check([](const std::vector<unsigned>& heartbeats) {
        const milliseconds limit{*rc::gen::inRange(500, 20000)};
        const steady_time removed_at = start + milliseconds{*rc::gen::inRange(0, 30000)};
        configuration_proof proof(limit);
        for (const unsigned each : heartbeats) {
            // One that is sent later fails, because the configuration known here is not the stored one.
            const steady_time sent_at = start + milliseconds{each % 30000U};
            if (sent_at <= removed_at) {
                proof.record(sent_at);
            }
        }
        const steady_time sent_at = removed_at + limit + milliseconds{*rc::gen::inRange(1, 30000)};
        const steady_time checked_at = sent_at + milliseconds{*rc::gen::inRange(0, 30000)};
        RC_ASSERT(!proof.holds(checked_at));
    });
    BOOST_TEST(holds);
}
