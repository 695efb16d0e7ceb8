/// \file unknown_leases.cpp
/// An instance obtains a lease right before the metadata store comes back from an older copy, which does
/// not list it, and is cut off from the store and from the others; it alone reaches orders-1. As long as it
/// may use orders-1, no other upstream may become primary, and once the others can know that it does not,
/// they must not wait.
#include "support/gateway_fleet.hpp"

#include "anvilmount/decisions/confirmation_lease.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace anvilmount;
using namespace std::chrono_literals;
using kind = gateway::statement_kind;

namespace {

bool is_replaced(test::gateway_fleet& fleet) {
    return fleet.m_upstreams.at("orders-2").m_is_primary || fleet.m_upstreams.at("orders-3").m_is_primary;
}

/// Returns whether a read on a strongly consistent route of instance `number` runs at orders-1.
bool reads_at_old_primary(test::gateway_fleet& fleet, int number) {
    test::test_caller caller(fleet.instance(number), "pay");
    const std::size_t before = fleet.m_upstreams.m_runs.size();
    caller.send(kind::read, "READ probe");
    fleet.run_for(60ms);
    const auto& runs = fleet.m_upstreams.m_runs;
    return std::any_of(runs.begin() + static_cast<std::ptrdiff_t>(before), runs.end(),
                       [](const test::run_statement& each) {
                           return each.m_text == "READ probe" && each.m_upstream == "orders-1";
                       });
}

/// How a case goes; instance 4 is the one that is cut off.
struct unknown_lease {
    const char* m_name{""};
    std::function<void(test::gateway_fleet&)> m_before_backup{[](auto&) {}};
    /// Gives instance 4 its lease.
    std::function<void(test::gateway_fleet&)> m_obtain{[](auto& fleet) { fleet.start(4); }};
    milliseconds m_until_outage{300};
    milliseconds m_outage{1000};
    std::function<void(test::gateway_fleet&)> m_after_return{[](auto&) {}};
    int m_restores{1};
};

void cut_off(test::gateway_fleet& fleet) {
    fleet.m_store.m_refused_clients = {"i4"};
    fleet.m_isolated = {"i4"};
}

void play(const unknown_lease& test) {
    BOOST_TEST_CONTEXT(test.m_name << ", " << test.m_until_outage.count() << " ms before the outage") {
        test::gateway_fleet fleet(3);
        test.m_before_backup(fleet);
        const auto earlier = fleet.m_store.back_up();
        test.m_obtain(fleet);
        fleet.run_for(test.m_until_outage);
        for (int restored = 0; restored < test.m_restores; ++restored) {
            fleet.m_store.m_unreachable = true;
            fleet.run_for(test.m_outage);
            cut_off(fleet);
            fleet.m_store.m_unreachable = false;
            fleet.m_store.restore(earlier);
            fleet.run_for(restored + 1 < test.m_restores ? 700ms : 0ms);
        }
        test.m_after_return(fleet);
        for (const int number : {1, 2, 3}) {
            fleet.m_upstreams.cut("i" + std::to_string(number), "orders-1");
        }
        for (int round = 0; round < 220; ++round) {
            const bool was_replaced = is_replaced(fleet);
            const bool read = reads_at_old_primary(fleet, 4);
            BOOST_TEST(!(was_replaced && read));
            const bool wrote = fleet.write_succeeds(4, 40ms);
            BOOST_TEST(!(was_replaced && wrote));
        }
        BOOST_TEST(is_replaced(fleet));
        BOOST_TEST(fleet.write_succeeds(1, 400ms));
    }
}

void isolate(test::gateway_fleet& fleet) {
    fleet.start(4);
    fleet.m_isolated = {"i4"};
}

void leave_and_restart(test::gateway_fleet& fleet) {
    bool left = false;
    fleet.instance(4).leave(2000ms, [&] { left = true; });
    fleet.run_for(3500ms);
    BOOST_REQUIRE(left);
    fleet.kill(4);
    fleet.run_for(3000ms);
    fleet.start(4);
}

/// The store refuses the instance for longer than a lease.
void lapse(test::gateway_fleet& fleet) {
    fleet.m_store.m_refused_clients = {"i4"};
    fleet.m_isolated = {"i4"};
    fleet.run_for(24000ms);
    fleet.m_store.m_refused_clients.clear();
    fleet.m_isolated.clear();
}

/// The store goes away for 1 s and comes back as it was 3 s before.
void restore_from_before(test::gateway_fleet& fleet) {
    const auto earlier = fleet.m_store.back_up();
    fleet.run_for(3000ms);
    fleet.m_store.m_unreachable = true;
    fleet.run_for(1000ms);
    fleet.m_store.m_unreachable = false;
    fleet.m_store.restore(earlier);
}

void start_fourth(test::gateway_fleet& fleet) {
    fleet.start(4);
    fleet.run_for(5000ms);
}

}

/// An instance that knew the members took them for all that may hold a lease.
BOOST_AUTO_TEST_CASE(the_lease_of_an_instance_that_was_just_added_is_waited_for) {
    for (const milliseconds before : {20ms, 60ms, 300ms, 700ms, 1500ms, 2500ms}) {
        for (const milliseconds outage : {300ms, 1000ms, 2000ms}) {
            play({.m_name = "added", .m_until_outage = before, .m_outage = outage});
        }
    }
}

