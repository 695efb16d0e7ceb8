/// \file fleet_agent.cpp
#include "anvilmount/gateway/fleet_agent.hpp"

#include "anvilmount/decisions/placement.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace anvilmount::gateway {
namespace {

const std::string records_table = "anvilmount_groups";
const std::string members_table = "anvilmount_members";
const std::string member_prefix = "member/";
const std::string steward_key = "steward";

/// Written with each change of a record, so that a heartbeat can be made on the
/// condition that the records known here are the newest.
const std::string head_key = "records";

/// From this size on the calls of the fleet weigh more than the seconds that they save.
constexpr std::size_t large_fleet = 24;

/// A change of what a heartbeat says goes out at once, but no more often than this.
constexpr milliseconds heartbeat_spacing{150};

constexpr milliseconds heartbeat_retry{400};

/// In a large fleet many may start at once, after a loss of power; their first
/// heartbeats wait this long to be made together.
constexpr milliseconds first_heartbeat_wait{120};

/// After this many heartbeats missed, an instance no longer counts for shares of connections.
constexpr int heartbeats_missed = 2;
constexpr milliseconds heartbeat_delay{2000};

/// On top of the lease: timers are late, and the clocks of two machines drift.
constexpr milliseconds lease_slack{200};

/// A steward that has not renewed its row for this long is replaced: two renewals and their time.
constexpr milliseconds steward_renewal{1500};
constexpr milliseconds steward_lifetime{4000};

/// A renewal that has not come by then is reason to see whether the steward's process still runs.
constexpr milliseconds steward_overdue{2000};

constexpr milliseconds poll_while_switching{60};

constexpr milliseconds first_look_retry{250};

/// Looks at the members soon after the start, when many may have started together.
constexpr std::array first_polls{milliseconds{300}, milliseconds{1200}, milliseconds{4000}};

/// Instances that look at the steward's row often, also in a large fleet.
constexpr int successors = 4;

/// A successor leaves those before it this long to take over: two changes of the store.
constexpr milliseconds successor_turn{250};

constexpr milliseconds probe_spacing{300};
constexpr milliseconds status_spacing{40};

/// A store call that is not answered by then is looked at again through the feed.
constexpr milliseconds write_patience{500};

/// How long a primary must leave an instance without answer before it counts as missed,
/// on top of the time after which a pool calls it silent.
constexpr milliseconds missing_after{150};

}

fleet_agent::fleet_agent(fleet_agent_options options, fleet_agent_ports ports, confirmation_lease& lease,
                         group_map& groups, metrics& counters)
    : m_options(std::move(options)), m_ports(std::move(ports)), m_lease(lease), m_groups(groups),
      m_metrics(counters), m_records({.m_table = records_table}, *m_ports.m_clock, *m_ports.m_store,
                                     [this](const auto&) { on_records(); }) {}

void fleet_agent::start() {
    m_records.start();
    poll_members();
}

void fleet_agent::on_records() {
    for (const auto& [key, row] : m_records.rows()) {
        m_records_head = std::max(m_records_head, row.m_version);
    }
    for (const auto& [name, group] : m_groups) {
        adopt(name, *group);
    }
}

void fleet_agent::apply_records() {
    on_records();
}

std::vector<store_row> fleet_agent::heartbeat_conditions(bool renews) const {
    std::vector<store_row> conditions{
        {.m_table = members_table, .m_key = head_key, .m_version = m_records_head}};
    if (const auto configuration = m_ports.m_configuration.m_newest()) {
        conditions.push_back(*configuration);
    }
    if (renews) {
        conditions.push_back(
            {.m_table = members_table, .m_key = steward_key, .m_version = m_steward_version});
    }
    return conditions;
}

void fleet_agent::adopt(const group_name& name, group_service& group) {
    const auto row = m_records.rows().find(name.m_text);
    if (row == m_records.rows().end()) {
        return;
    }
    const auto record = parse_group_record(row->second.m_value);
    if (!record) {
        log_event(log_level::error, "group.record_unreadable", {{"group", name.m_text}});
        return;
    }
    const std::uint64_t epoch = record->m_epoch;
    group.adopt_record(*record, [this, name, epoch] { m_agreed[name] = epoch; });
}

