/// \file upstream_pool.cpp
/// Dispatches queued work to connections, opens and closes connections as needed, and
/// detects an upstream that refuses connections or stops responding.
#include "anvilmount/gateway/upstream_pool.hpp"

#include "anvilmount/base/failure.hpp"
#include "anvilmount/decisions/drain_window.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// An upstream that answers nothing for this long counts as unresponsive. The value is several
/// times the usual longest statement and well below the timeouts of callers.
constexpr milliseconds response_timeout{600};

/// A connect usually takes about 12 ms; lost packets are retransmitted within a second.
constexpr milliseconds connect_timeout{1200};

/// Shorter timeout for a failing upstream, so that its recovery is noticed sooner.
constexpr milliseconds failing_connect_timeout{450};

/// Lower bound in estimates of waiting times; used before the first measurement.
constexpr microseconds min_answer_time{5000};

/// Slots reserved for the most urgent rank, so that it never waits for less urgent ones.
constexpr int urgent_slots = 2;

/// Idle connections beyond the minimum are closed after this time. If an instance
/// loses power, the upstreams keep all of its connections for another 3 s.
constexpr milliseconds excess_idle_timeout{3000};

/// Work that was given up sooner after it was sent does not tell whether the upstream would have answered.
constexpr milliseconds min_unanswered_time{100};

constexpr milliseconds initial_connect_backoff{40};
constexpr milliseconds max_connect_backoff{300};

admission_options queue_options(const pool_limits& limits) {
    const int slots = limits.m_max_in_flight + urgent_slots;
    const double ordinary_share = static_cast<double>(limits.m_max_in_flight) / slots;
    return {
        .m_slots = slots,
        .m_ranks = {rank_spec{.m_floor = 0.0, .m_greatest_share = 1.0, .m_queue_limit = 500},
                    rank_spec{.m_floor = 0.1, .m_greatest_share = ordinary_share, .m_queue_limit = 500},
                    rank_spec{.m_floor = 0.02, .m_greatest_share = ordinary_share, .m_queue_limit = 200}},
        .m_orders = limits.m_rank_orders};
}

session_needs needs_of(const pool_work& work) {
    return {.m_values = work.m_values.get(),
            .m_prepared = work.m_prepare ? &work.m_prepare->m_name : nullptr};
}

/// Returns the statement of a setup step for `work`.
outgoing_statement setup_statement(const setup_step& step, const pool_work& work) {
    switch (step.m_kind) {
    case setup_step::kind::reset:
        return {.m_kind = outgoing_statement::kind::reset};
    case setup_step::kind::set_value:
        return {.m_kind = outgoing_statement::kind::set_value,
                .m_name = step.m_name,
                .m_argument = step.m_value};
    case setup_step::kind::prepare:
        break;
    }
    return *work.m_prepare;
}

std::string_view name_of(setup_step::kind kind) {
    switch (kind) {
    case setup_step::kind::reset:
        return "reset";
    case setup_step::kind::set_value:
        return "set_value";
    case setup_step::kind::prepare:
        break;
    }
    return "prepare";
}

pool_options connection_options(int limit, int min_idle) {
    return {.m_limit = limit,
            .m_min_idle = min_idle,
            .m_idle_timeout = excess_idle_timeout,
            .m_initial_backoff = initial_connect_backoff,
            .m_max_backoff = max_connect_backoff};
}

}

std::string_view name_of(connection_end cause) {
    switch (cause) {
    case connection_end::idle:
        return "idle";
    case connection_end::replaced:
        return "replaced";
    case connection_end::unresponsive:
        return "unresponsive";
    case connection_end::primary_released:
        return "primary_released";
    case connection_end::upstream_gone:
        return "upstream_gone";
    case connection_end::state_uncertain:
        break;
    }
    return "state_uncertain";
}

upstream_pool::upstream_pool(upstream_entry entry, pool_limits limits, const clock_port& clock,
                             const upstream_connector& connector, metrics& counters)
    : m_entry(std::move(entry)), m_limits(limits), m_clock(clock), m_connector(connector),
      m_metrics(counters), m_queue(queue_options(limits)),
      m_accounting(connection_options(limits.m_connections, limits.m_min_idle)),
      m_last_response_at(clock.m_now()), m_alive(std::make_shared<bool>(true)) {
    open_connections();
}

