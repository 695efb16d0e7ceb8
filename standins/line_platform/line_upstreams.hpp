/// \file line_upstreams.hpp
/// Stand-ins for the platform's databases, for tests: groups of upstreams that
/// speak the line protocol on loopback, with execution slots, a log with terms,
/// lagging replicas, promotion and faults. Observers are notified of each executed
/// statement and each commit in the order in which they happen.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/wire/reactor.hpp"
#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standin {

/// One log entry: a commit that wrote data.
struct line_commit {
    std::uint64_t m_term{0};
    std::vector<std::string> m_statement_ids{};   ///< Ids of the statements that wrote.
    std::map<std::string, std::string> m_items{}; ///< Items written and their new data.
};

using line_log = std::vector<std::shared_ptr<const line_commit>>;

/// One statement that an upstream executed, with its result.
struct line_execution {
    std::string m_upstream{};
    std::string m_id{};
    std::string m_text{}; ///< EXECUTE shows the statement's access and shape in place of its name.
    std::uint64_t m_connection{0};
    std::uint64_t m_transaction{0}; ///< Never reused; 0 outside a transaction.
    std::map<std::string, std::string> m_variables{};
    std::vector<std::string> m_rows{};
    std::string m_proof{};
};

struct line_upstream_faults {
    bool m_down{false};
    double m_answer_loss_rate{0}; ///< Share of the answers replaced by closing the connection.
    int m_slowdown_factor{1};     ///< Multiplies the execution time of statements.
    anvilmount::milliseconds m_extra_lag{0};
};

struct line_upstream_options {
    std::string m_id{};
    std::string m_group{};
    anvilmount::endpoint m_listen{};
    int m_slots{3}; ///< Statements that execute at the same time.
    int m_max_connections{21};
    bool m_is_primary{false};
};

/// Callbacks for the events of all upstreams. All must be set.
struct line_observers {
    std::function<void(const line_execution&)> m_on_execution{};
    std::function<void(const std::string& upstream, const std::shared_ptr<const line_commit>&)>
        m_on_commit{};
    std::function<void(const std::string& upstream)> m_on_role_change{};
};

class line_upstreams {
public:
    line_upstreams(anvilmount::reactor& loop, std::uint32_t seed, line_observers observers)
        : m_loop(loop), m_random(seed), m_observers(std::move(observers)) {}

    /// Errors: listen_failed (1603).
    [[nodiscard]] anvilmount::result<void> add(const line_upstream_options& options);

    /// Sets the faults of one upstream. Going down closes its connections; its log is kept.
    void set_faults(const std::string& id, const line_upstream_faults& faults);

    /// Makes `id` the primary of the group's next term after a delay. Returns false if
    /// `id` is down or not in the group.
    bool promote(const std::string& group, const std::string& id);

    [[nodiscard]] bool is_down(const std::string& id) const { return m_members.at(id).m_faults.m_down; }
    [[nodiscard]] bool is_primary(const std::string& id) const { return m_members.at(id).m_is_primary; }
    [[nodiscard]] const line_log& log(const std::string& id) const { return m_members.at(id).m_log; }

    /// Returns the group's primary of the highest term, even if it is down; empty if
    /// the group has none.
    [[nodiscard]] std::string newest_primary(const std::string& group) const;

private:
    struct member;

    struct prepared_statement {
        std::string m_access{};
        std::string m_shape{};
    };

    struct connection {
        std::uint64_t m_number{0};
        std::string m_upstream_id{};
        std::shared_ptr<anvilmount::tcp_stream> m_stream{};
        std::string m_input{};
        std::deque<std::string> m_pending_lines{}; ///< Received lines that are not processed yet.
        bool m_handshake_done{false};
        bool m_busy{false};   ///< In the handshake, or a statement executes or waits for a slot.
        bool m_failed{false}; ///< The transaction failed and has not been ended.
        bool m_read_only{false};
        std::uint64_t m_transaction{0};
        std::vector<std::pair<std::string, std::string>> m_writes{}; ///< Uncommitted: item, data.
        std::vector<std::string> m_write_ids{};
        std::map<std::string, std::string> m_variables{};
        std::map<std::string, prepared_statement> m_prepared{};
    };
    using connection_ptr = std::shared_ptr<connection>;

    struct member {
        line_upstream_options m_options{};
        line_upstream_faults m_faults{};
        std::unique_ptr<anvilmount::tcp_listener> m_listener{};
        std::set<connection_ptr> m_connections{};
        std::deque<std::function<void()>> m_slot_queue{}; ///< Statements that wait for a slot.
        int m_running_statements{0};
        bool m_is_primary{false};
        std::uint64_t m_term{1};
        line_log m_log{};
    };

    [[nodiscard]] anvilmount::result<void> listen(member& upstream);
    void accept(const std::string& id, int fd);
    void close(const connection_ptr& conn);
    void on_bytes(const connection_ptr& conn, std::string_view bytes);
    void process_lines(const connection_ptr& conn);
    void handle_start(const connection_ptr& conn, const std::string& line);
    void run_in_slot(const connection_ptr& conn, const std::string& id, const std::string& text);
    void release_slot(const std::string& id);
    void handle_query(const connection_ptr& conn, const std::string& id, const std::string& text);
    [[nodiscard]] std::string run_without_slot(connection& conn, const std::string& text);
    [[nodiscard]] std::string begin(connection& conn, bool read_only);
    [[nodiscard]] std::string execute(connection& conn, const std::string& id, const std::string& text);
    [[nodiscard]] std::string commit(connection& conn, const std::string& id);
    [[nodiscard]] std::string status(const member& upstream) const;
    [[nodiscard]] bool is_behind(const member& upstream, const std::string& position) const;
    [[nodiscard]] std::string value_of(const member& upstream, const connection& conn,
                                       const std::string& item) const;
    void append(member& upstream, std::vector<std::string> ids,
                const std::vector<std::pair<std::string, std::string>>& writes);
    void replicate(const std::string& primary);
    void apply_log(member& upstream, const member& source, std::size_t count);
    void demote(member& upstream);
    void reply(const connection_ptr& conn, const std::string& text);
    void replicate_periodically();

    anvilmount::reactor& m_loop;
    std::mt19937 m_random;
    line_observers m_observers;
    std::map<std::string, member> m_members;
    std::uint64_t m_next_number{1}; ///< Shared by connections, transactions and proofs.
    bool m_replication_scheduled{false};
};

}
