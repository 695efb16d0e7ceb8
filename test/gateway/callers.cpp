/// \file callers.cpp
/// What callers see of one instance: answers, promises that are true,
/// transactions that never mix, and sessions that keep what they set.
#include "support/gateway_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;
using gateway::session_state;
using kind = gateway::statement_kind;

namespace {

/// Returns the runs of one statement text.
int runs_of(const test::gateway_fleet& fleet, const std::string& text) {
    return static_cast<int>(
        std::count_if(fleet.m_upstreams.m_runs.begin(), fleet.m_upstreams.m_runs.end(),
                      [&](const test::run_statement& each) { return each.m_text == text; }));
}

bool succeeded(const test::test_caller& caller, std::size_t index) {
    return caller.m_answers.size() > index && caller.m_answers[index].succeeded();
}

result_code code_of(const test::test_caller& caller, std::size_t index) {
    BOOST_REQUIRE(caller.m_answers.size() > index);
    BOOST_REQUIRE(!caller.m_answers[index].succeeded());
    return caller.m_answers[index].m_code;
}

}

BOOST_AUTO_TEST_CASE(a_statement_is_answered_with_the_upstreams_proof) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    BOOST_REQUIRE(succeeded(caller, 0));
    BOOST_TEST(*caller.m_answers[0].m_proof == "proof-q1");
    BOOST_TEST(runs_of(fleet, "WRITE 1 a") == 1);
}

BOOST_AUTO_TEST_CASE(an_unknown_database_is_rejected) {
    test::gateway_fleet fleet(1);
    const test::test_caller caller(fleet.instance(1), "nowhere");
    BOOST_TEST((caller.m_rejected == result_code::unknown_group));
}

BOOST_AUTO_TEST_CASE(a_route_that_is_dropped_ends_with_the_next_operation) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    fleet.m_configuration.m_revision = 2;
    fleet.m_configuration.m_routes.erase("pay");
    fleet.instance(1).adopt_configuration(fleet.m_configuration);
    caller.send(kind::read, "READ 1");
    fleet.run_for(100ms);
    BOOST_TEST((code_of(caller, 0) == result_code::unknown_group));
}

BOOST_AUTO_TEST_CASE(a_session_that_needs_a_newer_configuration_is_not_served_by_an_older_one) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::read, "READ 1");
    fleet.run_for(100ms);
    caller.require_revision(2);
    caller.send(kind::commit, "COMMIT");
    fleet.run_for(100ms);
    BOOST_TEST(succeeded(caller, 2));
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    BOOST_TEST((code_of(caller, 3) == result_code::queue_full));
    BOOST_TEST(!caller.is_open());
    BOOST_TEST(runs_of(fleet, "WRITE 1 a") == 0);
}

BOOST_AUTO_TEST_CASE(an_older_configuration_is_never_taken_back) {
    test::gateway_fleet fleet(1);
    fleet.m_configuration.m_revision = 5;
    fleet.instance(1).adopt_configuration(fleet.m_configuration);
    gateway::fleet_configuration older = fleet.m_configuration;
    older.m_revision = 4;
    older.m_routes.clear();
    fleet.instance(1).adopt_configuration(older);
    const test::test_caller caller(fleet.instance(1), "pay");
    BOOST_TEST(caller.is_open());
}

BOOST_AUTO_TEST_CASE(a_transaction_stays_on_one_connection_and_takes_none_while_it_rests) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    fleet.run_for(200ms);
    BOOST_TEST((caller.m_answers.at(0).m_state == session_state::in_transaction));
    BOOST_TEST(fleet.m_upstreams.m_runs.empty());
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    caller.send(kind::read, "READ 1");
    fleet.run_for(100ms);
    caller.send(kind::commit, "COMMIT");
    fleet.run_for(100ms);
    BOOST_REQUIRE(succeeded(caller, 3));
    BOOST_TEST((caller.m_answers[3].m_state == session_state::idle));
    for (const test::run_statement& each : fleet.m_upstreams.m_runs) {
        BOOST_TEST(each.m_connection == fleet.m_upstreams.m_runs.front().m_connection);
        BOOST_TEST(each.m_in_transaction);
    }
    BOOST_TEST(fleet.m_upstreams.m_rule_breaks.empty());
}