bool upstream_pool::accepts_new_work() const {
    return anvilmount::accepts_new_work(
        {.m_is_leaving = m_entry.m_leaving, .m_earliest = m_entry.m_leaving_since}, m_limits.m_drain_limit,
        m_clock.m_now());
}

upstream_pool::~upstream_pool() {
    *m_alive = false;
    for (const connection_handle& connection : m_open_connections) {
        if (connection->m_channel.m_close) {
            connection->m_channel.m_close();
        }
        connection->m_state = pooled_connection::state::closed;
    }
}

void upstream_pool::set_limits(pool_limits limits) {
    m_limits = limits;
    m_queue.set_options(queue_options(limits));
    m_accounting.set_options(connection_options(limits.m_connections, limits.m_min_idle));
}

void upstream_pool::submit(pool_work work) {
    const std::uint64_t id = m_next_number++;
    admission_ticket ticket = ticket_for(work.m_rank, work.m_account, work.m_target_time);
    ticket.m_id = id;
    ticket.m_caller = work.m_caller;
    ticket.m_holds_connection = work.m_connection != nullptr;
    ticket.m_deadline = work.m_send_deadline;
    work.m_expected_work = ticket.m_expected_work;
    m_serves_accounts = m_serves_accounts || !work.m_account.empty();
    m_work.emplace(id, std::move(work));
    if (const auto displaced = m_queue.make_room(ticket)) {
        m_metrics.count("statements_displaced");
        m_clock.m_after(milliseconds{0}, [this, displaced_id = displaced->m_id, alive = m_alive] {
            if (*alive) {
                finish(displaced_id, {.m_outcome = work_outcome::not_run});
            }
        });
    }
    const bool queued = m_queue.enqueue(ticket) == enqueue_result::queued;
    m_clock.m_after(milliseconds{0}, [this, id, queued, alive = m_alive] {
        if (!*alive) {
            return;
        }
        if (!queued) {
            finish(id, {.m_outcome = work_outcome::not_run});
        }
        dispatch();
    });
}

admission_ticket upstream_pool::ticket_for(int rank, const std::string& account,
                                           steady_time target_time) const {
    const microseconds work = std::max(answer_time(), min_answer_time);
    return {.m_rank = rank,
            .m_account = account,
            .m_latest_start = target_time - work,
            .m_expected_work = work};
}

void upstream_pool::dispatch() {
    while (!m_internal_queue.empty() && !m_idle.empty()) {
        if (!drop_if_ended(connection_handle(m_idle.back()))) {
            send_next_internal();
        }
    }
    serve_awaiting();
    for (;;) {
        const auto ticket = m_queue.next(can_provide_connection(), m_clock.m_now());
        if (!ticket) {
            break;
        }
        const auto found = m_work.find(ticket->m_id);
        internal_check(found != m_work.end(), "each queued ticket has an entry in m_work");
        pool_work& work = found->second;
        if (work.m_connection && (work.m_connection->m_state == pooled_connection::state::closed ||
                                  drop_if_ended(work.m_connection))) {
            m_queue.release(*ticket, microseconds{0});
            finish(ticket->m_id,
                   {.m_outcome = work_outcome::not_run, .m_code = result_code::transaction_lost});
            continue;
        }
        work.m_had_connection = work.m_connection != nullptr;
        const connection_handle connection = work.m_connection ? work.m_connection : acquire_idle(work);
        if (!connection) {
            m_awaiting_connection.push_back(ticket->m_id);
            open_account_connections();
            continue;
        }
        send(connection, ticket->m_id, work);
    }
    open_connections();
}

bool upstream_pool::can_provide_connection() const {
    const int uncovered = uncovered_work();
    const steady_time now = m_clock.m_now();
    const int available = m_accounting.idle() + (m_serves_accounts ? m_accounting.room(now) : 0);
    return available > uncovered;
}

std::vector<std::string> upstream_pool::uncovered_accounts() const {
    std::map<std::string, int> opening;
    for (const connection_handle& connection : m_open_connections) {
        if (connection->m_state == pooled_connection::state::connecting) {
            ++opening[connection->m_account];
        }
    }
    std::vector<std::string> uncovered;
    for (const std::uint64_t id : m_awaiting_connection) {
        const std::string& account = m_work.at(id).m_account;
        if (opening[account]-- <= 0) {
            uncovered.push_back(account);
        }
    }
    return uncovered;
}

