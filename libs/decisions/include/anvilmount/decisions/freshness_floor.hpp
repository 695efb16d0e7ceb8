/// \file freshness_floor.hpp
/// Converts a staleness bound into a log position. A position that the primary
/// reported to a statement sent at time t covers every commit acknowledged before
/// t. A read that must see every commit older than its staleness bound is
/// therefore fresh enough on any upstream that holds a position sampled within
/// that bound.
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/acknowledged_range.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace anvilmount {

/// Keeps the freshness floor: the lowest log position that is fresh enough for a
/// read with a given staleness bound.
class freshness_floor {
public:
    /// Records the position that the primary of the current term reported to a
    /// statement sent at `sent_at`.
    void record_sample(const log_position& position, steady_time sent_at);

    /// Records a position that the primary of the current term reported, whenever.
    void record_position(const log_position& position);

    /// Returns the newest position that the primary of the current term has reported; where the term
    /// started, if it has reported none.
    [[nodiscard]] const log_position& newest_position() const { return m_acknowledged.m_at_most; }

    /// Records that a commit was acknowledged. `newest_before`: newest_position() when it was sent.
    void record_commit(const log_position& newest_before);

    /// Returns where the newest commit lies that was acknowledged here in the current term.
    [[nodiscard]] const acknowledged_range& acknowledged_commits() const { return m_acknowledged; }

    /// Starts a new term at `start`, which may still be a position of an earlier
    /// term: no later record of earlier terms survived. Ignored unless `term` is
    /// greater than the current term.
    void begin_term(std::uint64_t term, const log_position& start);

    /// Returns the smallest position that guarantees `max_staleness` at `now`;
    /// nothing when no sample is recent enough.
    [[nodiscard]] std::optional<log_position> position_for_age(milliseconds max_staleness,
                                                               steady_time now) const;

    /// Returns the position that a session needs which has seen `position` while
    /// `term` was current. What survived of an earlier term is covered by the start
    /// of the current one.
    [[nodiscard]] log_position to_current_term(const log_position& position, std::uint64_t term) const;

    [[nodiscard]] std::uint64_t term() const { return m_term; }

private:
    struct sample {
        log_position m_position;
        steady_time m_sent_at;
    };

    void discard_old_samples(steady_time now);

    std::uint64_t m_term{0};
    log_position m_term_start;         ///< Log position at which the current term started.
    acknowledged_range m_acknowledged; ///< At m_term_start or later.
    std::deque<sample> m_samples;      ///< Of the current term; ascending in time and position.
};

}
