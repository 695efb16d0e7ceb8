/// \file session_setup.cpp
/// Upstreams fail the statements by which a shared connection is set up for the next caller. No statement
/// may run with session values or prepared statements other than those acknowledged to its caller.
#include "support/gateway_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace anvilmount;
using namespace std::chrono_literals;
using gateway::outgoing_statement;
using gateway::session_state;
using kind = gateway::statement_kind;
using step = outgoing_statement::kind;

namespace {

using fault = std::function<bool(const outgoing_statement&)>;

/// Hits the first `count` statements of one kind.
fault first_of(step what, int count) {
    return [what, left = std::make_shared<int>(count)](const outgoing_statement& each) {
        return each.m_kind == what && (*left)-- > 0;
    };
}

/// A caller with one session value, named after it.
struct owner {
    owner(test::gateway_fleet& fleet, const std::string& name, const std::string& database = "pay")
        : m_name(name), m_caller(fleet.instance(1), database) {
        m_caller.send(kind::set_value, "SET owner " + name, "owner", name);
    }

    std::string m_name;
    test::test_caller m_caller;
};

/// Checks that each statement in which an owner is named ran with that value, and returns how many did.
int runs_with_own_values(const test::gateway_fleet& fleet, const std::string& name) {
    int count = 0;
    for (const test::run_statement& each : fleet.m_upstreams.m_runs) {
        if (!each.m_text.ends_with(" " + name)) {
            continue;
        }
        ++count;
        const gateway::session_values expected{{"owner", name}};
        BOOST_TEST((each.m_values == expected));
    }
    return count;
}

void set_fault_everywhere(test::gateway_fleet& fleet, const fault& hits) {
    for (const char* id : {"orders-1", "orders-2", "orders-3"}) {
        fleet.m_upstreams.at(id).m_fails = hits;
    }
}

/// Lets `first` leave its values on the connections, then runs `operation` of `second` beside the fault.
template <class Operation>
void check_after(test::gateway_fleet& fleet, const fault& hits, const std::string& database,
                 Operation operation) {
    owner first(fleet, "first", database);
    owner second(fleet, "second", database);
    first.m_caller.send(kind::read, "READ first");
    fleet.run_for(100ms);
    BOOST_REQUIRE(runs_with_own_values(fleet, "first") > 0);
    set_fault_everywhere(fleet, hits);
    operation(second.m_caller);
    fleet.run_for(1500ms);
    runs_with_own_values(fleet, "second");
    BOOST_TEST(fleet.m_upstreams.m_violations.empty());
}

}

/// Callers got success and rows of statements that had run with the values of the caller before them.
BOOST_AUTO_TEST_CASE(no_statement_runs_behind_a_setup_that_failed) {
    for (const step failing : {step::reset, step::set_value}) {
        for (const int failures : {1, 2, 1000}) {
            for (const char* database : {"pay", "scan", "look"}) {
                test::gateway_fleet reads(1);
                check_after(reads, first_of(failing, failures), database,
                            [](auto& caller) { caller.send(kind::read, "READ second"); });
            }
            test::gateway_fleet writes(1);
            check_after(writes, first_of(failing, failures), "pay",
                        [](auto& caller) { caller.send(kind::write, "WRITE 1 second"); });
            for (const kind begin : {kind::begin, kind::begin_read_only}) {
                test::gateway_fleet transactions(1);
                check_after(transactions, first_of(failing, failures), "scan", [&](auto& caller) {
                    caller.send(begin, "BEGIN");
                    caller.send(kind::read, "READ second");
                    caller.send(kind::commit, "COMMIT");
                });
            }
        }
    }
}

/// A statement whose setup failed has not run: it is sent again, and its caller notices nothing.
BOOST_AUTO_TEST_CASE(a_statement_whose_setup_failed_once_is_served) {
    for (const step failing : {step::reset, step::set_value}) {
        test::gateway_fleet fleet(1);
        check_after(fleet, first_of(failing, 1), "pay",
                    [](auto& caller) { caller.send(kind::write, "WRITE 1 second"); });
        BOOST_TEST(runs_with_own_values(fleet, "second") == 1);
    }
}

