/// \file path_time.cpp
/// Keeps the windowed minima and the smoothed answer time of one data centre.
#include "anvilmount/decisions/path_time.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

std::size_t index_of(int rank) {
    return static_cast<std::size_t>(std::clamp(rank, 1, measured_ranks) - 1);
}

}

void windowed_minimum::record(microseconds sample, steady_time now) {
    if (!m_current || now >= m_began + window) {
        m_previous = m_current && now < m_began + 2 * window ? m_current : std::nullopt;
        m_current = sample;
        m_began = now;
        return;
    }
    m_current = std::min(*m_current, sample);
}

std::optional<microseconds> windowed_minimum::at(steady_time now) const {
    if (!m_current || now >= m_began + 2 * window) {
        return std::nullopt;
    }
    return m_previous && now < m_began + window ? std::min(*m_current, *m_previous) : m_current;
}

void path_time::record_sent(steady_time now) {
    if (m_in_flight++ == 0) {
        m_silent_since = now;
    }
}

void path_time::record_answer(steady_time now) {
    m_in_flight = std::max(0, m_in_flight - 1);
    m_silent_since = now;
    m_lost_answer = false;
}

void path_time::record_read(int rank, microseconds elapsed, steady_time now) {
    record_answer(now);
    m_measured_at = now;
    if (const auto known = m_path.at(now); known && elapsed < *known) {
        // The path takes no longer than the whole answer.
        m_path.record(elapsed, now);
    }
    auto& kept = m_reads.at(index_of(rank));
    const bool is_fresh = kept && now < kept->m_measured_at + max_age;
    kept = rank_time{.m_smoothed =
                         is_fresh ? kept->m_smoothed + (elapsed - kept->m_smoothed) / smoothing : elapsed,
                     .m_measured_at = now};
}

void path_time::record_without_work(microseconds elapsed, steady_time now) {
    record_answer(now);
    m_path.record(elapsed, now);
}

void path_time::record_unanswered(bool was_sent, steady_time now) {
    m_in_flight = std::max(0, m_in_flight - 1);
    if (was_sent) {
        m_lost_answer = true;
    } else if (m_in_flight == 0) {
        m_silent_since = now;
    }
}

std::optional<microseconds> path_time::answer_time(int rank, steady_time now) const {
    const auto& kept = m_reads.at(index_of(rank));
    return kept && now < kept->m_measured_at + max_age ? std::optional(kept->m_smoothed) : std::nullopt;
}

bool path_time::is_silent(steady_time now) const {
    return m_lost_answer || (m_in_flight > 0 && now >= m_silent_since + silence_limit);
}

}