BOOST_AUTO_TEST_CASE(transactions_of_many_callers_never_mix) {
    test::gateway_fleet fleet(1);
    std::vector<std::unique_ptr<test::test_caller>> callers;
    for (int number = 0; number < 6; ++number) {
        callers.push_back(std::make_unique<test::test_caller>(fleet.instance(1), "pay"));
        callers.back()->send(kind::begin, "BEGIN");
        callers.back()->send(kind::write, "WRITE " + std::to_string(number) + " x");
        callers.back()->send(kind::commit, "COMMIT");
    }
    fleet.run_for(900ms);
    std::map<std::uint64_t, std::string> open; // Connection: item whose transaction is open there.
    for (const test::run_statement& each : fleet.m_upstreams.m_runs) {
        if (each.m_text == "COMMIT") {
            BOOST_TEST(open.erase(each.m_connection) == 1U);
        } else {
            BOOST_TEST(open.emplace(each.m_connection, each.m_text).second);
        }
    }
    for (const auto& caller : callers) {
        BOOST_TEST(succeeded(*caller, 2));
    }
}

BOOST_AUTO_TEST_CASE(a_failed_transaction_takes_nothing_but_its_end) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "scan");
    caller.send(kind::begin_read_only, "BEGIN READ");
    caller.send(kind::execute, "EXECUTE s9 1", "s9", "1");
    fleet.run_for(100ms);
    BOOST_TEST((code_of(caller, 1) == result_code::unknown_prepared_statement));
    BOOST_TEST((caller.m_answers[1].m_state == session_state::failed));
    caller.send(kind::read, "READ 1");
    fleet.run_for(100ms);
    BOOST_TEST((code_of(caller, 2) == result_code::protocol_violation));
    caller.send(kind::commit, "COMMIT");
    fleet.run_for(100ms);
    BOOST_TEST((code_of(caller, 3) == result_code::transaction_lost));
    BOOST_TEST((caller.m_answers[3].m_state == session_state::idle));
    caller.send(kind::read, "READ 1");
    fleet.run_for(100ms);
    BOOST_TEST(succeeded(caller, 4));
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_in_the_middle_commits_nothing) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    const auto before = fleet.m_upstreams.at("orders-1").m_position;
    caller.leave();
    fleet.run_for(100ms);
    test::test_caller next(fleet.instance(1), "pay");
    next.send(kind::read, "READ 1");
    fleet.run_for(100ms);
    BOOST_TEST(succeeded(next, 0));
    BOOST_TEST((fleet.m_upstreams.at("orders-1").m_position == before));
    BOOST_TEST(!fleet.m_upstreams.m_runs.back().m_in_transaction);
}

BOOST_AUTO_TEST_CASE(a_write_whose_answer_is_lost_is_in_doubt_and_never_sent_again) {
    test::gateway_fleet fleet(1);
    fleet.m_upstreams.at("orders-1").m_loses_answers = true;
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(2000ms);
    BOOST_TEST((code_of(caller, 0) == result_code::outcome_unknown));
    BOOST_TEST(runs_of(fleet, "WRITE 1 a") == 1);
}

BOOST_AUTO_TEST_CASE(a_commit_whose_answer_is_lost_is_in_doubt_unless_nothing_was_written) {
    for (const bool writes : {true, false}) {
        test::gateway_fleet fleet(1);
        test::test_caller caller(fleet.instance(1), "pay");
        caller.send(kind::begin, "BEGIN");
        if (writes) {
            caller.send(kind::write, "WRITE 1 a");
        } else {
            caller.send(kind::read, "READ 1");
        }
        fleet.run_for(100ms);
        fleet.m_upstreams.at("orders-1").m_loses_answers = true;
        caller.send(kind::commit, "COMMIT");
        fleet.run_for(2000ms);
        BOOST_TEST((code_of(caller, 2) ==
                    (writes ? result_code::outcome_unknown : result_code::transaction_lost)));
        BOOST_TEST(runs_of(fleet, "COMMIT") == 1);
    }
}

