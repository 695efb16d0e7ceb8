/// \file log_follower.cpp
/// Calls log_since() on the primary at a fixed interval and queues the entries until
/// their lag has passed.
#include "upstream/log_follower.hpp"

#include "anvilmount/wire/pg_messages.hpp"

#include <algorithm>

namespace standin {
namespace {

using namespace anvilmount;

constexpr milliseconds reconnect_backoff{50};
constexpr milliseconds poll_interval{2};
constexpr milliseconds min_timer_delay{1};
constexpr milliseconds answer_timeout{300}; ///< Without an answer for longer, is_receiving() is false.

}

log_follower::log_follower(reactor& loop, log_follower_options options)
    : m_reactor(loop), m_options(std::move(options)), m_input(max_frontend_message_size),
      m_alive(std::make_shared<bool>(true)) {
    connect();
}

log_follower::~log_follower() {
    *m_alive = false;
    m_stream->close();
}

bool log_follower::is_receiving() const {
    return reactor::now() - m_last_answer <= answer_timeout;
}

void log_follower::apply_pending() {
    for (pending_entry& each : m_pending) {
        m_options.m_apply(each.m_entry);
    }
    m_pending.clear();
}

void log_follower::connect() {
    m_input = pg_message_buffer(max_frontend_message_size);
    m_stream = tcp_stream::connect(m_reactor, m_options.m_primary,
                                   {.m_on_connected = {},
                                    .m_on_bytes = [this](std::string_view bytes) { on_bytes(bytes); },
                                    .m_on_drained = {},
                                    .m_on_closed = [this](close_reason) { schedule_reconnect(); }});
    std::string startup;
    append_startup(
        startup,
        {{"user", "replication"}, {"database", "replication"}, {"application_name", m_options.m_name}});
    m_stream->write(startup);
}

void log_follower::schedule_reconnect() {
    m_reactor.after(reconnect_backoff, [this, alive = m_alive] {
        if (*alive) {
            connect();
        }
    });
}

log_position log_follower::received_position() const {
    return m_pending.empty() ? m_options.m_applied_position() : m_pending.back().m_entry.m_position;
}

void log_follower::request_entries() {
    const log_position position = received_position();
    std::string query;
    append_query(query, "SELECT * FROM log_since(" + std::to_string(position.m_offset) + ", " +
                            std::to_string(position.m_term) + ", " + std::to_string(m_options.m_term) +
                            ", '" + m_options.m_name + "')");
    m_stream->write(query);
}

void log_follower::on_bytes(std::string_view bytes) {
    m_input.append(bytes);
    const auto failed = failure_of([&]() -> result<void> {
        while (true) {
            BOOST_LEAF_AUTO(message, m_input.next());
            if (!message) {
                return {};
            }
            if (message->m_type == 'D') {
                on_row(message->m_body);
            } else if (message->m_type == 'E' &&
                       parse_error_response(message->m_body).m_sqlstate == "XX002") {
                m_pending.clear();
                m_options.m_on_diverged();
            } else if (message->m_type == 'C') {
                m_last_answer = reactor::now();
            } else if (message->m_type == 'Z') {
                m_reactor.after(poll_interval, [this, alive = m_alive] {
                    if (*alive && m_stream->is_open()) {
                        request_entries();
                    }
                });
            }
        }
    });
    if (failed) {
        m_stream->close();
        schedule_reconnect();
    }
}

void log_follower::on_row(std::string_view body) {
    pg_body_reader reader(body);
    const auto field = [&] {
        return std::string(reader.bytes(static_cast<std::size_t>(std::max(0, reader.int32()))));
    };
    reader.int16();
    log_entry entry;
    entry.m_position.m_offset = std::stoull(field());
    entry.m_position.m_term = std::stoull(field());
    entry.m_changes = field();
    if (entry.m_position.m_offset != received_position().m_offset + 1) {
        return;
    }
    const milliseconds lag = m_options.m_lag();
    m_pending.push_back({.m_due = reactor::now() + lag, .m_entry = std::move(entry)});
    if (lag.count() == 0) {
        apply_due();
    } else if (m_pending.size() == 1) {
        m_reactor.after(lag, [this, alive = m_alive] {
            if (*alive) {
                apply_due();
            }
        });
    }
}

void log_follower::apply_due() {
    while (!m_pending.empty() && m_pending.front().m_due <= reactor::now()) {
        m_options.m_apply(m_pending.front().m_entry);
        m_pending.pop_front();
    }
    if (!m_pending.empty()) {
        const auto wait =
            std::chrono::duration_cast<milliseconds>(m_pending.front().m_due - reactor::now());
        m_reactor.after(std::max(min_timer_delay, wait), [this, alive = m_alive] {
            if (*alive) {
                apply_due();
            }
        });
    }
}

}
