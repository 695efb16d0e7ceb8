/// \file group_view.cpp
/// Implements the cached view of a group: the primary, positions, leadership
/// proofs, and the backoff of lagging replicas.
#include "anvilmount/decisions/group_view.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

/// Weight of a new answer time in the moving average: one in this many.
constexpr int smoothing = 8;

/// Proofs closer together than this are dropped: they do not improve the precision of a staleness bound.
constexpr milliseconds proof_spacing{5};
constexpr std::size_t max_proofs = 256;

constexpr milliseconds initial_lag_backoff{20};
constexpr int max_lag_doublings = 6;

}

group_view::group_view(const group_spec& spec) {
    adopt(spec);
}

void group_view::adopt(const group_spec& spec) {
    std::vector<upstream_view> adopted;
    for (const upstream_spec& upstream : spec.m_upstreams) {
        const upstream_view* known = find(upstream.m_id);
        adopted.push_back(known != nullptr
                              ? *known
                              : upstream_view{.m_id = upstream.m_id, .m_applied = {}, .m_reported_at = {}});
        adopted.back().m_leaving = upstream.m_leaving;
    }
    m_upstreams = std::move(adopted);
}

void group_view::record_primary(const primary_report& report) {
    if (report.m_term < m_term || find(report.m_primary) == nullptr) {
        return;
    }
    m_term = report.m_term;
    for (upstream_view& each : m_upstreams) {
        each.m_is_primary = each.m_id == report.m_primary;
    }
}

void group_view::forget_primary(const upstream_id& upstream) {
    upstream_view* known = find(upstream);
    if (known != nullptr) {
        known->m_is_primary = false;
    }
}

void group_view::record_position(const upstream_id& upstream, const log_position& applied,
                                 steady_time now) {
    upstream_view* known = find(upstream);
    if (known == nullptr) {
        return;
    }
    known->m_applied = std::max(known->m_applied, applied);
    known->m_reported_at = now;
}

void group_view::record_proof(const proven_position& proven) {
    const bool too_close = !m_proofs.empty() && proven.m_at < m_proofs.back().m_at + proof_spacing;
    if (too_close) {
        return;
    }
    m_proofs.push_back(proven);
    if (m_proofs.size() > max_proofs) {
        m_proofs.pop_front();
    }
}

std::optional<proven_position> group_view::oldest_proof_within(milliseconds max_staleness,
                                                               steady_time now) const {
    const auto oldest = std::find_if(m_proofs.begin(), m_proofs.end(), [&](const proven_position& each) {
        return each.m_at >= now - max_staleness;
    });
    return oldest == m_proofs.end() ? std::nullopt : std::optional<proven_position>{*oldest};
}

void group_view::record_answer_time(const upstream_id& upstream, microseconds took) {
    upstream_view* known = find(upstream);
    if (known != nullptr) {
        known->m_smoothed_latency += (took - known->m_smoothed_latency) / smoothing;
        known->m_consecutive_lags = 0;
    }
}

void group_view::avoid(const upstream_id& upstream, steady_time until) {
    upstream_view* known = find(upstream);
    if (known != nullptr) {
        known->m_avoid_until = std::max(known->m_avoid_until, until);
    }
}

void group_view::record_lag(const upstream_id& upstream, const log_position& wanted, steady_time now) {
    upstream_view* known = find(upstream);
    if (known == nullptr) {
        return;
    }
    const bool still_lagging = now < known->m_lagging_until;
    known->m_lagging_from_offset =
        still_lagging ? std::min(known->m_lagging_from_offset, wanted.m_offset) : wanted.m_offset;
    known->m_lagging_until = now + initial_lag_backoff * (1 << known->m_consecutive_lags);
    known->m_consecutive_lags = std::min(known->m_consecutive_lags + 1, max_lag_doublings);
}

std::optional<upstream_id> group_view::primary_to_ask(steady_time now) {
    if (m_upstreams.empty()) {
        return std::nullopt;
    }
    for (const upstream_view& each : m_upstreams) {
        if (each.m_is_primary) {
            return each.m_id;
        }
    }
    for (std::size_t tried = 0; tried < m_upstreams.size(); ++tried) {
        const upstream_view& candidate = m_upstreams[m_next_candidate++ % m_upstreams.size()];
        if (candidate.m_avoid_until <= now) {
            return candidate.m_id;
        }
    }
    return m_upstreams[m_next_candidate++ % m_upstreams.size()].m_id;
}

upstream_view* group_view::find(const upstream_id& id) {
    const auto known = std::find_if(m_upstreams.begin(), m_upstreams.end(),
                                    [&](const upstream_view& each) { return each.m_id == id; });
    return known == m_upstreams.end() ? nullptr : &*known;
}

}
