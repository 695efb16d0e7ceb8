/// \file store_relay.cpp
/// Instances that the store refuses, and large fleets, reach the store through other instances that
/// relay their requests.
#include "support/gateway_fleet.hpp"

#include "anvilmount/gateway/store_relay.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace anvilmount;
using namespace std::chrono_literals;
using kind = gateway::statement_kind;

namespace {

bool write_succeeds(test::gateway_fleet& fleet, int instance) {
    return fleet.write_succeeds(instance, 300ms);
}

bool is_coordinator(test::gateway_fleet& fleet, int instance) {
    return fleet.instance(instance).state_dump()["steward"].get<bool>();
}

/// Returns an instance whose coordinator is on standby.
int non_coordinator(test::gateway_fleet& fleet) {
    return is_coordinator(fleet, 1) ? 2 : 1;
}

std::string name_of(int instance) {
    return "i" + std::to_string(instance);
}

/// A relay on a fake store, to which requests are sent directly.
struct single_relay {
    test::manual_clock m_clock;
    test::fake_store m_store{m_clock};
    gateway::clock_port m_clock_port{m_clock.port()};
    gateway::store_port m_direct{m_store.port("relay")};
    metrics m_metrics;
    gateway::store_era m_era{m_clock_port, m_direct, m_metrics};
    gateway::store_access m_access{m_clock_port, m_era, {}, m_metrics};
    gateway::store_relay m_relay{
        m_clock_port, m_era, m_access, m_metrics, {.m_table = "m", .m_key = "renewals/relay"}};
    gateway::table_follower m_copy{
        {.m_table = "t", .m_watch_timeout = 2000ms}, m_clock_port, m_access.port(), [](const auto&) {}};
    std::vector<gateway::store_answer> m_replies;

    single_relay() {
        m_access.release_watches();
        m_store.put("t", "a", "1");
        m_relay.share_copy(m_copy);
        m_copy.start();
        run_for(50ms);
    }

    void run_for(milliseconds time) {
        for (milliseconds passed{0}; passed < time; passed += 10ms) {
            m_clock.run_for(10ms);
            m_relay.tick();
        }
    }

    /// From now on the relay's watch hears nothing. Returns the version of the row as its copy knows it.
    store_version lose_watch() {
        m_store.m_silent_watches = true;
        run_for(2100ms);
        return m_copy.known_row("a").m_version;
    }

    /// Sends a change on the condition that the row still has `version`.
    void send_change_on(const store_version& version) {
        send_request(gateway::store_change{
            .m_expected = {{.m_table = "t", .m_key = "a", .m_version = version}},
            .m_writes = {{.m_table = "m", .m_key = "member/i2", .m_value = "record"}}});
    }

    void send_request(const gateway::store_question& request) {
        m_relay.serve(gateway::encode_question(request), [this](const std::optional<std::string>& bytes) {
            BOOST_REQUIRE(bytes.has_value());
            m_replies.push_back(gateway::decode_reply(*bytes).value());
        });
    }
};

}

BOOST_AUTO_TEST_CASE(an_instance_that_the_store_refuses_serves_through_relays) {
    test::gateway_fleet fleet(4);
    const int refused_instance = non_coordinator(fleet);
    fleet.m_store.m_refused_clients = {name_of(refused_instance)};
    for (int second = 0; second < 25; ++second) {
        fleet.run_for(700ms);
        BOOST_TEST(write_succeeds(fleet, refused_instance));
        BOOST_TEST(fleet.instance(refused_instance).is_ready());
    }
}

/// The active coordinator waits for every instance's acknowledgement. An acknowledgement that the
/// relay delays keeps the promotion waiting until the lease expires.
BOOST_AUTO_TEST_CASE(an_instance_that_the_store_refuses_acknowledges_a_change_of_primary_at_once) {
    test::gateway_fleet fleet(4);
    const int refused_instance = non_coordinator(fleet);
    fleet.m_store.m_refused_clients = {name_of(refused_instance)};
    fleet.run_for(3000ms);
    fleet.m_upstreams.at("orders-1").m_entry.m_leaving = true;
    fleet.publish_registry();
    fleet.run_for(4000ms);
    BOOST_TEST(fleet.m_upstreams.m_promotions == 1);
    BOOST_TEST(write_succeeds(fleet, refused_instance));
}

BOOST_AUTO_TEST_CASE(an_instance_that_reaches_neither_store_nor_relays_loses_its_lease) {
    test::gateway_fleet fleet(4);
    const int cut_off = non_coordinator(fleet);
    fleet.m_store.m_refused_clients = {name_of(cut_off)};
    fleet.m_isolated = {name_of(cut_off)};
    fleet.run_for(13000ms);
    BOOST_TEST(!write_succeeds(fleet, cut_off));
    BOOST_TEST(!fleet.instance(cut_off).is_ready());
}

