/// \file group_holders.cpp
/// Checks which instances hold connections to a group and which of them serves a
/// session. Guards against holders with too few connections, and against more
/// statements in flight than an upstream has slots for.
#include "anvilmount/decisions/group_holders.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace anvilmount;

namespace {

std::vector<holder_candidate> fleet(int size) {
    std::vector<holder_candidate> all;
    for (int number = 0; number < size; ++number) {
        all.push_back(
            {.m_name = "i" + std::to_string(number), .m_data_centre = {"dc" + std::to_string(number % 4)}});
    }
    return all;
}

}

BOOST_AUTO_TEST_CASE(in_a_small_fleet_every_instance_is_a_holder) {
    BOOST_TEST(group_holders({"orders"}, {.m_connections = 21}, fleet(6)).size() == 6U);
    BOOST_TEST(holder_count({.m_connections = 21}, 7) == 7);
}

BOOST_AUTO_TEST_CASE(in_a_large_fleet_each_holder_has_at_least_two_connections) {
    const auto holders = group_holders({"orders"}, {.m_connections = 51}, fleet(82));
    BOOST_TEST(holders.size() == 17U);
    BOOST_TEST(holder_count({.m_connections = 1}, 82) == 1);
}

BOOST_AUTO_TEST_CASE(holders_are_limited_by_the_slots_of_an_upstream) {
    // 176 connections suffice for 74 instances, but each has a statement in flight, and there are 6 slots.
    BOOST_TEST(holder_count({.m_connections = 176, .m_slots = 6}, 74) == 12);
    BOOST_TEST(holder_count({.m_connections = 51, .m_slots = 5}, 82) == 10);
    BOOST_TEST(holder_count({.m_connections = 50, .m_slots = 5}, 6) == 6);
    BOOST_TEST(holder_count({.m_connections = 51, .m_slots = 50}, 82) == 17);
}

BOOST_AUTO_TEST_CASE(the_holders_do_not_depend_on_the_order_of_candidates) {
    auto reversed = fleet(82);
    std::reverse(reversed.begin(), reversed.end());
    const auto first = group_holders({"orders"}, {.m_connections = 51}, fleet(82));
    const auto second = group_holders({"orders"}, {.m_connections = 51}, reversed);
    BOOST_TEST(std::equal(first.begin(), first.end(), second.begin(),
                          [](const auto& left, const auto& right) { return left.m_name == right.m_name; }));
}

BOOST_AUTO_TEST_CASE(losing_a_holder_replaces_only_that_holder) {
    const auto before = group_holders({"orders"}, {.m_connections = 51}, fleet(82));
    auto fewer = fleet(82);
    std::erase_if(fewer, [&](const holder_candidate& each) { return each.m_name == before[3].m_name; });
    const auto after = group_holders({"orders"}, {.m_connections = 51}, fewer);
    int moved = 0;
    for (const holder_candidate& each : after) {
        moved += std::none_of(before.begin(), before.end(),
                              [&](const holder_candidate& old) { return old.m_name == each.m_name; });
    }
    BOOST_TEST(moved == 1);
}

BOOST_AUTO_TEST_CASE(sessions_spread_over_the_holders_in_their_data_centre) {
    const auto holders = group_holders({"orders"}, {.m_connections = 51}, fleet(82));
    std::map<std::string, int> served;
    for (std::uint64_t number = 0; number < 1000; ++number) {
        const holder_candidate& chosen = holder_for_session(holders, {"dc1"}, number);
        BOOST_TEST(chosen.m_data_centre.m_text == "dc1");
        ++served[chosen.m_name];
    }
    BOOST_TEST(served.size() > 1U);
    BOOST_TEST(!holder_for_session(holders, {"elsewhere"}, 5).m_name.empty());
}
