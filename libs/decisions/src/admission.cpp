/// \file admission.cpp
/// Implements priority scheduling with floors and greatest shares, round-robin
/// between callers, and start-time fair queueing between accounts.
#include "anvilmount/decisions/admission.hpp"

#include "anvilmount/base/failure.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvilmount {
namespace {

bool starts_earlier(const admission_ticket& left, const admission_ticket& right) {
    return left.m_latest_start < right.m_latest_start;
}

}

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
    insert(ticket);
    return enqueue_result::queued;
}

void admission_queue::insert(const admission_ticket& ticket) {
    rank_queue& queue = queue_of(ticket.m_rank);
    ++queue.m_waiting;
    if (order_of(ticket.m_rank) != rank_order::callers) {
        account_queue& account = queue.m_accounts[account_key(ticket)];
        if (account.m_tickets.empty() && account.m_running == 0) {
            account.m_work = std::max(account.m_work, queue.m_served_work);
        }
        account.m_tickets.insert(
            std::upper_bound(account.m_tickets.begin(), account.m_tickets.end(), ticket, starts_earlier),
            ticket);
        return;
    }
    auto caller =
        std::find_if(queue.m_callers.begin(), queue.m_callers.end(),
                     [&](const caller_queue& candidate) { return candidate.m_caller == ticket.m_caller; });
    if (caller == queue.m_callers.end()) {
        queue.m_callers.push_back({.m_caller = ticket.m_caller, .m_tickets = {}});
        caller = std::prev(queue.m_callers.end());
    }
    caller->m_tickets.push_back(ticket);
}

void admission_queue::set_options(const admission_options& options) {
    const auto before = std::exchange(m_options, options).m_orders;
    for (int rank = most_urgent_rank; rank <= least_urgent_rank; ++rank) {
        if (before[static_cast<std::size_t>(rank - 1)] == order_of(rank)) {
            continue;
        }
        rank_queue& queue = queue_of(rank);
        const auto callers = std::exchange(queue.m_callers, {});
        const auto accounts = std::exchange(queue.m_accounts, {});
        queue.m_waiting = 0;
        for (const caller_queue& caller : callers) {
            std::for_each(caller.m_tickets.begin(), caller.m_tickets.end(),
                          [&](const admission_ticket& ticket) { insert(ticket); });
        }
        for (const auto& [name, account] : accounts) {
            std::for_each(account.m_tickets.begin(), account.m_tickets.end(),
                          [&](const admission_ticket& ticket) { insert(ticket); });
        }
    }
}

std::string admission_queue::account_key(const admission_ticket& ticket) const {
    return order_of(ticket.m_rank) == rank_order::accounts ? ticket.m_account : std::string{};
}

void admission_queue::forget_idle_accounts(rank_queue& queue) {
    std::erase_if(queue.m_accounts, [&](const auto& each) {
        const account_queue& account = each.second;
        return account.m_tickets.empty() && account.m_running == 0 && account.m_work <= queue.m_served_work;
    });
}

