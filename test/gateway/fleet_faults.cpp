/// \file fleet_faults.cpp
/// Several instances through changes of primary, lost stewards, store outages
/// and lost answers: writes go on, tokens only rise, and no instance uses a
/// primary that another has replaced.
#include "support/gateway_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;
using kind = gateway::statement_kind;

namespace {

/// Writes once at an instance and returns whether it was acknowledged.
bool writes(test::gateway_fleet& fleet, int instance, milliseconds patience = 1200ms) {
    test::test_caller caller(fleet.instance(instance), "pay");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(patience);
    return !caller.m_answers.empty() && caller.m_answers[0].succeeded();
}

void touch_all(test::gateway_fleet& fleet, int instances) {
    for (int number = 1; number <= instances; ++number) {
        BOOST_TEST(writes(fleet, number, 100ms));
    }
}

/// Lets every instance notice that a primary is gone.
void try_all(test::gateway_fleet& fleet, int instances) {
    std::vector<std::unique_ptr<test::test_caller>> callers;
    for (int number = 1; number <= instances; ++number) {
        callers.push_back(std::make_unique<test::test_caller>(fleet.instance(number), "pay"));
        callers.back()->send(kind::write, "WRITE 2 b");
    }
    fleet.run_for(1500ms);
}

int steward_of(test::gateway_fleet& fleet, int instances) {
    for (int number = 1; number <= instances; ++number) {
        if (fleet.instance(number).state_dump()["steward"]) {
            return number;
        }
    }
    return 0;
}

}

BOOST_AUTO_TEST_CASE(all_instances_serve_and_one_is_steward) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    int stewards = 0;
    for (int number = 1; number <= 3; ++number) {
        stewards += fleet.instance(number).state_dump()["steward"] ? 1 : 0;
    }
    BOOST_TEST(stewards == 1);
}

BOOST_AUTO_TEST_CASE(a_crashed_primary_is_replaced_within_two_seconds) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(2000ms);
    touch_all(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

BOOST_AUTO_TEST_CASE(a_silent_primary_is_replaced) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    fleet.m_upstreams.at("orders-1").m_silent = true;
    try_all(fleet, 3);
    fleet.run_for(2000ms);
    touch_all(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

BOOST_AUTO_TEST_CASE(a_leaving_primary_hands_over_without_losing_a_commit) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    fleet.m_upstreams.at("orders-1").m_entry.m_leaving = true;
    fleet.publish_registry();
    fleet.run_for(1500ms);
    touch_all(fleet, 3);
    const log_position old = fleet.m_upstreams.at("orders-1").m_position;
    const bool second_leads = fleet.m_upstreams.at("orders-2").m_leads;
    const log_position now = fleet.m_upstreams.at(second_leads ? "orders-2" : "orders-3").m_position;
    BOOST_TEST((now >= old));
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

BOOST_AUTO_TEST_CASE(a_primary_that_only_one_instance_misses_stays) {
    test::gateway_fleet fleet(4);
    touch_all(fleet, 4);
    fleet.m_upstreams.cut("i2", "orders-1");
    try_all(fleet, 4);
    fleet.run_for(3000ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 0);
}

BOOST_AUTO_TEST_CASE(a_successor_takes_over_with_a_higher_token) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(2000ms);
    const int steward = steward_of(fleet, 3);
    BOOST_REQUIRE(steward > 0);
    const std::uint64_t first_token = fleet.m_token_holders.rbegin()->first;
    fleet.kill(steward);
    fleet.run_for(7000ms);
    fleet.m_upstreams.at("orders-1").m_down = false;
    fleet.m_upstreams.at("orders-1").m_leads = false;
    const bool second_leads = fleet.m_upstreams.at("orders-2").m_leads;
    fleet.m_upstreams.crash(second_leads ? "orders-2" : "orders-3");
    fleet.run_for(4000ms);
    BOOST_TEST(fleet.m_token_holders.rbegin()->first > first_token);
    BOOST_TEST(writes(fleet, steward == 1 ? 2 : 1));
}

BOOST_AUTO_TEST_CASE(nobody_is_promoted_past_an_instance_that_may_still_write_at_the_old_primary) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    const int steward = steward_of(fleet, 3);
    const int isolated = steward == 1 ? 2 : 1;
    // The isolated instance reaches the old primary but neither the store nor anyone else does.
    fleet.m_store.m_turned_away.insert("i" + std::to_string(isolated));
    fleet.m_alone.insert("i" + std::to_string(isolated));
    for (int number = 1; number <= 3; ++number) {
        if (number != isolated) {
            fleet.m_upstreams.cut("i" + std::to_string(number), "orders-1");
        }
    }
    for (int round = 0; round < 40; ++round) {
        const bool replaced =
            fleet.m_upstreams.at("orders-2").m_leads || fleet.m_upstreams.at("orders-3").m_leads;
        const bool acknowledged = writes(fleet, isolated, 100ms);
        BOOST_TEST(!(replaced && acknowledged));
        try_all(fleet, 0);
        test::test_caller other(fleet.instance(steward), "pay");
        other.send(kind::write, "WRITE 3 c");
        fleet.run_for(400ms);
    }
    BOOST_TEST(fleet.m_upstreams.m_promotions >= 1);
    BOOST_TEST(writes(fleet, steward));
}

