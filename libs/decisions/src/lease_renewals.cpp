/// \file lease_renewals.cpp
/// Implements the retention of published counts and the comparison of observed ones.
#include "anvilmount/decisions/lease_renewals.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount {
namespace {

/// Three times the longest lease; an instance that has left is dropped from the row after it.
constexpr milliseconds retention_time{30000};

}

void published_renewals::record(const std::string& incarnation, std::uint64_t count, steady_time now) {
    renewal& known = m_renewals[incarnation];
    if (count > known.m_count) {
        known = {.m_count = count, .m_recorded_at = now};
    }
}

renewal_counts published_renewals::counts(steady_time now) {
    std::erase_if(m_renewals,
                  [&](const auto& each) { return now >= each.second.m_recorded_at + retention_time; });
    renewal_counts published;
    for (const auto& [incarnation, known] : m_renewals) {
        published.emplace(incarnation, known.m_count);
    }
    return published;
}

std::vector<std::string> observed_renewals::observe(const std::string& row_key, renewal_counts counts) {
    renewal_counts& known = m_rows[row_key];
    std::vector<std::string> changed;
    for (const auto& [incarnation, count] : counts) {
        const auto before = known.find(incarnation);
        if (before == known.end() || before->second != count) {
            changed.push_back(incarnation);
        }
    }
    known = std::move(counts);
    return changed;
}

}
