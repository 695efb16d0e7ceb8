/// \file fleet_coordinator.cpp
/// Heartbeats, polling of the members table, election of the active coordinator, and its execution
/// of each group's promotion_plan.
#include "anvilmount/gateway/fleet_coordinator.hpp"

#include "anvilmount/decisions/era_number.hpp"
#include "anvilmount/decisions/placement.hpp"
#include "anvilmount/decisions/record_acknowledgement.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// From this size on, saving store calls matters more than the seconds that frequent calls save.
constexpr std::size_t large_fleet_size = 24;

/// A heartbeat with urgent reports is sent at once, but no sooner than this after the last one.
constexpr milliseconds min_heartbeat_interval{150};

constexpr milliseconds heartbeat_retry_delay{400};

/// Until the first heartbeat has succeeded, nothing is served at primaries here.
constexpr milliseconds first_heartbeat_retry_delay{100};

/// A row of published renewals that has not changed for this long, several leases, is removed.
constexpr milliseconds stale_renewals_time{60000};

/// Many instances of a large fleet may start at once, as after a power failure, or lose their relay.
/// Their first heartbeats, and those that follow a failed one, wait this long to be batched.
constexpr milliseconds urgent_batch_delay{120};

/// An instance whose row has not changed for this many heartbeat intervals, plus the greatest
/// latency of a heartbeat and one poll interval, no longer counts for shares of connections.
constexpr int max_missed_heartbeats = 2;
constexpr milliseconds max_heartbeat_latency{2000};

/// Added to the lease: timers fire late, and the clocks of two machines drift.
constexpr milliseconds lease_margin{200};

/// An active coordinator that has not renewed its record within the timeout is replaced. The timeout
/// allows two renewals and the time they take.
constexpr milliseconds coordinator_renewal_interval{1500};
constexpr milliseconds coordinator_timeout{4000};

/// When a renewal is this late, the active coordinator's process is probed.
constexpr milliseconds coordinator_suspect_timeout{2000};

/// While a switch is in progress or a primary is unreachable.
constexpr milliseconds switching_poll_interval{60};

constexpr milliseconds first_poll_retry_delay{250};

/// After rows were written back that the store had lost.
constexpr milliseconds recovery_poll_delay{200};

/// Delays of the first polls, when many instances may have started together.
constexpr std::array startup_poll_delays{milliseconds{300}, milliseconds{1200}, milliseconds{4000}};

/// Number of instances that poll the coordinator record often, also in a large fleet.
constexpr int frequently_polling_successors = 4;

/// A successor gives each one before it this long to take over: two changes of the store.
constexpr milliseconds successor_takeover_delay{250};

constexpr milliseconds min_probe_interval{300};
constexpr milliseconds min_status_interval{40};

/// The same when a promotion waits for nothing else and the last request was answered.
constexpr milliseconds min_repeated_status_interval{10};

/// When an ordered write or promotion is not answered within this time, the next step is decided
/// from the records followed.
constexpr milliseconds order_timeout{500};

/// How long a primary must leave an instance without an answer before it counts as unreachable, on
/// top of the time after which a pool calls the primary silent.
constexpr milliseconds primary_unreachable_delay{150};

/// Between two decisions about the account homes.
constexpr milliseconds homes_plan_interval{200};

/// Between two heartbeats while the lease is provisional: three of them in one such lease.
constexpr milliseconds provisional_heartbeat_interval{450};

/// This many successors of the active coordinator are witnesses: all instances of a small fleet, so that
/// some are left while it restarts in turn. One that is a witness already remains so while it is among
/// twice as many, since each change of the role is a change of the store.
constexpr int witness_successors = 8;

/// After a longer gap between polls, heartbeats may have been missed.
constexpr milliseconds max_steady_poll_gap{4000};

/// Members that are named in the log of a promotion.
constexpr std::size_t max_named_members = 16;

/// Whether `member` has acknowledged the record of `group` that has `epoch` and is stored as
/// `record_version`.
bool has_acknowledged(const member_record& member, const group_name& group, std::uint64_t epoch,
                      const store_version& record_version) {
    if (member.m_acknowledged_version) {
        return record_version.is_set() && *member.m_acknowledged_version >= record_version;
    }
    const auto found = member.m_acknowledged_epochs.find(group);
    return found != member.m_acknowledged_epochs.end() && found->second >= epoch;
}

/// Returns where the newest commit lies that `member` has acknowledged to its callers; nothing if its row
/// does not say.
std::optional<acknowledged_range> acknowledged_by(const member_record& member, const group_name& group) {
    const auto found = member.m_acknowledged_commits.find(group);
    return found == member.m_acknowledged_commits.end() ? std::nullopt : std::optional{found->second};
}

}

fleet_coordinator::fleet_coordinator(coordinator_options options, coordinator_ports ports,
                                     confirmation_lease& lease, group_map& groups, metrics& counters)
    : m_options(std::move(options)), m_ports(std::move(ports)), m_lease(lease), m_groups(groups),
      m_metrics(counters), m_proof(m_options.m_revocation_limit), m_directory(m_options.m_name),
      m_records({.m_table = records_table}, *m_ports.m_clock, *m_ports.m_store,
                [this](const auto&) { on_records(); }),
      m_recovery({.m_clock = m_ports.m_clock,
                  .m_store = m_ports.m_store,
                  .m_directory = &m_directory,
                  .m_records = &m_records,
                  .m_groups = &m_groups},
                 m_lease.duration() + lease_margin,
                 confirmation_lease::provisional_duration + lease_margin),
      m_witnesses({.m_name = m_options.m_name,
                   .m_incarnation = m_options.m_incarnation,
                   .m_address = m_options.m_store_relay_address},
                  make_witness_ports()),
      m_homes_plan({.m_change_interval = m_options.m_account_homes_interval}) {}

void fleet_coordinator::start() {
    m_records.start();
    poll_members();
}

witness_ports fleet_coordinator::make_witness_ports() {
    return {.m_clock = m_ports.m_clock,
            .m_store = m_ports.m_store,
            .m_directory = &m_directory,
            .m_lease = &m_lease,
            .m_metrics = &m_metrics,
            .m_send_peer_request = m_ports.m_send_peer_request,
            .m_own_record =
                [this] {
                    member_record record = own_record();
                    record.m_registration =
                        m_own_row_process ? m_own_row_process->m_registered_at : m_witnesses.lease_since();
                    return record;
                },
            .m_is_lease_over = [this](const known_member& peer) { return is_lease_over(peer); },
            .m_poll_members =
                [this] {
                    const steady_time regular = m_next_poll;
                    poll_members();
                    m_next_poll = std::min(m_next_poll, regular);
                }};
}

bool fleet_coordinator::should_be_witness() const {
    return m_knows_fleet && !m_resigned &&
           (m_is_active || successor_rank() < witness_successors * (m_is_witness ? 2 : 1));
}

