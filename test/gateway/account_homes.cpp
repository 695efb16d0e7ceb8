/// \file account_homes.cpp
/// Checks the choice of account homes and the timing of its changes. Guards against homes with too few
/// connections, against sets that follow each restart, and against accounts whose homes share a data
/// centre.
#include "anvilmount/decisions/account_homes.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace anvilmount;

namespace {

/// The fleets of the specification: eight instances of half a core, two in each of four data centres.
std::vector<home_candidate> fleet(int size) {
    std::vector<home_candidate> all;
    for (int number = 0; number < size; ++number) {
        all.push_back({.m_home = {.m_name = "i" + std::to_string(number),
                                  .m_data_centre = {"dc" + std::to_string(number % 4)}},
                       .m_processor_millis = number < 8 ? 500U : 120U});
    }
    return all;
}

std::set<std::string> names(const std::vector<account_home>& homes) {
    std::set<std::string> all;
    for (const account_home& each : homes) {
        all.insert(each.m_name);
    }
    return all;
}

account_homes_view view_of(const std::vector<home_candidate>& candidates, int max_homes) {
    account_homes_view view{.m_candidates = candidates, .m_max_homes = max_homes, .m_era = 1};
    for (const home_candidate& each : candidates) {
        view.m_last_seen[each.m_home.m_name] = {};
    }
    return view;
}

constexpr steady_time start{std::chrono::hours{1}};
constexpr account_homes_plan::options planning{.m_change_interval = milliseconds{5200}};

/// Everybody that is listed in `view` has just been seen.
account_homes_view seen_at(account_homes_view view, steady_time now) {
    for (auto& [name, seen] : view.m_last_seen) {
        seen = now;
    }
    return view;
}

/// Asks the plan every 100 ms. Returns the first set that it wants stored.
std::optional<account_home_set> ask(account_homes_plan& plan, const account_homes_view& view,
                                    steady_time from, milliseconds length) {
    for (milliseconds passed{0}; passed <= length; passed += milliseconds{100}) {
        if (auto set = plan.next(seen_at(view, from + passed), from + passed)) {
            return set;
        }
    }
    return std::nullopt;
}

}

BOOST_AUTO_TEST_CASE(each_home_has_four_connections) {
    BOOST_TEST(max_account_homes(58) == 11);
    BOOST_TEST(max_account_homes(70) == 14);
    BOOST_TEST(max_account_homes(1) == 1);
}

