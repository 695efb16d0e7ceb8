/// \file introductions.cpp
/// Keeps the introductions that are not settled.
#include "anvilmount/decisions/introductions.hpp"

namespace anvilmount {
namespace {

/// Between two introductions to a witness that does not answer.
constexpr milliseconds repeat_delay{250};

}

void introductions::begin(const store_version& version) {
    m_since = version;
    m_needs_read = true;
    m_open.clear();
    m_settled.clear();
}

void introductions::adopt(const store_version& version, const std::vector<listed_witness>& listed) {
    if (version.m_era != m_since.m_era || version < m_since) {
        return;
    }
    m_needs_read = false;
    std::map<std::string, open_introduction> open;
    for (const listed_witness& each : listed) {
        if (m_settled.contains(each.m_incarnation)) {
            continue;
        }
        const auto before = m_open.find(each.m_incarnation);
        open[each.m_incarnation] = {.m_address = each.m_address,
                                    .m_send_at =
                                        before == m_open.end() ? steady_time{} : before->second.m_send_at};
    }
    m_open = std::move(open);
}

std::vector<listed_witness> introductions::take_due(steady_time now) {
    std::vector<listed_witness> due;
    for (auto& [incarnation, each] : m_open) {
        if (now >= each.m_send_at) {
            each.m_send_at = now + repeat_delay;
            due.push_back({.m_incarnation = incarnation, .m_address = each.m_address});
        }
    }
    return due;
}

void introductions::record_result(const std::string& incarnation, introduction_result result) {
    if (result != introduction_result::unanswered && m_open.erase(incarnation) > 0) {
        m_settled.insert(incarnation);
    }
}

}