void fleet_coordinator::on_new_era(std::uint64_t era) {
    const bool is_first = m_recovery.era() == 0;
    const bool was_witness = !is_first && m_witnesses.knows_all_leases();
    m_witnesses.on_new_era(era);
    m_recovery.begin(era, was_witness);
    if (is_first) {
        return;
    }
    log_event(log_level::warning, "store.restored",
              {{"era", std::to_string(era)},
               {"records_known", to_string(m_records.version())},
               {"members_known", to_string(m_directory.version())},
               {"witness", was_witness ? "yes" : "no"}});
    m_records_head = {};
    m_coordinator_version = {};
    m_reported_record.reset();
    adopt_own_row(nullptr);
    const steady_time now = m_ports.m_clock->m_now();
    if (m_is_active) {
        if (now < m_coordinator_changed_at + coordinator_suspect_timeout) {
            // Nobody has taken over and ordered anything since the last renewal.
            m_active_since_before_era = era;
        }
        step_down();
    }
    m_next_poll = now;
    m_next_heartbeat = now;
    m_records.refresh();
    m_ports.m_configuration.m_on_store_recovered();
}

void fleet_coordinator::on_records() {
    for (const auto& [key, row] : m_records.rows()) {
        m_records_head = std::max(m_records_head, row.m_version);
    }
    if (m_records.is_loaded()) {
        adopt_account_homes();
    }
    for (const auto& [name, group] : m_groups) {
        adopt_group_record(name, *group);
    }
}

void fleet_coordinator::adopt_account_homes() {
    const store_row row = m_records.known_row(account_homes_key);
    const std::uint64_t era = m_records.version().m_era;
    const bool was_read = m_account_homes_known_since != steady_time{};
    if (was_read && row.m_version == m_account_homes_version && era == m_account_homes_era) {
        return;
    }
    m_account_homes_version = row.m_version;
    m_account_homes_era = era;
    m_account_homes_known_since = m_ports.m_clock->m_now();
    m_account_homes.reset();
    if (row.m_version.is_set()) {
        m_account_homes = parse_account_home_set(m_records.rows().at(account_homes_key).m_value);
        if (!m_account_homes) {
            log_event(log_level::error, "account_homes.unreadable");
        }
    }
    m_ports.m_on_account_homes(m_account_homes, era);
}

void fleet_coordinator::apply_records() {
    on_records();
}

store_row fleet_coordinator::own_row_condition() const {
    return {.m_table = members_table,
            .m_key = member_prefix + m_options.m_name,
            .m_version = m_own_row_version};
}

std::vector<store_row> fleet_coordinator::heartbeat_conditions(bool renews, bool writes_record) const {
    std::vector<store_row> conditions{
        {.m_table = members_table, .m_key = records_head_key, .m_version = m_records_head}};
    if (const auto configuration = m_ports.m_configuration.m_known()) {
        conditions.push_back(*configuration);
    }
    if (renews) {
        conditions.push_back(
            {.m_table = members_table, .m_key = coordinator_key, .m_version = m_coordinator_version});
    }
    if (writes_record) {
        conditions.push_back(own_row_condition());
    }
    return conditions;
}

/// Reports the records as acknowledged up to the first one whose old primary may still be in use here.
/// A record of a group that is not configured here concerns no connection of this instance.
store_version fleet_coordinator::own_acknowledged_version() const {
    std::vector<record_state> states;
    for (const auto& [key, row] : m_records.rows()) {
        const group_name name{key};
        const auto group = m_groups.find(name);
        const auto adopted = m_adopted_row_versions.find(name);
        const auto own = m_own_acknowledged_epochs.find(name);
        const bool acknowledged =
            key == account_homes_key || group == m_groups.end() ||
            (adopted != m_adopted_row_versions.end() && adopted->second == row.m_version &&
             own != m_own_acknowledged_epochs.end() && own->second >= group->second->record().m_epoch);
        states.push_back({.m_version = row.m_version, .m_acknowledged = acknowledged});
    }
    return acknowledged_version(states);
}

void fleet_coordinator::adopt_group_record(const group_name& name, group_service& group) {
    const auto row = m_records.rows().find(name.m_text);
    if (row == m_records.rows().end() || name.m_text == account_homes_key) {
        m_recovery.note_stored_epoch(group, 0);
        return;
    }
    const auto record = parse_group_record(row->second.m_value);
    if (!record) {
        log_event(log_level::error, "group.record_unreadable", {{"group", name.m_text}});
        return;
    }
    const std::uint64_t epoch = record->m_epoch;
    m_recovery.note_stored_epoch(group, epoch);
    m_adopted_row_versions[name] = row->second.m_version;
    group.adopt_record(*record, [this, name, epoch] { m_own_acknowledged_epochs[name] = epoch; });
}

/// An instance of the version before knows neither acknowledged versions nor renewals: to it, one that
/// does not repeat its record is silent, and its lease lapsed.
bool fleet_coordinator::has_older_version() const {
    const auto& members = m_directory.members();
    return std::any_of(members.begin(), members.end(), [&](const auto& each) {
        return !each.second.m_record.m_acknowledged_version && is_alive(each.second);
    });
}

member_record fleet_coordinator::own_record() const {
    member_record record{.m_name = m_options.m_name,
                         .m_incarnation = m_options.m_incarnation,
                         .m_probe_address = m_options.m_probe_address,
                         .m_forwarding_address = m_options.m_forwarding_address,
                         .m_store_relay_address = m_options.m_store_relay_address,
                         .m_data_centre = m_options.m_data_centre,
                         .m_leaving = m_resigned,
                         .m_processor_millis = m_options.m_processor_millis,
                         .m_acknowledged_version = own_acknowledged_version()};
    if (has_older_version()) {
        record.m_acknowledged_epochs = m_own_acknowledged_epochs;
    }
    for (const auto& [name, group] : m_groups) {
        const auto own = m_own_acknowledged_epochs.find(name);
        if (group->record().m_stage == group_stage::switching && own != m_own_acknowledged_epochs.end() &&
            own->second >= group->record().m_epoch) {
            record.m_acknowledged_commits[name] = group->acknowledged_commits();
        }
    }
    record.m_unreachable_primaries = unreachable_primaries();
    return record;
}

std::set<group_name> fleet_coordinator::unreachable_primaries() const {
    std::set<group_name> unreachable;
    for (const auto& [name, group] : m_groups) {
        if (group->is_primary_unreachable(primary_unreachable_delay)) {
            unreachable.insert(name);
        }
    }
    return unreachable;
}

