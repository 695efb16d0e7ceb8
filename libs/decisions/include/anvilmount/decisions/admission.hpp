/// \file admission.hpp
/// Queues the requests for one upstream and decides which of them runs next.
/// Requests run in slots and have a rank, their priority class. The most urgent
/// rank goes first. A lower rank is guaranteed its floor, a minimum share of the
/// slots; no rank may hold more than its greatest share, so that long reports
/// cannot fill the upstream. Within a rank callers are served round-robin, so
/// that one busy caller cannot take the rank. A request that waits past its
/// deadline is refused as not run.
///
/// Two other orders within a rank exist for deployments that need them. Accounts
/// are served in turn, weighted by the slot time that each has had in the rank: an
/// account that floods gets what the others leave. Within an account, or within the
/// whole rank where there are no accounts, the request with the earliest latest
/// start time goes first, and one that can only be late goes after those that can
/// still be in time. See docs/design/17-scheduling-under-overload.md.
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/configuration.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount {

/// A request waiting to run. A request inside an open transaction already holds
/// a connection to the upstream and needs only a slot.
struct admission_ticket {
    std::uint64_t m_id{0};
    std::uint64_t m_caller{0}; ///< Callers of one rank are served round-robin.
    int m_rank{2};             ///< most_urgent_rank .. least_urgent_rank.
    bool m_holds_connection{false};
    steady_time m_deadline{};
    std::string m_account{};         ///< Client account; empty: none.
    steady_time m_latest_start{};    ///< Last moment at which a start still meets the latency target.
    microseconds m_expected_work{0}; ///< Expected slot time.
};

/// The order of the waiting requests of one rank.
enum class rank_order {
    callers,      ///< Callers in turn, each in order of arrival.
    latest_start, ///< By latest start time, whoever the caller is.
    accounts,     ///< Accounts in turn, weighted by their work; within an account by latest start time.
};

/// How many requests run at once, and the bounds of each rank (index: rank - 1).
struct admission_options {
    int m_slots{3};
    std::array<rank_spec, rank_count> m_ranks{};
    std::array<rank_order, rank_count> m_orders{}; ///< Default: callers.
};

enum class enqueue_result { queued, queue_full };

class admission_queue {
public:
    explicit admission_queue(const admission_options& options) : m_options(options) {}

    /// Waiting tickets of a rank whose order changes are put into the new order.
    void set_options(const admission_options& options);

    /// Adds a ticket to the queue of its rank. Returns queue_full when the rank's
    /// queue limit is reached; a ticket that holds a connection is always queued.
    [[nodiscard]] enqueue_result enqueue(const admission_ticket& ticket);

    /// When the queue of the ticket's rank is full and another account holds most of it, removes and
    /// returns the last ticket of that account, so that a flood does not keep other accounts out.
    [[nodiscard]] std::optional<admission_ticket> make_room(const admission_ticket& ticket);

    /// Removes and returns the next ticket to run, or nothing when none may run.
    /// Without `connection_available` only tickets that hold a connection may run.
    /// The ticket occupies a slot until release(). `now` tells which tickets can
    /// still be in time; the order `callers` ignores it.
    [[nodiscard]] std::optional<admission_ticket> next(bool connection_available, steady_time now = {});

    /// Frees the slot of a ticket of `rank` that next() returned.
    void release(int rank);

    /// Frees the slot of a ticket that next() returned and that held it for `work`.
    void release(const admission_ticket& ticket, microseconds work);

    /// Waiting tickets that run before `ticket` if it is enqueued now.
    [[nodiscard]] int waiting_before(const admission_ticket& ticket) const;

    /// Removes and returns all waiting tickets whose deadline has passed.
    [[nodiscard]] std::vector<admission_ticket> remove_expired(steady_time now);

    /// Removes one waiting ticket. Returns false when it is not waiting.
    bool remove(std::uint64_t id);

    [[nodiscard]] int waiting() const;
    [[nodiscard]] int waiting(int rank) const;

    /// Waiting tickets that could run at once if each had a connection. More
    /// connections than this would occupy the upstream unused.
    [[nodiscard]] int connections_needed() const;
    [[nodiscard]] int running() const;
    [[nodiscard]] int running(int rank) const;
    [[nodiscard]] int slots() const { return m_options.m_slots; }

    /// Earliest deadline of all waiting tickets.
    [[nodiscard]] std::optional<steady_time> earliest_deadline() const;

private:
    /// The waiting tickets of one caller, oldest first.
    struct caller_queue {
        std::uint64_t m_caller;
        std::deque<admission_ticket> m_tickets; ///< Never empty.
    };

    /// The waiting tickets of one account, and the work that it has had in the rank.
    struct account_queue {
        std::deque<admission_ticket> m_tickets; ///< By latest start time, then by arrival.
        /// Slot time of the account, in the same measure as rank_queue::m_served_work: while tickets
        /// run their expected work is counted.
        microseconds m_work{0};
        int m_running{0};
    };

    struct rank_queue {
        /// In round-robin order, the next one in front. Empty unless the order is `callers`.
        std::deque<caller_queue> m_callers;
        /// By account. Empty if the order is `callers`; one entry at most, without a name, if it is
        /// `latest_start`. An account without tickets stays while it is ahead of m_served_work.
        std::map<std::string, account_queue> m_accounts;
        /// Greatest work of an account when its turn came. An account that returns begins here at least:
        /// time in which it asked for nothing gives it no claim on the others. Never falls.
        microseconds m_served_work{0};
        int m_waiting{0}; ///< Tickets in m_callers and m_accounts, without m_connection_holders.
        std::deque<admission_ticket> m_connection_holders; ///< Served before m_callers.
        int m_running{0};
    };

    rank_queue& queue_of(int rank);
    [[nodiscard]] const rank_queue& queue_of(int rank) const;
    /// Slots that the greatest share of `rank` allows; at least 1.
    [[nodiscard]] int max_running(int rank) const;
    /// Whole slots that the floor of `rank` guarantees.
    [[nodiscard]] int floor_slots(int rank) const;
    [[nodiscard]] bool has_runnable(int rank, bool connection_available) const;
    std::optional<admission_ticket> dequeue(int rank, bool connection_available, steady_time now);
    [[nodiscard]] rank_order order_of(int rank) const {
        return m_options.m_orders[static_cast<std::size_t>(rank - 1)];
    }
    /// Adds a ticket that holds no connection.
    void insert(const admission_ticket& ticket);
    admission_ticket take_from_callers(rank_queue& queue);
    admission_ticket take_from_accounts(rank_queue& queue, steady_time now);
    /// Counts the expected work of a ticket that starts.
    void charge(const admission_ticket& ticket);
    [[nodiscard]] std::string account_key(const admission_ticket& ticket) const;
    /// Removes accounts that have nothing waiting or running and no work to make up for.
    static void forget_idle_accounts(rank_queue& queue);

    admission_options m_options;
    std::array<rank_queue, rank_count> m_queues; ///< Index: rank - 1.
    /// Tickets returned by next() so far.
    std::uint64_t m_grants{0};
    /// Value of m_grants when a rank was last served for its floor.
    std::array<std::uint64_t, rank_count> m_last_floor_grant{};
};

}
