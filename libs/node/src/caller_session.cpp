/// \file caller_session.cpp
/// Implements the startup, request and error handling of a session, and the retries of
/// requests whose attempt failed.
#include "caller_session.hpp"

#include "local_answer.hpp"

#include "anvilmount/decisions/retry.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount {
namespace {

/// Above this many bytes unsent to the caller, the home gets no further credit.
constexpr std::size_t max_unsent_bytes = std::size_t{256} * 1024;
/// Above this much input received during a request, reading from the caller pauses.
constexpr std::size_t max_pending_input_bytes = std::size_t{64} * 1024;

/// How long a caller that has received everything may leave its connection open after the end of its
/// session.
constexpr milliseconds caller_close_timeout{3000};
/// How long it may take to receive everything.
constexpr milliseconds max_ending_time{30000};

constexpr std::string_view token_parameter = "anvilmount.session_token";

/// How long an upstream is avoided after it was unavailable or leaving.
constexpr milliseconds unavailable_avoidance{200};
constexpr milliseconds leaving_avoidance{5000};

failure failure_from(const peer::closed& closed) {
    const auto code = result_code_from_number(closed.code());
    return {.m_code = code.value_or(result_code::outcome_unknown), .m_message = closed.message()};
}

}

caller_session::caller_session(front_context& context, closed_handler on_closed)
    : m_context(context), m_on_closed(std::move(on_closed)), m_input(max_frontend_message_size) {}

caller_session::~caller_session() = default;

void caller_session::start(int fd) {
    // The session owns the stream, so the handlers cannot outlive the session.
    m_stream = tcp_stream::adopt(m_context.m_shard.loop(), fd,
                                 {.m_on_connected = {},
                                  .m_on_bytes = [this](std::string_view bytes) { on_bytes(bytes); },
                                  .m_on_drained = [this] { on_drained(); },
                                  .m_on_closed =
                                      [this](close_reason) {
                                          report_unanswered(m_caller_finished ? "caller_closed"
                                                                              : "caller_unreachable");
                                          close();
                                      },
                                  .m_on_finished = [this] { on_caller_finished(); }});
    m_timer = m_context.m_shard.loop().after(m_context.m_options.m_startup_timeout, [this] {
        close_with_error({.m_code = result_code::startup_timeout,
                          .m_message = "the connection did not start a session in time"});
    });
}

void caller_session::on_bytes(std::string_view bytes) {
    const auto keep_alive = shared_from_this();
    if (is_over()) {
        if (!std::exchange(m_has_discarded_input, true)) {
            m_context.m_shard.shard_metrics().count("front.input_discarded");
            log_event(log_level::info, "session.input_discarded",
                      {{"group", m_settings.m_group.m_text}, {"bytes", std::to_string(bytes.size())}});
        }
        return;
    }
    m_input.append(bytes);
    process_input();
}

void caller_session::on_caller_finished() {
    const auto keep_alive = shared_from_this();
    m_caller_finished = true;
    if (m_phase == phase::ending) {
        close_when_sent();
    } else if (m_phase != phase::running) {
        end();
    } else if (m_boundary.is_between_messages()) {
        // A caller may get this message at any time, and one that has gone answers it with a reset.
        std::string out;
        append_parameter_status(out, "server_version", m_context.m_options.m_server_version);
        m_stream->write(out);
    }
}

void caller_session::process_input() {
    const auto broken = failure_of([&]() -> result<void> {
        while (m_phase == phase::startup) {
            BOOST_LEAF_AUTO(progress, process_startup());
            if (!progress) {
                return {};
            }
        }
        while (m_phase == phase::ready) {
            BOOST_LEAF_AUTO(message, m_input.next());
            if (!message) {
                m_input.release_memory();
                return {};
            }
            handle_message(*message);
        }
        return {};
    });
    if (broken) {
        close_with_error(*broken);
        return;
    }
    if (m_caller_finished && m_phase == phase::ready) {
        end();
        return;
    }
    if (m_phase == phase::running && m_input.size() > max_pending_input_bytes &&
        !m_stream->is_reading_paused()) {
        m_stream->pause_reading();
    } else if (m_phase == phase::ready && m_stream->is_reading_paused()) {
        m_stream->resume_reading();
    }
}