void fleet_coordinator::heartbeat(milliseconds batch_delay) {
    const bool knows_newest = knows_members() && m_records.is_loaded() && m_recovery.has_read_tables() &&
                              m_records.version() >= m_records_head;
    if (m_heartbeat_in_flight || m_deregistered || !knows_newest ||
        (m_is_active && m_coordinator_write_in_flight)) {
        return;
    }
    m_heartbeat_in_flight = true;
    m_coordinator_write_in_flight = m_coordinator_write_in_flight || m_is_active;
    const steady_time now = m_ports.m_clock->m_now();
    m_heartbeat_sent_at = now;
    m_next_heartbeat = now + (m_is_active ? m_proof.limit_interval(coordinator_renewal_interval)
                                          : intervals().m_heartbeat_interval);
    const member_record record = own_record();
    const bool proves_configuration = m_ports.m_configuration.m_known().has_value();
    const bool renews = m_is_active;
    const bool writes_record =
        renews || m_reported_record != record || m_must_write_record || has_older_version();
    store_change change{.m_expected = heartbeat_conditions(renews, writes_record),
                        .m_max_batch_delay = renews ? milliseconds{0} : batch_delay};
    if (writes_record) {
        member_record stored = record;
        stored.m_registration =
            registration_to_state(m_own_row_process, m_options.m_incarnation, m_recovery.era());
        change.m_writes.push_back({.m_table = members_table,
                                   .m_key = member_prefix + m_options.m_name,
                                   .m_value = to_text(stored)});
    } else {
        change.m_renewal =
            lease_renewal{.m_incarnation = m_options.m_incarnation, .m_count = ++m_renewal_count};
    }
    if (renews) {
        change.m_writes.push_back(
            {.m_table = members_table, .m_key = coordinator_key, .m_value = to_text(record_with_orders())});
    }
    m_ports.m_store->m_change(change, [this, now, record, renews, writes_record, proves_configuration,
                                       written = change.m_writes](store_answer reply) {
        if (!writes_record && reply.m_status == store_status::done && !reply.m_renewed) {
            // The relay is of a version that does not publish renewals.
            reply.m_status = store_status::refused;
        }
        if (reply.m_status == store_status::done && writes_record) {
            m_reported_record = record;
            m_must_write_record = false;
            store_row stored = written.front();
            stored.m_version = reply.m_version;
            adopt_own_row(&stored);
        } else if (reply.m_status != store_status::done && reply.m_status != store_status::conflict) {
            // It may still be made, late.
            m_must_write_record = true;
        }
        if (reply.m_status == store_status::done && proves_configuration) {
            m_proof.record(now);
        }
        m_coordinator_write_in_flight = m_coordinator_write_in_flight && !renews;
        on_heartbeat(now, renews, writes_record, reply);
    });
}

void fleet_coordinator::on_heartbeat(steady_time sent_at, bool renewed, bool wrote_record,
                                     const store_answer& reply) {
    m_heartbeat_in_flight = false;
    if (reply.m_status == store_status::conflict) {
        on_heartbeat_conflict(renewed, wrote_record, reply);
        return;
    }
    if (reply.m_status != store_status::done) {
        m_metrics.count("heartbeats_failed");
        m_last_heartbeat_failed = true;
        m_next_heartbeat = m_ports.m_clock->m_now() +
                           (m_last_heartbeat_at ? heartbeat_retry_delay : first_heartbeat_retry_delay);
        if (m_is_active && renewed) {
            // Whether the row changed is unknown; the next poll shows it.
            step_down();
            m_next_poll = m_ports.m_clock->m_now();
        }
        return;
    }
    if (std::exchange(m_last_heartbeat_failed, false)) {
        m_records.refresh();
        m_ports.m_configuration.m_on_store_recovered();
    }
    // The records known here were the newest, and other instances know of this one.
    const bool is_first = !std::exchange(m_last_heartbeat_at, sent_at).has_value();
    const bool is_new_lease = m_lease.renew(sent_at, m_ports.m_clock->m_now(), m_recovery.era());
    const bool is_of_new_era =
        m_lease.is_provisional() && m_witnesses.lease_since().m_era != reply.m_version.m_era;
    if (is_new_lease || is_of_new_era) {
        m_witnesses.on_lease_obtained(reply.m_version);
    }
    m_ports.m_on_heartbeat(sent_at);
    if (m_is_active && renewed) {
        m_coordinator_version = reply.m_version;
        m_coordinator_changed_at = m_ports.m_clock->m_now();
    }
    if (is_first && m_directory.was_registered()) {
        // In a large fleet that restarts as a whole, the next poll is seconds away. In one that starts for
        // the first time, the order of the successors is not known yet.
        try_become_active();
    }
}

void fleet_coordinator::on_heartbeat_conflict(bool renewed, bool wrote_record, const store_answer& reply) {
    m_next_heartbeat = m_ports.m_clock->m_now() + min_heartbeat_interval;
    const std::string own_key = member_prefix + m_options.m_name;
    const auto row_of = [&](const std::string& table, const std::string& key) {
        const auto found =
            std::find_if(reply.m_rows.begin(), reply.m_rows.end(),
                         [&](const store_row& row) { return row.m_table == table && row.m_key == key; });
        return found == reply.m_rows.end() ? nullptr : &*found;
    };
    const auto version_of = [&](const std::string& table, const std::string& key) {
        const store_row* row = row_of(table, key);
        return row == nullptr ? store_version{} : row->m_version;
    };
    const store_version stored_records = version_of(members_table, records_head_key);
    const auto configuration = m_ports.m_configuration.m_known();
    const store_version stored_configuration =
        configuration ? version_of(configuration->m_table, configuration->m_key) : store_version{};
    log_event(log_level::info, "heartbeat.conflict",
              {{"known_records", to_string(m_records_head)},
               {"stored_records", to_string(stored_records)},
               {"copy_version", to_string(m_records.version())},
               {"known_configuration", configuration ? to_string(configuration->m_version) : "none"},
               {"stored_configuration", to_string(stored_configuration)},
               {"known_row", to_string(m_own_row_version)},
               {"stored_row", wrote_record ? to_string(version_of(members_table, own_key)) : "not asked"},
               {"store_version", to_string(reply.m_version)}});
    if (wrote_record) {
        adopt_own_row(row_of(members_table, own_key));
    }
    m_records_head = stored_records;
    if (m_records.version() < m_records_head) {
        m_records.refresh();
    }
    if (configuration && stored_configuration != configuration->m_version) {
        m_ports.m_configuration.m_refresh();
    }
    if (m_is_active && renewed && version_of(members_table, coordinator_key) != m_coordinator_version) {
        step_down();
        m_next_poll = m_ports.m_clock->m_now();
    }
}

void fleet_coordinator::step_down() {
    m_is_active = false;
    m_group_coordinations.clear();
    log_event(log_level::info, "steward.stepped_down",
              {{"token", std::to_string(m_coordinator_record.m_token)}});
}

void fleet_coordinator::poll_members() {
    if (m_poll_in_flight) {
        return;
    }
    m_poll_in_flight = true;
    const bool polls_often = m_is_active || successor_rank() < frequently_polling_successors;
    milliseconds poll_delay =
        polls_often ? m_options.m_small_fleet.m_poll_interval : intervals().m_poll_interval;
    if (m_startup_polls < startup_poll_delays.size() && !m_directory.was_registered()) {
        poll_delay = std::min(poll_delay, startup_poll_delays.at(m_startup_polls));
        ++m_startup_polls;
    }
    m_next_poll = m_ports.m_clock->m_now() + poll_delay;
    const auto on_reply = [this, requested_at = m_ports.m_clock->m_now()](const store_answer& reply) {
        m_poll_in_flight = false;
        on_members(requested_at, reply);
    };
    m_ports.m_store->m_read_changes(members_table, m_directory.version(), on_reply);
}

