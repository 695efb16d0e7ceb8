/// \file fleet_faults.cpp
/// Several gateway instances in virtual time, through changes of primary, lost active coordinators,
/// store outages and lost answers. Writes must go on, fencing tokens must only rise, and no instance
/// may use a primary that another has replaced.
#include "support/gateway_fleet.hpp"

#include "anvilmount/gateway/fleet_membership.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace anvilmount;
using namespace std::chrono_literals;
using kind = gateway::statement_kind;

namespace {

bool write_succeeds(test::gateway_fleet& fleet, int instance, milliseconds timeout = 1200ms) {
    return fleet.write_succeeds(instance, timeout);
}

void expect_writes_to_succeed(test::gateway_fleet& fleet, int instances) {
    for (int number = 1; number <= instances; ++number) {
        BOOST_TEST(write_succeeds(fleet, number, 100ms));
    }
}

/// Sends a write through every instance, so that each one notices a primary that does not answer.
void attempt_writes(test::gateway_fleet& fleet, int instances) {
    std::vector<std::unique_ptr<test::test_caller>> callers;
    for (int number = 1; number <= instances; ++number) {
        callers.push_back(std::make_unique<test::test_caller>(fleet.instance(number), "pay"));
        callers.back()->send(kind::write, "WRITE 2 b");
    }
    fleet.run_for(1500ms);
}

/// Returns an instance whose coordinator is on standby, after it was cut off from the store and the other
/// instances. It still reaches the old primary, which nobody else does.
int isolate_with_primary(test::gateway_fleet& fleet) {
    const int isolated = fleet.coordinator() == 1 ? 2 : 1;
    fleet.m_store.m_refused_clients.insert("i" + std::to_string(isolated));
    fleet.m_isolated.insert("i" + std::to_string(isolated));
    for (int number = 1; number <= 3; ++number) {
        if (number != isolated) {
            fleet.m_upstreams.cut("i" + std::to_string(number), "orders-1");
        }
    }
    return isolated;
}

/// Expects that a replica is promoted in the end, and that the writes of `isolated` at the old primary are
/// not acknowledged from then on.
void expect_one_primary(test::gateway_fleet& fleet, int isolated) {
    const int coordinator = fleet.coordinator();
    for (int round = 0; round < 40; ++round) {
        const bool replaced =
            fleet.m_upstreams.at("orders-2").m_is_primary || fleet.m_upstreams.at("orders-3").m_is_primary;
        const bool acknowledged = write_succeeds(fleet, isolated, 100ms);
        BOOST_TEST(!(replaced && acknowledged));
        attempt_writes(fleet, 0);
        test::test_caller other(fleet.instance(coordinator), "pay");
        other.send(kind::write, "WRITE 3 c");
        fleet.run_for(400ms);
    }
    BOOST_TEST(fleet.m_upstreams.m_promotions >= 1);
    BOOST_TEST(write_succeeds(fleet, coordinator));
}

}

BOOST_AUTO_TEST_CASE(all_instances_serve_and_one_is_coordinator) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    int coordinators = 0;
    for (int number = 1; number <= 3; ++number) {
        coordinators += fleet.instance(number).state_dump()["steward"] ? 1 : 0;
    }
    BOOST_TEST(coordinators == 1);
}

