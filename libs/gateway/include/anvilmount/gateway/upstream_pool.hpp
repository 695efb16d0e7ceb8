/// \file upstream_pool.hpp
/// The connection pool of this instance for one upstream, with an admission queue.
/// Work waits in order of rank until a slot and a connection are free. A transaction
/// holds its connection from its first statement to its end. A connection whose
/// state is uncertain is closed, never reused. A connection that does not have the
/// session values and prepared statements that a statement needs is set up first, and
/// the statement follows once the upstream has acknowledged all of it: behind a setup
/// that fails it would run with the values of another caller. A connection serves the
/// statements of one client account; work whose account has no idle connection keeps its slot while
/// one is opened for it, if need be in the place of the connection idle for longest.
#pragma once

#include "anvilmount/decisions/admission.hpp"
#include "anvilmount/decisions/answer_time.hpp"
#include "anvilmount/decisions/connection_session.hpp"
#include "anvilmount/decisions/pool_accounting.hpp"
#include "anvilmount/decisions/upstream_outcomes.hpp"
#include "anvilmount/gateway/fleet.hpp"
#include "anvilmount/gateway/ports.hpp"
#include "anvilmount/observe/metrics.hpp"

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmount::gateway {

class upstream_pool;

/// A connection of an upstream_pool.
struct pooled_connection {
    enum class state { connecting, idle, in_use, closed };

    std::uint64_t m_number{0};
    std::string m_account{}; ///< The only client account whose statements it serves; empty: none.
    state m_state{state::connecting};
    upstream_channel m_channel{};
    connection_session m_session{};
    int m_pending_answers{0};         ///< Statements sent and not yet answered.
    std::deque<setup_step> m_setup{}; ///< Steps among them; all precede the other statements.
    bool m_setup_failed{false};       ///< One of the steps sent last failed.
    /// When the connection began to connect, became idle, or sent an internal statement.
    steady_time m_since{};
    /// The work that the connection is set up for, or whose answer is expected as the last of the pending
    /// answers; 0 if none.
    std::uint64_t m_work_id{0};
    /// Called when the connection is lost between two statements of the transaction that holds it.
    std::function<void()> m_on_lost{};
};

/// Shared by the pool and by the transaction that holds the connection.
using connection_handle = std::shared_ptr<pooled_connection>;

/// Why this end closes a connection.
enum class connection_end {
    idle,             ///< Unused for a while, and more than the minimum is open.
    replaced,         ///< Idle, and another account's work needs its place.
    unresponsive,     ///< The upstream answers nothing.
    primary_released, ///< The upstream ceases to be the primary.
    upstream_gone,    ///< The upstream has restarted or moved.
    state_uncertain   ///< The state of its session is not known to be clean.
};

[[nodiscard]] std::string_view name_of(connection_end cause);

/// What became of a statement.
enum class work_outcome {
    answered,
    not_run, ///< The statement was never sent.
    lost     ///< Sent, but no answer was received: the statement may have run.
};

/// The result of a pool_work.
struct work_result {
    work_outcome m_outcome{work_outcome::not_run};
    answer m_answer{};
    /// Set when answered; the receiver holds the connection until it releases or closes it.
    connection_handle m_connection{};
    steady_time m_sent_at{};
    result_code m_code{result_code::queue_full}; ///< For not_run: the reason.
    std::string_view m_lost_by{}; ///< For lost: connection_lost, deadline, or a connection_end.
};

/// One statement to run at the upstream.
struct pool_work {
    std::uint64_t m_caller{0};
    std::string m_account{}; ///< Client account; empty without one.
    int m_rank{2};
    steady_time m_target_time{};      ///< An answer after this time misses the latency target.
    steady_time m_send_deadline{};    ///< Refused as not_run if not sent by then.
    steady_time m_answer_deadline{};  ///< Reported as lost if not answered by then.
    bool m_retryable{false};          ///< May be retried elsewhere when the upstream stops responding.
    bool m_primary_only{false};       ///< Only the primary may run it; counted by running_at_primary().
    connection_handle m_connection{}; ///< Set when a transaction already holds a connection.
    bool m_had_connection{false};     ///< Set by the pool: a transaction held m_connection already.
    microseconds m_expected_work{0};  ///< Set by the pool: slot time that its account is charged at first.
    std::shared_ptr<const session_values> m_values{};
    outgoing_statement m_statement{};
    /// Sent before m_statement unless it is already prepared on the connection.
    std::optional<outgoing_statement> m_prepare{};
    std::function<void(work_result)> m_done{};
};

/// Limits of an upstream_pool.
struct pool_limits {
    int m_connections{2};   ///< Connections that this instance may open.
    int m_max_in_flight{2}; ///< Concurrent statements of this instance; the most urgent rank may exceed it.
    int m_min_idle{1};      ///< Idle connections that are kept open.
    milliseconds m_drain_limit{0};                      ///< See drain_window.hpp.
    std::array<rank_order, rank_count> m_rank_orders{}; ///< Index: rank - 1.
};

/// Runs statements at one upstream; see the file comment. Not thread-safe.
class upstream_pool {
public:
    upstream_pool(upstream_entry entry, pool_limits limits, const clock_port& clock,
                  const upstream_connector& connector, metrics& counters);
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    [[nodiscard]] const upstream_entry& entry() const { return m_entry; }
    void set_entry(const upstream_entry& entry) { m_entry = entry; }
    /// Whether the upstream may get work outside open transactions: it is not drained.
    [[nodiscard]] bool accepts_new_work() const;
    void set_limits(pool_limits limits);
    /// Records the outcomes of this pool's work in `outcomes`; null: nowhere.
    void record_outcomes_in(std::shared_ptr<upstream_outcomes> outcomes) {
        m_outcomes = std::move(outcomes);
    }

    /// Queues `work`; its m_done is called exactly once, never before submit() returns.
    void submit(pool_work work);

    /// Returns a connection to the pool. It must have no open transaction.
    void release_connection(const connection_handle& connection);

    /// Returns a connection to the pool if `state`, as its last answer left it, is idle;
    /// closes it otherwise.
    void release_or_close(const connection_handle& connection, session_state state);

    /// Sends ROLLBACK and returns the connection to the pool once it is answered.
    void roll_back_and_release(const connection_handle& connection);

    /// Closes a connection; work that awaits an answer on it is reported as lost.
    void close(const connection_handle& connection, connection_end cause = connection_end::state_uncertain);

    /// Closes the connections that are held by a transaction or await an answer.
    void close_in_use(connection_end cause);

    /// Ends all use of the pool: the upstream has restarted or moved to another address.
    void retire();

    /// Refuses all queued work as not_run, but for that of open transactions if `spares_transactions`.
    void refuse_waiting(result_code code, bool spares_transactions = false);

    /// Refuses work that has waited too long and times out unanswered work; to be called
    /// every few milliseconds.
    void tick();

    /// Sends a statement of the gateway itself, ahead of queued work. `done` gets an unset
    /// value if no answer was received; it may be called before this function returns.
    void send_internal(const outgoing_statement& outgoing, std::function<void(std::optional<answer>)> done);

    /// Since when the upstream has not answered; unset while it answers.
    [[nodiscard]] std::optional<steady_time> failing_since() const { return m_failing_since; }
    /// Whether consecutive connects were refused, so that probably no process listens.
    [[nodiscard]] bool refuses_connections() const { return m_consecutive_refusals >= refusal_threshold; }
    /// Whether a different upstream was found at the address.
    [[nodiscard]] bool is_wrong_upstream() const { return m_wrong_upstream; }
    /// Number of statements that run or wait.
    [[nodiscard]] int in_progress() const { return m_queue.running() + m_queue.waiting(); }
    /// Estimates how long new work waits until it is sent. The account and the target time matter
    /// only where the rank is ordered by them.
    [[nodiscard]] milliseconds expected_wait(int rank, const std::string& account = {},
                                             steady_time target_time = {}) const;

    /// When the upstream last answered or accepted a connection.
    [[nodiscard]] steady_time last_response_at() const { return m_last_response_at; }
    /// Number of running statements that only the primary may serve.
    [[nodiscard]] int running_at_primary() const;
    /// Number of connections that are held by a transaction or await an answer.
    [[nodiscard]] int connections_in_use() const;
    [[nodiscard]] int max_in_flight() const { return m_limits.m_max_in_flight; }
    /// Smoothed answer time of the upstream; 0 before the first answer.
    [[nodiscard]] microseconds answer_time() const { return m_answer_time.at(m_clock.m_now()); }
    /// Newest known end of the upstream's log.
    [[nodiscard]] std::optional<log_position> position() const { return m_position; }
    [[nodiscard]] const pool_accounting& connections() const { return m_accounting; }

private:
    /// Consecutive refused connects after which refuses_connections() holds.
    static constexpr int refusal_threshold = 2;

    /// A statement that the gateway itself sends.
    struct internal_statement {
        outgoing_statement m_statement{};
        std::function<void(std::optional<answer>)> m_done{};
        steady_time m_since{};
    };

    /// The queue's view of new work.
    [[nodiscard]] admission_ticket ticket_for(int rank, const std::string& account,
                                              steady_time target_time) const;
    void send_next_internal();
    /// Fails internal statements that have waited for a connection since `queued_before` or earlier.
    void expire_internal(steady_time queued_before);
    /// Opens as many connections as the waiting work and the limits allow.
    void open_connections();
    void start_connection(const std::string& account);
    /// As open_connections(), when work belongs to client accounts: opens connections for the work in
    /// m_awaiting_connection, and beyond these only what the instance's own statements need.
    void open_account_connections();
    /// Whether a connection can be had for one more work, be it opened for it.
    [[nodiscard]] bool can_provide_connection() const;
    /// Returns how many of the works in m_awaiting_connection have no connection opening for them.
    [[nodiscard]] int uncovered_work() const;
    /// Returns for which accounts connections have to be opened, one entry each.
    [[nodiscard]] std::vector<std::string> uncovered_accounts() const;
    /// Sends work that awaits a connection on those that have become idle.
    void serve_awaiting();
    void on_ready(const connection_handle& connection);
    void on_connect_failed(const connection_handle& connection, connect_failure cause);
    void on_answer(const connection_handle& connection, answer reply);
    void on_lost(const connection_handle& connection);
    void record_outcome(std::uint64_t work_id, work_sign sign);
    void record_answer(std::uint64_t work_id, const answer& reply);
    void record_response();
    void mark_failing(const char* reason);
    /// Sends waiting work as long as slots and connections are free.
    void dispatch();
    /// Takes an idle connection of the work's account that has not ended; null if there is none.
    connection_handle acquire_idle(const pool_work& work);
    /// Returns the idle connection of the work's account that needs the least setup for it.
    [[nodiscard]] connection_handle choose_idle(const pool_work& work) const;
    void take_idle(const connection_handle& connection);
    /// Removes a connection without open statements if its end or an unexpected message has arrived, and
    /// returns whether it did. Asked before each use, reads and internal statements included: a system call
    /// costs little beside the send, and a stray message would be taken for the answer.
    bool drop_if_ended(const connection_handle& connection);
    /// Sends the work, or first the setup that the connection needs for it.
    void send(const connection_handle& connection, std::uint64_t work_id, pool_work& work);
    void send_setup(const connection_handle& connection, const pool_work& work,
                    const std::vector<setup_step>& steps);
    void send_statement(const connection_handle& connection, std::uint64_t work_id, const pool_work& work);
    void on_setup_answer(const connection_handle& connection, const answer& reply);
    /// Sends the statement that the connection was set up for, or reports it as not run.
    void finish_setup(const connection_handle& connection, const answer& last_reply);
    /// Passes an answer to the work or the handler that awaits it.
    void deliver_answer(const connection_handle& connection, answer reply);
    /// Whether the work that holds the connection has not been sent yet.
    [[nodiscard]] bool is_setting_up(const connection_handle& connection) const {
        return connection->m_work_id != 0 && !connection->m_setup.empty();
    }
    void finish(std::uint64_t work_id, work_result result);
    /// Removes a closed or lost connection from the pool.
    void discard(const connection_handle& connection, bool was_idle);
    /// Reports the loss of a connection to whoever awaits an answer on it or holds it.
    void fail_pending(const connection_handle& connection, std::string_view cause);
    void close_idle(connection_end cause);
    /// Reports work whose deadline has passed as lost but keeps its connection open.
    void abandon_answer(const connection_handle& connection);
    void mark_unresponsive();
    /// If the upstream has not responded within the response timeout, closes connections whose
    /// work is retryable or past its deadline. Otherwise abandons answers past their deadline.
    void close_unresponsive();

    upstream_entry m_entry;
    pool_limits m_limits;
    const clock_port& m_clock;
    const upstream_connector& m_connector;
    metrics& m_metrics;
    admission_queue m_queue;
    pool_accounting m_accounting;
    std::map<std::uint64_t, pool_work> m_work;      ///< Work that waits or runs, by work id.
    std::map<std::uint64_t, steady_time> m_running; ///< When each running work was sent, by work id.
    /// Work that holds a slot and awaits a connection of its account, oldest first. Without client
    /// accounts: work for which the connections that looked idle turned out to have ended.
    std::deque<std::uint64_t> m_awaiting_connection;
    /// Set by the first work of a client account, for good.
    bool m_serves_accounts{false};
    /// Receivers of answers that belong to no queued work (internal statements, rollbacks and
    /// answers after their deadline), by connection number.
    std::map<std::uint64_t, std::function<void(std::optional<answer>)>> m_reply_handlers;
    std::deque<internal_statement> m_internal_queue; ///< Waiting for an idle connection.
    std::list<connection_handle> m_open_connections; ///< Connecting, idle and in use.
    std::deque<connection_handle> m_idle;            ///< Most recently used last.
    std::uint64_t m_next_number{1};
    std::shared_ptr<upstream_outcomes> m_outcomes; ///< Null: not recorded.
    answer_time_estimate m_answer_time;
    std::optional<log_position> m_position;
    steady_time m_last_response_at{};
    std::optional<steady_time> m_failing_since;
    int m_consecutive_refusals{0}; ///< Since the last response.
    bool m_wrong_upstream{false};
    bool m_retired{false};
    std::shared_ptr<bool> m_alive; ///< Set to false by the destructor; checked by deferred calls.
};

}
