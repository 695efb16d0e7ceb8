/// \file replication_proof.hpp
/// What a primary's own reports prove. Two facts are drawn from them, neither
/// of which needs a clock that anyone else agrees with:
///  - a position is *confirmed* when, with the primary, a majority of the group
///    holds it: whoever is promoted next is taken from a majority, the two
///    majorities share an upstream, and so the position survives;
///  - the primary was *proven* to lead at some moment after T when a majority
///    has asked it for its log, in its term, after a report that was asked for
///    at T: nobody can have been promoted before that moment.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"

#include <map>
#include <optional>
#include <span>

namespace anvilmount {

/// What a primary says of one follower in its current term.
struct follower_report {
    upstream_id m_follower;
    log_position m_received;         ///< The follower has received up to here.
    std::uint64_t m_log_requests{0}; ///< Times that it has asked for the log.
};

/// A moment at which the primary certainly led, and how far its log then went.
struct proven_position {
    steady_time m_at{};
    log_position m_position;
};

class replication_proof {
public:
    /// `members` is the number of upstreams in the group, the primary included.
    explicit replication_proof(int members) : m_needed_followers(members / 2) {}

    /// Takes in a primary's report that was asked for at `asked_at`.
    void on_report(const log_position& position, std::span<const follower_report> followers,
                   steady_time requested_at);

    /// The upstream is not primary, or of another term than before.
    void reset();

    /// Greatest position that a majority holds, given the primary's own.
    [[nodiscard]] log_position confirmed(const log_position& primary) const;

    [[nodiscard]] const std::optional<proven_position>& proven() const { return m_proven; }

private:
    struct follower {
        log_position m_received;
        std::uint64_t m_log_requests{0};
        std::optional<proven_position> m_proof; ///< Was heard from after this.
    };

    int m_needed_followers; ///< Followers that make a majority together with the primary.
    std::map<upstream_id, follower> m_followers;
    std::optional<proven_position> m_last_report;
    std::optional<proven_position> m_proven;
};

}
