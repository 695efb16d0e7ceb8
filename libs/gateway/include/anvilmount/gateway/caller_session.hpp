/// \file caller_session.hpp
/// The session of one caller: its session values, prepared statements, open
/// transaction, and the queue of statements that it has sent. The session passes
/// statements to the group that serves its database, one at a time. A transaction
/// takes an upstream connection only with its first statement, so one that has
/// only begun holds none.
#pragma once

#include "anvilmount/gateway/fleet.hpp"
#include "anvilmount/gateway/group_service.hpp"
#include "anvilmount/gateway/messages.hpp"
#include "anvilmount/gateway/session_end.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace anvilmount::gateway {

/// Services of the instance that a session uses.
struct session_context {
    std::function<const database_route*(const std::string& database)> m_find_route{};
    std::function<group_service*(const group_name&)> m_find_group{};
    std::function<std::uint64_t()> m_revision{}; ///< Revision of the configuration in force.
    std::function<milliseconds()> m_idle_transaction_timeout{};
    /// Returns the name under which all upstream connections prepare `query_template`.
    std::function<std::string(const std::string& query_template, bool writes)> m_shared_statement_name{};
    /// Takes one operation off the quota of a client account. Returns nothing when it may run, else the
    /// time at which to retry. Unset: no quota.
    std::function<std::optional<steady_time>(const std::string& account)> m_take_quota{};
    /// Gives back an operation that was refused as not run before anything was sent.
    std::function<void(const std::string& account)> m_return_quota{};
    const clock_port* m_clock{nullptr};
    metrics* m_metrics{nullptr};
};

/// Serves the statements of one caller in order. Not thread-safe.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    /// Callbacks through which the session reaches its caller.
    struct outputs {
        std::function<void(const answer&)> m_answer{};
        /// The session has ended: all its statements are answered, and it serves no more. The connection
        /// refuses what the caller has sent meanwhile.
        std::function<void(session_end)> m_close{};
    };

    /// `account`: name of the caller's client account; empty without one.
    caller_session(std::uint64_t number, std::string database, std::string account,
                   const session_context& context, outputs callbacks);

    /// Queues a statement. Statements are answered in the order in which they arrive.
    void on_statement(statement received);

    /// Refuses new operations until a configuration of at least this revision is in force
    /// here. The instance that forwarded the session already uses that revision.
    void require_revision(std::uint64_t revision) { m_required_revision = revision; }

    /// The caller has disconnected: rolls back its open transaction.
    void on_disconnect();

    /// Rolls back a transaction that has held a connection idle for longer than the timeout.
    void tick();

    /// Ends the session once no statement, transaction or prepared operation is open.
    /// Called when the instance leaves, or no longer holds connections to the group.
    void drain(session_end cause);

    /// Ends the session after its next operation: it was opened while the instance leaves.
    void drain_after_next_operation() { m_drain_cause = session_end::instance_leaving; }

    /// Answers the open statements with what is known of them, rolls back an open transaction and serves
    /// no more.
    void end();

    /// As end(), and reports the end by m_close.
    void close(session_end cause);

    /// Whether no statement is queued or running and no transaction is open.
    [[nodiscard]] bool is_idle() const { return !m_busy && m_waiting.empty() && !m_transaction; }
    /// Time of the last answer if no statement is queued or running; unset otherwise.
    /// Unlike is_idle(), a transaction may be open.
    [[nodiscard]] std::optional<steady_time> inactive_since() const;
    [[nodiscard]] std::uint64_t number() const { return m_number; }
    [[nodiscard]] const std::string& database() const { return m_database; }
    /// Name of the caller's client account; empty on a public route and without client accounts.
    [[nodiscard]] const std::string& account() const { return m_account; }
    [[nodiscard]] bool is_closed() const { return m_closed; }
    /// Whether a transaction is open, or was when the session ended.
    [[nodiscard]] bool is_in_transaction() const {
        return m_closed ? m_in_transaction_at_end : m_transaction.has_value();
    }
    /// Statements without an answer, now or when the session ended, and since when the oldest is served.
    [[nodiscard]] std::size_t unanswered() const {
        return m_closed ? m_unanswered_at_end : m_waiting.size();
    }
    [[nodiscard]] steady_time unanswered_since() const { return m_arrived; }
    /// Bytes of the session's values and prepared statements.
    [[nodiscard]] std::size_t kept_bytes() const { return m_kept_bytes; }

