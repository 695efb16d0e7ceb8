/// \file fake_store.cpp
/// Every answer and every client timeout takes a fixed virtual time.
#include "support/fake_store.hpp"

#include <utility>

namespace anvilmount::test {
namespace {

using gateway::store_answer;
using gateway::store_status;

constexpr milliseconds answer_time{5};
constexpr milliseconds client_timeout{1500};
constexpr milliseconds late_answer_time{2500};

}

gateway::store_port fake_store::port(const std::string& name) {
    return {.m_read_table =
                [this, name](const std::string& table, gateway::store_callback done) {
                    if (apply_fault(name, done)) {
                        return;
                    }
                    store_answer reply = read_snapshot(name, table).m_answer;
                    if (m_kept_snapshot && m_kept_snapshot->m_client == name) {
                        reply = m_kept_snapshot->m_answer;
                        reply.m_age = std::chrono::duration_cast<milliseconds>(m_clock.now() -
                                                                               m_kept_snapshot->m_taken_at);
                    }
                    answer(done, std::move(reply));
                },
            .m_read_changes =
                [this, name](const std::string& table, const store_version& version,
                             gateway::store_callback done) {
                    read_changes(name, table, version, std::move(done));
                },
            .m_change = [this, name](const gateway::store_change& what,
                                     gateway::store_callback done) { change(name, what, done); },
            .m_watch =
                [this, name](const std::string& table, const store_version& version, milliseconds wait,
                             gateway::store_callback done) {
                    watch(name, table, version, wait, std::move(done));
                }};
}

fake_store::kept_snapshot fake_store::read_snapshot(const std::string& client,
                                                    const std::string& table) const {
    kept_snapshot snapshot{.m_client = client,
                           .m_taken_at = m_clock.now(),
                           .m_answer = {.m_status = store_status::done, .m_version = current_version()}};
    for (const auto& [key, row] : m_rows) {
        if (key.first == table) {
            snapshot.m_answer.m_rows.push_back(in_present_era(row));
        }
    }
    return snapshot;
}

void fake_store::read_changes(const std::string& name, const std::string& table,
                              const store_version& version, gateway::store_callback done) {
    if (apply_fault(name, done)) {
        return;
    }
    if (m_kept_snapshot && m_kept_snapshot->m_client == name) {
        store_answer reply = m_kept_snapshot->m_answer;
        reply.m_age = std::chrono::duration_cast<milliseconds>(m_clock.now() - m_kept_snapshot->m_taken_at);
        answer(done, std::move(reply));
        return;
    }
    if (version.m_number < m_oldest_version || version.m_number > m_version) {
        answer(done, {.m_status = store_status::history_gone});
        return;
    }
    store_answer reply = changes_since(table, version.m_number);
    reply.m_is_delta = true;
    answer(done, std::move(reply));
}

bool fake_store::apply_fault(const std::string& name, const gateway::store_callback& done) {
    ++m_calls;
    if (m_unreachable) {
        m_clock.after(client_timeout, [done] { done({.m_status = store_status::unknown}); });
        return true;
    }
    if (m_refused_clients.contains(name)) {
        answer(done, {.m_status = store_status::refused});
        return true;
    }
    return false;
}

void fake_store::answer(const gateway::store_callback& done, store_answer reply) {
    m_clock.after(answer_time, [done, reply = std::move(reply)] { done(reply); });
}

gateway::store_row fake_store::in_present_era(gateway::store_row row) const {
    row.m_version.m_era = m_era;
    return row;
}

void fake_store::put(const std::string& table, const std::string& key, const std::string& value) {
    gateway::store_row row{.m_table = table, .m_key = key, .m_value = value};
    row.m_version.m_number = ++m_version;
    m_rows[{table, key}] = row;
    m_history.emplace(m_version, row);
    answer_waiters();
}

void fake_store::remove(const std::string& table, const std::string& key) {
    if (m_rows.erase({table, key}) > 0) {
        ++m_version;
        m_history.emplace(m_version, gateway::store_row{.m_table = table,
                                                        .m_key = key,
                                                        .m_version = {.m_number = m_version},
                                                        .m_removed = true});
        answer_waiters();
    }
}

std::string fake_store::value(const std::string& table, const std::string& key) const {
    const auto found = m_rows.find({table, key});
    return found == m_rows.end() ? std::string{} : found->second.m_value;
}

void fake_store::change(const std::string& name, const gateway::store_change& what,
                        const gateway::store_callback& done) {
    if (apply_fault(name, done)) {
        return;
    }
    const milliseconds delay = m_change_delay(name, what);
    if (delay > client_timeout) {
        m_clock.after(client_timeout, [done] { done({.m_status = store_status::unknown}); });
        m_clock.after(delay, [this, name, what] { apply_change(name, what, [](const auto&) {}); });
    } else if (delay.count() > 0) {
        m_clock.after(delay, [this, name, what, done] { apply_change(name, what, done); });
    } else {
        apply_change(name, what, done);
    }
}

void fake_store::apply_change(const std::string& name, const gateway::store_change& what,
                              const gateway::store_callback& done) {
    store_answer conflict{.m_status = store_status::conflict, .m_version = current_version()};
    bool matches = true;
    for (const gateway::store_row& row : what.m_expected) {
        const auto found = m_rows.find({row.m_table, row.m_key});
        matches = matches &&
                  (found == m_rows.end() ? 0 : found->second.m_version.m_number) == row.m_version.m_number;
        if (found != m_rows.end()) {
            conflict.m_rows.push_back(in_present_era(found->second));
        }
    }
    if (!matches) {
        answer(done, std::move(conflict));
        return;
    }
    ++m_changes;
    ++m_version;
    for (gateway::store_row row : what.m_writes) {
        row.m_version.m_number = m_version;
        m_rows[{row.m_table, row.m_key}] = row;
        m_history.emplace(m_version, row);
    }
    for (gateway::store_row row : what.m_removals) {
        if (m_rows.erase({row.m_table, row.m_key}) > 0) {
            row.m_version.m_number = m_version;
            row.m_removed = true;
            m_history.emplace(m_version, row);
        }
    }
    if (m_loses_change_answers) {
        m_clock.after(client_timeout, [done] { done({.m_status = store_status::unknown}); });
    } else {
        const bool heartbeat =
            !what.m_writes.empty() && (what.m_writes.front().m_key.starts_with("member/") ||
                                       what.m_writes.front().m_key.starts_with("renewals/"));
        const bool late = heartbeat && m_slow_heartbeat_clients.contains(name);
        m_clock.after((late ? late_answer_time : answer_time) + m_answer_delay(name, what),
                      [done, version = current_version()] {
                          done({.m_status = store_status::done, .m_version = version});
                      });
    }
    answer_waiters();
}

store_answer fake_store::changes_since(const std::string& table, std::uint64_t after) const {
    store_answer reply{.m_status = store_status::done, .m_version = current_version()};
    for (auto each = m_history.upper_bound(after); each != m_history.end(); ++each) {
        if (each->second.m_table == table) {
            reply.m_rows.push_back(in_present_era(each->second));
        }
    }
    return reply;
}

void fake_store::watch(const std::string& name, const std::string& table, const store_version& version,
                       milliseconds wait, gateway::store_callback done) {
    if (apply_fault(name, done)) {
        return;
    }
    if (version.m_number < m_oldest_version || version.m_number > m_version) {
        answer(done, {.m_status = store_status::history_gone});
        return;
    }
    auto waiting = std::make_shared<waiter>(
        waiter{.m_name = name, .m_table = table, .m_after = version.m_number, .m_done = std::move(done)});
    m_waiters.push_back(waiting);
    answer_waiters();
    m_clock.after(wait, [this, waiting] {
        if (m_silent_watches) {
            return;
        }
        if (!waiting->m_answered && !m_unreachable && !m_refused_clients.contains(waiting->m_name)) {
            waiting->m_answered = true;
            answer(waiting->m_done, changes_since(waiting->m_table, waiting->m_after));
        } else if (!waiting->m_answered) {
            waiting->m_answered = true;
            m_clock.after(client_timeout,
                          [waiting] { waiting->m_done({.m_status = store_status::unknown}); });
        }
    });
}

void fake_store::answer_waiters() {
    for (auto each = m_waiters.begin(); each != m_waiters.end();) {
        const auto waiting = *each;
        const bool reachable =
            !m_unreachable && !m_silent_watches && !m_refused_clients.contains(waiting->m_name);
        store_answer new_changes = changes_since(waiting->m_table, waiting->m_after);
        if (!waiting->m_answered && reachable && !new_changes.m_rows.empty()) {
            waiting->m_answered = true;
            if (new_changes.m_rows.size() > m_max_watch_rows) {
                m_clock.after(client_timeout,
                              [waiting] { waiting->m_done({.m_status = store_status::unknown}); });
            } else {
                answer(waiting->m_done, std::move(new_changes));
            }
        }
        each = waiting->m_answered ? m_waiters.erase(each) : std::next(each);
    }
}

std::shared_ptr<const fake_store::backup> fake_store::back_up() const {
    return std::make_shared<const backup>(backup{.m_rows = m_rows,
                                                 .m_history = m_history,
                                                 .m_version = m_version,
                                                 .m_oldest_version = m_oldest_version});
}

void fake_store::restore(const std::shared_ptr<const backup>& earlier) {
    m_rows = earlier->m_rows;
    m_history = earlier->m_history;
    m_version = earlier->m_version;
    ++m_era;
    m_oldest_version = earlier->m_oldest_version;
    for (const auto& waiting : std::exchange(m_waiters, {})) {
        waiting->m_answered = true;
        m_clock.after(client_timeout, [waiting] { waiting->m_done({.m_status = store_status::unknown}); });
    }
}

void fake_store::forget_history() {
    m_history.clear();
    m_oldest_version = ++m_version;
}

}
