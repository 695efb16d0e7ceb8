/// \file upstream_probe.cpp
/// Runs one request at a time on the connection: queued orders first, then polls.
#include "upstream_probe.hpp"

namespace anvilmount {
namespace {

constexpr milliseconds reconnect_delay{100};
constexpr milliseconds min_poll_interval{1};

/// Returns the first value of the reply's row, or the error that the upstream sent.
std::variant<std::string, failure> parse_order_outcome(std::string_view reply) {
    std::variant<std::string, failure> outcome{std::string()};
    const auto on_message = [&](const pg_message& message) {
        if (message.m_type == 'E') {
            outcome = failure{.m_code = result_code::switch_failed,
                              .m_message = parse_error_response(message.m_body).m_message};
        } else if (message.m_type == 'D') {
            pg_body_reader row(message.m_body);
            row.int16();
            const std::int32_t size = row.int32();
            outcome = std::string(row.bytes(size > 0 ? static_cast<std::size_t>(size) : 0));
        }
    };
    const auto error = failure_of([&] { return for_each_message(reply, on_message); });
    if (error) {
        return *error;
    }
    return outcome;
}

}

upstream_probe::upstream_probe(shard& owner, probe_options options, handlers callbacks)
    : m_shard(owner), m_options(std::move(options)), m_handlers(std::move(callbacks)),
      m_state_request(state_request()) {
    connect();
}

upstream_probe::~upstream_probe() {
    m_shard.loop().cancel(m_next_timer);
    m_shard.loop().cancel(m_timeout_timer);
    m_connection->close();
}

void upstream_probe::connect() {
    m_busy = true;
    m_connection =
        upstream_connection::open(m_shard, m_options.m_login,
                                  {.m_on_open = [this] { poll(); },
                                   .m_on_reply = [this](std::string&& bytes) { m_reply += bytes; },
                                   .m_on_ready = [this](std::string&& bytes, char) { on_reply(bytes); },
                                   .m_on_position = {},
                                   .m_on_lost = [this](const failure& why) { on_lost(why); }});
    start_timeout();
}

void upstream_probe::start_timeout() {
    m_shard.loop().cancel(m_timeout_timer);
    m_timeout_timer = m_shard.loop().after(m_options.m_timeout, [this] {
        m_connection->close();
        on_lost({.m_code = result_code::upstream_unavailable, .m_message = "the upstream does not answer"});
    });
}

void upstream_probe::poll() {
    m_shard.loop().cancel(m_next_timer);
    m_busy = true;
    m_poll_again = false;
    m_reply.clear();
    m_requested_at = reactor::now();
    peer::request_batch batch;
    batch.set_messages(m_state_request);
    m_connection->run(batch);
    start_timeout();
}

void upstream_probe::poll_soon() {
    if (m_busy) {
        m_poll_again = true;
        return;
    }
    const steady_time earliest = std::max(reactor::now(), m_requested_at + min_poll_interval);
    if (earliest < m_next_poll_at) {
        schedule_poll(std::chrono::duration_cast<microseconds>(earliest - reactor::now()));
    }
}

void upstream_probe::run_order(const std::string& sql, order_handler on_done) {
    m_orders.push_back({.m_sql = sql, .m_on_done = std::move(on_done)});
    if (!m_connection->is_open()) {
        finish_order(failure{.m_code = result_code::upstream_unavailable,
                             .m_message = "the upstream is not connected"});
    } else if (!m_busy) {
        start_next();
    }
}

void upstream_probe::start_next() {
    if (m_orders.empty()) {
        schedule_poll(m_poll_again ? microseconds{min_poll_interval} : microseconds{m_options.m_interval});
        return;
    }
    m_shard.loop().cancel(m_next_timer);
    m_busy = true;
    m_order_in_flight = true;
    m_reply.clear();
    peer::request_batch batch;
    append_query(*batch.mutable_messages(), m_orders.front().m_sql);
    m_connection->run(batch);
    start_timeout();
}

void upstream_probe::on_reply(std::string_view bytes) {
    m_busy = false;
    m_shard.loop().cancel(m_timeout_timer);
    m_reply += bytes;
    if (m_order_in_flight) {
        // Report the effect of the order without waiting for the interval.
        m_poll_again = true;
        finish_order(parse_order_outcome(m_reply));
        start_next();
        return;
    }
    auto state = parse_upstream_state(m_reply);
    start_next();
    if (!state) {
        m_handlers.m_on_silent({.m_code = result_code::upstream_protocol_violation,
                                .m_message = "the upstream does not tell its role and position"});
        return;
    }
    state->m_requested_at = m_requested_at;
    m_handlers.m_on_state(*state);
}

void upstream_probe::finish_order(std::variant<std::string, failure> outcome) {
    m_order_in_flight = false;
    const pending_order done = std::move(m_orders.front());
    m_orders.pop_front();
    done.m_on_done(std::move(outcome));
}

void upstream_probe::on_lost(const failure& why) {
    m_busy = false;
    m_shard.loop().cancel(m_timeout_timer);
    m_shard.loop().cancel(m_next_timer);
    m_next_timer = m_shard.loop().after(reconnect_delay, [this] { connect(); });
    const bool was_in_flight = m_order_in_flight;
    std::deque<pending_order> orders;
    orders.swap(m_orders);
    m_order_in_flight = false;
    for (std::size_t index = 0; index < orders.size(); ++index) {
        const result_code code =
            was_in_flight && index == 0 ? result_code::outcome_unknown : result_code::upstream_unavailable;
        orders[index].m_on_done(failure{.m_code = code, .m_message = why.m_message});
    }
    m_handlers.m_on_silent(why);
}

void upstream_probe::schedule_poll(microseconds delay) {
    m_shard.loop().cancel(m_next_timer);
    m_next_poll_at = reactor::now() + delay;
    m_next_timer = m_shard.loop().after(delay, [this] { poll(); });
}

}