member_record fleet_agent::own_record() const {
    member_record record{.m_name = m_options.m_name,
                         .m_incarnation = m_options.m_incarnation,
                         .m_probe_address = m_options.m_probe_address,
                         .m_forwarding_address = m_options.m_forwarding_address,
                         .m_store_relay_address = m_options.m_store_relay_address,
                         .m_data_centre = m_options.m_data_centre,
                         .m_leaving = m_resigned,
                         .m_acknowledged_epochs = m_agreed};
    for (const auto& [name, group] : m_groups) {
        if (group->misses_primary(missing_after)) {
            record.m_unreachable_primaries.insert(name);
        }
    }
    return record;
}

void fleet_agent::heartbeat(milliseconds may_wait) {
    const bool knows_newest =
        knows_members() && m_records.is_loaded() && m_records.version() >= m_records_head;
    if (m_heartbeat_under_way || m_leaving || !knows_newest || (m_steward && m_steward_write_under_way)) {
        return;
    }
    m_heartbeat_under_way = true;
    m_steward_write_under_way = m_steward_write_under_way || m_steward;
    const steady_time now = m_ports.m_clock->m_now();
    m_next_heartbeat = now + (m_steward ? steward_renewal : pace().m_heartbeat_interval);
    const member_record record = own_record();
    const bool renews = m_steward;
    store_change change{.m_expected = heartbeat_conditions(renews),
                        .m_writes = {{.m_table = members_table,
                                      .m_key = member_prefix + m_options.m_name,
                                      .m_value = to_text(record)}},
                        .m_may_wait = renews ? milliseconds{0} : may_wait};
    if (renews) {
        change.m_writes.push_back(
            {.m_table = members_table, .m_key = steward_key, .m_value = to_text(m_steward_record)});
    }
    m_ports.m_store->m_change(change, [this, now, record, renews](const store_answer& reply) {
        if (reply.m_status == store_status::done) {
            m_reported = record;
        }
        m_steward_write_under_way = m_steward_write_under_way && !renews;
        on_heartbeat(now, renews, reply);
    });
}

void fleet_agent::on_heartbeat(steady_time sent_at, bool renewed, const store_answer& reply) {
    m_heartbeat_under_way = false;
    if (reply.m_status == store_status::conflict) {
        on_heartbeat_conflict(renewed, reply);
        return;
    }
    if (reply.m_status != store_status::done) {
        m_metrics.count("heartbeats_failed");
        m_heartbeat_failed = true;
        m_next_heartbeat = m_ports.m_clock->m_now() + heartbeat_retry;
        if (m_steward && renewed) {
            // Whether the row changed is unknown: the next look decides.
            step_down();
            m_next_poll = m_ports.m_clock->m_now();
        }
        return;
    }
    if (std::exchange(m_heartbeat_failed, false)) {
        m_records.refresh();
        m_ports.m_configuration.m_ask_anew();
    }
    // The records known here were the newest, and others know of this instance.
    m_heartbeat_done = sent_at;
    m_lease.confirm(sent_at);
    if (m_steward && renewed) {
        m_steward_version = reply.m_version;
        m_steward_changed_at = m_ports.m_clock->m_now();
    }
}

void fleet_agent::on_heartbeat_conflict(bool renewed, const store_answer& reply) {
    m_next_heartbeat = m_ports.m_clock->m_now() + heartbeat_spacing;
    const auto version_of = [&](const std::string& key) -> std::uint64_t {
        const auto found =
            std::find_if(reply.m_rows.begin(), reply.m_rows.end(), [&](const store_row& row) {
                return row.m_table == members_table && row.m_key == key;
            });
        return found == reply.m_rows.end() ? 0 : found->m_version;
    };
    m_records_head = version_of(head_key);
    if (m_records.version() < m_records_head) {
        m_records.refresh();
    }
    if (const auto configuration = m_ports.m_configuration.m_newest()) {
        const bool newest =
            std::any_of(reply.m_rows.begin(), reply.m_rows.end(), [&](const store_row& row) {
                return row.m_table == configuration->m_table && row.m_key == configuration->m_key &&
                       row.m_version == configuration->m_version;
            });
        if (!newest) {
            m_ports.m_configuration.m_refresh();
        }
    }
    if (m_steward && renewed && version_of(steward_key) != m_steward_version) {
        step_down();
        m_next_poll = m_ports.m_clock->m_now();
    }
}