result<bool> caller_session::process_startup() {
    BOOST_LEAF_AUTO(packet, m_input.next_startup());
    if (!packet) {
        return false;
    }
    pg_body_reader reader(*packet);
    const std::int32_t code = reader.int32();
    if (code == pg_ssl_request || code == pg_gss_request) {
        m_stream->write("N");
        return true;
    }
    if (code == pg_cancel_request) {
        const auto process = static_cast<std::uint32_t>(reader.int32());
        const auto secret = static_cast<std::uint32_t>(reader.int32());
        const backend_key key{.m_process_id = process, .m_secret = secret};
        if (cancel_tag(key) == m_context.m_cancel_registry.own_tag()) {
            m_context.m_cancel_registry.cancel(key);
        } else {
            m_context.m_forward_cancel(key);
        }
        end();
        return false;
    }
    constexpr int major_shift = 16;
    if (code >> major_shift != pg_protocol_3 >> major_shift) {
        return fail(result_code::unsupported_protocol_version,
                    "only version 3 of the protocol is spoken here");
    }
    BOOST_LEAF_CHECK(begin_session(reader.remaining()));
    return true;
}

result<void> caller_session::begin_session(std::string_view body) {
    BOOST_LEAF_AUTO(parameters, parse_startup_parameters(body));
    if (m_refusal) {
        return boost::leaf::new_error(*m_refusal);
    }
    if (parameters.contains("replication") && parameters["replication"] != "false") {
        return fail(result_code::replication_unsupported,
                    "replication connections go to the upstreams themselves");
    }
    m_settings.m_origin = {.m_user = parameters["user"], .m_application = parameters["application_name"]};
    m_settings.m_group.m_text =
        parameters["database"].empty() ? m_settings.m_origin.m_user : parameters["database"];
    if (m_leaving) {
        return fail(result_code::instance_leaving, "this instance is going out of service; use another");
    }
    if (m_context.m_knowledge.current()->m_revision == 0) {
        return fail(result_code::configuration_missing,
                    "this instance has no configuration yet; try another");
    }
    m_group = m_context.m_knowledge.find(m_settings.m_group);
    if (!m_group) {
        return fail(result_code::unknown_group, "there is no group \"" + m_settings.m_group.m_text + "\"");
    }
    BOOST_LEAF_CHECK(m_settings.apply_startup(parameters));
    m_context.m_shard.loop().cancel(m_timer);
    m_caller_id =
        (static_cast<std::uint64_t>(m_context.m_shard.random()) << 32U) | m_context.m_shard.random();
    shard& home_shard = m_context.m_shard;
    m_key =
        m_context.m_cancel_registry.add(m_context.m_shard.random(), [weak = weak_from_this(), &home_shard] {
            home_shard.post([weak] {
                if (const auto self = weak.lock()) {
                    self->on_cancel();
                }
            });
        });
    m_phase = phase::ready;
    send_greeting();
    return {};
}

void caller_session::send_greeting() {
    std::string out;
    append_authentication_ok(out);
    append_parameter_status(out, "server_version", m_context.m_options.m_server_version);
    append_parameter_status(out, "server_encoding", "UTF8");
    append_parameter_status(out, "client_encoding", "UTF8");
    append_parameter_status(out, "DateStyle", "ISO, MDY");
    append_parameter_status(out, "integer_datetimes", "on");
    append_parameter_status(out, "standard_conforming_strings", "on");
    append_parameter_status(out, "TimeZone", "UTC");
    append_backend_key_data(out, m_key);
    append_ready_for_query(out, 'I');
    m_stream->write(out);
    m_context.m_shard.shard_metrics().count("front.sessions");
}

void caller_session::handle_message(const pg_message& message) {
    switch (message.m_type) {
    case 'X':
        end();
        return;
    case 'd':
    case 'c':
    case 'f':
        return; // CopyData, CopyDone or CopyFail that the caller sent before it saw that COPY was refused.
    case 'F':
        refuse_batch({.m_code = result_code::function_call_unsupported,
                      .m_message = "function calls by number are not served; use SELECT"},
                     true);
        return;
    case 'Q':
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
    case 'H':
    case 'S':
        add_to_batch(message);
        return;
    default:
        close_with_error({.m_code = result_code::protocol_violation,
                          .m_message = std::string("a message of unknown type '") + message.m_type + "'"});
    }
}

