/// \file gateway.cpp
#include "anvilmount/gateway/gateway.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace anvilmount::gateway {
namespace {

/// Live upstreams are registered again about two seconds after the store is back.
constexpr milliseconds registration_return{2500};

/// An instance that did not take a session is left alone for two heartbeats.
constexpr milliseconds relay_pause{6000};

/// A caller gives up a session that is not open after 2 s.
constexpr milliseconds early_caller_patience{1500};

/// Sessions' idle transactions, shares of connections and registrations need no faster look.
constexpr milliseconds slow_tick{200};

/// A statement that was handed on and is unanswered for this long has its path
/// watched: longer than nearly every statement takes.
constexpr milliseconds path_patience{1000};

/// The balancer takes an instance out after two misses, a second apart.
constexpr milliseconds rotation_time{2400};

/// A transaction that has rested for this long when time is up is not at work.
constexpr milliseconds long_rest{500};

/// Names under which upstream connections know prepared statements; older ones are forgotten in bulk.
constexpr std::size_t most_shared_names = 5000;

/// Open transactions have this share of the grace period to end, open statements the next one.
constexpr double transaction_share = 0.5;
constexpr double statement_share = 0.85;

}

gateway::gateway(gateway_options options, gateway_ports ports)
    : m_options(std::move(options)), m_ports(std::move(ports)),
      m_store(m_ports.m_clock, m_ports.m_store, m_ports.m_send_peer_request, m_metrics),
      m_relay(m_ports.m_clock, m_ports.m_store, m_store, m_metrics), m_lease(m_options.m_lease),
      m_coordinator({.m_name = m_options.m_name,
                     .m_incarnation = m_options.m_incarnation,
                     .m_probe_address = m_options.m_probe_address,
                     .m_forwarding_address = m_options.m_forwarding_address,
                     .m_store_relay_address = m_options.m_store_relay_address,
                     .m_data_centre = m_options.m_data_centre},
                    {.m_clock = &m_ports.m_clock,
                     .m_store = &m_store.port(),
                     .m_promote = m_ports.m_promote,
                     .m_read_status = m_ports.m_read_status,
                     .m_probe = m_ports.m_probe,
                     .m_configuration = m_ports.m_configuration},
                    m_lease, m_groups, m_metrics) {
    std::vector<store_path> first{store_path{}};
    for (const endpoint& seed : m_options.m_seed_relays) {
        if (seed != m_options.m_store_relay_address) {
            first.push_back({.m_relay = seed});
        }
    }
    m_store.set_order(std::move(first));
    m_relay.share_copy(m_coordinator.records());
}

void gateway::start() {
    m_coordinator.start();
}

void gateway::look_at_members() {
    const steady_time seen = m_coordinator.members_polled_at();
    const bool steward = m_coordinator.is_coordinator();
    if (seen == m_members_of && steward == m_was_steward) {
        return;
    }
    m_members_of = seen;
    m_was_steward = steward;
    const std::vector<store_relay_candidate> others = m_coordinator.store_relays();
    m_store.set_order(store_path_order({.m_self = m_options.m_name,
                                        .m_data_centre = m_options.m_data_centre,
                                        .m_prefers_own = steward || !m_coordinator.is_large_fleet(),
                                        .m_others = others}));
    apply_groups();
    close_misplaced_sessions();
}

void gateway::close_misplaced_sessions() {
    // Opened before the others were known, or before another instance took the
    // group over: without connections of its own this one would serve them
    // badly. Their callers come back and are handed on.
    const auto sessions = m_sessions;
    for (const auto& [number, session] : sessions) {
        const auto route = m_configuration.m_routes.find(session->database());
        const auto group =
            route == m_configuration.m_routes.end() ? m_groups.end() : m_groups.find(route->second.m_group);
        if (group != m_groups.end() && !group->second->options().m_holds) {
            session->leave();
        }
    }
}

/// Slots of one upstream of a group; 0 while none is known.
int gateway::slots_of(const group_name& name) const {
    int slots = 0;
    for (const auto& [id, entry] : m_upstreams) {
        slots = entry.m_group == name ? std::max(slots, entry.m_slots) : slots;
    }
    return slots;
}

