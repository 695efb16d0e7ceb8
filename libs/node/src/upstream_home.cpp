/// \file upstream_home.cpp
/// Implements upstream_home: each channel moves through the stages of
/// home_channel::stage on frames of its front, replies of the upstream, state
/// reports of the probe and a periodic tick.
#include "upstream_home.hpp"

#include "guarded_answer.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

/// Reply bytes sent to a front and not yet credited. Above this the home stops
/// reading from the upstream.
constexpr std::uint64_t max_unacknowledged_bytes = std::uint64_t{256} * 1024;

constexpr milliseconds tick_interval{100};

/// Running statements are abandoned when the upstream has been silent for this long.
constexpr milliseconds silence_timeout{1500};

/// Statements that were running during a shorter silence are abandoned when no byte
/// of their reply arrives within suspect_timeout. After a change of role or term
/// replaced_primary_timeout applies to the statements that need the primary.
constexpr milliseconds suspect_timeout{10000};
constexpr milliseconds replaced_primary_timeout{1000};

/// Connections to the upstream that are not available to the pool: one for this home's
/// probe and one for the probe of the group's steward.
constexpr int reserved_connections = 2;

/// Maximum size of a reply that is held back until its write is confirmed or its
/// request guard has finished.
constexpr std::size_t max_held_reply_bytes = std::size_t{16} * 1024 * 1024;

/// SQLSTATE with which an upstream that is not the primary rejects a write.
constexpr std::string_view read_only_sqlstate = "25006";

pool_options pool_options_for(const upstream_spec& upstream, bool is_home) {
    const int limit = std::max(1, upstream.m_connections - reserved_connections);
    const int slots = upstream.m_slots > 0 ? upstream.m_slots : 2;
    return {.m_limit = limit, .m_min_idle = is_home && !upstream.m_leaving ? std::min(limit, slots) : 0};
}

admission_options admission_options_for(const upstream_home_options& options) {
    const int connections = std::max(1, options.m_upstream.m_connections - reserved_connections);
    const int slots = options.m_upstream.m_slots > 0 ? options.m_upstream.m_slots : connections;
    return {.m_slots = slots, .m_ranks = options.m_ranks};
}

upstream_login login_for(const upstream_home_options& options) {
    return {.m_address = options.m_upstream.m_address,
            .m_database = options.m_group.m_database,
            .m_user = options.m_group.m_user};
}

}

upstream_home::upstream_home(shard& owner, upstream_home_options options)
    : m_shard(owner), m_options(std::move(options)), m_pool(pool_options_for(m_options.m_upstream, false)),
      m_admission(admission_options_for(m_options)),
      m_proof(static_cast<int>(m_options.m_group.m_upstreams.size())) {
    m_probe = std::make_unique<upstream_probe>(
        m_shard, probe_options{.m_login = login_for(m_options)},
        upstream_probe::handlers{.m_on_state = [this](const upstream_state& state) { on_state(state); },
                                 .m_on_silent = [this](const failure& why) { on_silent(why); }});
    tick();
}

upstream_home::~upstream_home() {
    m_shard.loop().cancel(m_tick_timer);
    for (const auto& connection : m_idle) {
        connection->close();
    }
    for (const auto& connection : m_opening) {
        connection->close();
    }
}

void upstream_home::adopt(upstream_home_options options) {
    if (options.m_group.m_upstreams.size() != m_options.m_group.m_upstreams.size()) {
        m_proof = replication_proof(static_cast<int>(options.m_group.m_upstreams.size()));
    }
    m_options = std::move(options);
    m_pool.set_options(pool_options_for(m_options.m_upstream, m_is_home));
    m_admission.set_options(admission_options_for(m_options));
    start_admitted();
}

void upstream_home::end_channels() {
    m_has_ended = true;
    std::vector<channel_ptr> all;
    for (const auto& [id, channel] : m_channels) {
        all.push_back(channel);
    }
    for (const channel_ptr& channel : all) {
        if (channel->m_stage == home_channel::stage::running) {
            end_channel(channel, {.m_code = result_code::outcome_unknown,
                                  .m_message = "the instance left before the upstream had answered"});
        } else if (channel->m_stage == home_channel::stage::waiting_for_ack) {
            end_unconfirmed_write(channel,
                                  {.m_code = result_code::outcome_unknown,
                                   .m_message = "the instance left before a majority held the write"});
        } else if (channel->m_connection) {
            end_channel(channel,
                        {.m_code = result_code::transaction_lost,
                         .m_message = "the instance left, and the upstream rolled the transaction back"});
        } else {
            end_channel(channel,
                        {.m_code = result_code::instance_leaving,
                         .m_message = "the instance that holds the upstream's connections leaves"});
        }
    }
}

