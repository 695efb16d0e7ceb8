/// \file caller_session.cpp
/// Runs statements outside a transaction through the group, as autocommit statements,
/// and statements of a transaction on the connection that the transaction holds.
#include "anvilmount/gateway/caller_session.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// Limit of unanswered statements per session; callers that follow the protocol wait for each answer.
constexpr std::size_t max_waiting = 64;

/// Limit of prepared statements per session.
constexpr std::size_t max_prepared = 1000;

/// A heartbeat that failed is repeated after 400 ms; the proof that it brings confirms accounts again.
constexpr milliseconds confirmation_retry_delay{500};

/// Limit of the names and texts of a session's values and prepared statements. One message of the greatest
/// size fits, besides what an ordinary session keeps.
constexpr std::size_t max_kept_bytes = (std::size_t{1} << 20U) + (std::size_t{128} << 10U);

/// Reserved from a statement's deadline for sending the answer back to the caller.
constexpr milliseconds return_allowance{20};

answer refusal(result_code code, std::string reason, session_state state) {
    return {.m_code = code, .m_reason = std::move(reason), .m_state = state};
}

}

caller_session::caller_session(std::uint64_t number, std::string database, std::string account,
                               const session_context& context, outputs callbacks)
    : m_number(number), m_database(std::move(database)), m_account(std::move(account)), m_context(context),
      m_outputs(std::move(callbacks)), m_values(std::make_shared<const session_values>()),
      m_last_answer_at(m_context.m_clock->m_now()) {}

std::optional<steady_time> caller_session::inactive_since() const {
    return m_busy || !m_waiting.empty() ? std::nullopt : std::optional(m_last_answer_at);
}

session_state caller_session::state() const {
    if (!m_transaction || m_closed) {
        return session_state::idle;
    }
    return m_transaction->m_failed ? session_state::failed : session_state::in_transaction;
}

void caller_session::on_statement(statement received) {
    if (m_closed) {
        return;
    }
    m_waiting.push_back(std::move(received));
    if (m_waiting.size() > max_waiting) {
        log_event(log_level::warning, "caller.too_many_outstanding",
                  {{"caller", std::to_string(m_number)}});
        close(session_end::too_many_outstanding);
        return;
    }
    serve_next();
}

void caller_session::serve_next() {
    // Closing releases the references of the connection and the gateway.
    const auto self = shared_from_this();
    while (!m_busy && !m_waiting.empty() && !m_closed) {
        m_busy = true;
        m_arrived = m_context.m_clock->m_now();
        // Copied because an immediate answer removes the statement from the queue.
        const statement current = m_waiting.front();
        process(current);
    }
    close_if_draining();
}

void caller_session::close_if_draining() {
    if (m_drain_cause && is_idle() && !m_expects_operation) {
        close(*m_drain_cause);
    }
}

void caller_session::reply(answer done) {
    done.m_state = state();
    m_busy = false;
    m_last_answer_at = m_context.m_clock->m_now();
    if (!m_waiting.empty()) {
        m_waiting.pop_front();
    }
    m_context.m_metrics->count(done.succeeded() ? "statements_done" : "statements_failed");
    m_context.m_metrics->record_duration(
        "statement_time", std::chrono::duration_cast<microseconds>(m_context.m_clock->m_now() - m_arrived));
    if (!m_disconnected) {
        m_outputs.m_answer(done);
    }
}

void caller_session::reply_success() {
    reply({.m_proof = "-"});
}

void caller_session::refuse(result_code code, const std::string& reason) {
    const steady_time now = m_context.m_clock->m_now();
    log_event(
        log_level::info, "caller.refused",
        {{"id", m_waiting.empty() ? std::string{} : m_waiting.front().m_id},
         {"caller", std::to_string(m_number)},
         {"database", m_database},
         {"code", std::to_string(number_of(code))},
         {"reason", reason},
         {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(now - m_arrived).count())}});
    reply(refusal(code, reason, state()));
}

bool caller_session::needs_newer_configuration(const statement& current) const {
    const bool starts_operation =
        current.m_kind == statement_kind::begin || current.m_kind == statement_kind::begin_read_only ||
        current.m_kind == statement_kind::read || current.m_kind == statement_kind::write ||
        current.m_kind == statement_kind::execute;
    return !m_transaction && starts_operation && m_context.m_revision() < m_required_revision;
}

