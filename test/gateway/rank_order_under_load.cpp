/// \file rank_order_under_load.cpp
/// Guards the path of an account and of a latency target from a request to the queue of an upstream.
/// Without it one flooding account takes a rank from all others, and a read with a short target waits
/// behind one that has time. Each test plays a load in virtual time with both orders and prints what the
/// callers of each kind get.
///
/// Accounts: one group of 3 upstreams with 3 slots each, one instance. Per second: 20 writes of 8 ms
/// (rank 1), 5 accounts with 16 reads each of 24 ms (rank 2, target 400 ms, deadline 1 s), and an account
/// that sends 600 such reads, about twice what the upstreams can run.
///
/// Targets: the same group. Per second: 20 writes of 5 ms (rank 1), and in rank 2 240 reads of 15 ms with
/// a target of 250 ms and 340 of 26 ms with one of 500 ms, more than the upstreams can run.
#include "support/loaded_group.hpp"

#include "anvilmount/gateway/rank_orders.hpp"

#include <boost/test/unit_test.hpp>

#include <iostream>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

constexpr int upstreams = 3;
constexpr int slots = 3;
constexpr std::uint32_t seed = 20261205;

gateway::group_options with_order(rank_order order) {
    return {.m_rank_orders = {order, order, order}};
}

struct account_results {
    test::load_result m_small;
    test::load_result m_flood;
    test::load_result m_writes;
};

account_results play_flood(rank_order order) {
    test::loaded_group group(upstreams, slots, with_order(order), seed);
    group.offer({.m_name = "writes", .m_rank = 1, .m_per_second = 20, .m_work_ms = 8, .m_writes = true},
                10s);
    for (int number = 1; number <= 5; ++number) {
        group.offer({.m_name = "small",
                     .m_per_second = 16,
                     .m_work_ms = 24,
                     .m_target = 400ms,
                     .m_account = "small" + std::to_string(number)},
                    10s);
    }
    group.offer({.m_name = "flood",
                 .m_per_second = 600,
                 .m_work_ms = 24,
                 .m_target = 400ms,
                 .m_account = "flood",
                 .m_callers = 500},
                10s);
    group.run_for(15s);
    return {group.result("small"), group.result("flood"), group.result("writes")};
}

struct target_results {
    test::load_result m_short;
    test::load_result m_long;
};

target_results play_targets(rank_order order) {
    test::loaded_group group(upstreams, slots, with_order(order), seed);
    group.offer({.m_name = "writes", .m_rank = 1, .m_per_second = 20, .m_work_ms = 5, .m_writes = true},
                10s);
    group.offer({.m_name = "short", .m_per_second = 240, .m_work_ms = 15, .m_target = 250ms}, 10s);
    group.offer(
        {.m_name = "long", .m_per_second = 340, .m_work_ms = 26, .m_target = 500ms, .m_deadline = 3000ms},
        10s);
    group.run_for(15s);
    return {group.result("short"), group.result("long")};
}

}

BOOST_AUTO_TEST_CASE(a_flooding_account_takes_nothing_that_others_need) {
    const account_results before = play_flood(rank_order::callers);
    const account_results after = play_flood(rank_order::accounts);
    std::cout << "small accounts, before: " << before.m_small
              << "\nsmall accounts, after: " << after.m_small << "\nflood, before: " << before.m_flood
              << "\nflood, after: " << after.m_flood << "\nwrites, after: " << after.m_writes << '\n';
    BOOST_TEST(before.m_small.share_in_target() < 0.9);
    BOOST_TEST(after.m_small.share_in_target() > 0.99);
    // The flood still gets what the others leave.
    BOOST_TEST(after.m_flood.m_in_target > before.m_flood.m_in_target / 2);
}

BOOST_AUTO_TEST_CASE(reads_of_one_rank_are_ordered_by_their_targets) {
    const target_results before = play_targets(rank_order::callers);
    const target_results after = play_targets(rank_order::latest_start);
    std::cout << "250 ms, before: " << before.m_short << "\n250 ms, after: " << after.m_short
              << "\n500 ms, before: " << before.m_long << "\n500 ms, after: " << after.m_long << '\n';
    BOOST_TEST(after.m_short.m_in_target > before.m_short.m_in_target);
    BOOST_TEST(after.m_short.m_in_target + after.m_long.m_in_target >
               before.m_short.m_in_target + before.m_long.m_in_target);
}

BOOST_AUTO_TEST_CASE(the_configuration_decides_the_order) {
    gateway::fleet_configuration configuration;
    const auto add_route = [&](const std::string& name, const std::string& group, int rank,
                               milliseconds target) {
        gateway::database_route route;
        route.m_group = {group};
        route.m_class.m_rank = rank;
        route.m_latency_target = target;
        configuration.m_routes[name] = route;
    };
    add_route("urgent", "a", 1, 150ms);
    add_route("reads", "a", 2, 250ms);
    add_route("reports", "b", 2, 500ms);
    const std::array<rank_order, rank_count> as_ever{};
    BOOST_TEST((gateway::rank_orders_of(configuration, {"a"}) == as_ever));
    add_route("more", "a", 2, 500ms);
    BOOST_TEST((gateway::rank_orders_of(configuration, {"a"}) ==
                std::array{rank_order::callers, rank_order::latest_start, rank_order::callers}));
    BOOST_TEST((gateway::rank_orders_of(configuration, {"b"}) == as_ever));
    configuration.m_accounts["one"] = {};
    BOOST_TEST((gateway::rank_orders_of(configuration, {"b"}) ==
                std::array{rank_order::accounts, rank_order::accounts, rank_order::accounts}));
}