BOOST_AUTO_TEST_CASE(the_large_instances_are_homes_and_small_ones_only_up_to_eight) {
    BOOST_TEST(names(choose_account_homes({}, fleet(65), 11)) ==
               (std::set<std::string>{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7"}));
    auto fewer = fleet(65);
    fewer.erase(fewer.begin());
    const auto homes = choose_account_homes({}, fewer, 11);
    BOOST_TEST(homes.size() == 8U);
    std::map<data_centre, int> counts;
    for (const account_home& each : homes) {
        ++counts[each.m_data_centre];
    }
    BOOST_TEST(counts[data_centre{"dc0"}] == 2);
    BOOST_TEST(choose_account_homes({}, fleet(65), 3).size() == 3U);
    BOOST_TEST(choose_account_homes({}, fleet(5), 11).size() == 5U);
}

BOOST_AUTO_TEST_CASE(the_first_homes_of_an_account_are_in_different_data_centres) {
    const auto homes = choose_account_homes({}, fleet(65), 11);
    std::set<std::string> first;
    for (int number = 0; number < 200; ++number) {
        const auto order = order_account_homes("account" + std::to_string(number), homes, 4);
        BOOST_REQUIRE(order.size() == homes.size());
        std::set<data_centre> centres;
        for (std::size_t index = 0; index < 4; ++index) {
            centres.insert(order[index].m_data_centre);
        }
        BOOST_TEST(centres.size() == 4U);
        first.insert(order.front().m_name);
    }
    BOOST_TEST(first.size() == 8U);
}

BOOST_AUTO_TEST_CASE(the_order_does_not_depend_on_the_order_of_the_set) {
    auto homes = choose_account_homes({}, fleet(65), 11);
    const auto order = order_account_homes("shop", homes, 4);
    std::reverse(homes.begin(), homes.end());
    BOOST_TEST((order == order_account_homes("shop", homes, 4)));
}

BOOST_AUTO_TEST_CASE(the_first_set_waits_until_the_fleet_has_registered) {
    account_homes_plan plan(planning);
    BOOST_TEST(!ask(plan, view_of(fleet(2), 11), start, milliseconds{1000}).has_value());
    BOOST_TEST(
        !ask(plan, view_of(fleet(65), 11), start + milliseconds{1100}, milliseconds{1900}).has_value());
    const auto set = ask(plan, view_of(fleet(65), 11), start + milliseconds{3000}, milliseconds{500});
    BOOST_REQUIRE(set.has_value());
    BOOST_TEST(set->m_homes.size() == 8U);
    BOOST_TEST(set->m_generation == 1U);
    BOOST_TEST(!set->m_previous.has_value());
}

BOOST_AUTO_TEST_CASE(a_fleet_that_keeps_changing_gets_a_set_within_six_seconds) {
    account_homes_plan plan(planning);
    std::optional<account_home_set> set;
    for (int number = 0; number <= 60 && !set; ++number) {
        set = plan.next(view_of(fleet(2 + number), 11), start + milliseconds{100} * number);
    }
    BOOST_TEST(set.has_value());
}

BOOST_AUTO_TEST_CASE(in_a_store_that_came_back_the_first_set_counts_as_a_change) {
    account_homes_plan plan(planning);
    auto view = view_of(fleet(65), 11);
    view.m_era = 2;
    const auto set = ask(plan, view, start, milliseconds{3000});
    BOOST_REQUIRE(set.has_value());
    BOOST_TEST(set->m_generation > (std::uint64_t{1} << 32U));
    BOOST_REQUIRE(set->m_previous.has_value());
    BOOST_TEST(set->m_previous->empty());
}

BOOST_AUTO_TEST_CASE(a_home_is_replaced_after_eight_seconds_and_a_restart_changes_nothing) {
    account_homes_plan plan(planning);
    const auto homes = choose_account_homes({}, fleet(65), 11);
    auto all = view_of(fleet(65), 11);
    all.m_stored = account_home_set{.m_generation = 4, .m_homes = homes};
    all.m_stored_known_since = start - milliseconds{60000};
    auto without = all;
    without.m_last_seen.erase("i3");
    std::erase_if(without.m_candidates,
                  [](const home_candidate& each) { return each.m_home.m_name == "i3"; });
    BOOST_TEST(!ask(plan, without, start, milliseconds{7900}).has_value());
    BOOST_TEST(!ask(plan, all, start + milliseconds{8000}, milliseconds{100}).has_value());
    const steady_time again = start + milliseconds{8200};
    BOOST_TEST(!ask(plan, without, again, milliseconds{7800}).has_value());
    const auto set = plan.next(seen_at(without, again + milliseconds{8000}), again + milliseconds{8000});
    BOOST_REQUIRE(set.has_value());
    BOOST_TEST(set->m_generation == 5U);
    BOOST_TEST((set->m_previous == homes));
    BOOST_TEST(set->m_homes.size() == 8U);
    BOOST_TEST(!names(set->m_homes).contains("i3"));
    const auto kept = names(set->m_homes);
    BOOST_TEST(std::count_if(homes.begin(), homes.end(),
                             [&](const account_home& each) { return kept.contains(each.m_name); }) == 7);
}

BOOST_AUTO_TEST_CASE(a_second_change_waits_until_nobody_spends_by_the_set_before) {
    account_homes_plan plan(planning);
    auto view = view_of(fleet(65), 11);
    view.m_stored = account_home_set{.m_generation = 4, .m_homes = choose_account_homes({}, fleet(65), 11)};
    view.m_last_seen.erase("i3");
    view.m_stored_known_since = start + milliseconds{7000};
    BOOST_TEST(!ask(plan, view, start, milliseconds{12100}).has_value());
    BOOST_TEST(
        plan.next(seen_at(view, start + milliseconds{12200}), start + milliseconds{12200}).has_value());
}

BOOST_AUTO_TEST_CASE(a_set_without_a_successor_stays) {
    account_homes_plan plan(planning);
    account_homes_view view{.m_stored = account_home_set{.m_generation = 1, .m_homes = {{.m_name = "i1"}}},
                            .m_max_homes = 4};
    BOOST_TEST(!ask(plan, view, start, milliseconds{30000}).has_value());
}

BOOST_AUTO_TEST_CASE(another_wanted_number_changes_the_set_once_it_has_lasted) {
    account_homes_plan plan(planning);
    auto view = view_of(fleet(65), 6);
    view.m_stored = account_home_set{.m_generation = 4, .m_homes = choose_account_homes({}, fleet(65), 11)};
    BOOST_TEST(!ask(plan, view, start, milliseconds{7900}).has_value());
    const auto set = plan.next(seen_at(view, start + milliseconds{8000}), start + milliseconds{8000});
    BOOST_REQUIRE(set.has_value());
    BOOST_TEST(set->m_homes.size() == 6U);
}

BOOST_AUTO_TEST_CASE(a_registered_home_is_replaced_eight_seconds_after_its_last_sign_of_life) {
    account_homes_plan plan(planning);
    auto view = seen_at(view_of(fleet(65), 11), start);
    view.m_stored = account_home_set{.m_generation = 4, .m_homes = choose_account_homes({}, fleet(65), 11)};
    std::erase_if(view.m_candidates, [](const home_candidate& each) { return each.m_home.m_name == "i3"; });
    auto later = seen_at(view, start + milliseconds{7000});
    later.m_last_seen["i3"] = start;
    BOOST_TEST(!plan.next(later, start + milliseconds{7900}).has_value());
    BOOST_TEST(plan.next(later, start + milliseconds{8000}).has_value());
}