bool caller_session::refuse_without_permit(const statement& current) {
    const bool ends_session = current.m_permit == statement_permit::unauthenticated ||
                              current.m_permit == statement_permit::account_changed;
    const bool runs_nothing =
        current.m_kind == statement_kind::rollback || (m_transaction && m_transaction->m_failed);
    if (current.m_permit == statement_permit::granted || (!ends_session && runs_nothing)) {
        return false;
    }
    result_code code = m_transaction ? result_code::transaction_lost : result_code::account_unconfirmed;
    std::string reason = "the account cannot be confirmed; retry in " +
                         std::to_string(confirmation_retry_delay.count()) + " ms";
    if (current.m_permit == statement_permit::account_changed) {
        reason = "the account has changed; connect again";
    } else if (current.m_permit == statement_permit::unauthenticated) {
        code = result_code::unauthenticated;
        reason = "unknown key";
    }
    if (!ends_session) {
        if (m_transaction) {
            fail_transaction();
        }
        refuse(code, reason);
        return true;
    }
    detach_connection(true);
    m_transaction.reset();
    refuse(code, reason);
    close(session_end::permit_withdrawn);
    return true;
}

void caller_session::process(const statement& current) {
    if (refuse_without_permit(current)) {
        return;
    }
    if (needs_newer_configuration(current)) {
        refuse(result_code::queue_full, "the configuration here is behind");
        close(session_end::configuration_behind);
        return;
    }
    m_expects_operation = current.m_kind == statement_kind::set_value ||
                          current.m_kind == statement_kind::prepare ||
                          current.m_kind == statement_kind::deallocate;
    if (m_transaction && m_transaction->m_failed && current.m_kind != statement_kind::rollback &&
        current.m_kind != statement_kind::commit) {
        // If the transaction failed between two statements (connection lost or idle timeout), the
        // next statement reports that; statements after it are protocol violations.
        const auto failure_code =
            std::exchange(m_transaction->m_failure_code, result_code::protocol_violation);
        refuse(failure_code, "the transaction has failed; end it first");
        return;
    }
    switch (current.m_kind) {
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        begin(current);
        return;
    case statement_kind::commit:
        commit(current);
        return;
    case statement_kind::rollback:
        roll_back();
        return;
    case statement_kind::set_value:
        set_value(current);
        return;
    case statement_kind::prepare:
        prepare(current);
        return;
    case statement_kind::deallocate:
        deallocate(current);
        return;
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
        run(current);
        return;
    case statement_kind::malformed:
        break;
    }
    refuse(result_code::protocol_violation, "not a statement");
}

void caller_session::begin(const statement& current) {
    if (m_transaction) {
        refuse(result_code::protocol_violation, "a transaction is open already");
        return;
    }
    const database_route* route = m_context.m_find_route(m_database);
    if (route == nullptr) {
        refuse(result_code::unknown_group, "no such database");
        return;
    }
    m_transaction =
        transaction{.m_read_only = current.m_kind == statement_kind::begin_read_only, .m_route = *route};
    reply_success();
}

void caller_session::commit(const statement& current) {
    if (!m_transaction) {
        refuse(result_code::protocol_violation, "no transaction is open");
        return;
    }
    if (m_transaction->m_failed) {
        m_transaction.reset();
        refuse(result_code::transaction_lost, "the transaction was rolled back");
        return;
    }
    run_in_transaction(current);
}

void caller_session::roll_back() {
    if (!m_transaction) {
        refuse(result_code::protocol_violation, "no transaction is open");
        return;
    }
    detach_connection(true);
    m_transaction.reset();
    reply_success();
}

bool caller_session::may_keep(std::size_t added, std::size_t removed) {
    if (m_kept_bytes - removed + added > max_kept_bytes) {
        refuse(result_code::message_too_large, "the session keeps too much");
        return false;
    }
    m_kept_bytes = m_kept_bytes - removed + added;
    return true;
}

void caller_session::set_value(const statement& current) {
    const auto known = m_values->find(current.m_name);
    const std::size_t removed = known == m_values->end() ? 0 : current.m_name.size() + known->second.size();
    if (!may_keep(current.m_name.size() + current.m_argument.size(), removed)) {
        return;
    }
    session_values values = *m_values;
    values[current.m_name] = current.m_argument;
    m_values = std::make_shared<const session_values>(std::move(values));
    reply_success();
}