void fleet_coordinator::on_members(steady_time requested_at, const store_answer& reply) {
    if (reply.m_status != store_status::done) {
        m_poll_failed = true;
        if (!knows_members()) {
            // Nothing can be served before the first successful poll.
            m_next_poll = m_ports.m_clock->m_now() + first_poll_retry_delay;
        }
        return;
    }
    const bool is_first = !m_directory.is_loaded();
    const steady_time last_read_at = m_directory.read_at();
    if (!m_directory.apply(reply, requested_at - reply.m_age, m_ports.m_clock->m_now())) {
        return;
    }
    if (m_directory.read_at() > last_read_at + max_steady_poll_gap) {
        m_polled_steadily_since = m_directory.read_at();
    }
    // A fleet that starts for the first time finds the table empty, and registers before the second poll.
    m_knows_fleet = m_directory.was_registered() || !is_first;
    if (is_first && m_directory.was_registered()) {
        // The instances that were registered before are known; the startup polls are not needed.
        m_next_poll = requested_at + intervals().m_poll_interval;
    }
    note_processes();
    adopt_coordinator_row();
    check_own_row();
    m_records_head = std::max(m_records_head, m_directory.records_head());
    m_is_witness = should_be_witness();
    probe_unreachable_primaries();
    try_become_active();
    if (m_is_active) {
        remove_stale_renewals();
    }
}

void fleet_coordinator::adopt_coordinator_row() {
    const auto& row = m_directory.coordinator_row();
    if (!row) {
        m_coordinator_version = {};
        m_coordinator_changed_at = {};
        return;
    }
    const auto record = parse_coordinator_record(row->m_value);
    if (!record || row->m_version < m_coordinator_version) {
        return;
    }
    const bool is_own =
        record->m_holder == m_options.m_name && record->m_incarnation == m_options.m_incarnation;
    m_coordinator_record = *record;
    if (row->m_version > m_coordinator_version) {
        m_coordinator_version = row->m_version;
        m_coordinator_changed_at = m_ports.m_clock->m_now();
    }
    if (m_is_active && !is_own) {
        step_down();
    }
    if (!m_is_active && is_own && !m_resigned && !is_before_era(record->m_token, m_recovery.era())) {
        become_active();
    }
}

void fleet_coordinator::become_active() {
    m_is_active = true;
    // A predecessor may have sent them until it lost the role, which is not before now.
    for (const pending_promotion& each : m_coordinator_record.m_pending) {
        m_orders[each.m_group].record(each.m_target, m_ports.m_clock->m_now());
    }
}

bool fleet_coordinator::knows_all_orders() const {
    return m_recovery.is_first_era() || m_active_since_before_era == m_recovery.era() ||
           m_ports.m_clock->m_now() >= m_recovery.era_seen_at() + max_order_age;
}

coordinator_record fleet_coordinator::record_with_orders() const {
    coordinator_record record = m_coordinator_record;
    record.m_pending.clear();
    for (const auto& [group, orders] : m_orders) {
        for (const upstream_id& target : orders.pending(m_ports.m_clock->m_now())) {
            record.m_pending.push_back({.m_group = group, .m_target = target});
        }
    }
    return record;
}

void fleet_coordinator::adopt_own_row(const store_row* row) {
    m_own_row_version = row == nullptr ? store_version{} : row->m_version;
    m_own_row_process.reset();
    if (row == nullptr) {
        return;
    }
    if (const auto record = parse_member_record(row->m_value)) {
        m_own_row_process =
            registered_process{.m_incarnation = record->m_incarnation,
                               .m_registered_at = registration_of(record->m_registration, row->m_version)};
    }
}

/// Renewals do not repeat the record. If the row in the store is not the one last reported, as after a
/// heartbeat that was made late or in a store that came back from an older copy, it is written again.
void fleet_coordinator::check_own_row() {
    if (m_heartbeat_in_flight || m_directory.version() < m_own_row_version) {
        return;
    }
    const auto& row = m_directory.own_row();
    adopt_own_row(row ? &*row : nullptr);
    if (!m_reported_record) {
        return;
    }
    auto listed = row ? parse_member_record(row->m_value) : std::nullopt;
    if (listed) {
        listed->m_registration.reset();
    }
    m_must_write_record = m_must_write_record || listed != m_reported_record;
}

void fleet_coordinator::remove_stale_renewals() {
    const steady_time now = m_ports.m_clock->m_now();
    std::vector<store_row> stale = m_directory.stale_renewal_rows(stale_renewals_time, now);
    if (stale.empty() || now < m_next_removal) {
        return;
    }
    m_next_removal = now + stale_renewals_time;
    stale.resize(std::min(stale.size(), max_conditional_rows));
    m_ports.m_store->m_change({.m_expected = stale, .m_removals = stale}, [](const store_answer& reply) {
        if (reply.m_status != store_status::done) {
            log_event(log_level::info, "member.renewals_not_removed");
        }
    });
}

/// An instance without traffic does not notice a primary that has stopped answering, and would
/// count as one that reaches it. Probe each primary that another instance reports as unreachable.
void fleet_coordinator::probe_unreachable_primaries() const {
    for (const auto& [name, group] : m_groups) {
        const bool is_unreachable = std::any_of(
            m_directory.members().begin(), m_directory.members().end(), [&, name = name](const auto& each) {
                return is_alive(each.second) && each.second.m_record.m_unreachable_primaries.contains(name);
            });
        if (is_unreachable) {
            group->probe_primary();
        }
    }
}

int fleet_coordinator::successor_rank() const {
    const auto weight = [](const std::string& name) { return stable_hash("steward " + name); };
    const std::uint64_t own = weight(m_options.m_name);
    return static_cast<int>(
        std::count_if(m_directory.members().begin(), m_directory.members().end(), [&](const auto& each) {
            return is_alive(each.second) && weight(each.second.m_record.m_name) > own;
        }));
}

bool fleet_coordinator::is_active_coordinator_gone() {
    // Whoever held the role before the store came back from an older copy takes it anew: the copy may
    // name an earlier holder, or the present one with a token that was replaced since.
    if (!m_coordinator_version.is_set() || is_before_era(m_coordinator_record.m_token, m_recovery.era())) {
        return true;
    }
    const steady_time now = m_ports.m_clock->m_now();
    const auto holder = m_directory.members().find(member_prefix + m_coordinator_record.m_holder);
    if (holder == m_directory.members().end() ||
        holder->second.m_record.m_incarnation != m_coordinator_record.m_incarnation) {
        return true;
    }
    if (now >= m_coordinator_changed_at + coordinator_suspect_timeout) {
        probe(holder->second);
    }
    return holder->second.m_refused_probe || now >= m_coordinator_changed_at + coordinator_timeout;
}