int upstream_pool::uncovered_work() const {
    return m_awaiting_connection.empty() ? 0 : static_cast<int>(uncovered_accounts().size());
}

void upstream_pool::serve_awaiting() {
    const std::deque<std::uint64_t> awaiting = m_awaiting_connection;
    for (const std::uint64_t id : awaiting) {
        const auto work = m_work.find(id);
        if (work == m_work.end()) {
            continue;
        }
        if (const connection_handle connection = acquire_idle(work->second)) {
            std::erase(m_awaiting_connection, id);
            send(connection, id, work->second);
        }
    }
}

connection_handle upstream_pool::acquire_idle(const pool_work& work) {
    connection_handle connection = choose_idle(work);
    while (connection && drop_if_ended(connection)) {
        connection = choose_idle(work);
    }
    if (connection) {
        take_idle(connection);
    }
    return connection;
}

connection_handle upstream_pool::choose_idle(const pool_work& work) const {
    const session_needs needs = needs_of(work);
    connection_handle chosen;
    setup_distance least = setup_distance::reset;
    for (auto each = m_idle.rbegin(); each != m_idle.rend(); ++each) {
        if ((*each)->m_account != work.m_account) {
            continue;
        }
        const setup_distance distance = (*each)->m_session.distance_to(needs);
        // The connection to clear is the one used longest ago: the others' sessions come back sooner.
        const bool is_cleared = distance == setup_distance::reset && least == setup_distance::reset;
        if (distance < least || is_cleared) {
            chosen = *each;
            least = distance;
        }
        if (least == setup_distance::none) {
            break;
        }
    }
    return chosen;
}

void upstream_pool::take_idle(const connection_handle& connection) {
    std::erase(m_idle, connection);
    m_accounting.record_acquired();
    connection->m_state = pooled_connection::state::in_use;
}

bool upstream_pool::drop_if_ended(const connection_handle& connection) {
    // Open statements may be answered at any time.
    if (connection->m_pending_answers > 0 || !connection->m_channel.m_has_unreported_input()) {
        return false;
    }
    m_metrics.count("upstream_connections_lost");
    connection->m_channel.m_close();
    discard(connection, connection->m_state == pooled_connection::state::idle);
    return true;
}

void upstream_pool::send(const connection_handle& connection, std::uint64_t work_id, pool_work& work) {
    connection->m_work_id = work_id;
    m_running[work_id] = m_clock.m_now();
    work.m_connection = connection;
    const std::vector<setup_step> steps = connection->m_session.steps_to(needs_of(work));
    if (steps.empty()) {
        send_statement(connection, work_id, work);
    } else {
        send_setup(connection, work, steps);
    }
}

void upstream_pool::send_setup(const connection_handle& connection, const pool_work& work,
                               const std::vector<setup_step>& steps) {
    m_metrics.count("connection_setups");
    std::vector<outgoing_statement> batch;
    for (const setup_step& each : steps) {
        connection->m_session.record_sent(each);
        batch.push_back(setup_statement(each, work));
    }
    connection->m_setup.assign(steps.begin(), steps.end());
    connection->m_setup_failed = false;
    connection->m_pending_answers += static_cast<int>(batch.size());
    connection->m_channel.m_send(batch);
}

void upstream_pool::send_statement(const connection_handle& connection, std::uint64_t work_id,
                                   const pool_work& work) {
    m_running[work_id] = m_clock.m_now();
    ++connection->m_pending_answers;
    connection->m_channel.m_send({work.m_statement});
}

void upstream_pool::on_setup_answer(const connection_handle& connection, const answer& reply) {
    const setup_step step = std::move(connection->m_setup.front());
    connection->m_setup.pop_front();
    connection->m_session.record_answered(step, reply.succeeded());
    if (!reply.succeeded()) {
        connection->m_setup_failed = true;
        m_metrics.count("connection_setup_failures");
        log_event(log_level::warning, "upstream.preparation_failed",
                  {{"upstream", m_entry.m_id.m_text},
                   {"step", std::string(name_of(step.m_kind))},
                   {"code", std::to_string(number_of(reply.m_code))},
                   {"reason", reply.m_reason}});
    }
    if (!connection->m_setup.empty() || connection->m_pending_answers > 0) {
        return;
    }
    if (connection->m_work_id == 0) {
        deliver_answer(connection, reply);
    } else {
        finish_setup(connection, reply);
    }
}

