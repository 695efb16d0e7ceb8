/// \file placement.cpp
/// Checks that every instance computes the same homes without communication, that
/// homes are in their upstream's data centre, and that few move when an instance
/// is lost.
#include "anvilmount/decisions/placement.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace anvilmount;

namespace {

std::vector<instance_view> instances(int count) {
    std::vector<instance_view> all;
    for (int number = 0; number < count; ++number) {
        all.push_back({.m_id = {"entry-" + std::to_string(number)},
                       .m_peer_address = {},
                       .m_data_centre = {std::string(1, static_cast<char>('a' + number % 3))}});
    }
    return all;
}

}

BOOST_AUTO_TEST_CASE(the_home_order_does_not_depend_on_the_order_of_instances) {
    std::vector<instance_view> all = instances(12);
    const auto order = home_order(all, {"orders-1"}, {"a"});
    std::reverse(all.begin(), all.end());
    BOOST_TEST((home_order(all, {"orders-1"}, {"a"}) == order));
}

BOOST_AUTO_TEST_CASE(a_home_is_in_the_data_centre_of_its_upstream) {
    for (int number = 0; number < 50; ++number) {
        const auto order = home_order(instances(12), {"upstream-" + std::to_string(number)}, {"b"});
        BOOST_TEST(std::stoi(order.front().m_text.substr(6)) % 3 == 1);
    }
}

BOOST_AUTO_TEST_CASE(live_instances_precede_suspected_ones_and_those_precede_leaving_ones) {
    std::vector<instance_view> all = instances(3);
    all[0].m_state = instance_state::leaving;
    all[1].m_state = instance_state::suspected;
    const auto order = home_order(all, {"orders-1"}, {"a"});
    BOOST_TEST(order[0].m_text == "entry-2");
    BOOST_TEST(order[1].m_text == "entry-1");
    BOOST_TEST(order[2].m_text == "entry-0");
}

BOOST_AUTO_TEST_CASE(only_the_homes_of_a_lost_instance_move) {
    const std::vector<instance_view> all = instances(12);
    std::vector<instance_view> fewer = all;
    fewer.erase(fewer.begin() + 4);
    int moved = 0;
    for (int number = 0; number < 300; ++number) {
        const upstream_id upstream{"upstream-" + std::to_string(number)};
        const data_centre centre{std::string(1, static_cast<char>('a' + number % 3))};
        const auto before = home_order(all, upstream, centre).front();
        const auto after = home_order(fewer, upstream, centre).front();
        BOOST_TEST((before == after || before.m_text == "entry-4"));
        moved += before == after ? 0 : 1;
    }
    BOOST_TEST(moved > 0);
}

BOOST_AUTO_TEST_CASE(homes_spread_evenly) {
    std::map<std::string, int> homes;
    for (int number = 0; number < 1350; ++number) {
        const data_centre centre{std::string(1, static_cast<char>('a' + number % 3))};
        ++homes[home_order(instances(30), {"upstream-" + std::to_string(number)}, centre).front().m_text];
    }
    for (const auto& [id, count] : homes) {
        BOOST_TEST_CONTEXT(id) {
            BOOST_TEST(count < 3 * 1350 / 30);
        }
    }
}