void caller_session::prepare(const statement& current) {
    if (m_prepared.size() >= max_prepared && !m_prepared.contains(current.m_name)) {
        refuse(result_code::protocol_violation, "too many prepared statements");
        return;
    }
    const auto known = m_prepared.find(current.m_name);
    const std::size_t removed =
        known == m_prepared.end() ? 0 : current.m_name.size() + known->second.m_template.size();
    if (!may_keep(current.m_name.size() + current.m_argument.size(), removed)) {
        return;
    }
    m_prepared[current.m_name] = {.m_template = current.m_argument, .m_writes = current.m_writes};
    reply_success();
}

void caller_session::deallocate(const statement& current) {
    const auto known = m_prepared.find(current.m_name);
    if (known == m_prepared.end()) {
        refuse(result_code::unknown_prepared_statement, "no such prepared statement");
        return;
    }
    m_kept_bytes -= current.m_name.size() + known->second.m_template.size();
    m_prepared.erase(known);
    reply_success();
}

bool caller_session::has_prepared(const statement& current) {
    return current.m_kind != statement_kind::execute || m_prepared.contains(current.m_name);
}

bool caller_session::is_write(const statement& current) const {
    if (current.m_kind == statement_kind::execute) {
        return m_prepared.at(current.m_name).m_writes;
    }
    return current.m_kind == statement_kind::write;
}

void caller_session::run(const statement& current) {
    if (!has_prepared(current)) {
        if (m_transaction) {
            fail_transaction();
        }
        refuse(result_code::unknown_prepared_statement, "no such prepared statement");
        return;
    }
    if (m_transaction) {
        run_in_transaction(current);
    } else {
        run_autocommit(current, is_write(current));
    }
}

void caller_session::fill_request(group_request& request, const statement& current,
                                  const database_route& route) {
    request.m_caller = m_number;
    request.m_account = m_account;
    request.m_id = current.m_id;
    request.m_rank = route.m_class.m_rank;
    request.m_arrived = m_arrived;
    request.m_deadline = m_arrived + route.m_class.m_deadline - return_allowance;
    request.m_target_time = m_arrived + route.m_latency_target;
    request.m_values = m_values;
    request.m_statement = {
        .m_kind = outgoing_statement::kind::forwarded, .m_id = current.m_id, .m_text = current.m_text};
    if (current.m_kind == statement_kind::execute) {
        const prepared_statement& prepared = m_prepared.at(current.m_name);
        const std::string shared_name =
            m_context.m_shared_statement_name(prepared.m_template, prepared.m_writes);
        request.m_statement.m_name = shared_name;
        request.m_statement.m_argument = current.m_argument;
        request.m_prepare = outgoing_statement{.m_kind = outgoing_statement::kind::prepare,
                                               .m_name = shared_name,
                                               .m_argument = prepared.m_template,
                                               .m_writes = prepared.m_writes};
    }
}

std::optional<log_position> caller_session::session_watermark(const group_service& group) const {
    if (m_last_commit_term == 0) {
        return std::nullopt;
    }
    return group.freshness().to_current_term(m_last_commit, m_last_commit_term);
}

void caller_session::allow_replicas(group_request& request, const database_route& route,
                                    const group_service& group) const {
    if (route.m_consistency == consistency::strong) {
        return;
    }
    request.m_placement = request_placement::replica_allowed;
    request.m_max_staleness = route.m_class.m_max_staleness;
    request.m_session_watermark = session_watermark(group);
}

bool caller_session::take_quota() {
    const auto retry_at =
        m_context.m_take_quota && !m_account.empty() ? m_context.m_take_quota(m_account) : std::nullopt;
    if (!retry_at) {
        return true;
    }
    if (m_transaction) {
        fail_transaction();
    }
    const auto wait = std::max(
        milliseconds{0}, std::chrono::duration_cast<milliseconds>(*retry_at - m_context.m_clock->m_now()));
    refuse(result_code::quota_exceeded,
           "the account's quota is used up; retry in " + std::to_string(wait.count()) + " ms");
    return false;
}

void caller_session::return_quota(const group_reply& reply) {
    if (reply.m_outcome == work_outcome::not_run && !reply.m_was_sent && m_context.m_return_quota &&
        !m_account.empty()) {
        m_context.m_return_quota(m_account);
    }
}