BOOST_AUTO_TEST_CASE(a_primary_that_half_of_those_heard_of_reach_is_kept) {
    test::gateway_fleet fleet(6);
    touch_all(fleet, 6);
    const int steward = steward_of(fleet, 6);
    std::vector<int> others;
    for (int number = 1; number <= 6; ++number) {
        if (number != steward) {
            others.push_back(number);
        }
    }
    for (const int cut_from_store : {others[3], others[4]}) {
        fleet.m_store.m_turned_away.insert("i" + std::to_string(cut_from_store));
        fleet.m_alone.insert("i" + std::to_string(cut_from_store));
    }
    fleet.run_for(8000ms);
    for (const int cut_from_primary : {steward, others[0]}) {
        fleet.m_upstreams.cut("i" + std::to_string(cut_from_primary), "orders-1");
    }
    for (int round = 0; round < 3; ++round) {
        try_all(fleet, 6);
        BOOST_TEST(writes(fleet, others[1], 100ms));
    }
    BOOST_TEST(fleet.m_upstreams.m_promotions == 0);
}

BOOST_AUTO_TEST_CASE(an_instance_that_vanished_is_waited_for_as_long_as_its_lease) {
    test::gateway_fleet fleet(4);
    touch_all(fleet, 4);
    const int steward = steward_of(fleet, 4);
    fleet.lose_power(steward == 1 ? 2 : 1);
    fleet.run_for(4000ms);
    fleet.m_upstreams.crash("orders-1");
    fleet.m_upstreams.at("orders-1").m_down = false;
    fleet.m_upstreams.at("orders-1").m_silent = true;
    // 12 s of lease, seen up to 2 s late, 4 s of it are over; a second look and the promotion itself.
    fleet.run_for(12500ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
    BOOST_TEST(writes(fleet, steward));
}

BOOST_AUTO_TEST_CASE(a_change_of_primary_reaches_an_instance_whose_feeds_are_silent) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    fleet.m_store.m_silent_feeds = true;
    fleet.m_upstreams.at("orders-1").m_entry.m_leaving = true;
    fleet.publish_registry();
    fleet.run_for(8000ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
    touch_all(fleet, 3);
}

BOOST_AUTO_TEST_CASE(a_primary_that_is_back_in_time_goes_on) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    const int steward = steward_of(fleet, 3);
    const int isolated = steward == 1 ? 2 : 1;
    fleet.m_store.m_turned_away.insert("i" + std::to_string(isolated));
    fleet.m_alone.insert("i" + std::to_string(isolated));
    for (int number = 1; number <= 3; ++number) {
        fleet.m_upstreams.cut("i" + std::to_string(number), "orders-1");
    }
    try_all(fleet, 3);
    fleet.run_for(3000ms);
    fleet.m_upstreams.heal();
    fleet.m_store.m_turned_away.clear();
    fleet.m_alone.clear();
    fleet.run_for(3000ms);
    touch_all(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 0);
}

BOOST_AUTO_TEST_CASE(a_store_outage_of_some_seconds_stops_nothing) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    fleet.m_store.m_away = true;
    fleet.run_for(8000ms);
    touch_all(fleet, 3);
    fleet.m_store.m_away = false;
    fleet.run_for(3000ms);
    touch_all(fleet, 3);
}