void fleet_agent::step_down() {
    m_steward = false;
    m_work.clear();
    log_event(log_level::info, "steward.stepped_down",
              {{"token", std::to_string(m_steward_record.m_token)}});
}

void fleet_agent::poll_members() {
    if (m_poll_under_way) {
        return;
    }
    m_poll_under_way = true;
    const bool watches = m_steward || rank_as_successor() < successors;
    milliseconds pause = watches ? m_options.m_small_fleet.m_poll_interval : pace().m_poll_interval;
    if (m_polls < first_polls.size()) {
        pause = std::min(pause, first_polls.at(m_polls));
        ++m_polls;
    }
    m_next_poll = m_ports.m_clock->m_now() + pause;
    m_ports.m_store->m_read_table(members_table,
                                  [this, asked_at = m_ports.m_clock->m_now()](const store_answer& reply) {
                                      m_poll_under_way = false;
                                      on_members(asked_at, reply);
                                  });
}

void fleet_agent::on_members(steady_time asked_at, const store_answer& reply) {
    if (reply.m_status != store_status::done) {
        m_poll_failed = true;
        if (!knows_members()) {
            // Nothing can be served before the first look.
            m_next_poll = m_ports.m_clock->m_now() + first_look_retry;
        }
        return;
    }
    const steady_time as_of = asked_at - reply.m_age;
    if (as_of < m_members_seen_at) {
        // Another instance's look from before the last one here: whoever registered since is not in it.
        return;
    }
    m_members_seen_at = as_of;
    bool steward_row = false;
    std::map<std::string, member> kept;
    for (const store_row& row : reply.m_rows) {
        if (row.m_key == steward_key) {
            steward_row = true;
            const auto record = parse_coordinator_record(row.m_value);
            if (record && row.m_version >= m_steward_version) {
                const bool mine = record->m_holder == m_options.m_name &&
                                  record->m_incarnation == m_options.m_incarnation;
                m_steward_record = *record;
                if (row.m_version > m_steward_version) {
                    m_steward_version = row.m_version;
                    m_steward_changed_at = m_ports.m_clock->m_now();
                }
                if (m_steward && !mine) {
                    step_down();
                }
                if (!m_steward && mine && !m_resigned) {
                    m_steward = true;
                }
            }
        } else if (row.m_key == head_key) {
            m_records_head = std::max(m_records_head, row.m_version);
        } else if (row.m_key.starts_with(member_prefix)) {
            take_member(row);
            kept.insert(m_members.extract(row.m_key));
        }
    }
    m_members = std::move(kept);
    if (!steward_row) {
        m_steward_version = 0;
        m_steward_changed_at = {};
    }
    look_after_missed_primaries();
    consider_stewardship();
}

/// An instance without traffic does not notice a primary that has fallen silent,
/// and would count as one that reaches it.
void fleet_agent::look_after_missed_primaries() const {
    for (const auto& [name, group] : m_groups) {
        const bool missed =
            std::any_of(m_members.begin(), m_members.end(), [&, name = name](const auto& each) {
                return is_alive(each.second) && each.second.m_record.m_unreachable_primaries.contains(name);
            });
        if (missed) {
            group->look_after_primary();
        }
    }
}

void fleet_agent::take_member(const store_row& row) {
    member& known = m_members[row.m_key];
    if (row.m_version <= known.m_version) {
        return;
    }
    const auto record = parse_member_record(row.m_value);
    if (!record) {
        log_event(log_level::error, "member.record_unreadable", {{"member", row.m_key}});
        return;
    }
    known.m_record = *record;
    known.m_version = row.m_version;
    known.m_changed_at = m_ports.m_clock->m_now();
    known.m_refused = false;
}