void fleet_coordinator::try_become_active() {
    if (m_is_active || m_resigned || m_coordinator_write_in_flight || !m_last_heartbeat_at ||
        !is_active_coordinator_gone()) {
        m_coordinator_gone_since.reset();
        return;
    }
    const steady_time now = m_ports.m_clock->m_now();
    m_coordinator_gone_since = m_coordinator_gone_since.value_or(now);
    const steady_time takeover_at = *m_coordinator_gone_since + successor_takeover_delay * successor_rank();
    if (now < takeover_at) {
        m_next_poll = std::min(m_next_poll, takeover_at);
        return;
    }
    m_coordinator_write_in_flight = true;
    const coordinator_record claim{.m_holder = m_options.m_name,
                                   .m_incarnation = m_options.m_incarnation,
                                   .m_token = next_number(m_coordinator_record.m_token, m_recovery.era()),
                                   .m_pending = m_coordinator_record.m_pending};
    const store_change change{
        .m_expected = {{.m_table = members_table,
                        .m_key = coordinator_key,
                        .m_version = m_coordinator_version}},
        .m_writes = {{.m_table = members_table, .m_key = coordinator_key, .m_value = to_text(claim)}}};
    m_ports.m_store->m_change(change, [this, claim](const store_answer& reply) {
        m_coordinator_write_in_flight = false;
        if (reply.m_status != store_status::done) {
            m_next_poll = m_ports.m_clock->m_now() + milliseconds{200};
            return;
        }
        m_coordinator_record = claim;
        become_active();
        m_coordinator_version = reply.m_version;
        m_coordinator_changed_at = m_ports.m_clock->m_now();
        log_event(log_level::info, "steward.took_over", {{"token", std::to_string(claim.m_token)}});
    });
}

fleet_intervals fleet_coordinator::intervals() const {
    fleet_intervals intervals = is_large_fleet() ? m_options.m_large_fleet : m_options.m_small_fleet;
    intervals.m_heartbeat_interval = m_proof.limit_interval(intervals.m_heartbeat_interval);
    intervals.m_heartbeat_batch_delay = m_proof.limit_batch_delay(intervals.m_heartbeat_batch_delay);
    return intervals;
}

bool fleet_coordinator::is_alive(const known_member& peer) const {
    if (peer.m_record.m_name == m_options.m_name) {
        return true;
    }
    // Silence is measured up to the last poll: an instance whose polls fail learns of no new
    // heartbeats.
    const milliseconds silence_timeout = intervals().m_heartbeat_interval * max_missed_heartbeats +
                                         max_heartbeat_latency + intervals().m_poll_interval;
    return m_directory.read_at() < peer.m_heartbeat_seen_at + silence_timeout;
}

bool fleet_coordinator::is_lease_over(const known_member& peer) const {
    return m_directory.read_at() >= peer.m_heartbeat_seen_at + m_lease.duration() + lease_margin;
}

int fleet_coordinator::live_instances() const {
    const auto alive = std::count_if(m_directory.members().begin(), m_directory.members().end(),
                                     [&](const auto& each) { return is_alive(each.second); });
    return std::max(1, static_cast<int>(alive));
}

std::vector<holder_candidate> fleet_coordinator::holders(const group_name& group,
                                                         const holding_limits& limits) const {
    if (m_max_account_homes) {
        const std::vector<account_home> homes =
            m_account_homes ? m_account_homes->m_homes
                            : choose_account_homes({}, home_candidates(), *m_max_account_homes);
        std::vector<holder_candidate> holding;
        for (const account_home& each : homes) {
            holding.push_back({.m_name = each.m_name, .m_data_centre = each.m_data_centre});
        }
        return holding;
    }
    std::vector<holder_candidate> candidates{
        {.m_name = m_options.m_name, .m_data_centre = m_options.m_data_centre}};
    for (const auto& [key, each] : m_directory.members()) {
        const bool other = each.m_record.m_name != m_options.m_name;
        if (other && is_alive(each) && !each.m_record.m_leaving) {
            candidates.push_back(
                {.m_name = each.m_record.m_name, .m_data_centre = each.m_record.m_data_centre});
        }
    }
    return group_holders(group, limits, candidates);
}

bool fleet_coordinator::takes_sessions(const std::string& name) const {
    const auto found = m_directory.members().find(member_prefix + name);
    return found != m_directory.members().end() && is_alive(found->second) &&
           !found->second.m_record.m_leaving;
}

std::vector<home_candidate> fleet_coordinator::home_candidates() const {
    std::vector<home_candidate> candidates;
    if (!m_resigned) {
        candidates.push_back(
            {.m_home = {.m_name = m_options.m_name, .m_data_centre = m_options.m_data_centre},
             .m_processor_millis = m_options.m_processor_millis});
    }
    for (const auto& [key, each] : m_directory.members()) {
        const bool other = each.m_record.m_name != m_options.m_name;
        if (other && is_alive(each) && !each.m_record.m_leaving) {
            candidates.push_back(
                {.m_home = {.m_name = each.m_record.m_name, .m_data_centre = each.m_record.m_data_centre},
                 .m_processor_millis = each.m_record.m_processor_millis});
        }
    }
    return candidates;
}

account_homes_view fleet_coordinator::make_account_homes_view() const {
    const steady_time now = m_ports.m_clock->m_now();
    account_homes_view view{.m_stored = m_account_homes,
                            .m_stored_known_since = m_account_homes_known_since,
                            .m_candidates = home_candidates(),
                            .m_max_homes = *m_max_account_homes,
                            .m_era = m_recovery.era()};
    for (const auto& [key, each] : m_directory.members()) {
        // Silence is measured up to the last poll.
        const steady_time seen = std::max(each.m_heartbeat_seen_at, m_polled_steadily_since);
        view.m_last_seen[each.m_record.m_name] =
            now - std::max(steady_time::duration{0}, m_directory.read_at() - seen);
    }
    view.m_last_seen[m_options.m_name] = now;
    return view;
}

void fleet_coordinator::coordinate_account_homes() {
    const steady_time now = m_ports.m_clock->m_now();
    const bool knows_all = knows_members() && m_records.is_loaded() && m_recovery.has_read_tables() &&
                           m_records.version() >= m_records_head;
    if (!m_max_account_homes || now < m_next_homes_plan || !knows_all) {
        return;
    }
    m_next_homes_plan = now + homes_plan_interval;
    if (const auto set = m_homes_plan.next(make_account_homes_view(), now)) {
        m_next_homes_plan = now + order_timeout;
        write_account_homes(*set);
    }
}

void fleet_coordinator::write_account_homes(const account_home_set& set) {
    std::string names;
    for (const account_home& each : set.m_homes) {
        names += (names.empty() ? "" : ", ") + each.m_name;
    }
    m_ports.m_store->m_change(
        {.m_expected = {m_records.known_row(account_homes_key)},
         .m_writes = {{.m_table = records_table, .m_key = account_homes_key, .m_value = to_text(set)},
                      {.m_table = members_table, .m_key = records_head_key}}},
        [this, names, generation = set.m_generation](const store_answer& reply) {
            const bool done = reply.m_status == store_status::done;
            if (done) {
                m_metrics.count("account_homes_changed");
            }
            log_event(done ? log_level::info : log_level::warning,
                      done ? "account_homes.changed" : "account_homes.not_written",
                      {{"generation", std::to_string(generation)}, {"homes", names}});
        });
}

