/// \file judged_upstreams.cpp
/// Guards the use of upstream_outcomes by a group: reads must leave an upstream that serves badly, a read
/// that failed or got no answer must be repeated once elsewhere, and a write must never be sent twice.
/// Each test plays one fault of the replica g-2 with outcomes judged and not, and prints what callers get.
///
/// The load is a group's part of the largest fleet with accounts ("K"), at one instance: 3 upstreams with
/// 5 slots; per second 18 writes of 8 ms (rank 1, target 200 ms, deadline 1 s), 85 reads of 24 ms (rank 2,
/// 400 ms, 1 s) and 31 reads of 40 ms (rank 3, 1.2 s, 4 s). The fault lasts from 5 s to 25 s of 30.
/// One test plays an eighth of that load, the part of one of eight holders, and one four times as much.
#include "support/loaded_group.hpp"

#include <boost/test/unit_test.hpp>

#include <iostream>
#include <string>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t seed = 20261205;
constexpr milliseconds before_fault = 5s;
constexpr milliseconds fault_time = 20s;
constexpr milliseconds load_time = 30s;
constexpr milliseconds flap_interval = 1400ms;

struct play_result {
    test::load_result m_writes;
    test::load_result m_reads;   ///< Rank 2.
    test::load_result m_reports; ///< Rank 3.
    int m_received{0};           ///< Statements that g-2 received.
    int m_most_sends_of_a_write{0};

    [[nodiscard]] int reads_in_target() const { return m_reads.m_in_target + m_reports.m_in_target; }
    [[nodiscard]] int reads_failed() const { return m_reads.m_failed + m_reports.m_failed; }
};

play_result play(const test::upstream_faults& faults, bool judged, const std::string& faulty = "g-2",
                 bool flaps = false, double load = 1) {
    test::loaded_group group(3, 5, {.m_judges_outcomes = judged}, seed);
    group.offer(
        {.m_name = "writes", .m_rank = 1, .m_per_second = 18 * load, .m_work_ms = 8, .m_writes = true},
        load_time);
    group.offer({.m_name = "reads", .m_per_second = 85 * load, .m_work_ms = 24, .m_target = 400ms},
                load_time);
    group.offer({.m_name = "reports",
                 .m_rank = 3,
                 .m_per_second = 31 * load,
                 .m_work_ms = 40,
                 .m_target = 1200ms,
                 .m_deadline = 4s},
                load_time);
    group.run_for(before_fault);
    if (flaps) {
        bool down = false;
        for (milliseconds passed{0}; passed < fault_time; passed += flap_interval) {
            down = !down;
            group.set_down(faulty, down);
            group.run_for(flap_interval);
        }
        group.set_down(faulty, false);
    } else {
        group.faults(faulty) = faults;
        group.run_for(fault_time);
        group.faults(faulty) = {};
    }
    group.run_for(15s);
    return {.m_writes = group.result("writes"),
            .m_reads = group.result("reads"),
            .m_reports = group.result("reports"),
            .m_received = group.received(faulty),
            .m_most_sends_of_a_write = group.most_sends_of_a_write()};
}

void print(const std::string& fault, const char* when, const play_result& result) {
    std::cout << fault << ", " << when << ": rank 1: " << result.m_writes << "; rank 2: " << result.m_reads
              << "; rank 3: " << result.m_reports << "; sent to the bad upstream: " << result.m_received
              << '\n';
}

struct comparison {
    play_result m_before;
    play_result m_after;
};

comparison compare(const std::string& fault, const test::upstream_faults& faults,
                   const std::string& faulty = "g-2", bool flaps = false) {
    const comparison made{play(faults, false, faulty, flaps), play(faults, true, faulty, flaps)};
    print(fault, "before", made.m_before);
    print(fault, "after", made.m_after);
    BOOST_TEST(made.m_after.m_most_sends_of_a_write == 1);
    // Every request is answered, by whatever.
    for (const play_result& each : {made.m_before, made.m_after}) {
        BOOST_TEST(each.m_writes.total() == 540);
        BOOST_TEST(each.m_reads.total() == 2550);
        BOOST_TEST(each.m_reports.total() == 930);
    }
    return made;
}

}