int fleet_agent::rank_as_successor() const {
    const auto weight = [](const std::string& name) { return stable_hash("steward " + name); };
    const std::uint64_t own = weight(m_options.m_name);
    return static_cast<int>(std::count_if(m_members.begin(), m_members.end(), [&](const auto& each) {
        return is_alive(each.second) && weight(each.second.m_record.m_name) > own;
    }));
}

bool fleet_agent::steward_is_gone() {
    if (m_steward_version == 0) {
        return true;
    }
    const steady_time now = m_ports.m_clock->m_now();
    const auto holder = m_members.find(member_prefix + m_steward_record.m_holder);
    if (holder == m_members.end() ||
        holder->second.m_record.m_incarnation != m_steward_record.m_incarnation) {
        return true;
    }
    if (now >= m_steward_changed_at + steward_overdue) {
        probe(holder->second);
    }
    return holder->second.m_refused || now >= m_steward_changed_at + steward_lifetime;
}

void fleet_agent::consider_stewardship() {
    if (m_steward || m_resigned || m_steward_write_under_way || !m_heartbeat_done || !steward_is_gone()) {
        m_steward_gone_since.reset();
        return;
    }
    const steady_time now = m_ports.m_clock->m_now();
    m_steward_gone_since = m_steward_gone_since.value_or(now);
    const steady_time turn = *m_steward_gone_since + successor_turn * rank_as_successor();
    if (now < turn) {
        m_next_poll = std::min(m_next_poll, turn);
        return;
    }
    m_steward_write_under_way = true;
    const coordinator_record wanted{.m_holder = m_options.m_name,
                                    .m_incarnation = m_options.m_incarnation,
                                    .m_token = m_steward_record.m_token + 1};
    const store_change change{
        .m_expected = {{.m_table = members_table, .m_key = steward_key, .m_version = m_steward_version}},
        .m_writes = {{.m_table = members_table, .m_key = steward_key, .m_value = to_text(wanted)}}};
    m_ports.m_store->m_change(change, [this, wanted](const store_answer& reply) {
        m_steward_write_under_way = false;
        if (reply.m_status != store_status::done) {
            m_next_poll = m_ports.m_clock->m_now() + milliseconds{200};
            return;
        }
        m_steward = true;
        m_steward_record = wanted;
        m_steward_version = reply.m_version;
        m_steward_changed_at = m_ports.m_clock->m_now();
        log_event(log_level::info, "steward.took_over", {{"token", std::to_string(wanted.m_token)}});
    });
}

const fleet_intervals& fleet_agent::pace() const {
    return is_large_fleet() ? m_options.m_large_fleet : m_options.m_small_fleet;
}

bool fleet_agent::is_alive(const member& each) const {
    if (each.m_record.m_name == m_options.m_name) {
        return true;
    }
    // Ages end with the last look: an instance that cannot look knows of no new silence.
    const milliseconds lifetime =
        pace().m_heartbeat_interval * heartbeats_missed + heartbeat_delay + pace().m_poll_interval;
    return !each.m_refused && m_members_seen_at < each.m_changed_at + lifetime;
}

int fleet_agent::live_instances() const {
    const auto alive = std::count_if(m_members.begin(), m_members.end(),
                                     [&](const auto& each) { return is_alive(each.second); });
    return std::max(1, static_cast<int>(alive));
}

std::vector<holder_candidate> fleet_agent::holders(const group_name& group,
                                                   const holding_limits& limits) const {
    std::vector<holder_candidate> candidates{
        {.m_name = m_options.m_name, .m_data_centre = m_options.m_data_centre}};
    for (const auto& [key, each] : m_members) {
        const bool other = each.m_record.m_name != m_options.m_name;
        if (other && is_alive(each) && !each.m_record.m_leaving) {
            candidates.push_back(
                {.m_name = each.m_record.m_name, .m_data_centre = each.m_record.m_data_centre});
        }
    }
    return group_holders(group, limits, candidates);
}

std::optional<endpoint> fleet_agent::forwarding_address(const std::string& name) const {
    const auto found = m_members.find(member_prefix + name);
    if (found == m_members.end() || found->second.m_record.m_forwarding_address.m_port == 0) {
        return std::nullopt;
    }
    return found->second.m_record.m_forwarding_address;
}