void upstream_home::set_is_home(bool is_home) {
    m_is_home = is_home;
    m_pool.set_options(pool_options_for(m_options.m_upstream, is_home));
    start_admitted();
}

std::shared_ptr<home_channel> upstream_home::open(peer::open_channel request, frame_sender send) {
    auto channel = std::make_shared<home_channel>();
    channel->m_id = m_next_id++;
    channel->m_open_request = std::move(request);
    channel->m_open_request.set_rank(
        std::clamp(channel->m_open_request.rank(), most_urgent_rank, least_urgent_rank));
    channel->m_send = std::move(send);
    channel->m_arrived_at = reactor::now();
    if (channel->m_open_request.fresh_for_us() > 0) {
        channel->m_fresh_until =
            channel->m_arrived_at + microseconds{channel->m_open_request.fresh_for_us()};
    }
    m_channels.emplace(channel->m_id, channel);
    return channel;
}

void upstream_home::on_frame(const channel_ptr& channel, peer::front_frame&& frame) {
    if (channel->m_stage == home_channel::stage::ended) {
        return;
    }
    switch (frame.kind_case()) {
    case peer::front_frame::kBatch:
        on_batch(channel, std::move(*frame.mutable_batch()));
        break;
    case peer::front_frame::kCredit:
        on_credit(channel, frame.credit());
        break;
    case peer::front_frame::kCancel:
        cancel(channel);
        break;
    case peer::front_frame::kOpen:
    case peer::front_frame::KIND_NOT_SET:
        break; // A newer front may send unknown kinds of frames; they are ignored.
    }
}

void upstream_home::on_batch(const channel_ptr& channel, peer::request_batch&& batch) {
    const bool is_expected = channel->m_stage == home_channel::stage::waiting_for_batch ||
                             channel->m_stage == home_channel::stage::in_transaction;
    if (!is_expected) {
        end_channel(channel, {.m_code = result_code::protocol_violation,
                              .m_message = "a front sent a batch out of turn"});
        return;
    }
    m_shard.loop().cancel(channel->m_idle_timer);
    if (m_has_ended) {
        end_channel(channel, {.m_code = result_code::instance_leaving,
                              .m_message = "the instance that holds the upstream's connections leaves"});
        return;
    }
    if (const auto broken =
            failure_of([&] { return for_each_message(batch.messages(), [](const pg_message&) {}); })) {
        end_channel(channel, *broken);
        return;
    }
    channel->m_batch = std::move(batch);
    channel->m_deadline = reactor::now() + microseconds{channel->m_batch.budget_us()};
    if (channel->m_connection) {
        enqueue(channel);
        start_admitted();
        return;
    }
    const microseconds position_wait = channel->m_open_request.position_wait_us() > 0
                                           ? microseconds{channel->m_open_request.position_wait_us()}
                                           : m_options.m_position_wait;
    channel->m_position_wait_deadline = std::min(channel->m_deadline, reactor::now() + position_wait);
    try_enqueue(channel);
}

std::optional<failure> upstream_home::check_servable(const home_channel& channel) const {
    if (m_options.m_upstream.m_leaving || (m_state && m_state->m_leaving)) {
        return failure{.m_code = result_code::upstream_leaving, .m_message = "the upstream is leaving"};
    }
    if (!m_state && m_silence) {
        return failure{.m_code = result_code::upstream_unavailable, .m_message = m_silence->m_message};
    }
    if (m_state && channel.m_open_request.needs_primary() && !m_state->m_is_primary) {
        return failure{.m_code = result_code::not_primary, .m_message = "the upstream is not the primary"};
    }
    return std::nullopt;
}

position_status upstream_home::position_status_for(const home_channel& channel) const {
    if (!m_state) {
        return position_status::behind;
    }
    return check_position({.m_term = channel.m_open_request.at_least().term(),
                           .m_offset = channel.m_open_request.at_least().offset()},
                          {.m_is_primary = m_state->m_is_primary,
                           .m_term = m_state->m_term,
                           .m_position = m_position,
                           .m_history = m_state->m_history});
}

/// A primary that is cut off may have been replaced without knowing it. A request with
/// a fence, such as one from a session without a token, must see a state that the group
/// had at some time after the channel was opened, so the upstream must be proven primary
/// after that time. In a group where the primary alone acknowledges, the only evidence
/// is a state report requested after that time.
bool upstream_home::satisfies_fence(const home_channel& channel) const {
    if (!channel.m_open_request.fence()) {
        return true;
    }
    if (m_options.m_group.m_acknowledge == acknowledgement::primary) {
        return m_state && m_state->m_requested_at >= channel.m_arrived_at;
    }
    return was_primary_after(channel.m_arrived_at);
}

bool upstream_home::was_primary_after(steady_time moment) const {
    return m_proof.proven() && m_proof.proven()->m_at >= moment;
}

