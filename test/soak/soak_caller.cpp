/// \file soak_caller.cpp
#include "soak/soak_caller.hpp"

#include <algorithm>
#include <array>

namespace test {
namespace {

using namespace anvilmount;

constexpr milliseconds longest_silence{6000};
constexpr milliseconds reconnect_pause{150};
constexpr int items = 40;
constexpr int most_statements = 5;
constexpr std::array codes_of_nothing_kept{"BUSY",     "ABORTED",   "LAGGING",
                                           "READONLY", "MISROUTED", "TOOMANY"};

/// Percentages of operations and of what callers do besides.
constexpr int transactions = 35;
constexpr int writes = 35;
constexpr int new_values = 5;
constexpr int prepared_statements = 20;
constexpr int leaves_in_the_middle = 2;
constexpr int ends_after_operation = 3;

}

int soak_caller::draw(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(m_around.m_random);
}

void soak_caller::start() {
    later(milliseconds{draw(500)}, &soak_caller::connect);
}

void soak_caller::stop() {
    m_stopped = true;
    if (m_stream) {
        m_stream->set_handlers({});
        m_stream->close();
    }
}

void soak_caller::later(milliseconds delay, void (soak_caller::*what)()) {
    m_around.m_loop.after(delay, [this, what, session = m_session] {
        if (!m_stopped && session == m_session) {
            (this->*what)();
        }
    });
}

void soak_caller::connect() {
    const auto target = m_around.m_pick_instance();
    if (!target) {
        later(reconnect_pause, &soak_caller::connect);
        return;
    }
    m_instance = target->first;
    m_session = m_around.m_next_number++;
    m_opened = false;
    m_unread.clear();
    m_plan.clear();
    m_prepared.clear();
    m_outstanding.reset();
    m_around.m_ledger.opened(m_session, m_route);
    m_stream = tcp_stream::connect(
        m_around.m_loop, target->second,
        {.m_on_connected = [this] { m_stream->write("START " + m_route.m_database + " soak\r\n"); },
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
         .m_on_closed = [this](close_reason) { on_lost(); }});
    m_around.m_loop.after(longest_silence, [this, session = m_session] {
        if (session == m_session && !m_opened && !m_stopped) {
            end_session(reconnect_pause);
        }
    });
}

void soak_caller::end_session(milliseconds pause) {
    m_session = m_around.m_next_number++;
    // The stream may be what is calling.
    m_around.m_loop.defer([stream = m_stream] {
        stream->set_handlers({});
        stream->close();
    });
    later(pause, &soak_caller::connect);
}

void soak_caller::on_lost() {
    if (m_outstanding) {
        const auto waited =
            std::chrono::duration_cast<milliseconds>(reactor::now() - m_outstanding->m_sent_at);
        m_around.m_cut_off(m_instance, m_outstanding->m_id, waited);
    }
    end_session(reconnect_pause);
}

void soak_caller::on_line(const std::string& line) {
    const std::string word = line.substr(0, line.find(' '));
    const std::string rest = line.size() > word.size() ? line.substr(word.size() + 1) : std::string{};
    if (word == "READY") {
        on_ready(rest);
        return;
    }
    if (!m_outstanding) {
        if (word != "ERROR") {
            m_around.m_ledger.report("an answer to nothing: " + line);
        }
        end_session(reconnect_pause);
    } else if (word == "ROW") {
        m_outstanding->m_answer.m_rows.push_back(rest);
    } else if (word == "COMPLETE") {
        m_outstanding->m_answer.m_success = true;
        m_outstanding->m_answer.m_proof = rest;
    } else if (word == "ERROR") {
        const std::string code = rest.substr(0, rest.find(' '));
        m_outstanding->m_failed = true;
        m_outstanding->m_answer.m_promises_nothing_ran =
            std::find(codes_of_nothing_kept.begin(), codes_of_nothing_kept.end(), code) !=
            codes_of_nothing_kept.end();
    }
}

void soak_caller::on_ready(const std::string& state) {
    if (!m_opened) {
        m_opened = true;
        next_operation();
        return;
    }
    if (!m_outstanding) {
        m_around.m_ledger.report("an answer to nothing: READY " + state);
        return;
    }
    const outstanding done = *m_outstanding;
    m_outstanding.reset();
    m_around.m_ledger.told(done.m_id, done.m_answer, reactor::now());
    if (done.m_failed || (m_plan.empty() && !state.starts_with("I"))) {
        end_session(milliseconds{draw(300)});
        return;
    }
    if (done.m_text.starts_with("SET ")) {
        const std::string value = done.m_text.substr(4);
        m_around.m_ledger.value_set(m_session, value.substr(0, value.find(' ')),
                                    value.substr(value.find(' ') + 1));
    }
    if (chance(leaves_in_the_middle)) {
        end_session(milliseconds{draw(300)});
    } else if (!m_plan.empty()) {
        later(milliseconds{draw(25)}, &soak_caller::send_next);
    } else if (chance(ends_after_operation)) {
        m_stream->write("TERMINATE\r\n");
        end_session(milliseconds{draw(300)});
    } else {
        later(milliseconds{20 + draw(160)}, &soak_caller::next_operation);
    }
}

void soak_caller::next_operation() {
    plan_operation();
    send_next();
}

void soak_caller::plan_operation() {
    m_attempt = m_around.m_next_number++;
    m_in_transaction = false;
    const bool may_write = m_route.m_freshness != freshness::bounded_age;
    if (chance(new_values)) {
        const std::string text = "SET v" + std::to_string(draw(2)) + " " + std::to_string(draw(9));
        m_plan.push_back({.m_wire = text, .m_text = text});
        return;
    }
    if (m_prepared.size() < 2 && chance(prepared_statements)) {
        const std::string access = may_write && chance(writes) ? "WRITE" : "READ";
        const std::string shape = "q" + std::to_string(draw(4));
        const std::string name = "s" + std::to_string(m_prepared.size());
        m_prepared[name] = access + " " + shape;
        const std::string text = "PREPARE " + name + " " + access + " " + shape;
        m_plan.push_back({.m_wire = text, .m_text = text});
        return;
    }
    if (!chance(transactions)) {
        m_plan.push_back(data_statement(may_write));
        return;
    }
    m_in_transaction = true;
    const bool read_only = !may_write || chance(30);
    m_plan.push_back({.m_wire = read_only ? "BEGIN READ" : "BEGIN", .m_text = "BEGIN"});
    const int count = 1 + draw(most_statements);
    for (int number = 0; number < count; ++number) {
        m_plan.push_back(data_statement(!read_only));
    }
    const std::string end = chance(90) ? "COMMIT" : "ROLLBACK";
    m_plan.push_back({.m_wire = end, .m_text = end});
}

soak_caller::planned soak_caller::data_statement(bool may_write) {
    const std::string item = std::to_string(draw(items));
    const std::string data = std::to_string(m_around.m_next_number++);
    if (!m_prepared.empty() && chance(prepared_statements)) {
        const auto known = std::next(m_prepared.begin(), draw(static_cast<int>(m_prepared.size())));
        const bool with_data = known->second.starts_with("WRITE");
        if (may_write || !with_data) {
            const std::string arguments = with_data ? item + " " + data : item;
            return {.m_wire = "EXECUTE " + known->first + " " + arguments,
                    .m_text = "EXECUTE " + known->second + " " + arguments};
        }
    }
    const std::string text = may_write && chance(writes) ? "WRITE " + item + " " + data : "READ " + item;
    return {.m_wire = text, .m_text = text};
}

void soak_caller::send_next() {
    const planned next = m_plan.front();
    m_plan.pop_front();
    const std::string id = "q" + std::to_string(m_around.m_next_number++);
    m_outstanding = outstanding{.m_id = id, .m_text = next.m_text, .m_sent_at = reactor::now()};
    m_around.m_ledger.sent({.m_id = id,
                            .m_text = next.m_text,
                            .m_session = m_session,
                            .m_attempt = m_attempt,
                            .m_in_transaction = m_in_transaction,
                            .m_at = reactor::now()});
    m_stream->write("QUERY " + id + " " + next.m_wire + "\r\n");
    m_around.m_loop.after(longest_silence, [this, id] { check_silence(id); });
}

void soak_caller::check_silence(const std::string& id) {
    if (!m_stopped && m_outstanding && m_outstanding->m_id == id) {
        m_outstanding.reset();
        end_session(reconnect_pause);
    }
}

}
