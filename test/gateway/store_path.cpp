/// \file store_path.cpp
/// Guards against instances that lose the store while some path to it works, and
/// against a fleet in which too many instances call the store directly.
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
                                 bool prefers_direct) {
    return order_store_paths({.m_self = all[self].m_name,
                              .m_data_centre = all[self].m_data_centre,
                              .m_prefers_direct = prefers_direct,
                              .m_candidates = all});
}

}

BOOST_AUTO_TEST_CASE(one_instance_per_data_centre_relays_for_the_others) {
    const auto all = fleet(80);
    std::set<endpoint> relays;
    int direct = 0;
    for (std::size_t self = 0; self < all.size(); ++self) {
        const store_path first = order_of(all, self, false).front();
        if (first.m_relay) {
            relays.insert(*first.m_relay);
            const auto chosen = std::find_if(
                all.begin(), all.end(), [&](const auto& each) { return each.m_address == *first.m_relay; });
            BOOST_TEST((chosen->m_data_centre == all[self].m_data_centre));
        } else {
            ++direct;
        }
    }
    BOOST_TEST(direct == 4);
    BOOST_TEST(relays.size() == 4U);
}

BOOST_AUTO_TEST_CASE(the_direct_path_is_first_or_follows_the_preferred_relay) {
    const auto all = fleet(12);
    for (std::size_t self = 0; self < all.size(); ++self) {
        BOOST_TEST(!order_of(all, self, true).front().m_relay.has_value());
        const auto order = order_of(all, self, false);
        BOOST_TEST((!order[0].m_relay || !order[1].m_relay));
    }
}

/// A relay carries the traffic of all instances of its data centre.
BOOST_AUTO_TEST_CASE(the_largest_instance_of_a_data_centre_relays) {
    auto all = fleet(80);
    for (std::size_t number = 0; number < all.size(); ++number) {
        all[number].m_processor_millis = number < 8 ? 500 : 120;
    }
    for (std::size_t self = 0; self < all.size(); ++self) {
        const auto order = order_store_paths({.m_self = all[self].m_name,
                                              .m_data_centre = all[self].m_data_centre,
                                              .m_processor_millis = all[self].m_processor_millis,
                                              .m_prefers_direct = false,
                                              .m_candidates = all});
        BOOST_TEST((order.front().m_relay ? order.front().m_relay->m_port <= 8 : self < 8));
    }
}

BOOST_AUTO_TEST_CASE(a_single_instance_has_only_the_direct_path) {
    const auto all = fleet(1);
    BOOST_TEST(order_of(all, 0, false).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_failed_path_is_not_used_during_its_cooldown) {
    const auto all = fleet(6);
    store_path_selector selector;
    selector.set_order(order_of(all, 0, true));
    const steady_time start{1h};
    BOOST_TEST(!selector.choose(start).m_relay.has_value());
    selector.record_failure({}, start);
    const store_path relay = selector.choose(start);
    BOOST_TEST(relay.m_relay.has_value());
    BOOST_TEST(selector.is_direct_failing(start));
    selector.record_failure(relay, start);
    BOOST_TEST((selector.choose(start) != relay));
    BOOST_TEST(!selector.choose(start + 1001ms).m_relay.has_value());
    selector.record_success({});
    BOOST_TEST(!selector.is_direct_failing(start));
}

BOOST_AUTO_TEST_CASE(when_all_paths_fail_the_direct_path_is_used) {
    const auto all = fleet(6);
    store_path_selector selector;
    const auto order = order_of(all, 0, true);
    selector.set_order(order);
    const steady_time start{1h};
    for (const store_path& each : order) {
        selector.record_failure(each, start);
    }
    BOOST_TEST(!selector.choose(start).m_relay.has_value());
}
