/// \file quota_rights.cpp
/// Implements the waits after a change of the set and after a return of the store.
#include "anvilmount/decisions/quota_rights.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace anvilmount {
namespace {

constexpr milliseconds waiting_margin{200};

}

milliseconds quota_rights::waiting_time() const {
    return m_validity + waiting_margin;
}

void quota_rights::on_set(const std::optional<account_home_set>& stored, std::uint64_t era,
                          steady_time now) {
    const bool is_first = !std::exchange(m_has_read, true);
    const bool is_new_era = !is_first && era > m_era;
    if (!is_first && !is_new_era && stored == m_known) {
        return;
    }
    if (is_new_era) {
        m_before = bounds(now);
        m_before_until = m_confirmed_at ? *m_confirmed_at + m_validity : steady_time{};
    }
    if (is_new_era || (is_first && era > 1)) {
        m_blocked_until = now + waiting_time();
    }
    const bool is_next = !is_new_era && stored && m_known && stored->m_previous &&
                         stored->m_generation == m_known->m_generation + 1;
    if (!is_next) {
        ++m_fill;
    }
    m_era = era;
    m_known = stored;
    m_previous_until = m_known && m_known->m_previous ? now + waiting_time() : steady_time{};
}

void quota_rights::on_heartbeat(steady_time sent_at) {
    m_confirmed_at = m_confirmed_at ? std::max(*m_confirmed_at, sent_at) : sent_at;
}

bool quota_rights::is_confirmed(steady_time now) const {
    return m_confirmed_at && now < *m_confirmed_at + m_validity;
}

std::vector<quota_rights::homes> quota_rights::bounds(steady_time now) const {
    if (!m_known) {
        return {};
    }
    std::vector<homes> sets;
    if (now < m_blocked_until) {
        if (now >= m_before_until || m_before.empty()) {
            return {};
        }
        sets = m_before;
    }
    sets.push_back(m_known->m_homes);
    if (now < m_previous_until && m_known->m_previous) {
        sets.push_back(*m_known->m_previous);
    }
    return sets;
}

steady_time quota_rights::next_change(steady_time now) const {
    steady_time next{};
    for (const steady_time each : std::array{m_previous_until, m_blocked_until, m_before_until}) {
        if (each > now && (next == steady_time{} || each < next)) {
            next = each;
        }
    }
    return next;
}

}