void upstream_pool::finish_setup(const connection_handle& connection, const answer& last_reply) {
    const std::uint64_t work_id = connection->m_work_id;
    const pool_work& work = m_work.at(work_id);
    const session_state needed =
        work.m_had_connection ? session_state::in_transaction : session_state::idle;
    const bool has_state = last_reply.m_state == needed;
    if (!connection->m_setup_failed && has_state && m_clock.m_now() < work.m_send_deadline) {
        send_statement(connection, work_id, work);
        return;
    }
    if (connection->m_setup_failed) {
        record_outcome(work_id, work_sign::failed);
    }
    connection->m_work_id = 0;
    const bool had_connection = work.m_had_connection;
    finish(work_id,
           {.m_outcome = work_outcome::not_run,
            .m_code = had_connection ? result_code::transaction_lost : result_code::upstream_unavailable});
    // A transaction that holds the connection ends it.
    if (!had_connection) {
        release_or_close(connection, last_reply.m_state);
    }
    dispatch();
}

void upstream_pool::finish(std::uint64_t work_id, work_result result) {
    const auto found = m_work.find(work_id);
    if (found == m_work.end()) {
        return;
    }
    const pool_work work = std::move(found->second);
    m_work.erase(found);
    const admission_ticket ticket{
        .m_rank = work.m_rank, .m_account = work.m_account, .m_expected_work = work.m_expected_work};
    if (std::erase(m_awaiting_connection, work_id) > 0) {
        m_queue.release(ticket, microseconds{0});
    }
    const auto running = m_running.find(work_id);
    if (running != m_running.end()) {
        result.m_sent_at = running->second;
        m_running.erase(running);
        m_queue.release(ticket,
                        std::chrono::duration_cast<microseconds>(m_clock.m_now() - result.m_sent_at));
    }
    work.m_done(std::move(result));
}

void upstream_pool::release_connection(const connection_handle& connection) {
    if (connection->m_state != pooled_connection::state::in_use) {
        return;
    }
    connection->m_on_lost = nullptr;
    connection->m_state = pooled_connection::state::idle;
    connection->m_since = m_clock.m_now();
    m_accounting.record_released();
    m_idle.push_back(connection);
    dispatch();
}

void upstream_pool::release_or_close(const connection_handle& connection, session_state state) {
    if (state == session_state::idle) {
        release_connection(connection);
    } else {
        close(connection);
    }
}

void upstream_pool::roll_back_and_release(const connection_handle& connection) {
    if (connection->m_state != pooled_connection::state::in_use) {
        return;
    }
    connection->m_on_lost = nullptr;
    m_reply_handlers[connection->m_number] = [this, connection](const std::optional<answer>& reply) {
        if (reply && reply->m_state == session_state::idle) {
            release_connection(connection);
        } else {
            close(connection);
        }
    };
    ++connection->m_pending_answers;
    connection->m_since = m_clock.m_now();
    connection->m_channel.m_send({{.m_kind = outgoing_statement::kind::rollback}});
}

void upstream_pool::send_internal(const outgoing_statement& outgoing,
                                  std::function<void(std::optional<answer>)> done) {
    m_internal_queue.push_back(
        {.m_statement = outgoing, .m_done = std::move(done), .m_since = m_clock.m_now()});
    dispatch();
}

void upstream_pool::send_next_internal() {
    const connection_handle connection = m_idle.back();
    take_idle(connection);
    connection->m_since = m_clock.m_now();
    internal_statement next = std::move(m_internal_queue.front());
    m_internal_queue.pop_front();
    m_reply_handlers[connection->m_number] = [this, connection,
                                              done = std::move(next.m_done)](std::optional<answer> reply) {
        const session_state state = reply ? reply->m_state : session_state::failed;
        done(std::move(reply));
        release_or_close(connection, state);
    };
    ++connection->m_pending_answers;
    connection->m_channel.m_send({next.m_statement});
}

void upstream_pool::expire_internal(steady_time queued_before) {
    while (!m_internal_queue.empty() && m_internal_queue.front().m_since <= queued_before) {
        const auto done = std::move(m_internal_queue.front().m_done);
        m_internal_queue.pop_front();
        done(std::nullopt);
    }
}

