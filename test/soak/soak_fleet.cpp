/// \file soak_fleet.cpp
/// Starts and restarts the gateway processes, publishes configuration and registrations,
/// and decides which late commits the faults explain.
#include "soak/soak_fleet.hpp"

#include "http_channel.hpp"
#include "soak/open_ports.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace test {
namespace {

using namespace anvilmount;
using nlohmann::json;

constexpr int members_per_group = 3;
constexpr int slots = 3;
constexpr int max_connections = 21;

/// Port offsets from soak_options::m_first_port.
constexpr int upstream_ports = 10;
constexpr int upstream_path_ports = 40;
constexpr int store_path_ports = 70;
constexpr int gateway_ports = 120;
constexpr int ports_per_gateway = 5;

/// Gateways reach each other at this address, where relays listen in place of the gateways.
constexpr const char* advertised_host = "127.0.0.2";

enum gateway_port { callers, readiness, peers, store_relay, metrics };

constexpr milliseconds process_poll_interval{50};
constexpr milliseconds restart_delay{300};
constexpr milliseconds readiness_timeout{1000};
constexpr milliseconds registration_expiry{3600};

/// After the store came back from an older copy, operators and upstreams write again within this time.
constexpr milliseconds rewrite_time{400};

/// Requests sent before a pause or a path delay may still arrive for this long after it ends.
constexpr milliseconds in_flight_time{1000};

/// Callers are brought to a gateway that was told to stop for this long.
constexpr milliseconds balancer_notice_time{1000};

/// From the closing of a connection until it is judged. A process whose end closes the connection has been
/// seen to end by then; one that closes it before its end still runs.
constexpr milliseconds judgement_delay{80};

/// Connection limits and quotas of change_placement(): two, three or six holders of a group, and one or
/// more homes of the account.
constexpr std::array connection_limits{6, 9, max_connections};
constexpr std::array account_rates{30, 600, 6000};

constexpr int half_close_percent = 6;

/// Callers that open a session while a gateway is told to stop, and the time over which they do, half of it
/// before the signal.
constexpr int moves_per_stop = 6;
constexpr milliseconds moving_time{12};

constexpr int grace_s = 6;

constexpr const char* caller_account = "soak";

/// Added to the number of a signal in the exit code of a process that it ended.
constexpr int ended_by_signal = 128;

const std::string gateway_prefix = "gateway-";
const std::string coordinator_key = "steward";

}

soak_fleet::soak_fleet(reactor& loop, const soak_options& options)
    : m_loop(loop), m_options(options), m_random(options.m_seed),
      m_ledger([this](const std::string& group) { return m_upstreams.newest_primary(group); },
               [this](const std::string& upstream) -> const standin::line_log& {
                   return m_upstreams.log(upstream);
               }),
      m_upstreams(
          loop, options.m_seed,
          {.m_on_execution =
               [this](const standin::line_execution& what) { m_ledger.on_statement_run(what); },
           .m_on_commit = [this](const std::string& upstream,
                                 const auto& what) { on_commit(upstream, *what); },
           .m_on_role_change = [this](const std::string& upstream) { publish_registration(upstream); }}),
      m_store(loop, options.m_seed,
              [this](const standin::promotion_request& order) {
                  m_ledger.on_promotion_ordered(order.m_holder, order.m_token);
                  return m_upstreams.promote(order.m_group, order.m_candidate);
              }),
      m_environment{.m_loop = loop, .m_ledger = m_ledger, .m_random = m_random},
      m_connection_limit(max_connections) {
    m_environment.m_pick_instance = [this]() -> std::optional<soak_environment::instance> {
        const auto below = [this](int limit) {
            return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
        };
        std::vector<int> leaving;
        for (int number = 0; number < m_options.m_gateways; ++number) {
            const gateway_process& each = m_gateways[static_cast<std::size_t>(number)];
            if (each.m_process && each.m_leaving_since) {
                leaving.push_back(number);
            }
        }
        // With most gateways out of rotation, all get connections: some come as a gateway stops listening.
        if (!leaving.empty() && below(2) == 0) {
            return instance(leaving[static_cast<std::size_t>(below(static_cast<int>(leaving.size())))]);
        }
        const int picked = below(m_options.m_gateways);
        const gateway_process& target = m_gateways[static_cast<std::size_t>(picked)];
        if (!target.m_process ||
            (target.m_leaving_since && reactor::now() > *target.m_leaving_since + balancer_notice_time)) {
            return std::nullopt;
        }
        return instance(picked);
    };
    m_store.set_write_observer([this](const std::string&, const std::string& key,
                                      const std::string& value) { on_store_write(key, value); });
    m_environment.m_half_close_percent = half_close_percent;
    m_environment.m_on_start_ended = [this](const auto& life, const ended_start& what) {
        judge_later(life,
                    [this, what](const gateway_life& judged) { m_ledger.on_start_ended(what, judged); });
    };
    m_environment.m_on_closed_unanswered = [this](const auto& life, const std::string& id) {
        judge_later(life,
                    [this, id](const gateway_life& judged) { m_ledger.on_closed_unanswered(id, judged); });
    };
    m_environment.m_may_be_delayed = [this](steady_time since) {
        return m_instances_silent_until >= since ||
               std::any_of(m_gateways.begin(), m_gateways.end(), [&](const gateway_process& each) {
                   return each.m_life->m_suspended_until && *each.m_life->m_suspended_until >= since;
               });
    };
}