std::vector<store_relay_candidate> fleet_agent::store_relays() const {
    std::vector<store_relay_candidate> relays;
    for (const auto& [key, each] : m_members) {
        const bool other = each.m_record.m_name != m_options.m_name;
        if (other && is_alive(each) && !each.m_record.m_leaving &&
            each.m_record.m_store_relay_address.m_port != 0) {
            relays.push_back({.m_name = each.m_record.m_name,
                              .m_data_centre = each.m_record.m_data_centre,
                              .m_address = each.m_record.m_store_relay_address});
        }
    }
    return relays;
}

bool fleet_agent::is_large_fleet() const {
    return m_members.size() >= large_fleet;
}

bool fleet_agent::has_news() const {
    if (!m_reported) {
        return false;
    }
    const member_record now = own_record();
    // The steward waits for agreement with a change that is under way, for no other.
    const bool agrees = std::any_of(m_groups.begin(), m_groups.end(), [&](const auto& group) {
        const auto epoch = [&](const member_record& record) {
            const auto found = record.m_acknowledged_epochs.find(group.first);
            return found == record.m_acknowledged_epochs.end() ? 0 : found->second;
        };
        return group.second->record().m_stage == group_stage::switching && epoch(now) != epoch(*m_reported);
    });
    return agrees || now.m_unreachable_primaries != m_reported->m_unreachable_primaries ||
           now.m_leaving != m_reported->m_leaving;
}

void fleet_agent::tick() {
    const steady_time now = m_ports.m_clock->m_now();
    if (m_leaving) {
        return;
    }
    if (m_records.is_loaded() && m_records.version() < m_records_head) {
        m_records.refresh();
    }
    const bool spaced = !m_heartbeat_done || now >= *m_heartbeat_done + heartbeat_spacing;
    if (spaced && has_news()) {
        heartbeat(milliseconds{0});
    } else if (now >= m_next_heartbeat) {
        const milliseconds first_wait = is_large_fleet() ? first_heartbeat_wait : milliseconds{0};
        heartbeat(m_heartbeat_done ? pace().m_heartbeat_batch_delay : first_wait);
    }
    const bool switching = m_steward && std::any_of(m_groups.begin(), m_groups.end(), [](const auto& each) {
                               return each.second->record().m_stage == group_stage::switching ||
                                      each.second->misses_primary(missing_after);
                           });
    if (switching) {
        m_next_poll = std::min(m_next_poll, now + poll_while_switching);
    }
    if (now >= m_next_poll) {
        poll_members();
    }
    if (m_steward) {
        for (const auto& [name, group] : m_groups) {
            steward_group(name, *group);
        }
    }
}

void fleet_agent::probe(member& each) {
    const steady_time now = m_ports.m_clock->m_now();
    if (now < each.m_probed_at + probe_spacing) {
        return;
    }
    each.m_probed_at = now;
    const std::string key = member_prefix + each.m_record.m_name;
    const std::string incarnation = each.m_record.m_incarnation;
    m_ports.m_probe(each.m_record.m_probe_address, [this, key, incarnation](bool refused) {
        const auto known = m_members.find(key);
        if (refused && known != m_members.end() && known->second.m_record.m_incarnation == incarnation) {
            known->second.m_refused = true;
        }
    });
}

std::vector<plan_member> fleet_agent::plan_members(const group_name& name, const group_record& record,
                                                   const group_service& group) {
    const std::vector<holder_candidate> holding = holders(name, group.options().m_limits);
    const auto holds = [&](const std::string& instance) {
        return std::any_of(holding.begin(), holding.end(),
                           [&](const holder_candidate& each) { return each.m_name == instance; });
    };
    const auto own = m_agreed.find(name);
    std::vector<plan_member> members{{.m_agreed = own != m_agreed.end() && own->second >= record.m_epoch,
                                      .m_holds = holds(m_options.m_name),
                                      .m_misses_primary = group.misses_primary(missing_after)}};
    for (auto& [key, each] : m_members) {
        if (each.m_record.m_name == m_options.m_name) {
            continue;
        }
        const auto epoch = each.m_record.m_acknowledged_epochs.find(name);
        const bool agreed =
            epoch != each.m_record.m_acknowledged_epochs.end() && epoch->second >= record.m_epoch;
        const bool silent = m_members_seen_at >= each.m_changed_at + m_lease.duration() + lease_slack;
        if (record.m_stage == group_stage::switching && !agreed) {
            probe(each);
        }
        members.push_back({.m_agreed = agreed,
                           .m_cannot_use = each.m_refused || silent,
                           .m_holds = holds(each.m_record.m_name),
                           .m_misses_primary = each.m_record.m_unreachable_primaries.contains(name),
                           .m_heard_of = is_alive(each)});
    }
    return members;
}

