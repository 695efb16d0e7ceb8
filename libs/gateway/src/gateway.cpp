/// \file gateway.cpp
/// Applies configuration, registrations and members to the groups, opens and forwards sessions, and
/// drains the instance.
#include "anvilmount/gateway/gateway.hpp"

#include "anvilmount/decisions/drain_window.hpp"
#include "anvilmount/decisions/placement.hpp"
#include "anvilmount/gateway/rank_orders.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace anvilmount::gateway {
namespace {

/// Live upstreams register again about two seconds after the store is back.
constexpr milliseconds reregistration_time{2500};

/// More than the upstreams that leave within the seconds by which a store goes back.
constexpr std::size_t max_left_upstreams = 256;

/// An instance that did not accept a forwarded session gets none for two heartbeats.
constexpr milliseconds forwarding_backoff{6000};

/// Less than the 2 s after which callers abandon a session that is not open.
constexpr milliseconds session_open_timeout{1500};

/// Interval for work that needs no faster tick: sessions' idle transactions, delayed registrations
/// and the paths of forwarded callers.
constexpr milliseconds slow_tick_interval{200};

/// The path of a forwarded statement that is unanswered for this long is checked. Nearly every
/// statement takes less.
constexpr milliseconds path_check_delay{1000};

/// The load balancer takes an instance out after two failed checks, one second apart.
constexpr milliseconds balancer_removal_time{2400};

/// A transaction that has had no statement for this long, when its share of the grace period is
/// over, is considered abandoned by its caller.
constexpr milliseconds min_inactive_time{500};

/// Names of prepared statements at the upstreams. When the table is full, all names are forgotten
/// at once.
constexpr std::size_t max_prepared_names = 5000;

/// Shares of the grace period after which open transactions, and then open statements, are
/// abandoned.
constexpr double transaction_grace_share = 0.5;
constexpr double statement_grace_share = 0.85;

}

gateway::gateway(gateway_options options, gateway_ports ports)
    : m_options(std::move(options)), m_ports(std::move(ports)),
      m_era(m_ports.m_clock, m_ports.m_store, m_metrics),
      m_store(m_ports.m_clock, m_era, m_ports.m_send_peer_request, m_metrics),
      m_relay(m_ports.m_clock, m_era, m_store, m_metrics,
              {.m_table = members_table, .m_key = renewals_prefix + m_options.m_incarnation}),
      m_lease(m_options.m_lease),
      m_quotas({.m_name = m_options.m_name,
                .m_validity = m_options.m_revocation_limit.value_or(m_options.m_lease),
                .m_window = m_options.m_quota_window},
               m_metrics),
      m_fleet_coordinator(
          {.m_name = m_options.m_name,
           .m_incarnation = m_options.m_incarnation,
           .m_probe_address = m_options.m_probe_address,
           .m_forwarding_address = m_options.m_forwarding_address,
           .m_store_relay_address = m_options.m_store_relay_address,
           .m_data_centre = m_options.m_data_centre,
           .m_processor_millis = m_options.m_processor_millis,
           .m_account_homes_interval = m_quotas.rights().waiting_time(),
           .m_revocation_limit = m_options.m_revocation_limit},
          {.m_clock = &m_ports.m_clock,
           .m_store = &m_store.port(),
           .m_promote = m_ports.m_promote,
           .m_read_status = m_ports.m_read_status,
           .m_probe = m_ports.m_probe,
           .m_send_peer_request = m_ports.m_send_peer_request,
           .m_configuration = m_ports.m_configuration,
           .m_on_account_homes = [this](const auto& stored,
                                        std::uint64_t era) { on_account_homes(stored, era); },
           .m_on_heartbeat = [this](steady_time at) { m_quotas.on_heartbeat(at); }},
          m_lease, m_groups, m_metrics) {
    std::vector<store_path> initial_order{store_path{}};
    for (const endpoint& seed : m_options.m_seed_relays) {
        if (seed != m_options.m_store_relay_address) {
            initial_order.push_back({.m_relay = seed});
        }
    }
    m_store.set_order(std::move(initial_order));
    m_relay.share_copy(m_fleet_coordinator.records());
    m_relay.set_introduction_handler([this](const member_introduction& introduction) {
        return m_fleet_coordinator.on_introduction(introduction);
    });
    m_era.set_handler([this](std::uint64_t era) { on_new_era(era); });
}