BOOST_AUTO_TEST_CASE(a_statement_that_cannot_be_set_up_is_refused_as_not_run) {
    test::gateway_fleet fleet(1);
    check_after(fleet, first_of(step::set_value, 1000), "pay",
                [](auto& caller) { caller.send(kind::write, "WRITE 1 second"); });
    BOOST_TEST(runs_with_own_values(fleet, "second") == 0);
    owner third(fleet, "third");
    third.m_caller.send(kind::write, "WRITE 1 third");
    fleet.run_for(1500ms);
    BOOST_REQUIRE(third.m_caller.m_answers.size() == 2U);
    BOOST_TEST(!third.m_caller.m_answers[1].succeeded());
    BOOST_TEST((traits_of(third.m_caller.m_answers[1].m_code).m_outcome == outcome::not_run));
}

/// Behind a PREPARE that failed, EXECUTE names a statement that its caller was told is prepared.
BOOST_AUTO_TEST_CASE(no_execute_is_sent_behind_a_prepare_that_failed) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::prepare, "PREPARE s1 WRITE q", "s1", "q", true);
    set_fault_everywhere(fleet, first_of(step::prepare, 1));
    caller.send(kind::execute, "EXECUTE s1 7", "s1", "7");
    fleet.run_for(500ms);
    BOOST_TEST(caller.m_answers.at(1).succeeded());
    BOOST_TEST(fleet.m_upstreams.m_received[step::prepare] == 2);
    BOOST_TEST(fleet.m_upstreams.m_received[step::forwarded] == 1);
}

BOOST_AUTO_TEST_CASE(a_value_that_cannot_be_set_in_a_transaction_aborts_it) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    set_fault_everywhere(fleet, first_of(step::set_value, 1));
    caller.send(kind::set_value, "SET owner x", "owner", "x");
    caller.send(kind::write, "WRITE 2 b");
    caller.send(kind::commit, "COMMIT");
    fleet.run_for(500ms);
    BOOST_REQUIRE(caller.m_answers.size() == 5U);
    BOOST_TEST((caller.m_answers[3].m_code == result_code::transaction_lost));
    BOOST_TEST((caller.m_answers[4].m_code == result_code::transaction_lost));
    BOOST_TEST(fleet.m_upstreams.m_received[step::rollback] == 1);
    caller.send(kind::read, "READ 1");
    fleet.run_for(500ms);
    BOOST_TEST(caller.m_answers.at(5).succeeded());
    BOOST_TEST(!fleet.m_upstreams.m_runs.back().m_in_transaction);
}

/// COMMIT must not be sent behind a value that its session has set and the connection has not.
BOOST_AUTO_TEST_CASE(a_commit_that_was_not_sent_is_not_reported_as_in_doubt) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    fleet.m_upstreams.at("orders-1").m_breaks_at = first_of(step::set_value, 1);
    caller.send(kind::set_value, "SET owner x", "owner", "x");
    caller.send(kind::commit, "COMMIT");
    fleet.run_for(500ms);
    BOOST_REQUIRE(caller.m_answers.size() == 4U);
    BOOST_TEST((caller.m_answers[3].m_code == result_code::transaction_lost));
}

/// A write whose connection breaks while it is set up has not run, so it may be sent again.
BOOST_AUTO_TEST_CASE(a_write_whose_connection_is_lost_in_its_setup_runs_once) {
    test::gateway_fleet fleet(1);
    fleet.m_upstreams.at("orders-1").m_breaks_at = first_of(step::set_value, 1);
    owner writer(fleet, "first");
    writer.m_caller.send(kind::write, "WRITE 1 first");
    fleet.run_for(1000ms);
    BOOST_TEST(runs_with_own_values(fleet, "first") == 1);
    BOOST_TEST(writer.m_caller.m_answers.at(1).succeeded());
}

/// An upstream that answers BEGIN with success and begins nothing runs what follows by itself.
BOOST_AUTO_TEST_CASE(no_statement_of_a_transaction_runs_where_none_was_begun) {
    test::gateway_fleet fleet(1);
    fleet.m_upstreams.at("orders-1").m_ignores_begin = true;
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(1000ms);
    BOOST_TEST((caller.m_answers.at(1).m_code == result_code::transaction_lost));
    BOOST_TEST(fleet.m_upstreams.m_runs.empty());
}