BOOST_AUTO_TEST_CASE(a_crashed_primary_is_replaced_within_two_seconds) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(2000ms);
    expect_writes_to_succeed(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

/// A primary that stops answering is replaced like one that has crashed.
BOOST_AUTO_TEST_CASE(a_silent_primary_is_replaced) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    fleet.m_upstreams.at("orders-1").m_silent = true;
    attempt_writes(fleet, 3);
    fleet.run_for(2000ms);
    expect_writes_to_succeed(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

/// A planned change: the candidate must hold every commit of the old primary when it takes over.
BOOST_AUTO_TEST_CASE(replacing_a_leaving_primary_loses_no_commit) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    fleet.m_upstreams.at("orders-1").m_entry.m_leaving = true;
    fleet.publish_registry();
    fleet.run_for(1500ms);
    expect_writes_to_succeed(fleet, 3);
    const log_position old = fleet.m_upstreams.at("orders-1").m_position;
    const bool second_is_primary = fleet.m_upstreams.at("orders-2").m_is_primary;
    const log_position now = fleet.m_upstreams.at(second_is_primary ? "orders-2" : "orders-3").m_position;
    BOOST_TEST((now >= old));
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

BOOST_AUTO_TEST_CASE(a_primary_that_only_one_instance_cannot_reach_is_kept) {
    test::gateway_fleet fleet(4);
    expect_writes_to_succeed(fleet, 4);
    fleet.m_upstreams.cut("i2", "orders-1");
    attempt_writes(fleet, 4);
    fleet.run_for(3000ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 0);
}

/// The active coordinator is killed between two failovers. The next one must order its promotion
/// with a higher fencing token.
BOOST_AUTO_TEST_CASE(a_new_coordinator_takes_over_with_a_higher_fencing_token) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(2000ms);
    const int coordinator = fleet.coordinator();
    BOOST_REQUIRE(coordinator > 0);
    const std::uint64_t first_token = fleet.m_token_holders.rbegin()->first;
    fleet.kill(coordinator);
    fleet.run_for(7000ms);
    fleet.m_upstreams.at("orders-1").m_down = false;
    fleet.m_upstreams.at("orders-1").m_is_primary = false;
    const bool second_is_primary = fleet.m_upstreams.at("orders-2").m_is_primary;
    fleet.m_upstreams.crash(second_is_primary ? "orders-2" : "orders-3");
    fleet.run_for(4000ms);
    BOOST_TEST(fleet.m_token_holders.rbegin()->first > first_token);
    BOOST_TEST(write_succeeds(fleet, coordinator == 1 ? 2 : 1));
}

/// Guards against split brain: as long as an isolated instance may still use the old primary, its
/// writes there must not be acknowledged once a replica is promoted.
BOOST_AUTO_TEST_CASE(no_replica_is_promoted_while_an_isolated_instance_may_use_the_old_primary) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    expect_one_primary(fleet, isolate_with_primary(fleet));
}

BOOST_AUTO_TEST_CASE(no_replica_is_promoted_while_an_instance_that_refuses_probes_may_use_the_old_primary) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    const int isolated = isolate_with_primary(fleet);
    fleet.m_refuses_probes = {"i" + std::to_string(isolated)};
    expect_one_primary(fleet, isolated);
}

/// Only live instances decide on a primary. Two of six have lost the store; of the other four, two
/// reach the primary, which is enough to keep it.
BOOST_AUTO_TEST_CASE(a_primary_that_half_of_the_live_instances_reach_is_kept) {
    test::gateway_fleet fleet(6);
    expect_writes_to_succeed(fleet, 6);
    const int coordinator = fleet.coordinator();
    std::vector<int> others;
    for (int number = 1; number <= 6; ++number) {
        if (number != coordinator) {
            others.push_back(number);
        }
    }
    for (const int cut_from_store : {others[3], others[4]}) {
        fleet.m_store.m_refused_clients.insert("i" + std::to_string(cut_from_store));
        fleet.m_isolated.insert("i" + std::to_string(cut_from_store));
    }
    fleet.run_for(8000ms);
    for (const int cut_from_primary : {coordinator, others[0]}) {
        fleet.m_upstreams.cut("i" + std::to_string(cut_from_primary), "orders-1");
    }
    for (int round = 0; round < 3; ++round) {
        attempt_writes(fleet, 6);
        BOOST_TEST(write_succeeds(fleet, others[1], 100ms));
    }
    BOOST_TEST(fleet.m_upstreams.m_promotions == 0);
}

