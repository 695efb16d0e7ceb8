/// \file restored_store.cpp
/// The metadata store comes back from an older copy: what was written since is gone, and versions are
/// given out again. Tables stay current, leases are renewed, and nothing goes back that was in force.
#include "support/gateway_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;
using kind = gateway::statement_kind;

namespace {

/// Uses up versions, as upstreams do that register again and again.
void use_versions(test::fake_store& store) {
    for (int change = 0; change < 200; ++change) {
        store.put("servers", "busy", std::to_string(change));
    }
}

/// The store is unreachable for 2 s and comes back as it was at `earlier`.
void restore(test::gateway_fleet& fleet, const std::shared_ptr<const test::fake_store::backup>& earlier) {
    fleet.m_store.m_unreachable = true;
    fleet.run_for(2000ms);
    fleet.m_store.m_unreachable = false;
    fleet.m_store.restore(earlier);
}

bool write_succeeds(test::gateway_fleet& fleet, int instance) {
    return fleet.write_succeeds(instance, 200ms);
}

}

BOOST_AUTO_TEST_CASE(a_configuration_stored_after_the_store_went_back_is_in_force) {
    test::gateway_fleet fleet(3);
    fleet.follow_configuration();
    fleet.put_configuration(5);
    fleet.run_for(1000ms);
    const auto earlier = fleet.m_store.back_up();
    use_versions(fleet.m_store);
    fleet.put_configuration(9);
    fleet.run_for(6000ms);
    restore(fleet, earlier);
    fleet.run_for(500ms);
    fleet.put_configuration(9);
    fleet.run_for(4000ms);
    fleet.put_configuration(11);
    fleet.run_for(3000ms);
    for (int number = 1; number <= 3; ++number) {
        BOOST_TEST(fleet.instance(number).revision() == 11U);
    }
}