group_options gateway::options_for(const group_name& name) const {
    const auto service = m_configuration.m_services.find(name);
    const holding_limits limits{.m_connections = service == m_configuration.m_services.end()
                                                     ? service_limits{}.m_max_connections
                                                     : service->second.m_max_connections,
                                .m_slots = slots_of(name)};
    const std::vector<holder_candidate> holders = m_coordinator.holders(name, limits);
    return {.m_name = name,
            .m_data_centre = m_options.m_data_centre,
            .m_limits = limits,
            .m_instances = static_cast<int>(holders.size()),
            // Until the others are known a connection might take another instance's place.
            .m_holds =
                m_coordinator.knows_members() &&
                std::any_of(holders.begin(), holders.end(),
                            [&](const holder_candidate& each) { return each.m_name == m_options.m_name; }),
            .m_stewards = m_coordinator.is_coordinator()};
}

void gateway::adopt_configuration(const fleet_configuration& newest) {
    if (newest.m_revision <= m_configuration.m_revision) {
        return;
    }
    m_configuration = newest;
    log_event(log_level::info, "configuration.adopted",
              {{"revision", std::to_string(newest.m_revision)},
               {"routes", std::to_string(newest.m_routes.size())}});
    apply_groups();
    const auto relayed = m_relayed;
    for (const auto& [number, caller] : relayed) {
        caller.m_on_revision(newest.m_revision);
    }
}

void gateway::apply_groups() {
    bool added = false;
    for (const auto& [name, service] : m_configuration.m_services) {
        auto& group = m_groups[name];
        if (!group) {
            group = std::make_unique<group_service>(options_for(name), m_ports.m_clock, m_ports.m_connect,
                                                    m_lease, m_metrics);
            const bool settled = m_registry_known && m_ports.m_clock.m_now() >= m_believe_absence_at;
            group->adopt_upstreams(m_upstreams, settled);
            added = true;
        } else {
            group->set_options(options_for(name));
        }
    }
    if (added) {
        m_coordinator.apply_records();
    }
}

void gateway::adopt_registry(const upstream_registry& registered) {
    if (!m_registry_known) {
        // The store may have been away until now.
        on_registry_regained();
    }
    m_registered = registered;
    m_registry_known = true;
    apply_registry();
}

void gateway::on_registry_regained() {
    m_believe_absence_at = m_ports.m_clock.m_now() + registration_return;
}

void gateway::apply_registry() {
    const bool believe_absence = m_ports.m_clock.m_now() >= m_believe_absence_at;
    m_registry_dirty = !believe_absence;
    for (auto each = m_upstreams.begin(); each != m_upstreams.end();) {
        const bool absent = !m_registered.contains(each->first);
        each = absent && believe_absence ? m_upstreams.erase(each) : std::next(each);
    }
    for (const auto& [id, entry] : m_registered) {
        m_upstreams[id] = entry;
    }
    for (const auto& [name, group] : m_groups) {
        // Slots decide who holds connections; picking those anew costs a hash for each instance.
        if (slots_of(name) != group->options().m_limits.m_slots) {
            group->set_options(options_for(name));
        }
        group->adopt_upstreams(m_upstreams, believe_absence);
    }
}

session_host gateway::host() {
    return {.m_route = [this](const std::string& database) -> const database_route* {
                const auto found = m_configuration.m_routes.find(database);
                return found == m_configuration.m_routes.end() ? nullptr : &found->second;
            },
            .m_group = [this](const group_name& name) -> group_service* {
                const auto found = m_groups.find(name);
                return found == m_groups.end() ? nullptr : found->second.get();
            },
            .m_revision = [this] { return m_configuration.m_revision; },
            .m_idle_transaction_limit = [this] { return m_configuration.m_idle_transaction_timeout; },
            .m_shared_name =
                [this](const std::string& shape, bool writes) {
                    if (m_shared_names.size() >= most_shared_names) {
                        m_shared_names.clear();
                    }
                    // Numbered on, so that a forgotten name is never given to another shape.
                    auto& name = m_shared_names[{shape, writes}];
                    if (name.empty()) {
                        name = "a" + std::to_string(m_next_session++);
                    }
                    return name;
                },
            .m_clock = &m_ports.m_clock,
            .m_metrics = &m_metrics};
}

