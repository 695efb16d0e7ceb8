/// \file store_path.cpp
/// How an instance reaches the store when some ways fail.
#include "anvilmount/decisions/store_path.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

std::vector<store_relay_candidate> fleet(int size) {
    std::vector<store_relay_candidate> all;
    for (int number = 0; number < size; ++number) {
        all.push_back(
            {.m_name = "i" + std::to_string(number),
             .m_data_centre = {"dc" + std::to_string(number % 4)},
             .m_address = {.m_address = "10.0.0.1", .m_port = static_cast<std::uint16_t>(number + 1)}});
    }
    return all;
}

std::vector<store_path> order_of(const std::vector<store_relay_candidate>& all, std::size_t self,
                                 bool prefers_own) {
    return order_store_paths({.m_self = all[self].m_name,
                              .m_data_centre = all[self].m_data_centre,
                              .m_prefers_direct = prefers_own,
                              .m_candidates = all});
}

}

BOOST_AUTO_TEST_CASE(one_instance_of_each_data_centre_asks_for_all_there) {
    const auto all = fleet(80);
    std::set<endpoint> relays;
    int own = 0;
    for (std::size_t self = 0; self < all.size(); ++self) {
        const store_path first = order_of(all, self, false).front();
        if (first.m_relay) {
            relays.insert(*first.m_relay);
            const auto chosen = std::find_if(
                all.begin(), all.end(), [&](const auto& each) { return each.m_address == *first.m_relay; });
            BOOST_TEST((chosen->m_data_centre == all[self].m_data_centre));
        } else {
            ++own;
        }
    }
    BOOST_TEST(own == 4);
    BOOST_TEST(relays.size() == 4U);
}

BOOST_AUTO_TEST_CASE(its_own_connections_come_first_or_right_after_the_relay) {
    const auto all = fleet(12);
    for (std::size_t self = 0; self < all.size(); ++self) {
        BOOST_TEST(!order_of(all, self, true).front().m_relay.has_value());
        const auto order = order_of(all, self, false);
        BOOST_TEST((!order[0].m_relay || !order[1].m_relay));
    }
}

BOOST_AUTO_TEST_CASE(an_instance_alone_has_only_its_own) {
    const auto all = fleet(1);
    BOOST_TEST(order_of(all, 0, false).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_way_that_failed_is_left_alone_for_a_while) {
    const auto all = fleet(6);
    store_path_selector choice;
    choice.set_order(order_of(all, 0, true));
    const steady_time start{1h};
    BOOST_TEST(!choice.choose(start).m_relay.has_value());
    choice.record_failure({}, start);
    const store_path relay = choice.choose(start);
    BOOST_TEST(relay.m_relay.has_value());
    BOOST_TEST(choice.is_direct_failing(start));
    choice.record_failure(relay, start);
    BOOST_TEST((choice.choose(start) != relay));
    BOOST_TEST(!choice.choose(start + 1001ms).m_relay.has_value());
    choice.record_success({});
    BOOST_TEST(!choice.is_direct_failing(start));
}

BOOST_AUTO_TEST_CASE(when_all_fail_its_own_is_tried) {
    const auto all = fleet(6);
    store_path_selector choice;
    const auto order = order_of(all, 0, true);
    choice.set_order(order);
    const steady_time start{1h};
    for (const store_path& each : order) {
        choice.record_failure(each, start);
    }
    BOOST_TEST(!choice.choose(start).m_relay.has_value());
}
