/// \file table_follower.cpp
#include "anvilmount/gateway/table_follower.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// Pauses after questions that were not answered: short enough to be current
/// again well within the seconds that a configuration may take, and bounded
/// because refused questions are paid for too.
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{800};

/// Before a table is known at all nothing can be served: its return must not be missed for long.
constexpr milliseconds longest_first_pause{250};

}

table_follower::table_follower(options following, const clock_port& clock, const store_port& store,
                               change_handler on_change)
    : m_options(std::move(following)), m_clock(clock), m_store(store), m_on_change(std::move(on_change)) {}

void table_follower::start() {
    ask(true);
}

void table_follower::refresh() {
    if (!m_reads_whole) {
        ask(true);
    }
}

void table_follower::ask(bool whole) {
    const std::uint64_t question = ++m_question;
    m_reads_whole = whole;
    const auto on_reply = [this, whole, question](const store_answer& reply) {
        if (question == m_question) {
            on_answer(whole, reply);
        }
    };
    if (whole) {
        m_store.m_read_table(m_options.m_table, on_reply);
    } else {
        m_store.m_feed(m_options.m_table, m_version, m_options.m_watch_timeout, on_reply);
    }
}

void table_follower::ask_next() {
    if (m_options.m_min_interval.count() == 0) {
        ask(false);
        return;
    }
    m_clock.m_after(m_options.m_min_interval, [this, question = m_question] {
        if (question == m_question) {
            ask(false);
        }
    });
}

void table_follower::ask_later() {
    ++m_failures;
    const milliseconds pause =
        std::min(m_loaded ? longest_pause : longest_first_pause, first_pause * m_failures);
    // Whole: a feed brings each version since the last answer, which a narrow
    // link may not carry in time, the table only the newest.
    m_clock.m_after(pause, [this, question = m_question] {
        if (question == m_question) {
            ask(true);
        }
    });
}

void table_follower::on_answer(bool whole, const store_answer& reply) {
    switch (reply.m_status) {
    case store_status::history_gone:
        log_event(log_level::info, "store.history_gone", {{"table", m_options.m_table}});
        ask(true);
        return;
    case store_status::refused:
    case store_status::unknown:
    case store_status::conflict:
        if (!m_lost_since) {
            m_lost_since = m_clock.m_now();
            log_event(log_level::warning, "store.lost", {{"table", m_options.m_table}});
        }
        ask_later();
        return;
    case store_status::done:
        break;
    }
    if (m_lost_since) {
        log_event(log_level::info, "store.regained", {{"table", m_options.m_table}});
        m_lost_since.reset();
        m_regained_at = m_clock.m_now();
    }
    m_failures = 0;
    bool changed = whole && !m_loaded;
    if (whole) {
        changed = take_whole(reply) || changed;
        m_removed_at = m_loaded ? m_removed_at : reply.m_version;
        m_loaded = true;
    } else {
        for (const store_row& row : reply.m_rows) {
            changed = take(row) || changed;
        }
    }
    m_version = std::max(m_version, reply.m_version);
    m_reads_whole = false;
    const std::uint64_t answered = m_question;
    if (changed) {
        m_on_change(m_rows);
    }
    if (m_question == answered) {
        ask_next();
    }
}

bool table_follower::take(const store_row& row) {
    const auto known = m_rows.find(row.m_key);
    if (known != m_rows.end() && known->second.m_version >= row.m_version) {
        return false;
    }
    if (row.m_removed) {
        m_removed_at = std::max(m_removed_at, row.m_version);
        return m_rows.erase(row.m_key) > 0;
    }
    m_rows[row.m_key] = row;
    m_newest_row = std::max(m_newest_row, row.m_version);
    return true;
}

bool table_follower::take_whole(const store_answer& reply) {
    bool changed = false;
    for (auto each = m_rows.begin(); each != m_rows.end();) {
        const bool listed = std::any_of(reply.m_rows.begin(), reply.m_rows.end(),
                                        [&](const store_row& row) { return row.m_key == each->first; });
        const bool removed = !listed && reply.m_version > each->second.m_version;
        changed = changed || removed;
        m_removed_at = removed ? std::max(m_removed_at, reply.m_version) : m_removed_at;
        each = removed ? m_rows.erase(each) : std::next(each);
    }
    for (const store_row& row : reply.m_rows) {
        changed = take(row) || changed;
    }
    return changed;
}

}