void upstream_pool::close(const connection_handle& connection, connection_end cause) {
    if (connection->m_state == pooled_connection::state::closed) {
        return;
    }
    const std::string_view name = name_of(cause);
    m_metrics.count("upstream_connections_closed_" + std::string(name));
    const bool was_idle = connection->m_state == pooled_connection::state::idle;
    const bool was_connecting = connection->m_state == pooled_connection::state::connecting;
    connection->m_channel.m_close();
    if (was_connecting) {
        m_accounting.record_open_failed(m_clock.m_now(), 0);
        connection->m_state = pooled_connection::state::closed;
        m_open_connections.remove(connection);
        return;
    }
    discard(connection, was_idle);
    fail_pending(connection, name);
}

void upstream_pool::discard(const connection_handle& connection, bool was_idle) {
    connection->m_state = pooled_connection::state::closed;
    if (was_idle) {
        m_accounting.record_closed_idle();
        std::erase(m_idle, connection);
    } else {
        m_accounting.record_closed_busy();
    }
    m_open_connections.remove(connection);
}

void upstream_pool::fail_pending(const connection_handle& connection, std::string_view cause) {
    const auto handler = m_reply_handlers.find(connection->m_number);
    if (handler != m_reply_handlers.end()) {
        const auto done = std::move(handler->second);
        m_reply_handlers.erase(handler);
        done(std::nullopt);
    }
    if (is_setting_up(connection)) {
        const std::uint64_t work_id = std::exchange(connection->m_work_id, 0);
        const bool had_connection = m_work.at(work_id).m_had_connection;
        finish(work_id, {.m_outcome = work_outcome::not_run,
                         .m_code = had_connection ? result_code::transaction_lost
                                                  : result_code::upstream_unavailable});
    } else if (connection->m_work_id != 0) {
        const std::uint64_t work_id = std::exchange(connection->m_work_id, 0);
        finish(
            work_id,
            {.m_outcome = work_outcome::lost, .m_code = result_code::outcome_unknown, .m_lost_by = cause});
    } else if (connection->m_on_lost) {
        const auto notify = std::exchange(connection->m_on_lost, nullptr);
        notify();
    }
}

void upstream_pool::close_in_use(connection_end cause) {
    const std::vector<connection_handle> handles(m_open_connections.begin(), m_open_connections.end());
    for (const connection_handle& connection : handles) {
        if (connection->m_state == pooled_connection::state::in_use) {
            close(connection, cause);
        }
    }
    open_connections();
}

void upstream_pool::close_idle(connection_end cause) {
    const std::deque<connection_handle> idle = m_idle;
    for (const connection_handle& connection : idle) {
        close(connection, cause);
    }
}

void upstream_pool::retire() {
    m_retired = true;
    refuse_waiting(result_code::upstream_unavailable);
    close_in_use(connection_end::upstream_gone);
}

void upstream_pool::refuse_waiting(result_code code, bool spares_transactions) {
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, work] : m_work) {
        if (!m_running.contains(id) && !(spares_transactions && work.m_connection)) {
            waiting.push_back(id);
        }
    }
    for (const std::uint64_t id : waiting) {
        const bool awaits_connection = std::find(m_awaiting_connection.begin(), m_awaiting_connection.end(),
                                                 id) != m_awaiting_connection.end();
        if (awaits_connection || m_queue.remove(id)) {
            finish(id, {.m_outcome = work_outcome::not_run, .m_code = code});
        }
    }
}

void upstream_pool::open_connections() {
    if (m_wrong_upstream || m_retired || m_entry.m_leaving) {
        return;
    }
    if (m_serves_accounts) {
        open_account_connections();
        return;
    }
    int wanted = m_accounting.connections_to_open(
        m_queue.connections_needed() +
            static_cast<int>(m_internal_queue.size() + m_awaiting_connection.size()),
        m_clock.m_now());
    for (; wanted > 0; --wanted) {
        start_connection({});
    }
}