std::optional<failure> upstream_home::check_position_wait(const home_channel& channel,
                                                          steady_time now) const {
    const position_status position_result = position_status_for(channel);
    if (position_result == position_status::lost) {
        return failure{.m_code = result_code::token_beyond_history,
                       .m_message = "what the session saw was lost with its primary; begin a new session"};
    }
    if (now >= channel.m_deadline) {
        return failure{.m_code = result_code::deadline_exceeded,
                       .m_message = "the upstream could not show in time that it may serve this"};
    }
    if (now < channel.m_position_wait_deadline || position_result == position_status::reached || !m_state) {
        return std::nullopt;
    }
    if (!channel.m_open_request.needs_primary()) {
        return failure{.m_code = result_code::no_fresh_upstream,
                       .m_message = "the replica has not caught up"};
    }
    if (was_primary_after(channel.m_arrived_at) && m_state->m_is_primary) {
        return failure{.m_code = result_code::token_beyond_history,
                       .m_message = "the session token names a position that the group never reached"};
    }
    return std::nullopt;
}

void upstream_home::try_enqueue(const channel_ptr& channel) {
    if (const auto refusal = check_servable(*channel)) {
        if (refusal->m_code == result_code::not_primary) {
            m_probe->poll_soon(); // Refreshes the state for the requests that follow.
        }
        end_channel(channel, *refusal);
        return;
    }
    const bool servable =
        position_status_for(*channel) == position_status::reached && satisfies_fence(*channel);
    if (servable && channel->m_batch.only_position()) {
        if (safe_position().m_offset >= channel->m_open_request.at_least().offset()) {
            send_ready(channel, {}, 'I');
            return;
        }
    } else if (servable) {
        enqueue(channel);
        start_admitted();
        return;
    }
    if (channel->m_stage != home_channel::stage::waiting_for_position) {
        channel->m_stage = home_channel::stage::waiting_for_position;
        m_waiting_for_position.push_back(channel);
    }
    m_probe->poll_soon();
}

void upstream_home::recheck_waiting() {
    std::vector<channel_ptr> waiting;
    waiting.swap(m_waiting_for_position);
    const steady_time now = reactor::now();
    for (const channel_ptr& channel : waiting) {
        if (channel->m_stage != home_channel::stage::waiting_for_position) {
            continue;
        }
        channel->m_stage = home_channel::stage::waiting_for_batch;
        if (const auto refusal = check_position_wait(*channel, now)) {
            end_channel(channel, *refusal);
        } else {
            try_enqueue(channel);
        }
    }
}

void upstream_home::enqueue(const channel_ptr& channel) {
    const admission_ticket ticket{.m_id = channel->m_id,
                                  .m_caller = channel->m_open_request.caller(),
                                  .m_rank = channel->m_open_request.rank(),
                                  .m_holds_connection = channel->m_connection != nullptr,
                                  .m_deadline = channel->m_deadline};
    if (m_admission.enqueue(ticket) == enqueue_result::queue_full) {
        m_shard.shard_metrics().count("home.queue_full");
        end_channel(channel, {.m_code = result_code::queue_full,
                              .m_message = "too many requests of this rank wait already"});
        return;
    }
    channel->m_stage = home_channel::stage::queued;
}

void upstream_home::start_admitted() {
    drop_ended_idle();
    while (const auto ticket = m_admission.next(!m_idle.empty())) {
        const auto known = m_channels.find(ticket->m_id);
        internal_check(known != m_channels.end(), "each admitted ticket has an open channel");
        const channel_ptr channel = known->second; // The channel may end.
        run_admitted(channel);
        drop_ended_idle();
    }
    open_connections();
}

void upstream_home::drop_ended_idle() {
    while (m_admission.waiting() > 0 && !m_idle.empty()) {
        const auto connection = m_idle.back();
        connection->check_ended();
        if (connection->is_open()) {
            return;
        }
    }
}

void upstream_home::open_connections() {
    const int count = m_pool.connections_to_open(m_admission.connections_needed(), reactor::now());
    for (int opened = 0; opened < count; ++opened) {
        m_pool.record_opening();
        const auto self = std::make_shared<std::weak_ptr<upstream_connection>>();
        const auto connection =
            upstream_connection::open(m_shard, login_for(m_options), pooled_handlers(self));
        *self = connection;
        m_opening.push_back(connection);
    }
}