endpoint soak_fleet::loopback_endpoint(int offset) const {
    return {.m_address = "127.0.0.1",
            .m_port = static_cast<std::uint16_t>(m_options.m_first_port + offset)};
}

endpoint soak_fleet::gateway_address(int number, int offset) const {
    return loopback_endpoint(gateway_ports + number * ports_per_gateway + offset);
}

result<void> soak_fleet::start() {
    for (int group = 0; group < m_options.m_groups; ++group) {
        for (int member = 0; member < members_per_group; ++member) {
            const int number = group * members_per_group + member;
            const std::string id = "up-" + std::to_string(group) + "-" + std::to_string(member);
            m_upstream_ids.push_back(id);
            BOOST_LEAF_CHECK(m_upstreams.add({.m_id = id,
                                              .m_group = group_name(group),
                                              .m_listen = loopback_endpoint(upstream_ports + number),
                                              .m_slots = slots,
                                              .m_max_connections = max_connections,
                                              .m_is_primary = member == 0}));
            m_upstream_paths.push_back(std::make_unique<standin::fault_relay>(
                m_loop, standin::relay_options{.m_listen = loopback_endpoint(upstream_path_ports + number),
                                               .m_target = loopback_endpoint(upstream_ports + number)}));
            BOOST_LEAF_CHECK(m_upstream_paths.back()->start());
        }
        const std::string name = std::to_string(group);
        m_routes.push_back({.m_database = "pay" + name, .m_group = group_name(group)});
        m_routes.push_back({.m_database = "scan" + name,
                            .m_group = group_name(group),
                            .m_freshness = freshness::own_commits,
                            .m_max_staleness = milliseconds{2500}});
        m_routes.push_back({.m_database = "look" + name,
                            .m_group = group_name(group),
                            .m_freshness = freshness::bounded_age,
                            .m_max_staleness = milliseconds{1500}});
    }
    BOOST_LEAF_CHECK(m_store.listen(loopback_endpoint(0)));
    write_configuration();
    for (const std::string& each : m_upstream_ids) {
        publish_registration(each);
    }
    for (int number = 0; number < m_options.m_gateways; ++number) {
        gateway_process& added = m_gateways.emplace_back();
        added.m_store_path = std::make_unique<standin::fault_relay>(
            m_loop, standin::relay_options{.m_listen = loopback_endpoint(store_path_ports + number),
                                           .m_target = loopback_endpoint(0)});
        BOOST_LEAF_CHECK(added.m_store_path->start());
        for (const int offset : {readiness, peers, store_relay}) {
            const endpoint local = gateway_address(number, offset);
            added.m_peer_paths.push_back(std::make_unique<standin::fault_relay>(
                m_loop,
                standin::relay_options{.m_listen = {.m_address = advertised_host, .m_port = local.m_port},
                                       .m_target = local}));
            BOOST_LEAF_CHECK(added.m_peer_paths.back()->start());
        }
        write_settings(number);
        spawn(number);
    }
    poll_processes();
    return {};
}