BOOST_AUTO_TEST_CASE(a_transaction_that_loses_its_connection_before_the_commit_is_not_kept) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    fleet.m_upstreams.crash("orders-1");
    fleet.run_for(50ms);
    caller.send(kind::commit, "COMMIT");
    fleet.run_for(50ms);
    BOOST_TEST((code_of(caller, 2) == result_code::transaction_lost));
    BOOST_TEST(runs_of(fleet, "COMMIT") == 0);
}

BOOST_AUTO_TEST_CASE(a_read_whose_answer_is_lost_is_asked_elsewhere) {
    test::gateway_fleet fleet(1);
    test::test_caller warm(fleet.instance(1), "pay");
    warm.send(kind::read, "READ 0");
    fleet.run_for(100ms);
    fleet.m_upstreams.at("orders-2").m_loses_answers = true;
    fleet.m_upstreams.at("orders-3").m_loses_answers = true;
    test::test_caller caller(fleet.instance(1), "look");
    caller.send(kind::read, "READ 1");
    fleet.run_for(900ms);
    BOOST_TEST(succeeded(caller, 0));
}

BOOST_AUTO_TEST_CASE(a_late_answer_costs_no_connection) {
    test::gateway_fleet fleet(1);
    fleet.m_upstreams.at("orders-1").m_work = 1100ms;
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(300ms);
    // Something else answers meanwhile, so that the upstream is not taken for silent.
    test::test_caller other(fleet.instance(1), "pay");
    fleet.m_upstreams.at("orders-1").m_work = 10ms;
    for (int round = 0; round < 8; ++round) {
        other.send(kind::read, "READ 2");
        fleet.run_for(150ms);
    }
    BOOST_TEST((code_of(caller, 0) == result_code::outcome_unknown));
    const auto opened = fleet.instance(1).counters().to_json()["counters"]["upstream_connections_lost"];
    BOOST_TEST((opened.is_null() || opened == 0));
}

BOOST_AUTO_TEST_CASE(values_hold_for_their_session_only) {
    test::gateway_fleet fleet(1);
    test::test_caller first(fleet.instance(1), "pay");
    test::test_caller second(fleet.instance(1), "pay");
    first.send(kind::set_value, "SET zone north", "zone", "north");
    first.send(kind::read, "READ 1");
    fleet.run_for(100ms);
    second.send(kind::read, "READ 2");
    fleet.run_for(100ms);
    first.send(kind::set_value, "SET zone south", "zone", "south");
    first.send(kind::read, "READ 3");
    fleet.run_for(100ms);
    BOOST_REQUIRE(fleet.m_upstreams.m_runs.size() == 3U);
    BOOST_TEST(fleet.m_upstreams.m_runs[0].m_values.at("zone") == "north");
    BOOST_TEST(fleet.m_upstreams.m_runs[1].m_values.empty());
    BOOST_TEST(fleet.m_upstreams.m_runs[2].m_values.at("zone") == "south");
}

BOOST_AUTO_TEST_CASE(a_value_set_inside_a_transaction_holds_for_its_next_statement) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::read, "READ 1");
    caller.send(kind::set_value, "SET zone north", "zone", "north");
    caller.send(kind::read, "READ 2");
    fleet.run_for(200ms);
    BOOST_REQUIRE(succeeded(caller, 3));
    BOOST_TEST(fleet.m_upstreams.m_runs.back().m_values.at("zone") == "north");
}

