/// \file line_upstreams.hpp
/// Stand-ins for the platform's databases: groups of upstreams that speak the
/// line protocol on loopback, with slots, a log with terms, replicas that lag,
/// and promotion. Whoever watches is told each statement that runs and each
/// commit, in the order in which they happen.
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

/// One commit that wrote.
struct line_commit {
    std::uint64_t m_term{0};
    std::vector<std::string> m_statement_ids{};   ///< Statements that wrote.
    std::map<std::string, std::string> m_items{}; ///< What they left.
};

using line_log = std::vector<std::shared_ptr<const line_commit>>;

/// One statement as an upstream ran it.
struct line_execution {
    std::string m_upstream{};
    std::string m_id{};
    std::string m_text{}; ///< A prepared statement's name is replaced by its access and shape.
    std::uint64_t m_connection{0};
    std::uint64_t m_transaction{0}; ///< Never reused; 0 outside any.
    std::map<std::string, std::string> m_variables{};
    std::vector<std::string> m_rows{};
    std::string m_proof{};
};

struct line_upstream_faults {
    bool m_down{false};
    double m_answer_loss_rate{0}; ///< Share of the answers that are lost with their connection.
    int m_slowdown_factor{1};     ///< Statements take this many times as long.
    anvilmount::milliseconds m_extra_lag{0};
};

struct line_upstream_options {
    std::string m_id{};
    std::string m_group{};
    anvilmount::endpoint m_listen{};
    int m_slots{3};
    int m_max_connections{21};
    bool m_is_primary{false};
};

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

    /// Faults of one upstream; going down ends its connections, coming back it has its log.
    void set_faults(const std::string& id, const line_upstream_faults& faults);

    /// Lets `id` lead the next term after a while. Returns false when it is not running.
    bool promote(const std::string& group, const std::string& id);

    [[nodiscard]] bool is_down(const std::string& id) const { return m_members.at(id).m_faults.m_down; }
    [[nodiscard]] bool is_primary(const std::string& id) const { return m_members.at(id).m_is_primary; }
    [[nodiscard]] const line_log& log(const std::string& id) const { return m_members.at(id).m_log; }

    /// The newest leader of a group, whether it runs or not.
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
        std::deque<std::string> m_pending_lines{}; ///< Lines not yet looked at.
        bool m_handshake_done{false};
        bool m_busy{false}; ///< A statement holds a slot or waits for one.
        bool m_failed{false};
        bool m_read_only{false};
        std::uint64_t m_transaction{0};
        std::vector<std::pair<std::string, std::string>> m_writes{}; ///< Of the transaction: item and data.
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
        std::deque<std::function<void()>> m_slot_queue{};
        int m_running_statements{0};
        bool m_is_primary{false};
        std::uint64_t m_term{1};
        line_log m_log{};
    };

    [[nodiscard]] anvilmount::result<void> listen(member& at);
    void accept(const std::string& id, int fd);
    void close(const connection_ptr& on);
    void on_bytes(const connection_ptr& on, std::string_view bytes);
    void process_lines(const connection_ptr& on);
    void handle_start(const connection_ptr& on, const std::string& line);
    void run_in_slot(const connection_ptr& on, const std::string& id, const std::string& text);
    void release_slot(const std::string& id);
    void handle_query(const connection_ptr& on, const std::string& id, const std::string& text);
    [[nodiscard]] std::string run_without_slot(connection& on, const std::string& text);
    [[nodiscard]] std::string begin(connection& on, bool read_only);
    [[nodiscard]] std::string execute(connection& on, const std::string& id, const std::string& text);
    [[nodiscard]] std::string commit(connection& on, const std::string& id);
    [[nodiscard]] std::string status(const member& at) const;
    [[nodiscard]] bool is_behind(const member& at, const std::string& position) const;
    [[nodiscard]] std::string value_of(const member& at, const connection& on,
                                       const std::string& item) const;
    void append(member& at, std::vector<std::string> ids,
                const std::vector<std::pair<std::string, std::string>>& writes);
    void replicate(const std::string& primary);
    void apply_log(member& at, const member& from, std::size_t count);
    void demote(member& at);
    void reply(const connection_ptr& on, const std::string& text);
    void replicate_periodically();

    anvilmount::reactor& m_loop;
    std::mt19937 m_random;
    line_observers m_observers;
    std::map<std::string, member> m_members;
    std::uint64_t m_next_number{1}; ///< Of connections, transactions and proofs.
    bool m_replication_scheduled{false};
};

}
