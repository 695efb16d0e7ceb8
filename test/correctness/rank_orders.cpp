/// \file rank_orders.cpp
/// Guards the orders within a rank: an account that floods must not delay the others, work must be
/// shared by slot time and not by number, a request that can still be in time must not wait for one
/// that cannot, and a queue without accounts and without different latency targets must behave as the
/// round-robin between callers always has.
#include "anvilmount/decisions/admission.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

#include <cmath>
#include <deque>
#include <map>
#include <utility>

using namespace anvilmount;
using namespace std::chrono_literals;

namespace {

constexpr steady_time far_deadline{100s};

admission_options options(int slots, rank_order order) {
    return {.m_slots = slots,
            .m_ranks = {rank_spec{}, rank_spec{}, rank_spec{}},
            .m_orders = {order, order, order}};
}

admission_ticket of_account(std::uint64_t id, const std::string& account, milliseconds work = 10ms) {
    return {.m_id = id, .m_deadline = far_deadline, .m_account = account, .m_expected_work = work};
}

admission_ticket startable_until(std::uint64_t id, milliseconds latest_start) {
    return {.m_id = id, .m_deadline = far_deadline, .m_latest_start = steady_time{latest_start}};
}

void add(admission_queue& queue, const admission_ticket& ticket) {
    BOOST_REQUIRE((queue.enqueue(ticket) == enqueue_result::queued));
}

/// Runs one ticket to its end and returns it.
admission_ticket run_next(admission_queue& queue, milliseconds work, steady_time now = {}) {
    const auto ticket = queue.next(true, now);
    BOOST_REQUIRE(ticket.has_value());
    queue.release(*ticket, work);
    return *ticket;
}

}

BOOST_AUTO_TEST_CASE(a_flooding_account_delays_another_by_one_ticket_at_most) {
    admission_queue queue(options(1, rank_order::accounts));
    for (std::uint64_t id = 1; id <= 300; ++id) {
        add(queue, of_account(id, "flood"));
    }
    for (int round = 0; round < 20; ++round) {
        run_next(queue, 10ms);
        add(queue, of_account(1000, "small"));
        const bool first = run_next(queue, 10ms).m_account == "small";
        const bool second = run_next(queue, 10ms).m_account == "small";
        BOOST_TEST((first != second));
    }
}

BOOST_AUTO_TEST_CASE(accounts_share_slot_time_and_not_the_number_of_requests) {
    admission_queue queue(options(1, rank_order::accounts));
    std::map<std::string, milliseconds> had;
    std::uint64_t id = 0;
    for (int each = 0; each < 400; ++each) {
        add(queue, of_account(++id, "long"));
        add(queue, of_account(++id, "short"));
    }
    while (had["long"] + had["short"] < 4s) {
        // The expectation is the same for both: the shares follow from the time that was measured.
        const auto ticket = queue.next(true);
        BOOST_REQUIRE(ticket.has_value());
        const milliseconds work = ticket->m_account == "long" ? 40ms : 10ms;
        had[ticket->m_account] += work;
        queue.release(*ticket, work);
    }
    BOOST_TEST(std::abs((had["long"] - had["short"]).count()) <= 40);
}

BOOST_AUTO_TEST_CASE(running_work_counts_before_it_is_answered) {
    admission_queue queue(options(4, rank_order::accounts));
    for (std::uint64_t id = 1; id <= 10; ++id) {
        add(queue, of_account(id, "a"));
        add(queue, of_account(id + 100, "b"));
    }
    std::map<std::string, int> granted;
    while (const auto ticket = queue.next(true)) {
        ++granted[ticket->m_account];
    }
    BOOST_TEST(granted["a"] == 2);
    BOOST_TEST(granted["b"] == 2);
}