void gateway::on_new_era(std::uint64_t era) {
    // Registrations may be missing from the older copy.
    on_registry_regained();
    m_fleet_coordinator.on_new_era(era);
}

void gateway::start() {
    m_fleet_coordinator.start();
}

void gateway::apply_members() {
    if (m_fleet_coordinator.has_poll_failed()) {
        m_store.release_watches();
    }
    const steady_time polled_at = m_fleet_coordinator.members_polled_at();
    const bool is_coordinating = m_fleet_coordinator.is_active();
    if (polled_at == m_applied_poll_at && is_coordinating == m_applied_as_coordinator &&
        !m_account_homes_changed) {
        return;
    }
    m_account_homes_changed = false;
    m_applied_poll_at = polled_at;
    m_applied_as_coordinator = is_coordinating;
    const std::vector<store_relay_candidate> relays = m_fleet_coordinator.store_relays();
    m_store.set_order(
        order_store_paths({.m_self = m_options.m_name,
                           .m_data_centre = m_options.m_data_centre,
                           .m_processor_millis = m_options.m_processor_millis,
                           .m_prefers_direct = is_coordinating || !m_fleet_coordinator.is_large_fleet(),
                           .m_candidates = relays}));
    if (m_fleet_coordinator.knows_fleet()) {
        m_store.release_watches();
    }
    apply_groups();
    close_misplaced_sessions();
}

void gateway::close_misplaced_sessions() {
    // These sessions were opened before the other instances were known, or before another instance
    // became holder of the group. Without connections of its own this instance would serve them
    // badly. Their callers reconnect and are forwarded.
    const auto sessions = m_sessions;
    for (const auto& [number, session] : sessions) {
        const auto route = m_configuration.m_routes.find(session->database());
        const auto group =
            route == m_configuration.m_routes.end() ? m_groups.end() : m_groups.find(route->second.m_group);
        // The home that a session moved to may have ended; it is served elsewhere then.
        if (group != m_groups.end() && (!group->second->options().m_has_connections ||
                                        (m_quotas.is_limited(session->account()) &&
                                         !better_placed(*group->second, session->account()).empty()))) {
            session->drain(session_end::misplaced);
        }
    }
}

/// Returns the greatest number of slots of the group's upstreams; 0 while no upstream is known.
int gateway::max_slots_of(const group_name& name) const {
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
                                .m_slots = max_slots_of(name)};
    const std::vector<holder_candidate> holders = m_fleet_coordinator.holders(name, limits);
    return {.m_name = name,
            .m_data_centre = m_options.m_data_centre,
            .m_limits = limits,
            .m_holder_count = static_cast<int>(holders.size()),
            // Until the other instances are known, a connection opened here might take the place of
            // another instance's.
            .m_has_connections =
                m_fleet_coordinator.knows_members() &&
                std::any_of(holders.begin(), holders.end(),
                            [&](const holder_candidate& each) { return each.m_name == m_options.m_name; }),
            .m_is_coordinator = m_fleet_coordinator.is_active(),
            .m_drain_limit = m_options.m_drain_limit,
            .m_synchronous_replicas =
                service == m_configuration.m_services.end() ? 0 : service->second.m_synchronous_replicas,
            .m_rank_orders = rank_orders_of(m_configuration, name),
            .m_judges_outcomes = m_options.m_judges_outcomes,
            .m_remote_byte_price = m_options.m_remote_byte_price,
            .m_spill_phase = milliseconds{static_cast<std::int64_t>(
                stable_hash(name.m_text + " spills at " + m_options.m_name) %
                static_cast<std::uint64_t>(data_centre_spill::step_interval.count()))}};
}