void soak_fleet::write_settings(int number) const {
    std::ofstream file(m_options.m_directory + "/gateway-" + std::to_string(number) + ".flags");
    const auto line = [&](const std::string& name, const std::string& value) {
        file << "--" << name << "=" << value << "\n";
    };
    line("name", gateway_prefix + std::to_string(number));
    line("data_centre", "dc" + std::to_string(number % 2));
    line("callers", to_string(gateway_address(number, callers)));
    line("readiness", to_string(gateway_address(number, readiness)));
    line("peers", to_string(gateway_address(number, peers)));
    line("store_relay", to_string(gateway_address(number, store_relay)));
    line("advertised_host", advertised_host);
    line("seeds",
         std::string{advertised_host} + ":" + std::to_string(gateway_address(0, store_relay).m_port));
    line("metrics", to_string(gateway_address(number, metrics)));
    line("store", to_string(loopback_endpoint(store_path_ports + number)));
    line("promotion", to_string(loopback_endpoint(store_path_ports + number)));
    line("grace_s", std::to_string(grace_s));
    line("log_level", m_reloads % 2 == 0 ? "info" : "debug");
}

void soak_fleet::spawn(int number) {
    const std::string base = m_options.m_directory + "/gateway-" + std::to_string(number);
    // The child process inherits the environment of this moment.
    setenv("ANVILMOUNT_BOOT", (base + ".flags").c_str(), 1);
    gateway_process& target = m_gateways[static_cast<std::size_t>(number)];
    target.m_log_size_at_start = log_size(number);
    target.m_process = std::make_unique<child_process>(m_options.m_gateway_program,
                                                       std::vector<std::string>{}, base + ".log");
    target.m_life = std::make_shared<gateway_life>(gateway_life{.m_last_seen = reactor::now()});
    target.m_paused = false;
    target.m_leaving_since.reset();
}

std::uintmax_t soak_fleet::log_size(int number) const {
    std::error_code missing;
    const std::uintmax_t size = std::filesystem::file_size(
        m_options.m_directory + "/" + gateway_prefix + std::to_string(number) + ".log", missing);
    return missing ? 0 : size;
}

void soak_fleet::poll_processes() {
    for (int number = 0; number < m_options.m_gateways; ++number) {
        poll_process(number);
    }
    m_loop.after(process_poll_interval, [this] { poll_processes(); });
}

/// Reports a gateway that ended unexpectedly, kills one that exceeds its grace period by a second, and
/// restarts one that ended.
void soak_fleet::poll_process(int number) {
    gateway_process& each = m_gateways[static_cast<std::size_t>(number)];
    if (!each.m_process) {
        return;
    }
    const steady_time now = reactor::now();
    const std::optional<int> ended = each.m_process->try_wait();
    const bool overdue = !ended && each.m_leaving_since && !each.m_paused &&
                         now > *each.m_leaving_since + std::chrono::seconds{grace_s + 1};
    each.m_life->m_ended = ended.has_value();
    if (!ended) {
        each.m_life->m_last_seen = now;
    }
    if (overdue) {
        std::printf("        gateway %d exceeds its grace period and is killed\n", number);
        each.m_process->kill_now();
    }
    if (!ended && !overdue) {
        return;
    }
    // SIGTERM ends a process that has not come as far as handling it, nor accepted anything.
    const bool ended_in_start = ended && each.m_leaving_since && *ended == ended_by_signal + SIGTERM &&
                                log_size(number) == each.m_log_size_at_start;
    if (ended && !ended_in_start && (*ended != 0 || !each.m_leaving_since)) {
        m_ledger.report("gateway " + std::to_string(number) + " ended unexpectedly with exit code " +
                        std::to_string(*ended));
    }
    each.m_process.reset();
    if (!m_ending) {
        m_loop.after(restart_delay, [this, number] { restart_gateway(number); });
    }
}