/// A vanished instance cannot acknowledge the change of primary, so the promotion waits until its
/// lease has expired.
BOOST_AUTO_TEST_CASE(a_promotion_waits_for_the_lease_of_a_vanished_instance) {
    test::gateway_fleet fleet(4);
    expect_writes_to_succeed(fleet, 4);
    const int coordinator = fleet.coordinator();
    fleet.lose_power(coordinator == 1 ? 2 : 1);
    fleet.run_for(4000ms);
    fleet.m_upstreams.crash("orders-1");
    fleet.m_upstreams.at("orders-1").m_down = false;
    fleet.m_upstreams.at("orders-1").m_silent = true;
    // The lease is 12 s, noticed up to 2 s late, and 4 s of it have passed; the rest is a second
    // poll and the promotion itself.
    fleet.run_for(12500ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
    BOOST_TEST(write_succeeds(fleet, coordinator));
}

/// The store answers no watches. Instances must learn of the new record by their heartbeats'
/// conflicts.
BOOST_AUTO_TEST_CASE(a_change_of_primary_reaches_instances_whose_watches_are_not_answered) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    fleet.m_store.m_silent_watches = true;
    fleet.m_upstreams.at("orders-1").m_entry.m_leaving = true;
    fleet.publish_registry();
    fleet.run_for(8000ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
    expect_writes_to_succeed(fleet, 3);
}

/// Every instance loses the primary while one of them is isolated and keeps the promotion waiting.
/// The primary recovers within that time.
BOOST_AUTO_TEST_CASE(a_primary_that_recovers_before_a_promotion_is_kept) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    const int coordinator = fleet.coordinator();
    const int isolated = coordinator == 1 ? 2 : 1;
    fleet.m_store.m_refused_clients.insert("i" + std::to_string(isolated));
    fleet.m_isolated.insert("i" + std::to_string(isolated));
    for (int number = 1; number <= 3; ++number) {
        fleet.m_upstreams.cut("i" + std::to_string(number), "orders-1");
    }
    attempt_writes(fleet, 3);
    fleet.run_for(3000ms);
    fleet.m_upstreams.heal_paths();
    fleet.m_store.m_refused_clients.clear();
    fleet.m_isolated.clear();
    fleet.run_for(3000ms);
    expect_writes_to_succeed(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 0);
}

BOOST_AUTO_TEST_CASE(a_store_outage_shorter_than_the_lease_stops_no_writes) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    fleet.m_store.m_unreachable = true;
    fleet.run_for(8000ms);
    expect_writes_to_succeed(fleet, 3);
    fleet.m_store.m_unreachable = false;
    fleet.run_for(3000ms);
    expect_writes_to_succeed(fleet, 3);
}

/// An instance that cannot poll must not take the others for dead and claim their connections.
BOOST_AUTO_TEST_CASE(instances_that_the_store_refuses_keep_their_shares_of_connections) {
    test::gateway_fleet fleet(6);
    expect_writes_to_succeed(fleet, 6);
    const auto limit = [&](int number) {
        return fleet.instance(number)
            .state_dump()["groups"]["orders"]["pools"]["orders-1"]["limit"]
            .get<int>();
    };
    const int before = limit(2);
    fleet.m_store.m_refused_clients = {"i2", "i3"};
    for (int second = 0; second < 11; ++second) {
        fleet.run_for(1000ms);
        for (const int number : {2, 3}) {
            BOOST_TEST(limit(number) == before);
            BOOST_TEST(!fleet.instance(number).forwarding_target("pay").has_value());
        }
    }
}

/// The heartbeat's answer arrives after the takeover with a version older than that of the
/// coordinator record. Taking it for a renewal would make the newly active coordinator step down.
BOOST_AUTO_TEST_CASE(a_heartbeat_sent_before_the_takeover_does_not_renew_the_coordinator_row) {
    test::gateway_fleet fleet(2);
    expect_writes_to_succeed(fleet, 2);
    const int coordinator = fleet.coordinator();
    const int successor = coordinator == 1 ? 2 : 1;
    const std::string name = "i" + std::to_string(successor);
    const auto is_coordinator = [&] {
        return fleet.instance(successor).state_dump()["steward"].get<bool>();
    };
    fleet.m_store.m_slow_heartbeat_clients.insert(name);
    fleet.kill(coordinator);
    for (int tick = 0; tick < 800 && !is_coordinator(); ++tick) {
        fleet.run_for(10ms);
    }
    BOOST_REQUIRE(is_coordinator());
    for (int tick = 0; tick < 600; ++tick) {
        fleet.run_for(10ms);
        BOOST_TEST(is_coordinator());
    }
}

/// Without the store the lease expires, after which another instance may have replaced the primary.
BOOST_AUTO_TEST_CASE(a_store_outage_longer_than_the_lease_stops_writes) {
    test::gateway_fleet fleet(2);
    expect_writes_to_succeed(fleet, 2);
    fleet.m_store.m_unreachable = true;
    fleet.run_for(20000ms);
    BOOST_TEST(!write_succeeds(fleet, 1));
    BOOST_TEST(!fleet.instance(1).is_ready());
    fleet.m_store.m_unreachable = false;
    fleet.run_for(4000ms);
    expect_writes_to_succeed(fleet, 2);
}

