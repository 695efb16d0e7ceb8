/// \file group_service.cpp
/// Places requests on the pools of a group's upstreams and decides, for each failure,
/// whether the request is retried, deferred or refused.
#include "anvilmount/gateway/group_service.hpp"

#include "anvilmount/decisions/connection_share.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace anvilmount::gateway {
namespace {

/// Replicas usually lag about 60 ms. A replica found lagging is skipped for that long,
/// and the time doubles up to the maximum while it keeps lagging.
constexpr milliseconds initial_lagging_backoff{60};
constexpr milliseconds max_lagging_backoff{700};

/// A primary that answered within this time is not probed.
constexpr milliseconds primary_probe_interval{500};

/// A busy upstream frees a slot after about the duration of one statement.
constexpr milliseconds busy_backoff{12};

/// Attempts per request; each costs the fleet a slot or a round trip.
constexpr int max_attempts = 6;

/// In a planned change of primary, open transactions at the old primary may finish within this time.
constexpr milliseconds transaction_grace{300};

/// Bounds of the statements that one instance runs concurrently at one upstream.
constexpr int min_concurrent = 1;
constexpr int max_concurrent = 3;

/// A new instance opens one connection per upstream during this time. After a power
/// failure many instances start within some hundred ms, while the upstreams still count
/// the connections from before the failure and have few free.
constexpr milliseconds slow_start_duration{400};

/// A request past its latency target may still wait this long. Otherwise requests deferred
/// through a change of primary would be refused as soon as the new primary is available.
constexpr milliseconds overdue_wait_timeout{150};

/// A read waits for its answer at least this many times the upstream's usual answer time before it is
/// given up in order to be repeated elsewhere.
constexpr int patience_factor = 5;

bool can_run_work(const upstream_pool& pool) {
    return !pool.failing_since() && !pool.is_wrong_upstream() && pool.accepts_new_work();
}

}

group_service::group_service(group_options options, const clock_port& clock,
                             const upstream_connector& connector, const confirmation_lease& lease,
                             metrics& counters)
    : m_options(std::move(options)), m_clock(clock), m_connector(connector), m_lease(lease),
      m_metrics(counters), m_slow_start_until(m_clock.m_now() + slow_start_duration),
      m_outcomes(m_options.m_judges_outcomes ? std::make_shared<upstream_outcomes>() : nullptr),
      m_spill(m_options, m_pools, m_metrics), m_alive(std::make_shared<bool>(true)) {}

pool_limits group_service::limits_for(const upstream_entry& entry) const {
    if (!m_options.m_has_connections) {
        return {.m_connections = 1,
                .m_max_in_flight = 1,
                .m_min_idle = m_options.m_is_coordinator ? 1 : 0,
                .m_drain_limit = m_options.m_drain_limit,
                .m_rank_orders = m_options.m_rank_orders};
    }
    const int max_connections =
        m_slow_start_until ? 1
                           : connection_share({.m_max_connections = m_options.m_limits.m_connections,
                                               .m_instances = m_options.m_holder_count});
    const int instances = std::max(1, m_options.m_holder_count);
    const int slot_share = (entry.m_slots * in_flight_per_slot + instances - 1) / instances;
    return {.m_connections = max_connections,
            .m_max_in_flight =
                std::clamp(std::min(max_connections, slot_share), min_concurrent, max_concurrent),
            .m_drain_limit = m_options.m_drain_limit,
            .m_rank_orders = m_options.m_rank_orders};
}

void group_service::set_options(const group_options& options) {
    m_options = options;
    if (m_options.m_judges_outcomes != (m_outcomes != nullptr)) {
        m_outcomes = m_options.m_judges_outcomes ? std::make_shared<upstream_outcomes>() : nullptr;
    }
    for (const auto& [id, pool] : m_pools) {
        pool->set_limits(limits_for(pool->entry()));
        pool->record_outcomes_in(m_outcomes);
    }
}