BOOST_AUTO_TEST_CASE(writes_go_on_after_the_store_lost_a_change_of_primary_and_a_configuration) {
    test::gateway_fleet fleet(3);
    fleet.follow_configuration();
    fleet.put_configuration(5);
    fleet.run_for(1000ms);
    const auto earlier = fleet.m_store.back_up();
    use_versions(fleet.m_store);
    fleet.put_configuration(9);
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(9000ms);
    BOOST_REQUIRE(fleet.m_upstreams.m_promotions == 1);
    restore(fleet, earlier);
    fleet.run_for(500ms);
    fleet.put_configuration(9);
    for (int second = 0; second < 30; ++second) {
        fleet.run_for(800ms);
        BOOST_TEST(write_succeeds(fleet, 1 + second % 3));
    }
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

/// The fixture checks that no fencing token has two holders and that none is lower than one before.
BOOST_AUTO_TEST_CASE(no_fencing_token_is_given_out_again_after_the_store_forgot_its_holder) {
    test::gateway_fleet fleet(3);
    const auto earlier = fleet.m_store.back_up();
    const int first = fleet.coordinator();
    BOOST_REQUIRE(first > 0);
    fleet.kill(first);
    fleet.run_for(7000ms);
    const int second = fleet.coordinator();
    BOOST_REQUIRE(second > 0);
    fleet.m_upstreams.crash("orders-1");
    // The lease of the instance that was killed is awaited.
    fleet.run_for(9000ms);
    BOOST_REQUIRE(fleet.m_upstreams.m_promotions == 1);
    restore(fleet, earlier);
    fleet.kill(second);
    fleet.m_upstreams.at("orders-1").m_down = false;
    fleet.m_upstreams.at("orders-1").m_is_primary = false;
    fleet.run_for(14000ms);
    fleet.m_upstreams.crash(fleet.m_upstreams.at("orders-2").m_is_primary ? "orders-2" : "orders-3");
    fleet.run_for(4000ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 2);
    BOOST_TEST(fleet.m_token_holders.size() == 2U);
}

/// The store forgot that orders-2 was promoted, and orders-1 is cut off from the instances that know.
/// An instance that starts then must not use orders-1, whose writes would be lost.
BOOST_AUTO_TEST_CASE(an_instance_that_starts_after_the_restore_does_not_use_a_replaced_primary) {
    test::gateway_fleet fleet(3);
    const auto earlier = fleet.m_store.back_up();
    for (const char* instance : {"i1", "i2", "i3"}) {
        fleet.m_upstreams.cut(instance, "orders-1");
    }
    for (int round = 0; round < 20; ++round) {
        static_cast<void>(write_succeeds(fleet, 1 + round % 3));
    }
    BOOST_REQUIRE(fleet.m_upstreams.m_promotions == 1);
    BOOST_REQUIRE(fleet.m_upstreams.at("orders-1").m_is_primary);
    restore(fleet, earlier);
    const auto runs_at_replaced = [&] {
        return std::count_if(fleet.m_upstreams.m_runs.begin(), fleet.m_upstreams.m_runs.end(),
                             [](const auto& each) { return each.m_upstream == "orders-1"; });
    };
    const auto before = runs_at_replaced();
    fleet.start(4);
    for (int round = 0; round < 20; ++round) {
        static_cast<void>(write_succeeds(fleet, 4));
        BOOST_TEST(runs_at_replaced() == before);
    }
    BOOST_TEST(write_succeeds(fleet, 4));
    BOOST_TEST(write_succeeds(fleet, 1));
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

/// An instance that knows the forgotten record stops while the others restart; it returns with its
/// lease lapsed, and they have written records of their own meanwhile.
BOOST_AUTO_TEST_CASE(no_epoch_is_given_out_again_after_the_store_forgot_its_record) {
    test::gateway_fleet fleet(3);
    const auto earlier = fleet.m_store.back_up();
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(3000ms);
    const auto record = [&](int number) { return fleet.instance(number).state_dump()["groups"]["orders"]; };
    const std::uint64_t forgotten = record(3)["epoch"].get<std::uint64_t>();
    BOOST_REQUIRE(forgotten > 1U);
    fleet.m_store.m_refused_clients = {"i3"};
    fleet.m_isolated = {"i3"};
    restore(fleet, earlier);
    for (const int number : {1, 2}) {
        fleet.kill(number);
        fleet.start(number);
    }
    fleet.run_for(14000ms);
    const std::uint64_t written = record(1)["epoch"].get<std::uint64_t>();
    BOOST_TEST(written > forgotten);
    BOOST_TEST(record(1)["primary"] == record(3)["primary"]);
    fleet.m_store.m_refused_clients.clear();
    fleet.m_isolated.clear();
    fleet.run_for(3000ms);
    BOOST_TEST(record(3)["epoch"].get<std::uint64_t>() == written);
    for (const int number : {1, 2, 3}) {
        BOOST_TEST(write_succeeds(fleet, number));
    }
}

namespace {

/// An instance registers in the seconds that the store loses, and is then cut off from the store and
/// the others; it alone reaches orders-1. Restarting all others means that nobody knows of it. As long
/// as its writes may succeed, no replica may be promoted.
void check_lease_of_forgotten_instance(bool restarts_others) {
    test::gateway_fleet fleet(3);
    const auto earlier = fleet.m_store.back_up();
    fleet.start(4);
    fleet.run_for(2500ms);
    BOOST_REQUIRE(write_succeeds(fleet, 4));
    fleet.m_store.m_refused_clients = {"i4"};
    fleet.m_isolated = {"i4"};
    restore(fleet, earlier);
    for (const int number : {1, 2, 3}) {
        if (restarts_others) {
            fleet.kill(number);
            fleet.start(number);
        }
        fleet.m_upstreams.cut("i" + std::to_string(number), "orders-1");
    }
    for (int round = 0; round < 90; ++round) {
        const bool is_replaced =
            fleet.m_upstreams.at("orders-2").m_is_primary || fleet.m_upstreams.at("orders-3").m_is_primary;
        const bool is_acknowledged = write_succeeds(fleet, 4);
        BOOST_TEST(!(is_replaced && is_acknowledged));
        static_cast<void>(write_succeeds(fleet, 1 + round % 3));
    }
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
    BOOST_TEST(write_succeeds(fleet, 1));
}

}

BOOST_AUTO_TEST_CASE(the_lease_of_an_instance_that_the_store_forgot_holds_back_a_promotion) {
    check_lease_of_forgotten_instance(false);
}

BOOST_AUTO_TEST_CASE(a_lease_that_no_running_instance_knows_of_holds_back_a_promotion) {
    check_lease_of_forgotten_instance(true);
}

BOOST_AUTO_TEST_CASE(an_instance_that_left_is_not_counted_again_after_the_restore) {
    test::gateway_fleet fleet(6);
    fleet.run_for(5000ms);
    const auto earlier = fleet.m_store.back_up();
    bool left = false;
    fleet.instance(6).leave(2000ms, [&] { left = true; });
    fleet.run_for(3500ms);
    BOOST_REQUIRE(left);
    fleet.kill(6);
    fleet.run_for(3000ms);
    const auto instances = [&](int number) {
        return fleet.instance(number).state_dump()["instances"].get<int>();
    };
    BOOST_REQUIRE(instances(1) == 5);
    restore(fleet, earlier);
    for (int tick = 0; tick < 100; ++tick) {
        fleet.run_for(100ms);
        for (int number = 1; number <= 5; ++number) {
            BOOST_REQUIRE(instances(number) == 5);
        }
    }
}

/// Instances whose rows the older copy lacks hold their connections; nobody else may take their share.
BOOST_AUTO_TEST_CASE(instances_that_the_store_forgot_keep_their_shares_of_connections) {
    test::gateway_fleet fleet(3);
    const auto earlier = fleet.m_store.back_up();
    for (const int number : {4, 5, 6}) {
        fleet.start(number);
    }
    fleet.run_for(8000ms);
    const auto limit = [&](int number) {
        return fleet.instance(number)
            .state_dump()["groups"]["orders"]["pools"]["orders-1"]["limit"]
            .get<int>();
    };
    const int before = limit(1);
    restore(fleet, earlier);
    for (int tick = 0; tick < 100; ++tick) {
        fleet.run_for(100ms);
        for (int number = 1; number <= 6; ++number) {
            BOOST_REQUIRE(limit(number) == before);
        }
    }
}

/// The older copy lists an upstream as ready that drains, or that has left meanwhile.
BOOST_AUTO_TEST_CASE(an_upstream_that_drains_gets_no_work_after_the_store_forgot_it) {
    test::gateway_fleet fleet(2);
    const auto is_leaving = [&] {
        return fleet.instance(1)
            .state_dump()["groups"]["orders"]["pools"]["orders-3"]["leaving"]
            .get<bool>();
    };
    const gateway::upstream_registry before = fleet.m_upstreams.registry();
    fleet.m_upstreams.at("orders-3").m_entry.m_leaving = true;
    fleet.publish_registry();
    fleet.run_for(1000ms);
    BOOST_TEST(is_leaving());
    fleet.instance(1).adopt_registry(before, fleet.m_clock.now());
    BOOST_TEST(is_leaving());
    gateway::upstream_registry without = fleet.m_upstreams.registry();
    without.erase({"orders-3"});
    fleet.instance(1).adopt_registry(without, fleet.m_clock.now());
    fleet.run_for(5000ms);
    fleet.instance(1).adopt_registry(before, fleet.m_clock.now());
    fleet.run_for(500ms);
    BOOST_TEST(is_leaving());
    gateway::upstream_registry restarted = before;
    restarted.at({"orders-3"}).m_started_at_ms += 1000;
    fleet.instance(1).adopt_registry(restarted, fleet.m_clock.now());
    BOOST_TEST(!is_leaving());
}

/// Until a coordinator is elected, nobody but the instances that were running knows the newest record.
BOOST_AUTO_TEST_CASE(the_newest_record_is_stored_again_although_the_coordinator_has_ended) {
    test::gateway_fleet fleet(3);
    const auto earlier = fleet.m_store.back_up();
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(3000ms);
    const auto stored = [&] {
        return gateway::parse_group_record(fleet.m_store.value("anvilmount_groups", "orders")).value();
    };
    const group_record newest = stored();
    BOOST_REQUIRE(newest.m_primary.m_text != "orders-1");
    const int coordinator = fleet.coordinator();
    BOOST_REQUIRE(coordinator > 0);
    fleet.m_store.m_unreachable = true;
    fleet.run_for(2000ms);
    fleet.kill(coordinator);
    fleet.m_store.m_unreachable = false;
    fleet.m_store.restore(earlier);
    BOOST_TEST(stored().m_primary.m_text == "orders-1");
    fleet.run_for(2000ms);
    BOOST_TEST(stored().m_primary.m_text == newest.m_primary.m_text);
    BOOST_TEST(stored().m_term == newest.m_term);
}

BOOST_AUTO_TEST_CASE(a_large_fleet_that_restarts_serves_soon_after_the_store_is_back_from_a_copy) {
    constexpr int instances = 30;
    test::gateway_fleet fleet(instances);
    const auto earlier = fleet.m_store.back_up();
    fleet.run_for(6000ms);
    fleet.m_store.m_unreachable = true;
    fleet.run_for(900ms);
    for (int number = 1; number <= instances; ++number) {
        fleet.kill(number);
    }
    fleet.run_for(1100ms);
    fleet.m_store.m_unreachable = false;
    fleet.m_store.restore(earlier);
    for (int number = 1; number <= instances; ++number) {
        fleet.start(number);
    }
    fleet.run_for(2500ms);
    BOOST_TEST(fleet.coordinator() > 0);
    int served = 0;
    for (int number = 1; number <= instances; ++number) {
        const bool forwards = fleet.instance(number).forwarding_target("pay").has_value();
        served += !forwards && write_succeeds(fleet, number) ? 1 : 0;
    }
    BOOST_TEST(served > 0);
}
