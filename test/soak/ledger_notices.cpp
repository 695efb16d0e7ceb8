/// \file ledger_notices.cpp
/// Guards against a soak that passes because its checks miss violations: the ledger
/// must report each kind, and report none for a correct history. Also guards against
/// fault schedules that differ between runs with the same seed.
#include "soak/promise_ledger.hpp"
#include "soak/soak_schedule.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

/// A group of a primary "a" and a replica "b", and the sessions 1 and 2 on it. Its methods report
/// events to the ledger.
struct one_group {
    std::map<std::string, standin::line_log> m_logs{{"a", {}}, {"b", {}}};
    test::promise_ledger m_ledger{
        [](const std::string&) { return std::string("a"); },
        [this](const std::string& upstream) -> const standin::line_log& { return m_logs.at(upstream); }};
    steady_time m_now{10s};

    explicit one_group(test::freshness freshness = test::freshness::every_commit) {
        m_ledger.on_session_opened(1, {.m_database = "pay", .m_group = "g", .m_freshness = freshness});
        m_ledger.on_session_opened(2, {.m_database = "pay", .m_group = "g", .m_freshness = freshness});
    }

    void send(const std::string& id, const std::string& text, std::uint64_t attempt,
              bool in_transaction = false, std::uint64_t session = 1, bool before_half_close = false) {
        m_now += 1ms;
        m_ledger.on_statement_sent({.m_id = id,
                                    .m_text = text,
                                    .m_session = session,
                                    .m_attempt = attempt,
                                    .m_in_transaction = in_transaction,
                                    .m_before_half_close = before_half_close,
                                    .m_at = m_now});
    }

    void run(const std::string& id, const std::string& text, const std::string& upstream = "a",
             std::uint64_t transaction = 0) {
        m_ledger.on_statement_run({.m_upstream = upstream,
                                   .m_id = id,
                                   .m_text = text,
                                   .m_connection = 1,
                                   .m_transaction = transaction,
                                   .m_proof = "proof-" + id});
    }

    void commit(const std::string& id, bool superseded = false) {
        const auto made = std::make_shared<standin::line_commit>();
        made->m_statement_ids = {id};
        m_logs.at("a").push_back(made);
        m_ledger.on_committed(*made, superseded, false);
    }

    void succeed(const std::string& id) {
        m_now += 1ms;
        m_ledger.on_answer_received(id, {.m_success = true, .m_proof = "proof-" + id}, m_now);
    }

    void refuse(const std::string& id) {
        m_ledger.on_answer_received(id, {.m_failed = true, .m_guarantees_no_effect = true}, m_now);
    }

    void write(const std::string& id, std::uint64_t attempt) {
        send(id, "WRITE 1 x", attempt);
        run(id, "WRITE 1 x");
        commit(id);
        succeed(id);
    }

    /// Text of the only violation up to the colon; "none", or the number of violations if several.
    [[nodiscard]] std::string report() const {
        const auto& broken = m_ledger.violations();
        return broken.empty()       ? "none"
               : broken.size() == 1 ? broken.front().substr(0, broken.front().find(':'))
                                    : std::to_string(broken.size());
    }
};

}

BOOST_AUTO_TEST_CASE(a_correct_history_reports_no_violation) {
    one_group all;
    all.write("w1", 1);
    all.send("r1", "READ 1", 2);
    all.run("r1", "READ 1");
    all.succeed("r1");
    all.send("b2", "BEGIN", 3, true);
    all.send("w2", "WRITE 1 y", 3, true);
    all.run("w2", "WRITE 1 y", "a", 7);
    all.succeed("w2");
    all.send("c2", "COMMIT", 3, true);
    all.run("c2", "COMMIT", "a", 7);
    all.commit("w2");
    all.succeed("c2");
    BOOST_TEST(all.report() == "none");
    BOOST_TEST(all.m_ledger.successes("pay") == 4U);
}

BOOST_AUTO_TEST_CASE(a_read_that_misses_an_acknowledged_commit_is_reported) {
    one_group all;
    all.write("w1", 1);
    all.send("r1", "READ 1", 2);
    all.run("r1", "READ 1", "b");
    all.succeed("r1");
    BOOST_TEST(all.report() == "read at b lacks w1");
}