void caller_session::add_to_batch(const pg_message& message) {
    if (m_skip_to_sync) {
        if (message.m_type == 'S') {
            m_skip_to_sync = false;
            std::string out;
            append_ready_for_query(out, m_status);
            m_stream->write(out);
        }
        return;
    }
    if (!m_batch) {
        m_batch = std::make_unique<caller_batch>();
    }
    if (const auto broken = failure_of([&] { return m_batch->add(message, m_prepared); })) {
        close_with_error(*broken);
        return;
    }
    if (m_batch->size_bytes() > max_frontend_message_size) {
        close_with_error(
            {.m_code = result_code::message_too_large, .m_message = "a request is larger than 16 MiB"});
        return;
    }
    if (message.m_type == 'Q' || message.m_type == 'S' || message.m_type == 'H') {
        dispatch_batch();
    }
}

std::optional<failure> caller_session::check_supported(const script_traits& traits) const {
    if (traits.contains(statement_kind::copy)) {
        return failure{.m_code = result_code::copy_unsupported,
                       .m_message = "COPY is not served through the proxy; connect to an upstream"};
    }
    if (traits.contains(statement_kind::session_state)) {
        return failure{.m_code = result_code::session_state_unsupported,
                       .m_message =
                           "the statement would change a connection that callers share; use SET LOCAL "
                           "inside a transaction, or the protocol's own prepared statements"};
    }
    if (traits.contains(statement_kind::session_set) || traits.contains(statement_kind::session_show)) {
        return failure{.m_code = result_code::session_state_unsupported,
                       .m_message = "settings of the proxy must be sent in a request of their own"};
    }
    return std::nullopt;
}

void caller_session::dispatch_batch() {
    caller_batch batch = std::move(*m_batch);
    m_batch.reset();
    if (!m_in_flush && batch.is_answered_locally()) {
        const local_answer answer = answer_locally(batch, m_settings, m_status);
        m_skip_to_sync = answer.m_skip_to_sync;
        m_stream->write(answer.m_bytes);
        return;
    }
    script_traits traits = batch.traits();
    const bool has_request_id = !m_settings.m_overrides.m_request_id.empty() ||
                                std::any_of(traits.m_hints.begin(), traits.m_hints.end(),
                                            [](const auto& hint) { return hint.m_name == "request_id"; });
    const bool controls_transaction = traits.contains(statement_kind::begin) ||
                                      traits.contains(statement_kind::end) ||
                                      traits.contains(statement_kind::begin_read_only);
    if (has_request_id && controls_transaction && !m_channel) {
        m_settings.m_overrides.m_request_id.clear();
        refuse_batch({.m_code = result_code::bad_session_setting,
                      .m_message = "a request id belongs to one write outside a transaction block"},
                     batch.ends_with_sync());
        return;
    }
    if (const auto refusal = check_supported(traits); refusal && !m_in_flush) {
        refuse_batch(*refusal, batch.ends_with_sync());
        return;
    }
    prepare_request(std::move(batch), std::move(traits));
    m_phase = phase::running;
    if (m_channel) {
        send_batch();
    } else {
        route();
    }
}

void caller_session::prepare_request(caller_batch&& batch, script_traits&& traits) {
    m_request = std::make_unique<request>();
    m_request->m_batch = std::move(batch);
    m_request->m_traits = std::move(traits);
    m_request->m_arrived_at = reactor::now();
    m_request->m_began_in_transaction = m_channel != nullptr;
    const bool read_only_transaction = m_request->m_traits.m_statements.size() == 1 &&
                                       m_request->m_traits.contains(statement_kind::begin_read_only);
    m_request->m_is_read = m_request->m_traits.is_read_only() || read_only_transaction;
    session_overrides overrides = m_settings.m_overrides;
    for (const session_assignment& hint : m_request->m_traits.m_hints) {
        // An invalid hint in a comment must not fail a valid statement.
        static_cast<void>(failure_of([&] { return apply_session_setting(overrides, hint); }));
    }
    const auto current = m_context.m_knowledge.current();
    const group_spec* spec = current->find_group(m_settings.m_group);
    const std::vector<rule_spec> no_rules;
    m_request->m_class = classify_request(spec != nullptr ? spec->m_rules : no_rules, m_settings.m_origin,
                                          m_request->m_traits, overrides);
    m_request->m_deadline = m_request->m_arrived_at + m_request->m_class.m_deadline;
    if (!m_request->m_is_read && !m_request->m_began_in_transaction) {
        m_request->m_request_id = overrides.m_request_id;
        m_settings.m_overrides.m_request_id.clear();
    }
}