BOOST_AUTO_TEST_CASE(prepared_names_of_callers_do_not_collide) {
    test::gateway_fleet fleet(1);
    test::test_caller first(fleet.instance(1), "pay");
    test::test_caller second(fleet.instance(1), "pay");
    first.send(kind::prepare, "PREPARE s1 READ q1", "s1", "q1", false);
    second.send(kind::prepare, "PREPARE s1 WRITE q2", "s1", "q2", true);
    first.send(kind::execute, "EXECUTE s1 1", "s1", "1");
    second.send(kind::execute, "EXECUTE s1 1 x", "s1", "1 x");
    fleet.run_for(200ms);
    BOOST_REQUIRE(succeeded(first, 1));
    BOOST_REQUIRE(succeeded(second, 1));
    BOOST_REQUIRE(fleet.m_upstreams.m_runs.size() == 2U);
    BOOST_TEST(fleet.m_upstreams.m_runs[0].m_text != fleet.m_upstreams.m_runs[1].m_text);
}

BOOST_AUTO_TEST_CASE(a_deallocated_statement_is_unknown) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::prepare, "PREPARE s1 READ q1", "s1", "q1", false);
    caller.send(kind::deallocate, "DEALLOCATE s1", "s1");
    caller.send(kind::execute, "EXECUTE s1 1", "s1", "1");
    fleet.run_for(100ms);
    BOOST_TEST((code_of(caller, 2) == result_code::unknown_prepared_statement));
}

BOOST_AUTO_TEST_CASE(a_session_reads_its_own_writes_at_any_replica) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "scan");
    fleet.m_upstreams.at("orders-2").m_applies = false;
    fleet.m_upstreams.at("orders-3").m_applies = false;
    for (int round = 0; round < 10; ++round) {
        caller.send(kind::write, "WRITE 1 a");
        caller.send(kind::read, "READ " + std::to_string(round));
        fleet.run_for(300ms);
    }
    for (const test::run_statement& each : fleet.m_upstreams.m_runs) {
        if (each.m_text.starts_with("READ")) {
            BOOST_TEST(each.m_upstream == "orders-1");
        }
    }
    BOOST_TEST(caller.m_answers.size() == 20U);
    BOOST_TEST(std::all_of(caller.m_answers.begin(), caller.m_answers.end(),
                           [](const gateway::answer& each) { return each.succeeded(); }));
}

BOOST_AUTO_TEST_CASE(a_read_of_a_stated_age_needs_a_sample_of_that_age) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "look");
    caller.send(kind::read, "READ 1");
    fleet.run_for(100ms);
    BOOST_REQUIRE(succeeded(caller, 0));
    BOOST_TEST(fleet.m_upstreams.m_runs.back().m_upstream == "orders-1");
    caller.send(kind::read, "READ 2");
    fleet.run_for(100ms);
    BOOST_REQUIRE(succeeded(caller, 1));
    BOOST_TEST(fleet.m_upstreams.m_runs.back().m_upstream != "orders-1");
}

BOOST_AUTO_TEST_CASE(a_busy_upstream_is_asked_again_until_the_deadline) {
    test::gateway_fleet fleet(1);
    fleet.m_upstreams.at("orders-1").m_busy = true;
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(40ms);
    fleet.m_upstreams.at("orders-1").m_busy = false;
    fleet.run_for(300ms);
    BOOST_TEST(succeeded(caller, 0));
    BOOST_TEST(runs_of(fleet, "WRITE 1 a") == 1);
}