void soak_fleet::count_ready(std::function<void(int)> done) {
    const auto count = std::make_shared<int>(0);
    const auto pending = std::make_shared<int>(m_options.m_gateways);
    for (int number = 0; number < m_options.m_gateways; ++number) {
        const auto client = std::make_shared<http::client>(m_loop, gateway_address(number, readiness));
        client->send({.m_target = "/anvilmount/ready"}, readiness_timeout,
                     [client, count, pending, done](const std::optional<http::response>& received) {
                         *count += received && received->m_status == 200 ? 1 : 0;
                         if (--*pending == 0) {
                             done(*count);
                         }
                     });
    }
}

void soak_fleet::start_callers() {
    for (int number = 0; number < m_options.m_callers; ++number) {
        m_callers.push_back(std::make_unique<soak_caller>(
            m_environment, m_routes[static_cast<std::size_t>(number) % m_routes.size()]));
        m_callers.back()->start();
    }
}

void soak_fleet::stop_callers() {
    for (const auto& each : m_callers) {
        each->stop();
    }
}

void soak_fleet::kill_gateway(int number) {
    gateway_process& target = m_gateways[static_cast<std::size_t>(number)];
    if (target.m_process) {
        target.m_life->m_killed = true;
        target.m_process.reset();
    }
}

void soak_fleet::restart_gateway(int number) {
    if (!m_gateways[static_cast<std::size_t>(number)].m_process && !m_ending) {
        spawn(number);
    }
}

void soak_fleet::pause_gateway(int number) {
    gateway_process& target = m_gateways[static_cast<std::size_t>(number)];
    if (target.m_process) {
        target.m_process->signal(SIGSTOP);
        target.m_paused = true;
        target.m_life->m_suspended_until = steady_time::max();
    }
}

void soak_fleet::resume_gateway(int number) {
    gateway_process& target = m_gateways[static_cast<std::size_t>(number)];
    if (target.m_process && target.m_paused) {
        target.m_process->signal(SIGCONT);
        target.m_paused = false;
        target.m_life->m_suspended_until = reactor::now();
        m_path_delayed_until = std::max(m_path_delayed_until, reactor::now() + in_flight_time);
        if (target.m_leaving_since) {
            target.m_leaving_since = reactor::now();
        }
    }
}

void soak_fleet::on_store_write(const std::string& key, const std::string& value) {
    if (!m_pauses_confirmed || key != coordinator_key) {
        return;
    }
    const json record = json::parse(value, nullptr, false);
    const std::string holder = record.value("holder", std::string{});
    if (record.value("pending", json::array()).empty() || !holder.starts_with(gateway_prefix)) {
        return;
    }
    m_pauses_confirmed = false;
    m_paused_coordinator = std::stoi(holder.substr(gateway_prefix.size()));
    std::printf("        confirmed_pause stops %s\n", holder.c_str());
    pause_gateway(*m_paused_coordinator);
}

void soak_fleet::resume_confirmed() {
    m_pauses_confirmed = false;
    if (const auto paused = std::exchange(m_paused_coordinator, std::nullopt)) {
        resume_gateway(*paused);
    }
}

soak_environment::instance soak_fleet::instance(int number) const {
    return {.m_callers = gateway_address(number, callers),
            .m_life = m_gateways[static_cast<std::size_t>(number)].m_life};
}

void soak_fleet::stop_gateway(int number) {
    const auto below = [this](int limit) {
        return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
    };
    const int moves = std::min(moves_per_stop, m_options.m_callers / m_options.m_gateways);
    for (int count = 0; count < moves; ++count) {
        const auto moved = static_cast<std::size_t>(below(m_options.m_callers));
        m_loop.after(milliseconds{below(static_cast<int>(moving_time.count()))}, [this, moved, number] {
            if (m_gateways[static_cast<std::size_t>(number)].m_process) {
                m_callers[moved]->move_to(instance(number));
            }
        });
    }
    m_loop.after(moving_time / 2, [this, number] { tell_to_stop(number); });
}

void soak_fleet::tell_to_stop(int number) {
    gateway_process& target = m_gateways[static_cast<std::size_t>(number)];
    if (target.m_process && !target.m_leaving_since) {
        target.m_process->signal(SIGTERM);
        target.m_leaving_since = reactor::now();
        target.m_life->m_told_to_stop = target.m_leaving_since;
    }
}