void caller_session::run_autocommit(const statement& current, bool writes) {
    const database_route* route = m_context.m_find_route(m_database);
    group_service* group = route == nullptr ? nullptr : m_context.m_find_group(route->m_group);
    if (group == nullptr) {
        refuse(result_code::unknown_group, "no such database");
        return;
    }
    if (!take_quota()) {
        return;
    }
    group_request request;
    fill_request(request, current, *route);
    request.m_retryable = !writes;
    request.m_acknowledges_write = writes;
    if (!writes) {
        allow_replicas(request, *route, *group);
    }
    group->submit(std::move(request), [self = shared_from_this(), writes](group_reply reply) {
        self->on_autocommit_reply(writes, std::move(reply));
    });
}

void caller_session::on_autocommit_reply(bool writes, group_reply reply) {
    return_quota(reply);
    if (m_disconnected) {
        discard(reply);
        return;
    }
    switch (reply.m_outcome) {
    case work_outcome::answered:
        reply.m_pool->release_or_close(reply.m_connection, reply.m_answer.m_state);
        if (writes && reply.m_answer.succeeded()) {
            record_commit(reply);
        }
        this->reply(std::move(reply.m_answer));
        break;
    case work_outcome::not_run:
        refuse(reply.m_code, "try again");
        break;
    case work_outcome::lost:
        if (writes) {
            refuse(result_code::outcome_unknown, "the answer was lost");
        } else {
            refuse(result_code::transaction_lost, "the answer was lost; a read leaves nothing behind");
        }
        break;
    }
    serve_next();
}

void caller_session::record_commit(const group_reply& reply) {
    if (reply.m_answer.m_position) {
        m_last_commit = *reply.m_answer.m_position;
        m_last_commit_term = reply.m_term;
    }
}

void caller_session::run_in_transaction(const statement& current) {
    if (m_transaction->m_connection) {
        run_on_connection(current);
    } else {
        begin_then_run(current);
    }
}

void caller_session::begin_then_run(const statement& current) {
    const database_route& route = m_transaction->m_route;
    group_service* group = m_context.m_find_group(route.m_group);
    if (group == nullptr) {
        fail_transaction();
        refuse(result_code::transaction_lost, "the database is gone");
        serve_next();
        return;
    }
    if (!take_quota()) {
        return;
    }
    group_request request;
    fill_request(request, current, route);
    request.m_retryable = true;
    request.m_prepare.reset();
    request.m_statement = {.m_kind = m_transaction->m_read_only ? outgoing_statement::kind::begin_read_only
                                                                : outgoing_statement::kind::begin};
    if (m_transaction->m_read_only) {
        allow_replicas(request, route, *group);
    }
    group->submit(std::move(request), [self = shared_from_this(), current](const group_reply& reply) {
        self->on_begin_reply(current, reply);
    });
}

void caller_session::on_begin_reply(const statement& current, const group_reply& reply) {
    return_quota(reply);
    const bool has_begun = reply.m_outcome == work_outcome::answered && reply.m_answer.succeeded() &&
                           reply.m_answer.m_state == session_state::in_transaction;
    if (m_disconnected) {
        m_transaction.reset();
        if (has_begun) {
            reply.m_pool->roll_back_and_release(reply.m_connection);
        } else {
            discard(reply);
        }
        return;
    }
    if (!has_begun) {
        if (reply.m_outcome == work_outcome::answered) {
            reply.m_pool->release_or_close(reply.m_connection, reply.m_answer.m_state);
        }
        fail_transaction();
        const result_code code =
            reply.m_outcome == work_outcome::not_run ? reply.m_code : result_code::transaction_lost;
        refuse(code, "the transaction could not begin");
        serve_next();
        return;
    }
    m_transaction->m_connection = reply.m_connection;
    m_transaction->m_pool = reply.m_pool;
    reply.m_connection->m_on_lost = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_connection_lost();
        }
    };
    run_on_connection(current);
}

void caller_session::run_on_connection(const statement& current) {
    const database_route& route = m_transaction->m_route;
    group_service* group = m_context.m_find_group(route.m_group);
    group_request request;
    fill_request(request, current, route);
    request.m_placement = request_placement::same_connection;
    request.m_connection = m_transaction->m_connection;
    request.m_pool = m_transaction->m_pool;
    const bool is_commit = current.m_kind == statement_kind::commit;
    m_transaction->m_wrote = m_transaction->m_wrote || (!is_commit && is_write(current));
    request.m_acknowledges_write = is_commit && m_transaction->m_wrote;
    if (group == nullptr) {
        fail_transaction();
        refuse(result_code::transaction_lost, "the database is gone");
        serve_next();
        return;
    }
    group->submit(std::move(request), [self = shared_from_this(), current](group_reply reply) {
        self->on_transaction_reply(current, std::move(reply));
    });
}