BOOST_AUTO_TEST_CASE(an_instance_that_leaves_ends_idle_sessions_and_lets_transactions_finish) {
    test::gateway_fleet fleet(1);
    test::test_caller idle(fleet.instance(1), "pay");
    idle.send(kind::read, "READ 1");
    test::test_caller busy(fleet.instance(1), "pay");
    test::test_caller resting(fleet.instance(1), "pay");
    for (test::test_caller* each : {&busy, &resting}) {
        each->send(kind::begin, "BEGIN");
        each->send(kind::write, "WRITE 1 a");
    }
    fleet.run_for(100ms);
    bool left = false;
    fleet.instance(1).leave(6000ms, [&] { left = true; });
    BOOST_TEST(!idle.is_open());
    BOOST_TEST(!fleet.instance(1).is_ready());
    fleet.run_for(1000ms);
    BOOST_TEST(busy.is_open());
    busy.send(kind::commit, "COMMIT");
    fleet.run_for(100ms);
    BOOST_TEST(succeeded(busy, 2));
    BOOST_TEST(!busy.is_open());
    fleet.run_for(1500ms);
    BOOST_TEST(resting.is_open());
    fleet.run_for(700ms);
    BOOST_TEST(!resting.is_open());
    fleet.run_for(2500ms);
    BOOST_TEST(left);
}

BOOST_AUTO_TEST_CASE(a_transaction_at_work_is_not_cut_at_half_of_the_grace_period) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    fleet.instance(1).leave(6000ms, [] {});
    fleet.run_for(2800ms);
    caller.send(kind::begin, "BEGIN");
    for (int statement = 0; statement < 5; ++statement) {
        caller.send(kind::write, "WRITE 1 a");
        fleet.run_for(150ms);
    }
    caller.send(kind::commit, "COMMIT");
    fleet.run_for(100ms);
    BOOST_TEST(succeeded(caller, 6));
}

BOOST_AUTO_TEST_CASE(an_instance_that_is_out_of_rotation_takes_no_new_session) {
    test::gateway_fleet fleet(1);
    test::test_caller open(fleet.instance(1), "pay");
    fleet.instance(1).leave(6000ms, [] {});
    fleet.run_for(1000ms);
    const test::test_caller early(fleet.instance(1), "pay");
    BOOST_TEST(early.is_open());
    fleet.run_for(2000ms);
    const test::test_caller late(fleet.instance(1), "pay");
    BOOST_TEST((late.m_rejected == result_code::instance_leaving));
    BOOST_TEST(!fleet.instance(1).accepts_sessions());
}

BOOST_AUTO_TEST_CASE(a_session_that_prepares_its_operation_is_not_closed_before_it) {
    test::gateway_fleet fleet(1);
    test::test_caller prepares(fleet.instance(1), "pay");
    prepares.send(kind::set_value, "SET zone north", "zone", "north");
    fleet.instance(1).leave(6000ms, [] {});
    fleet.run_for(100ms);
    test::test_caller comes_late(fleet.instance(1), "pay");
    comes_late.send(kind::prepare, "PREPARE s1 READ q1", "s1", "q1", false);
    fleet.run_for(100ms);
    BOOST_TEST(prepares.is_open());
    BOOST_TEST(comes_late.is_open());
    prepares.send(kind::read, "READ 1");
    comes_late.send(kind::execute, "EXECUTE s1 1", "s1", "1");
    fleet.run_for(100ms);
    BOOST_TEST(succeeded(prepares, 1));
    BOOST_TEST(succeeded(comes_late, 1));
    BOOST_TEST(!prepares.is_open());
    BOOST_TEST(!comes_late.is_open());
}

BOOST_AUTO_TEST_CASE(callers_that_come_before_the_configuration_wait_for_it) {
    test::gateway_fleet fleet(1);
    gateway::gateway_ports ports{.m_clock = fleet.m_clock.port(),
                                 .m_connect = fleet.m_upstreams.connector("late"),
                                 .m_store = fleet.m_store.port("late"),
                                 .m_promote = {},
                                 .m_read_status = test::fake_upstreams::read_status,
                                 .m_probe = {}};
    gateway::gateway late({.m_name = "late"}, std::move(ports));
    BOOST_TEST(!late.can_open_sessions());
    bool known = false;
    late.when_sessions_can_open([&] { known = late.can_open_sessions(); });
    late.tick();
    BOOST_TEST(!known);
    late.start();
    fleet.run_for(50ms);
    late.tick();
    BOOST_TEST(!known);
    late.adopt_configuration(fleet.m_configuration);
    late.tick();
    BOOST_TEST(known);
}