upstream_connection::handlers
upstream_home::pooled_handlers(const std::shared_ptr<std::weak_ptr<upstream_connection>>& self) {
    return {.m_on_open =
                [this, self] {
                    const auto connection = self->lock();
                    m_opening.remove(connection);
                    m_pool.record_opened();
                    m_idle.push_back(connection);
                    start_admitted();
                },
            .m_on_reply = {},
            .m_on_ready = {},
            .m_on_position = {},
            .m_on_lost =
                [this, self](const failure& why) {
                    const auto connection = self->lock();
                    if (std::erase(m_idle, connection) > 0) {
                        m_pool.record_closed_idle();
                    } else {
                        m_opening.remove(connection);
                        m_pool.record_open_failed(reactor::now(), m_shard.random());
                        log_event(
                            log_level::warning, "upstream.connect_failed",
                            {{"upstream", m_options.m_upstream.m_id.m_text}, {"reason", why.m_message}});
                    }
                }};
}

void upstream_home::run_admitted(const channel_ptr& channel) {
    if (!channel->m_connection) {
        // The upstream's role may have changed while the request was queued.
        auto refusal = check_servable(*channel);
        if (!refusal && channel->m_fresh_until && reactor::now() > *channel->m_fresh_until) {
            refusal =
                failure{.m_code = result_code::no_fresh_upstream, .m_message = "the read waited too long"};
        }
        if (refusal) {
            m_admission.release(channel->m_open_request.rank());
            channel->m_stage = home_channel::stage::waiting_for_batch;
            end_channel(channel, *refusal);
            return;
        }
        channel->m_connection = m_idle.back();
        m_idle.pop_back();
        m_pool.record_acquired();
        channel->m_connection->set_handlers(running_handlers(channel));
    } else {
        channel->m_stage = home_channel::stage::in_transaction;
        channel->m_connection->check_ended();
        if (channel->m_stage == home_channel::stage::ended) {
            m_admission.release(channel->m_open_request.rank());
            return;
        }
    }
    run_batch(channel);
}

void upstream_home::run_batch(const channel_ptr& channel) {
    channel->m_stage = home_channel::stage::running;
    channel->m_suspect_deadline.reset();
    channel->m_started_at = reactor::now();
    channel->m_may_commit =
        channel->m_batch.may_commit() && m_options.m_group.m_acknowledge == acknowledgement::majority;
    channel->m_autocommit = channel->m_batch.autocommit();
    channel->m_held_reply.clear();
    m_shard.shard_metrics().count("home.batches");
    if (!channel->m_batch.request_id().empty() && channel->m_autocommit) {
        channel->m_guard = std::make_unique<request_guard>(
            guarded_request{.m_id = channel->m_batch.request_id(), .m_digest = channel->m_batch.digest()});
        run_guard_step(channel, channel->m_guard->start());
        return;
    }
    channel->m_connection->run(channel->m_batch);
    channel->m_batch.Clear();
}

void upstream_home::run_guard_step(const channel_ptr& channel, const guard_step& step) {
    channel->m_guard_reply.clear();
    if (step.m_action == guard_action::run_request) {
        channel->m_connection->run(channel->m_batch);
        return;
    }
    peer::request_batch batch;
    append_query(*batch.mutable_messages(), step.m_sql);
    channel->m_connection->run(batch);
}

/// Passes the upstream's reply to the request guard and runs its next step. Returns true
/// while further steps run. Otherwise the channel has ended, or its held reply is the
/// reply for the caller; `bytes` is empty in either case.
bool upstream_home::on_guarded_answer(const channel_ptr& channel, std::string& bytes, char status) {
    const bool is_request_reply = channel->m_guard->is_running_request();
    std::string& answer = is_request_reply ? channel->m_held_reply : channel->m_guard_reply;
    answer += bytes;
    const guard_step step =
        channel->m_guard->on_answer(read_guarded_answer(answer, channel->m_connection->last_error()));
    bytes.clear();
    switch (step.m_action) {
    case guard_action::run_sql:
    case guard_action::run_request:
        run_guard_step(channel, step);
        return true;
    case guard_action::send_reply:
    case guard_action::send_error_reply:
        break;
    case guard_action::replay_reply:
        m_shard.shard_metrics().count("home.repeats_answered");
        channel->m_held_reply = replayed_answer(channel->m_batch.messages(), step.m_tag);
        break;
    case guard_action::refuse:
        m_admission.release(channel->m_open_request.rank());
        channel->m_stage = home_channel::stage::waiting_for_batch;
        if (status == 'I') {
            return_to_pool(channel);
        }
        m_probe->poll_soon();
        end_channel(channel, step.m_refusal);
        break;
    }
    channel->m_guard.reset();
    channel->m_batch.Clear();
    return false;
}

