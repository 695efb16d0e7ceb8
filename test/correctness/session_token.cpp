/// \file session_token.cpp
/// Checks that a session token never decreases, and that a malformed token or one
/// of another group is refused.
#include "anvilmount/decisions/session_token.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;

BOOST_AUTO_TEST_CASE(a_token_survives_a_round_trip_as_text) {
    session_token token;
    BOOST_TEST(token.text({"orders"}).empty());
    BOOST_TEST(token.advance({.m_term = 2, .m_offset = 17}));
    BOOST_TEST(token.text({"orders"}) == "orders/2:17");
    session_token other;
    BOOST_TEST(!failure_of([&] { return other.adopt("orders/2:17", {"orders"}); }).has_value());
    BOOST_TEST((other.position() == token.position()));
}

BOOST_AUTO_TEST_CASE(a_token_never_decreases) {
    session_token token;
    token.advance({.m_term = 2, .m_offset = 17});
    BOOST_TEST(!token.advance({.m_term = 1, .m_offset = 99}));
    BOOST_TEST(!token.advance({.m_term = 2, .m_offset = 17}));
    BOOST_TEST(!failure_of([&] { return token.adopt("orders/1:5", {"orders"}); }).has_value());
    BOOST_TEST(token.text({"orders"}) == "orders/2:17");
}

BOOST_AUTO_TEST_CASE(a_malformed_token_or_one_of_another_group_is_refused) {
    for (const char* text : {"", "orders", "orders/", "orders/1", "orders/1:", "orders/a:b", "stock/1:2",
                             "orders/1:2x", "orders/-1:2", "orders/99999999999999999999:1"}) {
        BOOST_TEST_CONTEXT(text) {
            session_token token;
            const auto refused = failure_of([&] { return token.adopt(text, {"orders"}); });
            BOOST_REQUIRE(refused.has_value());
            BOOST_TEST(number_of(refused->m_code) == 1207);
            BOOST_TEST(!token.position().has_value());
        }
    }
}