BOOST_AUTO_TEST_CASE(an_account_takes_free_slots_and_owes_nothing_for_them) {
    admission_queue queue(options(1, rank_order::accounts));
    std::uint64_t id = 0;
    for (int each = 0; each < 100; ++each) {
        add(queue, of_account(++id, "busy"));
        BOOST_TEST(run_next(queue, 10ms).m_account == "busy");
    }
    // Both begin equal: the newcomer has no claim on the time in which it asked for nothing.
    std::map<std::string, int> granted;
    for (int each = 0; each < 40; ++each) {
        add(queue, of_account(++id, "busy"));
        add(queue, of_account(++id, "new"));
    }
    for (int each = 0; each < 40; ++each) {
        ++granted[run_next(queue, 10ms).m_account];
    }
    BOOST_TEST(std::abs(granted["busy"] - granted["new"]) <= 1);
}

BOOST_AUTO_TEST_CASE(the_earliest_latest_start_goes_first_whoever_the_caller_is) {
    admission_queue queue(options(1, rank_order::latest_start));
    add(queue, startable_until(1, 500ms));
    add(queue, startable_until(2, 250ms));
    add(queue, startable_until(3, 400ms));
    add(queue, startable_until(4, 250ms));
    for (const std::uint64_t expected : {2U, 4U, 3U, 1U}) {
        BOOST_TEST(run_next(queue, 1ms, steady_time{100ms}).m_id == expected);
    }
}

