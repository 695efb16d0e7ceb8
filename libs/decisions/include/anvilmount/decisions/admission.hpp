/// \file admission.hpp
/// Queues the requests for one upstream and decides which of them runs next.
/// Requests run in slots and have a rank, their priority class. The most urgent
/// rank goes first. A lower rank is guaranteed its floor, a minimum share of the
/// slots; no rank may hold more than its greatest share, so that long reports
/// cannot fill the upstream. Within a rank callers are served round-robin, so
/// that one busy caller cannot take the rank. A request that waits past its
/// deadline is refused as not run.
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/configuration.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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
};

/// How many requests run at once, and the bounds of each rank (index: rank - 1).
struct admission_options {
    int m_slots{3};
    std::array<rank_spec, rank_count> m_ranks{};
};

enum class enqueue_result { queued, queue_full };

class admission_queue {
public:
    explicit admission_queue(const admission_options& options) : m_options(options) {}

    void set_options(const admission_options& options) { m_options = options; }

    /// Adds a ticket to the queue of its rank. Returns queue_full when the rank's
    /// queue limit is reached; a ticket that holds a connection is always queued.
    [[nodiscard]] enqueue_result enqueue(const admission_ticket& ticket);

    /// Removes and returns the next ticket to run, or nothing when none may run.
    /// Without `connection_available` only tickets that hold a connection may run.
    /// The ticket occupies a slot until release().
    [[nodiscard]] std::optional<admission_ticket> next(bool connection_available);

    /// Frees the slot of a ticket of `rank` that next() returned.
    void release(int rank);

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

    struct rank_queue {
        std::deque<caller_queue> m_callers; ///< In round-robin order, the next one in front.
        int m_waiting{0};                   ///< Tickets in m_callers, without m_connection_holders.
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
    std::optional<admission_ticket> dequeue(int rank, bool connection_available);

    admission_options m_options;
    std::array<rank_queue, rank_count> m_queues; ///< Index: rank - 1.
    /// Tickets returned by next() so far.
    std::uint64_t m_grants{0};
    /// Value of m_grants when a rank was last served for its floor.
    std::array<std::uint64_t, rank_count> m_last_floor_grant{};
};

}