/// Nobody but the store hears of an instance that no other can be reached from.
BOOST_AUTO_TEST_CASE(the_lease_of_an_instance_that_never_reached_another_is_waited_for) {
    for (const milliseconds before : {20ms, 300ms, 1000ms, 2500ms}) {
        play({.m_name = "isolated", .m_obtain = isolate, .m_until_outage = before, .m_outage = 300ms});
    }
}

BOOST_AUTO_TEST_CASE(the_lease_of_an_instance_that_was_just_restarted_is_waited_for) {
    for (const milliseconds before : {20ms, 300ms, 1000ms}) {
        play({.m_name = "left and restarted",
              .m_before_backup = start_fourth,
              .m_obtain = leave_and_restart,
              .m_until_outage = before});
        play({.m_name = "killed and restarted",
              .m_before_backup = start_fourth,
              .m_obtain =
                  [](auto& fleet) {
                      fleet.kill(4);
                      fleet.run_for(500ms);
                      fleet.start(4);
                  },
              .m_until_outage = before});
    }
}

/// The members table lists such an instance, and nobody expects it to hold a lease.
BOOST_AUTO_TEST_CASE(the_lease_of_an_instance_that_was_long_silent_is_waited_for) {
    for (const milliseconds before : {500ms, 700ms, 1000ms, 1500ms}) {
        play({.m_name = "silent",
              .m_before_backup = start_fourth,
              .m_obtain = lapse,
              .m_until_outage = before});
    }
}

BOOST_AUTO_TEST_CASE(a_lease_is_waited_for_after_several_restores) {
    for (const int restores : {2, 3}) {
        play({.m_name = "restored again", .m_outage = 400ms, .m_restores = restores});
    }
}

/// A coordinator that has just started knows only what the others have written back.
BOOST_AUTO_TEST_CASE(a_lease_is_waited_for_by_instances_that_have_just_started) {
    for (const std::set<int>& restarted : {std::set{1}, std::set{2, 3}, std::set{1, 2, 3}}) {
        play({.m_name = "others restarted", .m_after_return = [&](auto& fleet) {
                  for (const int number : restarted) {
                      fleet.kill(number);
                      fleet.start(number);
                  }
              }});
    }
}

/// No lease is unknown where nobody has obtained one lately: a promotion waits for a provisional lease at
/// most, not for a whole one.
BOOST_AUTO_TEST_CASE(a_promotion_after_a_restore_does_not_wait_for_a_lease) {
    test::gateway_fleet fleet(3);
    restore_from_before(fleet);
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(confirmation_lease::provisional_duration + 2000ms);
    BOOST_TEST(is_replaced(fleet));
}

/// All processes restart a moment after the restore, and with them all that knew the leases.
BOOST_AUTO_TEST_CASE(what_the_witnesses_know_outlives_a_restart_of_all) {
    test::gateway_fleet fleet(3);
    restore_from_before(fleet);
    fleet.run_for(800ms);
    for (const int number : {1, 2, 3}) {
        fleet.kill(number);
        fleet.start(number);
    }
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(6000ms);
    BOOST_TEST(is_replaced(fleet));
}

/// The others must not wait for the lease of one of them that has ended, or the instance that starts
/// would be served by a provisional lease for long.
BOOST_AUTO_TEST_CASE(a_new_lease_becomes_a_whole_one_at_once) {
    test::gateway_fleet fleet(3);
    fleet.start(4);
    fleet.run_for(1000ms);
    const auto is_provisional = [&](int number) {
        return fleet.instance(number).state_dump()["lease_provisional"].get<bool>();
    };
    BOOST_TEST(!is_provisional(4));
    fleet.kill(1);
    fleet.start(1);
    fleet.start(5);
    fleet.run_for(1000ms);
    BOOST_TEST(!is_provisional(1));
    BOOST_TEST(!is_provisional(5));
}

/// A witness that has ended for good answers nobody. Its row must not weigh on each instance that starts.
BOOST_AUTO_TEST_CASE(the_row_of_a_witness_that_has_vanished_is_removed) {
    test::gateway_fleet fleet(3);
    fleet.lose_power(1);
    fleet.run_for(40000ms);
    BOOST_TEST(fleet.m_store.value(gateway::witnesses_table, "i1").empty());
    fleet.start(4);
    fleet.run_for(1000ms);
    BOOST_TEST(!fleet.instance(4).state_dump()["lease_provisional"].get<bool>());
}

/// A witness that vanished a moment ago may hold a lease, so an instance that starts keeps a provisional
/// one for as long, and must be able to serve with it.
BOOST_AUTO_TEST_CASE(a_witness_that_has_just_vanished_delays_a_whole_lease_by_its_own) {
    test::gateway_fleet fleet(4);
    fleet.run_for(5000ms);
    fleet.lose_power(1);
    fleet.start(5);
    fleet.run_for(1000ms);
    const auto is_provisional = [&] {
        return fleet.instance(5).state_dump()["lease_provisional"].get<bool>();
    };
    BOOST_TEST(is_provisional());
    for (int round = 0; round < 70; ++round) {
        BOOST_TEST(fleet.write_succeeds(5, 200ms));
    }
    BOOST_TEST(!is_provisional());
}
