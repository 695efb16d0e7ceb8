/// \file soak_fleet.hpp
/// What a soak runs: gateways as processes of their own, and on the other side
/// of loopback relays the stand-ins of the store and of the databases. Each
/// fault of the schedule is a method here; every one can be ended.
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
    std::string m_gateway_program{}; ///< Path of the program.
    std::string m_directory{};       ///< For settings and logs.
    int m_first_port{23000};
};

class soak_fleet {
public:
    soak_fleet(anvilmount::reactor& loop, const soak_options& options);

    /// Starts everything. Errors: listen_failed (1603).
    [[nodiscard]] anvilmount::result<void> start();

    /// Whether every gateway says that it is ready.
    void count_ready(std::function<void(int)> done);

    void start_callers();
    void stop_callers();

    // Gateways, from 0.
    void kill_gateway(int number);
    void pause_gateway(int number);
    void resume_gateway(int number);
    void stop_gateway(int number); ///< SIGTERM; it is started again once it has ended.
    void reload_gateway(int number);
    void restart_gateway(int number); ///< Starts a killed one.
    void set_store_path_faults(int gateway, const standin::relay_faults& faults);

    // Upstreams, from 0, over all groups.
    void set_upstream_path_faults(int upstream, const standin::relay_faults& faults);
    void set_upstream_faults(int upstream, const standin::line_upstream_faults& faults);

    [[nodiscard]] standin::row_store& store() { return m_store; }
    void change_configuration();

    /// Notes the end of an unplanned fault: what is cut off soon after is its doing.
    void record_fault() { m_last_fault_at = anvilmount::reactor::now(); }

    /// Ends every gateway in order; reports those that do not end well.
    void end_gateways();

    [[nodiscard]] promise_ledger& ledger() { return m_ledger; }
    [[nodiscard]] const std::vector<soak_route>& routes() const { return m_routes; }
    [[nodiscard]] const soak_options& options() const { return m_options; }
    [[nodiscard]] int upstreams() const { return static_cast<int>(m_upstream_ids.size()); }

private:
    struct gateway_process {
        std::unique_ptr<child_process> m_process{};
        std::unique_ptr<standin::fault_relay> m_store_path{};
        bool m_paused{false};
        std::optional<anvilmount::steady_time> m_leaving_since{}; ///< Since when.
    };

    [[nodiscard]] anvilmount::endpoint loopback_endpoint(int offset) const;
    [[nodiscard]] anvilmount::endpoint gateway_address(int number, int offset) const;
    void spawn(int number);
    void write_settings(int number) const;
    void poll_processes();
    void write_configuration();
    void publish_registration(const std::string& upstream);
    [[nodiscard]] std::string registration(int upstream) const;
    void on_commit(const std::string& upstream, const standin::line_commit& what);
    void on_cut_off(int gateway, const std::string& id, anvilmount::milliseconds waited);
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
    std::vector<gateway_process> m_gateways;
    std::vector<soak_route> m_routes;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::uint64_t m_revision{1};
    anvilmount::steady_time m_last_fault_at{};
    anvilmount::steady_time m_path_delayed_until{}; ///< Until then bytes may have been held up on the way.
    bool m_ending{false};
};

}
