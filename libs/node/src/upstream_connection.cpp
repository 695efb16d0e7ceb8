/// \file upstream_connection.cpp
/// Implements the frontend side of the PostgreSQL protocol on one connection. Named
/// statements are prepared once and stay on the connection for later batches.
#include "upstream_connection.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

/// A connection with more named statements than this is replaced by a new one.
constexpr std::size_t max_prepared_statements = 500;

constexpr std::string_view position_parameter = "group_position";

}

std::shared_ptr<upstream_connection> upstream_connection::open(shard& owner, const upstream_login& login,
                                                               handlers callbacks) {
    std::shared_ptr<upstream_connection> connection(new upstream_connection(owner, std::move(callbacks)));
    const std::weak_ptr<upstream_connection> weak = connection;
    connection->m_stream = tcp_stream::connect(
        owner.loop(), login.m_address,
        {.m_on_connected = {},
         .m_on_bytes =
             [weak](std::string_view bytes) {
                 if (const auto self = weak.lock()) {
                     self->on_bytes(bytes);
                 }
             },
         .m_on_drained = {},
         .m_on_closed =
             [weak](close_reason reason) {
                 if (const auto self = weak.lock()) {
                     const bool is_connect_failure = reason == close_reason::connect_failed;
                     const std::string why = !self->m_fatal_error.empty() ? self->m_fatal_error
                                             : is_connect_failure ? "the upstream does not take connections"
                                                                  : "the connection to the upstream broke";
                     self->close_with_failure(
                         {.m_code = result_code::upstream_unavailable, .m_message = why});
                 }
             }});
    std::string startup_message;
    append_startup(
        startup_message,
        {{"user", login.m_user}, {"database", login.m_database}, {"application_name", "anvilmount"}});
    connection->m_stream->write(startup_message);
    return connection;
}

void upstream_connection::check_ended() {
    m_stream->read_arrived();
    if (!m_fatal_error.empty()) {
        close_with_failure({.m_code = result_code::upstream_unavailable, .m_message = m_fatal_error});
    }
}

bool upstream_connection::has_too_many_statements() const {
    return m_prepared.size() > max_prepared_statements;
}

void upstream_connection::close() {
    m_stage = stage::closed;
    m_stream->close();
}

void upstream_connection::close_with_failure(const failure& why) {
    if (m_stage == stage::closed) {
        return;
    }
    close();
    if (m_handlers.m_on_lost) {
        const auto keep_alive = shared_from_this();
        m_handlers.m_on_lost(why);
    }
}

void upstream_connection::on_bytes(std::string_view bytes) {
    const auto keep_alive = shared_from_this();
    m_reply.clear();
    const reply_sink sink{.m_on_message = [this](const pg_message& message) { on_message(message); },
                          .m_on_row = [this] { on_row(); },
                          .m_on_row_bytes =
                              [this](std::string_view part) {
                                  if (m_row_shown) {
                                      m_reply.append(part);
                                  }
                              }};
    if (const auto broken = failure_of([&] { return m_splitter.feed(bytes, sink); })) {
        close_with_failure(*broken);
        return;
    }
    if (m_stage == stage::closed || !m_running) {
        return;
    }
    append_supplied();
    if (m_saw_ready || m_sequence.is_complete()) {
        const char status = m_saw_ready ? m_status : 'F';
        m_running = false;
        m_saw_ready = false;
        m_idle_since = reactor::now();
        m_handlers.m_on_ready(std::move(m_reply), status);
    } else if (!m_reply.empty()) {
        m_handlers.m_on_reply(std::move(m_reply));
    }
}

void upstream_connection::on_startup_message(const pg_message& message) {
    pg_body_reader body(message.m_body);
    switch (message.m_type) {
    case 'R':
        if (body.int32() != 0) {
            close_with_failure(
                {.m_code = result_code::upstream_refused,
                 .m_message = "the upstream asks for a password; let the proxy's user in without one"});
        }
        break;
    case 'K':
        m_key.m_process_id = static_cast<std::uint32_t>(body.int32());
        m_key.m_secret = static_cast<std::uint32_t>(body.int32());
        break;
    case 'E':
        close_with_failure({.m_code = result_code::upstream_refused,
                            .m_message = "the upstream refused a connection: " +
                                         parse_error_response(message.m_body).m_message});
        break;
    case 'Z':
        m_stage = stage::open;
        m_idle_since = reactor::now();
        m_handlers.m_on_open();
        break;
    default:
        break;
    }
}