BOOST_AUTO_TEST_CASE(callers_are_refused_at_once_when_the_store_fails_before_the_configuration_is_known) {
    test::gateway_fleet fleet(1);
    fleet.m_store.m_turned_away = {"late"};
    gateway::gateway late({.m_name = "late"}, {.m_clock = fleet.m_clock.port(),
                                               .m_connect = fleet.m_upstreams.connector("late"),
                                               .m_store = fleet.m_store.port("late"),
                                               .m_promote = {},
                                               .m_read_status = test::fake_upstreams::read_status,
                                               .m_probe = {}});
    late.start();
    bool asked = false;
    late.when_sessions_can_open([&] { asked = true; });
    fleet.run_for(50ms);
    late.tick();
    BOOST_TEST(asked);
    test::test_caller refused(late, "pay");
    BOOST_TEST((refused.m_rejected == result_code::upstream_unavailable));
    // With a configuration the session opens, and serves once the store answers.
    late.adopt_configuration(fleet.m_configuration);
    test::test_caller opened(late, "pay");
    BOOST_TEST(opened.is_open());
}

BOOST_AUTO_TEST_CASE(sessions_leave_an_instance_that_holds_no_connections_of_their_group) {
    test::gateway_fleet fleet(12);
    int holders = 0;
    int elsewhere = 0;
    for (int number = 1; number <= 12; ++number) {
        const bool holds = !fleet.instance(number).forwarding_target("pay").has_value();
        test::test_caller resting(fleet.instance(number), "pay");
        test::test_caller working(fleet.instance(number), "pay");
        working.send(kind::begin, "BEGIN");
        working.send(kind::read, "READ 1");
        resting.send(kind::read, "READ 1");
        fleet.run_for(2500ms);
        BOOST_TEST(resting.is_open() == holds);
        BOOST_TEST(working.is_open());
        working.send(kind::commit, "COMMIT");
        fleet.run_for(500ms);
        BOOST_TEST(working.m_answers.size() == 3U);
        BOOST_TEST(working.is_open() == holds);
        ++(holds ? holders : elsewhere);
    }
    BOOST_TEST(holders == 6);
    BOOST_TEST(elsewhere == 6);
}

BOOST_AUTO_TEST_CASE(a_resting_transaction_gives_its_connection_back) {
    test::gateway_fleet fleet(1);
    fleet.m_configuration.m_revision = 2;
    fleet.m_configuration.m_idle_transaction_timeout = 3000ms;
    fleet.instance(1).adopt_configuration(fleet.m_configuration);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(4000ms);
    caller.send(kind::commit, "COMMIT");
    fleet.run_for(100ms);
    BOOST_TEST((code_of(caller, 2) == result_code::transaction_lost));
    BOOST_TEST(runs_of(fleet, "COMMIT") == 0);
}

BOOST_AUTO_TEST_CASE(the_path_of_a_session_that_is_handed_on_is_watched_while_an_answer_is_late) {
    test::gateway_fleet fleet(1);
    std::optional<steady_time> waiting_since;
    int watched = 0;
    fleet.instance(1).add_forwarded({.m_leave = [] {},
                                     .m_abandon = [] {},
                                     .m_on_revision = [](std::uint64_t) {},
                                     .m_inactive_since = [] { return std::optional<steady_time>{}; },
                                     .m_unanswered_since = [&] { return waiting_since; },
                                     .m_check_path = [&] { ++watched; }});
    fleet.run_for(3000ms);
    BOOST_TEST(watched == 0);
    waiting_since = fleet.m_clock.now();
    fleet.run_for(900ms);
    BOOST_TEST(watched == 0);
    fleet.run_for(500ms);
    BOOST_TEST(watched > 0);
}
