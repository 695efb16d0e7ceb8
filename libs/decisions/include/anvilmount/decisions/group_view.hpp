/// \file group_view.hpp
/// What one instance believes of a database group: who is primary in which
/// term, and how far each upstream has applied the log. Beliefs come with
/// answers and may be old; they choose where to ask first and never carry a
/// promise. The home of an upstream checks every promise itself.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/configuration.hpp"
#include "anvilmount/decisions/replication_proof.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace anvilmount {

struct upstream_view {
    upstream_id m_id;
    bool m_is_primary{false};
    bool m_leaving{false};
    log_position m_applied;                   ///< Greatest position seen.
    std::optional<steady_time> m_reported_at; ///< When m_applied was last reported.
    steady_time m_avoid_until{};              ///< Choose others before this moment.
    microseconds m_smoothed_latency{0};       ///< Smoothed time of recent answers.
    int m_consecutive_lags{0};                ///< Times in a row that it had not caught up.
    std::uint64_t m_lagging_from_offset{
        0}; ///< Until m_behind_until, offsets from here on are not asked of it.
    steady_time m_lagging_until{};
};

/// Who is primary, as some upstream or home reported it.
struct primary_report {
    upstream_id m_primary;
    std::uint64_t m_term{0};
};

class group_view {
public:
    explicit group_view(const group_spec& spec);

    /// Takes over a changed upstream list and keeps what is known of the rest.
    void adopt(const group_spec& spec);

    /// Believes a report unless a later term is already known.
    void record_primary(const primary_report& report);

    /// Forgets the primary when it is still `upstream`, so that the next write
    /// asks around.
    void forget_primary(const upstream_id& upstream);

    void record_position(const upstream_id& upstream, const log_position& applied, steady_time now);
    /// The primary certainly led at `proven.m_at`, with its log at that position.
    void record_proof(const proven_position& proven);

    /// Returns the newest-enough proof that asks least of a replica: one that
    /// has applied its position serves data no older than `max_age`.
    [[nodiscard]] std::optional<proven_position> oldest_proof_within(milliseconds max_staleness,
                                                                     steady_time now) const;

    void record_answer_time(const upstream_id& upstream, microseconds took);
    void avoid(const upstream_id& upstream, steady_time until);

    /// A replica had not applied `wanted`. Reads that need as much leave it alone
    /// for a while, longer each time in a row, up to about a second; others do not.
    void record_lag(const upstream_id& upstream, const log_position& wanted, steady_time now);

    [[nodiscard]] const std::vector<upstream_view>& upstreams() const { return m_upstreams; }
    [[nodiscard]] std::uint64_t term() const { return m_term; }

    /// Returns the believed primary. When none is known, returns the upstreams
    /// in turn, one per call, so that repeated asking finds the true one.
    [[nodiscard]] std::optional<upstream_id> primary_to_ask(steady_time now);

private:
    upstream_view* find(const upstream_id& id);

    std::vector<upstream_view> m_upstreams; ///< In configured order; at most one is primary.
    std::uint64_t m_term{0};                ///< Never falls.
    std::size_t m_next_candidate{0};
    std::deque<proven_position> m_proofs; ///< In order of time, a few milliseconds apart.
};

}
