/// \file admission.cpp
/// Guards against starvation in the queue of one upstream: by urgent requests
/// (floors), by long reports (greatest shares), by one busy caller (round-robin),
/// and by requests whose deadline has passed. Also checks that no slot or ticket
/// is counted wrongly.
#include "anvilmount/decisions/admission.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace anvilmount;
using std::chrono::seconds;

namespace {

admission_options three_slots() {
    return {.m_slots = 3, .m_ranks = configuration{}.m_ranks};
}

admission_ticket ticket(std::uint64_t id, int rank, std::uint64_t caller = 1) {
    return {.m_id = id, .m_caller = caller, .m_rank = rank, .m_deadline = steady_time{seconds{100}}};
}

}

BOOST_AUTO_TEST_CASE(an_urgent_request_that_is_queued_last_runs_first) {
    admission_queue queue(three_slots());
    for (std::uint64_t id = 1; id <= 5; ++id) {
        BOOST_TEST((queue.enqueue(ticket(id, 3)) == enqueue_result::queued));
    }
    BOOST_TEST((queue.enqueue(ticket(6, 1)) == enqueue_result::queued));
    BOOST_TEST(queue.next(true)->m_id == 6U);
}

BOOST_AUTO_TEST_CASE(the_least_urgent_rank_never_holds_all_slots) {
    admission_queue queue(three_slots());
    for (std::uint64_t id = 1; id <= 9; ++id) {
        BOOST_TEST((queue.enqueue(ticket(id, 3)) == enqueue_result::queued));
    }
    BOOST_TEST(queue.next(true).has_value());
    BOOST_TEST(queue.next(true).has_value());
    BOOST_TEST(!queue.next(true).has_value());
    BOOST_TEST((queue.enqueue(ticket(10, 1)) == enqueue_result::queued));
    BOOST_TEST(queue.next(true)->m_rank == 1);
}

BOOST_AUTO_TEST_CASE(connections_are_needed_only_for_tickets_that_can_run) {
    admission_queue queue(three_slots());
    for (std::uint64_t id = 1; id <= 9; ++id) {
        BOOST_TEST((queue.enqueue(ticket(id, 3)) == enqueue_result::queued));
    }
    BOOST_TEST(queue.connections_needed() == 2);
    BOOST_TEST(queue.next(true).has_value());
    BOOST_TEST(queue.connections_needed() == 1);
    BOOST_TEST((queue.enqueue(ticket(10, 1)) == enqueue_result::queued));
    BOOST_TEST(queue.connections_needed() == 2);
    BOOST_TEST(queue.next(true).has_value());
    BOOST_TEST(queue.next(true).has_value());
    BOOST_TEST(queue.connections_needed() == 0);
}

BOOST_AUTO_TEST_CASE(lower_ranks_keep_their_floor_under_a_constant_load_of_urgent_requests) {
    admission_queue queue(three_slots());
    std::map<int, int> grants;
    std::uint64_t id = 0;
    for (int round = 0; round < 1000; ++round) {
        for (int rank = 1; rank <= 3; ++rank) {
            while (queue.waiting(rank) < 10) {
                BOOST_REQUIRE((queue.enqueue(ticket(++id, rank)) == enqueue_result::queued));
            }
        }
        const auto next = queue.next(true);
        BOOST_REQUIRE(next.has_value());
        ++grants[next->m_rank];
        queue.release(next->m_rank);
    }
    BOOST_TEST(grants[1] > 800);
    BOOST_TEST(grants[2] >= 90);
    BOOST_TEST(grants[3] >= 40);
}

BOOST_AUTO_TEST_CASE(callers_of_one_rank_are_served_round_robin) {
    admission_queue queue(three_slots());
    for (std::uint64_t id = 1; id <= 100; ++id) {
        BOOST_TEST((queue.enqueue(ticket(id, 2, 7)) == enqueue_result::queued));
    }
    BOOST_TEST((queue.enqueue(ticket(101, 2, 8)) == enqueue_result::queued));
    BOOST_TEST(queue.next(true)->m_caller == 7U);
    BOOST_TEST(queue.next(true)->m_caller == 8U);
}

BOOST_AUTO_TEST_CASE(a_ticket_that_holds_a_connection_runs_without_a_free_one) {
    admission_queue queue(three_slots());
    admission_ticket holder = ticket(1, 2);
    holder.m_holds_connection = true;
    BOOST_TEST((queue.enqueue(ticket(2, 1)) == enqueue_result::queued));
    BOOST_TEST((queue.enqueue(holder) == enqueue_result::queued));
    BOOST_TEST(queue.next(false)->m_id == 1U);
    BOOST_TEST(!queue.next(false).has_value());
    BOOST_TEST(queue.next(true)->m_id == 2U);
}

BOOST_AUTO_TEST_CASE(expired_tickets_are_removed_and_a_full_queue_refuses) {
    admission_queue queue(three_slots());
    admission_ticket expiring = ticket(1, 3);
    expiring.m_deadline = steady_time{seconds{1}};
    BOOST_TEST((queue.enqueue(expiring) == enqueue_result::queued));
    BOOST_TEST(queue.remove_expired(steady_time{milliseconds{999}}).empty());
    BOOST_TEST(queue.remove_expired(steady_time{seconds{1}}).size() == 1U);
    BOOST_TEST(queue.waiting() == 0);
    for (std::uint64_t id = 0; id < 500; ++id) {
        BOOST_REQUIRE((queue.enqueue(ticket(10 + id, 3, id)) == enqueue_result::queued));
    }
    BOOST_TEST((queue.enqueue(ticket(1000, 3)) == enqueue_result::queue_full));
    BOOST_TEST((queue.enqueue(ticket(1001, 1)) == enqueue_result::queued));
}

BOOST_AUTO_TEST_CASE(slots_are_never_exceeded_and_no_ticket_is_lost) {
    const bool holds = rc::check("slots and tickets add up", [](const std::vector<std::uint16_t>& events) {
        admission_queue queue(three_slots());
        std::vector<int> running;
        std::uint64_t id = 0;
        std::size_t waiting = 0;
        for (const std::uint16_t event : events) {
            const int rank = 1 + event % 3;
            if (event % 2 == 0) {
                admission_ticket new_ticket = ticket(++id, rank, event % 5);
                new_ticket.m_holds_connection = event % 7 == 0;
                waiting += queue.enqueue(new_ticket) == enqueue_result::queued ? 1 : 0;
            } else if (event % 11 == 1 && !running.empty()) {
                queue.release(running.back());
                running.pop_back();
            } else if (event % 13 == 1 && id > 0) {
                waiting -= queue.remove(1 + event % id) ? 1 : 0;
            } else if (const auto next = queue.next(event % 4 != 1)) {
                running.push_back(next->m_rank);
                --waiting;
            }
            RC_ASSERT(queue.running() <= queue.slots());
            RC_ASSERT(queue.running() == static_cast<int>(running.size()));
            RC_ASSERT(queue.waiting() == static_cast<int>(waiting));
        }
    });
    BOOST_TEST(holds);
}
