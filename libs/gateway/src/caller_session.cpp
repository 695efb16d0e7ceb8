/// \file caller_session.cpp
#include "anvilmount/gateway/caller_session.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <utility>

namespace anvilmount::gateway {
namespace {

/// Statements that one caller may have outstanding; a protocol-abiding caller waits for each answer.
constexpr std::size_t most_waiting = 64;

/// A session keeps at most this many prepared statements.
constexpr std::size_t most_prepared = 1000;

/// Part of a statement's time that is left for its way back to the caller.
constexpr milliseconds return_allowance{20};

answer refusal(result_code code, std::string reason, session_state state) {
    return {.m_code = code, .m_reason = std::move(reason), .m_state = state};
}

}

caller_session::caller_session(std::uint64_t number, std::string database, const session_host& host,
                               outputs out)
    : m_number(number), m_database(std::move(database)), m_host(host), m_out(std::move(out)),
      m_values(std::make_shared<const session_values>()), m_answered_at(m_host.m_clock->m_now()) {}

std::optional<steady_time> caller_session::resting_since() const {
    return m_busy || !m_waiting.empty() ? std::nullopt : std::optional(m_answered_at);
}

session_state caller_session::state() const {
    if (!m_transaction) {
        return session_state::idle;
    }
    return m_transaction->m_failed ? session_state::failed : session_state::in_transaction;
}

void caller_session::on_statement(statement received) {
    if (m_closed) {
        return;
    }
    if (m_waiting.size() >= most_waiting) {
        log_event(log_level::warning, "caller.too_many_outstanding",
                  {{"caller", std::to_string(m_number)}});
        abandon();
        return;
    }
    m_waiting.push_back(std::move(received));
    next();
}

void caller_session::next() {
    while (!m_busy && !m_waiting.empty() && !m_closed) {
        m_busy = true;
        m_arrived = m_host.m_clock->m_now();
        // A copy: an answer that comes at once removes it from the queue.
        const statement current = m_waiting.front();
        process(current);
    }
    close_if_leaving();
}

void caller_session::close_if_leaving() {
    if (m_leaving && is_idle() && !m_preparing) {
        abandon();
    }
}

void caller_session::reply(answer done) {
    done.m_state = state();
    m_busy = false;
    m_answered_at = m_host.m_clock->m_now();
    if (!m_waiting.empty()) {
        m_waiting.pop_front();
    }
    m_host.m_metrics->count(done.succeeded() ? "statements_done" : "statements_failed");
    m_host.m_metrics->record_duration(
        "statement_time", std::chrono::duration_cast<microseconds>(m_host.m_clock->m_now() - m_arrived));
    if (!m_gone && !m_closed) {
        m_out.m_answer(done);
    }
}

void caller_session::complete() {
    reply({.m_proof = "-"});
}

void caller_session::refuse(result_code code, const std::string& reason) {
    const steady_time now = m_host.m_clock->m_now();
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

bool caller_session::is_behind(const statement& current) const {
    const bool begins = current.m_kind == statement_kind::begin ||
                        current.m_kind == statement_kind::begin_read_only ||
                        current.m_kind == statement_kind::read || current.m_kind == statement_kind::write ||
                        current.m_kind == statement_kind::execute;
    return !m_transaction && begins && m_host.m_revision() < m_required_revision;
}

void caller_session::process(const statement& current) {
    if (is_behind(current)) {
        refuse(result_code::queue_full, "the configuration here is behind");
        abandon();
        return;
    }
    m_preparing = current.m_kind == statement_kind::set_value ||
                  current.m_kind == statement_kind::prepare || current.m_kind == statement_kind::deallocate;
    if (m_transaction && m_transaction->m_failed && current.m_kind != statement_kind::rollback &&
        current.m_kind != statement_kind::commit) {
        // The first statement after a loss between statements tells the caller why.
        const auto why = std::exchange(m_transaction->m_why_lost, result_code::protocol_violation);
        refuse(why, "the transaction has failed; end it first");
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
    case statement_kind::set_value: {
        session_values values = *m_values;
        values[current.m_name] = current.m_argument;
        m_values = std::make_shared<const session_values>(std::move(values));
        complete();
        return;
    }
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
    case statement_kind::unreadable:
        break;
    }
    refuse(result_code::protocol_violation, "not a statement");
}

void caller_session::begin(const statement& current) {
    if (m_transaction) {
        refuse(result_code::protocol_violation, "a transaction is open already");
        return;
    }
    const database_route* route = m_host.m_route(m_database);
    if (route == nullptr) {
        refuse(result_code::unknown_group, "no such database");
        return;
    }
    m_transaction =
        transaction{.m_read_only = current.m_kind == statement_kind::begin_read_only, .m_route = *route};
    complete();
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
    release_link(true);
    m_transaction.reset();
    complete();
}

void caller_session::prepare(const statement& current) {
    if (m_prepared.size() >= most_prepared && !m_prepared.contains(current.m_name)) {
        refuse(result_code::protocol_violation, "too many prepared statements");
        return;
    }
    m_prepared[current.m_name] = {.m_shape = current.m_argument, .m_writes = current.m_writes};
    complete();
}

void caller_session::deallocate(const statement& current) {
    if (m_prepared.erase(current.m_name) == 0) {
        refuse(result_code::unknown_prepared_statement, "no such prepared statement");
        return;
    }
    complete();
}

bool caller_session::knows_prepared(const statement& current) {
    return current.m_kind != statement_kind::execute || m_prepared.contains(current.m_name);
}

bool caller_session::writes(const statement& current) const {
    if (current.m_kind == statement_kind::execute) {
        return m_prepared.at(current.m_name).m_writes;
    }
    return current.m_kind == statement_kind::write;
}

void caller_session::run(const statement& current) {
    if (!knows_prepared(current)) {
        if (m_transaction) {
            fail_transaction();
        }
        refuse(result_code::unknown_prepared_statement, "no such prepared statement");
        return;
    }
    if (m_transaction) {
        run_in_transaction(current);
    } else {
        run_alone(current, writes(current));
    }
}

void caller_session::fill(group_request& request, const statement& current, const database_route& route) {
    request.m_caller = m_number;
    request.m_id = current.m_id;
    request.m_rank = route.m_class.m_rank;
    request.m_arrived = m_arrived;
    request.m_deadline = m_arrived + route.m_class.m_deadline - return_allowance;
    request.m_target = m_arrived + route.m_latency_target;
    request.m_values = m_values;
    request.m_statement = {
        .m_kind = outgoing_statement::kind::forwarded, .m_id = current.m_id, .m_text = current.m_text};
    if (current.m_kind == statement_kind::execute) {
        const prepared_statement& prepared = m_prepared.at(current.m_name);
        const std::string shared = m_host.m_shared_name(prepared.m_shape, prepared.m_writes);
        request.m_statement.m_name = shared;
        request.m_statement.m_argument = current.m_argument;
        request.m_prepare = outgoing_statement{.m_kind = outgoing_statement::kind::prepare,
                                               .m_name = shared,
                                               .m_argument = prepared.m_shape,
                                               .m_writes = prepared.m_writes};
    }
}

std::optional<log_position> caller_session::session_floor(const group_service& group) const {
    if (m_floor_term == 0) {
        return std::nullopt;
    }
    return group.freshness().in_current_term(m_floor, m_floor_term);
}

void caller_session::allow_replicas(group_request& request, const database_route& route,
                                    const group_service& group) const {
    if (route.m_consistency == consistency::every_commit) {
        return;
    }
    request.m_need = placement_need::fresh_enough;
    request.m_max_age = route.m_class.m_max_staleness;
    request.m_session_floor = session_floor(group);
}

void caller_session::run_alone(const statement& current, bool writes) {
    const database_route* route = m_host.m_route(m_database);
    group_service* group = route == nullptr ? nullptr : m_host.m_group(route->m_group);
    if (group == nullptr) {
        refuse(result_code::unknown_group, "no such database");
        return;
    }
    group_request request;
    fill(request, current, *route);
    request.m_repeatable = !writes;
    request.m_acknowledges_write = writes;
    if (!writes) {
        allow_replicas(request, *route, *group);
    }
    group->submit(std::move(request), [self = shared_from_this(), writes](group_reply reply) {
        self->on_alone_answer(writes, std::move(reply));
    });
}

void caller_session::on_alone_answer(bool writes, group_reply reply) {
    switch (reply.m_end) {
    case work_end::answered:
        reply.m_pool->give_back_or_close(reply.m_link, reply.m_answer.m_state);
        if (writes && reply.m_answer.succeeded()) {
            note_commit(reply);
        }
        this->reply(std::move(reply.m_answer));
        break;
    case work_end::not_run:
        refuse(reply.m_code, "try again");
        break;
    case work_end::lost:
        if (writes) {
            refuse(result_code::outcome_unknown, "the answer was lost");
        } else {
            refuse(result_code::transaction_lost, "the answer was lost; a read leaves nothing behind");
        }
        break;
    }
    next();
}

void caller_session::note_commit(const group_reply& reply) {
    if (reply.m_answer.m_position) {
        m_floor = *reply.m_answer.m_position;
        m_floor_term = reply.m_term;
    }
}

void caller_session::run_in_transaction(const statement& current) {
    if (m_transaction->m_link) {
        run_bound(current);
    } else {
        bind_then_run(current);
    }
}

void caller_session::bind_then_run(const statement& current) {
    const database_route& route = m_transaction->m_route;
    group_service* group = m_host.m_group(route.m_group);
    if (group == nullptr) {
        fail_transaction();
        refuse(result_code::transaction_lost, "the database is gone");
        next();
        return;
    }
    group_request request;
    fill(request, current, route);
    request.m_repeatable = true;
    request.m_prepare.reset();
    request.m_statement = {.m_kind = m_transaction->m_read_only ? outgoing_statement::kind::begin_read_only
                                                                : outgoing_statement::kind::begin};
    if (m_transaction->m_read_only) {
        allow_replicas(request, route, *group);
    }
    group->submit(std::move(request), [self = shared_from_this(), current](const group_reply& reply) {
        self->on_bound(current, reply);
    });
}

void caller_session::on_bound(const statement& current, const group_reply& reply) {
    const bool begun = reply.m_end == work_end::answered && reply.m_answer.succeeded();
    if (!begun) {
        if (reply.m_end == work_end::answered) {
            reply.m_pool->give_back_or_close(reply.m_link, reply.m_answer.m_state);
        }
        fail_transaction();
        const result_code code =
            reply.m_end == work_end::not_run ? reply.m_code : result_code::transaction_lost;
        refuse(code, "the transaction could not begin");
        next();
        return;
    }
    m_transaction->m_link = reply.m_link;
    m_transaction->m_pool = reply.m_pool;
    reply.m_link->m_on_lost = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_link_lost();
        }
    };
    if (m_gone) {
        release_link(true);
        m_transaction.reset();
        return;
    }
    run_bound(current);
}