BOOST_AUTO_TEST_CASE(work_that_can_only_be_late_goes_after_work_that_can_be_in_time) {
    for (const rank_order order : {rank_order::latest_start, rank_order::accounts}) {
        admission_queue queue(options(1, order));
        add(queue, startable_until(1, 250ms));
        add(queue, startable_until(2, 500ms));
        add(queue, startable_until(3, 260ms));
        for (const std::uint64_t expected : {2U, 1U, 3U}) {
            BOOST_TEST(run_next(queue, 1ms, steady_time{300ms}).m_id == expected);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_ticket_that_holds_a_connection_still_goes_first_and_counts_as_work) {
    admission_queue queue(options(1, rank_order::accounts));
    for (std::uint64_t id = 1; id <= 8; ++id) {
        add(queue, of_account(id, "a"));
        add(queue, of_account(id + 100, "b"));
    }
    admission_ticket holder = of_account(50, "b");
    holder.m_holds_connection = true;
    add(queue, holder);
    BOOST_TEST(run_next(queue, 30ms).m_id == 50U);
    for (int each = 0; each < 3; ++each) {
        BOOST_TEST(run_next(queue, 10ms).m_account == "a");
    }
}

BOOST_AUTO_TEST_CASE(a_flood_does_not_fill_the_queue_for_other_accounts) {
    admission_options limited = options(1, rank_order::accounts);
    limited.m_ranks[1].m_queue_limit = 10;
    admission_queue queue(limited);
    for (std::uint64_t id = 1; id <= 10; ++id) {
        add(queue, of_account(id, "flood"));
    }
    BOOST_TEST(!queue.make_room(of_account(11, "flood")).has_value());
    BOOST_TEST((queue.enqueue(of_account(11, "flood")) == enqueue_result::queue_full));
    const auto displaced = queue.make_room(of_account(12, "small"));
    BOOST_REQUIRE(displaced.has_value());
    BOOST_TEST(displaced->m_id == 10U);
    add(queue, of_account(12, "small"));
    BOOST_TEST(queue.waiting() == 10);
}

BOOST_AUTO_TEST_CASE(the_tickets_before_a_new_one_are_those_that_run_before_it) {
    BOOST_TEST(rc::check([] {
        const auto order = *rc::gen::element(rank_order::latest_start, rank_order::accounts);
        admission_queue queue(options(1, order));
        const auto make = [&](std::uint64_t id) {
            admission_ticket made{.m_id = id, .m_deadline = far_deadline, .m_expected_work = 10ms};
            made.m_account = order == rank_order::accounts
                                 ? std::string(1, *rc::gen::element('a', 'b', 'c'))
                                 : std::string{};
            made.m_latest_start = steady_time{milliseconds{*rc::gen::inRange(0, 1000)}};
            return made;
        };
        const int count = *rc::gen::inRange(0, 30);
        for (int id = 1; id <= count; ++id) {
            RC_ASSERT(queue.enqueue(make(static_cast<std::uint64_t>(id))) == enqueue_result::queued);
        }
        const admission_ticket last = make(1000);
        const int predicted = queue.waiting_before(last);
        RC_ASSERT(queue.enqueue(last) == enqueue_result::queued);
        int before = 0;
        for (auto next = queue.next(true); next->m_id != 1000; next = queue.next(true)) {
            queue.release(*next, 10ms);
            ++before;
        }
        // Accounts with equal work take turns by name, which may add one turn for each.
        RC_ASSERT(std::abs(before - predicted) <= (order == rank_order::accounts ? 2 : 0));
    }));
}

BOOST_AUTO_TEST_CASE(a_change_of_the_order_keeps_every_ticket) {
    admission_queue queue(options(1, rank_order::callers));
    for (std::uint64_t id = 1; id <= 6; ++id) {
        admission_ticket made = startable_until(id, milliseconds{100 - static_cast<int>(id)});
        made.m_caller = id;
        made.m_account = id % 2 == 0 ? "a" : "b";
        add(queue, made);
    }
    const auto running = queue.next(true);
    queue.set_options(options(1, rank_order::accounts));
    BOOST_TEST(queue.waiting() == 5);
    queue.release(*running, 5ms);
    queue.set_options(options(1, rank_order::latest_start));
    BOOST_TEST(run_next(queue, 1ms).m_id == 6U);
    queue.set_options(options(1, rank_order::callers));
    BOOST_TEST(queue.waiting() == 4);
    for (int left = 4; left > 0; --left) {
        run_next(queue, 1ms);
    }
    BOOST_TEST(!queue.next(true).has_value());
}

BOOST_AUTO_TEST_CASE(without_accounts_or_different_targets_callers_are_served_round_robin_as_ever) {
    BOOST_TEST(rc::check([] {
        admission_queue queue(options(1, rank_order::callers));
        std::deque<std::pair<std::uint64_t, std::deque<std::uint64_t>>> expected; // callers in turn
        std::uint64_t id = 0;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            if (*rc::gen::inRange(0, 3) > 0) {
                const auto caller = static_cast<std::uint64_t>(*rc::gen::inRange(1, 5));
                const admission_ticket made{.m_id = ++id,
                                            .m_caller = caller,
                                            .m_deadline = far_deadline,
                                            .m_account = std::string(1, *rc::gen::element('a', 'b')),
                                            .m_latest_start =
                                                steady_time{milliseconds{*rc::gen::inRange(0, 100)}},
                                            .m_expected_work = milliseconds{*rc::gen::inRange(0, 100)}};
                RC_ASSERT(!queue.make_room(made).has_value());
                RC_ASSERT(queue.waiting_before(made) == queue.waiting());
                RC_ASSERT(queue.enqueue(made) == enqueue_result::queued);
                auto found = std::find_if(expected.begin(), expected.end(),
                                          [&](const auto& each) { return each.first == caller; });
                if (found == expected.end()) {
                    expected.push_back({caller, {}});
                    found = std::prev(expected.end());
                }
                found->second.push_back(id);
                continue;
            }
            const auto ticket = queue.next(true, steady_time{milliseconds{*rc::gen::inRange(0, 100)}});
            RC_ASSERT(ticket.has_value() == !expected.empty());
            if (!ticket) {
                continue;
            }
            queue.release(*ticket, milliseconds{*rc::gen::inRange(0, 100)});
            auto first = expected.front();
            expected.pop_front();
            RC_ASSERT(ticket->m_id == first.second.front());
            first.second.pop_front();
            if (!first.second.empty()) {
                expected.push_back(first);
            }
        }
    }));
}
