/// \file member_directory.cpp
/// Applies the rows of the members table by kind.
#include "anvilmount/gateway/member_directory.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <set>

namespace anvilmount::gateway {

bool member_directory::apply(const store_answer& reply, steady_time as_of, steady_time now) {
    // A relay may answer with a read from before the last answer here, which lacks instances that
    // have registered since.
    if (as_of < m_read_at || reply.m_version < m_version) {
        return false;
    }
    const bool is_first = !is_loaded();
    m_read_at = as_of;
    if (reply.m_version.m_era != m_version.m_era) {
        m_records_head = {};
    }
    if (!reply.m_is_delta) {
        remove_unlisted(reply);
    }
    for (const store_row& row : reply.m_rows) {
        if (row.m_removed) {
            remove(row.m_key);
        } else {
            apply_row(row, now);
        }
    }
    m_version = reply.m_version;
    m_loaded = true;
    if (is_first) {
        m_was_registered = m_members.contains(m_own_key);
    }
    return true;
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
        remove(key);
    }
}

void member_directory::remove(const std::string& key) {
    m_members.erase(key);
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
    known_member& member = m_members[row.m_key];
    member.m_record = std::move(*record);
    member.m_version = row.m_version;
    member.m_heartbeat_seen_at = now;
    member.m_process_ended = false;
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
        if (renewed.contains(member.m_record.m_incarnation)) {
            member.m_heartbeat_seen_at = now;
            member.m_process_ended = false;
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
