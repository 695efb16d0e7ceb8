/// \file promotion_orders.cpp
/// Which ordered promotions may still take effect.
#include "anvilmount/decisions/promotion_orders.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

const steady_time start{100s};
const upstream_id first{"b"};
const upstream_id second{"c"};
constexpr milliseconds longest = max_confirmation_age + max_promotion_delay;

}

BOOST_AUTO_TEST_CASE(an_order_is_pending_until_it_can_no_longer_take_effect) {
    promotion_orders orders;
    BOOST_TEST(orders.pending(start).empty());
    orders.record(first, start);
    orders.record(second, start + 1s);
    BOOST_TEST((orders.pending(start + longest - 1ms) == std::vector{first, second}));
    BOOST_TEST((orders.pending(start + longest) == std::vector{second}));
    BOOST_TEST(orders.pending(start + 1s + longest).empty());
}

BOOST_AUTO_TEST_CASE(an_order_that_was_refused_has_no_effect) {
    promotion_orders orders;
    orders.record(first, start);
    orders.record_refusal(first);
    BOOST_TEST(orders.pending(start).empty());
}

BOOST_AUTO_TEST_CASE(the_refusal_of_a_repeated_order_says_nothing_of_the_first) {
    promotion_orders orders;
    orders.record(first, start);
    orders.record(first, start + 1500ms);
    orders.record_refusal(first);
    BOOST_TEST((orders.pending(start + 1500ms) == std::vector{first}));
}
