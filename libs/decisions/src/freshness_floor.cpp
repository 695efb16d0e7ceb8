/// \file freshness_floor.cpp
/// Implements the window of position samples of the current term.
#include "anvilmount/decisions/freshness_floor.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

/// Samples closer together than this are dropped: they do not improve the precision of a staleness bound.
constexpr milliseconds sample_spacing{20};

/// No operator allows a greater staleness bound, so older samples are not needed.
constexpr milliseconds max_supported_staleness{60000};

}

void freshness_floor::record_sample(const log_position& position, steady_time sent_at) {
    if (position < m_term_start) {
        return;
    }
    discard_old_samples(sent_at);
    if (!m_samples.empty()) {
        const sample& last = m_samples.back();
        if (sent_at < last.m_sent_at + sample_spacing || position < last.m_position) {
            return;
        }
    }
    m_samples.push_back({.m_position = position, .m_sent_at = sent_at});
}

void freshness_floor::record_position(const log_position& position) {
    m_acknowledged.m_at_most = std::max(m_acknowledged.m_at_most, position);
}

void freshness_floor::record_commit(const log_position& newest_before) {
    if (newest_before >= m_term_start) {
        // The log held `newest_before` when the primary took the commit.
        log_position position = newest_before;
        ++position.m_offset;
        m_acknowledged.m_at_least = std::max(m_acknowledged.m_at_least, position);
    }
}

void freshness_floor::begin_term(std::uint64_t term, const log_position& start) {
    if (term <= m_term) {
        return;
    }
    m_term = term;
    m_term_start = start;
    m_acknowledged = {.m_at_least = start, .m_at_most = start};
    m_samples.clear();
}

std::optional<log_position> freshness_floor::position_for_age(milliseconds max_staleness,
                                                              steady_time now) const {
    const auto found = std::find_if(m_samples.begin(), m_samples.end(), [&](const sample& each) {
        return each.m_sent_at + max_staleness >= now;
    });
    if (found == m_samples.end()) {
        return std::nullopt;
    }
    return found->m_position;
}

log_position freshness_floor::to_current_term(const log_position& position, std::uint64_t term) const {
    return term < m_term ? m_term_start : position;
}

void freshness_floor::discard_old_samples(steady_time now) {
    while (m_samples.size() > 1 && m_samples.front().m_sent_at + max_supported_staleness < now) {
        m_samples.pop_front();
    }
}

}
