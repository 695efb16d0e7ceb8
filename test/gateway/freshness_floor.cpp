/// \file freshness_floor.cpp
/// Checks that a staleness bound is converted to the smallest position that
/// guarantees it, within one term. Guards against reads staler than their bound,
/// and against positions of an earlier term that did not survive.
#include "anvilmount/decisions/freshness_floor.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

log_position at(std::uint64_t term, std::uint64_t offset) {
    return {.m_term = term, .m_offset = offset};
}

}

BOOST_AUTO_TEST_CASE(without_a_sample_there_is_no_position) {
    BOOST_TEST(!freshness_floor{}.position_for_age(1500ms, steady_time{10s}).has_value());
}

BOOST_AUTO_TEST_CASE(the_oldest_sample_within_the_bound_is_used) {
    freshness_floor floor;
    floor.record_sample(at(1, 10), steady_time{10s});
    floor.record_sample(at(1, 20), steady_time{11s});
    floor.record_sample(at(1, 30), steady_time{12s});
    BOOST_TEST((floor.position_for_age(1500ms, steady_time{12s}) == at(1, 20)));
    BOOST_TEST((floor.position_for_age(100ms, steady_time{12s}) == at(1, 30)));
    BOOST_TEST(!floor.position_for_age(100ms, steady_time{13s}).has_value());
}

BOOST_AUTO_TEST_CASE(a_new_term_discards_positions_that_did_not_survive) {
    freshness_floor floor;
    floor.begin_term(1, at(1, 0));
    floor.record_sample(at(1, 130), steady_time{10s});
    floor.begin_term(2, at(1, 120));
    BOOST_TEST(!floor.position_for_age(1500ms, steady_time{10s}).has_value());
    BOOST_TEST((floor.to_current_term(at(1, 130), 1) == at(1, 120)));
    BOOST_TEST((floor.to_current_term(at(2, 125), 2) == at(2, 125)));
    floor.begin_term(1, at(1, 500));
    BOOST_TEST(floor.term() == 2U);
}

BOOST_AUTO_TEST_CASE(a_sample_from_before_the_term_is_ignored) {
    freshness_floor floor;
    floor.begin_term(2, at(1, 120));
    floor.record_sample(at(1, 110), steady_time{10s});
    BOOST_TEST(!floor.position_for_age(1500ms, steady_time{10s}).has_value());
    floor.record_sample(at(1, 120), steady_time{10s});
    BOOST_TEST((floor.position_for_age(1500ms, steady_time{10s}) == at(1, 120)));
}

BOOST_AUTO_TEST_CASE(the_position_covers_every_commit_older_than_the_bound) {
    const bool holds = rc::check("the floor covers every commit older than the bound", [] {
        freshness_floor floor;
        std::map<std::uint64_t, steady_time> committed; // Time of acknowledgement by position.
        steady_time now{10s};
        std::uint64_t position = 1;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            now += milliseconds{*rc::gen::inRange(1, 400)};
            if (*rc::gen::arbitrary<bool>()) {
                committed[++position] = now;
            } else {
                floor.record_sample(at(1, position), now);
            }
        }
        const milliseconds max_staleness{*rc::gen::inRange(50, 3000)};
        const auto found = floor.position_for_age(max_staleness, now);
        if (found) {
            for (const auto& [each, when] : committed) {
                RC_ASSERT(when >= now - max_staleness || each <= found->m_offset);
            }
        }
    });
    BOOST_TEST(holds);
}

// Of two commits under way at once, the answer to the first may name a position that includes the second.
BOOST_AUTO_TEST_CASE(the_newest_acknowledged_commit_lies_between_the_positions_known_before_and_after) {
    freshness_floor floor;
    floor.begin_term(1, at(1, 10));
    const log_position before = floor.newest_position();
    floor.record_position(at(1, 14));
    floor.record_commit(before);
    BOOST_TEST((floor.acknowledged_commits().m_at_least == at(1, 11)));
    BOOST_TEST((floor.acknowledged_commits().m_at_most == at(1, 14)));
    floor.record_position(at(1, 12));
    BOOST_TEST((floor.acknowledged_commits().m_at_most == at(1, 14)));
    floor.begin_term(2, at(1, 13));
    floor.record_commit(before);
    BOOST_TEST((floor.acknowledged_commits() ==
                acknowledged_range{.m_at_least = at(1, 13), .m_at_most = at(1, 13)}));
}