void upstream_pool::open_account_connections() {
    if (m_wrong_upstream || m_retired || m_entry.m_leaving) {
        return;
    }
    const steady_time now = m_clock.m_now();
    for (const std::string& account : uncovered_accounts()) {
        if (!m_accounting.may_open(now)) {
            break;
        }
        // An upstream that answers and yet fails connects has reached its connection limit: only a
        // connection closed here makes room there.
        const bool is_upstream_full = m_accounting.consecutive_failures() > 0 && !m_failing_since;
        if ((m_accounting.room(now) == 0 || is_upstream_full) && !m_idle.empty()) {
            m_metrics.count("upstream_connections_replaced");
            close(connection_handle(m_idle.front()), connection_end::replaced);
        }
        if (m_accounting.room(now) == 0) {
            break;
        }
        start_connection(account);
    }
    // The instance's own statements use any connection. One is opened for them, or to notice that the
    // upstream answers again, only when there is no other.
    const bool is_needed =
        !m_internal_queue.empty() || m_accounting.min_idle() > 0 || m_accounting.consecutive_failures() > 0;
    const bool has_usable = m_internal_queue.empty() ? m_accounting.total() > 0
                                                     : m_accounting.idle() + m_accounting.opening() > 0;
    if (is_needed && !has_usable && m_accounting.room(now) > 0) {
        start_connection({});
    }
}

void upstream_pool::start_connection(const std::string& account) {
    auto connection = std::make_shared<pooled_connection>();
    connection->m_number = m_next_number++;
    connection->m_account = account;
    connection->m_since = m_clock.m_now();
    m_accounting.record_opening();
    m_metrics.count("upstream_connections_opened");
    m_open_connections.push_back(connection);
    const auto guarded = [this, alive = m_alive](auto work) {
        return [this, alive, work](auto... arguments) {
            if (*alive) {
                work(*this, std::move(arguments)...);
            }
        };
    };
    connection->m_channel = m_connector(
        m_entry.m_address, m_entry.m_group, m_entry.m_id, account,
        {.m_on_ready = guarded([connection](upstream_pool& pool) { pool.on_ready(connection); }),
         .m_on_answer = guarded([connection](upstream_pool& pool, answer reply) {
             pool.on_answer(connection, std::move(reply));
         }),
         .m_on_connect_failed = guarded([connection](upstream_pool& pool, connect_failure cause) {
             pool.on_connect_failed(connection, cause);
         }),
         .m_on_lost = guarded([connection](upstream_pool& pool) { pool.on_lost(connection); })});
}

void upstream_pool::on_ready(const connection_handle& connection) {
    if (connection->m_state != pooled_connection::state::connecting) {
        return;
    }
    record_response();
    connection->m_state = pooled_connection::state::idle;
    connection->m_since = m_clock.m_now();
    m_accounting.record_opened();
    m_idle.push_back(connection);
    dispatch();
}

void upstream_pool::on_connect_failed(const connection_handle& connection, connect_failure cause) {
    if (connection->m_state != pooled_connection::state::connecting) {
        return;
    }
    connection->m_state = pooled_connection::state::closed;
    m_open_connections.remove(connection);
    // Multiplicative hashing of the connection number spreads the backoff of different pools.
    m_accounting.record_open_failed(m_clock.m_now(),
                                    static_cast<std::uint32_t>(connection->m_number * 2654435761U));
    switch (cause) {
    case connect_failure::too_many_connections:
        record_response();
        break;
    case connect_failure::wrong_upstream:
        m_wrong_upstream = true;
        log_event(log_level::warning, "upstream.replaced_at_address", {{"upstream", m_entry.m_id.m_text}});
        refuse_waiting(result_code::upstream_unavailable);
        break;
    case connect_failure::refused:
        ++m_consecutive_refusals;
        mark_failing("connection refused");
        break;
    case connect_failure::timed_out:
        mark_failing("connect unanswered");
        break;
    }
}

void upstream_pool::on_answer(const connection_handle& connection, answer reply) {
    record_response();
    if (connection->m_pending_answers == 0) {
        log_event(log_level::warning, "upstream.unexpected_answer", {{"upstream", m_entry.m_id.m_text}});
        close(connection);
        return;
    }
    --connection->m_pending_answers;
    if (!connection->m_setup.empty()) {
        on_setup_answer(connection, reply);
    } else if (connection->m_pending_answers == 0) {
        deliver_answer(connection, std::move(reply));
    }
    // Other answers are to statements that were given up.
}