BOOST_AUTO_TEST_CASE(without_a_fault_judging_changes_nothing_for_callers) {
    const comparison made = compare("no fault", {});
    BOOST_TEST(made.m_after.reads_in_target() == made.m_before.reads_in_target());
}

BOOST_AUTO_TEST_CASE(a_share_of_failed_answers) {
    for (const double share : {0.1, 0.45, 1.0}) {
        const comparison made = compare("FAILED " + std::to_string(share), {.m_failed = share});
        BOOST_TEST(made.m_before.reads_failed() > 0);
        BOOST_TEST(made.m_after.reads_failed() == 0);
        BOOST_TEST(made.m_after.reads_in_target() > made.m_before.reads_in_target());
    }
}

BOOST_AUTO_TEST_CASE(a_share_of_busy_answers) {
    const comparison made = compare("BUSY 0.45", {.m_busy = 0.45});
    BOOST_TEST(made.m_after.reads_in_target() >= made.m_before.reads_in_target());
    BOOST_TEST(made.m_after.m_received < made.m_before.m_received);
}

BOOST_AUTO_TEST_CASE(a_share_of_unanswered_statements) {
    for (const double share : {0.1, 0.45}) {
        const comparison made = compare("unanswered " + std::to_string(share), {.m_unanswered = share});
        BOOST_TEST(made.m_after.reads_in_target() > made.m_before.reads_in_target());
    }
}

BOOST_AUTO_TEST_CASE(a_share_of_reset_connections) {
    for (const double share : {0.1, 0.45}) {
        const comparison made = compare("reset " + std::to_string(share), {.m_reset = share});
        BOOST_TEST(made.m_after.reads_in_target() >= made.m_before.reads_in_target());
        BOOST_TEST(made.m_after.m_received < made.m_before.m_received);
    }
}

BOOST_AUTO_TEST_CASE(answers_that_take_eight_times_as_long) {
    const comparison made = compare("8 times slower", {.m_slowness = 8});
    BOOST_TEST(made.m_after.reads_in_target() > made.m_before.reads_in_target());
}

BOOST_AUTO_TEST_CASE(an_upstream_that_goes_down_and_up) {
    const comparison made = compare("down and up", {}, "g-2", true);
    BOOST_TEST(made.m_after.reads_failed() <= made.m_before.reads_failed());
    BOOST_TEST(made.m_after.m_received < made.m_before.m_received);
}

BOOST_AUTO_TEST_CASE(a_holder_of_a_small_part_of_the_load_judges_as_well) {
    const test::upstream_faults faults{.m_failed = 0.45};
    const play_result before = play(faults, false, "g-2", false, 0.125);
    const play_result after = play(faults, true, "g-2", false, 0.125);
    print("an eighth of the load, FAILED 0.45", "before", before);
    print("an eighth of the load, FAILED 0.45", "after", after);
    BOOST_TEST(after.reads_failed() == 0);
    BOOST_TEST(after.m_received < before.m_received);
}

BOOST_AUTO_TEST_CASE(judging_costs_no_writes_and_few_reads_while_all_upstreams_are_busy) {
    for (const test::upstream_faults& faults :
         {test::upstream_faults{}, test::upstream_faults{.m_failed = 0.45},
          test::upstream_faults{.m_slowness = 8}}) {
        const play_result before = play(faults, false, "g-2", false, 4);
        const play_result after = play(faults, true, "g-2", false, 4);
        print("four times the load", "before", before);
        print("four times the load", "after", after);
        BOOST_TEST(after.m_writes.m_in_target >= before.m_writes.m_in_target);
        BOOST_TEST(after.m_most_sends_of_a_write == 1);
        // 90 % and 93 % with faults while a withheld upstream got no reads that would be refused.
        BOOST_TEST(after.reads_in_target() > 0.95 * before.reads_in_target());
    }
}

BOOST_AUTO_TEST_CASE(a_bad_primary_keeps_the_work_that_only_a_primary_can_do) {
    const comparison made = compare("primary FAILED 0.45", {.m_failed = 0.45}, "g-1");
    BOOST_TEST(made.m_after.reads_failed() == 0);
    BOOST_TEST(made.m_after.m_writes.m_failed > 0);
    BOOST_TEST(made.m_after.m_writes.m_refused <= made.m_before.m_writes.m_refused);
}