routing_plan caller_session::make_plan() {
    const routing_request route_request{.m_is_read = m_request->m_is_read,
                                        .m_max_staleness = m_request->m_class.m_max_staleness,
                                        .m_replica_wait = m_request->m_class.m_replica_wait,
                                        .m_session_position = m_settings.m_token.position(),
                                        .m_unconfirmed_write = m_request->m_unconfirmed_position,
                                        .m_replica_was_behind = m_request->m_replica_was_behind,
                                        .m_waits_for_majority = !m_request->m_is_read && may_commit() &&
                                                                m_request->m_batch.ends_with_sync()};
    const std::uint32_t random = m_context.m_shard.random();
    return m_group->with(
        [&](group_view& view) { return plan_route(view, route_request, reactor::now(), random); });
}

/// True when the reply to the request may acknowledge a write.
bool caller_session::may_commit() const {
    const script_traits& traits = m_request->m_traits;
    const bool only_begins =
        std::all_of(traits.m_statements.begin(), traits.m_statements.end(), [](const auto& each) {
            return each.m_kind == statement_kind::begin || each.m_kind == statement_kind::begin_read_only;
        });
    const bool ends_transaction = m_status == 'I' || traits.contains(statement_kind::end);
    return (m_has_written || !m_request->m_is_read) && !only_begins && ends_transaction;
}

void caller_session::route() {
    if (m_cancel_pending) {
        m_cancel_pending = false;
        report_failure({.m_code = result_code::cancelled, .m_message = "cancelled by the caller"});
        return;
    }
    ++m_request->m_attempts;
    m_request->m_plan = make_plan();
    if (m_request->m_plan.m_upstream.empty()) {
        retry_or_report(
            {.m_code = result_code::no_primary_known, .m_message = "the group has no upstreams"});
        return;
    }
    m_context.m_shard.shard_metrics().count(m_request->m_plan.m_only_position   ? "front.fences"
                                            : m_request->m_plan.m_needs_primary ? "front.to_primary"
                                                                                : "front.to_replica");
    open_channel();
    send_batch();
}

peer::open_channel caller_session::make_open_request(const configuration& current) const {
    const routing_plan& plan = m_request->m_plan;
    peer::open_channel open;
    open.set_upstream(plan.m_upstream.m_text);
    open.set_group(m_settings.m_group.m_text);
    open.set_needs_primary(plan.m_needs_primary);
    open.set_rank(m_request->m_class.m_rank);
    open.set_caller(m_caller_id);
    open.set_revision(current.m_revision);
    open.set_fence(plan.m_fence);
    open.set_position_wait_us(microseconds{m_request->m_class.m_replica_wait}.count());
    if (plan.m_min_position) {
        open.mutable_at_least()->set_term(plan.m_min_position->m_term);
        open.mutable_at_least()->set_offset(plan.m_min_position->m_offset);
    }
    if (plan.m_fresh_until) {
        const auto remaining =
            std::chrono::duration_cast<microseconds>(*plan.m_fresh_until - reactor::now());
        open.set_fresh_for_us(std::max<std::int64_t>(1, remaining.count()));
    }
    return open;
}