upstream_connection::handlers upstream_home::running_handlers(const channel_ptr& channel) {
    const std::weak_ptr<home_channel> weak = channel;
    const auto if_open = [weak](auto work) {
        if (const auto locked = weak.lock()) {
            work(locked);
        }
    };
    return {.m_on_open = {},
            .m_on_reply =
                [this, if_open](std::string&& bytes) {
                    if_open([&](const channel_ptr& locked) { on_reply(locked, std::move(bytes)); });
                },
            .m_on_ready =
                [this, if_open](std::string&& bytes, char status) {
                    if_open([&](const channel_ptr& locked) { on_ready(locked, std::move(bytes), status); });
                },
            .m_on_position = [this](const log_position& position) { record_position(position); },
            .m_on_lost =
                [this, if_open](const failure& why) {
                    if_open([&](const channel_ptr& locked) { on_connection_lost(locked, why); });
                }};
}

void upstream_home::on_reply(const channel_ptr& channel, std::string&& bytes) {
    channel->m_suspect_deadline.reset();
    if (channel->m_guard && !channel->m_guard->is_running_request()) {
        channel->m_guard_reply += bytes;
        return;
    }
    // A request guard needs the complete reply even when the front has gone.
    if (channel->m_front_gone && !channel->m_guard) {
        return;
    }
    if (channel->m_may_commit || channel->m_guard) {
        channel->m_held_reply += bytes;
        if (channel->m_held_reply.size() > max_held_reply_bytes) {
            end_channel(
                channel,
                {.m_code = result_code::outcome_unknown,
                 .m_message =
                     "the answer to a write is larger than 16 MiB and cannot be held until it is safe"});
            start_admitted();
        }
        return;
    }
    channel->m_unacknowledged_bytes += bytes.size();
    if (channel->m_unacknowledged_bytes > max_unacknowledged_bytes && !channel->m_reading_paused) {
        channel->m_reading_paused = true;
        channel->m_connection->pause_reading();
    }
    peer::home_frame frame;
    frame.set_reply(std::move(bytes));
    channel->m_send(std::move(frame));
}

void upstream_home::on_credit(const channel_ptr& channel, std::uint64_t bytes) {
    channel->m_unacknowledged_bytes -= std::min(bytes, channel->m_unacknowledged_bytes);
    if (channel->m_reading_paused && channel->m_unacknowledged_bytes <= max_unacknowledged_bytes / 2) {
        channel->m_reading_paused = false;
        channel->m_connection->resume_reading();
    }
}

void upstream_home::on_ready(const channel_ptr& channel, std::string&& bytes, char status) {
    if (channel->m_guard &&
        (on_guarded_answer(channel, bytes, status) || channel->m_stage == home_channel::stage::ended)) {
        start_admitted();
        return;
    }
    channel->m_service_time =
        std::chrono::duration_cast<microseconds>(reactor::now() - channel->m_started_at);
    m_shard.shard_metrics().record_duration("home.service", channel->m_service_time);
    m_admission.release(channel->m_open_request.rank());
    const bool was_read_only = channel->m_connection->last_error() == read_only_sqlstate;
    const bool failed = !channel->m_connection->last_error().empty();
    channel->m_stage = home_channel::stage::waiting_for_batch;
    if (status == 'I') {
        return_to_pool(channel);
    }
    if (was_read_only && status == 'I' && channel->m_autocommit &&
        channel->m_open_request.needs_primary() && channel->m_held_reply.empty()) {
        // The upstream is no longer primary, and no statement of the batch has run.
        m_probe->poll_soon();
        end_channel(channel, {.m_code = result_code::not_primary,
                              .m_message = "the upstream is not the primary any more"});
    } else if (channel->m_may_commit && status == 'I' && !(failed && channel->m_autocommit)) {
        channel->m_held_reply += bytes;
        channel->m_write_position = m_position;
        channel->m_stage = home_channel::stage::waiting_for_ack;
        m_waiting_for_ack.push_back(channel);
        resolve_pending_writes();
    } else {
        send_ready(channel, std::move(channel->m_held_reply += bytes), status);
    }
    start_admitted();
}

/// Returns the position up to which the log survives a change of primary. At a replica, or
/// without majority acknowledgement, this is the upstream's own position.
log_position upstream_home::safe_position() const {
    const bool waits_for_majority = m_options.m_group.m_acknowledge == acknowledgement::majority;
    return m_state && m_state->m_is_primary && waits_for_majority ? m_proof.confirmed(m_position)
                                                                  : m_position;
}