void gateway::adopt_configuration(const fleet_configuration& newest) {
    if (newest.m_revision <= m_configuration.m_revision) {
        return;
    }
    m_configuration = newest;
    log_event(log_level::info, "configuration.adopted",
              {{"revision", std::to_string(newest.m_revision)},
               {"routes", std::to_string(newest.m_routes.size())}});
    apply_accounts();
    apply_groups();
    const auto forwarded = m_forwarded;
    for (const auto& [number, caller] : forwarded) {
        caller.m_on_revision(newest.m_revision);
    }
}

void gateway::apply_accounts() {
    m_quotas.adopt_accounts(m_configuration.m_accounts, m_ports.m_clock.m_now());
    std::optional<int> most;
    if (!m_configuration.m_accounts.empty()) {
        for (const auto& [name, service] : m_configuration.m_services) {
            const int homes = max_account_homes(service.m_max_connections);
            most = most ? std::min(*most, homes) : homes;
        }
        most = most.value_or(1);
    }
    m_fleet_coordinator.set_max_account_homes(most);
}

void gateway::on_account_homes(const std::optional<account_home_set>& stored, std::uint64_t era) {
    m_quotas.on_set(stored, era, m_ports.m_clock.m_now());
    m_account_homes_changed = !m_configuration.m_accounts.empty();
}

void gateway::apply_groups() {
    bool added = false;
    for (const auto& [name, service] : m_configuration.m_services) {
        auto& group = m_groups[name];
        if (!group) {
            group = std::make_unique<group_service>(options_for(name), m_ports.m_clock, m_ports.m_connect,
                                                    m_lease, m_metrics);
            const bool settled = m_registry_known && m_ports.m_clock.m_now() >= m_registry_complete_at;
            group->adopt_upstreams(m_upstreams, settled);
            added = true;
        } else {
            group->set_options(options_for(name));
        }
    }
    if (added) {
        m_fleet_coordinator.apply_records();
    }
}

void gateway::adopt_registry(const upstream_registry& registered, steady_time known_until) {
    if (!m_registry_known) {
        // The store may have been unavailable until now.
        on_registry_regained();
    }
    m_reported_upstreams = registered;
    m_registry_known = true;
    // News on a connection that has lost its path comes late. The last heartbeat reached the store.
    m_reports_known_until = std::min(known_until, m_fleet_coordinator.last_heartbeat_at());
    apply_registry();
}

void gateway::on_registry_regained() {
    m_registry_complete_at = m_ports.m_clock.m_now() + reregistration_time;
}

/// An upstream that drains ends; only a new start serves again. A registration that says otherwise is
/// from an older copy of the store.
upstream_entry gateway::with_known_departure(const upstream_entry& reported) const {
    const auto is_same_start = [&](const upstream_entry& known) {
        return known.m_id == reported.m_id && known.m_started_at_ms == reported.m_started_at_ms;
    };
    upstream_entry entry = reported;
    const auto known = m_upstreams.find(reported.m_id);
    entry.m_leaving =
        reported.m_leaving ||
        (known != m_upstreams.end() && is_same_start(known->second) && known->second.m_leaving) ||
        std::any_of(m_left_upstreams.begin(), m_left_upstreams.end(), is_same_start);
    std::optional<drain_report> before;
    if (known != m_upstreams.end() && is_same_start(known->second)) {
        before = drain_report{.m_is_leaving = known->second.m_leaving,
                              .m_earliest = known->second.m_leaving_since};
    }
    entry.m_leaving_since = next_report(before, entry.m_leaving, m_reports_known_until).m_earliest;
    return entry;
}

