/// \file callers.cpp
/// Tests the gateway through its callers, in virtual time with fake upstreams and a
/// fake store: outcomes of statements, transactions, session values, prepared
/// statements, read consistency, and the draining of an instance.
#include "support/gateway_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilmount;
using namespace std::chrono_literals;
using gateway::session_state;
using kind = gateway::statement_kind;

namespace {

/// Returns how often the upstreams ran a statement with this text.
int run_count(const test::gateway_fleet& fleet, const std::string& text) {
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

/// A successful answer must carry the upstream's own proof, not one made by the gateway,
/// and the statement must run exactly once.
BOOST_AUTO_TEST_CASE(a_statement_is_answered_with_the_upstreams_proof) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    BOOST_REQUIRE(succeeded(caller, 0));
    BOOST_TEST(*caller.m_answers[0].m_proof == "proof-q1");
    BOOST_TEST(run_count(fleet, "WRITE 1 a") == 1);
}

/// A session on a database without a route would have no group to serve it.
BOOST_AUTO_TEST_CASE(an_unknown_database_is_rejected) {
    test::gateway_fleet fleet(1);
    const test::test_caller caller(fleet.instance(1), "nowhere");
    BOOST_TEST((caller.m_rejected == result_code::unknown_group));
}

/// Guards against a session that keeps using a route which a newer configuration removed.
BOOST_AUTO_TEST_CASE(the_next_operation_fails_after_its_route_is_removed) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    fleet.m_configuration.m_revision = 2;
    fleet.m_configuration.m_routes.erase("pay");
    fleet.instance(1).adopt_configuration(fleet.m_configuration);
    caller.send(kind::read, "READ 1");
    fleet.run_for(100ms);
    BOOST_TEST((code_of(caller, 0) == result_code::unknown_group));
}

/// Guards against serving a forwarded session with an outdated route. The instance that
/// forwards a session may have a newer configuration than the one that serves it. The open
/// transaction may still finish; the next operation is refused without being run.
BOOST_AUTO_TEST_CASE(a_session_is_closed_by_an_instance_with_an_older_configuration) {
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
    BOOST_TEST(run_count(fleet, "WRITE 1 a") == 0);
}

