/// \file fake_upstreams.hpp
/// In-memory database groups for tests in virtual time, connected through the
/// gateway's upstream port. They simulate terms, log positions, replication, session
/// values, prepared statements and faults, and record the statements that ran and
/// violations of the protocol.
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

/// A statement that an upstream ran, with the session state it saw.
struct run_statement {
    std::string m_upstream{};
    std::uint64_t m_connection{0};
    std::string m_account{}; ///< Named when the connection was opened.
    std::string m_id{};
    std::string m_text{};
    gateway::session_values m_values{};
    bool m_in_transaction{false};
    log_position m_position{}; ///< End of the upstream's log afterwards.
};

/// State and faults of one upstream.
struct fake_upstream {
    gateway::upstream_entry m_entry{};
    bool m_is_primary{false};
    std::uint64_t m_term{1};
    log_position m_position{.m_term = 1, .m_offset = 100};
    bool m_registered{true};       ///< Stands in the registry.
    bool m_down{false};            ///< Refuses connections and runs nothing.
    bool m_silent{false};          ///< Accepts statements, but answers none.
    bool m_loses_answers{false};   ///< Runs a statement, then breaks its connection.
    bool m_replicates{true};       ///< As a replica: applies the commits of the primary.
    bool m_busy{false};            ///< Refuses reads and writes without running them.
    milliseconds m_work_time{10};  ///< Per forwarded statement.
    milliseconds m_status_time{0}; ///< Until a status request is answered.
    bool m_ignores_status{false};  ///< Answers no status request.
    bool m_synchronous{false};     ///< As the primary: answers a commit only if a replica received it.
    /// Statements that are answered with an error; all others run.
    std::function<bool(const gateway::outgoing_statement&)> m_fails{};
    /// Statements at which the connection breaks without an answer; they are not run.
    std::function<bool(const gateway::outgoing_statement&)> m_breaks_at{};
    bool m_ignores_begin{false};       ///< Answers BEGIN with success and begins nothing.
    bool m_ends_refused{false};        ///< A statement refused while busy ends its transaction.
    std::vector<std::string> m_rows{}; ///< Rows of the answer to each read.
    int m_open{0};
    int m_peak_open{0};
};

/// All upstreams of a test, and their connections.
class fake_upstreams {
public:
    explicit fake_upstreams(manual_clock& clock) : m_clock(clock) {}

    /// Adds a group of upstreams GROUP-1, GROUP-2...; the first is the primary.
    void add_group(const std::string& group, int members);
    [[nodiscard]] fake_upstream& at(const std::string& id) { return m_upstreams.at(id); }
    [[nodiscard]] gateway::upstream_registry registry() const;

    /// Returns the connector of `instance`, which cut() and connection_closer() identify by that name.
    [[nodiscard]] gateway::upstream_connector connector(const std::string& instance);
    /// Parses the answer to a status statement; nothing if it is malformed.
    [[nodiscard]] static std::optional<gateway::upstream_status> read_status(const gateway::answer& reply);

    /// Makes `id` the primary of the next term after m_promotion_time. The previous primary is not demoted.
    void promote(const std::string& id);

    /// Takes an upstream down and breaks its connections.
    void crash(const std::string& id);

    /// Closes the connections to `id`; the instances, whose event loops are late, are told after `delay`.
    void close_connections(const std::string& id, milliseconds delay);

    /// Returns a function that closes the connections that `instance` has now, without notifying it.
    [[nodiscard]] std::function<void()> connection_closer(const std::string& instance);

    /// Drops all statements and answers between an instance and an upstream.
    void cut(const std::string& instance, const std::string& id) { m_cut_paths.insert({instance, id}); }
    /// As cut(), but connections are reset and refused.
    void refuse(const std::string& instance, const std::string& id);
    void heal_paths() {
        m_cut_paths.clear();
        m_refused_paths.clear();
    }

    milliseconds m_promotion_time{600}; ///< From an order to its effect.
    std::vector<run_statement> m_runs;
    /// How many statements of each kind arrived, but for status requests.
    std::map<gateway::outgoing_statement::kind, int> m_received;
    std::vector<std::string> m_violations; ///< Protocol errors of gateways; a test expects none.
    int m_promotions{0};
    /// Called when a promotion is ordered, and when it has taken effect.
    std::function<void(const std::string& id)> m_on_ordered{[](const std::string&) {}};
    std::function<void(const std::string& id)> m_on_promoted{[](const std::string&) {}};

    /// Lets a replica receive commits, or none. One that receives them again catches up.
    void set_receiving(const std::string& id, bool receives);

private:
    struct connection {
        std::uint64_t m_number{0};
        std::string m_instance{};
        std::string m_account{};
        std::string m_upstream{};
        gateway::upstream_channel_events m_events{};
        gateway::session_values m_values{};
        std::set<std::string> m_prepared{};
        bool m_open{true};
        bool m_in_transaction{false};
        bool m_read_only{false};
        bool m_failed{false};
        bool m_wrote{false};
        bool m_awaits_replica{false}; ///< The answer to the last statement never comes.
        steady_time m_free_at{};      ///< Statements of one connection run one after the other.
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
    /// Returns how many replicas have received the commit.
    int commit(fake_upstream& upstream);
    [[nodiscard]] bool is_cut(const connection& conn) const {
        return m_cut_paths.contains({conn.m_instance, conn.m_upstream});
    }

    manual_clock& m_clock;
    std::map<std::string, fake_upstream> m_upstreams;
    std::vector<connection_ptr> m_connections;
    std::set<std::pair<std::string, std::string>> m_cut_paths;
    std::set<std::pair<std::string, std::string>> m_refused_paths;
    std::uint64_t m_next{1};
};

}