void gateway::apply_registry() {
    const bool is_registry_complete = m_ports.m_clock.m_now() >= m_registry_complete_at;
    m_registry_apply_pending = !is_registry_complete;
    for (auto each = m_upstreams.begin(); each != m_upstreams.end();) {
        const bool absent = !m_reported_upstreams.contains(each->first);
        if (absent && is_registry_complete && each->second.m_leaving) {
            m_left_upstreams.push_back(each->second);
        }
        each = absent && is_registry_complete ? m_upstreams.erase(each) : std::next(each);
    }
    while (m_left_upstreams.size() > max_left_upstreams) {
        m_left_upstreams.pop_front();
    }
    for (const auto& [id, entry] : m_reported_upstreams) {
        m_upstreams[id] = with_known_departure(entry);
    }
    for (const auto& [name, group] : m_groups) {
        // The number of slots decides which instances hold connections. Recomputing the holders
        // costs one hash per instance, so it is done only when the slots change.
        if (max_slots_of(name) != group->options().m_limits.m_slots) {
            group->set_options(options_for(name));
        }
        group->adopt_upstreams(m_upstreams, is_registry_complete);
    }
}

session_context gateway::make_session_host() {
    // Of the session's last operation: a session serves one at a time.
    const auto taken_at = std::make_shared<steady_time>();
    return {.m_find_route = [this](const std::string& database) -> const database_route* {
                const auto found = m_configuration.m_routes.find(database);
                return found == m_configuration.m_routes.end() ? nullptr : &found->second;
            },
            .m_find_group = [this](const group_name& name) -> group_service* {
                const auto found = m_groups.find(name);
                return found == m_groups.end() ? nullptr : found->second.get();
            },
            .m_revision = [this] { return m_configuration.m_revision; },
            .m_idle_transaction_timeout = [this] { return m_configuration.m_idle_transaction_timeout; },
            .m_shared_statement_name =
                [this](const std::string& shape, bool writes) {
                    if (m_prepared_names.size() >= max_prepared_names) {
                        m_prepared_names.clear();
                    }
                    // The number only rises, so that a forgotten name is never given to another
                    // statement shape.
                    auto& name = m_prepared_names[{shape, writes}];
                    if (name.empty()) {
                        name = "a" + std::to_string(m_next_number++);
                    }
                    return name;
                },
            .m_take_quota =
                [this, taken_at](const std::string& account) {
                    *taken_at = m_ports.m_clock.m_now();
                    return m_quotas.take(account, *taken_at);
                },
            .m_return_quota =
                [this, taken_at](const std::string& account) {
                    m_quotas.give_back(account, *taken_at, m_ports.m_clock.m_now());
                },
            .m_clock = &m_ports.m_clock,
            .m_metrics = &m_metrics};
}

void gateway::when_sessions_can_open(std::function<void()> work) {
    m_deferred_callers.push_back(
        {.m_deadline = m_ports.m_clock.m_now() + session_open_timeout, .m_work = std::move(work)});
}

void gateway::admit_deferred_callers() {
    const steady_time now = m_ports.m_clock.m_now();
    std::vector<deferred_caller> deferred = std::exchange(m_deferred_callers, {});
    for (deferred_caller& each : deferred) {
        if (can_open_sessions() || m_fleet_coordinator.has_poll_failed() || now >= each.m_deadline ||
            !accepts_sessions()) {
            each.m_work();
        } else {
            m_deferred_callers.push_back(std::move(each));
        }
    }
}

bool gateway::accepts_sessions() const {
    // After m_on_left was called, nothing answers the callers that would still have to wait.
    return !m_leaving_since ||
           (m_on_left && m_ports.m_clock.m_now() < *m_leaving_since + balancer_removal_time);
}

std::optional<std::string> gateway::find_account(const std::string& database,
                                                 const std::string& key) const {
    const auto route = m_configuration.m_routes.find(database);
    const bool is_public = route != m_configuration.m_routes.end() && route->second.m_is_public;
    if (is_public || m_configuration.m_accounts.empty()) {
        return std::string{};
    }
    const auto found = m_configuration.m_account_keys.find(key);
    return found == m_configuration.m_account_keys.end() ? std::nullopt : std::optional(found->second);
}