std::optional<endpoint> fleet_coordinator::forwarding_address(const std::string& name) const {
    const auto found = m_directory.members().find(member_prefix + name);
    if (found == m_directory.members().end() || found->second.m_record.m_forwarding_address.m_port == 0) {
        return std::nullopt;
    }
    return found->second.m_record.m_forwarding_address;
}

std::vector<store_relay_candidate> fleet_coordinator::store_relays() const {
    std::vector<store_relay_candidate> relays;
    for (const auto& [key, each] : m_directory.members()) {
        const bool other = each.m_record.m_name != m_options.m_name;
        if (other && is_alive(each) && !each.m_record.m_leaving &&
            each.m_record.m_store_relay_address.m_port != 0) {
            relays.push_back({.m_name = each.m_record.m_name,
                              .m_data_centre = each.m_record.m_data_centre,
                              .m_processor_millis = each.m_record.m_processor_millis,
                              .m_address = each.m_record.m_store_relay_address});
        }
    }
    return relays;
}

bool fleet_coordinator::is_large_fleet() const {
    return m_directory.members().size() >= large_fleet_size;
}

/// Called at each tick, so it builds no record and does not iterate over the members.
bool fleet_coordinator::has_urgent_report() const {
    if (!m_reported_record) {
        return false;
    }
    // The active coordinator waits for an acknowledgement only while a switch is in progress.
    const bool is_switching = std::any_of(m_groups.begin(), m_groups.end(), [](const auto& group) {
        return group.second->record().m_stage == group_stage::switching;
    });
    return (is_switching && own_acknowledged_version() != m_reported_record->m_acknowledged_version) ||
           unreachable_primaries() != m_reported_record->m_unreachable_primaries ||
           m_resigned != m_reported_record->m_leaving;
}

void fleet_coordinator::tick() {
    const steady_time now = m_ports.m_clock->m_now();
    if (m_deregistered) {
        return;
    }
    if (m_records.is_loaded() && m_records.version() < m_records_head) {
        m_records.refresh();
    }
    const bool may_send = !m_last_heartbeat_at || now >= *m_last_heartbeat_at + min_heartbeat_interval;
    if (may_send && has_urgent_report()) {
        heartbeat(milliseconds{0});
    } else if (now >= m_next_heartbeat ||
               (m_lease.is_provisional() && now >= m_heartbeat_sent_at + provisional_heartbeat_interval)) {
        const milliseconds short_delay = is_large_fleet() ? urgent_batch_delay : milliseconds{0};
        const bool on_time = m_last_heartbeat_at && !m_last_heartbeat_failed && !m_lease.is_provisional();
        heartbeat(on_time ? intervals().m_heartbeat_batch_delay : short_delay);
    }
    const bool switching =
        m_is_active && std::any_of(m_groups.begin(), m_groups.end(), [](const auto& each) {
            return each.second->record().m_stage == group_stage::switching ||
                   each.second->is_primary_unreachable(primary_unreachable_delay);
        });
    if (switching) {
        m_next_poll = std::min(m_next_poll, now + switching_poll_interval);
    }
    if (now >= m_next_poll) {
        poll_members();
    }
    m_witnesses.tick({.m_knows_fleet = m_knows_fleet,
                      .m_is_witness = m_is_witness && !m_resigned,
                      .m_is_coordinator = m_is_active});
    if (m_recovery.is_pending() && m_recovery.tick(successor_rank())) {
        m_next_poll = std::min(m_next_poll, now + recovery_poll_delay);
    }
    if (m_is_active) {
        for (const auto& [name, group] : m_groups) {
            coordinate_group(name, *group);
        }
        coordinate_account_homes();
    }
}

void fleet_coordinator::probe(known_member& peer) {
    const steady_time now = m_ports.m_clock->m_now();
    if (now < peer.m_probed_at + min_probe_interval) {
        return;
    }
    peer.m_probed_at = now;
    const std::string key = member_prefix + peer.m_record.m_name;
    const std::string incarnation = peer.m_record.m_incarnation;
    m_ports.m_probe(peer.m_record.m_probe_address, [this, key, incarnation](bool refused) {
        const auto known = m_directory.members().find(key);
        if (refused && known != m_directory.members().end() &&
            known->second.m_record.m_incarnation == incarnation) {
            known->second.m_refused_probe = true;
        }
    });
}

std::vector<plan_instance> fleet_coordinator::plan_members(const group_name& name,
                                                           const group_record& record,
                                                           const group_service& group) {
    const std::vector<holder_candidate> current_holders = holders(name, group.options().m_limits);
    const auto is_holder = [&](const std::string& instance) {
        return std::any_of(current_holders.begin(), current_holders.end(),
                           [&](const holder_candidate& each) { return each.m_name == instance; });
    };
    const store_version record_version = m_records.known_row(name.m_text).m_version;
    const auto own = m_own_acknowledged_epochs.find(name);
    std::vector<plan_instance> members{
        {.m_has_acknowledged = own != m_own_acknowledged_epochs.end() && own->second >= record.m_epoch,
         .m_has_connections = is_holder(m_options.m_name),
         .m_cannot_reach_primary = group.is_primary_unreachable(primary_unreachable_delay),
         .m_acknowledged = group.acknowledged_commits()}};
    for (const auto& [key, each] : m_directory.members()) {
        if (each.m_record.m_name == m_options.m_name) {
            continue;
        }
        const bool agreed = has_acknowledged(each.m_record, name, record.m_epoch, record_version);
        members.push_back({.m_has_acknowledged = agreed,
                           .m_cannot_use_primary = is_lease_over(each),
                           .m_has_connections = is_holder(each.m_record.m_name),
                           .m_cannot_reach_primary = each.m_record.m_unreachable_primaries.contains(name),
                           .m_is_alive = is_alive(each),
                           .m_acknowledged = acknowledged_by(each.m_record, name)});
    }
    return members;
}

void fleet_coordinator::note_processes() {
    std::map<std::string, std::string> processes;
    for (const auto& [key, each] : m_directory.members()) {
        processes[each.m_record.m_name] = each.m_record.m_incarnation;
    }
    if (processes != m_processes) {
        m_processes = std::move(processes);
        m_processes_unchanged_since = m_ports.m_clock->m_now();
    }
}

