/// \file reply_sequence.cpp
/// Guards against callers that get replies they did not request, or miss replies,
/// when the proxy adds or omits messages on a shared connection.
#include "anvilmount/decisions/reply_sequence.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

namespace {

/// Passes backend message types to the sequence and returns the types that the caller sees; '!' marks a
/// violation.
std::string shown(reply_sequence& sequence, const std::string& backend) {
    std::string seen = sequence.supplied_replies();
    for (const char type : backend) {
        const reply_action action = sequence.on_message(type);
        seen += action == reply_action::forward ? std::string(1, type)
                : action == reply_action::drop  ? ""
                                                : "!";
        seen += sequence.supplied_replies();
    }
    return seen;
}

void expect_all(reply_sequence& sequence, const std::string& types) {
    for (const char type : types) {
        sequence.expect(type, reply_visibility::shown);
    }
}

}

BOOST_AUTO_TEST_CASE(a_simple_query_ends_with_ready_for_query) {
    reply_sequence sequence;
    sequence.expect('Q', reply_visibility::shown);
    BOOST_TEST(shown(sequence, "TDDC") == "TDDC");
    BOOST_TEST(!sequence.is_complete());
    BOOST_TEST(shown(sequence, "Z") == "Z");
    BOOST_TEST(sequence.is_complete());
}

BOOST_AUTO_TEST_CASE(the_reply_to_a_hidden_parse_is_dropped) {
    reply_sequence sequence;
    sequence.expect('P', reply_visibility::hidden);
    expect_all(sequence, "BDES");
    BOOST_TEST(shown(sequence, "12TDDCZ") == "2TDDCZ");
    BOOST_TEST(sequence.is_complete());
}

BOOST_AUTO_TEST_CASE(replies_to_omitted_messages_are_supplied_in_order) {
    reply_sequence sequence;
    sequence.expect('P', reply_visibility::supplied);
    sequence.expect('B', reply_visibility::shown);
    sequence.expect('E', reply_visibility::shown);
    sequence.expect('C', reply_visibility::supplied);
    sequence.expect('S', reply_visibility::shown);
    BOOST_TEST(shown(sequence, "2DCZ") == "12DC3Z");
}

BOOST_AUTO_TEST_CASE(an_error_is_forwarded_and_skips_to_sync) {
    reply_sequence sequence;
    sequence.expect('P', reply_visibility::hidden);
    expect_all(sequence, "BE");
    sequence.expect('P', reply_visibility::supplied);
    expect_all(sequence, "S");
    BOOST_TEST(shown(sequence, "EZ") == "EZ");
    BOOST_TEST(sequence.is_complete());
}

BOOST_AUTO_TEST_CASE(an_error_before_a_flush_skips_the_next_batch_up_to_sync) {
    reply_sequence sequence;
    expect_all(sequence, "PB");
    BOOST_TEST(shown(sequence, "1E") == "1E");
    BOOST_TEST(sequence.is_complete());
    BOOST_TEST(sequence.is_skipping());
    expect_all(sequence, "EES");
    BOOST_TEST(shown(sequence, "Z") == "Z");
    BOOST_TEST(sequence.is_complete());
    BOOST_TEST(!sequence.is_skipping());
}

BOOST_AUTO_TEST_CASE(an_unexpected_reply_is_a_violation) {
    reply_sequence sequence;
    BOOST_TEST(shown(sequence, "D") == "!");
    BOOST_TEST(shown(sequence, "C") == "!");
    sequence.expect('Q', reply_visibility::shown);
    BOOST_TEST(shown(sequence, "CZC") == "CZ!");
    sequence.expect('Q', reply_visibility::shown);
    BOOST_TEST(shown(sequence, "G") == "!");
}

BOOST_AUTO_TEST_CASE(a_notice_is_forwarded_at_any_time) {
    reply_sequence sequence;
    BOOST_TEST(shown(sequence, "N") == "N");
}
