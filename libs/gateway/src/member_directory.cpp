/// \file member_directory.cpp
/// Applies the rows of the members table by kind.
#include "anvilmount/gateway/member_directory.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// Longer than any lease, its margin included.
constexpr milliseconds max_lease{12000};

/// More than the processes that end within the seconds by which a store goes back.
constexpr std::size_t max_departed = 1024;

}

bool member_directory::apply(const store_answer& reply, steady_time as_of, steady_time now) {
    // A relay may answer with a read from before the last answer here, which lacks instances that
    // have registered since.
    if (as_of < m_read_at || reply.m_version < m_version) {
        return false;
    }
    const bool is_first = !is_loaded();
    if (reply.m_version.m_era != m_version.m_era) {
        begin_era(now);
        m_era_read_from = reply.m_version;
    }
    m_read_at = as_of;
    if (!reply.m_is_delta) {
        remove_unlisted(reply);
    }
    for (const store_row& row : reply.m_rows) {
        if (row.m_removed) {
            remove(row.m_key, row.m_version);
        } else {
            apply_row(row, now);
        }
    }
    remove_unregistered(now);
    std::erase_if(m_unlisted_leases, [&](const auto& each) { return now >= each.second + max_lease; });
    m_version = reply.m_version;
    m_loaded = true;
    if (is_first) {
        m_was_registered = m_members.contains(m_own_key);
    }
    return true;
}

std::vector<known_member> member_directory::unregistered_members() const {
    std::vector<known_member> members;
    for (const std::string& key : m_carried_over) {
        members.push_back(m_members.at(key));
    }
    return members;
}

void member_directory::begin_era(steady_time now) {
    m_records_head = {};
    m_settled_era = 0;
    m_settled_era_version = {};
    m_carried_over_until = now + max_lease;
    for (auto& [key, member] : m_members) {
        m_carried_over.insert(key);
        member.m_version = {};
        // It may have renewed its lease after the last read, in a change that the store forgot.
        if (m_read_at < member.m_heartbeat_seen_at + max_lease) {
            member.m_heartbeat_seen_at = now;
        }
    }
}

void member_directory::remove_unregistered(steady_time now) {
    if (now < m_carried_over_until) {
        return;
    }
    // Whoever has not registered again by now cannot use a primary any more.
    for (const std::string& key : std::exchange(m_carried_over, {})) {
        if (key != m_own_key) {
            m_members.erase(key);
        }
    }
}

bool member_directory::is_departed(const std::string& incarnation, const store_row& row) const {
    const auto departed =
        std::find_if(m_departed.rbegin(), m_departed.rend(),
                     [&](const departed_process& each) { return each.m_incarnation == incarnation; });
    const bool is_written_since = departed != m_departed.rend() &&
                                  row.m_version > std::max(departed->m_at, m_era_read_from) &&
                                  !m_members.contains(row.m_key);
    return departed != m_departed.rend() && !is_written_since;
}

void member_directory::record_departure(const std::string& incarnation, const store_version& version) {
    m_departed.push_back({.m_incarnation = incarnation, .m_at = version});
    if (m_departed.size() > max_departed) {
        m_departed.pop_front();
    }
}

void member_directory::remove_unlisted(const store_answer& reply) {
    std::set<std::string> listed;
    for (const store_row& row : reply.m_rows) {
        listed.insert(row.m_key);
    }
    std::vector<std::string> unlisted;
    const auto collect = [&](const auto& rows) {
        for (const auto& [key, row] : rows) {
            if (!listed.contains(key) && !m_carried_over.contains(key)) {
                unlisted.push_back(key);
            }
        }
    };
    collect(m_members);
    collect(m_renewal_rows);
    if (!listed.contains(coordinator_key)) {
        unlisted.push_back(coordinator_key);
    }
    for (const std::string& key : unlisted) {
        remove(key, reply.m_version);
    }
}

void member_directory::remove(const std::string& key, const store_version& version) {
    if (const auto member = m_members.find(key); member != m_members.end()) {
        record_departure(member->second.m_record.m_incarnation, version);
        m_members.erase(member);
        m_carried_over.erase(key);
    }
    if (m_renewal_rows.erase(key) > 0) {
        m_renewals.forget(key);
    }
    if (key == coordinator_key) {
        m_coordinator_row.reset();
    }
}