private:
    struct prepared_statement {
        std::string m_template{};
        bool m_writes{false};
    };

    struct transaction {
        bool m_read_only{false};
        bool m_failed{false};
        bool m_wrote{false};
        /// Reported for the next statement after the transaction has failed.
        result_code m_failure_code{result_code::transaction_lost};
        database_route m_route{};         ///< The route when the transaction began.
        connection_handle m_connection{}; ///< Unset before the first statement and after a failure.
        std::shared_ptr<upstream_pool> m_pool{};
    };

    void serve_next();
    void close_if_draining();
    /// Whether `current` starts an operation and the configuration here is older than required.
    [[nodiscard]] bool needs_newer_configuration(const statement& current) const;
    void process(const statement& current);
    /// Refuses a statement whose permit is not granted; returns whether it did.
    [[nodiscard]] bool refuse_without_permit(const statement& current);
    void begin(const statement& current);
    void commit(const statement& current);
    void roll_back();
    void set_value(const statement& current);
    /// Counts that `added` takes the place of `removed` in what the session keeps; refuses the statement
    /// and returns false if that were too much.
    [[nodiscard]] bool may_keep(std::size_t added, std::size_t removed);
    void prepare(const statement& current);
    void deallocate(const statement& current);
    void run(const statement& current);
    void run_autocommit(const statement& current, bool writes);
    /// Takes one operation off the account's quota. When it is used up, refuses the statement.
    [[nodiscard]] bool take_quota();
    /// Gives an operation back unless something was sent for it.
    void return_quota(const group_reply& reply);
    void run_in_transaction(const statement& current);
    /// Begins the transaction at an upstream, which gives it a connection, then runs `current`.
    void begin_then_run(const statement& current);
    void on_begin_reply(const statement& current, const group_reply& reply);
    void run_on_connection(const statement& current);
    void on_transaction_reply(const statement& current, group_reply reply);
    void on_autocommit_reply(bool writes, group_reply reply);
    void on_connection_lost();
    /// Answers the statements that are open when the session ends.
    void answer_unfinished();
    /// Gives back what the reply to a statement brings after the session has ended.
    void discard(const group_reply& reply);
    /// Returns the transaction's connection to its pool, after a ROLLBACK if required.
    void detach_connection(bool must_roll_back);
    /// Rolls back the open transaction; later statements of it are refused.
    void fail_transaction();
    [[nodiscard]] bool is_write(const statement& current) const;
    [[nodiscard]] bool has_prepared(const statement& current);
    void fill_request(group_request& request, const statement& current, const database_route& route);
    /// Lets a replica serve a read if the route's consistency level permits it.
    void allow_replicas(group_request& request, const database_route& route,
                        const group_service& group) const;
    void record_commit(const group_reply& reply);
    /// Returns the log position that a replica must hold to serve this session's reads.
    [[nodiscard]] std::optional<log_position> session_watermark(const group_service& group) const;
    void reply_success();
    void refuse(result_code code, const std::string& reason);
    void reply(answer done);
    [[nodiscard]] session_state state() const;

    std::uint64_t m_number;
    std::string m_database;
    std::string m_account;
    session_context m_context;
    outputs m_outputs;
    std::shared_ptr<const session_values> m_values;
    std::map<std::string, prepared_statement> m_prepared;
    std::size_t m_kept_bytes{0}; ///< Of m_values and m_prepared; at most max_kept_bytes.
    std::optional<transaction> m_transaction;
    std::deque<statement> m_waiting;
    bool m_busy{false};         ///< The first statement of m_waiting is being served.
    bool m_disconnected{false}; ///< No answer can reach the caller any more.
    std::uint64_t m_required_revision{0};
    std::optional<session_end> m_drain_cause; ///< Set: the session closes once nothing is open.
    /// An operation is expected next: the session was just opened, or its last
    /// statement set a value or prepared or deallocated a statement. A draining
    /// session stays open until that operation has ended.
    bool m_expects_operation{true};
    bool m_closed{false};
    std::size_t m_unanswered_at_end{0};
    bool m_in_transaction_at_end{false};
    steady_time m_last_answer_at{};      ///< Time of the last answer, or of opening the session.
    steady_time m_arrived{};             ///< Arrival time of the statement being served.
    log_position m_last_commit;          ///< Log position of the session's newest commit.
    std::uint64_t m_last_commit_term{0}; ///< Term of that commit; 0 before the first commit.
};

}