std::optional<milliseconds> gateway::statement_timeout(const std::string& database) const {
    const auto route = m_configuration.m_routes.find(database);
    return route == m_configuration.m_routes.end() ? std::nullopt
                                                   : std::optional(route->second.m_class.m_deadline);
}

statement_permit gateway::check_statement(const std::string& database, const std::string& key,
                                          const std::string& account) {
    const auto found = find_account(database, key);
    if (!found) {
        m_metrics.count("statements_unauthenticated");
        return statement_permit::unauthenticated;
    }
    if (*found != account) {
        return statement_permit::account_changed;
    }
    if (!account.empty() && !m_fleet_coordinator.proof().holds(m_ports.m_clock.m_now())) {
        m_metrics.count("statements_unconfirmed");
        return statement_permit::unconfirmed;
    }
    return statement_permit::granted;
}

bool gateway::can_forward_to(const std::string& name) const {
    const auto address = m_fleet_coordinator.forwarding_address(name);
    const auto backoff =
        address ? m_forwarding_backoff_until.find(*address) : m_forwarding_backoff_until.end();
    return address && name != m_options.m_name &&
           (backoff == m_forwarding_backoff_until.end() || m_ports.m_clock.m_now() >= backoff->second);
}

std::vector<holder_candidate> gateway::better_placed(const group_service& group,
                                                     const std::string& account) const {
    const std::vector<account_home> spenders = m_quotas.spenders(account, m_ports.m_clock.m_now());
    std::vector<holder_candidate> others;
    if (spenders.empty()) {
        if (!group.options().m_has_connections) {
            others = m_fleet_coordinator.holders(group.options().m_name, group.options().m_limits);
        }
    } else {
        const bool single = m_quotas.has_single_home(account);
        for (const account_home& each : spenders) {
            if (each.m_name == m_options.m_name) {
                // A home serves its own sessions; an alternate those that no home can be found for.
                if (!single || others.empty()) {
                    return {};
                }
                break;
            }
            if (can_forward_to(each.m_name) && m_fleet_coordinator.takes_sessions(each.m_name)) {
                others.push_back({.m_name = each.m_name, .m_data_centre = each.m_data_centre});
            }
        }
        if (single && others.size() > 1) {
            others.resize(1);
        }
        return others;
    }
    std::erase_if(others, [&](const holder_candidate& each) {
        return !can_forward_to(each.m_name) ||
               (!m_configuration.m_accounts.empty() && !m_fleet_coordinator.takes_sessions(each.m_name));
    });
    return others;
}

std::optional<endpoint> gateway::forwarding_target(const std::string& database,
                                                   const std::string& account) {
    const auto route = m_configuration.m_routes.find(database);
    const auto group =
        route == m_configuration.m_routes.end() ? m_groups.end() : m_groups.find(route->second.m_group);
    if (group == m_groups.end()) {
        return std::nullopt;
    }
    const std::vector<holder_candidate> others = better_placed(*group->second, account);
    if (others.empty()) {
        return std::nullopt;
    }
    m_metrics.count("sessions_handed_on");
    // The homes of an account are chosen by its quota, not by their paths.
    const holder_candidate& holder =
        account.empty() ? holder_by_path(others, paths_to_holders(route->second), m_next_number++)
                        : holder_for_session(others, m_options.m_data_centre, m_next_number++);
    const auto target = m_fleet_coordinator.forwarding_address(holder.m_name);
    if (m_options.m_remote_byte_price > 0 && target) {
        m_forwarding_data_centres[*target] = holder.m_data_centre;
        if (holder.m_data_centre != m_options.m_data_centre) {
            m_metrics.count("sessions_left");
        }
    }
    return target;
}