void group_service::adopt_upstreams(const upstream_registry& registered, bool complete) {
    m_registry_complete = complete;
    m_departed.clear();
    for (const auto& [id, entry] : registered) {
        if (entry.m_group != m_options.m_name) {
            continue;
        }
        const auto known = m_pools.find(id);
        const bool same_upstream = known != m_pools.end() &&
                                   known->second->entry().m_address == entry.m_address &&
                                   known->second->entry().m_started_at_ms == entry.m_started_at_ms &&
                                   !known->second->is_wrong_upstream();
        if (same_upstream) {
            known->second->set_entry(entry);
            continue;
        }
        if (known != m_pools.end()) {
            known->second->retire();
            known->second->record_outcomes_in(nullptr);
            forget_outcomes(id);
        }
        m_pools[id] =
            std::make_shared<upstream_pool>(entry, limits_for(entry), m_clock, m_connector, m_metrics);
        m_pools[id]->record_outcomes_in(m_outcomes);
    }
    for (auto item = m_pools.begin(); item != m_pools.end();) {
        if (registered.contains(item->first)) {
            ++item;
            continue;
        }
        // Running statements may still be answered, but no new ones are sent.
        upstream_entry leaving_entry = item->second->entry();
        if (!std::exchange(leaving_entry.m_leaving, true)) {
            leaving_entry.m_leaving_since = m_clock.m_now();
        }
        item->second->set_entry(leaving_entry);
        item->second->refuse_waiting(result_code::upstream_leaving);
        if (item->second->in_progress() == 0 && item->second->connections_in_use() == 0) {
            forget_outcomes(item->first);
            item = m_pools.erase(item);
        } else {
            m_departed.insert(item->first);
            item = std::next(item);
        }
    }
    place_deferred();
}

void group_service::adopt_record(const group_record& record,
                                 std::function<void()> on_old_primary_released) {
    if (record.m_epoch <= m_record.m_epoch) {
        return;
    }
    const upstream_id old_primary = m_record.m_primary;
    m_record = record;
    m_primary_refused_role = false;
    m_freshness.begin_term(record.m_term, record.m_start);
    log_event(log_level::info, "group.record",
              {{"group", m_options.m_name.m_text},
               {"epoch", std::to_string(record.m_epoch)},
               {"stage", record.m_stage == group_stage::steady ? "steady" : "switching"},
               {"primary", record.m_primary.m_text},
               {"term", std::to_string(record.m_term)}});
    const auto pool = find_pool(old_primary);
    const bool is_unchanged = record.m_stage == group_stage::steady && record.m_primary == old_primary;
    m_on_old_primary_released = std::move(on_old_primary_released);
    m_old_primary_deadline = m_clock.m_now();
    if (pool && !is_unchanged) {
        pool->refuse_waiting(result_code::not_primary);
        if (record.m_stage == group_stage::switching && record.m_planned) {
            m_old_primary_deadline += transaction_grace;
        }
    }
    release_old_primary_when_idle();
    place_deferred();
}

void group_service::release_old_primary_when_idle() {
    if (!m_on_old_primary_released) {
        return;
    }
    const bool is_switching = m_record.m_stage == group_stage::switching;
    const auto pool = is_switching ? find_pool(m_record.m_primary) : nullptr;
    if (pool && (pool->running_at_primary() > 0 || pool->connections_in_use() > 0)) {
        if (m_clock.m_now() < m_old_primary_deadline) {
            return;
        }
        pool->close_in_use(connection_end::primary_released);
    }
    const auto notify = std::exchange(m_on_old_primary_released, nullptr);
    notify();
}

std::shared_ptr<upstream_pool> group_service::find_pool(const upstream_id& id) const {
    const auto found = m_pools.find(id);
    return found == m_pools.end() ? nullptr : found->second;
}

bool group_service::may_use_primary() const {
    return m_record.m_epoch > 0 && m_lease.is_valid(m_clock.m_now()) && m_lease.covers(m_record.m_epoch);
}

bool group_service::accepts_new_primary_work() const {
    return m_record.m_stage == group_stage::steady && may_use_primary();
}

