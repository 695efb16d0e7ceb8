/// \file freshness_watermark.hpp
/// Turns a greatest age into a log position. A position that the primary
/// reported to a statement sent at time t covers every commit acknowledged
/// before t; a read that may miss only commits older than `age` is fresh enough
/// on any log that holds a position sampled no longer ago than that.
#pragma once

#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace anvilmount {

class freshness_watermark {
public:
    /// The primary of the current term answered a statement sent at `sent_at`.
    void record_sample(const log_position& position, steady_time sent_at);

    /// A new primary leads from `start` on, which may still be a position of an
    /// earlier term: nothing beyond it survived. Older terms are ignored.
    void begin_term(std::uint64_t term, const log_position& start);

    /// Returns the position that asks least among those that prove `age` at
    /// `now`; nothing when no sample is recent enough.
    [[nodiscard]] std::optional<log_position> position_for_age(milliseconds max_staleness,
                                                               steady_time now) const;

    /// Returns what a session needs that has seen `position` while `term` was
    /// current: what survived of an earlier term is covered by the start of this one.
    [[nodiscard]] log_position to_current_term(const log_position& position, std::uint64_t term) const;

    [[nodiscard]] std::uint64_t term() const { return m_term; }

private:
    struct sample {
        log_position m_position;
        steady_time m_sent_at;
    };

    void discard_old_samples(steady_time now);

    std::uint64_t m_term{0};
    log_position m_term_start;    ///< Where the current primary took over.
    std::deque<sample> m_samples; ///< All of the current term; ascending in time and position.
};

}