void caller_session::open_channel() {
    const auto current = m_context.m_knowledge.current();
    const upstream_id& upstream = m_request->m_plan.m_upstream;
    const upstream_spec* spec = current->find_upstream(upstream);
    const data_centre centre = spec != nullptr ? spec->m_data_centre : data_centre{};
    const instance_view home = m_context.m_members.home_of(upstream, centre, reactor::now());
    const std::weak_ptr<caller_session> weak = weak_from_this();
    m_channel = m_context.m_channel_opener.open(home, make_open_request(*current),
                                                {.m_on_frame =
                                                     [weak](peer::home_frame&& frame) {
                                                         if (const auto self = weak.lock()) {
                                                             self->on_frame(std::move(frame));
                                                         }
                                                     },
                                                 .m_on_lost =
                                                     [weak](bool may_have_run) {
                                                         if (const auto self = weak.lock()) {
                                                             self->on_lost(may_have_run);
                                                         }
                                                     }});
}

void caller_session::fill_batch(peer::request_batch& batch) {
    batch = m_request->m_batch.wire();
    m_has_written = m_has_written || !m_request->m_is_read;
    if (!m_request->m_request_id.empty()) {
        batch.set_request_id(m_request->m_request_id);
        batch.set_digest(m_request->m_batch.digest());
    }
    batch.set_may_commit(may_commit());
    batch.set_autocommit(!m_request->m_began_in_transaction && m_request->m_batch.ends_with_sync());
}

void caller_session::send_batch() {
    peer::front_frame frame;
    if (m_request->m_plan.m_only_position && !m_request->m_began_in_transaction) {
        frame.mutable_batch()->set_only_position(true);
    } else {
        fill_batch(*frame.mutable_batch());
    }
    m_request->m_sent_at = reactor::now();
    const auto remaining =
        std::chrono::duration_cast<microseconds>(m_request->m_deadline - m_request->m_sent_at);
    frame.mutable_batch()->set_budget_us(std::max<std::int64_t>(0, remaining.count()));
    m_channel->send(std::move(frame));
}

void caller_session::on_frame(peer::home_frame&& frame) {
    if (is_over()) {
        return;
    }
    if (!m_request) {
        // Between two requests the home sends nothing but the end of the transaction.
        if (frame.has_end()) {
            m_channel.reset();
            close_with_error(failure_from(frame.end()));
        }
        return;
    }
    std::string out = std::move(*frame.mutable_reply());
    const std::uint64_t reply_bytes = out.size();
    if (!out.empty()) {
        m_request->m_reply_started = true;
        m_boundary.feed(out);
    }
    if (frame.has_ready_for_next()) {
        on_ready(out, frame.ready_for_next());
    } else {
        m_stream->write(out);
    }
    if (reply_bytes > 0 && m_channel) {
        send_credit(reply_bytes);
    }
    if (frame.has_end()) {
        on_end(frame.end());
    }
    if (m_phase == phase::ready) {
        process_input();
    }
}

void caller_session::send_credit(std::uint64_t bytes) {
    m_uncredited_bytes += bytes;
    if (m_stream->unsent_bytes() > max_unsent_bytes) {
        return; // on_drained() sends the credit once the caller has read enough.
    }
    peer::front_frame frame;
    frame.set_credit(m_uncredited_bytes);
    m_uncredited_bytes = 0;
    m_channel->send(std::move(frame));
}

void caller_session::on_drained() {
    if (m_channel && m_uncredited_bytes > 0) {
        send_credit(0);
    }
    if (m_caller_finished && m_phase == phase::ending) {
        close_when_sent();
    }
}

void caller_session::record_ready(const peer::ready& ready, const log_position& at) {
    const steady_time now = reactor::now();
    const auto elapsed = std::chrono::duration_cast<microseconds>(now - m_request->m_sent_at);
    m_group->with([&](group_view& view) {
        if (!ready.primary().upstream().empty()) {
            view.record_primary(
                {.m_primary = {ready.primary().upstream()}, .m_term = ready.primary().term()});
        }
        view.record_position(m_request->m_plan.m_upstream, at, now);
        if (ready.has_proven()) {
            // The home's clock is a different one, so only the proof's age is sent. It is counted from
            // the time when the request was sent, so that the proof never appears too recent.
            const log_position proven{.m_term = ready.proven().term(), .m_offset = ready.proven().offset()};
            view.record_proof(
                {.m_at = m_request->m_sent_at - microseconds{ready.proven_age_us()}, .m_position = proven});
        }
        view.record_answer_time(m_request->m_plan.m_upstream, elapsed);
    });
}