bool group_service::is_primary_unreachable(milliseconds min_duration) const {
    if (m_record.m_epoch == 0) {
        return false;
    }
    const auto pool = find_pool(m_record.m_primary);
    if (!pool) {
        return m_registry_complete;
    }
    const auto since = pool->failing_since();
    return pool->is_wrong_upstream() || (since && pool->refuses_connections()) ||
           (since && m_clock.m_now() >= *since + min_duration);
}

void group_service::probe_primary() const {
    const auto pool = find_pool(m_record.m_primary);
    if (pool && m_options.m_has_connections && !pool->failing_since() &&
        m_clock.m_now() >= pool->last_response_at() + primary_probe_interval) {
        pool->send_internal({.m_kind = outgoing_statement::kind::status},
                            [](const std::optional<answer>&) {});
    }
}

std::optional<log_position> group_service::min_position_for(const group_request& request) const {
    std::optional<log_position> min_position;
    if (request.m_max_staleness) {
        min_position = m_freshness.position_for_age(*request.m_max_staleness, request.m_arrived);
        if (!min_position) {
            return std::nullopt;
        }
    }
    if (request.m_session_watermark && (!min_position || *request.m_session_watermark > *min_position)) {
        min_position = request.m_session_watermark;
    }
    return min_position;
}

std::shared_ptr<upstream_pool> group_service::choose_upstream(pending& item,
                                                              std::optional<log_position>& min_position) {
    const steady_time now = m_clock.m_now();
    const bool primary_usable = accepts_new_primary_work();
    if (item.m_request.m_placement == request_placement::primary) {
        const auto primary = primary_usable ? find_pool(m_record.m_primary) : nullptr;
        return primary && can_run_work(*primary) ? primary : nullptr;
    }
    min_position = min_position_for(item.m_request);
    const std::vector<read_candidate> candidates = read_candidates();
    auto chosen = choose_by_outcomes(item, candidates, min_position);
    if (!chosen) {
        chosen = m_spill.choose(item.m_request, candidates,
                                {.m_min_position = min_position, .m_excluded = item.m_avoided}, now);
    }
    if (!chosen && !item.m_avoided.empty()) {
        item.m_avoided.clear();
        chosen = choose_for_read(candidates, {.m_min_position = min_position}, now);
    }
    return chosen ? find_pool(*chosen) : nullptr;
}

std::vector<read_candidate> group_service::read_candidates() const {
    const bool primary_usable = accepts_new_primary_work();
    std::vector<read_candidate> candidates;
    for (const auto& [id, pool] : m_pools) {
        const bool primary = primary_usable && id == m_record.m_primary;
        const auto lagging = m_lagging.find(id);
        candidates.push_back(
            {.m_id = id,
             .m_is_primary = primary,
             .m_usable = !pool->entry().m_leaving && !pool->failing_since() && !pool->is_wrong_upstream(),
             .m_nearby = pool->entry().m_data_centre == m_options.m_data_centre,
             .m_in_flight = pool->in_progress(),
             .m_max_in_flight = pool->max_in_flight(),
             .m_answer_time = pool->answer_time(),
             .m_position = pool->position(),
             .m_behind_until = lagging == m_lagging.end() ? steady_time{} : lagging->second.m_avoid_until});
    }
    return candidates;
}

std::optional<upstream_id>
group_service::choose_by_outcomes(const pending& item, const std::vector<read_candidate>& candidates,
                                  const std::optional<log_position>& min_position) {
    if (!m_outcomes) {
        return std::nullopt;
    }
    const steady_time now = m_clock.m_now();
    std::vector<judged_candidate> judged;
    for (const read_candidate& each : candidates) {
        // The primary counts as one also while it may not be used: it is never one of the replicas.
        if (each.m_usable) {
            judged.push_back({.m_id = each.m_id, .m_is_primary = each.m_id == m_record.m_primary});
        }
    }
    const read_selection selection = m_outcomes->select(judged, now);
    if (selection.m_trial && item.m_attempts == 0) {
        // Only a read that can be repeated elsewhere is risked.
        const auto trial =
            std::find_if(candidates.begin(), candidates.end(),
                         [&](const read_candidate& each) { return each.m_id == *selection.m_trial; });
        if (choose_for_read({trial, 1}, {.m_min_position = min_position}, now) &&
            can_answer_elsewhere(item, *selection.m_trial)) {
            m_metrics.count("trial_reads");
            m_outcomes->start_trial(*selection.m_trial, now);
            return selection.m_trial;
        }
    }
    std::vector<upstream_id> excluded = item.m_avoided;
    excluded.insert(excluded.end(), selection.m_withheld.begin(), selection.m_withheld.end());
    return m_spill.choose(item.m_request, candidates,
                          {.m_min_position = min_position, .m_excluded = excluded}, now);
}