void soak_fleet::reload_gateway(int number) {
    const gateway_process& target = m_gateways[static_cast<std::size_t>(number)];
    if (target.m_process) {
        ++m_reloads;
        write_settings(number);
        target.m_process->signal(SIGHUP);
    }
}

void soak_fleet::set_store_path_faults(int gateway, const standin::relay_faults& faults) {
    m_gateways[static_cast<std::size_t>(gateway)].m_store_path->set_faults(faults);
}

void soak_fleet::set_isolation_faults(int gateway, const standin::relay_faults& faults) {
    set_store_path_faults(gateway, faults);
    if (faults.m_stall) {
        m_instances_silent_until = steady_time::max();
    } else if (m_instances_silent_until == steady_time::max()) {
        m_instances_silent_until = reactor::now();
    }
    for (const gateway_process& each : m_gateways) {
        for (const auto& path : each.m_peer_paths) {
            path->set_faults(faults);
        }
    }
}

std::string soak_fleet::primary_of(int gateway) const {
    return m_upstreams.newest_primary(group_name(gateway % m_options.m_groups));
}

void soak_fleet::drain_primary(int gateway) {
    if (const std::string primary = primary_of(gateway); !primary.empty()) {
        m_draining.insert(primary);
        publish_registration(primary);
    }
}

void soak_fleet::end_drains() {
    for (const std::string& each : std::exchange(m_draining, {})) {
        publish_registration(each);
    }
}

void soak_fleet::refuse_primary(int gateway) {
    const std::string primary = primary_of(gateway);
    const gateway_process& spared = m_gateways[static_cast<std::size_t>(gateway)];
    if (primary.empty() || !spared.m_process) {
        return;
    }
    m_refusing_upstreams.insert(primary);
    m_upstream_paths[static_cast<std::size_t>(upstream_number(primary))]->set_faults(
        {.m_refuse = true, .m_spared_client_ports = open_ports(spared.m_process->id())});
}

void soak_fleet::end_refusals() {
    for (const std::string& each : std::exchange(m_refusing_upstreams, {})) {
        m_upstream_paths[static_cast<std::size_t>(upstream_number(each))]->set_faults({});
    }
}

void soak_fleet::set_upstream_path_faults(int upstream, const standin::relay_faults& faults) {
    m_upstream_paths[static_cast<std::size_t>(upstream)]->set_faults(faults);
    m_path_delayed_until = std::max(m_path_delayed_until, reactor::now() + in_flight_time);
}

void soak_fleet::set_upstream_faults(int upstream, const standin::line_upstream_faults& faults) {
    const std::string& id = m_upstream_ids[static_cast<std::size_t>(upstream)];
    const bool down_changes = faults.m_down != m_upstreams.is_down(id);
    m_upstreams.set_faults(id, faults);
    if (down_changes && faults.m_down) {
        m_loop.after(registration_expiry, [this, id] { publish_registration(id); });
    } else if (down_changes) {
        publish_registration(id);
    }
}

/// Writes the registration of an upstream to the store, or removes it if the upstream is down.
void soak_fleet::publish_registration(const std::string& upstream) {
    if (m_upstreams.is_down(upstream)) {
        m_store.drop("servers", upstream);
    } else {
        m_store.put("servers", upstream, registration(upstream_number(upstream)));
    }
}

int soak_fleet::upstream_number(const std::string& upstream) const {
    const auto found = std::find(m_upstream_ids.begin(), m_upstream_ids.end(), upstream);
    return static_cast<int>(found - m_upstream_ids.begin());
}

std::string soak_fleet::registration(int upstream) const {
    const std::string& id = m_upstream_ids[static_cast<std::size_t>(upstream)];
    return json{{"service", group_name(upstream / members_per_group)},
                {"address", to_string(loopback_endpoint(upstream_path_ports + upstream))},
                {"zone", "dc" + std::to_string(upstream % 2)},
                {"version", "1"},
                {"capacity", slots},
                {"state", m_draining.contains(id) ? "draining" : "ready"},
                {"coldRemainingMs", 0},
                {"sequence", 1},
                {"born", 1},
                {"dbRole", m_upstreams.is_primary(id) ? "primary" : "replica"}}
        .dump();
}