void caller_session::on_ready(std::string& out, const peer::ready& ready) {
    const log_position at{.m_term = ready.at().term(), .m_offset = ready.at().offset()};
    record_ready(ready, at);
    if (m_request->m_plan.m_only_position && !m_request->m_unconfirmed_position) {
        m_settings.m_token.advance(at);
        m_channel.reset();
        route();
        return;
    }
    const auto elapsed = std::chrono::duration_cast<microseconds>(reactor::now() - m_request->m_arrived_at);
    m_context.m_shard.shard_metrics().record_duration(
        "front.rank" + std::to_string(m_request->m_class.m_rank), elapsed);
    if (m_request->m_unconfirmed_position) {
        m_context.m_shard.shard_metrics().count("front.writes_settled");
        m_boundary.feed(m_request->m_held_reply);
        out = std::move(m_request->m_held_reply);
    }
    const bool token_changed = m_settings.m_token.advance(at);
    m_in_flush = ready.status() == "F";
    if (!m_in_flush) {
        m_status = ready.status().empty() ? 'I' : ready.status()[0];
        if (token_changed) {
            append_parameter_status(out, token_parameter, m_settings.m_token.text(m_settings.m_group));
        }
        append_ready_for_query(out, m_status);
    }
    m_stream->write(out);
    if (m_status == 'I' && !m_in_flush) {
        m_has_written = false;
        m_channel.reset();
        m_uncredited_bytes = 0;
    }
    m_request.reset();
    m_cancel_pending = false;
    m_phase = phase::ready;
    if (m_leaving && is_idle()) {
        leave();
    }
}

void caller_session::on_end(const peer::closed& closed) {
    failure why = failure_from(closed);
    record_end(why, closed);
    m_channel.reset();
    if (closed.has_write_at()) {
        m_request->m_unconfirmed_position =
            log_position{.m_term = closed.write_at().term(), .m_offset = closed.write_at().offset()};
        m_request->m_held_reply = closed.held_reply();
    } else if (m_request->m_unconfirmed_position && why.m_code == result_code::token_beyond_history) {
        m_request->m_unconfirmed_position.reset();
        m_request->m_held_reply.clear();
        m_request->m_may_have_run = false;
        why = {.m_code = result_code::write_lost,
               .m_message = "the write was lost with the primary that was replaced, and took no effect"};
    }
    retry_or_report(why);
}

void caller_session::record_end(const failure& why, const peer::closed& closed) {
    const steady_time now = reactor::now();
    m_group->with([&](group_view& view) {
        if (closed.has_at()) {
            view.record_position(m_request->m_plan.m_upstream,
                                 {.m_term = closed.at().term(), .m_offset = closed.at().offset()}, now);
        }
        if (why.m_code == result_code::not_primary || why.m_code == result_code::upstream_unavailable ||
            why.m_code == result_code::upstream_leaving || why.m_code == result_code::outcome_unknown ||
            why.m_code == result_code::primary_replaced) {
            view.forget_primary(m_request->m_plan.m_upstream);
        }
        if (why.m_code == result_code::no_fresh_upstream) {
            view.record_lag(m_request->m_plan.m_upstream,
                            m_request->m_plan.m_min_position.value_or(log_position{}), now);
            m_request->m_replica_was_behind = true;
        } else if (why.m_code == result_code::upstream_unavailable) {
            view.avoid(m_request->m_plan.m_upstream, now + unavailable_avoidance);
        } else if (why.m_code == result_code::upstream_leaving) {
            view.avoid(m_request->m_plan.m_upstream, now + leaving_avoidance);
        }
        if (!closed.primary().upstream().empty() &&
            closed.primary().upstream() != m_request->m_plan.m_upstream.m_text) {
            view.record_primary(
                {.m_primary = {closed.primary().upstream()}, .m_term = closed.primary().term()});
        }
    });
}