void gateway::when_sessions_can_open(std::function<void()> work) {
    m_early_callers.push_back(
        {.m_until = m_ports.m_clock.m_now() + early_caller_patience, .m_work = std::move(work)});
}

void gateway::admit_early_callers() {
    const steady_time now = m_ports.m_clock.m_now();
    std::vector<early_caller> waiting = std::exchange(m_early_callers, {});
    for (early_caller& each : waiting) {
        if (can_open_sessions() || m_coordinator.has_poll_failed() || now >= each.m_until) {
            each.m_work();
        } else {
            m_early_callers.push_back(std::move(each));
        }
    }
}

bool gateway::accepts_sessions() const {
    return !m_leaving_since || m_ports.m_clock.m_now() < *m_leaving_since + rotation_time;
}

std::optional<endpoint> gateway::forwarding_target(const std::string& database) {
    const auto route = m_configuration.m_routes.find(database);
    const auto group =
        route == m_configuration.m_routes.end() ? m_groups.end() : m_groups.find(route->second.m_group);
    if (group == m_groups.end() || group->second->options().m_holds) {
        return std::nullopt;
    }
    const steady_time now = m_ports.m_clock.m_now();
    std::vector<holder_candidate> holders =
        m_coordinator.holders(group->first, group->second->options().m_limits);
    std::erase_if(holders, [&](const holder_candidate& each) {
        const auto address = m_coordinator.forwarding_address(each.m_name);
        const auto avoided = address ? m_no_relay_before.find(*address) : m_no_relay_before.end();
        return !address || each.m_name == m_options.m_name ||
               (avoided != m_no_relay_before.end() && now < avoided->second);
    });
    if (holders.empty()) {
        return std::nullopt;
    }
    m_metrics.count("sessions_handed_on");
    return m_coordinator.forwarding_address(
        holder_for_session(holders, m_options.m_data_centre, m_next_session++).m_name);
}

void gateway::on_forwarding_failed(const endpoint& target) {
    m_no_relay_before[target] = m_ports.m_clock.m_now() + relay_pause;
    log_event(log_level::info, "relay.failed", {{"instance", to_string(target)}});
}

std::uint64_t gateway::add_forwarded(forwarded_caller caller) {
    if (m_leaving_since) {
        caller.m_leave();
    }
    const std::uint64_t number = m_next_session++;
    m_relayed.emplace(number, std::move(caller));
    return number;
}

result<std::shared_ptr<caller_session>> gateway::open_session(const std::string& database,
                                                              caller_session::outputs out) {
    if (!can_open_sessions()) {
        return fail(result_code::upstream_unavailable, "not configured yet");
    }
    if (!m_configuration.m_routes.contains(database)) {
        return fail(result_code::unknown_group, "no such database");
    }
    if (!accepts_sessions()) {
        return fail(result_code::instance_leaving, "leaving");
    }
    if (m_sessions.size() >= m_options.m_max_sessions) {
        return fail(result_code::too_many_callers, "too many callers");
    }
    const std::uint64_t number = m_next_session++;
    auto session = std::make_shared<caller_session>(number, database, host(), std::move(out));
    if (m_leaving_since) {
        session->leave_after_next();
    }
    m_sessions.emplace(number, session);
    m_metrics.count("sessions_opened");
    return session;
}

void gateway::forget_session(const std::shared_ptr<caller_session>& session) {
    m_sessions.erase(session->number());
}

void gateway::tick() {
    for (const auto& [name, group] : m_groups) {
        group->tick();
    }
    look_at_members();
    m_coordinator.tick();
    if (m_stewards != m_coordinator.is_coordinator()) {
        m_stewards = m_coordinator.is_coordinator();
        apply_groups();
    }
    m_relay.tick();
    if (!m_early_callers.empty()) {
        admit_early_callers();
    }
    const steady_time now = m_ports.m_clock.m_now();
    if (m_leaving_since) {
        tick_leaving();
    }
    if (now < m_next_slow_tick) {
        return;
    }
    m_next_slow_tick = now + slow_tick;
    if (m_registry_dirty && now >= m_believe_absence_at) {
        apply_registry();
    }
    for (const auto& [number, session] : m_sessions) {
        session->tick();
    }
    watch_relayed();
}