/// A relay may answer a poll from its cache. When the direct path has shown a newer state before,
/// the older answer must not remove an instance that has registered since.
BOOST_AUTO_TEST_CASE(an_older_poll_answered_by_a_relay_hides_no_member) {
    test::gateway_fleet fleet(3);
    const auto instances = [&] { return fleet.instance(1).state_dump()["instances"].get<int>(); };
    const auto before = fleet.m_store.read_snapshot("i1", "anvilmount_members");
    fleet.start(4);
    fleet.run_for(2500ms);
    BOOST_TEST(instances() == 4);
    fleet.m_store.m_kept_snapshot = before;
    fleet.run_for(2500ms);
    BOOST_TEST(instances() == 4);
}

BOOST_AUTO_TEST_CASE(followed_tables_stay_current_through_relays) {
    test::gateway_fleet fleet(4);
    const int refused_instance = non_coordinator(fleet);
    std::map<int, gateway::table_follower> followers;
    for (int number = 1; number <= 4; ++number) {
        gateway::table_follower& made =
            followers
                .try_emplace(number, gateway::table_follower::options{.m_table = "op"}, fleet.m_clock_port,
                             fleet.instance(number).store(), [](const auto&) {})
                .first->second;
        fleet.instance(number).share_copy(made);
        made.start();
    }
    fleet.run_for(500ms);
    fleet.m_store.m_refused_clients = {name_of(refused_instance)};
    fleet.run_for(3000ms);
    // A heartbeat that succeeds again calls refresh().
    followers.at(refused_instance).refresh();
    for (int change = 0; change < 5; ++change) {
        fleet.m_store.put("op", "config", std::to_string(change));
        fleet.run_for(2500ms);
        BOOST_TEST(followers.at(refused_instance).rows().at("config").m_value == std::to_string(change));
    }
}

BOOST_AUTO_TEST_CASE(a_large_fleet_saves_store_calls) {
    constexpr int size = 40;
    test::gateway_fleet fleet(size);
    fleet.run_for(15000ms);
    const int before = fleet.m_store.m_calls;
    fleet.run_for(30000ms);
    const int calls_a_second = (fleet.m_store.m_calls - before) / 30;
    // Less than a quarter of a call for each instance.
    BOOST_TEST(calls_a_second <= size / 4);
    for (int number = 1; number <= size; ++number) {
        BOOST_TEST(fleet.instance(number).is_ready());
    }
}

BOOST_AUTO_TEST_CASE(a_large_fleet_serves_when_its_relays_vanish) {
    constexpr int size = 30;
    test::gateway_fleet fleet(size);
    fleet.run_for(15000ms);
    // Each data centre loses a third of its instances, whichever of them relay.
    for (int number = 1; number <= size; number += 3) {
        fleet.lose_power(number);
        fleet.lose_power(number + 1);
    }
    fleet.run_for(20000ms);
    for (int number = 3; number <= size; number += 3) {
        BOOST_TEST(fleet.instance(number).is_ready());
    }
}

/// Without batching, the first heartbeats of a fleet that starts all at once queue up at a slow
/// store.
BOOST_AUTO_TEST_CASE(a_restarted_large_fleet_batches_its_first_heartbeats) {
    constexpr int size = 40;
    test::gateway_fleet fleet(size);
    fleet.run_for(15000ms);
    for (int number = 1; number <= size; ++number) {
        fleet.lose_power(number);
    }
    fleet.run_for(500ms);
    fleet.m_store.m_changes = 0;
    for (int number = 1; number <= size; ++number) {
        fleet.start(number);
    }
    fleet.run_for(1000ms);
    for (int number = 1; number <= size; ++number) {
        BOOST_TEST(fleet.instance(number).is_ready());
    }
    // A slow store makes about four changes per second.
    BOOST_TEST(fleet.m_store.m_changes <= 12);
}