void caller_session::on_lost(bool may_have_run) {
    m_channel.reset();
    if (is_over()) {
        return;
    }
    const failure why =
        may_have_run ? failure{.m_code = result_code::outcome_unknown,
                               .m_message = "the instance that ran the request went away before the answer"}
                     : failure{.m_code = result_code::no_live_home,
                               .m_message = "the upstream's home cannot be reached"};
    if (!m_request) {
        close_with_error(
            {.m_code = result_code::transaction_lost,
             .m_message = "the instance that held the transaction went away; the upstream rolled it back"});
        return;
    }
    retry_or_report(why);
    if (m_phase == phase::ready) {
        process_input();
    }
}

void caller_session::retry_or_report(failure why) {
    const failed_attempt failed{
        .m_code = why.m_code,
        .m_attempts = m_request->m_attempts,
        .m_idempotent = m_request->m_unconfirmed_position || m_request->m_is_read ||
                        m_request->m_class.m_repeatable || !m_request->m_request_id.empty(),
        .m_in_transaction = m_request->m_began_in_transaction && !m_request->m_unconfirmed_position,
        .m_reply_started = m_request->m_reply_started,
        .m_deadline = m_request->m_deadline};
    m_request->m_may_have_run = m_request->m_may_have_run || m_request->m_unconfirmed_position ||
                                traits_of(why.m_code).m_outcome == outcome::unknown;
    const auto delay =
        m_tries_again ? retry_delay(failed, reactor::now(), m_context.m_shard.random()) : std::nullopt;
    if (!delay) {
        if (m_request->m_unconfirmed_position) {
            why = {.m_code = result_code::outcome_unknown,
                   .m_message =
                       "the primary went away, and no other could tell in time what became of the write"};
        }
        // The upstream rolls back a transaction whose connection is lost, unless it ran a COMMIT.
        const bool may_have_committed =
            !m_request->m_began_in_transaction || m_request->m_traits.contains(statement_kind::end);
        if (why.m_code == result_code::outcome_unknown && !may_have_committed) {
            why.m_code = result_code::transaction_lost;
            why.m_message += "; the upstream rolled the transaction back";
        }
        report_failure(why);
        return;
    }
    m_context.m_shard.shard_metrics().count("front.tries_again");
    m_timer = m_context.m_shard.loop().after(*delay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_phase == phase::running && self->m_request && !self->m_channel) {
            self->route();
            if (self->m_phase == phase::ready) {
                self->process_input();
            }
        }
    });
}

void caller_session::report_failure(failure why) {
    // The last attempt alone does not tell whether the request has run. A reused id belongs to another one.
    const bool says_not_run =
        traits_of(why.m_code).m_outcome == outcome::not_run && why.m_code != result_code::request_id_reused;
    if (says_not_run && m_request->m_may_have_run && !m_request->m_is_read) {
        why = {.m_code = result_code::outcome_unknown,
               .m_message = "an attempt before the last one may have run; the last one: " + why.m_message};
    }
    m_context.m_shard.shard_metrics().count("front.failed." + std::string(traits_of(why.m_code).m_name));
    if (!m_boundary.is_between_messages()) {
        report_unanswered("answer_broken_off." + std::string(traits_of(why.m_code).m_name));
    }
    const bool ends_with_sync = m_request->m_batch.ends_with_sync();
    m_request.reset();
    m_in_flush = false;
    m_has_written = false;
    m_status = 'I';
    if (!m_boundary.is_between_messages()) {
        end(); // Part of a message was sent, so an error message cannot follow.
        return;
    }
    m_phase = phase::ready;
    refuse_batch(why, ends_with_sync);
    if (m_leaving) {
        leave();
    }
}

void caller_session::refuse_batch(const failure& why, bool ends_with_sync) {
    std::string out;
    append_failure(out, why);
    if (ends_with_sync) {
        append_ready_for_query(out, m_status);
    } else {
        m_skip_to_sync = true;
    }
    m_stream->write(out);
}

void caller_session::on_cancel() {
    if (m_phase != phase::running) {
        return; // No statement is running. The protocol allows ignoring the cancel request.
    }
    m_context.m_shard.shard_metrics().count("front.cancels");
    if (!m_channel) {
        m_cancel_pending = true;
        return;
    }
    peer::front_frame frame;
    frame.set_cancel(true);
    m_channel->send(std::move(frame));
}