std::shared_ptr<upstream_pool>
group_service::choose_overflow(const pending& item, const std::optional<log_position>& min_position) const {
    const group_request& request = item.m_request;
    if (!m_outcomes || request.m_placement != request_placement::replica_allowed) {
        return nullptr;
    }
    const steady_time now = m_clock.m_now();
    std::vector<read_candidate> candidates = read_candidates();
    std::erase_if(candidates, [&](const read_candidate& each) {
        return !m_outcomes->may_serve_overflow(each.m_id, now);
    });
    const auto chosen =
        choose_for_read(candidates, {.m_min_position = min_position, .m_excluded = item.m_avoided}, now);
    auto pool = chosen ? find_pool(*chosen) : nullptr;
    if (!pool || now + pool->expected_wait(request.m_rank, request.m_account, request.m_target_time) >
                     latest_start(request)) {
        return nullptr;
    }
    return pool;
}

bool group_service::can_answer_elsewhere(const pending& item, const upstream_id& failed) const {
    const group_request& request = item.m_request;
    std::vector<upstream_id> excluded = item.m_avoided;
    excluded.push_back(failed);
    const steady_time now = m_clock.m_now();
    const auto other = choose_for_read(
        read_candidates(), {.m_min_position = min_position_for(request), .m_excluded = excluded}, now);
    const auto pool = other ? find_pool(*other) : nullptr;
    return pool && now + pool->expected_wait(request.m_rank, request.m_account, request.m_target_time) +
                           pool->answer_time() <
                       request.m_deadline;
}

bool group_service::repeat_elsewhere(const pending_ptr& item, const upstream_id& failed) {
    const group_request& request = item->m_request;
    if (!m_outcomes || item->m_repeated_elsewhere || !request.m_retryable ||
        request.m_placement != request_placement::replica_allowed || !can_answer_elsewhere(*item, failed) ||
        !retry(item, failed, milliseconds{0})) {
        return false;
    }
    m_metrics.count("reads_repeated_elsewhere");
    item->m_repeated_elsewhere = true;
    return true;
}

steady_time group_service::answer_deadline(const pending& item, const upstream_pool& pool) const {
    const group_request& request = item.m_request;
    if (!m_outcomes || item.m_repeated_elsewhere || !request.m_retryable ||
        request.m_placement != request_placement::replica_allowed ||
        !can_answer_elsewhere(item, pool.entry().m_id)) {
        return request.m_deadline;
    }
    const steady_time now = m_clock.m_now();
    const steady_time aim = now < request.m_target_time ? request.m_target_time : request.m_deadline;
    const milliseconds wait = pool.expected_wait(request.m_rank, request.m_account, request.m_target_time);
    return std::min(request.m_deadline,
                    now + std::max<steady_time::duration>((aim - now) / 2,
                                                          wait + pool.answer_time() * patience_factor));
}

void group_service::forget_outcomes(const upstream_id& id) {
    if (m_outcomes) {
        m_outcomes->forget(id);
    }
}

void group_service::log_standing_changes() {
    if (!m_outcomes) {
        return;
    }
    for (const standing_change& change : m_outcomes->take_changes()) {
        m_metrics.count("upstream_standing_changes");
        log_event(log_level::warning, "upstream.standing",
                  {{"upstream", change.m_upstream.m_text},
                   {"group", m_options.m_name.m_text},
                   {"from", std::string{name_of(change.m_from)}},
                   {"to", std::string{name_of(change.m_to)}},
                   {"reason", std::string{change.m_reason}}});
    }
}