void upstream_home::send_ready(const channel_ptr& channel, std::string&& bytes, char status) {
    if (!channel->m_front_gone) {
        peer::home_frame frame;
        channel->m_unacknowledged_bytes += bytes.size();
        frame.set_reply(std::move(bytes));
        peer::ready& ready = *frame.mutable_ready_for_next();
        const log_position at = safe_position();
        ready.set_status(std::string(1, status));
        ready.mutable_at()->set_term(at.m_term);
        ready.mutable_at()->set_offset(at.m_offset);
        ready.set_from_primary(m_state && m_state->m_is_primary);
        ready.set_service_us(channel->m_service_time.count());
        if (m_proof.proven()) {
            const auto age =
                std::chrono::duration_cast<microseconds>(reactor::now() - m_proof.proven()->m_at);
            ready.mutable_proven()->set_term(m_proof.proven()->m_position.m_term);
            ready.mutable_proven()->set_offset(m_proof.proven()->m_position.m_offset);
            ready.set_proven_age_us(age.count());
        }
        fill_hint(*ready.mutable_primary());
        channel->m_send(std::move(frame));
    }
    if (status == 'I') {
        remove_channel(channel);
    } else if (channel->m_front_gone) {
        close_connection(channel);
        remove_channel(channel);
    } else {
        channel->m_stage = home_channel::stage::in_transaction;
        channel->m_idle_timer = m_shard.loop().after(m_options.m_idle_transaction_timeout, [this, channel] {
            end_channel(channel, {.m_code = result_code::transaction_lost,
                                  .m_message = "the transaction was idle too long and was rolled back"});
        });
    }
}

/// Acknowledges the pending writes that a majority has confirmed, and ends the ones
/// that can no longer be confirmed. A write whose primary has been replaced is never
/// acknowledged here, whether or not it survived.
void upstream_home::resolve_pending_writes() {
    std::vector<channel_ptr> waiting;
    waiting.swap(m_waiting_for_ack);
    const steady_time now = reactor::now();
    const primary_observation observation{.m_is_responsive = m_state.has_value(),
                                          .m_is_primary = m_state && m_state->m_is_primary,
                                          .m_term = m_state ? m_state->m_term : 0,
                                          .m_confirmed = m_proof.confirmed(m_position),
                                          .m_silent_since = m_silent_since};
    for (const channel_ptr& channel : waiting) {
        if (channel->m_stage != home_channel::stage::waiting_for_ack) {
            continue;
        }
        switch (decide_write(channel->m_write_position, observation, channel->m_deadline, now)) {
        case write_decision::wait:
            m_waiting_for_ack.push_back(channel);
            break;
        case write_decision::acknowledge:
            send_ready(channel, std::move(channel->m_held_reply), 'I');
            break;
        case write_decision::replaced:
            end_unconfirmed_write(
                channel,
                {.m_code = result_code::primary_replaced,
                 .m_message = "the primary was replaced before a majority of the group held the write"});
            break;
        case write_decision::primary_unreachable:
            end_unconfirmed_write(channel,
                                  {.m_code = result_code::outcome_unknown,
                                   .m_message = "the primary went away before a majority held the write"});
            break;
        case write_decision::deadline_passed:
            end_channel(
                channel,
                {.m_code = result_code::outcome_unknown,
                 .m_message =
                     "the write is done at the primary, but no majority of the group has confirmed it"});
            break;
        }
    }
    if (!m_waiting_for_ack.empty()) {
        m_probe->poll_soon();
    }
}

/// Ends the channel and sends the held reply to the front. The front may find the
/// write in the history of the next primary and then send the reply to the caller.
void upstream_home::end_unconfirmed_write(const channel_ptr& channel, const failure& why) {
    if (!channel->m_front_gone) {
        peer::home_frame frame;
        peer::closed& closed = *frame.mutable_end();
        closed.set_code(number_of(why.m_code));
        closed.set_message(why.m_message);
        closed.mutable_write_at()->set_term(channel->m_write_position.m_term);
        closed.mutable_write_at()->set_offset(channel->m_write_position.m_offset);
        closed.set_held_reply(std::move(channel->m_held_reply));
        fill_hint(*closed.mutable_primary());
        channel->m_send(std::move(frame));
    }
    remove_channel(channel);
}

/// Fails all channels that hold a connection once the upstream has not answered its
/// probe for silence_timeout.
void upstream_home::abandon_silent_upstream() {
    if (m_state || !m_silence || reactor::now() < m_silent_since + silence_timeout) {
        return;
    }
    std::vector<channel_ptr> with_connection;
    for (const auto& [id, channel] : m_channels) {
        if (channel->m_connection) {
            with_connection.push_back(channel);
        }
    }
    for (const channel_ptr& channel : with_connection) {
        on_connection_lost(channel, *m_silence);
    }
}

/// Sets a deadline for the next byte of reply of each running statement, or of those
/// that need the primary. A reply that was lost while the upstream was silent never
/// arrives, and the connection may stay open, so only a timeout detects the loss.
void upstream_home::suspect_running(milliseconds timeout, bool only_at_primary) {
    const steady_time until = reactor::now() + timeout;
    for (const auto& [id, channel] : m_channels) {
        const bool is_affected = channel->m_stage == home_channel::stage::running &&
                                 (!only_at_primary || channel->m_open_request.needs_primary());
        if (is_affected) {
            channel->m_suspect_deadline = std::min(channel->m_suspect_deadline.value_or(until), until);
        }
    }
}

