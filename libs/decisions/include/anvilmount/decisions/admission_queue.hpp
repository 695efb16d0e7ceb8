/// \file admission_queue.hpp
/// Queues the requests for one upstream and decides which of them runs next.
/// Requests have a rank, their priority class, and run in the upstream's slots.
/// The most urgent rank is served first, within two bounds: a lower rank is
/// guaranteed its floor, a minimum share of the slots, and a rank never holds
/// more than its greatest share, so that long reports cannot fill the upstream.
/// Within a rank callers are served round-robin, so that one busy caller cannot
/// starve the others. A request that is still queued at its deadline is removed
/// and refused as not run.
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
    int m_rank{2};             ///< From most_urgent_rank to least_urgent_rank.
    bool m_holds_connection{false};
    steady_time m_deadline{};
};

struct admission_options {
    int m_slots{3};                              ///< Requests that run at once.
    std::array<rank_spec, rank_count> m_ranks{}; ///< Index: rank - 1.
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

    /// Frees the slot of a ticket of `rank` that was returned by next().
    void release(int rank);

    /// Removes and returns all waiting tickets whose deadline has passed.
    [[nodiscard]] std::vector<admission_ticket> remove_expired(steady_time now);

    /// Removes a waiting ticket. Returns false when no waiting ticket has this id.
    bool remove(std::uint64_t id);

    [[nodiscard]] int waiting() const;
    [[nodiscard]] int waiting(int rank) const;

    /// Returns how many waiting tickets could run now if each got a connection.
    /// Connections beyond this number would occupy the upstream without being used.
    [[nodiscard]] int connections_needed() const;
    [[nodiscard]] int running() const;
    [[nodiscard]] int running(int rank) const;
    [[nodiscard]] int slots() const { return m_options.m_slots; }

    /// Returns the earliest deadline of all waiting tickets.
    [[nodiscard]] std::optional<steady_time> earliest_deadline() const;

private:
    /// The waiting tickets of one caller, oldest first.
    struct caller_queue {
        std::uint64_t m_caller;
        std::deque<admission_ticket> m_tickets; ///< Never empty.
    };

    struct rank_queue {
        std::deque<caller_queue> m_callers; ///< Round-robin order; the front is served next.
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
    std::uint64_t m_grants{0};                   ///< Tickets returned by next() so far.
    /// Value of m_grants when a rank was last served for its floor. Index: rank - 1.
    std::array<std::uint64_t, rank_count> m_last_floor_grant{};
};

}