plan_view fleet_coordinator::make_plan_view(const group_name& name, group_service& group,
                                            group_coordination& coordination) {
    const steady_time now = m_ports.m_clock->m_now();
    plan_view view{.m_record = group.record()};
    if (coordination.m_observed_epoch != view.m_record.m_epoch) {
        coordination.m_observed_epoch = view.m_record.m_epoch;
        coordination.m_epoch_observed_at = now;
    }
    view.m_record_seen_at = coordination.m_epoch_observed_at;
    view.m_coordinator_cannot_reach_primary = group.is_primary_unreachable(primary_unreachable_delay);
    view.m_coordinator_has_connections = group.options().m_has_connections;
    const auto primary = group.pools().find(view.m_record.m_primary);
    view.m_registry_complete = group.is_registry_complete();
    view.m_era = m_recovery.era();
    view.m_era_seen_at = m_recovery.era_seen_at();
    view.m_lost_records_written = m_recovery.are_records_recovered();
    // An instance that started before the record changed is among these members; one that starts
    // later reads the new record.
    view.m_instances_current = m_directory.read_at() >= coordination.m_epoch_observed_at;
    view.m_knows_all_leases = m_recovery.knows_all_leases();
    view.m_primary_refuses_connections =
        primary != group.pools().end() && primary->second->refuses_connections();
    view.m_pending_orders = m_orders[name].pending(now);
    view.m_knows_all_orders = knows_all_orders();
    view.m_instances = plan_members(name, view.m_record, group);
    view.m_instances_unchanged_since = m_processes_unchanged_since;
    view.m_synchronous_replicas = group.options().m_synchronous_replicas;
    if (primary != group.pools().end()) {
        view.m_primary_serves_until = primary_serves_until(primary->second->entry(), group, coordination);
    }
    for (const auto& [id, pool] : group.pools()) {
        plan_upstream observed{};
        const auto report = coordination.m_reports.find(id);
        if (report != coordination.m_reports.end() &&
            report->second.m_started_at_ms == pool->entry().m_started_at_ms) {
            observed = report->second.m_state;
        }
        observed.m_id = id;
        observed.m_registered = !pool->is_wrong_upstream();
        observed.m_leaving = pool->entry().m_leaving;
        observed.m_departed = group.has_departed(id);
        observed.m_registered_as_primary = pool->entry().m_registered_as_primary;
        view.m_upstreams.push_back(observed);
    }
    return view;
}

void fleet_coordinator::coordinate_group(const group_name& name, group_service& group) {
    auto& coordination = m_group_coordinations[name];
    const steady_time now = m_ports.m_clock->m_now();
    if (!coordination) {
        coordination = std::make_unique<group_coordination>(
            group_coordination{.m_plan = promotion_plan({.m_lease = m_lease.duration() + lease_margin})});
    }
    if (coordination->m_observed_epoch != group.record().m_epoch) {
        // The record that was to be written is known.
        coordination->m_in_flight_until = now;
    }
    if (now < coordination->m_in_flight_until || !m_records.is_loaded()) {
        return;
    }
    const plan_order order = coordination->m_plan.next(make_plan_view(name, group, *coordination), now);
    switch (order.m_step) {
    case plan_step::wait:
        // A change of primary may begin as soon as other instances miss it too.
        if (group.is_primary_unreachable(primary_unreachable_delay) || group.has_primary_refused_role()) {
            request_status(group, *coordination, false);
        }
        break;
    case plan_step::request_status:
        request_status(group, *coordination, order.m_at_once);
        break;
    case plan_step::write_record:
        coordination->m_in_flight_until = now + order_timeout;
        write_record(name, order.m_record);
        break;
    case plan_step::promote:
        coordination->m_in_flight_until = now + order_timeout;
        promote(name, order.m_target);
        break;
    case plan_step::demote:
        demote(group, order.m_target, order.m_term);
        break;
    }
}

std::optional<steady_time> fleet_coordinator::primary_serves_until(const upstream_entry& primary,
                                                                   const group_service& group,
                                                                   group_coordination& coordination) const {
    if (!primary.m_leaving || coordination.m_leaving_primary != primary.m_id) {
        coordination.m_leaving_primary = primary.m_leaving ? primary.m_id : upstream_id{};
        coordination.m_leaving_seen_at = m_ports.m_clock->m_now();
    }
    if (!primary.m_leaving || group.options().m_drain_limit == milliseconds{0}) {
        return std::nullopt;
    }
    // An instance that has started meanwhile does not know when the upstream reported.
    const bool is_known = primary.m_leaving_since != steady_time{};
    return (is_known ? primary.m_leaving_since : coordination.m_leaving_seen_at) +
           group.options().m_drain_limit;
}

void fleet_coordinator::request_status(group_service& group, group_coordination& coordination,
                                       bool at_once) {
    const steady_time now = m_ports.m_clock->m_now();
    for (const auto& [id, pool] : group.pools()) {
        const steady_time last = coordination.m_status_requested_at[id];
        const bool was_answered = coordination.m_reports[id].m_state.m_status_at == last;
        if (now < last + (at_once && was_answered ? min_repeated_status_interval : min_status_interval)) {
            continue;
        }
        coordination.m_status_requested_at[id] = now;
        const group_name name = pool->entry().m_group;
        pool->send_internal({.m_kind = outgoing_statement::kind::status},
                            [this, name, upstream = id, now, started_at = pool->entry().m_started_at_ms](
                                const std::optional<answer>& reply) {
                                const auto found = m_group_coordinations.find(name);
                                const auto status = reply ? m_ports.m_read_status(*reply) : std::nullopt;
                                if (found == m_group_coordinations.end() || !status) {
                                    return;
                                }
                                found->second->m_reports[upstream] = {
                                    .m_state = {.m_status_at = now,
                                                .m_answered_at = m_ports.m_clock->m_now(),
                                                .m_is_primary = status->m_is_primary,
                                                .m_term = status->m_term,
                                                .m_position = status->m_received_position},
                                    .m_started_at_ms = started_at};
                            });
    }
}

void fleet_coordinator::write_record(const group_name& name, const group_record& record) {
    log_event(log_level::info, "steward.writes_record",
              {{"group", name.m_text},
               {"epoch", std::to_string(record.m_epoch)},
               {"stage", record.m_stage == group_stage::steady ? "steady" : "switching"},
               {"primary", record.m_primary.m_text},
               {"candidate", record.m_candidate.m_text},
               {"planned", record.m_planned ? "yes" : "no"}});
    m_ports.m_store->m_change(
        {.m_expected = {m_records.known_row(name.m_text)},
         .m_writes = {{.m_table = records_table, .m_key = name.m_text, .m_value = to_text(record)},
                      {.m_table = members_table, .m_key = records_head_key}}},
        [name](const store_answer& reply) {
            if (reply.m_status != store_status::done) {
                log_event(log_level::warning, "steward.record_not_written", {{"group", name.m_text}});
            }
        });
}