BOOST_AUTO_TEST_CASE(instances_without_the_store_keep_their_shares_of_connections) {
    test::gateway_fleet fleet(6);
    touch_all(fleet, 6);
    const auto limit = [&](int number) {
        return fleet.instance(number)
            .state_dump()["groups"]["orders"]["pools"]["orders-1"]["limit"]
            .get<int>();
    };
    const int before = limit(2);
    fleet.m_store.m_turned_away = {"i2", "i3"};
    for (int second = 0; second < 11; ++second) {
        fleet.run_for(1000ms);
        for (const int number : {2, 3}) {
            BOOST_TEST(limit(number) == before);
            BOOST_TEST(!fleet.instance(number).forwarding_target("pay").has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_heartbeat_sent_before_the_stewardship_is_no_renewal_of_it) {
    test::gateway_fleet fleet(2);
    touch_all(fleet, 2);
    const int steward = steward_of(fleet, 2);
    const int successor = steward == 1 ? 2 : 1;
    const std::string name = "i" + std::to_string(successor);
    const auto is_coordinator = [&] {
        return fleet.instance(successor).state_dump()["steward"].get<bool>();
    };
    // Its heartbeat is answered after it has taken over, with an older version than the steward's row.
    fleet.m_store.m_slow_heartbeats.insert(name);
    fleet.kill(steward);
    for (int tick = 0; tick < 800 && !is_coordinator(); ++tick) {
        fleet.run_for(10ms);
    }
    BOOST_REQUIRE(is_coordinator());
    for (int tick = 0; tick < 600; ++tick) {
        fleet.run_for(10ms);
        BOOST_TEST(is_coordinator());
    }
}

BOOST_AUTO_TEST_CASE(without_the_store_no_primary_is_used_for_ever) {
    test::gateway_fleet fleet(2);
    touch_all(fleet, 2);
    fleet.m_store.m_away = true;
    fleet.run_for(20000ms);
    BOOST_TEST(!writes(fleet, 1));
    BOOST_TEST(!fleet.instance(1).is_ready());
    fleet.m_store.m_away = false;
    fleet.run_for(4000ms);
    touch_all(fleet, 2);
}

BOOST_AUTO_TEST_CASE(lost_answers_of_the_store_do_no_harm) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    fleet.m_store.m_loses_change_answers = true;
    fleet.run_for(5000ms);
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(4000ms);
    fleet.m_store.m_loses_change_answers = false;
    fleet.run_for(6000ms);
    touch_all(fleet, 3);
}

BOOST_AUTO_TEST_CASE(a_promotion_whose_answer_is_lost_is_settled_by_what_the_upstreams_say) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    fleet.m_loses_promotion_answers = true;
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(3000ms);
    touch_all(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
}

BOOST_AUTO_TEST_CASE(two_groups_change_their_primaries_at_once_under_one_token) {
    test::gateway_fleet fleet(3, 3);
    touch_all(fleet, 3);
    fleet.m_upstreams.crash("orders-1");
    fleet.m_upstreams.crash("group2-1");
    fleet.m_upstreams.crash("group3-1");
    fleet.run_for(3000ms);
    touch_all(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 3);
    BOOST_TEST(fleet.m_token_holders.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_instance_that_knows_no_registrations_yet_replaces_no_primary) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    for (int number = 1; number <= 3; ++number) {
        fleet.kill(number);
        fleet.start(number, false);
    }
    fleet.run_for(6000ms);
    // Most registrations had lapsed while the store was away; they come back one by one.
    auto registered = fleet.m_upstreams.registry();
    registered.erase({"orders-1"});
    for (int number = 1; number <= 3; ++number) {
        fleet.instance(number).adopt_registry(registered);
    }
    fleet.run_for(2000ms);
    fleet.publish_registry();
    fleet.run_for(1500ms);
    touch_all(fleet, 3);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 0);
}

BOOST_AUTO_TEST_CASE(all_instances_killed_at_once_serve_again_at_once) {
    test::gateway_fleet fleet(3);
    touch_all(fleet, 3);
    for (int number = 1; number <= 3; ++number) {
        fleet.kill(number);
    }
    fleet.run_for(500ms);
    for (int number = 1; number <= 3; ++number) {
        fleet.start(number);
    }
    fleet.run_for(200ms);
    touch_all(fleet, 3);
}

BOOST_AUTO_TEST_CASE(a_primary_is_replaced_while_sessions_elsewhere_take_all_connections) {
    // 6 of 30 hold the group; the others serve sessions that no holder would take, a connection each.
    test::gateway_fleet fleet(30);
    fleet.run_for(3000ms);
    const int steward = steward_of(fleet, 30);
    BOOST_REQUIRE(fleet.instance(steward).forwarding_target("scan").has_value());
    std::vector<std::unique_ptr<test::test_caller>> callers;
    const auto send_everywhere = [&] {
        callers.clear();
        for (int number = 1; number <= 30; ++number) {
            for (int each = 0; each < 3 && number != steward; ++each) {
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

BOOST_AUTO_TEST_CASE(a_steward_keeps_a_connection_to_upstreams_of_groups_that_it_does_not_hold) {
    test::gateway_fleet fleet(30);
    fleet.run_for(12000ms);
    const int steward = steward_of(fleet, 30);
    for (int number = 1; number <= 30; ++number) {
        if (!fleet.instance(number).forwarding_target("pay")) {
            continue;
        }
        const auto dump = fleet.instance(number).state_dump();
        for (const auto& [id, pool] : dump["groups"]["orders"]["pools"].items()) {
            BOOST_TEST_CONTEXT("instance " << number << ", " << id) {
                BOOST_TEST(pool["idle"].get<int>() == (number == steward ? 1 : 0));
            }
        }
    }
    BOOST_TEST(fleet.instance(steward).forwarding_target("pay").has_value());
}