void upstream_home::abandon_suspected() {
    const steady_time now = reactor::now();
    std::vector<channel_ptr> expired;
    for (const auto& [id, channel] : m_channels) {
        const bool running = channel->m_stage == home_channel::stage::running;
        if (running && channel->m_suspect_deadline && now >= *channel->m_suspect_deadline) {
            expired.push_back(channel);
        }
    }
    for (const channel_ptr& channel : expired) {
        on_connection_lost(channel,
                           {.m_code = result_code::upstream_unavailable,
                            .m_message = "no answer came after the upstream had been silent or replaced"});
    }
}

void upstream_home::return_to_pool(const channel_ptr& channel) {
    const auto connection = std::move(channel->m_connection);
    if (channel->m_cancel_sent || channel->m_reading_paused || connection->has_too_many_statements()) {
        channel->m_connection = connection;
        close_connection(channel);
        return;
    }
    const auto self = std::make_shared<std::weak_ptr<upstream_connection>>(connection);
    connection->set_handlers(pooled_handlers(self));
    m_pool.record_released();
    m_idle.push_back(connection);
}

void upstream_home::close_connection(const channel_ptr& channel) {
    channel->m_connection->close();
    channel->m_connection.reset();
    m_pool.record_closed_busy();
}

void upstream_home::on_connection_lost(const channel_ptr& channel, const failure& why) {
    m_probe->poll_soon();
    log_event(log_level::warning, "upstream.connection_lost",
              {{"upstream", m_options.m_upstream.m_id.m_text}, {"reason", why.m_message}});
    if (channel->m_stage == home_channel::stage::running) {
        end_channel(channel, {.m_code = why.m_code == result_code::upstream_protocol_violation
                                            ? result_code::upstream_protocol_violation
                                            : result_code::outcome_unknown,
                              .m_message = "the connection to the upstream ended before the answer: " +
                                           why.m_message});
    } else {
        end_channel(channel,
                    {.m_code = result_code::transaction_lost,
                     .m_message = "the transaction's connection ended and the upstream rolled it back"});
    }
    start_admitted();
}

void upstream_home::cancel(const channel_ptr& channel) {
    if (channel->m_stage == home_channel::stage::running) {
        channel->m_cancel_sent = true;
        send_cancel(m_shard, m_options.m_upstream.m_address, channel->m_connection->key());
        return;
    }
    const bool is_waiting = channel->m_stage == home_channel::stage::queued ||
                            channel->m_stage == home_channel::stage::waiting_for_position;
    if (is_waiting && !channel->m_connection) {
        end_channel(channel, {.m_code = result_code::cancelled,
                              .m_message = "cancelled by the caller while it waited"});
    }
}

void upstream_home::end_channel(const channel_ptr& channel, const failure& why) {
    if (channel->m_stage == home_channel::stage::ended) {
        return;
    }
    if (channel->m_stage == home_channel::stage::queued) {
        m_admission.remove(channel->m_id);
    }
    if (channel->m_stage == home_channel::stage::running) {
        m_admission.release(channel->m_open_request.rank());
    }
    if (channel->m_connection) {
        close_connection(channel);
    }
    if (!channel->m_front_gone) {
        peer::home_frame frame;
        peer::closed& closed = *frame.mutable_end();
        closed.set_code(number_of(why.m_code));
        closed.set_message(why.m_message);
        closed.mutable_at()->set_term(m_position.m_term);
        closed.mutable_at()->set_offset(m_position.m_offset);
        fill_hint(*closed.mutable_primary());
        channel->m_send(std::move(frame));
    }
    m_shard.shard_metrics().count("home.ended." + std::string(traits_of(why.m_code).m_name));
    remove_channel(channel);
}

void upstream_home::remove_channel(const channel_ptr& channel) {
    m_shard.loop().cancel(channel->m_idle_timer);
    channel->m_stage = home_channel::stage::ended;
    m_channels.erase(channel->m_id);
}

void upstream_home::on_front_gone(const channel_ptr& channel) {
    if (channel->m_stage == home_channel::stage::ended) {
        return;
    }
    channel->m_front_gone = true;
    m_shard.shard_metrics().count("home.front_gone");
    if (channel->m_stage == home_channel::stage::waiting_for_ack) {
        return; // The write is committed; there is no caller left to acknowledge it to.
    }
    if (channel->m_stage == home_channel::stage::running) {
        // The statement keeps running. Its reply is read and dropped so that the connection can be reused.
        on_credit(channel, channel->m_unacknowledged_bytes);
        return;
    }
    end_channel(channel, {.m_code = result_code::transaction_lost, .m_message = "the caller has gone"});
    start_admitted();
}

