/// \file memory_budget.cpp
/// Keeps the holders by size and compares a large holder with the mean of the large ones.
#include "anvilmount/decisions/memory_budget.hpp"

namespace anvilmount {

void memory_budget::set_held(holder_id holder, std::size_t bytes) {
    const auto known = m_held.find(holder);
    const std::size_t before = known == m_held.end() ? 0 : known->second;
    if (before == bytes) {
        return;
    }
    m_total = m_total - before + bytes;
    if (is_large(before)) {
        m_large_total -= before;
        --m_large_count;
    }
    if (is_large(bytes)) {
        m_large_total += bytes;
        ++m_large_count;
    }
    if (before > 0) {
        m_by_size.erase({before, holder});
    }
    if (bytes > 0) {
        m_by_size.emplace(bytes, holder);
        m_held[holder] = bytes;
    } else {
        m_held.erase(known);
    }
}

bool memory_budget::must_pause(holder_id holder) const {
    if (m_options.m_limit == 0 || total() <= high_water()) {
        return false;
    }
    const auto known = m_held.find(holder);
    return known != m_held.end() && is_large(known->second) &&
           known->second >= m_large_total / m_large_count;
}

std::vector<memory_budget::holder_id> memory_budget::take_excess() {
    std::vector<holder_id> excess;
    if (m_options.m_limit == 0 || total() <= m_options.m_limit) {
        return excess;
    }
    while (total() > high_water() && !m_by_size.empty()) {
        const holder_id largest = m_by_size.rbegin()->second;
        excess.push_back(largest);
        set_held(largest, 0);
    }
    return excess;
}

}
