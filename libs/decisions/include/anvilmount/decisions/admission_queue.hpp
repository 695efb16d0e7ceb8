/// \file admission_queue.hpp
/// The queue in front of one upstream. The most urgent rank goes first; a lower
/// rank keeps its floor of slots however much urgent work waits, and may never
/// hold more than its greatest share, so that long reports cannot fill the
/// upstream. Within a rank callers take turns, so that one noisy caller cannot
/// take the rank. A request that waits past its deadline is refused as not run.
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

/// One request that wants to run. A request inside an open transaction already
/// holds its connection and needs only a slot.
struct admission_ticket {
    std::uint64_t m_id{0};
    std::uint64_t m_caller{0}; ///< Requests of one caller take turns with those of others.
    int m_rank{2};             ///< most_urgent_rank .. least_urgent_rank.
    bool m_holds_connection{false};
    steady_time m_deadline{};
};

struct admission_options {
    int m_slots{3};
    std::array<rank_spec, rank_count> m_ranks{};
};

enum class enqueue_result { queued, queue_full };

class admission_queue {
public:
    explicit admission_queue(const admission_options& options) : m_options(options) {}

    void set_options(const admission_options& options) { m_options = options; }

    [[nodiscard]] enqueue_result enqueue(const admission_ticket& ticket);

    /// Takes the next ticket that may run, given whether a free connection is
    /// at hand for those that hold none. The slot is held until release().
    [[nodiscard]] std::optional<admission_ticket> next(bool connection_available);

    /// Frees the slot of a ticket of `rank` that next() returned.
    void release(int rank);

    /// Takes out all waiting tickets whose deadline has passed.
    [[nodiscard]] std::vector<admission_ticket> remove_expired(steady_time now);

    /// Takes one waiting ticket out. Returns false when it is not waiting.
    bool remove(std::uint64_t id);

    [[nodiscard]] int waiting() const;
    [[nodiscard]] int waiting(int rank) const;

    /// Waiting tickets that could run at once if each had a connection. More
    /// connections than this would only occupy the upstream.
    [[nodiscard]] int connections_needed() const;
    [[nodiscard]] int running() const;
    [[nodiscard]] int running(int rank) const;
    [[nodiscard]] int slots() const { return m_options.m_slots; }

    /// Earliest deadline of all waiting tickets.
    [[nodiscard]] std::optional<steady_time> earliest_deadline() const;

private:
    struct caller_queue {
        std::uint64_t m_caller;
        std::deque<admission_ticket> m_tickets; ///< Never empty.
    };

    struct rank_queue {
        std::deque<caller_queue> m_callers; ///< The front one is served next.
        int m_waiting{0};                   ///< Tickets in m_callers, without the holders.
        std::deque<admission_ticket>
            m_connection_holders; ///< Inside a transaction: served before new ones.
        int m_running{0};
    };

    rank_queue& queue_of(int rank);
    [[nodiscard]] const rank_queue& queue_of(int rank) const;
    [[nodiscard]] int max_running(int rank) const;
    [[nodiscard]] int floor_slots(int rank) const;
    [[nodiscard]] bool has_runnable(int rank, bool connection_available) const;
    std::optional<admission_ticket> dequeue(int rank, bool connection_available);

    admission_options m_options;
    std::array<rank_queue, rank_count> m_queues; ///< Index: rank - 1.
    std::uint64_t m_grants{0};
    std::array<std::uint64_t, rank_count> m_last_floor_grant{};
};

}
