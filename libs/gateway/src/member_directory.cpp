/// \file member_directory.cpp
/// Applies the rows of the members table by kind.
#include "anvilmount/gateway/member_directory.hpp"

#include "anvilmount/decisions/process_order.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// Longer than any lease, its margin included.
constexpr milliseconds max_lease{12000};

/// Of one answer; when a whole fleet restarts, a line counts the rest.
constexpr int max_logged_changes = 16;

}

bool member_directory::apply(const store_answer& reply, steady_time as_of, steady_time now) {
    // A relay may answer with a read from before the last answer here, which lacks instances that
    // have registered since.
    if (as_of < m_read_at || reply.m_version < m_version) {
        return false;
    }
    const bool is_first = !is_loaded();
    m_logged_changes = 0;
    if (reply.m_version.m_era != m_version.m_era) {
        begin_era(now);
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
    remove_unregistered();
    // Whoever introduced itself before the read is listed, or has left since.
    std::erase_if(m_introduced, [&](const auto& each) { return each.second.m_received_at < as_of; });
    m_version = reply.m_version;
    m_loaded = true;
    if (is_first) {
        m_was_registered = m_members.contains(m_own_key);
    }
    if (m_logged_changes > max_logged_changes) {
        log_event(log_level::info, "member.more_changes",
                  {{"version", to_string(m_version)},
                   {"changes", std::to_string(m_logged_changes - max_logged_changes)},
                   {"members", std::to_string(m_members.size())}});
    }
    return true;
}

std::vector<known_member> member_directory::unregistered_members() const {
    std::vector<known_member> members;
    for (const auto& [key, until] : m_carried_over) {
        members.push_back(m_members.at(key));
    }
    return members;
}

void member_directory::begin_era(steady_time now) {
    m_records_head = {};
    m_settled_era = 0;
    m_settled_era_version = {};
    m_own_row.reset();
    for (auto& [key, member] : m_members) {
        m_carried_over[key] = now + max_lease;
        member.m_version = {};
        // It may have renewed its lease after the last read, in a change that the store forgot.
        if (m_read_at < member.m_heartbeat_seen_at + max_lease) {
            member.m_heartbeat_seen_at = now;
        }
    }
    carry_over_introduced(now);
}

void member_directory::introduce(const member_record& record, steady_time now) {
    m_introduced[member_prefix + record.m_name] = {.m_record = record, .m_received_at = now};
}

void member_directory::carry_over_introduced(steady_time now) {
    for (const auto& [key, each] : m_introduced) {
        const store_version registered_at = each.m_record.m_registration.value_or(store_version{});
        const auto known = m_members.find(key);
        const bool is_known = known != m_members.end();
        const bool is_outdated = is_known &&
                                 known->second.m_record.m_incarnation != each.m_record.m_incarnation &&
                                 known->second.m_registered_at > registered_at;
        if (key == m_own_key || is_outdated) {
            continue;
        }
        known_member& member = m_members[key];
        if (!is_known || member.m_record.m_incarnation != each.m_record.m_incarnation) {
            member = {.m_record = each.m_record, .m_registered_at = registered_at};
            log_change("member.counted", key, member, "introduced itself");
        }
        member.m_heartbeat_seen_at = now;
        m_carried_over[key] = now + max_lease;
        m_left.erase(key);
    }
}

void member_directory::remove_unregistered() {
    std::erase_if(m_carried_over, [&](const auto& each) {
        const auto& [key, until] = each;
        if (m_read_at < until) {
            return false;
        }
        // Whoever has not registered again by now cannot use a primary any more.
        if (const auto member = m_members.find(key); key != m_own_key && member != m_members.end()) {
            log_change("member.not_counted", key, member->second, "not registered again");
            m_members.erase(member);
        }
        return true;
    });
}

void member_directory::log_change(const std::string& event, const std::string& key,
                                  const known_member& member, const std::string& reason) {
    if (++m_logged_changes > max_logged_changes) {
        return;
    }
    log_event(log_level::info, event,
              {{"member", key},
               {"incarnation", member.m_record.m_incarnation},
               {"row", to_string(member.m_version)},
               {"registered_at", to_string(member.m_registered_at)},
               {"reason", reason}});
}

void member_directory::remove_unlisted(const store_answer& reply) {
    std::set<std::string> listed;
    for (const store_row& row : reply.m_rows) {
        listed.insert(row.m_key);
    }
    std::vector<std::string> unlisted;
    const auto collect = [&](const auto& rows) {
        for (const auto& [key, row] : rows) {
            if (!listed.contains(key)) {
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
        if (m_carried_over.contains(key)) {
            // What was removed is the row of an ended process that stood in its place.
            member->second.m_version = {};
        } else {
            log_change("member.not_counted", key, member->second,
                       "row removed, version " + to_string(version));
            m_left[key] = member->second.m_registered_at;
            m_members.erase(member);
        }
    }
    if (key == m_own_key) {
        m_own_row.reset();
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
    if (row.m_key == m_own_key) {
        m_own_row = row;
    }
    const auto known = m_members.find(row.m_key);
    const bool is_known = known != m_members.end();
    if (is_known && row.m_version <= known->second.m_version) {
        return;
    }
    auto record = parse_member_record(row.m_value);
    if (!record) {
        log_event(log_level::error, "member.record_unreadable", {{"member", row.m_key}});
        return;
    }
    const registered_process listed{.m_incarnation = record->m_incarnation,
                                    .m_registered_at =
                                        registration_of(record->m_registration, row.m_version)};
    if (record->m_registration) {
        // Whoever writes the row back for its process must not make it a registration anew.
        record->m_registration = listed.m_registered_at;
    }
    std::optional<registered_process> newest;
    if (is_known) {
        newest = registered_process{.m_incarnation = known->second.m_record.m_incarnation,
                                    .m_registered_at = known->second.m_registered_at};
    } else if (const auto left = m_left.find(row.m_key); left != m_left.end()) {
        newest = registered_process{.m_registered_at = left->second};
    }
    const process_row kind = classify_row(newest, !is_known, listed);
    if (kind == process_row::ended_process) {
        if (is_known) {
            known->second.m_version = row.m_version;
            m_carried_over.emplace(row.m_key, now + max_lease);
            log_change("member.ended_process_listed", row.m_key, known->second,
                       "row of " + listed.m_incarnation + ", registered at " +
                           to_string(listed.m_registered_at));
        }
        return;
    }
    m_carried_over.erase(row.m_key);
    m_left.erase(row.m_key);
    known_member& member = m_members[row.m_key];
    const bool is_repeated = kind == process_row::same_process &&
                             member.m_version.m_era != row.m_version.m_era && member.m_record == *record;
    const std::string replaced = member.m_record.m_incarnation;
    member.m_record = std::move(*record);
    member.m_version = row.m_version;
    member.m_registered_at = listed.m_registered_at;
    if (kind == process_row::next_process) {
        log_change("member.counted", row.m_key, member, is_known ? "replaces " + replaced : "registered");
    }
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
    std::set<std::string> renewed;
    for (std::string& incarnation : m_renewals.observe(row.m_key, std::move(*counts))) {
        renewed.insert(std::move(incarnation));
    }
    for (auto& [key, member] : m_members) {
        if (!renewed.contains(member.m_record.m_incarnation)) {
            continue;
        }
        member.m_heartbeat_seen_at = now;
        member.m_refused_probe = false;
        if (const auto unlisted = m_carried_over.find(key); unlisted != m_carried_over.end()) {
            unlisted->second = now + max_lease;
        }
    }
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
