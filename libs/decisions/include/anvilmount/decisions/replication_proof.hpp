/// \file replication_proof.hpp
/// Derives two facts from the reports of a primary. Neither depends on
/// synchronised clocks:
///  - A position is *confirmed* when a majority of the group, the primary
///    included, holds it. The next primary is chosen from a majority; two
///    majorities share an upstream, so the position survives.
///  - The primary is *proven* to have been primary at some moment after T when a
///    majority has requested its log, in its term, after a report that was
///    requested at T. No other upstream can have been promoted before that moment.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"

#include <map>
#include <optional>
#include <span>

namespace anvilmount {

/// A primary's report about one follower in its current term.
struct follower_report {
    upstream_id m_follower;
    log_position m_received;         ///< Position up to which the follower has received the log.
    std::uint64_t m_log_requests{0}; ///< Number of times the follower has requested the log.
};

/// A moment at which the upstream was proven to be primary, and the end of its log then.
struct proven_position {
    steady_time m_at{};
    log_position m_position;
};

class replication_proof {
public:
    /// `members` is the number of upstreams in the group, the primary included.
    explicit replication_proof(int members) : m_needed_followers(members / 2) {}

    /// Applies a primary's report that was requested at `requested_at`.
    void on_report(const log_position& position, std::span<const follower_report> followers,
                   steady_time requested_at);

    /// Discards all proofs. Call when the upstream is not primary any more, or its term has changed.
    void reset();

    /// Returns the greatest position that a majority holds; `primary` is the primary's own position.
    [[nodiscard]] log_position confirmed(const log_position& primary) const;

    /// Returns the latest proof that the upstream was primary; unset while there is none.
    [[nodiscard]] const std::optional<proven_position>& proven() const { return m_proven; }

private:
    struct follower {
        log_position m_received;
        std::uint64_t m_log_requests{0};
        /// The report after which the follower last requested the log.
        std::optional<proven_position> m_proof;
    };

    int m_needed_followers; ///< Followers that form a majority together with the primary.
    std::map<upstream_id, follower> m_followers;
    std::optional<proven_position> m_last_report;
    std::optional<proven_position> m_proven;
};

}