void group_service::submit(group_request request, std::function<void(group_reply)> done) {
    auto item = std::make_shared<pending>();
    item->m_request = std::move(request);
    item->m_done = std::move(done);
    place(item);
}

void group_service::stop(result_code code) {
    m_stopped = code;
    for (const auto& [id, pool] : m_pools) {
        pool->refuse_waiting(code);
    }
    for (const pending_ptr& item : std::exchange(m_deferred, {})) {
        refuse(item, code);
    }
}

void group_service::place(const pending_ptr& item) {
    if (m_stopped) {
        refuse_async(item, *m_stopped);
        return;
    }
    const group_request& request = item->m_request;
    if (request.m_placement == request_placement::same_connection) {
        send(item, request.m_pool, std::nullopt);
        return;
    }
    std::optional<log_position> min_position;
    auto pool = choose_upstream(*item, min_position);
    if (!pool) {
        defer_or_refuse(item);
        return;
    }
    const milliseconds wait = pool->expected_wait(request.m_rank, request.m_account, request.m_target_time);
    if (m_clock.m_now() + wait > latest_start(request)) {
        pool = choose_overflow(*item, min_position);
    }
    if (!pool) {
        // The request would start too late; the slots go to requests that can still be on time.
        refuse_async(item, result_code::queue_full);
        return;
    }
    const bool at_primary = accepts_new_primary_work() && pool->entry().m_id == m_record.m_primary;
    send(item, pool, at_primary ? std::nullopt : min_position);
}

void group_service::defer_or_refuse(const pending_ptr& item) {
    update_primary_outage();
    const steady_time now = m_clock.m_now();
    const auto remaining = m_outage.expected_remaining(now);
    if (!remaining || now + *remaining < item->m_request.m_deadline) {
        defer(item);
        return;
    }
    refuse_async(item, item->m_request.m_placement == request_placement::replica_allowed
                           ? result_code::no_fresh_upstream
                           : result_code::no_primary_known);
}

void group_service::refuse_async(const pending_ptr& item, result_code code) {
    // Posted to the event loop because `done` must not be called before submit() returns.
    m_clock.m_after(milliseconds{0}, [this, item, code, alive = m_alive] {
        if (*alive) {
            refuse(item, code);
        }
    });
}

steady_time group_service::latest_start(const group_request& request) const {
    if (request.m_placement == request_placement::same_connection) {
        return request.m_deadline;
    }
    return std::min(request.m_deadline,
                    std::max(request.m_target_time, m_clock.m_now() + overdue_wait_timeout));
}

void group_service::update_primary_outage() {
    const auto pool = find_pool(m_record.m_primary);
    m_outage.record_usable(accepts_new_primary_work() && pool && can_run_work(*pool), m_clock.m_now());
}

void group_service::defer(const pending_ptr& item) {
    m_deferred.push_back(item);
}

void group_service::send(const pending_ptr& item, const std::shared_ptr<upstream_pool>& pool,
                         const std::optional<log_position>& min_position) {
    const group_request& request = item->m_request;
    outgoing_statement statement = request.m_statement;
    statement.m_min_position = min_position;
    ++item->m_attempts;
    item->m_newest_when_sent = m_freshness.newest_position();
    m_spill.record_sent(request, pool->entry(), m_clock.m_now());
    pool->submit({.m_caller = request.m_caller,
                  .m_account = request.m_account,
                  .m_rank = request.m_rank,
                  .m_target_time = request.m_target_time,
                  .m_send_deadline = latest_start(request),
                  .m_answer_deadline = answer_deadline(*item, *pool),
                  .m_retryable = request.m_retryable,
                  .m_primary_only =
                      request.m_placement == request_placement::primary || request.m_acknowledges_write,
                  .m_connection = request.m_connection,
                  .m_values = request.m_values,
                  .m_statement = std::move(statement),
                  .m_prepare = request.m_prepare,
                  .m_done = [this, item, pool, alive = m_alive](work_result result) {
                      if (*alive) {
                          on_result(item, pool, std::move(result));
                      }
                  }});
}