/// What a whole fleet exchanges while it returns must not delay the answers that give it its leases.
/// Links of 20 Mbit/s; an instance may spend 22 KB a second on control.
BOOST_AUTO_TEST_CASE(a_restarted_large_fleet_serves_within_two_seconds_over_slow_links) {
    constexpr int size = 150;
    test::gateway_fleet fleet(size, 20);
    fleet.m_link_rate = 2500;
    fleet.run_for(15000ms);
    for (int number = 1; number <= size; ++number) {
        fleet.lose_power(number);
    }
    fleet.run_for(1400ms);
    for (int number = 1; number <= size; ++number) {
        fleet.start(number);
    }
    const std::size_t before = fleet.m_peer_bytes;
    fleet.run_for(700ms);
    const auto ready = [&] {
        int count = 0;
        for (int number = 1; number <= size; ++number) {
            count += fleet.instance(number).is_ready() ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(4 * ready() >= size);
    fleet.run_for(300ms);
    BOOST_TEST(2 * ready() >= size);
    fleet.run_for(1000ms);
    BOOST_TEST(10 * ready() >= 9 * size);
    BOOST_TEST((fleet.m_peer_bytes - before) / size <= 2 * 22000U);
}

/// The first start is the costliest time: no instance knows another. Each reads the members twice; it
/// follows the records through a relay as soon as one is known.
BOOST_AUTO_TEST_CASE(the_first_start_of_a_large_fleet_costs_five_calls_an_instance) {
    constexpr int size = 120;
    const test::gateway_fleet fleet(size);
    BOOST_TEST(fleet.m_store.m_calls <= 5 * size);
}

/// Calls grow with the data centres (three here) and with changes, not with the instances.
BOOST_AUTO_TEST_CASE(store_calls_at_rest_do_not_grow_with_the_instances) {
    for (const int size : {40, 120}) {
        test::gateway_fleet fleet(size);
        fleet.run_for(20000ms);
        const int calls_before = fleet.m_store.m_calls;
        const std::size_t bytes_before = fleet.m_peer_bytes;
        fleet.run_for(60000ms);
        // For each data centre a change each 3 s, a poll each 2.5 s and a watch each 15 s; the active
        // coordinator's renewals and polls, each less than once a second, and those of an instance
        // that takes over.
        BOOST_TEST(fleet.m_store.m_calls - calls_before <= 60 * 4);
        BOOST_TEST((fleet.m_peer_bytes - bytes_before) / size / 60 <= 2000U);
    }
}

/// A heartbeat that says nothing new is published by a relay of this version only.
BOOST_AUTO_TEST_CASE(instances_stay_alive_through_relays_that_publish_no_renewals) {
    constexpr int size = 30;
    test::gateway_fleet fleet(size);
    fleet.m_knows_no_renewals = true;
    fleet.run_for(30000ms);
    for (int number = 1; number <= size; ++number) {
        BOOST_TEST(fleet.instance(number).is_ready());
        BOOST_TEST(fleet.instance(number).state_dump()["instances"].get<int>() == size);
    }
}

BOOST_AUTO_TEST_CASE(rows_of_relays_that_stopped_are_removed_in_the_end) {
    test::gateway_fleet fleet(6);
    fleet.run_for(10000ms);
    const auto rows = [&] {
        const auto all = fleet.m_store.read_snapshot("i1", gateway::members_table).m_answer.m_rows;
        return std::count_if(all.begin(), all.end(), [](const gateway::store_row& row) {
            return row.m_key.starts_with(gateway::renewals_prefix);
        });
    };
    // Each instance but the active coordinator, which repeats its record.
    BOOST_TEST(rows() == 5);
    for (int number = 1; number <= 6; ++number) {
        fleet.kill(number);
        fleet.start(number);
        fleet.run_for(5000ms);
    }
    fleet.run_for(150000ms);
    BOOST_TEST(rows() <= 6);
    for (int number = 1; number <= 6; ++number) {
        BOOST_TEST(write_succeeds(fleet, number));
    }
}

BOOST_AUTO_TEST_CASE(retries_during_a_store_outage_are_bounded) {
    test::gateway_fleet fleet(6);
    fleet.run_for(5000ms);
    fleet.m_store.m_refused_clients = {"i1", "i2", "i3", "i4", "i5", "i6"};
    fleet.run_for(2000ms);
    const int before = fleet.m_store.m_calls;
    fleet.run_for(10000ms);
    // Records, members and heartbeats of each instance, each retried about once a second.
    BOOST_TEST(fleet.m_store.m_calls - before <= 6 * 10 * 5);
    fleet.m_store.m_refused_clients.clear();
    fleet.run_for(3000ms);
    for (int number = 1; number <= 6; ++number) {
        BOOST_TEST(write_succeeds(fleet, number));
    }
}

BOOST_AUTO_TEST_CASE(requests_for_followed_tables_cost_no_store_call) {
    single_relay relay;
    const int before = relay.m_store.m_calls;
    for (int request = 0; request < 20; ++request) {
        relay.send_request(gateway::read_question{.m_table = "t"});
    }
    BOOST_TEST(relay.m_replies.size() == 20U);
    BOOST_TEST(relay.m_replies.back().m_rows.size() == 1U);
    relay.send_request(gateway::follow_question{
        .m_table = "t", .m_after_version = relay.m_replies.back().m_version, .m_timeout = 1500ms});
    relay.run_for(100ms);
    BOOST_TEST(relay.m_store.m_calls == before);
    BOOST_TEST(relay.m_replies.size() == 20U);
    relay.m_store.put("t", "b", "2");
    relay.run_for(100ms);
    BOOST_REQUIRE(relay.m_replies.size() == 21U);
    BOOST_TEST(relay.m_replies.back().m_rows.at(0).m_key == "b");
}

BOOST_AUTO_TEST_CASE(a_watch_from_before_a_removal_is_told_that_the_history_is_gone) {
    single_relay relay;
    const store_version before = relay.m_copy.version();
    relay.m_store.remove("t", "a");
    relay.run_for(100ms);
    relay.send_request(
        gateway::follow_question{.m_table = "t", .m_after_version = before, .m_timeout = 1500ms});
    BOOST_REQUIRE(relay.m_replies.size() == 1U);
    BOOST_TEST((relay.m_replies[0].m_status == gateway::store_status::history_gone));
}

BOOST_AUTO_TEST_CASE(a_watch_from_before_a_restore_is_told_that_the_history_is_gone) {
    single_relay relay;
    const auto earlier = relay.m_store.back_up();
    relay.m_store.put("t", "a", "2");
    relay.m_store.put("t", "b", "3");
    relay.run_for(100ms);
    const store_version before = relay.m_copy.version();
    relay.m_store.restore(earlier);
    relay.run_for(4000ms);
    relay.m_store.put("t", "c", "4");
    relay.run_for(100ms);
    BOOST_TEST(relay.m_copy.version().m_era == 2U);
    relay.send_request(
        gateway::follow_question{.m_table = "t", .m_after_version = before, .m_timeout = 1500ms});
    relay.send_request(gateway::read_question{.m_table = "t", .m_after_version = before});
    BOOST_REQUIRE(relay.m_replies.size() == 2U);
    BOOST_TEST((relay.m_replies[0].m_status == gateway::store_status::history_gone));
    BOOST_TEST(!relay.m_replies[1].m_is_delta);
    BOOST_TEST(relay.m_replies[1].m_rows.size() == 2U);
}

/// Instances of the version before name no era; a relay answers them as one of their version would.
BOOST_AUTO_TEST_CASE(a_requester_that_names_no_era_is_answered_in_the_present_one) {
    single_relay relay;
    relay.m_store.put("t", "b", "2");
    relay.run_for(100ms);
    relay.send_request(
        gateway::read_question{.m_table = "t", .m_after_version = {.m_era = 0, .m_number = 1}});
    relay.send_request(gateway::follow_question{
        .m_table = "t", .m_after_version = {.m_era = 0, .m_number = 1}, .m_timeout = 1500ms});
    BOOST_REQUIRE(relay.m_replies.size() == 2U);
    for (const auto& reply : relay.m_replies) {
        BOOST_TEST((reply.m_status == gateway::store_status::done));
        BOOST_TEST(reply.m_is_delta);
        BOOST_REQUIRE(reply.m_rows.size() == 1U);
        BOOST_TEST(reply.m_rows[0].m_key == "b");
    }
}

/// Instances are replaced one by one; until the store goes back, those of both versions work together.
BOOST_AUTO_TEST_CASE(an_instance_that_the_store_refuses_serves_through_relays_that_name_no_era) {
    test::gateway_fleet fleet(4);
    fleet.m_names_no_era = true;
    const int refused_instance = non_coordinator(fleet);
    fleet.m_store.m_refused_clients = {name_of(refused_instance)};
    for (int second = 0; second < 25; ++second) {
        fleet.run_for(700ms);
        BOOST_TEST(write_succeeds(fleet, refused_instance));
    }
    // After a restore, what names no era may be from before it: better no lease than a wrong one.
    fleet.m_store.m_refused_clients.clear();
    fleet.run_for(2000ms);
    fleet.m_store.restore(fleet.m_store.back_up());
    fleet.run_for(4000ms);
    fleet.m_store.m_refused_clients = {name_of(refused_instance)};
    fleet.run_for(13000ms);
    BOOST_TEST(!write_succeeds(fleet, refused_instance));
}

/// A relay that is cut off from the store keeps copies from before the restore.
BOOST_AUTO_TEST_CASE(a_reply_from_an_earlier_era_counts_as_none) {
    test::manual_clock clock;
    test::fake_store store(clock);
    const gateway::clock_port clock_port = clock.port();
    const gateway::store_port direct = store.port("i1");
    metrics counters;
    gateway::store_era era(clock_port, direct, counters);
    std::uint64_t reply_era = 1;
    gateway::store_access access(
        clock_port, era,
        [&](const endpoint&, const std::string&, milliseconds, const auto& done) {
            done(gateway::encode_reply({.m_status = gateway::store_status::done,
                                        .m_version = {.m_era = reply_era, .m_number = 900}}));
        },
        counters);
    access.set_order({{.m_relay = endpoint{.m_address = "10.1.0.2", .m_port = 1}}});
    const auto status = [&] {
        auto found = gateway::store_status::refused;
        access.port().m_read_table("t",
                                   [&](const gateway::store_answer& reply) { found = reply.m_status; });
        return found;
    };
    BOOST_TEST((status() == gateway::store_status::done));
    era.observe(2);
    BOOST_TEST((status() == gateway::store_status::unknown));
    reply_era = 2;
    clock.run_for(2000ms);
    BOOST_TEST((status() == gateway::store_status::done));
}

BOOST_AUTO_TEST_CASE(changes_with_the_same_conditions_are_batched) {
    single_relay relay;
    relay.m_store.put("m", "head", "");
    const gateway::store_row head{
        .m_table = "m", .m_key = "head", .m_version = {.m_era = 1, .m_number = 2}};
    const int before = relay.m_store.m_calls;
    for (int member = 0; member < 10; ++member) {
        relay.send_request(gateway::store_change{
            .m_expected = {head},
            .m_writes = {{.m_table = "m", .m_key = std::to_string(member), .m_value = "x"}},
            .m_max_batch_delay = 1000ms});
    }
    relay.run_for(900ms);
    BOOST_TEST(relay.m_replies.empty());
    relay.run_for(200ms);
    BOOST_TEST(relay.m_replies.size() == 10U);
    BOOST_TEST(relay.m_store.m_calls - before <= 2);
    BOOST_TEST(relay.m_store.value("m", "9") == "x");
}

BOOST_AUTO_TEST_CASE(changes_that_arrive_while_one_is_in_flight_are_batched) {
    single_relay relay;
    relay.m_store.put("m", "head", "");
    const gateway::store_row head{
        .m_table = "m", .m_key = "head", .m_version = {.m_era = 1, .m_number = 2}};
    const int before = relay.m_store.m_changes;
    for (int member = 0; member < 10; ++member) {
        relay.send_request(gateway::store_change{
            .m_expected = {head},
            .m_writes = {{.m_table = "m", .m_key = std::to_string(member), .m_value = "x"}}});
    }
    relay.run_for(50ms);
    BOOST_TEST(relay.m_replies.size() == 10U);
    BOOST_TEST(relay.m_store.m_changes - before == 2);
}

BOOST_AUTO_TEST_CASE(renewals_of_a_batch_are_published_in_one_row) {
    single_relay relay;
    const int before = relay.m_store.m_changes;
    for (std::uint64_t member = 1; member <= 10; ++member) {
        relay.send_request(gateway::store_change{
            .m_renewal = gateway::lease_renewal{.m_incarnation = std::to_string(member), .m_count = member},
            .m_max_batch_delay = 100ms});
    }
    relay.run_for(200ms);
    BOOST_REQUIRE(relay.m_replies.size() == 10U);
    for (const gateway::store_answer& each : relay.m_replies) {
        BOOST_TEST(each.m_renewed);
    }
    BOOST_TEST(relay.m_store.m_changes - before == 1);
    const auto published = gateway::parse_renewal_counts(relay.m_store.value("m", "renewals/relay"));
    BOOST_REQUIRE(published.has_value());
    BOOST_TEST(published->size() == 10U);
    BOOST_TEST(published->at("7") == 7U);
}

BOOST_AUTO_TEST_CASE(a_refused_renewal_is_not_reported_as_published) {
    single_relay relay;
    relay.m_store.put("m", "head", "");
    relay.send_request(gateway::store_change{
        .m_expected = {{.m_table = "m", .m_key = "head", .m_version = {.m_era = 1, .m_number = 1}}},
        .m_renewal = gateway::lease_renewal{.m_incarnation = "1", .m_count = 1}});
    relay.run_for(50ms);
    BOOST_REQUIRE(relay.m_replies.size() == 1U);
    BOOST_TEST(!relay.m_replies[0].m_renewed);
    BOOST_TEST((relay.m_replies[0].m_status == gateway::store_status::conflict));
}

/// Many instances poll a table that is not followed: one call serves them, and each gets what it lacks.
BOOST_AUTO_TEST_CASE(polls_share_one_call_and_get_what_has_changed) {
    single_relay relay;
    relay.m_store.put("m", "a", "1");
    relay.m_store.put("m", "b", "1");
    relay.send_request(gateway::read_question{.m_table = "m"});
    relay.run_for(3000ms);
    BOOST_REQUIRE(relay.m_replies.size() == 1U);
    BOOST_TEST(!relay.m_replies[0].m_is_delta);
    BOOST_TEST(relay.m_replies[0].m_rows.size() == 2U);
    const store_version seen = relay.m_replies[0].m_version;
    relay.m_store.put("m", "b", "2");
    relay.m_store.remove("m", "a");
    const int before = relay.m_store.m_calls;
    for (int reader = 0; reader < 20; ++reader) {
        relay.send_request(gateway::read_question{.m_table = "m", .m_after_version = seen});
    }
    relay.run_for(100ms);
    BOOST_TEST(relay.m_store.m_calls - before == 1);
    BOOST_REQUIRE(relay.m_replies.size() == 21U);
    for (std::size_t reader = 1; reader < 21; ++reader) {
        BOOST_TEST(relay.m_replies[reader].m_is_delta);
        BOOST_TEST(relay.m_replies[reader].m_rows.size() == 2U);
    }
    // A reader that has seen nothing still gets the whole table.
    relay.send_request(gateway::read_question{.m_table = "m"});
    BOOST_TEST(!relay.m_replies.back().m_is_delta);
    BOOST_TEST(relay.m_replies.back().m_rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_poll_reads_the_whole_table_when_the_history_is_gone) {
    single_relay relay;
    relay.m_store.put("m", "a", "1");
    relay.send_request(gateway::read_question{.m_table = "m"});
    relay.run_for(3000ms);
    const store_version seen = relay.m_replies.at(0).m_version;
    relay.m_store.put("m", "b", "1");
    relay.m_store.forget_history();
    relay.send_request(gateway::read_question{.m_table = "m", .m_after_version = seen});
    relay.run_for(100ms);
    BOOST_REQUIRE(relay.m_replies.size() == 2U);
    BOOST_REQUIRE(relay.m_replies[1].m_rows.size() >= 1U);
    BOOST_TEST(relay.m_replies[1].m_rows.back().m_key == "b");
}

BOOST_AUTO_TEST_CASE(a_poll_of_an_unreachable_store_is_answered_to_all_that_wait) {
    single_relay relay;
    relay.m_store.m_unreachable = true;
    for (int reader = 0; reader < 3; ++reader) {
        relay.send_request(gateway::read_question{.m_table = "m"});
    }
    relay.run_for(2000ms);
    BOOST_TEST(relay.m_replies.size() == 3U);
    relay.m_store.m_unreachable = false;
    relay.run_for(2000ms);
    relay.send_request(gateway::read_question{.m_table = "m"});
    relay.run_for(100ms);
    BOOST_TEST((relay.m_replies.back().m_status == gateway::store_status::done));
}

BOOST_AUTO_TEST_CASE(a_conflict_is_reported_to_every_requester_of_a_batch) {
    single_relay relay;
    relay.m_store.put("m", "head", "");
    for (int member = 0; member < 3; ++member) {
        relay.send_request(gateway::store_change{
            .m_expected = {{.m_table = "m", .m_key = "head", .m_version = {.m_era = 1, .m_number = 1}}},
            .m_writes = {{.m_table = "m", .m_key = std::to_string(member), .m_value = "x"}},
            .m_max_batch_delay = 100ms});
    }
    relay.run_for(200ms);
    BOOST_REQUIRE(relay.m_replies.size() == 3U);
    for (const gateway::store_answer& each : relay.m_replies) {
        BOOST_TEST((each.m_status == gateway::store_status::conflict));
        BOOST_TEST(each.m_rows.at(0).m_version.m_number == 2U);
    }
    BOOST_TEST(relay.m_store.value("m", "0").empty());
}

BOOST_AUTO_TEST_CASE(changes_with_conditions_on_their_own_rows_are_batched) {
    single_relay relay;
    relay.m_store.put("m", "head", "");
    const gateway::store_row head{
        .m_table = "m", .m_key = "head", .m_version = {.m_era = 1, .m_number = 2}};
    const int before = relay.m_store.m_calls;
    for (int member = 0; member < 100; ++member) {
        const gateway::store_row own{.m_table = "m", .m_key = std::to_string(member), .m_value = "x"};
        relay.send_request(gateway::store_change{
            .m_expected = {head, own}, .m_writes = {own}, .m_max_batch_delay = 100ms});
    }
    relay.run_for(300ms);
    BOOST_TEST(relay.m_replies.size() == 100U);
    for (const gateway::store_answer& each : relay.m_replies) {
        BOOST_TEST((each.m_status == gateway::store_status::done));
    }
    BOOST_TEST(relay.m_store.m_calls - before <= 3);
}

BOOST_AUTO_TEST_CASE(a_change_is_not_refused_for_the_condition_of_another_in_its_batch) {
    single_relay relay;
    relay.m_store.put("m", "head", "");
    relay.m_store.put("m", "1", "by another");
    const gateway::store_row head{
        .m_table = "m", .m_key = "head", .m_version = {.m_era = 1, .m_number = 2}};
    for (int member = 0; member < 3; ++member) {
        const gateway::store_row own{.m_table = "m", .m_key = std::to_string(member), .m_value = "x"};
        relay.send_request(gateway::store_change{
            .m_expected = {head, own}, .m_writes = {own}, .m_max_batch_delay = 100ms});
    }
    relay.run_for(300ms);
    BOOST_REQUIRE(relay.m_replies.size() == 3U);
    int refused = 0;
    for (const gateway::store_answer& each : relay.m_replies) {
        if (each.m_status == gateway::store_status::conflict) {
            ++refused;
            BOOST_REQUIRE(each.m_rows.size() == 2U);
        }
    }
    BOOST_TEST(refused == 1);
    BOOST_TEST(relay.m_store.value("m", "0") == "x");
    BOOST_TEST(relay.m_store.value("m", "1") == "by another");
    BOOST_TEST(relay.m_store.value("m", "2") == "x");
}

BOOST_AUTO_TEST_CASE(a_relay_whose_direct_path_fails_refuses_at_once) {
    single_relay relay;
    relay.m_store.m_refused_clients = {"relay"};
    relay.run_for(4000ms);
    const int before = relay.m_store.m_calls;
    relay.send_request(gateway::read_question{.m_table = "other"});
    BOOST_REQUIRE(relay.m_replies.size() == 1U);
    BOOST_TEST((relay.m_replies[0].m_status == gateway::store_status::refused));
    BOOST_TEST(relay.m_store.m_calls == before);
}

BOOST_AUTO_TEST_CASE(undecodable_requests_get_no_reply) {
    single_relay relay;
    bool answered = true;
    for (const char* bytes : {"", "\xff\xff\xff", "GET / HTTP/1.1"}) {
        relay.m_relay.serve(bytes,
                            [&](const std::optional<std::string>& reply) { answered = reply.has_value(); });
        BOOST_TEST(!answered);
    }
}

BOOST_AUTO_TEST_CASE(requests_and_replies_survive_encoding_and_decoding) {
    const gateway::store_change change{
        .m_expected = {{.m_table = "t", .m_key = "k", .m_version = {.m_era = 3, .m_number = 7}}},
        .m_writes = {{.m_table = "t", .m_key = "k", .m_value = std::string("\0x", 2)}},
        .m_removals = {{.m_table = "t", .m_key = "gone"}},
        .m_renewal = gateway::lease_renewal{.m_incarnation = "17", .m_count = 3},
        .m_max_batch_delay = 20ms};
    const auto decoded = gateway::decode_question(gateway::encode_question(change));
    BOOST_REQUIRE(decoded.has_value());
    const auto& read = std::get<gateway::store_change>(*decoded);
    BOOST_TEST((read.m_expected.at(0).m_version == store_version{.m_era = 3, .m_number = 7}));
    BOOST_TEST(read.m_writes.at(0).m_value == std::string("\0x", 2));
    BOOST_TEST(read.m_removals.at(0).m_key == "gone");
    BOOST_TEST((read.m_max_batch_delay == 20ms));
    BOOST_REQUIRE(read.m_renewal.has_value());
    BOOST_TEST(read.m_renewal->m_incarnation == "17");
    BOOST_TEST(read.m_renewal->m_count == 3U);
    const auto poll = gateway::decode_question(gateway::encode_question(
        gateway::read_question{.m_table = "t", .m_after_version = {.m_era = 2, .m_number = 5}}));
    BOOST_TEST((std::get<gateway::read_question>(*poll).m_after_version ==
                store_version{.m_era = 2, .m_number = 5}));
    for (const auto status :
         {gateway::store_status::done, gateway::store_status::conflict, gateway::store_status::refused,
          gateway::store_status::unknown, gateway::store_status::history_gone}) {
        const auto reply = gateway::decode_reply(gateway::encode_reply({.m_status = status,
                                                                        .m_version = {.m_number = 9},
                                                                        .m_age = 30ms,
                                                                        .m_is_delta = true,
                                                                        .m_renewed = true}));
        BOOST_REQUIRE(reply.has_value());
        BOOST_TEST((reply->m_status == status));
        BOOST_TEST((reply->m_age == 30ms));
        BOOST_TEST(reply->m_is_delta);
        BOOST_TEST(reply->m_renewed);
    }
}

BOOST_AUTO_TEST_CASE(a_relay_answers_no_read_from_a_copy_that_a_refused_change_has_shown_to_be_old) {
    single_relay relay;
    const store_version known = relay.lose_watch();
    relay.m_store.put("t", "a", "2");
    relay.send_change_on(known);
    relay.run_for(30ms);
    BOOST_REQUIRE(relay.m_replies.size() == 1);
    BOOST_TEST((relay.m_replies[0].m_status == gateway::store_status::conflict));
    relay.send_request(gateway::read_question{.m_table = "t"});
    relay.run_for(30ms);
    BOOST_REQUIRE(relay.m_replies.size() == 2);
    BOOST_REQUIRE(relay.m_replies[1].m_rows.size() == 1);
    BOOST_TEST(relay.m_replies[1].m_rows[0].m_value == "2");
}

BOOST_AUTO_TEST_CASE(a_relay_passes_on_a_change_that_a_refused_change_has_shown_to_it) {
    single_relay relay;
    const store_version known = relay.lose_watch();
    relay.send_request(
        gateway::follow_question{.m_table = "t", .m_after_version = known, .m_timeout = 1500ms});
    relay.m_store.put("t", "a", "2");
    relay.send_change_on(known);
    relay.run_for(50ms);
    BOOST_REQUIRE(relay.m_replies.size() == 2);
    BOOST_REQUIRE(relay.m_replies[1].m_rows.size() == 1);
    BOOST_TEST(relay.m_replies[1].m_rows[0].m_value == "2");
}

BOOST_AUTO_TEST_CASE(reads_that_meet_while_a_relays_copy_is_read_again_cost_two_calls) {
    single_relay relay;
    const store_version known = relay.lose_watch();
    relay.m_store.put("t", "a", "2");
    relay.m_copy.note_stored_version({.m_era = known.m_era, .m_number = known.m_number + 1});
    const int calls = relay.m_store.m_calls;
    constexpr std::size_t readers = 20;
    for (std::size_t reader = 0; reader < readers; ++reader) {
        relay.send_request(gateway::read_question{.m_table = "t"});
    }
    relay.run_for(50ms);
    BOOST_REQUIRE(relay.m_replies.size() == readers);
    for (const gateway::store_answer& each : relay.m_replies) {
        BOOST_REQUIRE(each.m_rows.size() == 1);
        BOOST_TEST(each.m_rows[0].m_value == "2");
    }
    // One more is the watch with which the relay goes on.
    BOOST_TEST(relay.m_store.m_calls - calls <= 3);
}

/// Guards against heartbeats of other instances that end with the process of a relay, in a batch that waits
/// for more.
BOOST_AUTO_TEST_CASE(changes_that_wait_for_a_batch_are_made_when_their_relay_leaves) {
    single_relay site;
    const auto send_change = [&](const std::string& key) {
        site.send_request(
            gateway::store_change{.m_writes = {{.m_table = "m", .m_key = key, .m_value = "record"}},
                                  .m_max_batch_delay = 1500ms});
    };
    send_change("member/i2");
    site.run_for(50ms);
    BOOST_REQUIRE(site.m_replies.empty());
    site.m_relay.leave();
    site.run_for(50ms);
    BOOST_TEST(site.m_replies.size() == 1U);
    send_change("member/i3");
    site.run_for(50ms);
    BOOST_REQUIRE(site.m_replies.size() == 2U);
    for (const gateway::store_answer& reply : site.m_replies) {
        BOOST_TEST((reply.m_status == gateway::store_status::done));
    }
}

/// Guards against questions that vanish with a relay and leave no trace, and are put to the same relay
/// again.
BOOST_AUTO_TEST_CASE(a_question_that_ends_with_its_relay_is_counted_and_the_next_takes_another_path) {
    test::manual_clock clock;
    test::fake_store store(clock);
    store.put("t", "a", "1");
    const gateway::clock_port clock_port = clock.port();
    const gateway::store_port direct = store.port("asker");
    metrics counters;
    gateway::store_era era(clock_port, direct, counters);
    int relayed = 0;
    gateway::store_access access(
        clock_port, era,
        [&](const endpoint&, const std::string&, milliseconds, const auto& done) {
            ++relayed;
            done(std::nullopt);
        },
        counters);
    access.set_order({{.m_relay = endpoint{.m_address = "10.1.0.9", .m_port = 1}}, {}});
    std::vector<gateway::store_status> outcomes;
    for (int round = 0; round < 2; ++round) {
        access.port().m_read_table(
            "t", [&](const gateway::store_answer& reply) { outcomes.push_back(reply.m_status); });
        clock.run_for(50ms);
    }
    BOOST_REQUIRE(outcomes.size() == 2U);
    BOOST_TEST((outcomes[0] == gateway::store_status::unknown));
    BOOST_TEST((outcomes[1] == gateway::store_status::done));
    BOOST_TEST(relayed == 1);
    BOOST_TEST(counters.to_json()["counters"]["store_questions_unanswered"] == 1);
}