void soak_fleet::write_configuration() {
    json routes = json::array();
    for (const soak_route& each : m_routes) {
        json route{{"host", each.m_database},
                   {"service", each.m_group},
                   {"type", each.m_freshness == freshness::every_commit  ? "primary"
                            : each.m_freshness == freshness::own_commits ? "read_your_writes"
                                                                         : "bounded_staleness"},
                   {"priority", each.m_freshness == freshness::bounded_age ? 2 : 0},
                   {"timeoutMs", 1500 + 100 * static_cast<int>(m_revision % 5)},
                   {"targetLatencyMs", 500}};
        if (each.m_freshness != freshness::every_commit) {
            route["maxStalenessMs"] = each.m_max_staleness.count();
        }
        routes.push_back(route);
    }
    json services = json::array();
    for (int group = 0; group < m_options.m_groups; ++group) {
        services.push_back({{"name", group_name(group)}, {"maxConnections", m_connection_limit}});
    }
    json all{{"version", m_revision},
             {"routes", routes},
             {"services", services},
             {"limits", {{"txIdleMs", 5000}}}};
    if (m_account_rate) {
        json keys = json::array();
        for (std::size_t number = 0; number < soak_caller::keys.size(); ++number) {
            if (m_revoked_key != number) {
                keys.push_back(soak_caller::keys.at(number));
            }
        }
        all["tenants"] = {{{"name", caller_account},
                           {"apiKeys", keys},
                           {"ratePerS", *m_account_rate},
                           {"burstSize", *m_account_rate}}};
    }
    m_store.put("op", "config", all.dump());
}

void soak_fleet::restore_store(milliseconds age) {
    m_store.restore(age);
    m_loop.after(rewrite_time, [this] {
        write_configuration();
        for (const std::string& upstream : m_upstream_ids) {
            publish_registration(upstream);
        }
    });
}

void soak_fleet::change_configuration() {
    m_revision += 1 + m_random() % 3;
    write_configuration();
}

void soak_fleet::change_placement() {
    const auto kind = m_random() % 3;
    if (kind == 0) {
        m_connection_limit = connection_limits[m_random() % connection_limits.size()];
    } else if (m_account_rate && kind == 1) {
        m_revoked_key = m_random() % soak_caller::keys.size();
    } else if (m_account_rate) {
        m_account_rate.reset();
        m_revoked_key.reset();
    } else {
        m_account_rate = account_rates[m_random() % account_rates.size()];
    }
    change_configuration();
}

void soak_fleet::restore_placement() {
    m_connection_limit = max_connections;
    m_account_rate.reset();
    m_revoked_key.reset();
    change_configuration();
}

void soak_fleet::on_commit(const std::string& upstream, const standin::line_commit& what) {
    const std::string leader =
        m_upstreams.newest_primary(group_name(upstream_number(upstream) / members_per_group));
    const bool paused =
        std::any_of(m_gateways.begin(), m_gateways.end(), [](const auto& each) { return each.m_paused; });
    m_ledger.on_committed(what, leader != upstream, paused || reactor::now() < m_path_delayed_until);
}

void soak_fleet::judge_later(const std::shared_ptr<const gateway_life>& life,
                             std::function<void(const gateway_life&)> judge) {
    m_loop.after(judgement_delay, [this, life, judge = std::move(judge)] {
        for (int number = 0; number < m_options.m_gateways; ++number) {
            if (m_gateways[static_cast<std::size_t>(number)].m_life == life) {
                poll_process(number);
            }
        }
        judge(*life);
    });
}

void soak_fleet::end_gateways() {
    m_ending = true;
    for (const gateway_process& each : m_gateways) {
        if (each.m_process) {
            each.m_process->signal(SIGTERM);
        }
    }
    for (int number = 0; number < m_options.m_gateways; ++number) {
        gateway_process& each = m_gateways[static_cast<std::size_t>(number)];
        if (!each.m_process) {
            continue;
        }
        const int code = each.m_process->wait();
        if (code != 0) {
            m_ledger.report("gateway " + std::to_string(number) + " ended after SIGTERM with exit code " +
                            std::to_string(code));
        }
    }
}

}