plan_view fleet_agent::view_of(const group_name& name, group_service& group, group_work& work) {
    const steady_time now = m_ports.m_clock->m_now();
    plan_view view{.m_record = group.record()};
    if (work.m_seen_epoch != view.m_record.m_epoch) {
        work.m_seen_epoch = view.m_record.m_epoch;
        work.m_seen_at = now;
    }
    view.m_record_seen_at = work.m_seen_at;
    view.m_steward_misses_primary = group.misses_primary(missing_after);
    view.m_steward_holds = group.options().m_holds;
    const auto primary = group.pools().find(view.m_record.m_primary);
    view.m_registry_settled = group.registry_settled();
    // An instance that began before the record changed is among these; a later one knows the record.
    view.m_members_current = m_members_seen_at >= work.m_seen_at;
    view.m_primary_refuses = primary != group.pools().end() && primary->second->refuses_connections();
    view.m_members = plan_members(name, view.m_record, group);
    for (const auto& [id, pool] : group.pools()) {
        plan_upstream seen = work.m_reports[id];
        seen.m_id = id;
        seen.m_registered = !pool->is_other_upstream();
        seen.m_leaving = pool->entry().m_leaving;
        seen.m_says_primary = pool->entry().m_registered_as_primary;
        view.m_upstreams.push_back(seen);
    }
    return view;
}

void fleet_agent::steward_group(const group_name& name, group_service& group) {
    auto& work = m_work[name];
    const steady_time now = m_ports.m_clock->m_now();
    if (!work) {
        work = std::make_unique<group_work>(
            group_work{.m_plan = promotion_plan({.m_lease = m_lease.duration() + lease_slack})});
    }
    if (now < work->m_busy_until || !m_records.is_loaded()) {
        return;
    }
    const plan_order order = work->m_plan.next(view_of(name, group, *work), now);
    switch (order.m_step) {
    case plan_step::wait:
        break;
    case plan_step::ask_status:
        ask_status(group, *work);
        break;
    case plan_step::write_record:
        work->m_busy_until = now + write_patience;
        write_record(name, order.m_record);
        break;
    case plan_step::promote:
        work->m_busy_until = now + write_patience;
        promote(name, order.m_target);
        break;
    case plan_step::demote:
        demote(group, order.m_target, order.m_term);
        break;
    }
}

void fleet_agent::ask_status(group_service& group, group_work& work) {
    const steady_time now = m_ports.m_clock->m_now();
    for (const auto& [id, pool] : group.pools()) {
        if (now < work.m_asked_at[id] + status_spacing) {
            continue;
        }
        work.m_asked_at[id] = now;
        const group_name name = pool->entry().m_group;
        pool->ask_directly({.m_kind = outgoing_statement::kind::status},
                           [this, name, asked = id, now](const std::optional<answer>& reply) {
                               const auto found = m_work.find(name);
                               const auto status = reply ? m_ports.m_read_status(*reply) : std::nullopt;
                               if (found == m_work.end() || !status) {
                                   return;
                               }
                               plan_upstream& report = found->second->m_reports[asked];
                               report.m_status_at = now;
                               report.m_leads = status->m_is_primary;
                               report.m_term = status->m_term;
                               report.m_position = status->m_received;
                           });
    }
}