void caller_session::run_bound(const statement& current) {
    const database_route& route = m_transaction->m_route;
    group_service* group = m_host.m_group(route.m_group);
    group_request request;
    fill(request, current, route);
    request.m_need = placement_need::same_connection;
    request.m_link = m_transaction->m_link;
    request.m_pool = m_transaction->m_pool;
    const bool commits = current.m_kind == statement_kind::commit;
    m_transaction->m_wrote = m_transaction->m_wrote || (!commits && writes(current));
    request.m_acknowledges_write = commits && m_transaction->m_wrote;
    if (group == nullptr) {
        fail_transaction();
        refuse(result_code::transaction_lost, "the database is gone");
        next();
        return;
    }
    group->submit(std::move(request), [self = shared_from_this(), current](group_reply reply) {
        self->on_bound_answer(current, std::move(reply));
    });
}

void caller_session::on_bound_answer(const statement& current, group_reply reply) {
    if (m_gone) {
        release_link(true);
        m_transaction.reset();
        return;
    }
    const bool commits = current.m_kind == statement_kind::commit;
    const bool wrote = m_transaction->m_wrote;
    if (reply.m_end == work_end::answered) {
        const session_state upstream_state = reply.m_answer.m_state;
        if (commits) {
            if (upstream_state == session_state::idle) {
                release_link(false);
            } else {
                release_link(true);
            }
            m_transaction.reset();
            if (reply.m_answer.succeeded() && wrote) {
                note_commit(reply);
            }
        } else if (upstream_state != session_state::in_transaction) {
            fail_transaction();
        }
        this->reply(std::move(reply.m_answer));
        next();
        return;
    }
    const bool may_have_committed = commits && wrote && reply.m_end == work_end::lost;
    if (commits) {
        release_link(true);
        m_transaction.reset();
    } else {
        fail_transaction();
    }
    refuse(may_have_committed ? result_code::outcome_unknown : result_code::transaction_lost,
           may_have_committed ? "the answer to the commit was lost" : "the transaction was rolled back");
    next();
}