void gateway::watch_relayed() const {
    const steady_time now = m_ports.m_clock.m_now();
    for (const auto& [number, caller] : m_relayed) {
        const auto since = caller.m_unanswered_since();
        if (since && now >= *since + path_patience) {
            caller.m_check_path();
        }
    }
}

bool gateway::is_ready() const {
    if (m_leaving_since || m_configuration.m_revision == 0 || !m_registry_known ||
        !m_coordinator.has_records() || !m_lease.holds(m_ports.m_clock.m_now())) {
        return false;
    }
    // A group that is held elsewhere is served by handing its sessions on.
    return std::any_of(m_groups.begin(), m_groups.end(), [](const auto& group) {
        const auto& pools = group.second->pools();
        return !group.second->options().m_holds ||
               std::any_of(pools.begin(), pools.end(), [](const auto& pool) {
                   return pool.second->connections().idle() + pool.second->connections().busy() > 0;
               });
    });
}

void gateway::leave(milliseconds grace, std::function<void()> done) {
    if (m_leaving_since) {
        return;
    }
    log_event(log_level::info, "instance.leaving", {{"sessions", std::to_string(m_sessions.size())}});
    m_leaving_since = m_ports.m_clock.m_now();
    m_grace = grace;
    m_on_left = std::move(done);
    m_coordinator.resign();
    const auto sessions = m_sessions;
    for (const auto& [number, session] : sessions) {
        session->leave();
    }
    const auto relayed = m_relayed;
    for (const auto& [number, caller] : relayed) {
        caller.m_leave();
    }
}

void gateway::tick_leaving() {
    const auto passed =
        std::chrono::duration_cast<milliseconds>(m_ports.m_clock.m_now() - *m_leaving_since);
    const auto sessions = m_sessions;
    const bool statements_late =
        passed >= std::chrono::duration_cast<milliseconds>(m_grace * statement_share);
    const bool transactions_late =
        passed >= std::chrono::duration_cast<milliseconds>(m_grace * transaction_share);
    const auto rests = [now = m_ports.m_clock.m_now()](const std::optional<steady_time>& since) {
        return since && now >= *since + long_rest;
    };
    for (const auto& [number, session] : sessions) {
        if (statements_late || (transactions_late && rests(session->resting_since()))) {
            session->abandon();
        }
    }
    const auto relayed = m_relayed;
    for (const auto& [number, caller] : relayed) {
        if (statements_late || (transactions_late && rests(caller.m_inactive_since()))) {
            caller.m_abandon();
        }
    }
    const bool done = m_sessions.empty() && m_relayed.empty() && passed >= rotation_time;
    if ((done || statements_late) && m_on_left) {
        m_coordinator.deregister();
        const auto left = std::exchange(m_on_left, nullptr);
        left();
    }
}

nlohmann::json gateway::state_dump() const {
    const steady_time now = m_ports.m_clock.m_now();
    nlohmann::json groups = nlohmann::json::object();
    for (const auto& [name, group] : m_groups) {
        nlohmann::json pools = nlohmann::json::object();
        for (const auto& [id, pool] : group->pools()) {
            pools[id.m_text] = {{"leaving", pool->entry().m_leaving},
                                {"failing", pool->failing_since().has_value()},
                                {"opening", pool->connections().opening()},
                                {"idle", pool->connections().idle()},
                                {"busy", pool->connections().busy()},
                                {"limit", pool->connections().limit()},
                                {"in_progress", pool->in_progress()},
                                {"answer_time_us", pool->answer_time().count()}};
        }
        groups[name.m_text] = {{"epoch", group->record().m_epoch},
                               {"switching", group->record().m_stage == group_stage::switching},
                               {"primary", group->record().m_primary.m_text},
                               {"term", group->record().m_term},
                               {"pools", pools}};
    }
    return {{"instance", m_options.m_name},
            {"ready", is_ready()},
            {"steward", m_coordinator.is_coordinator()},
            {"lease_holds", m_lease.holds(now)},
            {"instances", m_coordinator.live_instances()},
            {"sessions", m_sessions.size()},
            {"revision", m_configuration.m_revision},
            {"groups", groups},
            {"metrics", m_metrics.to_json()}};
}

}
