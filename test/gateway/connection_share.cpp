/// \file connection_share.cpp
/// All instances together stay under an upstream's limit, with room for one more connection of each.
#include "anvilmount/decisions/connection_share.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace anvilmount;

BOOST_AUTO_TEST_CASE(six_instances_share_twenty_one) {
    BOOST_TEST(connection_share({.m_max_connections = 21, .m_instances = 6}) == 2);
    BOOST_TEST(connection_share({.m_max_connections = 50, .m_instances = 6}) == 7);
}

BOOST_AUTO_TEST_CASE(everyone_may_have_one) {
    BOOST_TEST(connection_share({.m_max_connections = 51, .m_instances = 82}) == 1);
    BOOST_TEST(connection_share({.m_max_connections = 1, .m_instances = 0}) == 1);
}

BOOST_AUTO_TEST_CASE(shares_never_exceed_the_limit) {
    const bool holds = rc::check("sum of shares", [] {
        const int allowed = *rc::gen::inRange(1, 500);
        const int instances = *rc::gen::inRange(1, allowed + 1);
        const int share = connection_share({.m_max_connections = allowed, .m_instances = instances});
        RC_ASSERT(share == 1 || (share + 1) * instances <= allowed);
    });
    BOOST_TEST(holds);
}
