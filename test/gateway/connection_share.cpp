/// \file connection_share.cpp
/// Guards against instances that together open more connections than an upstream
/// allows, including one more connection for each instance.
#include "anvilmount/decisions/connection_share.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace anvilmount;

BOOST_AUTO_TEST_CASE(the_reserve_is_subtracted_before_dividing) {
    BOOST_TEST(connection_share({.m_max_connections = 21, .m_instances = 6}) == 2);
    BOOST_TEST(connection_share({.m_max_connections = 50, .m_instances = 6}) == 7);
}

BOOST_AUTO_TEST_CASE(each_instance_may_open_at_least_one_connection) {
    BOOST_TEST(connection_share({.m_max_connections = 51, .m_instances = 82}) == 1);
    BOOST_TEST(connection_share({.m_max_connections = 1, .m_instances = 0}) == 1);
}

BOOST_AUTO_TEST_CASE(all_shares_with_one_spare_each_stay_within_the_limit) {
    const bool holds = rc::check("sum of shares", [] {
        const int allowed = *rc::gen::inRange(1, 500);
        const int instances = *rc::gen::inRange(1, allowed + 1);
        const int share = connection_share({.m_max_connections = allowed, .m_instances = instances});
        RC_ASSERT(share == 1 || (share + 1) * instances <= allowed);
    });
    BOOST_TEST(holds);
}
