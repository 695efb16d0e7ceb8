/// \file soak_caller.cpp
/// Line protocol client of the soak and its random choice of operations.
#include "soak/soak_caller.hpp"

#include <algorithm>
#include <array>

namespace test {
namespace {

using namespace anvilmount;

constexpr milliseconds answer_timeout{6000};
/// The configured timeout of a statement is below 2 s.
constexpr milliseconds max_answer_time{15000};
constexpr milliseconds reconnect_pause{150};
constexpr milliseconds start_watch_interval{1};
/// After START was refused: longest pause.
constexpr int max_start_retry_ms = 10;
constexpr int item_count = 40;
constexpr int max_statements = 5;
constexpr std::array no_effect_codes{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};

/// Probabilities of the operations and of ending a session.
constexpr int transaction_percent = 35;
constexpr int write_percent = 35;
constexpr int set_value_percent = 5;
constexpr int prepared_percent = 20;
constexpr int abrupt_close_percent = 2;
constexpr int terminate_percent = 3;
/// Of a caller that sends its next operation as soon as it has an answer.
constexpr int no_pause_percent = 30;
constexpr int keep_after_failure_percent = 50;

}

int soak_caller::draw(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(m_environment.m_random);
}

void soak_caller::start() {
    schedule(milliseconds{draw(500)}, &soak_caller::connect);
}

void soak_caller::stop() {
    m_stopped = true;
    if (m_stream) {
        m_stream->set_handlers({});
        m_stream->close();
    }
}

void soak_caller::schedule(milliseconds delay, void (soak_caller::*action)()) {
    m_environment.m_loop.after(delay, [this, action, session = m_session] {
        if (!m_stopped && session == m_session) {
            (this->*action)();
        }
    });
}

void soak_caller::connect() {
    const auto target = m_environment.m_pick_instance();
    if (!target) {
        schedule(reconnect_pause, &soak_caller::connect);
        return;
    }
    connect_to(*target);
}

void soak_caller::connect_to(const soak_environment::instance& target) {
    m_instance_life = target.m_life;
    m_session = m_environment.m_next_number++;
    m_opened = false;
    m_finished = false;
    m_connected_at.reset();
    m_start_received = false;
    m_awaits_close_since.reset();
    m_unread.clear();
    m_plan.clear();
    m_prepared.clear();
    m_outstanding.clear();
    const std::string key = keys.at(static_cast<std::size_t>(draw(static_cast<int>(keys.size()))));
    m_environment.m_ledger.on_session_opened(m_session, m_route);
    m_stream = tcp_stream::connect(
        m_environment.m_loop, target.m_callers,
        {.m_on_connected =
             [this, key] {
                 m_connected_at = reactor::now();
                 m_stream->write("START " + m_route.m_database + " " + key + "\r\n");
                 watch_start();
             },
         .m_on_bytes =
             [this, session = m_session](std::string_view bytes) {
                 m_unread.append(bytes);
                 for (std::size_t end = m_unread.find("\r\n");
                      session == m_session && end != std::string::npos; end = m_unread.find("\r\n")) {
                     const std::string line = m_unread.substr(0, end);
                     m_unread.erase(0, end + 2);
                     on_line(line);
                 }
             },
         .m_on_closed = [this](close_reason reason) { on_connection_lost(reason); }});
    m_environment.m_loop.after(answer_timeout, [this, session = m_session] {
        if (session == m_session && !m_opened && !m_awaits_close_since && !m_stopped) {
            end_session(reconnect_pause);
        }
    });
}

void soak_caller::move_to(const soak_environment::instance& target) {
    if (m_stopped || !m_opened || !m_outstanding.empty() || m_awaits_close_since) {
        return;
    }
    end_session(reconnect_pause);
    connect_to(target);
}

void soak_caller::end_session(milliseconds pause) {
    m_session = m_environment.m_next_number++;
    // This may run inside a handler of the stream, so its destruction is deferred.
    m_environment.m_loop.defer([stream = m_stream] {
        stream->set_handlers({});
        stream->close();
    });
    schedule(pause, &soak_caller::connect);
}

void soak_caller::on_connection_lost(close_reason reason) {
    for (const outstanding& each : m_outstanding) {
        m_environment.m_on_closed_unanswered(m_instance_life, each.m_id);
    }
    if (!m_opened && !m_stream->was_refused()) {
        m_environment.m_on_start_ended(m_instance_life, {.m_connected_at = m_connected_at,
                                                         .m_ended_at = reactor::now(),
                                                         .m_was_received = m_start_received,
                                                         .m_was_answered = m_awaits_close_since.has_value(),
                                                         .m_was_reset = reason != close_reason::by_peer});
    }
    const bool start_refused = !m_opened && m_awaits_close_since;
    end_session(start_refused ? milliseconds{draw(max_start_retry_ms)} : reconnect_pause);
}

void soak_caller::on_line(const std::string& line) {
    const std::string word = line.substr(0, line.find(' '));
    const std::string rest = line.size() > word.size() ? line.substr(word.size() + 1) : std::string{};
    if (!m_opened && m_awaits_close_since) {
        m_environment.m_ledger.report("line after the refusal of START: " + line);
        end_session(reconnect_pause);
        return;
    }
    if (word == "READY") {
        on_ready(rest);
        return;
    }
    if (!m_opened && word == "ERROR") {
        await_close();
        return;
    }
    if (m_outstanding.empty()) {
        // An error outside any answer announces the end of the session.
        if (word != "ERROR") {
            m_environment.m_ledger.report("answer without an outstanding statement: " + line);
        }
        end_session(reconnect_pause);
    } else if (word == "ROW") {
        m_outstanding.front().m_answer.m_rows.push_back(rest);
    } else if (word == "COMPLETE") {
        m_outstanding.front().m_answer.m_success = true;
        m_outstanding.front().m_answer.m_proof = rest;
    } else if (word == "ERROR") {
        const std::string code = rest.substr(0, rest.find(' '));
        m_outstanding.front().m_answer.m_failed = true;
        m_outstanding.front().m_answer.m_guarantees_no_effect =
            std::find(no_effect_codes.begin(), no_effect_codes.end(), code) != no_effect_codes.end();
    } else {
        m_environment.m_ledger.report("unknown line in the answer to " + m_outstanding.front().m_id + ": " +
                                      line);
    }
}

void soak_caller::on_ready(const std::string& state) {
    if (!m_opened) {
        m_opened = true;
        next_operation();
        return;
    }
    if (m_outstanding.empty()) {
        m_environment.m_ledger.report("answer without an outstanding statement: READY " + state);
        return;
    }
    const outstanding done = m_outstanding.front();
    m_outstanding.pop_front();
    m_environment.m_ledger.on_answer_received(done.m_id, done.m_answer, reactor::now());
    if (m_finished) {
        if (m_outstanding.empty()) {
            await_close();
        } else {
            m_outstanding.front().m_waiting_since = reactor::now();
        }
        return;
    }
    const bool is_idle = state.starts_with("I");
    // After a failed SET or PREPARE, the values and prepared statements of the session are unknown.
    const bool is_known = !done.m_text.starts_with("SET ") && !done.m_text.starts_with("PREPARE ");
    if (done.m_answer.m_failed && is_idle && is_known && chance(keep_after_failure_percent)) {
        m_plan.clear();
    } else if (done.m_answer.m_failed || (m_plan.empty() && !is_idle)) {
        end_session(milliseconds{draw(300)});
        return;
    }
    if (done.m_text.starts_with("SET ")) {
        const std::string value = done.m_text.substr(4);
        m_environment.m_ledger.on_value_set(m_session, value.substr(0, value.find(' ')),
                                            value.substr(value.find(' ') + 1));
    }
    if (chance(abrupt_close_percent)) {
        end_session(milliseconds{draw(300)});
    } else if (!m_plan.empty()) {
        schedule(milliseconds{draw(25)}, &soak_caller::send_next);
    } else if (chance(terminate_percent)) {
        m_stream->write("TERMINATE\r\n");
        end_session(milliseconds{draw(300)});
    } else if (chance(no_pause_percent)) {
        next_operation();
    } else {
        schedule(milliseconds{20 + draw(160)}, &soak_caller::next_operation);
    }
}

void soak_caller::next_operation() {
    plan_operation();
    if (chance(m_environment.m_half_close_percent)) {
        send_all_and_finish();
    } else {
        send_next();
    }
}

void soak_caller::plan_operation() {
    m_attempt = m_environment.m_next_number++;
    m_in_transaction = false;
    const bool may_write = m_route.m_freshness != freshness::bounded_age;
    if (chance(set_value_percent)) {
        const std::string text = "SET v" + std::to_string(draw(2)) + " " + std::to_string(draw(9));
        m_plan.push_back({.m_wire = text, .m_text = text});
        return;
    }
    if (m_prepared.size() < 2 && chance(prepared_percent)) {
        const std::string access = may_write && chance(write_percent) ? "WRITE" : "READ";
        const std::string shape = "q" + std::to_string(draw(4));
        const std::string name = "s" + std::to_string(m_prepared.size());
        m_prepared[name] = access + " " + shape;
        const std::string text = "PREPARE " + name + " " + access + " " + shape;
        m_plan.push_back({.m_wire = text, .m_text = text});
        return;
    }
    if (!chance(transaction_percent)) {
        m_plan.push_back(draw_data_statement(may_write));
        return;
    }
    m_in_transaction = true;
    const bool read_only = !may_write || chance(30);
    m_plan.push_back({.m_wire = read_only ? "BEGIN READ" : "BEGIN", .m_text = "BEGIN"});
    const int count = 1 + draw(max_statements);
    for (int number = 0; number < count; ++number) {
        m_plan.push_back(draw_data_statement(!read_only));
    }
    const std::string end = chance(90) ? "COMMIT" : "ROLLBACK";
    m_plan.push_back({.m_wire = end, .m_text = end});
}

soak_caller::planned_statement soak_caller::draw_data_statement(bool may_write) {
    const std::string item = std::to_string(draw(item_count));
    const std::string data = std::to_string(m_environment.m_next_number++);
    if (!m_prepared.empty() && chance(prepared_percent)) {
        const auto known = std::next(m_prepared.begin(), draw(static_cast<int>(m_prepared.size())));
        const bool with_data = known->second.starts_with("WRITE");
        if (may_write || !with_data) {
            const std::string arguments = with_data ? item + " " + data : item;
            return {.m_wire = "EXECUTE " + known->first + " " + arguments,
                    .m_text = "EXECUTE " + known->second + " " + arguments};
        }
    }
    const std::string text =
        may_write && chance(write_percent) ? "WRITE " + item + " " + data : "READ " + item;
    return {.m_wire = text, .m_text = text};
}

void soak_caller::send_next() {
    const planned_statement next = m_plan.front();
    m_plan.pop_front();
    const std::string id = "q" + std::to_string(m_environment.m_next_number++);
    m_outstanding.push_back({.m_id = id, .m_text = next.m_text, .m_waiting_since = reactor::now()});
    m_environment.m_ledger.on_statement_sent({.m_id = id,
                                              .m_text = next.m_text,
                                              .m_session = m_session,
                                              .m_attempt = m_attempt,
                                              .m_in_transaction = m_in_transaction,
                                              .m_before_half_close = m_finished,
                                              .m_at = reactor::now()});
    m_stream->write("QUERY " + id + " " + next.m_wire + "\r\n");
    m_environment.m_loop.after(answer_timeout, [this, id] { check_timeout(id); });
}

void soak_caller::send_all_and_finish() {
    ++m_environment.m_half_closes;
    m_finished = true;
    while (!m_plan.empty()) {
        send_next();
    }
    m_stream->finish();
}

void soak_caller::check_timeout(const std::string& id) {
    const auto waiting = std::find_if(m_outstanding.begin(), m_outstanding.end(),
                                      [&](const outstanding& each) { return each.m_id == id; });
    if (m_stopped || waiting == m_outstanding.end()) {
        return;
    }
    const steady_time since = waiting->m_waiting_since;
    if (!m_environment.m_may_be_delayed(since)) {
        if (waiting != m_outstanding.begin() || reactor::now() < since + max_answer_time) {
            m_environment.m_loop.after(answer_timeout, [this, id] { check_timeout(id); });
            return;
        }
        m_environment.m_ledger.report("no answer and no closed connection: " + id);
    }
    m_outstanding.clear();
    end_session(reconnect_pause);
}

void soak_caller::watch_start() {
    if (m_opened || m_awaits_close_since) {
        return;
    }
    // After a reset nothing is unacknowledged either; that it has not come yet is looked at second.
    m_start_received = m_stream->unacknowledged_bytes() == 0 && !m_stream->has_unreported_input();
    if (!m_start_received) {
        schedule(start_watch_interval, &soak_caller::watch_start);
    }
}

void soak_caller::await_close() {
    m_awaits_close_since = reactor::now();
    schedule(answer_timeout, &soak_caller::check_closed);
}

void soak_caller::check_closed() {
    const steady_time since = *m_awaits_close_since;
    if (!m_environment.m_may_be_delayed(since)) {
        if (reactor::now() < since + max_answer_time) {
            schedule(answer_timeout, &soak_caller::check_closed);
            return;
        }
        m_environment.m_ledger.report(std::string("connection not closed after ") +
                                      (m_opened ? "the answers before a half-close" : "START was refused"));
    }
    end_session(reconnect_pause);
}

}