/// The store makes changes but its answers are lost, so heartbeats, takeovers and records have
/// unknown outcomes.
BOOST_AUTO_TEST_CASE(writes_succeed_after_a_failover_during_which_store_answers_are_lost) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    fleet.m_store.m_loses_change_answers = true;
    fleet.run_for(5000ms);
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(4000ms);
    fleet.m_store.m_loses_change_answers = false;
    fleet.run_for(6000ms);
    expect_writes_to_succeed(fleet, 3);
}

/// The promotion takes effect but is reported as failed. The status of the upstreams shows the new
/// primary, which must not be promoted again.
BOOST_AUTO_TEST_CASE(a_promotion_whose_answer_is_lost_is_confirmed_by_upstream_status) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    fleet.m_loses_promotion_answers = true;
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(3000ms);
    expect_writes_to_succeed(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

BOOST_AUTO_TEST_CASE(several_groups_are_switched_at_once_under_one_fencing_token) {
    test::gateway_fleet fleet(3, 3);
    expect_writes_to_succeed(fleet, 3);
    fleet.m_upstreams.crash("orders-1");
    fleet.m_upstreams.crash("group2-1");
    fleet.m_upstreams.crash("group3-1");
    fleet.run_for(3000ms);
    expect_writes_to_succeed(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 3);
    BOOST_TEST(fleet.m_token_holders.size() == 1U);
}

/// All instances restart while the registrations have expired. A primary that is not registered yet
/// must not count as gone.
BOOST_AUTO_TEST_CASE(no_primary_is_replaced_while_the_registry_is_incomplete) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    for (int number = 1; number <= 3; ++number) {
        fleet.kill(number);
        fleet.start(number, false);
    }
    fleet.run_for(6000ms);
    // Most registrations expired while the store was unavailable; they return one by one.
    auto registered = fleet.m_upstreams.registry();
    registered.erase({"orders-1"});
    for (int number = 1; number <= 3; ++number) {
        fleet.instance(number).adopt_registry(registered, fleet.m_clock.now());
    }
    fleet.run_for(2000ms);
    fleet.publish_registry();
    fleet.run_for(1500ms);
    expect_writes_to_succeed(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 0);
}

BOOST_AUTO_TEST_CASE(all_instances_restarted_together_serve_at_once) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    for (int number = 1; number <= 3; ++number) {
        fleet.kill(number);
    }
    fleet.run_for(500ms);
    for (int number = 1; number <= 3; ++number) {
        fleet.start(number);
    }
    fleet.run_for(200ms);
    expect_writes_to_succeed(fleet, 3);
}