void fleet_agent::write_record(const group_name& name, const group_record& record) {
    const auto known = m_records.rows().find(name.m_text);
    const std::uint64_t version = known == m_records.rows().end() ? 0 : known->second.m_version;
    log_event(log_level::info, "steward.writes_record",
              {{"group", name.m_text},
               {"epoch", std::to_string(record.m_epoch)},
               {"stage", record.m_stage == group_stage::steady ? "steady" : "switching"},
               {"primary", record.m_primary.m_text},
               {"candidate", record.m_candidate.m_text},
               {"planned", record.m_planned ? "yes" : "no"}});
    m_ports.m_store->m_change(
        {.m_expected = {{.m_table = records_table, .m_key = name.m_text, .m_version = version}},
         .m_writes = {{.m_table = records_table, .m_key = name.m_text, .m_value = to_text(record)},
                      {.m_table = members_table, .m_key = head_key}}},
        [name](const store_answer& reply) {
            if (reply.m_status != store_status::done) {
                log_event(log_level::warning, "steward.record_not_written", {{"group", name.m_text}});
            }
        });
}

void fleet_agent::promote(const group_name& name, const upstream_id& target) {
    if (m_steward_write_under_way) {
        // Two writes of the row would each spoil the other's condition; the plan orders it again.
        m_work.at(name)->m_busy_until = m_ports.m_clock->m_now() + milliseconds{10};
        m_work.at(name)->m_plan.withdraw_promotion();
        return;
    }
    m_steward_write_under_way = true;
    // The token must still be the newest when the order goes out.
    const store_change confirm{
        .m_expected = {{.m_table = members_table, .m_key = steward_key, .m_version = m_steward_version}},
        .m_writes = {
            {.m_table = members_table, .m_key = steward_key, .m_value = to_text(m_steward_record)}}};
    m_ports.m_store->m_change(confirm, [this, name, target](const store_answer& reply) {
        m_steward_write_under_way = false;
        const auto found = m_work.find(name);
        if (reply.m_status != store_status::done || found == m_work.end() || !m_steward) {
            if (m_steward) {
                step_down();
                m_next_poll = m_ports.m_clock->m_now();
            }
            return;
        }
        m_steward_version = reply.m_version;
        m_steward_changed_at = m_ports.m_clock->m_now();
        log_event(log_level::info, "steward.promotes",
                  {{"group", name.m_text},
                   {"upstream", target.m_text},
                   {"token", std::to_string(m_steward_record.m_token)}});
        m_metrics.count("promotions_ordered");
        m_ports.m_promote(name, target, m_options.m_name, m_steward_record.m_token,
                          [this, name](promotion_result result) {
                              const auto work = m_work.find(name);
                              if (work == m_work.end()) {
                                  return;
                              }
                              const steady_time now = m_ports.m_clock->m_now();
                              work->second->m_busy_until = now;
                              work->second->m_plan.note_promotion(result != promotion_result::not_running,
                                                                  now);
                          });
    });
}

void fleet_agent::demote(group_service& group, const upstream_id& target, std::uint64_t term) {
    const auto pool = group.pools().find(target);
    if (pool == group.pools().end()) {
        return;
    }
    pool->second->ask_directly(
        {.m_kind = outgoing_statement::kind::demote, .m_term = term},
        [target](const std::optional<answer>& reply) {
            if (!reply || !reply->succeeded()) {
                log_event(log_level::warning, "steward.demotion_unanswered", {{"upstream", target.m_text}});
            }
        });
}

void fleet_agent::resign() {
    m_resigned = true;
    if (!m_steward) {
        return;
    }
    const coordinator_record vacant{.m_token = m_steward_record.m_token};
    step_down();
    m_ports.m_store->m_change(
        {.m_expected = {{.m_table = members_table, .m_key = steward_key, .m_version = m_steward_version}},
         .m_writes = {{.m_table = members_table, .m_key = steward_key, .m_value = to_text(vacant)}}},
        [](const store_answer& reply) {
            if (reply.m_status != store_status::done) {
                log_event(log_level::warning, "steward.resignation_not_stored");
            }
        });
}

void fleet_agent::deregister() {
    m_leaving = true;
    m_ports.m_store->m_change(
        {.m_removals = {{.m_table = members_table, .m_key = member_prefix + m_options.m_name}}},
        [](const store_answer& reply) {
            if (reply.m_status != store_status::done) {
                log_event(log_level::warning, "member.row_not_removed");
            }
        });
}

}