/// Guards against a delayed, older configuration that removes routes added since.
BOOST_AUTO_TEST_CASE(an_older_configuration_is_ignored) {
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

/// Guards against a transaction that is spread over connections, and against BEGIN taking a
/// connection that then sits idle.
BOOST_AUTO_TEST_CASE(a_transaction_uses_one_connection_and_none_before_its_first_statement) {
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
    BOOST_TEST(fleet.m_upstreams.m_violations.empty());
}

/// Guards against a statement that runs in another caller's transaction because a connection
/// was reused before that transaction ended.
BOOST_AUTO_TEST_CASE(concurrent_transactions_do_not_share_a_connection) {
    test::gateway_fleet fleet(1);
    std::vector<std::unique_ptr<test::test_caller>> callers;
    for (int number = 0; number < 6; ++number) {
        callers.push_back(std::make_unique<test::test_caller>(fleet.instance(1), "pay"));
        callers.back()->send(kind::begin, "BEGIN");
        callers.back()->send(kind::write, "WRITE " + std::to_string(number) + " x");
        callers.back()->send(kind::commit, "COMMIT");
    }
    fleet.run_for(900ms);
    std::map<std::uint64_t, std::string> open; // Text of the open transaction's write, by connection.
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

/// Guards against statements that run after part of their transaction was lost. COMMIT must
/// report the transaction as lost and leave the session usable.
BOOST_AUTO_TEST_CASE(a_failed_transaction_accepts_only_commit_or_rollback) {
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

/// Guards against reusing a connection with the open transaction of a disconnected caller:
/// the next caller's statements would then become part of it.
BOOST_AUTO_TEST_CASE(a_transaction_is_rolled_back_when_its_caller_disconnects) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    const auto before = fleet.m_upstreams.at("orders-1").m_position;
    caller.disconnect();
    fleet.run_for(100ms);
    test::test_caller next(fleet.instance(1), "pay");
    next.send(kind::read, "READ 1");
    fleet.run_for(100ms);
    BOOST_TEST(succeeded(next, 0));
    BOOST_TEST((fleet.m_upstreams.at("orders-1").m_position == before));
    BOOST_TEST(!fleet.m_upstreams.m_runs.back().m_in_transaction);
}

/// Guards against a write that runs twice. The upstream runs the write and then breaks the
/// connection, so the gateway cannot tell whether it was committed.
BOOST_AUTO_TEST_CASE(a_write_whose_answer_is_lost_has_an_unknown_outcome_and_is_not_retried) {
    test::gateway_fleet fleet(1);
    fleet.m_upstreams.at("orders-1").m_loses_answers = true;
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(2000ms);
    BOOST_TEST((code_of(caller, 0) == result_code::outcome_unknown));
    BOOST_TEST(run_count(fleet, "WRITE 1 a") == 1);
}

/// Guards against reporting a commit as failed that may have succeeded, and against an unknown
/// outcome for a transaction that changed nothing.
BOOST_AUTO_TEST_CASE(a_commit_whose_answer_is_lost_has_an_unknown_outcome_only_after_a_write) {
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
        BOOST_TEST(run_count(fleet, "COMMIT") == 1);
    }
}

/// Guards against sending COMMIT on another connection after the upstream crashed between the
/// write and the commit: that commit would succeed although the write is gone.
BOOST_AUTO_TEST_CASE(a_transaction_that_loses_its_connection_before_commit_is_reported_lost) {
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
    BOOST_TEST(run_count(fleet, "COMMIT") == 0);
}

/// A read is safe to retry: the caller must not see that both replicas break the connection
/// after running it. The first statement gives the gateway a sample of the primary's log.
BOOST_AUTO_TEST_CASE(a_read_whose_answer_is_lost_is_retried_at_another_upstream) {
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

/// Guards against closing a connection because one statement exceeded its deadline. The upstream
/// keeps running the statement, so a replacement connection would take another of its slots.
BOOST_AUTO_TEST_CASE(an_answer_after_the_deadline_does_not_close_its_connection) {
    test::gateway_fleet fleet(1);
    fleet.m_upstreams.at("orders-1").m_work_time = 1100ms;
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(300ms);
    // Other statements are answered meanwhile, so the upstream does not count as unresponsive.
    test::test_caller other(fleet.instance(1), "pay");
    fleet.m_upstreams.at("orders-1").m_work_time = 10ms;
    for (int round = 0; round < 8; ++round) {
        other.send(kind::read, "READ 2");
        fleet.run_for(150ms);
    }
    BOOST_TEST((code_of(caller, 0) == result_code::outcome_unknown));
    const auto opened = fleet.instance(1).counters().to_json()["counters"]["upstream_connections_lost"];
    BOOST_TEST((opened.is_null() || opened == 0));
}

/// Guards against answers whose loss nobody can explain afterwards.
BOOST_AUTO_TEST_CASE(closings_of_upstream_connections_and_lost_answers_are_counted_by_cause) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    fleet.m_upstreams.at("orders-1").m_loses_answers = true;
    caller.send(kind::write, "WRITE 1 a", {}, {}, true);
    fleet.run_for(300ms);
    fleet.m_upstreams.at("orders-1").m_loses_answers = false;
    fleet.m_upstreams.at("orders-1").m_silent = true;
    caller.send(kind::write, "WRITE 2 a", {}, {}, true);
    fleet.run_for(2000ms);
    const auto counters = fleet.instance(1).counters().to_json()["counters"];
    BOOST_TEST(counters["answers_lost"] == 2);
    BOOST_TEST(counters["answers_lost_by_connection_lost"] == 1);
    // The coordinator replaces a silent primary before the deadline.
    BOOST_TEST(counters["answers_lost_by_primary_released"] == 1);
    BOOST_TEST(counters["upstream_connections_closed_primary_released"] == 1);
}

/// Guards against session values that stay on a pooled connection and apply to the statements
/// of another session.
BOOST_AUTO_TEST_CASE(session_values_apply_to_their_session_only) {
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

/// Guards against setting values on a connection only when a transaction acquires it.
BOOST_AUTO_TEST_CASE(a_value_set_in_a_transaction_applies_to_its_next_statement) {
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

/// Two callers prepare different templates under one name on a shared connection. Each must
/// execute its own.
BOOST_AUTO_TEST_CASE(equal_prepared_names_of_two_callers_do_not_collide) {
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

/// Guards against executing a statement that stays prepared on the pooled connection after
/// the caller has deallocated it.
BOOST_AUTO_TEST_CASE(a_deallocated_statement_is_unknown) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::prepare, "PREPARE s1 READ q1", "s1", "q1", false);
    caller.send(kind::deallocate, "DEALLOCATE s1", "s1");
    caller.send(kind::execute, "EXECUTE s1 1", "s1", "1");
    fleet.run_for(100ms);
    BOOST_TEST((code_of(caller, 2) == result_code::unknown_prepared_statement));
}

/// Guards against a session that does not see its own write because a replica which has not
/// applied it serves the read.
BOOST_AUTO_TEST_CASE(a_read_after_a_write_is_not_served_by_a_lagging_replica) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "scan");
    fleet.m_upstreams.at("orders-2").m_replicates = false;
    fleet.m_upstreams.at("orders-3").m_replicates = false;
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

/// Without a sample of the primary's log position, no replica is known to be within the
/// staleness bound. The first read provides the sample, and a replica serves the second.
BOOST_AUTO_TEST_CASE(a_bounded_staleness_read_uses_the_primary_until_a_sample_exists) {
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

/// A busy upstream refuses a write without running it, so the gateway retries the write until
/// its deadline. It must run exactly once.
BOOST_AUTO_TEST_CASE(a_statement_refused_by_a_busy_upstream_is_retried) {
    test::gateway_fleet fleet(1);
    fleet.m_upstreams.at("orders-1").m_busy = true;
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(40ms);
    fleet.m_upstreams.at("orders-1").m_busy = false;
    fleet.run_for(300ms);
    BOOST_TEST(succeeded(caller, 0));
    BOOST_TEST(run_count(fleet, "WRITE 1 a") == 1);
}

/// Guards against a shutdown that aborts transactions in use, and against one that an inactive
/// transaction delays. Inactive transactions are closed after half of the grace period.
BOOST_AUTO_TEST_CASE(a_leaving_instance_closes_idle_sessions_and_lets_transactions_finish) {
    test::gateway_fleet fleet(1);
    test::test_caller idle(fleet.instance(1), "pay");
    idle.send(kind::read, "READ 1");
    test::test_caller busy(fleet.instance(1), "pay");
    test::test_caller inactive(fleet.instance(1), "pay");
    for (test::test_caller* each : {&busy, &inactive}) {
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
    BOOST_TEST(inactive.is_open());
    fleet.run_for(700ms);
    BOOST_TEST(!inactive.is_open());
    fleet.run_for(2500ms);
    BOOST_TEST(left);
}

/// Guards against closing a transaction whose statements follow each other when the grace
/// period for inactive transactions ends.
BOOST_AUTO_TEST_CASE(an_active_transaction_is_not_closed_at_half_of_the_grace_period) {
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

/// A leaving instance still serves the sessions that the balancer sends until it has noticed.
/// After that time a new session could end at any moment, so it is rejected.
BOOST_AUTO_TEST_CASE(a_leaving_instance_rejects_sessions_once_it_is_out_of_rotation) {
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

/// Guards against closing a session between setting a value or preparing a statement and the
/// operation that needs it, in sessions opened before and after the instance begins to leave.
BOOST_AUTO_TEST_CASE(a_draining_session_stays_open_for_the_operation_it_prepares) {
    test::gateway_fleet fleet(1);
    test::test_caller opened_before(fleet.instance(1), "pay");
    opened_before.send(kind::set_value, "SET zone north", "zone", "north");
    fleet.instance(1).leave(6000ms, [] {});
    fleet.run_for(100ms);
    test::test_caller opened_during(fleet.instance(1), "pay");
    opened_during.send(kind::prepare, "PREPARE s1 READ q1", "s1", "q1", false);
    fleet.run_for(100ms);
    BOOST_TEST(opened_before.is_open());
    BOOST_TEST(opened_during.is_open());
    opened_before.send(kind::read, "READ 1");
    opened_during.send(kind::execute, "EXECUTE s1 1", "s1", "1");
    fleet.run_for(100ms);
    BOOST_TEST(succeeded(opened_before, 1));
    BOOST_TEST(succeeded(opened_during, 1));
    BOOST_TEST(!opened_before.is_open());
    BOOST_TEST(!opened_during.is_open());
}

/// Guards against rejecting callers during the milliseconds in which a started instance has
/// not yet received its configuration.
BOOST_AUTO_TEST_CASE(callers_wait_until_the_configuration_is_known) {
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

/// Guards against a START line that an instance has read and leaves without an answer when it ends.
BOOST_AUTO_TEST_CASE(callers_that_wait_for_the_configuration_are_answered_before_a_leaving_instance_ends) {
    for (const milliseconds grace : {6000ms, 1000ms}) {
        test::gateway_fleet fleet(1);
        gateway::gateway late({.m_name = "late"}, {.m_clock = fleet.m_clock.port(),
                                                   .m_connect = fleet.m_upstreams.connector("late"),
                                                   .m_store = fleet.m_store.port("late"),
                                                   .m_promote = {},
                                                   .m_read_status = test::fake_upstreams::read_status,
                                                   .m_probe = {}});
        int waiting = 0;
        std::optional<int> left_waiting;
        late.leave(grace, [&] { left_waiting = waiting; });
        while (!left_waiting) {
            if (late.accepts_sessions()) {
                ++waiting;
                late.when_sessions_can_open([&] { --waiting; });
            }
            fleet.run_for(10ms);
            late.tick();
        }
        BOOST_TEST(*left_waiting == 0);
        BOOST_TEST(!late.accepts_sessions());
    }
}

/// Guards against callers that wait for a configuration which cannot arrive because the store
/// refuses the instance.
BOOST_AUTO_TEST_CASE(callers_are_refused_at_once_when_the_store_fails_before_the_configuration_is_known) {
    test::gateway_fleet fleet(1);
    fleet.m_store.m_refused_clients = {"late"};
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
    // Once the configuration is known, the session opens; it serves statements once the store answers.
    late.adopt_configuration(fleet.m_configuration);
    test::test_caller opened(late, "pay");
    BOOST_TEST(opened.is_open());
}

/// A session opened before its instance learns which instances hold connections to the group
/// is closed there after its transaction, so that it reopens and is forwarded to a holder. Of
/// 12 instances 6 hold connections.
BOOST_AUTO_TEST_CASE(sessions_are_drained_at_instances_without_connections_to_their_group) {
    test::gateway_fleet fleet(12);
    int holders = 0;
    int non_holders = 0;
    for (int number = 1; number <= 12; ++number) {
        const bool holds = !fleet.instance(number).forwarding_target("pay").has_value();
        test::test_caller inactive(fleet.instance(number), "pay");
        test::test_caller active(fleet.instance(number), "pay");
        active.send(kind::begin, "BEGIN");
        active.send(kind::read, "READ 1");
        inactive.send(kind::read, "READ 1");
        fleet.run_for(2500ms);
        BOOST_TEST(inactive.is_open() == holds);
        BOOST_TEST(active.is_open());
        active.send(kind::commit, "COMMIT");
        fleet.run_for(500ms);
        BOOST_TEST(active.m_answers.size() == 3U);
        BOOST_TEST(active.is_open() == holds);
        ++(holds ? holders : non_holders);
    }
    BOOST_TEST(holders == 6);
    BOOST_TEST(non_holders == 6);
}

/// Guards against callers that leave a transaction open and so block a connection
/// of the pool. The caller's commit must be refused, not sent.
BOOST_AUTO_TEST_CASE(a_transaction_idle_beyond_its_timeout_is_rolled_back) {
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
    BOOST_TEST(run_count(fleet, "COMMIT") == 0);
}

/// Guards against a caller that waits forever when the instance that serves its forwarded
/// session is unreachable, and against monitoring paths whose answers are not late.
BOOST_AUTO_TEST_CASE(the_path_of_a_forwarded_session_is_monitored_while_an_answer_is_late) {
    test::gateway_fleet fleet(1);
    std::optional<steady_time> waiting_since;
    int checks = 0;
    fleet.instance(1).add_forwarded({.m_leave = [] {},
                                     .m_abandon = [] {},
                                     .m_on_revision = [](std::uint64_t) {},
                                     .m_inactive_since = [] { return std::optional<steady_time>{}; },
                                     .m_unanswered_since = [&] { return waiting_since; },
                                     .m_check_path = [&] { ++checks; }});
    fleet.run_for(3000ms);
    BOOST_TEST(checks == 0);
    waiting_since = fleet.m_clock.now();
    fleet.run_for(900ms);
    BOOST_TEST(checks == 0);
    fleet.run_for(500ms);
    BOOST_TEST(checks > 0);
}
