/// \file era_recovery.cpp
/// Finds what the store lost, and writes it back under conditions, so that the first writer wins.
#include "anvilmount/gateway/era_recovery.hpp"

#include "anvilmount/gateway/fleet_membership.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <vector>

namespace anvilmount::gateway {
namespace {

/// Between the turns of two instances. One change takes a few milliseconds.
constexpr milliseconds turn_time{60};
constexpr int max_turn = 100;
constexpr milliseconds retry_delay{400};

/// Until then a coordinator waits for records that others write back.
constexpr milliseconds recovery_time{700};

}

void era_recovery::begin(std::uint64_t era, bool was_witness) {
    m_era = era;
    m_era_seen_at = m_ports.m_clock->m_now();
    m_was_witness = was_witness;
}

bool era_recovery::has_read_tables() const {
    return m_ports.m_directory->version().m_era == m_era && m_ports.m_records->version().m_era == m_era;
}

void era_recovery::note_stored_epoch(const group_service& group, std::uint64_t epoch) {
    if (group.record().m_epoch > epoch) {
        m_lost_records.insert(group.options().m_name);
    } else {
        m_lost_records.erase(group.options().m_name);
    }
}

bool era_recovery::are_records_recovered() const {
    return is_first_era() || m_ports.m_clock->m_now() >= m_era_seen_at + recovery_time;
}

bool era_recovery::knows_all_leases() const {
    // A provisional lease may be known to nobody, also where the table is settled.
    const bool is_settled = m_was_witness || m_ports.m_directory->settled_era() >= m_era;
    return is_first_era() ||
           m_ports.m_clock->m_now() >= m_era_seen_at + (is_settled ? m_max_provisional_lease : m_max_lease);
}

bool era_recovery::is_pending() const {
    return !is_first_era() && (!m_lost_records.empty() || m_ports.m_directory->settled_era() < m_era);
}

bool era_recovery::tick(int rank) {
    if (m_ports.m_clock->m_now() < m_era_seen_at + turn_time * std::min(rank, max_turn)) {
        return false;
    }
    write_back_records();
    return settle();
}

void era_recovery::write_back_records() {
    const steady_time now = m_ports.m_clock->m_now();
    if (m_lost_records.empty() || m_ports.m_records->version().m_era != m_era || now < m_next_write_back) {
        return;
    }
    m_next_write_back = now + retry_delay;
    store_change change{.m_writes = {{.m_table = members_table, .m_key = records_head_key}}};
    for (const group_name& name : m_lost_records) {
        const auto group = m_ports.m_groups->find(name);
        if (group == m_ports.m_groups->end() || change.m_expected.size() >= max_conditional_rows) {
            continue;
        }
        change.m_expected.push_back(m_ports.m_records->known_row(name.m_text));
        change.m_writes.push_back(
            {.m_table = records_table, .m_key = name.m_text, .m_value = to_text(group->second->record())});
    }
    log_event(log_level::info, "group.records_written_back",
              {{"era", std::to_string(m_era)}, {"records", std::to_string(change.m_expected.size())}});
    m_ports.m_store->m_change(change, [](const store_answer& reply) {
        if (reply.m_status != store_status::done) {
            log_event(log_level::info, "group.records_not_written_back");
        }
    });
}

/// Writes back the rows of instances that may hold a lease and, with the last of them, marks the table as
/// complete: a coordinator that has just started waits for these instances, and for nobody else.
bool era_recovery::settle() {
    const steady_time now = m_ports.m_clock->m_now();
    const member_directory& directory = *m_ports.m_directory;
    // A witness does so at once: it may end, and with it what it knows.
    const bool may_settle = m_was_witness || knows_all_leases();
    if (directory.version().m_era != m_era || directory.settled_era() >= m_era || !may_settle ||
        now < m_next_settling) {
        return false;
    }
    m_next_settling = now + retry_delay;
    const std::vector<known_member> missing = directory.unregistered_members();
    store_change change;
    for (const known_member& each : missing) {
        if (change.m_writes.size() >= max_conditional_rows) {
            break;
        }
        const std::string key = member_prefix + each.m_record.m_name;
        change.m_expected.push_back({.m_table = members_table, .m_key = key, .m_version = each.m_version});
        change.m_writes.push_back(
            {.m_table = members_table, .m_key = key, .m_value = to_text(each.m_record)});
    }
    if (change.m_writes.size() == missing.size()) {
        change.m_expected.push_back({.m_table = members_table,
                                     .m_key = settled_era_key,
                                     .m_version = directory.settled_era_version()});
        change.m_writes.push_back(
            {.m_table = members_table, .m_key = settled_era_key, .m_value = std::to_string(m_era)});
    }
    log_event(log_level::info, "member.era_settled",
              {{"era", std::to_string(m_era)}, {"written_back", std::to_string(missing.size())}});
    m_ports.m_store->m_change(change, [](const store_answer& reply) {
        if (reply.m_status != store_status::done) {
            log_event(log_level::info, "member.era_not_settled");
        }
    });
    return true;
}

}