void upstream_home::record_position(const log_position& position) {
    if (position > m_position) {
        m_position = position;
        recheck_waiting();
    }
}

void upstream_home::on_state(const upstream_state& state) {
    const bool changed =
        !m_state || m_state->m_is_primary != state.m_is_primary || m_state->m_term != state.m_term;
    if (changed) {
        log_event(log_level::info, "upstream.role",
                  {{"upstream", m_options.m_upstream.m_id.m_text},
                   {"role", state.m_is_primary ? "primary" : "replica"},
                   {"term", std::to_string(state.m_term)},
                   {"position", to_string(state.m_position)}});
        // A new term may have truncated the log, and proofs of the old term do not hold in it.
        m_position = state.m_position;
        m_proof.reset();
        suspect_running(replaced_primary_timeout, true);
    }
    if (m_silence) {
        suspect_running(suspect_timeout, false);
    }
    m_state = state;
    m_silence.reset();
    m_position = std::max(m_position, state.m_position);
    if (state.m_is_primary) {
        m_proof.on_report(state.m_position, state.m_followers, state.m_requested_at);
    }
    resolve_pending_writes();
    recheck_waiting();
    start_admitted();
}

void upstream_home::on_silent(const failure& why) {
    if (m_state || !m_silence) {
        log_event(log_level::warning, "upstream.silent",
                  {{"upstream", m_options.m_upstream.m_id.m_text}, {"reason", why.m_message}});
    }
    if (!m_silence) {
        m_silent_since = reactor::now();
    }
    m_state.reset();
    m_silence = why;
    recheck_waiting();
    // Queued requests end now instead of waiting; the front can send them elsewhere.
    std::vector<channel_ptr> queued;
    for (const auto& [id, channel] : m_channels) {
        if (channel->m_stage == home_channel::stage::queued && !channel->m_connection) {
            queued.push_back(channel);
        }
    }
    for (const channel_ptr& channel : queued) {
        end_channel(channel, {.m_code = result_code::upstream_unavailable, .m_message = why.m_message});
    }
}

void upstream_home::fill_hint(peer::primary_hint& hint) const {
    if (!m_state) {
        return;
    }
    hint.set_term(m_state->m_term);
    if (m_state->m_is_primary) {
        hint.set_upstream(m_options.m_upstream.m_id.m_text);
        return;
    }
    for (const upstream_spec& each : m_options.m_group.m_upstreams) {
        if (m_state->m_following == each.m_address) {
            hint.set_upstream(each.m_id.m_text);
        }
    }
}

void upstream_home::tick() {
    const steady_time now = reactor::now();
    for (const admission_ticket& ticket : m_admission.remove_expired(now)) {
        const auto known = m_channels.find(ticket.m_id);
        if (known == m_channels.end()) {
            continue;
        }
        const channel_ptr channel = known->second;
        channel->m_stage = home_channel::stage::waiting_for_batch;
        end_channel(channel, {.m_code = result_code::deadline_exceeded,
                              .m_message = "the request waited past its deadline"});
    }
    recheck_waiting();
    resolve_pending_writes();
    abandon_silent_upstream();
    abandon_suspected();
    while (!m_idle.empty() && m_pool.should_close_idle(m_idle.front()->idle_since(), now)) {
        m_idle.front()->close();
        m_idle.erase(m_idle.begin());
        m_pool.record_closed_idle();
    }
    start_admitted();
    m_tick_timer = m_shard.loop().after(tick_interval, [this] { tick(); });
}

nlohmann::json upstream_home::dump() const {
    nlohmann::json ranks = nlohmann::json::array();
    for (int rank = most_urgent_rank; rank <= least_urgent_rank; ++rank) {
        ranks.push_back({{"rank", rank},
                         {"waiting", m_admission.waiting(rank)},
                         {"running", m_admission.running(rank)}});
    }
    nlohmann::json state = nullptr;
    if (m_state) {
        state = {{"role", m_state->m_is_primary ? "primary" : "replica"}, {"term", m_state->m_term}};
    }
    return {{"upstream", m_options.m_upstream.m_id.m_text},
            {"group", m_options.m_group.m_name.m_text},
            {"is_home", m_is_home},
            {"state", state},
            {"silence", m_silence ? nlohmann::json(m_silence->m_message) : nlohmann::json()},
            {"position", to_string(m_position)},
            {"connections",
             {{"idle", m_pool.idle()},
              {"busy", m_pool.busy()},
              {"opening", m_pool.opening()},
              {"limit", m_pool.limit()}}},
            {"slots", m_admission.slots()},
            {"channels", m_channels.size()},
            {"waiting_for_position", m_waiting_for_position.size()},
            {"waiting_for_ack", m_waiting_for_ack.size()},
            {"safe_position", to_string(safe_position())},
            {"ranks", ranks}};
}

}