BOOST_AUTO_TEST_CASE(a_session_must_see_its_own_commits_but_not_recent_ones_of_other_sessions) {
    one_group all(test::freshness::own_commits);
    for (const std::uint64_t session : {1U, 2U}) {
        all.m_ledger.on_session_opened(session, {.m_database = "scan",
                                                 .m_group = "g",
                                                 .m_freshness = test::freshness::own_commits,
                                                 .m_max_staleness = 2500ms});
    }
    all.write("w1", 1);
    all.send("r2", "READ 1", 2, false, 2);
    all.run("r2", "READ 1", "b");
    all.succeed("r2");
    BOOST_TEST(all.report() == "none");
    all.send("r1", "READ 1", 3);
    all.run("r1", "READ 1", "b");
    all.succeed("r1");
    BOOST_TEST(all.report() == "read at b lacks w1");
}

BOOST_AUTO_TEST_CASE(a_write_that_takes_effect_twice_is_reported) {
    one_group all;
    all.write("w1", 1);
    all.commit("w1");
    BOOST_TEST(all.report() == "took effect twice");
}

BOOST_AUTO_TEST_CASE(a_refused_write_that_commits_is_reported_in_either_order) {
    for (const bool refused_first : {true, false}) {
        one_group all;
        all.send("w1", "WRITE 1 x", 1);
        all.run("w1", "WRITE 1 x");
        if (refused_first) {
            all.refuse("w1");
        }
        all.commit("w1");
        if (!refused_first) {
            all.refuse("w1");
        }
        BOOST_TEST(all.report() != "none");
    }
}

BOOST_AUTO_TEST_CASE(a_write_of_a_replaced_primary_is_reported_when_it_is_acknowledged) {
    one_group all;
    all.send("w1", "WRITE 1 x", 1);
    all.run("w1", "WRITE 1 x");
    all.commit("w1", true);
    BOOST_TEST(all.report() == "none");
    all.succeed("w1");
    BOOST_TEST(all.report() == "acknowledged a write of a replaced primary");
}

BOOST_AUTO_TEST_CASE(a_statement_run_differently_than_sent_is_reported) {
    one_group stranger;
    stranger.run("x", "READ 1");
    BOOST_TEST(stranger.report() == "ran a statement that no caller sent");

    one_group changed;
    changed.send("r1", "READ 1", 1);
    changed.run("r1", "READ 2");
    BOOST_TEST(changed.m_ledger.violations().size() == 1U);

    one_group outside;
    outside.send("r1", "READ 1", 1, true);
    outside.run("r1", "READ 1");
    BOOST_TEST(outside.report() == "ran inside or outside a transaction, contrary to the caller");

    one_group mixed;
    mixed.send("r1", "READ 1", 1, true);
    mixed.run("r1", "READ 1", "a", 7);
    mixed.send("r2", "READ 1", 2, true);
    mixed.run("r2", "READ 1", "a", 7);
    BOOST_TEST(mixed.report() == "ran in a different transaction");

    one_group values;
    values.m_ledger.on_value_set(1, "v", "1");
    values.send("r1", "READ 1", 1);
    values.run("r1", "READ 1");
    BOOST_TEST(values.report() == "ran with different session values");

    one_group forged;
    forged.send("r1", "READ 1", 1);
    forged.run("r1", "READ 1");
    forged.m_ledger.on_answer_received("r1", {.m_success = true, .m_proof = "other"}, forged.m_now);
    BOOST_TEST(forged.report() == "answered with success, but not with the proof and rows of the upstream");

    one_group hasty;
    hasty.send("w1", "WRITE 1 x", 1, true);
    hasty.run("w1", "WRITE 1 x", "a", 7);
    hasty.commit("w1");
    BOOST_TEST(hasty.report() == "committed without the caller's COMMIT");
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_result_or_with_two_is_reported) {
    one_group all;
    all.send("s1", "SET v 1", 1);
    all.m_ledger.on_answer_received("s1", {}, all.m_now);
    BOOST_TEST(all.report() == "answered with no result");

    one_group twice;
    twice.send("s1", "SET v 1", 1);
    twice.m_ledger.on_answer_received("s1", {.m_success = true, .m_failed = true}, twice.m_now);
    BOOST_TEST(twice.report() == "answered with both success and error");
}

