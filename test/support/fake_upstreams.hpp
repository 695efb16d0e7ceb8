/// \file fake_upstreams.hpp
/// Database groups in memory, behind the gateway's upstream port: terms, log
/// positions, replication, session values and prepared statements, and the
/// faults of upstreams. They check what callers rely on while they run.
#pragma once

#include "support/manual_clock.hpp"

#include "anvilmount/gateway/fleet.hpp"
#include "anvilmount/gateway/ports.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilmount::test {

/// One statement as an upstream ran it.
struct run_statement {
    std::string m_upstream{};
    std::uint64_t m_connection{0};
    std::string m_id{};
    std::string m_text{};
    gateway::session_values m_values{};
    bool m_in_transaction{false};
};

struct fake_upstream {
    gateway::upstream_entry m_entry{};
    bool m_is_primary{false};
    std::uint64_t m_term{1};
    log_position m_position{.m_term = 1, .m_offset = 100};
    bool m_down{false};          ///< Refuses connections; those that are open break.
    bool m_silent{false};        ///< Takes everything and answers nothing.
    bool m_loses_answers{false}; ///< Runs, then breaks the connection.
    bool m_replicates{true};     ///< As a replica: keeps up with its primary.
    bool m_busy{false};          ///< Refuses reads and writes without running them.
    milliseconds m_work_time{10};
    int m_open{0};
    int m_peak_open{0};
};

class fake_upstreams {
public:
    explicit fake_upstreams(manual_clock& clock) : m_clock(clock) {}

    /// Adds a group of one primary and replicas, named GROUP-1, GROUP-2...
    void add_group(const std::string& group, int members);
    [[nodiscard]] fake_upstream& at(const std::string& id) { return m_upstreams.at(id); }
    [[nodiscard]] gateway::upstream_registry registry() const;

    /// `instance` names the connections' owner, so that its path can be cut.
    [[nodiscard]] gateway::upstream_connector connector(const std::string& instance);
    [[nodiscard]] static std::optional<gateway::upstream_status> read_status(const gateway::answer& reply);

    /// Makes `id` lead the next term after the usual time.
    void promote(const std::string& id);

    void crash(const std::string& id);

    /// Returns what ends the connections that `instance` has now.
    [[nodiscard]] std::function<void()> connection_closer(const std::string& instance);

    /// Statements between this instance and this upstream get no answer.
    void cut(const std::string& instance, const std::string& id) { m_cut_paths.insert({instance, id}); }
    void heal_paths() { m_cut_paths.clear(); }

    std::vector<run_statement> m_runs;
    std::vector<std::string> m_violations; ///< Empty as long as all is well.
    int m_promotions{0};

private:
    struct connection {
        std::uint64_t m_number{0};
        std::string m_instance{};
        std::string m_upstream{};
        gateway::upstream_channel_events m_events{};
        gateway::session_values m_values{};
        std::set<std::string> m_prepared{};
        bool m_open{true};
        bool m_in_transaction{false};
        bool m_read_only{false};
        bool m_failed{false};
        bool m_wrote{false};
        steady_time m_free_at{}; ///< Statements of one connection run one after the other.
    };
    using connection_ptr = std::shared_ptr<connection>;

    void start(const connection_ptr& made, const upstream_id& expected);
    void receive(const connection_ptr& conn, const gateway::outgoing_statement& what);
    void run(const connection_ptr& conn, const gateway::outgoing_statement& what);
    void finish(const connection_ptr& conn, gateway::answer reply);
    void drop(const connection_ptr& conn);
    [[nodiscard]] gateway::answer answer_to(const connection_ptr& conn,
                                            const gateway::outgoing_statement& what);
    [[nodiscard]] gateway::answer data_answer(const connection_ptr& conn,
                                              const gateway::outgoing_statement& what);
    void commit(fake_upstream& upstream);
    [[nodiscard]] bool is_cut(const connection& conn) const {
        return m_cut_paths.contains({conn.m_instance, conn.m_upstream});
    }

    manual_clock& m_clock;
    std::map<std::string, fake_upstream> m_upstreams;
    std::vector<connection_ptr> m_connections;
    std::set<std::pair<std::string, std::string>> m_cut_paths;
    std::uint64_t m_next{1};
};

}
