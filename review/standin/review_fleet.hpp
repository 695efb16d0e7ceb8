/// \file review_fleet.hpp
/// The outside of a small deployment on loopback: the platform's store and promotion call, a database with
/// its upstreams, the paths between them and the gateways, and the settings of the gateways. The gateways
/// are started by run.sh, one process each, when this program asks for them.
#pragma once

#include "grey_path.hpp"

#include "../../standins/line_platform/line_upstreams.hpp"
#include "../../standins/line_platform/row_store.hpp"
#include "../../standins/relay/fault_relay.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

struct fleet_options {
    std::string m_directory{}; ///< For settings and process ids.
    int m_first_port{0};
    int m_gateways{4};
    int m_grace_s{6};
    int m_memory_mb{260};
};

/// What a case may want to be told of.
struct fleet_events {
    std::function<void(const standin::promotion_request&)> m_on_promotion{};
    std::function<void(const standin::line_execution&)> m_on_execution{};
    std::function<void(const std::string& upstream, const standin::line_commit&)> m_on_commit{};
    std::function<void(const std::string& upstream)> m_on_role_change{};
    /// A gateway wrote this row of a table.
    std::function<void(const std::string& table, const std::string& key, const std::string& value)>
        m_on_row{};
};

class review_fleet {
public:
    review_fleet(anvilmount::reactor& loop, fleet_options options, fleet_events events);

    [[nodiscard]] anvilmount::result<void> start();

    /// Asks run.sh to start a gateway, and to start it again whenever it ends.
    void start_gateway(int number) const;
    /// Sends a signal to the process of a gateway; false if it has none.
    [[nodiscard]] bool signal_gateway(int number, int signal) const;
    /// Resident memory of a gateway's process in MB; 0 without a process.
    [[nodiscard]] int memory_mb(int number) const;
    /// Number of the gateway of this name; -1: none.
    [[nodiscard]] int gateway_number(const std::string& name) const;
    [[nodiscard]] anvilmount::endpoint caller_address(int number) const;
    /// Calls `done` with the number of gateways, among the first `count`, that say they are ready.
    void count_ready(int count, std::function<void(int ready)> done);

    [[nodiscard]] standin::row_store& store() { return m_store; }
    [[nodiscard]] standin::line_upstreams& upstreams() { return m_upstreams; }
    /// The path of a gateway to the store.
    [[nodiscard]] standin::fault_relay& store_path(int number) {
        return *m_store_paths.at(static_cast<std::size_t>(number));
    }
    /// The path of a gateway to the platform's promotion call.
    [[nodiscard]] standin::fault_relay& promotion_path(int number) {
        return *m_promotion_paths.at(static_cast<std::size_t>(number));
    }
    /// Holds up, or not any more, everything that the gateways send each other.
    void cut_gateways_from_each_other(bool cut);

    /// From now on, one upstream fails this share of its requests; its status check is good.
    void set_grey(const std::string& upstream, double share);
    /// Adds a replica and registers it; its log is the primary's after a moment.
    void add_upstream();
    /// The primary reports that it is draining.
    void drain(const std::string& upstream);
    /// The upstream ends and leaves the registrations.
    void remove(const std::string& upstream);
    /// The operator and the upstreams write again, as after a restore.
    void write_all();
    [[nodiscard]] std::string primary() const { return m_upstreams.newest_primary("orders-db"); }

    /// Writes a line of the record, with the time since the start.
    void record(const std::string& line) const;
    [[nodiscard]] anvilmount::milliseconds elapsed() const;

private:
    [[nodiscard]] anvilmount::endpoint local(int offset) const;
    [[nodiscard]] anvilmount::endpoint upstream_address(int number) const;
    [[nodiscard]] anvilmount::endpoint advertised_upstream_address(int number) const;
    [[nodiscard]] anvilmount::result<void> add_grey_path(int number);
    void write_settings(int number) const;
    void write_configuration();
    void publish(const std::string& upstream);

    anvilmount::reactor& m_loop;
    fleet_options m_options;
    fleet_events m_events;
    anvilmount::steady_time m_started;
    standin::line_upstreams m_upstreams;
    standin::row_store m_store;
    std::vector<std::unique_ptr<standin::fault_relay>> m_store_paths;
    std::vector<std::unique_ptr<standin::fault_relay>> m_promotion_paths;
    std::vector<std::unique_ptr<standin::fault_relay>> m_peer_paths;
    std::vector<std::unique_ptr<grey_path>> m_grey_paths; ///< By number of the upstream.
    int m_upstream_count{0};
    std::set<std::string> m_draining;
    std::set<std::string> m_removed;
};

}
