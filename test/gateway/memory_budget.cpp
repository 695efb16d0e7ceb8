/// \file memory_budget.cpp
/// Who gives way when a process holds too much memory for its callers: the largest holders, and never an
/// ordinary one for another's debt.
#include "anvilmount/decisions/memory_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace anvilmount;

namespace {

constexpr std::size_t megabyte = std::size_t{1} << 20U;
constexpr std::size_t limit = 16 * megabyte;
constexpr std::size_t ordinary = 64 * 1024;

}

BOOST_AUTO_TEST_CASE(nothing_is_paused_or_closed_without_a_budget) {
    memory_budget budget({.m_limit = 0});
    budget.set_held(1, std::size_t{1} << 40U);
    BOOST_TEST(!budget.must_pause(1));
    BOOST_TEST(budget.may_resume());
    BOOST_TEST(budget.may_serve(std::size_t{1} << 40U, limit));
    BOOST_TEST(budget.take_excess().empty());
}

BOOST_AUTO_TEST_CASE(one_large_message_is_neither_paused_nor_closed) {
    memory_budget budget({.m_limit = limit});
    budget.set_held(1, 2 * megabyte);
    BOOST_TEST(!budget.must_pause(1));
    BOOST_TEST(budget.may_serve(5 * megabyte, 0));
    BOOST_TEST(budget.take_excess().empty());
}

// A rule that pauses all at the mark would stop ordinary callers for another's debt.
BOOST_AUTO_TEST_CASE(above_the_high_water_mark_only_holders_above_the_mean_are_paused) {
    memory_budget budget({.m_limit = limit});
    budget.set_held(1, 10 * megabyte);
    budget.set_held(2, 3 * megabyte);
    budget.set_held(3, ordinary);
    BOOST_TEST(budget.must_pause(1));
    BOOST_TEST(!budget.must_pause(2));
    BOOST_TEST(!budget.must_pause(3));
    BOOST_TEST(!budget.must_pause(4));
    BOOST_TEST(!budget.may_resume());
    budget.set_held(1, 4 * megabyte);
    BOOST_TEST(budget.may_resume());
}

BOOST_AUTO_TEST_CASE(above_the_limit_the_largest_are_closed_first) {
    memory_budget budget({.m_limit = limit});
    budget.set_held(1, 3 * megabyte);
    budget.set_held(2, 9 * megabyte);
    budget.set_held(3, 5 * megabyte);
    BOOST_TEST((budget.take_excess() == std::vector<memory_budget::holder_id>{2}));
    BOOST_TEST(budget.total() == 8 * megabyte);
    BOOST_TEST(budget.take_excess().empty());
}

// Requests whose caller has gone stay in memory until they end; closing more callers does not free them.
BOOST_AUTO_TEST_CASE(unowned_bytes_count_against_the_budget) {
    memory_budget budget({.m_limit = limit});
    budget.set_held(1, 9 * megabyte);
    budget.set_held(2, 3 * megabyte);
    budget.set_unowned(5 * megabyte);
    BOOST_TEST((budget.take_excess() == std::vector<memory_budget::holder_id>{1}));
}

BOOST_AUTO_TEST_CASE(requests_in_service_take_at_most_a_third_unless_one_is_alone) {
    const memory_budget budget({.m_limit = limit});
    BOOST_TEST(budget.may_serve(limit, 0));
    BOOST_TEST(budget.may_serve(megabyte, 4 * megabyte));
    BOOST_TEST(!budget.may_serve(2 * megabyte, 4 * megabyte));
}

BOOST_AUTO_TEST_CASE(the_rest_is_within_the_budget_and_no_larger_than_what_was_closed) {
    const bool holds = rc::check("excess", [] {
        memory_budget budget({.m_limit = limit});
        std::map<memory_budget::holder_id, std::size_t> held;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            const auto holder = *rc::gen::inRange<memory_budget::holder_id>(1, 30);
            const auto bytes = *rc::gen::inRange<std::size_t>(0, 2 * megabyte);
            budget.set_held(holder, bytes);
            held[holder] = bytes;
            const bool over = budget.total() > limit;
            std::size_t smallest_closed = limit;
            const auto closed = budget.take_excess();
            RC_ASSERT(closed.empty() != over);
            for (const auto each : closed) {
                smallest_closed = std::min(smallest_closed, held[each]);
                held.erase(each);
            }
            std::size_t sum = 0;
            for (const auto& [number, size] : held) {
                sum += size;
                RC_ASSERT(closed.empty() || size <= smallest_closed);
            }
            RC_ASSERT(sum == budget.total());
            RC_ASSERT(sum <= limit);
        }
    });
    BOOST_TEST(holds);
}