std::optional<admission_ticket> admission_queue::make_room(const admission_ticket& ticket) {
    rank_queue& queue = queue_of(ticket.m_rank);
    if (ticket.m_holds_connection || order_of(ticket.m_rank) != rank_order::accounts ||
        queue.m_waiting < m_options.m_ranks[static_cast<std::size_t>(ticket.m_rank - 1)].m_queue_limit) {
        return std::nullopt;
    }
    const auto longest = std::max_element(
        queue.m_accounts.begin(), queue.m_accounts.end(), [](const auto& left, const auto& right) {
            return left.second.m_tickets.size() < right.second.m_tickets.size();
        });
    const auto own = queue.m_accounts.find(ticket.m_account);
    const std::size_t own_waiting = own == queue.m_accounts.end() ? 0 : own->second.m_tickets.size();
    if (longest == queue.m_accounts.end() || longest->second.m_tickets.size() <= own_waiting + 1) {
        return std::nullopt;
    }
    const admission_ticket last = longest->second.m_tickets.back();
    longest->second.m_tickets.pop_back();
    --queue.m_waiting;
    return last;
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

std::optional<admission_ticket> admission_queue::dequeue(int rank, bool connection_available,
                                                         steady_time now) {
    if (!has_runnable(rank, connection_available)) {
        return std::nullopt;
    }
    rank_queue& queue = queue_of(rank);
    ++queue.m_running;
    ++m_grants;
    if (!queue.m_connection_holders.empty()) {
        const admission_ticket ticket = queue.m_connection_holders.front();
        queue.m_connection_holders.pop_front();
        charge(ticket);
        return ticket;
    }
    --queue.m_waiting;
    const admission_ticket ticket =
        order_of(rank) == rank_order::callers ? take_from_callers(queue) : take_from_accounts(queue, now);
    charge(ticket);
    return ticket;
}

admission_ticket admission_queue::take_from_callers(rank_queue& queue) {
    caller_queue caller = std::move(queue.m_callers.front());
    queue.m_callers.pop_front();
    const admission_ticket ticket = caller.m_tickets.front();
    caller.m_tickets.pop_front();
    if (!caller.m_tickets.empty()) {
        queue.m_callers.push_back(std::move(caller));
    }
    return ticket;
}

admission_ticket admission_queue::take_from_accounts(rank_queue& queue, steady_time now) {
    account_queue* chosen = nullptr;
    for (auto& [name, account] : queue.m_accounts) {
        if (!account.m_tickets.empty() && (chosen == nullptr || account.m_work < chosen->m_work)) {
            chosen = &account;
        }
    }
    internal_check(chosen != nullptr, "an account has tickets while the rank counts waiting ones");
    queue.m_served_work = std::max(queue.m_served_work, chosen->m_work);
    // The tickets that can only be late are the first ones; they go after those that can be in time.
    auto next = std::find_if(chosen->m_tickets.begin(), chosen->m_tickets.end(),
                             [&](const admission_ticket& ticket) { return ticket.m_latest_start >= now; });
    if (next == chosen->m_tickets.end()) {
        next = chosen->m_tickets.begin();
    }
    const admission_ticket ticket = *next;
    chosen->m_tickets.erase(next);
    return ticket;
}

void admission_queue::charge(const admission_ticket& ticket) {
    if (order_of(ticket.m_rank) != rank_order::accounts) {
        return;
    }
    rank_queue& queue = queue_of(ticket.m_rank);
    account_queue& account = queue.m_accounts[ticket.m_account];
    if (account.m_tickets.empty() && account.m_running == 0) {
        account.m_work = std::max(account.m_work, queue.m_served_work);
    }
    account.m_work += ticket.m_expected_work;
    ++account.m_running;
}

int admission_queue::waiting_before(const admission_ticket& ticket) const {
    int before = 0;
    for (int rank = most_urgent_rank; rank < ticket.m_rank; ++rank) {
        before += waiting(rank);
    }
    const rank_queue& queue = queue_of(ticket.m_rank);
    if (order_of(ticket.m_rank) == rank_order::callers) {
        return before + waiting(ticket.m_rank);
    }
    before += static_cast<int>(queue.m_connection_holders.size());
    const auto own = queue.m_accounts.find(account_key(ticket));
    int own_before = 0;
    microseconds start_work = queue.m_served_work;
    if (own != queue.m_accounts.end()) {
        const auto& tickets = own->second.m_tickets;
        own_before = static_cast<int>(
            std::upper_bound(tickets.begin(), tickets.end(), ticket, starts_earlier) - tickets.begin());
        start_work = std::max(start_work, own->second.m_work);
    }
    const microseconds per_ticket = std::max(ticket.m_expected_work, microseconds{1});
    start_work += per_ticket * own_before;
    before += own_before;
    for (const auto& [name, account] : queue.m_accounts) {
        if (own != queue.m_accounts.end() && name == own->first) {
            continue;
        }
        // Another account's turns come first as long as it has had no more work.
        const std::int64_t turns =
            account.m_work > start_work ? 0 : (start_work - account.m_work) / per_ticket + 1;
        before += static_cast<int>(std::min(turns, static_cast<std::int64_t>(account.m_tickets.size())));
    }
    return before;
}

std::optional<admission_ticket> admission_queue::next(bool connection_available, steady_time now) {
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
            return dequeue(rank, connection_available, now);
        }
    }
    for (int rank = most_urgent_rank; rank <= least_urgent_rank; ++rank) {
        if (auto ticket = dequeue(rank, connection_available, now)) {
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

void admission_queue::release(const admission_ticket& ticket, microseconds work) {
    release(ticket.m_rank);
    rank_queue& queue = queue_of(ticket.m_rank);
    const auto account = queue.m_accounts.find(ticket.m_account);
    // The order may have become `accounts` while the ticket ran.
    if (account == queue.m_accounts.end() || account->second.m_running == 0) {
        return;
    }
    --account->second.m_running;
    account->second.m_work += work - ticket.m_expected_work;
    forget_idle_accounts(queue);
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
        for (auto& [name, account] : queue.m_accounts) {
            queue.m_waiting -= static_cast<int>(std::erase_if(account.m_tickets, is_expired));
        }
        forget_idle_accounts(queue);
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
        for (auto& [name, account] : queue.m_accounts) {
            if (std::erase_if(account.m_tickets, has_id) > 0) {
                --queue.m_waiting;
                forget_idle_accounts(queue);
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
        for (const auto& [name, account] : queue.m_accounts) {
            std::for_each(account.m_tickets.begin(), account.m_tickets.end(), update_earliest);
        }
    }
    return earliest;
}

}
