/// \file table_follower.cpp
/// Alternates snapshots and watches, with a growing delay after failed requests.
#include "anvilmount/gateway/table_follower.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// Delays after requests that were not answered. They are short enough for the copy to be current
/// again well within the seconds that a configuration change may take, and have a lower bound
/// because refused requests are paid for too.
constexpr milliseconds min_retry_delay{100};
constexpr milliseconds max_retry_delay{800};

/// Nothing can be served before the table is loaded for the first time, so the store's return is
/// noticed sooner.
constexpr milliseconds max_initial_retry_delay{250};

}

table_follower::table_follower(options following, const clock_port& clock, const store_port& store,
                               change_handler on_change)
    : m_options(std::move(following)), m_clock(clock), m_store(store), m_on_change(std::move(on_change)) {}

store_row table_follower::known_row(const std::string& key) const {
    const auto row = rows().find(key);
    return {.m_table = m_options.m_table,
            .m_key = key,
            .m_version = row == rows().end() ? store_version{} : row->second.m_version};
}

void table_follower::start() {
    send_request(true);
}

void table_follower::refresh() {
    if (!m_snapshot_in_flight) {
        send_request(true);
    }
}

void table_follower::note_stored_version(const store_version& version) {
    m_stored_version = std::max(m_stored_version, version);
    if (m_loaded && !is_current()) {
        refresh();
    }
}

void table_follower::send_request(bool snapshot) {
    const std::uint64_t request_number = ++m_request_number;
    m_snapshot_in_flight = snapshot;
    m_requested_at = m_clock.m_now();
    const auto on_reply = [this, snapshot, request_number](const store_answer& reply) {
        if (request_number == m_request_number) {
            on_answer(snapshot, reply);
        }
    };
    if (snapshot) {
        m_store.m_read_table(m_options.m_table, on_reply);
    } else {
        m_store.m_watch(m_options.m_table, m_copy.version(), m_options.m_watch_timeout, on_reply);
    }
}

void table_follower::request_next() {
    if (m_options.m_min_interval.count() == 0) {
        send_request(false);
        return;
    }
    m_clock.m_after(m_options.m_min_interval, [this, request_number = m_request_number] {
        if (request_number == m_request_number) {
            send_request(false);
        }
    });
}

void table_follower::retry_later() {
    ++m_consecutive_failures;
    const milliseconds delay = std::min(m_loaded ? max_retry_delay : max_initial_retry_delay,
                                        min_retry_delay * m_consecutive_failures);
    // Read a snapshot rather than watch: a watch returns every version since the last answer, which
    // a slow link may not carry in time, while a snapshot holds only the newest.
    m_clock.m_after(delay, [this, request_number = m_request_number] {
        if (request_number == m_request_number) {
            send_request(true);
        }
    });
}

void table_follower::on_answer(bool snapshot, const store_answer& reply) {
    switch (reply.m_status) {
    case store_status::history_gone:
        log_event(log_level::info, "store.history_gone",
                  {{"table", m_options.m_table}, {"known_version", to_string(m_copy.version())}});
        // The first time a snapshot helps; a store that does not know the version of its own snapshot is
        // asked less and less often.
        if (std::exchange(m_history_lost, true)) {
            retry_later();
        } else {
            send_request(true);
        }
        return;
    case store_status::refused:
    case store_status::unknown:
    case store_status::conflict:
        if (!m_unavailable_since) {
            m_unavailable_since = m_clock.m_now();
            log_event(log_level::warning, "store.lost", {{"table", m_options.m_table}});
        }
        retry_later();
        return;
    case store_status::done:
        break;
    }
    if (m_unavailable_since) {
        log_event(log_level::info, "store.regained",
                  {{"table", m_options.m_table},
                   {"known_version", to_string(m_copy.version())},
                   {"store_version", to_string(reply.m_version)}});
        m_unavailable_since.reset();
        m_recovered_at = m_clock.m_now();
    }
    if (!snapshot || !m_history_lost) {
        m_consecutive_failures = 0;
    }
    m_history_lost = m_history_lost && snapshot;
    store_answer received = reply;
    received.m_is_delta = !snapshot;
    // A watch reports a change as it happens; a snapshot shows what has happened since the last answer.
    m_previous_copy_held_until = snapshot ? m_answered_at : m_clock.m_now();
    m_answered_at = m_clock.m_now();
    const bool changed = m_copy.apply(received) || (snapshot && !m_loaded);
    m_loaded = m_loaded || snapshot;
    m_snapshot_in_flight = false;
    const std::uint64_t applied_request = m_request_number;
    if (changed) {
        log_event(
            log_level::info, "store.table_changed",
            {{"table", m_options.m_table},
             {"version", to_string(reply.m_version)},
             {"by", snapshot ? "read" : "watch"},
             {"asked_ms_ago",
              std::to_string(
                  std::chrono::duration_cast<milliseconds>(m_clock.m_now() - m_requested_at).count())}});
        m_on_change(m_copy.rows());
    }
    if (m_request_number == applied_request) {
        request_next();
    }
}

}