void upstream_pool::deliver_answer(const connection_handle& connection, answer reply) {
    if (reply.m_position) {
        m_position = reply.m_position;
    }
    const auto handler = m_reply_handlers.find(connection->m_number);
    if (handler != m_reply_handlers.end()) {
        const auto done = std::move(handler->second);
        m_reply_handlers.erase(handler);
        done(std::move(reply));
        return;
    }
    const std::uint64_t work_id = std::exchange(connection->m_work_id, 0);
    const auto sent = m_running.find(work_id);
    if (sent != m_running.end() && reply.succeeded()) {
        const steady_time now = m_clock.m_now();
        m_answer_time.record(std::chrono::duration_cast<microseconds>(now - sent->second), now);
    }
    record_answer(work_id, reply);
    if (reply.m_code == result_code::unknown_prepared_statement) {
        connection->m_session.forget_prepared();
    }
    finish(work_id,
           {.m_outcome = work_outcome::answered, .m_answer = std::move(reply), .m_connection = connection});
    dispatch();
}

void upstream_pool::on_lost(const connection_handle& connection) {
    if (connection->m_state == pooled_connection::state::closed) {
        return;
    }
    m_metrics.count("upstream_connections_lost");
    record_outcome(connection->m_work_id, work_sign::reset);
    discard(connection, connection->m_state == pooled_connection::state::idle);
    fail_pending(connection, "connection_lost");
    dispatch();
}

void upstream_pool::record_outcome(std::uint64_t work_id, work_sign sign) {
    const auto sent = m_running.find(work_id);
    if (!m_outcomes || sent == m_running.end()) {
        return;
    }
    const steady_time now = m_clock.m_now();
    if (sign == work_sign::unanswered && now < sent->second + min_unanswered_time) {
        return;
    }
    const pool_work& work = m_work.at(work_id);
    m_outcomes->record(m_entry.m_id,
                       {.m_sign = sign,
                        .m_rank = work.m_rank,
                        .m_answer_time = std::chrono::duration_cast<microseconds>(now - sent->second),
                        .m_is_comparable = !work.m_primary_only && !work.m_had_connection},
                       now);
}

void upstream_pool::record_answer(std::uint64_t work_id, const answer& reply) {
    if (reply.succeeded()) {
        record_outcome(work_id, work_sign::served);
        return;
    }
    switch (reply.m_code) {
    case result_code::statement_failed:
    case result_code::outcome_unknown:
    case result_code::statement_timed_out:
        record_outcome(work_id, work_sign::failed);
        return;
    case result_code::queue_full:
        record_outcome(work_id, work_sign::busy);
        return;
    default:
        // A refusal that is right, as of a replica that lacks a position, is no fault.
        return;
    }
}

void upstream_pool::record_response() {
    m_last_response_at = m_clock.m_now();
    m_consecutive_refusals = 0;
    if (m_failing_since) {
        m_failing_since.reset();
        log_event(log_level::info, "upstream.answers_again", {{"upstream", m_entry.m_id.m_text}});
    }
}

void upstream_pool::mark_failing(const char* reason) {
    if (!m_failing_since) {
        m_failing_since = m_clock.m_now();
        if (m_outcomes) {
            m_outcomes->record_down(m_entry.m_id, m_clock.m_now());
        }
        log_event(log_level::warning, "upstream.failing",
                  {{"upstream", m_entry.m_id.m_text}, {"group", m_entry.m_group.m_text}, {"sign", reason}});
    }
}

milliseconds upstream_pool::expected_wait(int rank, const std::string& account,
                                          steady_time target_time) const {
    const int ahead = m_queue.waiting_before(ticket_for(rank, account, target_time));
    const int free = m_limits.m_max_in_flight - m_queue.running();
    if (ahead < free || (rank == most_urgent_rank && ahead == 0 && m_queue.running() < m_queue.slots())) {
        return milliseconds{0};
    }
    const microseconds per_statement = std::max(answer_time(), min_answer_time);
    return std::chrono::duration_cast<milliseconds>(per_statement * (ahead + 1) / m_limits.m_max_in_flight);
}

int upstream_pool::running_at_primary() const {
    return static_cast<int>(std::count_if(m_running.begin(), m_running.end(), [&](const auto& each) {
        const auto work = m_work.find(each.first);
        return work != m_work.end() && work->second.m_primary_only;
    }));
}