void caller_session::on_transaction_reply(const statement& current, group_reply reply) {
    if (m_disconnected) {
        detach_connection(true);
        m_transaction.reset();
        return;
    }
    const bool is_commit = current.m_kind == statement_kind::commit;
    const bool wrote = m_transaction->m_wrote;
    if (reply.m_outcome == work_outcome::answered) {
        const session_state upstream_state = reply.m_answer.m_state;
        if (is_commit) {
            if (upstream_state == session_state::idle) {
                detach_connection(false);
            } else {
                detach_connection(true);
            }
            m_transaction.reset();
            if (reply.m_answer.succeeded() && wrote) {
                record_commit(reply);
            }
        } else if (upstream_state != session_state::in_transaction) {
            fail_transaction();
        }
        this->reply(std::move(reply.m_answer));
        serve_next();
        return;
    }
    const bool may_have_committed = is_commit && wrote && reply.m_outcome == work_outcome::lost;
    if (is_commit) {
        detach_connection(true);
        m_transaction.reset();
    } else {
        fail_transaction();
    }
    refuse(may_have_committed ? result_code::outcome_unknown : result_code::transaction_lost,
           may_have_committed ? "the answer to the commit was lost" : "the transaction was rolled back");
    serve_next();
}

void caller_session::on_connection_lost() {
    if (m_transaction && !m_busy) {
        m_transaction->m_connection.reset();
        m_transaction->m_pool.reset();
        m_transaction->m_failed = true;
        m_transaction->m_failure_code = result_code::transaction_lost;
    }
}

void caller_session::detach_connection(bool must_roll_back) {
    if (!m_transaction || !m_transaction->m_connection) {
        return;
    }
    const connection_handle connection = std::exchange(m_transaction->m_connection, nullptr);
    const auto pool = std::exchange(m_transaction->m_pool, nullptr);
    if (must_roll_back) {
        pool->roll_back_and_release(connection);
    } else {
        pool->release_connection(connection);
    }
}

void caller_session::fail_transaction() {
    detach_connection(true);
    m_transaction->m_failed = true;
    m_transaction->m_failure_code = result_code::protocol_violation;
}

void caller_session::on_disconnect() {
    m_disconnected = true;
    m_closed = true;
    m_waiting.clear();
    if (m_transaction && !m_busy) {
        detach_connection(true);
        m_transaction.reset();
    }
}

void caller_session::tick() {
    const milliseconds timeout = m_context.m_idle_transaction_timeout();
    if (m_busy || !m_transaction || !m_transaction->m_connection || timeout.count() == 0) {
        return;
    }
    if (m_context.m_clock->m_now() >= m_last_answer_at + timeout) {
        m_context.m_metrics->count("idle_transactions_ended");
        fail_transaction();
        m_transaction->m_failure_code = result_code::transaction_lost;
    }
}

void caller_session::discard(const group_reply& reply) {
    if (reply.m_outcome == work_outcome::answered) {
        reply.m_pool->release_or_close(reply.m_connection, reply.m_answer.m_state);
    }
}

void caller_session::drain(session_end cause) {
    m_drain_cause = cause;
    close_if_draining();
}

void caller_session::close(session_end cause) {
    if (!m_closed) {
        end();
        m_outputs.m_close(cause);
    }
}

void caller_session::end() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_unanswered_at_end = m_waiting.size();
    m_in_transaction_at_end = m_transaction.has_value();
    const bool is_served = m_busy;
    answer_unfinished();
    m_disconnected = true;
    m_busy = is_served;
    if (m_transaction && !is_served) {
        detach_connection(true);
        m_transaction.reset();
    }
}

void caller_session::answer_unfinished() {
    if (m_busy) {
        const statement& served = m_waiting.front();
        const bool may_be_kept = m_transaction
                                     ? served.m_kind == statement_kind::commit && m_transaction->m_wrote
                                     : is_write(served);
        refuse(may_be_kept ? result_code::outcome_unknown : result_code::transaction_lost,
               "the session ended before the answer");
    }
    while (!m_waiting.empty()) {
        m_arrived = m_context.m_clock->m_now();
        refuse(m_transaction ? result_code::transaction_lost : result_code::queue_full,
               "the session has ended");
    }
}

}