/// The active coordinator needs a connection to read the upstreams' status, also when sessions of
/// other instances take every connection that an upstream allows.
BOOST_AUTO_TEST_CASE(a_primary_is_replaced_while_sessions_of_other_instances_use_all_connections) {
    // 6 of 30 instances hold connections to the group. The others serve sessions that no holder
    // accepts, each with a connection of its own.
    test::gateway_fleet fleet(30);
    fleet.run_for(3000ms);
    const int coordinator = fleet.coordinator();
    BOOST_REQUIRE(fleet.instance(coordinator).forwarding_target("scan").has_value());
    std::vector<std::unique_ptr<test::test_caller>> callers;
    const auto send_everywhere = [&] {
        callers.clear();
        for (int number = 1; number <= 30; ++number) {
            for (int each = 0; each < 3 && number != coordinator; ++each) {
                callers.push_back(std::make_unique<test::test_caller>(fleet.instance(number), "scan"));
                callers.back()->send(kind::read, "READ 1");
            }
        }
        fleet.run_for(150ms);
    };
    for (int round = 0; round < 20; ++round) {
        send_everywhere();
    }
    fleet.m_upstreams.at("orders-1").m_silent = true;
    for (int round = 0; round < 40 && fleet.m_upstreams.m_promotions == 0; ++round) {
        send_everywhere();
    }
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

/// Without that connection the active coordinator could not read the status of the candidates.
BOOST_AUTO_TEST_CASE(the_coordinator_keeps_a_connection_to_upstreams_of_groups_that_others_hold) {
    test::gateway_fleet fleet(30);
    fleet.run_for(12000ms);
    const int coordinator = fleet.coordinator();
    for (int number = 1; number <= 30; ++number) {
        if (!fleet.instance(number).forwarding_target("pay")) {
            continue;
        }
        const auto dump = fleet.instance(number).state_dump();
        for (const auto& [id, pool] : dump["groups"]["orders"]["pools"].items()) {
            BOOST_TEST_CONTEXT("instance " << number << ", " << id) {
                BOOST_TEST(pool["idle"].get<int>() == (number == coordinator ? 1 : 0));
            }
        }
    }
    BOOST_TEST(fleet.instance(coordinator).forwarding_target("pay").has_value());
}

/// A heartbeat that the store applies late overwrites a newer one. The instance's later heartbeats do
/// not repeat its record by themselves, and a change of primary would wait for its acknowledgement.
BOOST_AUTO_TEST_CASE(an_instance_restores_its_row_after_an_older_heartbeat_overwrote_it) {
    test::gateway_fleet fleet(3);
    fleet.run_for(10000ms);
    const std::string key = gateway::member_prefix + "i2";
    const std::string newest = fleet.m_store.value(gateway::members_table, key);
    auto older = gateway::parse_member_record(newest);
    BOOST_REQUIRE(older.has_value());
    older->m_acknowledged_version = store_version{};
    fleet.m_store.put(gateway::members_table, key, gateway::to_text(*older));
    fleet.run_for(6000ms);
    BOOST_TEST(fleet.m_store.value(gateway::members_table, key) == newest);
    fleet.m_upstreams.at("orders-1").m_entry.m_leaving = true;
    fleet.publish_registry();
    fleet.run_for(4000ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
    expect_writes_to_succeed(fleet, 3);
}

/// Heartbeats that a relay publishes for others are as good as their own: as long as one of an
/// isolated instance may still be in force, no replica is promoted past it.
BOOST_AUTO_TEST_CASE(a_lease_renewed_through_a_relay_holds_back_a_change_of_primary) {
    test::gateway_fleet fleet(30);
    fleet.run_for(12000ms);
    const int coordinator = fleet.coordinator();
    const int isolated = coordinator == 30 ? 29 : 30;
    const std::string name = "i" + std::to_string(isolated);
    fleet.m_store.m_refused_clients = {name};
    fleet.m_isolated = {name};
    fleet.m_upstreams.at("orders-1").m_entry.m_leaving = true;
    fleet.publish_registry();
    // The lease of 10 s was renewed at most 4.5 s before: an interval and a batch delay.
    fleet.run_for(5000ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 0);
    fleet.run_for(15000ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
    BOOST_TEST(!write_succeeds(fleet, isolated, 100ms));
}

/// An instance of the version before judges others by the changes of their rows. If a live row stood
/// still for a lease, it would promote past an instance that still uses the old primary.
BOOST_AUTO_TEST_CASE(records_are_repeated_while_an_instance_of_the_version_before_is_registered) {
    test::gateway_fleet fleet(3);
    gateway::member_record old{.m_name = "old", .m_incarnation = "old"};
    const auto version_of = [&](const std::string& name) {
        const auto table = fleet.m_store.read_snapshot("i1", gateway::members_table).m_answer;
        const auto row = std::find_if(table.m_rows.begin(), table.m_rows.end(), [&](const auto& each) {
            return each.m_key == gateway::member_prefix + name;
        });
        return row == table.m_rows.end() ? 0 : row->m_version.m_number;
    };
    const auto heartbeat = [&] {
        old.m_leaving = !old.m_leaving;
        fleet.m_store.put(gateway::members_table, gateway::member_prefix + "old", gateway::to_text(old));
        fleet.run_for(1500ms);
    };
    heartbeat();
    heartbeat();
    heartbeat();
    for (int period = 0; period < 6; ++period) {
        const std::uint64_t before = version_of("i2");
        heartbeat();
        heartbeat();
        BOOST_TEST(version_of("i2") > before);
    }
    const std::string row = fleet.m_store.value(gateway::members_table, gateway::member_prefix + "i2");
    BOOST_TEST(!gateway::parse_member_record(row)->m_acknowledged_epochs.empty());
}

BOOST_AUTO_TEST_CASE(a_successor_does_not_go_back_to_the_old_primary_while_a_promotion_is_under_way) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    const int first = fleet.coordinator();
    BOOST_REQUIRE(first > 0);
    for (const char* instance : {"i1", "i2", "i3"}) {
        fleet.m_upstreams.cut(instance, "orders-1");
    }
    std::vector<std::unique_ptr<test::test_caller>> callers;
    for (int number = 1; number <= 3; ++number) {
        callers.push_back(std::make_unique<test::test_caller>(fleet.instance(number), "pay"));
        callers.back()->send(kind::write, "WRITE 2 b");
    }
    for (int step = 0; step < 500 && fleet.m_upstreams.m_promotions == 0; ++step) {
        fleet.run_for(10ms);
    }
    BOOST_REQUIRE(fleet.m_upstreams.m_promotions == 1);
    fleet.instance(first).leave(6000ms, [] {});
    fleet.m_upstreams.heal_paths();
    fleet.run_for(550ms);
    BOOST_REQUIRE(fleet.coordinator() != first);
    const auto writes_at_old_primary = [&] {
        return std::count_if(fleet.m_upstreams.m_runs.begin(), fleet.m_upstreams.m_runs.end(),
                             [](const test::run_statement& each) {
                                 return each.m_upstream == "orders-1" && each.m_text.starts_with("WRITE");
                             });
    };
    const auto before = writes_at_old_primary();
    for (int round = 0; round < 20; ++round) {
        static_cast<void>(write_succeeds(fleet, 1 + (first + round % 2) % 3, 200ms));
    }
    BOOST_TEST(writes_at_old_primary() == before);
    BOOST_TEST(write_succeeds(fleet, 1 + first % 3, 200ms));
}

/// The fixture checks that no order has an older fencing token than one before.
BOOST_AUTO_TEST_CASE(a_coordinator_that_was_frozen_after_its_confirmation_orders_nothing) {
    test::gateway_fleet fleet(3);
    expect_writes_to_succeed(fleet, 3);
    const std::string frozen = "i" + std::to_string(fleet.coordinator());
    bool was_confirmed = false;
    fleet.m_store.m_answer_delay = [&](const std::string& client, const gateway::store_change& change) {
        const bool confirms = client == frozen && change.m_writes.size() == 1 &&
                              change.m_writes.front().m_key == gateway::coordinator_key;
        if (!confirms || was_confirmed) {
            return 0ms;
        }
        was_confirmed = true;
        fleet.m_store.m_refused_clients = {frozen};
        fleet.m_isolated = {frozen};
        return 20000ms;
    };
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(18000ms);
    BOOST_REQUIRE(was_confirmed);
    BOOST_REQUIRE(fleet.m_token_holders.size() == 1U);
    BOOST_TEST(fleet.m_token_holders.begin()->second != frozen);
    const int promotions = fleet.m_upstreams.m_promotions;
    fleet.run_for(4000ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == promotions);
}

BOOST_AUTO_TEST_CASE(a_deregistration_that_the_store_carries_out_late_does_not_hide_the_next_process) {
    test::gateway_fleet fleet(3);
    const int coordinator = fleet.coordinator();
    const int restarted = coordinator == 1 ? 2 : 1;
    fleet.m_store.m_change_delay = [](const std::string&, const gateway::store_change& change) {
        return change.m_removals.empty() ? 0ms : 4000ms;
    };
    bool ended = false;
    fleet.instance(restarted).leave(6000ms, [&] { ended = true; });
    for (int step = 0; step < 1000 && !ended; ++step) {
        fleet.run_for(10ms);
    }
    BOOST_REQUIRE(ended);
    fleet.kill(restarted);
    fleet.start(restarted);
    fleet.run_for(3000ms);
    const std::string row = gateway::member_prefix + "i" + std::to_string(restarted);
    const std::string registered = fleet.m_store.value(gateway::members_table, row);
    BOOST_REQUIRE(!registered.empty());
    fleet.run_for(1500ms);
    BOOST_TEST(fleet.m_store.value(gateway::members_table, row) == registered);
    fleet.run_for(6000ms);
    BOOST_TEST(fleet.instance(coordinator).state_dump()["instances"].get<int>() == 3);
}

BOOST_AUTO_TEST_CASE(an_instance_restores_its_row_after_its_predecessors_heartbeat_overwrote_it) {
    test::gateway_fleet fleet(3);
    const int restarted = fleet.coordinator() == 1 ? 2 : 1;
    const std::string row = gateway::member_prefix + "i" + std::to_string(restarted);
    const std::string predecessor = fleet.m_store.value(gateway::members_table, row);
    fleet.kill(restarted);
    fleet.start(restarted);
    fleet.run_for(5000ms);
    const std::string registered = fleet.m_store.value(gateway::members_table, row);
    BOOST_REQUIRE(registered != predecessor);
    fleet.m_store.put(gateway::members_table, row, predecessor);
    fleet.run_for(4000ms);
    BOOST_TEST(fleet.m_store.value(gateway::members_table, row) == registered);
}