BOOST_AUTO_TEST_CASE(a_statement_that_a_living_gateway_leaves_unanswered_is_reported) {
    const auto report = [](const auto& change, bool has_run = false) {
        one_group all;
        all.send("r1", "READ 1", 1);
        if (has_run) {
            all.run("r1", "READ 1");
        }
        test::gateway_life life{.m_last_seen = all.m_now};
        change(life, all.m_now);
        all.m_ledger.on_closed_unanswered("r1", life);
        return all.report();
    };
    const std::string unanswered = "connection closed without an answer";
    BOOST_TEST(report([](auto&, auto) {}) == unanswered);
    // Told to stop and still running, or sent before the last moments of the process.
    BOOST_TEST(report([](auto& life, auto sent_at) { life.m_told_to_stop = sent_at; }) == unanswered);
    BOOST_TEST(report([](auto& life, auto sent_at) {
                   life.m_told_to_stop = sent_at;
                   life.m_ended = true;
                   life.m_last_seen = sent_at + 100ms;
               }) == unanswered);
    // Suspended, but not told to stop; or not suspended since both SIGTERM and the statement.
    BOOST_TEST(report([](auto& life, auto sent_at) { life.m_suspended_until = sent_at; }) == unanswered);
    BOOST_TEST(report([](auto& life, auto sent_at) {
                   life.m_told_to_stop = sent_at;
                   life.m_suspended_until = sent_at - 1ms;
               }) == unanswered);
    BOOST_TEST(report([](auto& life, auto sent_at) {
                   life.m_told_to_stop = sent_at + 2ms;
                   life.m_suspended_until = sent_at + 1ms;
               }) == unanswered);
    // An end that nobody asked for explains nothing.
    BOOST_TEST(report([](auto& life, auto) { life.m_ended = true; }) == unanswered);

    const auto in_last_moments = [](auto& life, auto sent_at) {
        life.m_told_to_stop = sent_at;
        life.m_ended = true;
        life.m_last_seen = sent_at + 99ms;
    };
    BOOST_TEST(report(in_last_moments) == "none");
    BOOST_TEST(report(in_last_moments, true) == unanswered);
    BOOST_TEST(report([](auto& life, auto) { life.m_killed = true; }) == "none");
    BOOST_TEST(report([](auto& life, auto sent_at) {
                   life.m_told_to_stop = sent_at;
                   life.m_suspended_until = sent_at;
               }) == "none");
}

BOOST_AUTO_TEST_CASE(an_answer_that_a_half_close_cuts_off_is_reported) {
    one_group all;
    all.send("b1", "BEGIN", 1, true, 1, true);
    all.send("w1", "WRITE 1 x", 1, true, 1, true);
    all.send("c1", "COMMIT", 1, true, 1, true);
    all.m_ledger.on_answer_received("b1", {.m_success = true, .m_proof = "-"}, all.m_now);
    all.run("w1", "WRITE 1 x", "a", 7);
    all.succeed("w1");
    all.run("c1", "COMMIT", "a", 7);
    all.commit("w1");
    BOOST_TEST(all.report() == "none");
    all.m_ledger.on_closed_unanswered("c1", {.m_last_seen = all.m_now});
    BOOST_REQUIRE(all.m_ledger.violations().size() == 1U);
    BOOST_TEST(all.m_ledger.violations().front() ==
               "connection closed without an answer: c1, sending shut down, has run");
}