bool group_service::retry(const pending_ptr& item, const upstream_id& failed_upstream,
                          milliseconds backoff) {
    const steady_time now = m_clock.m_now();
    if (m_stopped || item->m_attempts >= max_attempts || now + backoff >= item->m_request.m_deadline) {
        return false;
    }
    m_metrics.count("statements_repeated");
    item->m_avoided.push_back(failed_upstream);
    item->m_earliest_retry = now + backoff;
    defer(item);
    return true;
}

void group_service::refuse(const pending_ptr& item, result_code code) {
    m_metrics.count("statements_refused");
    log_event(log_level::info, "statement.refused",
              {{"id", item->m_request.m_id},
               {"group", m_options.m_name.m_text},
               {"code", std::to_string(number_of(code))},
               {"tries", std::to_string(item->m_attempts)},
               {"epoch", std::to_string(m_record.m_epoch)},
               {"primary", m_record.m_primary.m_text},
               {"gap_ms", std::to_string(m_outage.elapsed(m_clock.m_now()).count())},
               {"lease", m_lease.is_valid(m_clock.m_now()) ? "held" : "lapsed"}});
    item->m_done({.m_outcome = work_outcome::not_run, .m_was_sent = item->m_was_sent, .m_code = code});
}

void group_service::on_result(const pending_ptr& item, const std::shared_ptr<upstream_pool>& pool,
                              work_result result) {
    const group_request& request = item->m_request;
    const upstream_id upstream = pool->entry().m_id;
    const bool in_transaction = request.m_placement == request_placement::same_connection;
    item->m_was_sent = item->m_was_sent || result.m_outcome != work_outcome::not_run;
    m_spill.record_result(request, pool->entry(), result, m_clock.m_now());
    switch (result.m_outcome) {
    case work_outcome::answered:
        on_answer(item, pool, std::move(result));
        return;
    case work_outcome::not_run:
        if (in_transaction || m_clock.m_now() >= request.m_target_time ||
            !retry(item, upstream, milliseconds{0})) {
            refuse(item, in_transaction ? result_code::transaction_lost : result.m_code);
        }
        return;
    case work_outcome::lost:
        m_metrics.count("answers_lost");
        m_metrics.count("answers_lost_by_" + std::string(result.m_lost_by));
        log_event(log_level::info, "statement.answer_lost",
                  {{"id", request.m_id},
                   {"upstream", upstream.m_text},
                   {"cause", std::string(result.m_lost_by)},
                   {"tries", std::to_string(item->m_attempts)}});
        if (m_outcomes && request.m_placement == request_placement::replica_allowed) {
            if (repeat_elsewhere(item, upstream)) {
                return;
            }
        } else if (!in_transaction && request.m_retryable && retry(item, upstream, milliseconds{0})) {
            return;
        }
        item->m_done(
            {.m_outcome = work_outcome::lost, .m_was_sent = true, .m_code = result_code::outcome_unknown});
        return;
    }
}

