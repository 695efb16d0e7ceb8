/// \file replication_proof.cpp
/// Implements the majority position and the majority proof of a primary's reports.
#include "anvilmount/decisions/replication_proof.hpp"

#include <algorithm>
#include <vector>

namespace anvilmount {

void replication_proof::on_report(const log_position& position, std::span<const follower_report> followers,
                                  steady_time requested_at) {
    for (const follower_report& report : followers) {
        follower& known = m_followers[report.m_follower];
        if (m_last_report && report.m_log_requests > known.m_log_requests) {
            known.m_proof = m_last_report;
        }
        known.m_log_requests = report.m_log_requests;
        known.m_received = std::max(known.m_received, report.m_received);
    }
    m_last_report = proven_position{.m_at = requested_at, .m_position = position};
    if (m_needed_followers == 0) {
        m_proven = m_last_report;
        return;
    }
    std::vector<proven_position> proofs;
    for (const auto& [id, known] : m_followers) {
        if (known.m_proof) {
            proofs.push_back(*known.m_proof);
        }
    }
    if (static_cast<int>(proofs.size()) < m_needed_followers) {
        return;
    }
    std::sort(proofs.begin(), proofs.end(), [](const proven_position& left, const proven_position& right) {
        return left.m_at > right.m_at;
    });
    m_proven = proofs[static_cast<std::size_t>(m_needed_followers - 1)];
}

void replication_proof::reset() {
    m_followers.clear();
    m_last_report.reset();
    m_proven.reset();
}

log_position replication_proof::confirmed(const log_position& primary) const {
    if (m_needed_followers == 0) {
        return primary;
    }
    std::vector<log_position> received;
    for (const auto& [id, known] : m_followers) {
        received.push_back(known.m_received);
    }
    if (static_cast<int>(received.size()) < m_needed_followers) {
        return {};
    }
    std::sort(received.begin(), received.end(), std::greater<>());
    return std::min(primary, received[static_cast<std::size_t>(m_needed_followers - 1)]);
}

}