BOOST_AUTO_TEST_CASE(a_start_that_a_gateway_leaves_without_a_line_is_reported) {
    const steady_time told{10s};
    const auto outcome = [&](const test::ended_start& what, const test::gateway_life& life) {
        one_group all;
        all.m_ledger.on_start_ended(what, life);
        return all.m_ledger.reset_starts().empty() ? all.report() : "counted";
    };
    const test::gateway_life leaving{.m_told_to_stop = told, .m_last_seen = told + 500ms};
    const test::gateway_life killed{.m_killed = true, .m_told_to_stop = told};
    const test::ended_start before{
        .m_connected_at = told - 1ms, .m_ended_at = told + 2ms, .m_was_reset = true};
    const test::ended_start after{
        .m_connected_at = told + 1ms, .m_ended_at = told + 2ms, .m_was_reset = true};
    const test::ended_start unseen{.m_ended_at = told + 2ms, .m_was_reset = true};
    BOOST_TEST(outcome(before, leaving) == "connection reset without an answer to START");
    BOOST_TEST(outcome(after, leaving) == "counted");
    BOOST_TEST(outcome(unseen, leaving) == "counted");
    test::ended_start received = after;
    received.m_was_received = true;
    BOOST_TEST(outcome(received, leaving) == "connection reset without an answer to START");
    for (const auto& each : {before, after, unseen}) {
        BOOST_TEST(outcome(each, {}) == "connection reset without an answer to START");
        BOOST_TEST(outcome(each, killed) == "none");
    }
    // The end of the stream is no reset, and an answer is lost by one.
    BOOST_TEST(outcome({.m_connected_at = told + 1ms, .m_ended_at = told + 2ms}, leaving) ==
               "connection closed without an answer to START");
    BOOST_TEST(outcome({.m_connected_at = told + 1ms,
                        .m_ended_at = told + 2ms,
                        .m_was_answered = true,
                        .m_was_reset = true},
                       leaving) == "connection reset after START was refused");
    BOOST_TEST(outcome({.m_connected_at = told + 1ms, .m_ended_at = told + 2ms, .m_was_answered = true},
                       leaving) == "none");
}

BOOST_AUTO_TEST_CASE(a_promotion_with_an_older_or_reused_fencing_token_is_reported) {
    one_group all;
    all.m_ledger.on_promotion_ordered("one", 3);
    all.m_ledger.on_promotion_ordered("one", 3);
    all.m_ledger.on_promotion_ordered("two", 4);
    BOOST_TEST(all.report() == "none");
    all.m_ledger.on_promotion_ordered("one", 3);
    BOOST_TEST(all.m_ledger.violations().size() == 1U);
    all.m_ledger.on_promotion_ordered("three", 4);
    BOOST_TEST(all.m_ledger.violations().size() == 2U);
}

BOOST_AUTO_TEST_CASE(the_same_seed_gives_the_same_schedule) {
    const test::soak_size size{.m_gateways = 4, .m_upstreams = 6, .m_duration = 60000ms};
    const auto first = test::draw_schedule(7, size);
    const auto again = test::draw_schedule(7, size);
    const auto other = test::draw_schedule(8, size);
    BOOST_REQUIRE(first.size() == again.size());
    BOOST_TEST(first.size() > 20U);
    for (std::size_t index = 0; index < first.size(); ++index) {
        BOOST_TEST(first[index].m_at.count() == again[index].m_at.count());
        BOOST_TEST((first[index].m_fault == again[index].m_fault));
        BOOST_TEST(first[index].m_target == again[index].m_target);
    }
    for (const auto fault : {test::soak_fault::configuration_series, test::soak_fault::stop}) {
        BOOST_TEST(std::any_of(first.begin(), first.end(),
                               [&](const test::soak_event& each) { return each.m_fault == fault; }));
    }
    BOOST_TEST((other.size() != first.size() || other.front().m_fault != first.front().m_fault));
}

BOOST_AUTO_TEST_CASE(changes_restarts_and_settings_overlap_in_each_schedule) {
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        const auto events =
            test::draw_schedule(seed, {.m_gateways = 4, .m_upstreams = 6, .m_duration = 12000ms});
        const auto series = std::find_if(events.begin(), events.end(), [](const auto& each) {
            return each.m_fault == test::soak_fault::configuration_series;
        });
        BOOST_REQUIRE((series != events.end()));
        const auto beside = [&](test::soak_fault fault) {
            return std::count_if(events.begin(), events.end(), [&](const auto& each) {
                return each.m_fault == fault && each.m_at > series->m_at &&
                       each.m_at < series->m_at + series->m_active_time;
            });
        };
        BOOST_TEST(beside(test::soak_fault::stop) >= 3);
        BOOST_TEST(beside(test::soak_fault::reload) >= 6);
        BOOST_TEST(beside(test::soak_fault::kill) >= 1);
    }
}