void upstream_connection::on_message(const pg_message& message) {
    if (m_stage == stage::closed) {
        return;
    }
    if (message.m_type == 'S') {
        pg_body_reader body(message.m_body);
        if (body.text() == position_parameter && m_handlers.m_on_position) {
            const auto position = value_or_failure([&] { return parse_log_position(body.text()); });
            if (const auto* known = std::get_if<0>(&position)) {
                m_handlers.m_on_position(*known);
            }
        }
        return;
    }
    if (m_stage == stage::connecting) {
        on_startup_message(message);
        return;
    }
    if (message.m_type == 'E') {
        const pg_error error = parse_error_response(message.m_body);
        m_fatal_error = error.m_severity == pg_severity::fatal ? error.m_message : std::string();
        m_pending_parses.clear();
        m_last_error = error.m_sqlstate;
        if (!m_fatal_error.empty()) {
            return; // The upstream closes the connection next; m_on_lost then reports the error.
        }
    }
    if (message.m_type == 'A') {
        return;
    }
    append_supplied();
    if (message.m_type == '1' && !m_pending_parses.empty()) {
        if (!m_pending_parses.front().empty()) {
            m_prepared.insert(m_pending_parses.front());
        }
        m_pending_parses.pop_front();
    }
    switch (m_sequence.on_message(message.m_type)) {
    case reply_action::forward:
        if (message.m_type != 'Z') {
            m_reply.append(message.m_raw_bytes);
        }
        break;
    case reply_action::drop:
        break;
    case reply_action::violation:
        close_with_failure(
            {.m_code = result_code::upstream_protocol_violation,
             .m_message =
                 std::string("the upstream sent an answer that was not asked for: ") + message.m_type});
        return;
    }
    if (message.m_type == 'Z') {
        m_status = message.m_body.empty() ? 'I' : message.m_body[0];
        m_saw_ready = m_sequence.is_complete();
    }
}

void upstream_connection::on_row() {
    append_supplied();
    const reply_action action = m_sequence.on_message('D');
    m_row_shown = action == reply_action::forward;
    if (action == reply_action::violation) {
        close_with_failure({.m_code = result_code::upstream_protocol_violation,
                            .m_message = "the upstream sent a row that was not asked for"});
    }
}

void upstream_connection::append_supplied() {
    for (const char type : m_sequence.supplied_replies()) {
        append_empty_message(m_reply, type);
    }
}

void upstream_connection::run(const peer::request_batch& batch) {
    std::string out;
    m_running = true;
    m_last_error.clear();
    append_batch(out, batch);
    m_stream->write(out);
    m_shard.loop().defer([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->finish_if_all_supplied();
        }
    });
}

/// Passes on the replies that the proxy supplies itself. Needed when a batch causes no reply
/// from the upstream, since on_bytes() is not called then.
void upstream_connection::finish_if_all_supplied() {
    if (!m_running || m_stage != stage::open) {
        return;
    }
    std::string supplied;
    for (const char type : m_sequence.supplied_replies()) {
        append_empty_message(supplied, type);
    }
    if (m_sequence.is_complete()) {
        m_running = false;
        m_handlers.m_on_ready(std::move(supplied), 'F');
    } else if (!supplied.empty()) {
        m_handlers.m_on_reply(std::move(supplied));
    }
}

void upstream_connection::append_batch(std::string& out, const peer::request_batch& batch) {
    for (const peer::statement_source& source : batch.statements()) {
        if (source.name().empty() || !m_prepared.contains(source.name())) {
            append_parse(out, source.name(), source.parse(), reply_visibility::hidden);
        }
    }
    const auto broken = failure_of([&] {
        return for_each_message(batch.messages(),
                                [&](const pg_message& message) { append_message(out, message); });
    });
    internal_check(!broken, "a batch is validated when it arrives");
}

void upstream_connection::append_message(std::string& out, const pg_message& message) {
    pg_body_reader body(message.m_body);
    if (message.m_type == 'P') {
        append_parse(out, body.text(), message.m_raw_bytes, reply_visibility::shown);
        return;
    }
    if (message.m_type == 'C' && body.byte() == 'S') {
        // Named statements stay on the connection for later batches, so Close is not sent.
        m_sequence.expect('C', reply_visibility::supplied);
        return;
    }
    m_sequence.expect(message.m_type, reply_visibility::shown);
    out.append(message.m_raw_bytes);
}

void upstream_connection::append_parse(std::string& out, std::string_view name,
                                       std::string_view parse_message, reply_visibility visibility) {
    const bool known = !name.empty() && (m_prepared.contains(name) ||
                                         std::find(m_pending_parses.begin(), m_pending_parses.end(),
                                                   name) != m_pending_parses.end());
    if (known) {
        if (visibility == reply_visibility::shown) {
            m_sequence.expect('P', reply_visibility::supplied);
        }
        return;
    }
    m_sequence.expect('P', visibility);
    if (!m_sequence.is_skipping()) {
        m_pending_parses.emplace_back(name);
    }
    out.append(parse_message);
}

void send_cancel(shard& owner, const endpoint& upstream, const backend_key& key) {
    // The slot is held by the stream's own handler, so the stream lives until the upstream closes it.
    const auto slot = std::make_shared<std::shared_ptr<tcp_stream>>();
    *slot = tcp_stream::connect(owner.loop(), upstream,
                                {.m_on_connected = {},
                                 .m_on_bytes = [](std::string_view) {},
                                 .m_on_drained = {},
                                 .m_on_closed = [slot](close_reason) { slot->reset(); }});
    std::string request;
    append_cancel_request(request, key);
    (*slot)->write(request);
}

}