void caller_session::on_link_lost() {
    if (m_transaction && !m_busy) {
        m_transaction->m_link.reset();
        m_transaction->m_pool.reset();
        m_transaction->m_failed = true;
        m_transaction->m_why_lost = result_code::transaction_lost;
    }
}

void caller_session::release_link(bool must_roll_back) {
    if (!m_transaction || !m_transaction->m_link) {
        return;
    }
    const link_handle link = std::exchange(m_transaction->m_link, nullptr);
    const auto pool = std::exchange(m_transaction->m_pool, nullptr);
    if (must_roll_back) {
        pool->roll_back(link);
    } else {
        pool->give_back(link);
    }
}

void caller_session::fail_transaction() {
    release_link(true);
    m_transaction->m_failed = true;
    m_transaction->m_why_lost = result_code::protocol_violation;
}

void caller_session::on_gone() {
    m_gone = true;
    m_closed = true;
    m_waiting.clear();
    if (m_transaction && !m_busy) {
        release_link(true);
        m_transaction.reset();
    }
}

void caller_session::tick() {
    const milliseconds limit = m_host.m_idle_transaction_limit();
    if (m_busy || !m_transaction || !m_transaction->m_link || limit.count() == 0) {
        return;
    }
    if (m_host.m_clock->m_now() >= m_answered_at + limit) {
        m_host.m_metrics->count("idle_transactions_ended");
        fail_transaction();
        m_transaction->m_why_lost = result_code::transaction_lost;
    }
}

void caller_session::leave() {
    m_leaving = true;
    close_if_leaving();
}

void caller_session::abandon() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    if (m_transaction && !m_busy) {
        release_link(true);
        m_transaction.reset();
    }
    m_out.m_close();
}

}
