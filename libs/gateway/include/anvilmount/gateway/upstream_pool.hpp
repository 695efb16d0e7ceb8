/// \file upstream_pool.hpp
/// This instance's connections to one upstream and the queue in front of them.
/// Work waits by rank until a slot and a connection are free; a connection
/// belongs to one transaction from its first statement to its end; in every
/// doubt it is closed, never reused.
#pragma once

#include "anvilmount/decisions/admission_queue.hpp"
#include "anvilmount/decisions/answer_time.hpp"
#include "anvilmount/decisions/pool_accounting.hpp"
#include "anvilmount/gateway/fleet.hpp"
#include "anvilmount/gateway/ports.hpp"
#include "anvilmount/observe/metrics.hpp"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace anvilmount::gateway {

class upstream_pool;

/// One connection, as its pool keeps it.
struct upstream_link {
    enum class state { connecting, idle, in_use, closed };

    std::uint64_t m_number{0};
    state m_state{state::connecting};
    upstream_channel m_channel{};
    session_values m_values{};          ///< Set at the upstream.
    std::set<std::string> m_prepared{}; ///< Names prepared at the upstream.
    int m_expected{0};                  ///< Answers not yet received.
    bool m_spoiled{false};              ///< Its values are in doubt: closed after its present use.
    steady_time m_since{};              ///< Connecting, idle or in use since then.
    /// The statement whose answer is awaited, the last of those sent; 0: none.
    std::uint64_t m_work{0};
    /// Told when the connection is lost while a transaction holds it and no answer is awaited.
    std::function<void()> m_on_lost{};
};

using link_handle = std::shared_ptr<upstream_link>;

enum class work_end {
    answered,
    not_run, ///< Never sent.
    lost     ///< Sent, and no answer came.
};

struct work_result {
    work_end m_end{work_end::not_run};
    answer m_answer{};
    link_handle m_link{}; ///< Set when answered; the receiver keeps it or gives it back.
    steady_time m_sent_at{};
    result_code m_code{result_code::queue_full}; ///< For not_run.
};

/// One statement to run.
struct pool_work {
    std::uint64_t m_caller{0};
    int m_rank{2};
    steady_time m_wait_until{};   ///< Not sent after this moment.
    steady_time m_answer_until{}; ///< Given up as lost after this moment.
    bool m_repeatable{false};     ///< May be asked elsewhere when the upstream falls silent.
    bool m_at_primary_only{false};
    link_handle m_link{};     ///< Set when a transaction holds a connection already.
    bool m_holds_link{false}; ///< Kept by the pool: a transaction held m_link before.
    std::shared_ptr<const session_values> m_values{};
    outgoing_statement m_statement{};
    std::optional<outgoing_statement> m_prepare{}; ///< Sent ahead unless the connection has it.
    std::function<void(work_result)> m_done{};
};

struct pool_limits {
    int m_connections{2}; ///< Of this instance.
    int m_parallel{2};    ///< Statements that this instance runs there at once, but for the most urgent.
    int m_warm{1};        ///< Idle connections kept at hand.
};

class upstream_pool {
public:
    upstream_pool(upstream_entry entry, pool_limits limits, const clock_port& clock,
                  const upstream_connector& connector, metrics& counters);
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    [[nodiscard]] const upstream_entry& entry() const { return m_entry; }
    void set_entry(const upstream_entry& entry) { m_entry = entry; }
    void set_limits(pool_limits limits);

    /// Queues `work`; its m_done is called exactly once, never from within submit().
    void submit(pool_work work);

    /// Ends a transaction's hold. The connection must be outside a transaction.
    void give_back(const link_handle& link);

    /// Gives back a connection whose last answer left it in `state`; closes it when a transaction is open.
    void give_back_or_close(const link_handle& link, session_state state);

    /// Rolls back at the upstream and then reuses the connection.
    void roll_back(const link_handle& link);

    void close(const link_handle& link);

    /// Closes what transactions hold or what awaits an answer: both are lost.
    void close_busy();

    /// Ends all use: the upstream has started again or left its address.
    void retire();

    /// Refuses all waiting work as not run.
    void refuse_waiting(result_code code);

    /// Refuses what waited too long, gives up what the upstream left unanswered.
    void tick();

    /// Sends a statement of the gateway itself, ahead of the queue. `done` gets
    /// nothing when no answer came; it may be called from within.
    void ask_directly(const outgoing_statement& question, std::function<void(std::optional<answer>)> done);

    /// Unset while the upstream answers; else since when it has not.
    [[nodiscard]] std::optional<steady_time> failing_since() const { return m_failing_since; }
    [[nodiscard]] bool refuses_connections() const { return m_refusals >= refusals_that_count; }
    [[nodiscard]] bool is_other_upstream() const { return m_wrong_upstream; }
    [[nodiscard]] int in_progress() const { return m_queue.running() + m_queue.waiting(); }
    /// How long new work of `rank` will probably wait until it is sent.
    [[nodiscard]] milliseconds expected_wait(int rank) const;

    /// When the upstream last sent anything.
    [[nodiscard]] steady_time heard_at() const { return m_heard_at; }
    [[nodiscard]] int running_at_primary() const;
    [[nodiscard]] int held_links() const;
    [[nodiscard]] int parallel() const { return m_limits.m_parallel; }
    [[nodiscard]] microseconds answer_time() const { return m_answer_time.at(m_clock.m_now()); }
    [[nodiscard]] std::optional<log_position> position() const { return m_position; }
    [[nodiscard]] const pool_accounting& connections() const { return m_accounting; }

private:
    static constexpr int refusals_that_count = 2;

    struct own_question {
        outgoing_statement m_statement{};
        std::function<void(std::optional<answer>)> m_done{};
        steady_time m_since{};
    };

    void ask_next();
    void give_up_questions(steady_time asked_before);
    void open_links();
    void start_link();
    void on_ready(const link_handle& link);
    void on_connect_failed(const link_handle& link, connect_failure why);
    void on_answer(const link_handle& link, answer reply);
    void on_lost(const link_handle& link);
    void note_heard();
    void note_failing(const char* sign);
    void dispatch();
    link_handle take_idle(const session_values& wanted);
    void send(const link_handle& link, std::uint64_t work_id, pool_work& work);
    void finish(std::uint64_t work_id, work_result result);
    void drop(const link_handle& link, bool was_idle);
    void fail_awaited(const link_handle& link);
    void close_idle();
    void give_up_answer(const link_handle& link);
    void note_silent();
    void close_silent_links();

    upstream_entry m_entry;
    pool_limits m_limits;
    const clock_port& m_clock;
    const upstream_connector& m_connector;
    metrics& m_metrics;
    admission_queue m_queue;
    pool_accounting m_accounting;
    std::map<std::uint64_t, pool_work> m_work;      ///< Waiting or running.
    std::map<std::uint64_t, steady_time> m_running; ///< Work whose answer is awaited: sent when.
    std::map<std::uint64_t, std::function<void(std::optional<answer>)>> m_questions;
    std::deque<own_question> m_unasked; ///< Waiting for an idle connection.
    std::list<link_handle> m_links;
    std::deque<link_handle> m_idle; ///< Most recently used last.
    std::uint64_t m_next_number{1};
    answer_time_estimate m_answer_time;
    std::optional<log_position> m_position;
    steady_time m_heard_at{};
    std::optional<steady_time> m_failing_since;
    int m_refusals{0}; ///< Refused connects in a row.
    bool m_wrong_upstream{false};
    bool m_retired{false};
    std::shared_ptr<bool> m_alive; ///< Cleared by the destructor, for deferred calls.
};

}
