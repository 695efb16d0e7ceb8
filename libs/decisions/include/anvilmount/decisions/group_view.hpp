/// \file group_view.hpp
/// One instance's cached view of a database group: the primary and its term, and
/// how far each upstream has applied the log. The view is updated from answers
/// and may be stale. It only selects the upstream to try first; every guarantee
/// is checked by the home of the upstream, the instance that owns its connections.
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

/// What the instance knows of one upstream.
struct upstream_view {
    upstream_id m_id;
    bool m_is_primary{false};
    bool m_leaving{false};
    log_position m_applied;                   ///< Greatest applied position reported.
    std::optional<steady_time> m_reported_at; ///< When m_applied was last reported.
    steady_time m_avoid_until{};              ///< Prefer other upstreams until then.
    microseconds m_smoothed_latency{0};       ///< Moving average of recent answer times.
    int m_consecutive_lags{0};                ///< Consecutive reads that found the replica lagging.
    /// Until m_lagging_until, reads that need this offset or a later one skip the upstream.
    std::uint64_t m_lagging_from_offset{0};
    steady_time m_lagging_until{};
};

/// The primary as an upstream or a home reported it.
struct primary_report {
    upstream_id m_primary;
    std::uint64_t m_term{0};
};

class group_view {
public:
    explicit group_view(const group_spec& spec);

    /// Applies a changed upstream list. Upstreams that remain keep their state.
    void adopt(const group_spec& spec);

    /// Records a reported primary unless a later term is already known.
    void record_primary(const primary_report& report);

    /// Marks `upstream` as not primary. If it was the known primary, the next write
    /// tries the upstreams in turn.
    void forget_primary(const upstream_id& upstream);

    void record_position(const upstream_id& upstream, const log_position& applied, steady_time now);

    /// Records that the primary was proven to be primary at `proven.m_at`, with its
    /// log at `proven.m_position`.
    void record_proof(const proven_position& proven);

    /// Returns the oldest proof that is not older than `max_staleness`, the one that
    /// requires the least of a replica. A replica that has applied its position serves
    /// data no older than `max_staleness`.
    [[nodiscard]] std::optional<proven_position> oldest_proof_within(milliseconds max_staleness,
                                                                     steady_time now) const;

    void record_answer_time(const upstream_id& upstream, microseconds took);
    /// Prefers other upstreams over `upstream` until `until`.
    void avoid(const upstream_id& upstream, steady_time until);

    /// Records that a replica had not applied `wanted`. Reads that need this position
    /// or a later one skip the replica for a backoff that doubles with each
    /// consecutive lag, up to about a second. Other reads still use the replica.
    void record_lag(const upstream_id& upstream, const log_position& wanted, steady_time now);

    [[nodiscard]] const std::vector<upstream_view>& upstreams() const { return m_upstreams; }
    [[nodiscard]] std::uint64_t term() const { return m_term; }

    /// Returns the known primary. When none is known, returns the upstreams in turn,
    /// one per call, so that repeated calls find the primary.
    [[nodiscard]] std::optional<upstream_id> primary_to_ask(steady_time now);

private:
    upstream_view* find(const upstream_id& id);

    std::vector<upstream_view> m_upstreams; ///< In configured order; at most one is primary.
    std::uint64_t m_term{0};                ///< Never decreases.
    std::size_t m_next_candidate{0};
    std::deque<proven_position> m_proofs; ///< In order of time, at least a few milliseconds apart.
};

}
