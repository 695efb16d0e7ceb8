/// \file admission.cpp
/// Implements priority scheduling with floors and greatest shares, and
/// round-robin between callers.
#include "anvilmount/decisions/admission.hpp"

#include "anvilmount/base/failure.hpp"

#include <algorithm>
#include <cmath>

namespace anvilmount {

admission_queue::rank_queue& admission_queue::queue_of(int rank) {
    return m_queues[static_cast<std::size_t>(rank - 1)];
}

const admission_queue::rank_queue& admission_queue::queue_of(int rank) const {
    return m_queues[static_cast<std::size_t>(rank - 1)];
}

enqueue_result admission_queue::enqueue(const admission_ticket& ticket) {
    rank_queue& queue = queue_of(ticket.m_rank);
    if (ticket.m_holds_connection) {
        // Refusing it would leave a transaction open at the upstream, with its locks held.
        queue.m_connection_holders.push_back(ticket);
        return enqueue_result::queued;
    }
    if (queue.m_waiting >= m_options.m_ranks[static_cast<std::size_t>(ticket.m_rank - 1)].m_queue_limit) {
        return enqueue_result::queue_full;
    }
    auto caller =
        std::find_if(queue.m_callers.begin(), queue.m_callers.end(),
                     [&](const caller_queue& candidate) { return candidate.m_caller == ticket.m_caller; });
    if (caller == queue.m_callers.end()) {
        queue.m_callers.push_back({.m_caller = ticket.m_caller, .m_tickets = {}});
        caller = std::prev(queue.m_callers.end());
    }
    caller->m_tickets.push_back(ticket);
    ++queue.m_waiting;
    return enqueue_result::queued;
}

int admission_queue::max_running(int rank) const {
    const double share = m_options.m_ranks[static_cast<std::size_t>(rank - 1)].m_greatest_share;
    // 0.01 compensates for floating-point rounding of share * slots.
    return std::max(1, static_cast<int>(std::floor(share * m_options.m_slots + 0.01)));
}

int admission_queue::floor_slots(int rank) const {
    const double share = m_options.m_ranks[static_cast<std::size_t>(rank - 1)].m_floor;
    return static_cast<int>(std::floor(share * m_options.m_slots));
}

bool admission_queue::has_runnable(int rank, bool connection_available) const {
    const rank_queue& queue = queue_of(rank);
    if (!queue.m_connection_holders.empty()) {
        return true;
    }
    return connection_available && queue.m_waiting > 0 && queue.m_running < max_running(rank);
}

std::optional<admission_ticket> admission_queue::dequeue(int rank, bool connection_available) {
    if (!has_runnable(rank, connection_available)) {
        return std::nullopt;
    }
    rank_queue& queue = queue_of(rank);
    ++queue.m_running;
    ++m_grants;
    if (!queue.m_connection_holders.empty()) {
        const admission_ticket ticket = queue.m_connection_holders.front();
        queue.m_connection_holders.pop_front();
        return ticket;
    }
    caller_queue caller = std::move(queue.m_callers.front());
    queue.m_callers.pop_front();
    const admission_ticket ticket = caller.m_tickets.front();
    caller.m_tickets.pop_front();
    --queue.m_waiting;
    if (!caller.m_tickets.empty()) {
        queue.m_callers.push_back(std::move(caller));
    }
    return ticket;
}

std::optional<admission_ticket> admission_queue::next(bool connection_available) {
    if (running() >= m_options.m_slots) {
        return std::nullopt;
    }
    // A floor of less than one slot is guaranteed over time: one in every 1/floor grants.
    for (int rank = least_urgent_rank; rank > most_urgent_rank; --rank) {
        const auto index = static_cast<std::size_t>(rank - 1);
        const double floor = m_options.m_ranks[index].m_floor;
        const bool below_floor_slots =
            floor_slots(rank) > 0 && queue_of(rank).m_running < floor_slots(rank);
        const bool is_floor_due =
            floor > 0 && static_cast<double>(m_grants - m_last_floor_grant[index]) >= 1.0 / floor;
        if ((below_floor_slots || is_floor_due) && has_runnable(rank, connection_available)) {
            m_last_floor_grant[index] = m_grants;
            return dequeue(rank, connection_available);
        }
    }
    for (int rank = most_urgent_rank; rank <= least_urgent_rank; ++rank) {
        if (auto ticket = dequeue(rank, connection_available)) {
            return ticket;
        }
    }
    return std::nullopt;
}

void admission_queue::release(int rank) {
    rank_queue& queue = queue_of(rank);
    internal_check(queue.m_running > 0, "admission_queue::release(): the rank has a running ticket");
    --queue.m_running;
}

std::vector<admission_ticket> admission_queue::remove_expired(steady_time now) {
    std::vector<admission_ticket> expired;
    const auto is_expired = [&](const admission_ticket& ticket) {
        if (ticket.m_deadline > now) {
            return false;
        }
        expired.push_back(ticket);
        return true;
    };
    for (rank_queue& queue : m_queues) {
        std::erase_if(queue.m_connection_holders, is_expired);
        for (caller_queue& caller : queue.m_callers) {
            queue.m_waiting -= static_cast<int>(std::erase_if(caller.m_tickets, is_expired));
        }
        std::erase_if(queue.m_callers,
                      [](const caller_queue& candidate) { return candidate.m_tickets.empty(); });
    }
    return expired;
}

bool admission_queue::remove(std::uint64_t id) {
    const auto has_id = [&](const admission_ticket& ticket) { return ticket.m_id == id; };
    for (rank_queue& queue : m_queues) {
        if (std::erase_if(queue.m_connection_holders, has_id) > 0) {
            return true;
        }
        for (caller_queue& caller : queue.m_callers) {
            if (std::erase_if(caller.m_tickets, has_id) > 0) {
                --queue.m_waiting;
                std::erase_if(queue.m_callers,
                              [](const caller_queue& candidate) { return candidate.m_tickets.empty(); });
                return true;
            }
        }
    }
    return false;
}

int admission_queue::waiting(int rank) const {
    return queue_of(rank).m_waiting + static_cast<int>(queue_of(rank).m_connection_holders.size());
}

int admission_queue::waiting() const {
    int sum = 0;
    for (int rank = most_urgent_rank; rank <= least_urgent_rank; ++rank) {
        sum += waiting(rank);
    }
    return sum;
}

int admission_queue::connections_needed() const {
    int sum = 0;
    for (int rank = most_urgent_rank; rank <= least_urgent_rank; ++rank) {
        const rank_queue& queue = queue_of(rank);
        sum += std::clamp(max_running(rank) - queue.m_running, 0, queue.m_waiting);
    }
    return std::min(sum, std::max(0, m_options.m_slots - running()));
}

int admission_queue::running(int rank) const {
    return queue_of(rank).m_running;
}

int admission_queue::running() const {
    int sum = 0;
    for (const rank_queue& queue : m_queues) {
        sum += queue.m_running;
    }
    return sum;
}

std::optional<steady_time> admission_queue::earliest_deadline() const {
    std::optional<steady_time> earliest;
    const auto update_earliest = [&](const admission_ticket& ticket) {
        if (!earliest || ticket.m_deadline < *earliest) {
            earliest = ticket.m_deadline;
        }
    };
    for (const rank_queue& queue : m_queues) {
        std::for_each(queue.m_connection_holders.begin(), queue.m_connection_holders.end(),
                      update_earliest);
        for (const caller_queue& caller : queue.m_callers) {
            std::for_each(caller.m_tickets.begin(), caller.m_tickets.end(), update_earliest);
        }
    }
    return earliest;
}

}