void member_directory::apply_row(const store_row& row, steady_time now) {
    if (row.m_key == coordinator_key) {
        if (!m_coordinator_row || row.m_version > m_coordinator_row->m_version) {
            m_coordinator_row = row;
        }
    } else if (row.m_key == records_head_key) {
        m_records_head = std::max(m_records_head, row.m_version);
    } else if (row.m_key == settled_era_key) {
        m_settled_era = parse_settled_era(row.m_value).value_or(0);
        m_settled_era_version = row.m_version;
    } else if (row.m_key.starts_with(member_prefix)) {
        apply_member(row, now);
    } else if (row.m_key.starts_with(renewals_prefix)) {
        apply_renewals(row, now);
    }
}

void member_directory::apply_member(const store_row& row, steady_time now) {
    const auto known = m_members.find(row.m_key);
    if (known != m_members.end() && row.m_version <= known->second.m_version) {
        return;
    }
    auto record = parse_member_record(row.m_value);
    if (!record) {
        log_event(log_level::error, "member.record_unreadable", {{"member", row.m_key}});
        return;
    }
    const bool is_known = known != m_members.end();
    if (is_departed(record->m_incarnation, row)) {
        if (is_known) {
            known->second.m_version = row.m_version;
            known->second.m_row_overwritten = true;
        }
        return;
    }
    if (is_known && known->second.m_record.m_incarnation != record->m_incarnation) {
        record_departure(known->second.m_record.m_incarnation, row.m_version);
    }
    m_carried_over.erase(row.m_key);
    m_unlisted_leases.erase(record->m_incarnation);
    std::erase_if(m_departed, [&](const departed_process& each) {
        return each.m_incarnation == record->m_incarnation;
    });
    known_member& member = m_members[row.m_key];
    const bool is_repeated =
        is_known && member.m_version.m_era != row.m_version.m_era && member.m_record == *record;
    member.m_record = std::move(*record);
    member.m_version = row.m_version;
    member.m_row_overwritten = false;
    if (is_repeated) {
        // Only read once more, in a new era.
        return;
    }
    member.m_heartbeat_seen_at = now;
    member.m_refused_probe = false;
}

void member_directory::apply_renewals(const store_row& row, steady_time now) {
    const auto known = m_renewal_rows.find(row.m_key);
    if (known != m_renewal_rows.end() && row.m_version <= known->second.m_version) {
        return;
    }
    auto counts = parse_renewal_counts(row.m_value);
    if (!counts) {
        log_event(log_level::error, "member.renewals_unreadable", {{"row", row.m_key}});
        return;
    }
    m_renewal_rows[row.m_key] = {.m_version = row.m_version, .m_changed_at = now};
    std::set<std::string> seen_before;
    for (const auto& [incarnation, count] : *counts) {
        if (m_renewals.has_seen(row.m_key, incarnation)) {
            seen_before.insert(incarnation);
        }
    }
    std::set<std::string> renewed;
    for (std::string& incarnation : m_renewals.observe(row.m_key, std::move(*counts))) {
        renewed.insert(std::move(incarnation));
    }
    for (auto& [key, member] : m_members) {
        if (renewed.erase(member.m_record.m_incarnation) > 0) {
            member.m_heartbeat_seen_at = now;
            member.m_refused_probe = false;
        }
    }
    for (const std::string& incarnation : renewed) {
        // A count that is seen for the first time may be of a process that ended long ago.
        if (seen_before.contains(incarnation)) {
            note_unlisted_lease(incarnation, now);
        }
    }
}

void member_directory::note_unlisted_lease(const std::string& incarnation, steady_time now) {
    const bool has_departed =
        std::any_of(m_departed.begin(), m_departed.end(),
                    [&](const departed_process& each) { return each.m_incarnation == incarnation; });
    if (!has_departed) {
        log_event(log_level::warning, "member.row_overwritten", {{"incarnation", incarnation}});
        m_unlisted_leases[incarnation] = now;
    }
}

std::size_t member_directory::unlisted_leases(milliseconds duration) const {
    return static_cast<std::size_t>(
        std::count_if(m_unlisted_leases.begin(), m_unlisted_leases.end(),
                      [&](const auto& each) { return m_read_at < each.second + duration; }));
}

std::vector<store_row> member_directory::stale_renewal_rows(milliseconds duration, steady_time now) const {
    std::vector<store_row> stale;
    for (const auto& [key, row] : m_renewal_rows) {
        if (now >= row.m_changed_at + duration) {
            stale.push_back({.m_table = members_table, .m_key = key, .m_version = row.m_version});
        }
    }
    return stale;
}

}
