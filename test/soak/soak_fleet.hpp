/// \file soak_fleet.hpp
/// The system under test of a soak: gateway processes, and stand-ins of the store and
/// of the databases in this process, connected through fault relays on loopback.
/// Provides a method to inject and to end each fault of the schedule.
#pragma once

#include "line_platform/line_upstreams.hpp"
#include "line_platform/row_store.hpp"
#include "relay/fault_relay.hpp"
#include "soak/soak_caller.hpp"
#include "support/fleet.hpp"

#include <memory>
#include <string>
#include <vector>

namespace test {

struct soak_options {
    std::uint32_t m_seed{1};
    int m_gateways{4};
    int m_groups{2};
    int m_callers{24};
    std::string m_gateway_program{}; ///< Path of the gateway program.
    std::string m_directory{};       ///< Receives the settings and logs of the gateways.
    int m_first_port{23000};
};

class soak_fleet {
public:
    soak_fleet(anvilmount::reactor& loop, const soak_options& options);

    /// Starts the stand-ins, the relays and the gateways. Errors: listen_failed (1603).
    [[nodiscard]] anvilmount::result<void> start();

    /// Asks every gateway whether it is ready and passes the number of ready ones to `done`.
    void count_ready(std::function<void(int)> done);

    void start_callers();
    void stop_callers();

    // Faults of gateways, numbered from 0.
    void kill_gateway(int number);
    void pause_gateway(int number);
    void resume_gateway(int number);
    /// Pauses the coordinator that next writes an order of promotion to the store, before it is answered.
    void pause_next_confirmed() { m_pauses_confirmed = true; }
    void resume_confirmed();
    /// Sends SIGTERM while some callers open sessions there; the gateway is restarted after it has ended.
    void stop_gateway(int number);
    void reload_gateway(int number);  ///< With a changed setting.
    void restart_gateway(int number); ///< Does nothing if the gateway is running.
    void set_store_path_faults(int gateway, const standin::relay_faults& faults);

    /// Sets the faults of the paths between a gateway and the store and of those among all gateways.
    void set_isolation_faults(int gateway, const standin::relay_faults& faults);

    /// Has the primary of the group numbered `gateway` modulo the groups replaced by plan.
    void drain_primary(int gateway);
    void end_drains();

    /// Has that primary reset and refuse the connections of all gateways but `gateway`.
    void refuse_primary(int gateway);
    void end_refusals();

    // Faults of upstreams, numbered from 0 across all groups.
    void set_upstream_path_faults(int upstream, const standin::relay_faults& faults);
    void set_upstream_faults(int upstream, const standin::line_upstream_faults& faults);

    [[nodiscard]] standin::row_store& store() { return m_store; }
    void change_configuration();

    /// Changes the routes, and the number of gateways that hold connections to a group, the quota of the
    /// callers' account or its keys, so that sessions are forwarded, moved and ended.
    void change_placement();
    /// Goes back to the first configuration but for its revision.
    void restore_placement();

    /// The store comes back from a copy of that age; the configuration and the registrations are written
    /// again a moment later.
    void restore_store(anvilmount::milliseconds age);

    /// Stops the gateways with SIGTERM and reports those with a non-zero exit code.
    void end_gateways();

    /// Operations after which callers shut down their sending direction.
    [[nodiscard]] std::uint64_t half_closes() const { return m_environment.m_half_closes; }
    [[nodiscard]] promise_ledger& ledger() { return m_ledger; }
    [[nodiscard]] const std::vector<soak_route>& routes() const { return m_routes; }
    [[nodiscard]] const soak_options& options() const { return m_options; }
    [[nodiscard]] int upstreams() const { return static_cast<int>(m_upstream_ids.size()); }

private:
    struct gateway_process {
        std::unique_ptr<child_process> m_process{};
        std::shared_ptr<gateway_life> m_life{}; ///< Of the newest process.
        std::unique_ptr<standin::fault_relay> m_store_path{};
        /// From the other gateways to the addresses that it advertises to them.
        std::vector<std::unique_ptr<standin::fault_relay>> m_peer_paths{};
        bool m_paused{false};
        std::uintmax_t m_log_size_at_start{0}; ///< A process writes its first line once it handles signals.
        std::optional<anvilmount::steady_time> m_leaving_since{}; ///< When SIGTERM was sent.
    };

    [[nodiscard]] anvilmount::endpoint loopback_endpoint(int offset) const;
    [[nodiscard]] anvilmount::endpoint gateway_address(int number, int offset) const;
    [[nodiscard]] soak_environment::instance instance(int number) const;
    void tell_to_stop(int number);
    void spawn(int number);
    [[nodiscard]] std::uintmax_t log_size(int number) const;
    void write_settings(int number) const;
    void poll_processes();
    void poll_process(int number);
    void write_configuration();
    void publish_registration(const std::string& upstream);
    [[nodiscard]] std::string registration(int upstream) const;
    [[nodiscard]] int upstream_number(const std::string& upstream) const;
    [[nodiscard]] std::string primary_of(int gateway) const;
    void on_store_write(const std::string& key, const std::string& value);
    void on_commit(const std::string& upstream, const standin::line_commit& what);
    /// Calls `judge` once it can be known whether the process has ended.
    void judge_later(const std::shared_ptr<const gateway_life>& life,
                     std::function<void(const gateway_life&)> judge);
    [[nodiscard]] static std::string group_name(int number) { return "group" + std::to_string(number); }

    anvilmount::reactor& m_loop;
    soak_options m_options;
    std::mt19937 m_random;
    promise_ledger m_ledger;
    standin::line_upstreams m_upstreams;
    standin::row_store m_store;
    soak_environment m_environment;
    std::vector<std::string> m_upstream_ids;
    std::vector<std::unique_ptr<standin::fault_relay>> m_upstream_paths;
    bool m_pauses_confirmed{false};
    std::optional<int> m_paused_coordinator;
    std::set<std::string> m_draining;           ///< Upstreams that are registered as draining.
    std::set<std::string> m_refusing_upstreams; ///< Upstreams whose paths refuse.
    std::vector<gateway_process> m_gateways;
    std::vector<soak_route> m_routes;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::uint64_t m_revision{1};
    int m_connection_limit;              ///< Of each upstream, as configured.
    std::optional<int> m_account_rate{}; ///< Set: callers have an account with this quota, per second.
    std::optional<std::size_t> m_revoked_key{};         ///< Of soak_caller::keys; the account lacks it.
    anvilmount::steady_time m_instances_silent_until{}; ///< To each other.
    anvilmount::steady_time m_path_delayed_until{};     ///< Until then, delayed writes may still arrive.
    int m_reloads{0};                                   ///< Each changes the log level.
    bool m_ending{false};
};

}