/// A statement that is repeated after its upstream has ended the transaction runs by itself.
BOOST_AUTO_TEST_CASE(no_statement_is_repeated_outside_its_transaction) {
    test::gateway_fleet fleet(1);
    test::test_caller caller(fleet.instance(1), "pay");
    caller.send(kind::begin, "BEGIN");
    caller.send(kind::write, "WRITE 1 a");
    fleet.run_for(100ms);
    fleet.m_upstreams.at("orders-1").m_busy = true;
    fleet.m_upstreams.at("orders-1").m_ends_refused = true;
    caller.send(kind::write, "WRITE 2 b");
    fleet.run_for(20ms);
    fleet.m_upstreams.at("orders-1").m_busy = false;
    fleet.run_for(1000ms);
    BOOST_REQUIRE(caller.m_answers.size() == 3U);
    BOOST_TEST(!caller.m_answers[2].succeeded());
    BOOST_TEST(fleet.m_upstreams.m_runs.size() == 1U);
}

/// The setup must cost nothing where it is not needed.
BOOST_AUTO_TEST_CASE(nothing_precedes_a_statement_whose_connection_has_its_values) {
    test::gateway_fleet fleet(1);
    owner first(fleet, "first");
    first.m_caller.send(kind::prepare, "PREPARE s1 READ q", "s1", "q");
    first.m_caller.send(kind::execute, "EXECUTE s1 first", "s1", "first");
    fleet.run_for(100ms);
    auto& received = fleet.m_upstreams.m_received;
    const auto before = received;
    BOOST_TEST(before.at(step::set_value) == 1);
    BOOST_TEST(before.at(step::prepare) == 1);
    for (int round = 0; round < 5; ++round) {
        first.m_caller.send(kind::execute, "EXECUTE s1 first", "s1", "first");
        first.m_caller.send(kind::read, "READ first");
        fleet.run_for(100ms);
    }
    BOOST_TEST(received[step::set_value] == 1);
    BOOST_TEST(received[step::prepare] == 1);
    BOOST_TEST(received[step::reset] == 0);
    BOOST_TEST(received[step::forwarded] == before.at(step::forwarded) + 10);
}

/// Clearing a connection takes its values from a session that may come back.
BOOST_AUTO_TEST_CASE(a_connection_that_only_lacks_a_value_is_preferred_to_one_that_has_to_be_cleared) {
    test::gateway_fleet fleet(1);
    owner first(fleet, "first");
    first.m_caller.send(kind::set_value, "SET zone a", "zone", "a");
    std::vector<std::unique_ptr<test::test_caller>> plain;
    for (int number = 0; number < 8; ++number) {
        plain.push_back(std::make_unique<test::test_caller>(fleet.instance(1), "pay"));
    }
    first.m_caller.send(kind::read, "READ 1");
    // The connections without values are used last.
    for (int round = 0; round < 2; ++round) {
        for (const auto& each : plain) {
            each->send(kind::read, "READ 2");
        }
        fleet.run_for(round == 0 ? 15ms : 300ms);
    }
    auto& received = fleet.m_upstreams.m_received;
    const int before = received[step::reset];
    owner second(fleet, "second");
    second.m_caller.send(kind::read, "READ second");
    fleet.run_for(100ms);
    BOOST_TEST(runs_with_own_values(fleet, "second") == 1);
    BOOST_TEST(received[step::reset] == before);
}

/// A connection that another session has left ready is preferred to one that has to be cleared.
BOOST_AUTO_TEST_CASE(a_connection_that_needs_no_setup_is_preferred) {
    test::gateway_fleet fleet(1);
    std::vector<std::unique_ptr<owner>> owners;
    for (const char* name : {"a", "b"}) {
        owners.push_back(std::make_unique<owner>(fleet, name));
    }
    for (const auto& each : owners) {
        each->m_caller.send(kind::read, "READ " + each->m_name);
    }
    fleet.run_for(100ms);
    const int sets = fleet.m_upstreams.m_received[step::set_value];
    for (int round = 0; round < 5; ++round) {
        for (const auto& each : owners) {
            each->m_caller.send(kind::read, "READ " + each->m_name);
            fleet.run_for(50ms);
        }
    }
    BOOST_TEST(fleet.m_upstreams.m_received[step::set_value] == sets);
    BOOST_TEST(fleet.m_upstreams.m_received[step::reset] == 0);
}