/// Returns what holder_by_path() needs for sessions of `route`. At price 0 it needs no paths.
holder_paths gateway::paths_to_holders(const database_route& route) const {
    holder_paths paths{.m_here = m_options.m_data_centre, .m_byte_price = m_options.m_remote_byte_price};
    const auto group = m_groups.find(route.m_group);
    if (m_options.m_remote_byte_price <= 0 || group == m_groups.end()) {
        return paths;
    }
    const upstream_id& primary = group->second->record().m_primary;
    for (const auto& [id, entry] : m_upstreams) {
        // Only the primary serves strongly consistent statements.
        const bool may_serve = route.m_consistency != consistency::strong || id == primary;
        if (entry.m_group == route.m_group && may_serve && !entry.m_leaving) {
            paths.m_upstreams.push_back(entry.m_data_centre);
        }
    }
    const steady_time now = m_ports.m_clock.m_now();
    for (const auto& [where, times] : m_connect_times) {
        if (const auto measured = times.at(now)) {
            paths.m_times[where] = *measured;
        }
    }
    return paths;
}

void gateway::on_forwarding_connected(const endpoint& target, microseconds elapsed) {
    const auto where = m_forwarding_data_centres.find(target);
    if (where != m_forwarding_data_centres.end()) {
        m_connect_times[where->second].record(elapsed, m_ports.m_clock.m_now());
    }
}

void gateway::on_forwarding_failed(const endpoint& target) {
    m_forwarding_backoff_until[target] = m_ports.m_clock.m_now() + forwarding_backoff;
    log_event(log_level::info, "relay.failed", {{"instance", to_string(target)}});
}

std::uint64_t gateway::add_forwarded(forwarded_caller caller) {
    if (m_leaving_since) {
        caller.m_leave();
    }
    const std::uint64_t number = m_next_number++;
    m_forwarded.emplace(number, std::move(caller));
    return number;
}