std::string fleet_coordinator::describe_members(const group_name& name,
                                                const group_coordination& coordination) const {
    const steady_time now = m_ports.m_clock->m_now();
    const auto since = [&](steady_time then) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(now - then).count()) + " ms";
    };
    const store_version record_version = m_records.known_row(name.m_text).m_version;
    std::size_t acknowledged = 0;
    std::size_t named = 0;
    std::string expired;
    for (const auto& [key, each] : m_directory.members()) {
        if (each.m_record.m_name == m_options.m_name) {
            continue;
        }
        if (has_acknowledged(each.m_record, name, coordination.m_observed_epoch, record_version)) {
            ++acknowledged;
        } else if (++named <= max_named_members) {
            expired += ", " + each.m_record.m_name + " (" + each.m_record.m_incarnation +
                       ") by its lease, silent for " + since(each.m_heartbeat_seen_at);
        }
    }
    return since(coordination.m_epoch_observed_at) + ", " + std::to_string(acknowledged) +
           " members by acknowledgement" + expired +
           (named > max_named_members ? ", " + std::to_string(named - max_named_members) + " more" : "");
}

std::string fleet_coordinator::describe_reports(const group_coordination& coordination) const {
    const steady_time now = m_ports.m_clock->m_now();
    std::string text;
    for (const auto& [id, report] : coordination.m_reports) {
        const plan_upstream& state = report.m_state;
        text += (text.empty() ? "" : ", ") + id.m_text + " ";
        if (!state.m_status_at) {
            text += "no report";
            continue;
        }
        const auto age = std::chrono::duration_cast<milliseconds>(now - *state.m_status_at);
        text += to_string(state.m_position) + (state.m_is_primary ? " as primary" : "") + ", " +
                std::to_string(age.count()) + " ms ago";
    }
    return text;
}

std::string fleet_coordinator::describe_acknowledged(const group_name& name) const {
    const auto group = m_groups.find(name);
    acknowledged_range newest =
        group == m_groups.end() ? acknowledged_range{} : group->second->acknowledged_commits();
    for (const auto& [key, each] : m_directory.members()) {
        newest = newest_of(newest, acknowledged_by(each.m_record, name).value_or(acknowledged_range{}));
    }
    return "from " + to_string(newest.m_at_least) + " to " + to_string(newest.m_at_most);
}

void fleet_coordinator::promote(const group_name& name, const upstream_id& target) {
    if (m_coordinator_write_in_flight) {
        // Two writes of the coordinator record would invalidate each other's condition. The plan
        // orders the promotion again.
        m_group_coordinations.at(name)->m_in_flight_until = m_ports.m_clock->m_now() + milliseconds{10};
        m_group_coordinations.at(name)->m_plan.withdraw_promotion();
        return;
    }
    m_coordinator_write_in_flight = true;
    const steady_time requested_at = m_ports.m_clock->m_now();
    m_orders[name].record(target, requested_at);
    // The fencing token must still be the newest when the promotion is ordered.
    const store_change confirm{.m_expected = {{.m_table = members_table,
                                               .m_key = coordinator_key,
                                               .m_version = m_coordinator_version}},
                               .m_writes = {{.m_table = members_table,
                                             .m_key = coordinator_key,
                                             .m_value = to_text(record_with_orders())}}};
    m_ports.m_store->m_change(confirm, [this, name, target, requested_at](const store_answer& reply) {
        m_coordinator_write_in_flight = false;
        const auto found = m_group_coordinations.find(name);
        if (reply.m_status != store_status::done || found == m_group_coordinations.end() || !m_is_active) {
            if (m_is_active) {
                step_down();
                m_next_poll = m_ports.m_clock->m_now();
            }
            return;
        }
        m_coordinator_version = reply.m_version;
        m_coordinator_changed_at = requested_at;
        const auto age = std::chrono::duration_cast<milliseconds>(m_ports.m_clock->m_now() - requested_at);
        if (age > max_confirmation_age) {
            // Another instance may have taken over since. The plan orders the promotion again.
            log_event(log_level::warning, "steward.confirmation_too_old",
                      {{"group", name.m_text}, {"age_ms", std::to_string(age.count())}});
            found->second->m_plan.withdraw_promotion();
            m_next_poll = m_ports.m_clock->m_now();
            return;
        }
        log_event(log_level::info, "steward.promotes",
                  {{"group", name.m_text},
                   {"upstream", target.m_text},
                   {"token", std::to_string(m_coordinator_record.m_token)},
                   {"waited_for", describe_members(name, *found->second)},
                   {"reports", describe_reports(*found->second)},
                   {"acknowledged", describe_acknowledged(name)}});
        m_metrics.count("promotions_ordered");
        m_ports.m_promote(name, target, m_options.m_name, m_coordinator_record.m_token,
                          [this, name, target](promotion_result result) {
                              if (result == promotion_result::not_running) {
                                  m_orders[name].record_refusal(target);
                              }
                              const auto coordination = m_group_coordinations.find(name);
                              if (coordination == m_group_coordinations.end()) {
                                  return;
                              }
                              const steady_time now = m_ports.m_clock->m_now();
                              coordination->second->m_in_flight_until = now;
                              coordination->second->m_plan.record_promotion_result(
                                  result != promotion_result::not_running, now);
                          });
    });
}

void fleet_coordinator::demote(group_service& group, const upstream_id& target, std::uint64_t term) {
    const auto pool = group.pools().find(target);
    if (pool == group.pools().end()) {
        return;
    }
    pool->second->send_internal(
        {.m_kind = outgoing_statement::kind::demote, .m_term = term},
        [target](const std::optional<answer>& reply) {
            if (!reply || !reply->succeeded()) {
                log_event(log_level::warning, "steward.demotion_unanswered", {{"upstream", target.m_text}});
            }
        });
}

void fleet_coordinator::resign() {
    m_resigned = true;
    if (!m_is_active) {
        return;
    }
    const coordinator_record vacant{.m_token = m_coordinator_record.m_token,
                                    .m_pending = record_with_orders().m_pending};
    step_down();
    m_ports.m_store->m_change(
        {.m_expected = {{.m_table = members_table,
                         .m_key = coordinator_key,
                         .m_version = m_coordinator_version}},
         .m_writes = {{.m_table = members_table, .m_key = coordinator_key, .m_value = to_text(vacant)}}},
        [](const store_answer& reply) {
            if (reply.m_status != store_status::done) {
                log_event(log_level::warning, "steward.resignation_not_stored");
            }
        });
}

void fleet_coordinator::deregister() {
    m_deregistered = true;
    m_witnesses.leave();
    remove_own_row(true);
}

void fleet_coordinator::remove_own_row(bool may_retry) {
    if (!m_own_row_process || m_own_row_process->m_incarnation != m_options.m_incarnation) {
        return;
    }
    const store_row row = own_row_condition();
    m_ports.m_store->m_change({.m_expected = {row}, .m_removals = {row}},
                              [this, row, may_retry](const store_answer& reply) {
                                  if (reply.m_status == store_status::done) {
                                      return;
                                  }
                                  log_event(log_level::warning, "member.row_not_removed",
                                            {{"known_version", to_string(row.m_version)},
                                             {"store_version", to_string(reply.m_version)}});
                                  if (may_retry && reply.m_status == store_status::conflict) {
                                      // An earlier heartbeat may have been made late. The row of another
                                      // process stays.
                                      adopt_own_row(reply.m_rows.empty() ? nullptr : &reply.m_rows.front());
                                      remove_own_row(false);
                                  }
                              });
}

}
