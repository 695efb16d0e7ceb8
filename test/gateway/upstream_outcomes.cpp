/// \file upstream_outcomes.cpp
/// Guards the judgement of upstreams by their outcomes: a bad upstream must lose work in steps and get it
/// back in steps, a good one must keep its work whatever the whole group does, one that flaps must stay
/// out longer each time, and at least half of the replicas must stay in use.
///
/// The load of each test is 20 reads of rank 2 a second to each upstream that is in use; a read on trial
/// takes the place of one of them. Time is virtual and outcomes are drawn from a fixed seed.
#include "anvilmount/decisions/upstream_outcomes.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

struct judged_group {
    upstream_outcomes m_outcomes;
    std::vector<judged_candidate> m_candidates{
        {.m_id = {"primary"}, .m_is_primary = true}, {.m_id = {"one"}}, {.m_id = {"two"}}};
    std::map<std::string, double> m_error_share;
    std::map<std::string, int> m_slowness;
    std::map<std::string, int> m_received;
    steady_time m_now{1h};
    std::mt19937 m_random{20261205}; // NOLINT(cert-msc51-cpp,bugprone-random-generator-seed): repeatable.

    void read_at(const upstream_id& id) {
        ++m_received[id.m_text];
        const bool fails = m_random() % 1000 < m_error_share[id.m_text] * 1000;
        const int slowness = std::max(1, m_slowness[id.m_text]);
        const auto time = milliseconds{(12 + static_cast<int>(m_random() % 25)) * slowness};
        m_outcomes.record(
            id, {.m_sign = fails ? work_sign::failed : work_sign::served, .m_answer_time = time}, m_now);
    }

    void run_for(milliseconds time) {
        for (const steady_time end = m_now + time; m_now < end; m_now += 50ms) {
            const read_selection selection = m_outcomes.select(m_candidates, m_now);
            if (selection.m_trial) {
                m_outcomes.start_trial(*selection.m_trial, m_now);
                read_at(*selection.m_trial);
            }
            for (const judged_candidate& each : m_candidates) {
                if (std::find(selection.m_withheld.begin(), selection.m_withheld.end(), each.m_id) ==
                    selection.m_withheld.end()) {
                    read_at(each.m_id);
                }
            }
        }
    }

    [[nodiscard]] upstream_standing standing(const std::string& id) const {
        return m_outcomes.standing_of({id});
    }

    /// Runs until the upstream has this standing and returns how long that took.
    milliseconds run_until(const std::string& id, upstream_standing wanted) {
        const steady_time start = m_now;
        while (standing(id) != wanted && m_now < start + 200s) {
            run_for(50ms);
        }
        BOOST_REQUIRE((standing(id) == wanted));
        return std::chrono::duration_cast<milliseconds>(m_now - start);
    }
};

constexpr auto in_use = upstream_standing::in_use;
constexpr auto reduced = upstream_standing::reduced;
constexpr auto on_trial = upstream_standing::on_trial;
constexpr auto returning = upstream_standing::returning;

}

BOOST_AUTO_TEST_CASE(an_upstream_that_fails_everything_loses_its_work_and_gets_it_back_in_steps) {
    judged_group group;
    group.run_for(5s);
    group.m_error_share["one"] = 1;
    group.run_until("one", reduced);
    group.run_until("one", on_trial);
    group.m_received.clear();
    group.run_for(30s);
    BOOST_TEST((group.standing("one") == on_trial));
    BOOST_TEST(group.m_received["one"] <= 100);
    BOOST_TEST(group.m_received["one"] >= 50);
    group.m_error_share["one"] = 0;
    group.run_until("one", returning);
    group.run_until("one", in_use);
    const auto changes = group.m_outcomes.take_changes();
    BOOST_REQUIRE(changes.size() == 4);
    BOOST_TEST((changes.front().m_to == reduced));
    BOOST_TEST(changes.front().m_reason == "errors");
    BOOST_TEST((changes.back().m_to == in_use));
}

BOOST_AUTO_TEST_CASE(a_share_of_errors_is_seen) {
    for (const double share : {0.1, 0.2, 0.3, 0.45}) {
        judged_group group;
        group.run_for(5s);
        group.m_error_share["two"] = share;
        group.m_received.clear();
        group.run_for(60s);
        // All of its work would be 1,200 statements.
        BOOST_TEST(group.m_received["two"] < (share < 0.2 ? 1000 : 600), "with a share of " << share);
        BOOST_TEST(group.m_received["one"] == 1200);
    }
}