void caller_session::leave() {
    m_leaving = true;
    if (is_idle()) {
        close_with_error({.m_code = result_code::instance_leaving,
                          .m_message = "this instance is going out of service; reconnect"});
    }
}

void caller_session::end_unfinished() {
    m_tries_again = false;
    const bool is_answered_by_home = m_request && m_channel && m_channel->is_local();
    if (is_over() || is_answered_by_home) {
        return;
    }
    if (!m_request) {
        close_with_error(m_channel
                             ? failure{.m_code = result_code::transaction_lost,
                                       .m_message = "this instance is going out of service, and the "
                                                    "upstream rolled the transaction back"}
                             : failure{.m_code = result_code::instance_leaving,
                                       .m_message = "this instance is going out of service; reconnect"});
        return;
    }
    failure why{.m_code = result_code::instance_leaving,
                .m_message = "this instance is going out of service; reconnect"};
    if (m_channel || m_request->m_may_have_run) {
        why = {.m_code = result_code::outcome_unknown,
               .m_message = "this instance is going out of service before the answer"};
    }
    abandon_channel();
    retry_or_report(why);
}

void caller_session::close_with_error(const failure& why) {
    if (is_over()) {
        return;
    }
    std::string out;
    if (m_boundary.is_between_messages()) {
        append_failure(out, why, pg_severity::fatal);
        m_stream->write(out);
    }
    const std::string code(traits_of(why.m_code).m_name);
    m_context.m_shard.shard_metrics().count("front.closed." + code);
    report_unanswered(code);
    end();
}

void caller_session::end() {
    if (is_over()) {
        return;
    }
    abandon_channel();
    m_phase = phase::ending;
    m_context.m_shard.loop().cancel(m_timer);
    m_context.m_cancel_registry.remove(m_key);
    m_stream->finish();
    m_stream->resume_reading();
    await_close(max_ending_time);
    if (m_caller_finished) {
        close_when_sent();
    }
}

void caller_session::close_when_sent() {
    // The kernel sends what it has accepted, and there is nothing unread that would reset the connection.
    if (m_stream->unsent_bytes() == 0) {
        close();
    }
}

void caller_session::report_unanswered(const std::string& cause) {
    if (is_over() || !m_request) {
        return;
    }
    m_context.m_shard.shard_metrics().count("front.ended_unanswered." + cause);
    const auto waited = std::chrono::duration_cast<microseconds>(reactor::now() - m_request->m_arrived_at);
    log_event(log_level::info, "session.ended_unanswered",
              {{"cause", cause},
               {"group", m_settings.m_group.m_text},
               {"upstream", m_request->m_plan.m_upstream.m_text},
               {"waited_us", std::to_string(waited.count())},
               {"attempts", std::to_string(m_request->m_attempts)},
               {"at_a_home", m_channel ? "yes" : "no"},
               {"leaving", m_leaving ? "yes" : "no"}});
}

void caller_session::await_close(milliseconds time_left) {
    m_timer = m_context.m_shard.loop().after(caller_close_timeout, [weak = weak_from_this(), time_left] {
        const auto self = weak.lock();
        if (!self || self->m_phase != phase::ending) {
            return;
        }
        const std::size_t missing = self->m_stream->unacknowledged_bytes();
        if (missing > 0 && time_left > caller_close_timeout) {
            self->await_close(time_left - caller_close_timeout);
            return;
        }
        if (missing > 0) {
            self->m_context.m_shard.shard_metrics().count("front.output_lost");
            log_event(log_level::warning, "session.output_lost",
                      {{"group", self->m_settings.m_group.m_text}, {"bytes", std::to_string(missing)}});
        }
        self->close();
    });
}

void caller_session::abandon_channel() {
    if (m_channel) {
        m_channel->abandon();
        m_channel.reset();
    }
}

void caller_session::close() {
    abandon_channel();
    m_phase = phase::closed;
    m_context.m_shard.loop().cancel(m_timer);
    m_stream->close();
    m_context.m_cancel_registry.remove(m_key);
    if (m_on_closed) {
        const auto call = std::move(m_on_closed);
        m_on_closed = {};
        call(this);
    }
}

}