result<std::shared_ptr<caller_session>> gateway::open_session(const std::string& database,
                                                              caller_session::outputs out,
                                                              const std::string& account) {
    if (!can_open_sessions()) {
        return fail(result_code::upstream_unavailable, "not configured yet");
    }
    if (!m_configuration.m_routes.contains(database)) {
        return fail(result_code::unknown_group, "no such database");
    }
    const bool needs_account =
        !m_configuration.m_accounts.empty() && !m_configuration.m_routes.at(database).m_is_public;
    if (needs_account && !m_configuration.m_accounts.contains(account)) {
        return fail(result_code::account_unconfirmed, "the account is not known here");
    }
    if (!accepts_sessions()) {
        return fail(result_code::instance_leaving, "leaving");
    }
    if (m_sessions.size() >= m_options.m_max_sessions) {
        return fail(result_code::too_many_callers, "too many callers");
    }
    const std::uint64_t number = m_next_number++;
    auto session = std::make_shared<caller_session>(
        number, database, needs_account ? account : std::string{}, make_session_host(), std::move(out));
    if (m_leaving_since) {
        session->drain_after_next_operation();
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
    apply_members();
    m_fleet_coordinator.tick();
    if (m_groups_told_coordinator != m_fleet_coordinator.is_active()) {
        m_groups_told_coordinator = m_fleet_coordinator.is_active();
        apply_groups();
    }
    m_relay.tick();
    if (!m_deferred_callers.empty()) {
        admit_deferred_callers();
    }
    const steady_time now = m_ports.m_clock.m_now();
    if (m_leaving_since) {
        tick_leaving();
    }
    if (now < m_next_slow_tick) {
        return;
    }
    m_next_slow_tick = now + slow_tick_interval;
    if (m_registry_apply_pending && now >= m_registry_complete_at) {
        apply_registry();
    }
    for (const auto& [number, session] : m_sessions) {
        session->tick();
    }
    m_quotas.tick(now);
    check_forwarding_paths();
}

void gateway::check_forwarding_paths() const {
    const steady_time now = m_ports.m_clock.m_now();
    for (const auto& [number, caller] : m_forwarded) {
        const auto since = caller.m_unanswered_since();
        if (since && now >= *since + path_check_delay) {
            caller.m_check_path();
        }
    }
}

bool gateway::is_ready() const {
    if (m_leaving_since || m_configuration.m_revision == 0 || !m_registry_known ||
        !m_fleet_coordinator.has_records() || !m_lease.is_valid(m_ports.m_clock.m_now())) {
        return false;
    }
    // A group whose connections other instances hold is served by forwarding its sessions.
    return std::any_of(m_groups.begin(), m_groups.end(), [](const auto& group) {
        const auto& pools = group.second->pools();
        return !group.second->options().m_has_connections ||
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
    m_fleet_coordinator.resign();
    m_relay.leave();
    const auto sessions = m_sessions;
    for (const auto& [number, session] : sessions) {
        session->drain(session_end::instance_leaving);
    }
    const auto forwarded = m_forwarded;
    for (const auto& [number, caller] : forwarded) {
        caller.m_leave();
    }
}

void gateway::tick_leaving() {
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(m_ports.m_clock.m_now() - *m_leaving_since);
    const auto sessions = m_sessions;
    const bool statement_grace_over =
        elapsed >= std::chrono::duration_cast<milliseconds>(m_grace * statement_grace_share);
    const bool transaction_grace_over =
        elapsed >= std::chrono::duration_cast<milliseconds>(m_grace * transaction_grace_share);
    const auto is_inactive = [now = m_ports.m_clock.m_now()](const std::optional<steady_time>& since) {
        return since && now >= *since + min_inactive_time;
    };
    if (statement_grace_over && m_on_left) {
        for (const auto& [name, group] : m_groups) {
            group->stop(result_code::instance_leaving);
        }
    }
    for (const auto& [number, session] : sessions) {
        if (statement_grace_over || (transaction_grace_over && is_inactive(session->inactive_since()))) {
            session->close(session_end::grace_period_over);
        }
    }
    const auto forwarded = m_forwarded;
    for (const auto& [number, caller] : forwarded) {
        if (statement_grace_over || (transaction_grace_over && is_inactive(caller.m_inactive_since()))) {
            caller.m_abandon();
        }
    }
    const bool done = m_sessions.empty() && m_forwarded.empty() && elapsed >= balancer_removal_time;
    if ((done || statement_grace_over) && m_on_left) {
        m_fleet_coordinator.deregister();
        const auto on_left = std::exchange(m_on_left, nullptr);
        admit_deferred_callers();
        on_left();
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
                                {"answer_time_us", pool->answer_time().count()},
                                {"standing", name_of(group->standing_of(id))}};
        }
        groups[name.m_text] = {{"epoch", group->record().m_epoch},
                               {"switching", group->record().m_stage == group_stage::switching},
                               {"primary", group->record().m_primary.m_text},
                               {"term", group->record().m_term},
                               {"pools", pools}};
        if (auto shares = group->spill_state(); !shares.empty()) {
            groups[name.m_text]["leaving_reads"] = std::move(shares);
        }
    }
    nlohmann::json homes = nlohmann::json::object();
    if (const auto& set = m_quotas.rights().known()) {
        nlohmann::json names = nlohmann::json::array();
        for (const account_home& each : set->m_homes) {
            names.push_back(each.m_name);
        }
        homes = {{"generation", set->m_generation},
                 {"homes", names},
                 {"spends", m_quotas.rights().is_confirmed(now) && !m_quotas.rights().bounds(now).empty()}};
    }
    return {{"instance", m_options.m_name},
            {"ready", is_ready()},
            {"steward", m_fleet_coordinator.is_active()},
            {"lease_holds", m_lease.is_valid(now)},
            {"lease_provisional", m_lease.is_provisional()},
            {"instances", m_fleet_coordinator.live_instances()},
            {"store_era", m_era.current()},
            {"sessions", m_sessions.size()},
            {"revision", m_configuration.m_revision},
            {"groups", groups},
            {"account_homes", homes},
            {"metrics", m_metrics.to_json()}};
}

}