BOOST_AUTO_TEST_CASE(a_slow_upstream_is_seen) {
    judged_group group;
    group.run_for(5s);
    group.m_slowness["one"] = 8;
    group.run_for(5s);
    BOOST_TEST((group.standing("one") == on_trial));
    BOOST_TEST((group.standing("two") == in_use));
    BOOST_TEST(group.m_outcomes.take_changes().front().m_reason == "slow");
}

BOOST_AUTO_TEST_CASE(an_upstream_that_is_no_worse_than_the_others_keeps_its_work) {
    judged_group group;
    for (const char* id : {"primary", "one", "two"}) {
        group.m_error_share[id] = 0.3;
        group.m_slowness[id] = 8;
    }
    group.run_for(60s);
    BOOST_TEST((group.standing("one") == in_use));
    BOOST_TEST((group.standing("two") == in_use));
}

BOOST_AUTO_TEST_CASE(work_that_only_a_primary_does_makes_no_replica_slow) {
    judged_group group;
    for (int each = 0; each < 100; ++each) {
        group.m_now += 20ms;
        group.m_outcomes.record({"primary"}, {.m_answer_time = 5ms, .m_is_comparable = false}, group.m_now);
        group.m_outcomes.record({"one"}, {.m_answer_time = 40ms}, group.m_now);
    }
    BOOST_TEST((group.standing("one") == in_use));
}

BOOST_AUTO_TEST_CASE(a_relapse_is_held_longer_each_time) {
    judged_group group;
    group.run_for(5s);
    milliseconds last{0};
    for (int each = 0; each < 4; ++each) {
        group.m_error_share["one"] = 1;
        group.run_until("one", on_trial);
        group.m_error_share["one"] = 0;
        const milliseconds held = group.run_until("one", in_use);
        BOOST_TEST(held > last, "held " << held.count() << " ms after " << last.count());
        last = held;
    }
}

BOOST_AUTO_TEST_CASE(going_down_twice_is_flapping_and_once_is_not) {
    judged_group group;
    group.run_for(5s);
    group.m_outcomes.record_down({"one"}, group.m_now);
    group.run_for(1400ms);
    BOOST_TEST((group.standing("one") == in_use));
    group.m_outcomes.record_down({"one"}, group.m_now);
    BOOST_TEST((group.standing("one") == on_trial));
    for (int each = 0; each < 20; ++each) {
        group.run_for(1400ms);
        group.m_outcomes.record_down({"one"}, group.m_now);
        BOOST_TEST((group.standing("one") == on_trial));
    }
    const milliseconds held = group.run_until("one", in_use);
    group.m_outcomes.record_down({"one"}, group.m_now);
    group.run_for(1400ms);
    group.m_outcomes.record_down({"one"}, group.m_now);
    BOOST_TEST((group.run_until("one", in_use) > held));
}

BOOST_AUTO_TEST_CASE(half_of_the_replicas_stay_in_use) {
    for (const int count : {1, 2, 3, 4, 5}) {
        judged_group group;
        group.m_candidates.resize(1);
        for (int number = 0; number < count; ++number) {
            const std::string id = "r" + std::to_string(number);
            group.m_candidates.push_back({.m_id = {id}});
            group.m_error_share[id] = 1;
        }
        group.run_for(5s);
        for (int each = 0; each < 200; ++each) {
            group.run_for(50ms);
            const auto withheld = group.m_outcomes.select(group.m_candidates, group.m_now).m_withheld;
            BOOST_TEST(static_cast<int>(withheld.size()) <= count / 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(only_an_upstream_that_serves_most_of_its_work_takes_reads_that_would_be_refused) {
    for (const double share : {0.2, 1.0}) {
        judged_group group;
        group.run_for(5s);
        BOOST_TEST(!group.m_outcomes.may_serve_overflow({"one"}, group.m_now));
        group.m_error_share["one"] = 1;
        group.run_until("one", on_trial);
        group.m_error_share["one"] = share;
        group.run_for(5s);
        BOOST_REQUIRE((group.standing("one") != in_use));
        BOOST_TEST(group.m_outcomes.may_serve_overflow({"one"}, group.m_now) == (share < 0.5));
    }
}

BOOST_AUTO_TEST_CASE(a_bad_primary_serves_reads_that_no_replica_can) {
    judged_group group;
    group.m_error_share["primary"] = 1;
    group.run_for(10s);
    BOOST_TEST((group.standing("primary") == on_trial));
    BOOST_TEST(group.m_outcomes.select(group.m_candidates, group.m_now).m_withheld.size() == 1);
    group.m_candidates.resize(1);
    BOOST_TEST(group.m_outcomes.select(group.m_candidates, group.m_now).m_withheld.empty());
}
