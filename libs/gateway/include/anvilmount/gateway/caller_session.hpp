/// \file caller_session.hpp
/// One caller's session: its values, its prepared statements, its transaction,
/// and the statements that wait their turn. A transaction takes an upstream
/// connection only with its first statement, so that a resting one holds none.
#pragma once

#include "anvilmount/gateway/fleet.hpp"
#include "anvilmount/gateway/group_service.hpp"
#include "anvilmount/gateway/messages.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace anvilmount::gateway {

/// What a session needs of the instance that it lives in.
struct session_context {
    std::function<const database_route*(const std::string& database)> m_find_route{};
    std::function<group_service*(const group_name&)> m_find_group{};
    std::function<std::uint64_t()> m_revision{}; ///< Of the configuration in force.
    std::function<milliseconds()> m_idle_transaction_timeout{};
    /// Returns the name under which every upstream connection knows this prepared statement.
    std::function<std::string(const std::string& query_template, bool writes)> m_shared_statement_name{};
    const clock_port* m_clock{nullptr};
    metrics* m_metrics{nullptr};
};

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    struct outputs {
        std::function<void(const answer&)> m_answer{};
        std::function<void()> m_close{}; ///< After what was written has left.
    };

    caller_session(std::uint64_t number, std::string database, const session_context& context, outputs out);

    /// Statements are answered in the order in which they come.
    void on_statement(statement received);

    /// Operations need a configuration of this revision or newer: another
    /// instance, which handed the session on, has it in force already.
    void require_revision(std::uint64_t revision) { m_required_revision = revision; }

    /// The caller has left: what is open at an upstream is rolled back.
    void on_disconnect();

    /// Ends resting transactions that hold a connection for too long.
    void tick();

    /// The instance is leaving: closes as soon as nothing is open.
    void drain();

    /// The instance is leaving: closes once the next operation has ended.
    void drain_after_next_operation() { m_draining = true; }

    /// Ends an open transaction, as not kept, and closes.
    void close();

    [[nodiscard]] bool is_idle() const { return !m_busy && m_waiting.empty() && !m_transaction; }
    /// Since when no statement is being served, though a transaction may be open; nothing while one is.
    [[nodiscard]] std::optional<steady_time> inactive_since() const;
    [[nodiscard]] std::uint64_t number() const { return m_number; }
    [[nodiscard]] const std::string& database() const { return m_database; }
    [[nodiscard]] bool is_closed() const { return m_closed; }

private:
    struct prepared_statement {
        std::string m_template{};
        bool m_writes{false};
    };

    struct transaction {
        bool m_read_only{false};
        bool m_failed{false};
        bool m_wrote{false};
        result_code m_failure_code{result_code::transaction_lost};
        database_route m_route{};         ///< As it was when the transaction began.
        connection_handle m_connection{}; ///< Unset until the first statement, and once it has failed.
        std::shared_ptr<upstream_pool> m_pool{};
    };

    void serve_next();
    void close_if_draining();
    [[nodiscard]] bool needs_newer_configuration(const statement& current) const;
    void process(const statement& current);
    void begin(const statement& current);
    void commit(const statement& current);
    void roll_back();
    void prepare(const statement& current);
    void deallocate(const statement& current);
    void run(const statement& current);
    void run_autocommit(const statement& current, bool writes);
    void run_in_transaction(const statement& current);
    void begin_then_run(const statement& current);
    void on_begin_reply(const statement& current, const group_reply& reply);
    void run_on_connection(const statement& current);
    void on_transaction_reply(const statement& current, group_reply reply);
    void on_autocommit_reply(bool writes, group_reply reply);
    void on_connection_lost();
    void detach_connection(bool must_roll_back);
    void fail_transaction();
    [[nodiscard]] bool is_write(const statement& current) const;
    [[nodiscard]] bool has_prepared(const statement& current);
    void fill_request(group_request& request, const statement& current, const database_route& route);
    /// Lets a replica serve a read, where the route allows it.
    void allow_replicas(group_request& request, const database_route& route,
                        const group_service& group) const;
    void record_commit(const group_reply& reply);
    [[nodiscard]] std::optional<log_position> session_watermark(const group_service& group) const;
    void reply_success();
    void refuse(result_code code, const std::string& reason);
    void reply(answer done);
    [[nodiscard]] session_state state() const;

    std::uint64_t m_number;
    std::string m_database;
    session_context m_context;
    outputs m_out;
    std::shared_ptr<const session_values> m_values;
    std::map<std::string, prepared_statement> m_prepared;
    std::optional<transaction> m_transaction;
    std::deque<statement> m_waiting;
    bool m_busy{false};         ///< The first of m_waiting is being served.
    bool m_disconnected{false}; ///< The caller has left.
    std::uint64_t m_required_revision{0};
    bool m_draining{false};
    /// Between operations, but an operation is about to come: the session has
    /// just been opened, or has just set a value or prepared a statement.
    bool m_expects_operation{true};
    bool m_closed{false};
    steady_time m_answered_at{};         ///< Of the last answer, or the session's opening.
    steady_time m_arrived{};             ///< Of the statement being served.
    log_position m_last_commit;          ///< Newest commit of this session...
    std::uint64_t m_last_commit_term{0}; ///< ...made while this term was current; 0: none.
};

}
