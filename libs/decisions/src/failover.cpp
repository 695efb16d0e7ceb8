/// \file failover.cpp
/// Implements failure detection, the choice of a candidate, and the stages of a
/// change of primary: draining (planned switches only), raising the term,
/// promoting.
#include "anvilmount/decisions/failover.hpp"

#include <algorithm>

namespace anvilmount {

bool failover::is_fresh(const member& peer, steady_time now) const {
    return peer.m_reported_at && now - *peer.m_reported_at <= m_options.m_report_lifetime;
}

int failover::count_fresh_members(steady_time now) const {
    return static_cast<int>(std::count_if(m_members.begin(), m_members.end(),
                                          [&](const auto& each) { return is_fresh(each.second, now); }));
}

std::uint64_t failover::greatest_term() const {
    std::uint64_t greatest = 0;
    for (const auto& [id, each] : m_members) {
        greatest = std::max(greatest, each.m_report.m_term);
    }
    return greatest;
}

/// Returns the primary of the greatest term ever reported, whether or not it still answers.
const upstream_id* failover::latest_primary() const {
    const std::uint64_t term = greatest_term();
    for (const auto& [id, each] : m_members) {
        if (each.m_report.m_is_primary && each.m_report.m_term == term) {
            return &id;
        }
    }
    return nullptr;
}

std::optional<upstream_id> failover::primary(steady_time now) const {
    const upstream_id* known = latest_primary();
    const bool alive = known != nullptr && is_fresh(m_members.at(*known), now);
    return alive ? std::optional<upstream_id>{*known} : std::nullopt;
}

const char* failover::activity() const {
    switch (m_stage) {
    case stage::watching:
        return m_suspected_since ? "suspecting the primary" : "watching";
    case stage::draining:
        return "draining the primary for a switch";
    case stage::raising_term:
        return "raising the term";
    case stage::promoting:
        break;
    }
    return "promoting";
}

void failover::on_report(const upstream_id& id, const member_report& report, steady_time now) {
    member& known = m_members[id];
    known.m_report = report;
    known.m_reported_at = now;
}

void failover::on_silence(const upstream_id& id, steady_time) {
    m_members[id].m_reported_at.reset();
}

/// Combines two observations: the reports that reach this instance, and what the
/// replicas say about their replication stream. A primary that is slow or out of
/// connections still answers its replicas, and is not replaced.
bool failover::is_primary_unreachable(steady_time now) const {
    const upstream_id* latest = latest_primary();
    const int needed = majority() - 1;
    int cut_off = 0;
    for (const auto& [id, each] : m_members) {
        const bool is_other = latest == nullptr || id != *latest;
        cut_off += is_other && is_fresh(each, now) && !each.m_report.m_stream_works ? 1 : 0;
    }
    if (count_fresh_members(now) < majority() || cut_off < std::max(needed, 1)) {
        return false;
    }
    if (latest == nullptr) {
        return true;
    }
    const member& known = m_members.at(*latest);
    return !is_fresh(known, now) || known.m_report.m_active_followers < needed;
}

std::vector<failover_order> failover::decide(steady_time now, std::uint32_t random) {
    std::vector<failover_order> orders;
    std::erase_if(m_members, [&](const auto& each) {
        return std::find(m_options.m_members.begin(), m_options.m_members.end(), each.first) ==
               m_options.m_members.end();
    });
    switch (m_stage) {
    case stage::watching:
        monitor_primary(now, random, orders);
        break;
    case stage::draining:
        drain(now, orders);
        break;
    case stage::raising_term:
        promote_if_ready(now, orders);
        break;
    case stage::promoting:
        break;
    }
    if (m_stage != stage::watching && now - m_attempt_started_at > m_options.m_attempt_timeout) {
        abandon_attempt(now, random);
    }
    return orders;
}

void failover::monitor_primary(steady_time now, std::uint32_t random, std::vector<failover_order>& orders) {
    if (!is_primary_unreachable(now)) {
        m_suspected_since.reset();
        if (const auto latest = primary(now)) {
            realign_replicas(*latest, now, orders);
        }
        return;
    }
    if (!m_suspected_since || m_suspected_term != greatest_term()) {
        m_suspected_term = greatest_term();
        // Staggers racing instances, so that the first one finishes before the next one starts.
        const milliseconds spread{random % (m_options.m_suspicion_timeout.count() + 1)};
        m_suspected_since = now + spread / 2;
    }
    if (m_options.m_automatic && now >= *m_suspected_since + m_options.m_suspicion_timeout &&
        now >= m_next_attempt_at) {
        begin_term_raise(now, orders);
    }
}

void failover::realign_replicas(const upstream_id& latest, steady_time now,
                                std::vector<failover_order>& orders) {
    const std::uint64_t term = m_members.at(latest).m_report.m_term;
    for (auto& [id, each] : m_members) {
        const member_report& report = each.m_report;
        const bool is_misaligned =
            id != latest && is_fresh(each, now) &&
            (report.m_term < term || report.m_is_primary || report.m_following != latest);
        if (is_misaligned && report.m_term <= term &&
            now - each.m_last_order_at >= m_options.m_follow_interval) {
            each.m_last_order_at = now;
            orders.push_back(
                {.m_kind = order_kind::follow, .m_upstream = id, .m_term = term, .m_primary = latest});
        }
    }
}

void failover::begin_term_raise(steady_time now, std::vector<failover_order>& orders) {
    m_stage = stage::raising_term;
    m_attempt_started_at = now;
    m_suspected_since.reset();
    m_raised_positions.clear();
    const upstream_id* latest = latest_primary();
    m_old_primary = latest != nullptr ? std::optional<upstream_id>{*latest} : std::nullopt;
    m_attempt_term = greatest_term() + 1;
    for (const auto& [id, each] : m_members) {
        // Includes members that do not answer: the order may still reach them.
        orders.push_back({.m_kind = order_kind::raise_term,
                          .m_upstream = id,
                          .m_term = m_attempt_term,
                          .m_primary = {}});
    }
}

void failover::on_term_raised(const upstream_id& id, std::uint64_t term, const log_position& position,
                              steady_time) {
    if (m_stage == stage::raising_term && term == m_attempt_term) {
        m_raised_positions[id] = position;
    }
}

/// Every acknowledged write is held by a majority. Among a majority that has moved
/// to the new term, the member with the greatest position therefore holds all
/// acknowledged writes. The old primary is excluded when the other members form a
/// majority: it may be partitioned from its peers, and its additional records were
/// never acknowledged.
std::optional<upstream_id> failover::choose_candidate(steady_time now) const {
    const bool waited_enough = now - m_attempt_started_at >= m_options.m_attempt_timeout / 2;
    std::vector<std::pair<log_position, upstream_id>> others;
    std::vector<std::pair<log_position, upstream_id>> all;
    for (const auto& [id, position] : m_raised_positions) {
        // The members may have changed since the attempt began.
        if (std::find(m_options.m_members.begin(), m_options.m_members.end(), id) ==
            m_options.m_members.end()) {
            continue;
        }
        all.emplace_back(position, id);
        if (id != m_old_primary) {
            others.emplace_back(position, id);
        }
    }
    if (static_cast<int>(all.size()) < majority()) {
        return std::nullopt;
    }
    const auto most_advanced = std::max_element(all.begin(), all.end());
    if (m_switch_target) {
        const auto target = m_raised_positions.find(*m_switch_target);
        if (target != m_raised_positions.end() && target->second >= most_advanced->first) {
            return m_switch_target;
        }
    } else if (static_cast<int>(others.size()) >= majority()) {
        return std::max_element(others.begin(), others.end())->second;
    }
    return waited_enough ? std::optional<upstream_id>{most_advanced->second} : std::nullopt;
}

void failover::promote_if_ready(steady_time now, std::vector<failover_order>& orders) {
    const auto chosen = choose_candidate(now);
    if (!chosen) {
        return;
    }
    m_candidate = *chosen;
    m_stage = stage::promoting;
    orders.push_back({.m_kind = order_kind::promote,
                      .m_upstream = m_candidate,
                      .m_term = m_attempt_term,
                      .m_primary = {}});
}

void failover::on_promoted(const upstream_id& id, std::uint64_t term, steady_time now) {
    if (m_stage != stage::promoting || term != m_attempt_term || id != m_candidate) {
        return;
    }
    const bool is_quiet = !m_last_change_at || now - *m_last_change_at > m_options.m_backoff_reset_after;
    m_backoff = is_quiet ? m_options.m_initial_backoff : std::min(m_options.m_max_backoff, m_backoff * 2);
    m_next_attempt_at = now + m_backoff;
    m_last_change_at = now;
    ++m_primary_changes;
    m_switch_target.reset();
    m_stage = stage::watching;
    member& promoted = m_members[id];
    promoted.m_report.m_is_primary = true;
    promoted.m_report.m_term = term;
    promoted.m_report.m_active_followers = majority();
    promoted.m_reported_at = now;
    for (auto& [other, each] : m_members) {
        each.m_last_order_at = {};
        if (other != id) {
            each.m_report.m_is_primary = false;
            each.m_report.m_following.reset();
        }
    }
}

void failover::on_order_refused(const upstream_id& id, std::uint64_t term, steady_time now) {
    if (m_stage == stage::watching || term != m_attempt_term) {
        return;
    }
    // An unreachable member counts as refusing its order to raise the term; the
    // remaining members may still form a majority. A refused promotion means that
    // another instance has used a higher term.
    if (m_stage == stage::promoting && id == m_candidate) {
        abandon_attempt(now, static_cast<std::uint32_t>(m_primary_changes + term));
    }
}

void failover::abandon_attempt(steady_time now, std::uint32_t random) {
    m_stage = stage::watching;
    m_suspected_since.reset();
    m_switch_target.reset();
    const milliseconds pause{random % (m_options.m_suspicion_timeout.count() + 1)};
    m_next_attempt_at = std::max(m_next_attempt_at, now + pause);
}

std::optional<const char*> failover::request_switch(const upstream_id& id, steady_time now) {
    const auto latest = primary(now);
    const auto known = m_members.find(id);
    if (m_stage != stage::watching) {
        return "a change of primary is under way already";
    }
    if (known == m_members.end()) {
        return "the group has no such upstream";
    }
    if (!latest) {
        return "the group has no primary that answers";
    }
    if (*latest == id) {
        return "that upstream is the primary already";
    }
    const member_report& report = known->second.m_report;
    if (!is_fresh(known->second, now) || !report.m_stream_works || count_fresh_members(now) < majority()) {
        return "that upstream does not follow the primary at present";
    }
    m_switch_target = id;
    m_stage = stage::draining;
    m_attempt_started_at = now;
    m_suspected_since.reset();
    m_attempt_term = 0;
    return std::nullopt;
}

/// Planned switch: the primary accepts no new writes until the target has its
/// complete log. Writes are delayed but none has to be refused.
void failover::drain(steady_time now, std::vector<failover_order>& orders) {
    const auto latest = primary(now);
    if (!latest || !m_switch_target) {
        m_stage = stage::watching;
        return;
    }
    member& old_primary = m_members[*latest];
    if (m_attempt_term == 0) {
        m_attempt_term = old_primary.m_report.m_term;
        orders.push_back({.m_kind = order_kind::hold_writes,
                          .m_upstream = *latest,
                          .m_term = m_attempt_term,
                          .m_primary = {}});
        old_primary.m_reported_at = now;
        old_primary.m_last_order_at = now;
        return;
    }
    const member& target = m_members[*m_switch_target];
    const bool have_both_reported = old_primary.m_reported_at > old_primary.m_last_order_at &&
                                    target.m_reported_at > old_primary.m_last_order_at;
    if (have_both_reported && target.m_report.m_position >= old_primary.m_report.m_position) {
        begin_term_raise(now, orders);
    }
}

}