void group_service::on_answer(const pending_ptr& item, const std::shared_ptr<upstream_pool>& pool,
                              work_result result) {
    const group_request& request = item->m_request;
    const upstream_id upstream = pool->entry().m_id;
    const bool in_transaction = request.m_placement == request_placement::same_connection;
    const bool from_primary = may_use_primary() && upstream == m_record.m_primary;
    if (result.m_answer.m_position && from_primary) {
        m_freshness.record_position(*result.m_answer.m_position);
        if (result.m_answer.succeeded() && request.m_acknowledges_write) {
            m_freshness.record_commit(item->m_newest_when_sent);
        }
        if (m_record.m_stage == group_stage::steady) {
            m_freshness.record_sample(*result.m_answer.m_position, result.m_sent_at);
        }
    }
    if (result.m_answer.succeeded() && request.m_placement == request_placement::replica_allowed) {
        m_lagging.erase(upstream);
    }
    if (result.m_answer.succeeded() && request.m_acknowledges_write && !from_primary) {
        // A new primary may exist already, in which case this write may be lost.
        log_event(log_level::warning, "statement.primary_in_doubt",
                  {{"id", request.m_id}, {"upstream", upstream.m_text}});
        pool->close(result.m_connection);
        item->m_done(
            {.m_outcome = work_outcome::lost, .m_was_sent = true, .m_code = result_code::outcome_unknown});
        return;
    }
    const result_code code = result.m_answer.m_code;
    if (from_primary && request.m_placement == request_placement::primary) {
        m_primary_refused_role = !result.m_answer.succeeded() && code == result_code::not_primary;
    }
    if (!result.m_answer.succeeded()) {
        log_event(log_level::info, "statement.rejected_by_upstream",
                  {{"id", request.m_id},
                   {"upstream", upstream.m_text},
                   {"code", std::to_string(number_of(code))},
                   {"tries", std::to_string(item->m_attempts)}});
        const bool did_not_run =
            code == result_code::queue_full || code == result_code::no_fresh_upstream ||
            code == result_code::not_primary || code == result_code::unknown_prepared_statement;
        // Outside its transaction, a statement of one must not run.
        const bool is_session_usable = in_transaction
                                           ? result.m_answer.m_state == session_state::in_transaction
                                           : result.m_answer.m_state != session_state::failed;
        const bool may_retry = did_not_run && is_session_usable &&
                               (!in_transaction || code == result_code::queue_full ||
                                code == result_code::unknown_prepared_statement);
        if (code == result_code::no_fresh_upstream) {
            record_lagging(upstream);
        }
        if (code == result_code::statement_failed && repeat_elsewhere(item, upstream)) {
            pool->release_or_close(result.m_connection, result.m_answer.m_state);
            return;
        }
        if (may_retry) {
            const bool needs_backoff = code == result_code::queue_full || code == result_code::not_primary;
            if (retry(item, upstream, needs_backoff ? busy_backoff : milliseconds{0})) {
                if (!in_transaction) {
                    pool->release_or_close(result.m_connection, result.m_answer.m_state);
                }
                return;
            }
        }
    }
    item->m_done({.m_outcome = work_outcome::answered,
                  .m_was_sent = true,
                  .m_answer = std::move(result.m_answer),
                  .m_code = code,
                  .m_connection = result.m_connection,
                  .m_pool = pool,
                  .m_term = m_record.m_term});
}

void group_service::place_deferred() {
    const steady_time now = m_clock.m_now();
    std::list<pending_ptr> deferred = std::exchange(m_deferred, {});
    for (const pending_ptr& item : deferred) {
        if (now >= item->m_request.m_deadline) {
            refuse(item, item->m_request.m_placement == request_placement::replica_allowed
                             ? result_code::no_fresh_upstream
                             : result_code::no_primary_known);
        } else if (now < item->m_earliest_retry) {
            defer(item);
        } else {
            place(item);
        }
    }
}

void group_service::tick() {
    if (m_slow_start_until && m_clock.m_now() >= *m_slow_start_until) {
        m_slow_start_until.reset();
        set_options(m_options);
    }
    for (const auto& [id, pool] : m_pools) {
        pool->tick();
    }
    log_standing_changes();
    m_spill.tick(m_record.m_primary, m_clock.m_now());
    release_old_primary_when_idle();
    update_primary_outage();
    if (!m_deferred.empty()) {
        place_deferred();
    }
}

void group_service::record_lagging(const upstream_id& upstream) {
    m_metrics.count("replicas_found_behind");
    lagging_replica& found = m_lagging[upstream];
    const steady_time now = m_clock.m_now();
    if (now < found.m_avoid_until) {
        return;
    }
    found.m_backoff = std::clamp(found.m_backoff * 2, initial_lagging_backoff, max_lagging_backoff);
    found.m_avoid_until = now + found.m_backoff;
}

}