int upstream_pool::connections_in_use() const {
    return static_cast<int>(std::count_if(
        m_open_connections.begin(), m_open_connections.end(), [](const connection_handle& connection) {
            return connection->m_state == pooled_connection::state::in_use;
        }));
}

void upstream_pool::abandon_answer(const connection_handle& connection) {
    // The upstream is still running the statement. Once it answers, the connection is reused; a new
    // connection would cost the upstream another slot.
    m_metrics.count("answers_given_up");
    record_outcome(connection->m_work_id, work_sign::unanswered);
    const bool was_sent = !is_setting_up(connection);
    const std::uint64_t work_id = std::exchange(connection->m_work_id, 0);
    const bool had_connection = m_work.at(work_id).m_had_connection;
    if (!had_connection) {
        m_reply_handlers[connection->m_number] = [this, connection](const std::optional<answer>& reply) {
            release_or_close(connection, reply ? reply->m_state : session_state::failed);
        };
        connection->m_since = m_clock.m_now();
    }
    if (was_sent) {
        finish(work_id, {.m_outcome = work_outcome::lost,
                         .m_code = result_code::outcome_unknown,
                         .m_lost_by = "deadline"});
    } else {
        finish(work_id, {.m_outcome = work_outcome::not_run, .m_code = result_code::upstream_unavailable});
    }
}

void upstream_pool::mark_unresponsive() {
    if (!m_failing_since) {
        // Closing the idle connections forces a reconnect, which shows whether the upstream answers.
        close_idle(connection_end::unresponsive);
        mark_failing("statement unanswered");
    }
}

void upstream_pool::close_unresponsive() {
    const steady_time now = m_clock.m_now();
    const std::vector<connection_handle> handles(m_open_connections.begin(), m_open_connections.end());
    for (const connection_handle& connection : handles) {
        const auto handler = m_reply_handlers.find(connection->m_number);
        if (handler != m_reply_handlers.end() &&
            now >= std::max(connection->m_since, m_last_response_at) + response_timeout) {
            mark_unresponsive();
            close(connection, connection_end::unresponsive);
            continue;
        }
        const auto sent = m_running.find(connection->m_work_id);
        if (connection->m_work_id == 0 || sent == m_running.end()) {
            continue;
        }
        const pool_work& work = m_work.at(connection->m_work_id);
        const bool unresponsive = now >= std::max(sent->second, m_last_response_at) + response_timeout;
        if (unresponsive) {
            mark_unresponsive();
        }
        const bool is_unsent = is_setting_up(connection);
        const bool is_overdue = now >= (is_unsent ? work.m_send_deadline : work.m_answer_deadline);
        if (unresponsive && (work.m_retryable || is_unsent || is_overdue)) {
            record_outcome(connection->m_work_id, work_sign::unanswered);
            close(connection, connection_end::unresponsive);
        } else if (is_overdue) {
            abandon_answer(connection);
        }
    }
}

void upstream_pool::tick() {
    const steady_time now = m_clock.m_now();
    for (const admission_ticket& expired : m_queue.remove_expired(now)) {
        finish(expired.m_id, {.m_outcome = work_outcome::not_run});
    }
    const std::deque<std::uint64_t> awaiting = m_awaiting_connection;
    for (const std::uint64_t id : awaiting) {
        const auto work = m_work.find(id);
        if (work != m_work.end() && now >= work->second.m_send_deadline) {
            finish(id, {.m_outcome = work_outcome::not_run});
        }
    }
    if (!accepts_new_work()) {
        refuse_waiting(result_code::upstream_leaving, true);
    }
    close_unresponsive();
    expire_internal(now - response_timeout);
    const std::vector<connection_handle> handles(m_open_connections.begin(), m_open_connections.end());
    for (const connection_handle& connection : handles) {
        if (connection->m_state == pooled_connection::state::connecting &&
            now >= connection->m_since + (m_failing_since ? failing_connect_timeout : connect_timeout)) {
            connection->m_channel.m_close();
            on_connect_failed(connection, connect_failure::timed_out);
        } else if (connection->m_state == pooled_connection::state::idle &&
                   m_accounting.should_close_idle(connection->m_since, now)) {
            close(connection, connection_end::idle);
        }
    }
    dispatch();
}

}
