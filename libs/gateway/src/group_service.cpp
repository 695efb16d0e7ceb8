/// \file group_service.cpp
#include "anvilmount/gateway/group_service.hpp"

#include "anvilmount/decisions/connection_share.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace anvilmount::gateway {
namespace {

/// A replica lags some 60 ms behind; one that was found behind is left alone for about
/// that long, and for longer while it stays so.
constexpr milliseconds first_behind_pause{60};
constexpr milliseconds longest_behind_pause{700};

/// A primary that gave a sign of life within this time is not asked for one.
constexpr milliseconds life_sign_age{500};

/// An upstream that is busy frees a slot within about one statement.
constexpr milliseconds busy_pause{12};

/// Times that one request may be placed; each costs the fleet a slot or a round trip.
constexpr int most_tries = 6;

/// How long a planned change lets transactions at the old primary end by themselves.
constexpr milliseconds transaction_grace{300};

/// Statements of one instance that run at one upstream at once, at the least
/// and at the most.
constexpr int least_parallel = 1;
constexpr int most_parallel = 3;

/// A new instance holds one connection to each upstream at first: after a loss of
/// power many start within some hundred ms, while the upstreams still count the
/// connections of before, and few are free.
constexpr milliseconds first_connections_time{400};

/// What already missed its target may still wait this long, so that work held
/// through a change of primary is not refused the moment the new one leads.
constexpr milliseconds late_work_patience{150};

}

group_service::group_service(group_options options, const clock_port& clock,
                             const upstream_connector& connector, const confirmation_lease& lease,
                             metrics& counters)
    : m_options(std::move(options)), m_clock(clock), m_connector(connector), m_lease(lease),
      m_metrics(counters), m_one_connection_until(m_clock.m_now() + first_connections_time),
      m_alive(std::make_shared<bool>(true)) {}

pool_limits group_service::limits_for(const upstream_entry& entry) const {
    if (!m_options.m_holds) {
        return {.m_connections = 1, .m_parallel = 1, .m_warm = m_options.m_stewards ? 1 : 0};
    }
    const int share = m_one_connection_until
                          ? 1
                          : connection_share({.m_max_connections = m_options.m_limits.m_connections,
                                              .m_instances = m_options.m_instances});
    const int instances = std::max(1, m_options.m_instances);
    const int part = (entry.m_slots * in_flight_per_slot + instances - 1) / instances;
    return {.m_connections = share,
            .m_parallel = std::clamp(std::min(share, part), least_parallel, most_parallel)};
}

void group_service::set_options(const group_options& options) {
    m_options = options;
    for (const auto& [id, pool] : m_pools) {
        pool->set_limits(limits_for(pool->entry()));
    }
}

void group_service::adopt_upstreams(const upstream_registry& registered, bool settled) {
    m_registry_settled = settled;
    for (const auto& [id, entry] : registered) {
        if (entry.m_group != m_options.m_name) {
            continue;
        }
        const auto known = m_pools.find(id);
        const bool same = known != m_pools.end() && known->second->entry().m_address == entry.m_address &&
                          known->second->entry().m_started_at_ms == entry.m_started_at_ms &&
                          !known->second->is_other_upstream();
        if (same) {
            known->second->set_entry(entry);
            continue;
        }
        if (known != m_pools.end()) {
            known->second->retire();
        }
        m_pools[id] =
            std::make_shared<upstream_pool>(entry, limits_for(entry), m_clock, m_connector, m_metrics);
    }
    for (auto each = m_pools.begin(); each != m_pools.end();) {
        if (registered.contains(each->first)) {
            ++each;
            continue;
        }
        // Statements that run there may still be answered; nothing new is sent.
        upstream_entry left = each->second->entry();
        left.m_leaving = true;
        each->second->set_entry(left);
        each->second->refuse_waiting(result_code::upstream_leaving);
        each = each->second->in_progress() == 0 && each->second->held_links() == 0 ? m_pools.erase(each)
                                                                                   : std::next(each);
    }
    release_held();
}

void group_service::adopt_record(const group_record& record, std::function<void()> on_agreed) {
    if (record.m_epoch <= m_record.m_epoch) {
        return;
    }
    const upstream_id old_primary = m_record.m_primary;
    m_record = record;
    m_freshness.begin_term(record.m_term, record.m_start);
    log_event(log_level::info, "group.record",
              {{"group", m_options.m_name.m_text},
               {"epoch", std::to_string(record.m_epoch)},
               {"stage", record.m_stage == group_stage::steady ? "steady" : "switching"},
               {"primary", record.m_primary.m_text},
               {"term", std::to_string(record.m_term)}});
    const auto pool = pool_of(old_primary);
    const bool stays = record.m_stage == group_stage::steady && record.m_primary == old_primary;
    m_on_agreed = std::move(on_agreed);
    m_leave_primary_by = m_clock.m_now();
    if (pool && !stays) {
        pool->refuse_waiting(result_code::not_primary);
        if (record.m_stage == group_stage::switching && record.m_planned) {
            m_leave_primary_by += transaction_grace;
        }
    }
    agree_when_idle();
    release_held();
}

void group_service::agree_when_idle() {
    if (!m_on_agreed) {
        return;
    }
    const bool leaves = m_record.m_stage == group_stage::switching;
    const auto pool = leaves ? pool_of(m_record.m_primary) : nullptr;
    if (pool && (pool->running_at_primary() > 0 || pool->held_links() > 0)) {
        if (m_clock.m_now() < m_leave_primary_by) {
            return;
        }
        pool->close_busy();
    }
    const auto agreed = std::exchange(m_on_agreed, nullptr);
    agreed();
}

std::shared_ptr<upstream_pool> group_service::pool_of(const upstream_id& id) const {
    const auto found = m_pools.find(id);
    return found == m_pools.end() ? nullptr : found->second;
}

bool group_service::may_use_primary() const {
    return m_record.m_epoch > 0 && m_lease.holds(m_clock.m_now());
}

bool group_service::accepts_new_primary_work() const {
    return m_record.m_stage == group_stage::steady && may_use_primary();
}

bool group_service::misses_primary(milliseconds for_at_least) const {
    if (m_record.m_epoch == 0) {
        return false;
    }
    const auto pool = pool_of(m_record.m_primary);
    if (!pool) {
        return m_registry_settled;
    }
    const auto since = pool->failing_since();
    return pool->is_other_upstream() || (since && pool->refuses_connections()) ||
           (since && m_clock.m_now() >= *since + for_at_least);
}

void group_service::look_after_primary() const {
    const auto pool = pool_of(m_record.m_primary);
    if (pool && m_options.m_holds && !pool->failing_since() &&
        m_clock.m_now() >= pool->heard_at() + life_sign_age) {
        pool->ask_directly({.m_kind = outgoing_statement::kind::status},
                           [](const std::optional<answer>&) {});
    }
}

std::optional<log_position> group_service::floor_for(const group_request& request) const {
    std::optional<log_position> floor;
    if (request.m_max_age) {
        floor = m_freshness.within(*request.m_max_age, request.m_arrived);
        if (!floor) {
            return std::nullopt;
        }
    }
    if (request.m_session_floor && (!floor || *request.m_session_floor > *floor)) {
        floor = request.m_session_floor;
    }
    return floor;
}

std::shared_ptr<upstream_pool> group_service::choose(pending& each, std::optional<log_position>& floor) {
    const steady_time now = m_clock.m_now();
    const bool primary_usable = accepts_new_primary_work();
    if (each.m_request.m_need == placement_need::primary) {
        const auto primary = primary_usable ? pool_of(m_record.m_primary) : nullptr;
        const bool answers = primary && !primary->failing_since() && !primary->is_other_upstream();
        return answers ? primary : nullptr;
    }
    floor = floor_for(each.m_request);
    std::vector<read_candidate> candidates;
    for (const auto& [id, pool] : m_pools) {
        const bool primary = primary_usable && id == m_record.m_primary;
        const auto behind = m_behind.find(id);
        candidates.push_back(
            {.m_id = id,
             .m_is_primary = primary,
             .m_usable = !pool->entry().m_leaving && !pool->failing_since() && !pool->is_other_upstream(),
             .m_nearby = pool->entry().m_data_centre == m_options.m_data_centre,
             .m_in_flight = pool->in_progress(),
             .m_max_in_flight = pool->parallel(),
             .m_answer_time = pool->answer_time(),
             .m_position = pool->position(),
             .m_behind_until = behind == m_behind.end() ? steady_time{} : behind->second.m_until});
    }
    auto chosen = choose_for_read(candidates, {.m_min_position = floor, .m_excluded = each.m_avoid}, now);
    if (!chosen && !each.m_avoid.empty()) {
        each.m_avoid.clear();
        chosen = choose_for_read(candidates, {.m_min_position = floor}, now);
    }
    return chosen ? pool_of(*chosen) : nullptr;
}

void group_service::submit(group_request request, std::function<void(group_reply)> done) {
    auto each = std::make_shared<pending>();
    each->m_request = std::move(request);
    each->m_done = std::move(done);
    place(each);
}

void group_service::place(const pending_ptr& each) {
    const group_request& request = each->m_request;
    if (request.m_need == placement_need::same_connection) {
        send(each, request.m_pool, std::nullopt);
        return;
    }
    std::optional<log_position> floor;
    const auto pool = choose(*each, floor);
    if (!pool) {
        wait_or_refuse(each);
        return;
    }
    if (m_clock.m_now() + pool->expected_wait(request.m_rank) > latest_start(request)) {
        // Its turn would come too late; the slots go to work that can still be in time.
        refuse_soon(each, result_code::queue_full);
        return;
    }
    const bool at_primary = accepts_new_primary_work() && pool->entry().m_id == m_record.m_primary;
    send(each, pool, at_primary ? std::nullopt : floor);
}

void group_service::wait_or_refuse(const pending_ptr& each) {
    note_gap();
    const steady_time now = m_clock.m_now();
    const auto remaining = m_gap.remaining(now);
    if (!remaining || now + *remaining < each->m_request.m_deadline) {
        hold(each);
        return;
    }
    refuse_soon(each, each->m_request.m_need == placement_need::fresh_enough
                          ? result_code::no_fresh_upstream
                          : result_code::no_primary_known);
}

void group_service::refuse_soon(const pending_ptr& each, result_code code) {
    // Refusing at once would answer before submit() has returned.
    m_clock.m_after(milliseconds{0}, [this, each, code, alive = m_alive] {
        if (*alive) {
            refuse(each, code);
        }
    });
}

steady_time group_service::latest_start(const group_request& request) const {
    if (request.m_need == placement_need::same_connection) {
        return request.m_deadline;
    }
    return std::min(request.m_deadline, std::max(request.m_target, m_clock.m_now() + late_work_patience));
}

void group_service::note_gap() {
    const auto pool = pool_of(m_record.m_primary);
    const bool answers = pool && !pool->failing_since() && !pool->is_other_upstream();
    m_gap.note_usable(accepts_new_primary_work() && answers, m_clock.m_now());
}

void group_service::hold(const pending_ptr& each) {
    m_held.push_back(each);
}

void group_service::send(const pending_ptr& each, const std::shared_ptr<upstream_pool>& pool,
                         const std::optional<log_position>& floor) {
    const group_request& request = each->m_request;
    outgoing_statement statement = request.m_statement;
    statement.m_at_least = floor;
    ++each->m_tries;
    pool->submit(
        {.m_caller = request.m_caller,
         .m_rank = request.m_rank,
         .m_wait_until = latest_start(request),
         .m_answer_until = request.m_deadline,
         .m_repeatable = request.m_repeatable,
         .m_at_primary_only = request.m_need == placement_need::primary || request.m_acknowledges_write,
         .m_link = request.m_link,
         .m_values = request.m_values,
         .m_statement = std::move(statement),
         .m_prepare = request.m_prepare,
         .m_done = [this, each, pool, alive = m_alive](work_result result) {
             if (*alive) {
                 on_result(each, pool, std::move(result));
             }
         }});
}

bool group_service::repeat(const pending_ptr& each, const upstream_id& avoid, milliseconds pause) {
    const steady_time now = m_clock.m_now();
    if (each->m_tries >= most_tries || now + pause >= each->m_request.m_deadline) {
        return false;
    }
    m_metrics.count("statements_repeated");
    each->m_avoid.push_back(avoid);
    each->m_not_before = now + pause;
    hold(each);
    return true;
}

void group_service::refuse(const pending_ptr& each, result_code code) {
    m_metrics.count("statements_refused");
    log_event(log_level::info, "statement.refused",
              {{"id", each->m_request.m_id},
               {"group", m_options.m_name.m_text},
               {"code", std::to_string(number_of(code))},
               {"tries", std::to_string(each->m_tries)},
               {"epoch", std::to_string(m_record.m_epoch)},
               {"primary", m_record.m_primary.m_text},
               {"gap_ms", std::to_string(m_gap.lasted(m_clock.m_now()).count())},
               {"lease", m_lease.holds(m_clock.m_now()) ? "held" : "lapsed"}});
    each->m_done({.m_end = work_end::not_run, .m_code = code});
}

void group_service::on_result(const pending_ptr& each, const std::shared_ptr<upstream_pool>& pool,
                              work_result result) {
    const group_request& request = each->m_request;
    const upstream_id upstream = pool->entry().m_id;
    const bool bound = request.m_need == placement_need::same_connection;
    switch (result.m_end) {
    case work_end::answered:
        on_answer(each, pool, std::move(result));
        return;
    case work_end::not_run:
        if (bound || m_clock.m_now() >= request.m_target || !repeat(each, upstream, milliseconds{0})) {
            refuse(each, bound ? result_code::transaction_lost : result.m_code);
        }
        return;
    case work_end::lost:
        m_metrics.count("answers_lost");
        log_event(log_level::info, "statement.answer_lost",
                  {{"id", request.m_id},
                   {"upstream", upstream.m_text},
                   {"tries", std::to_string(each->m_tries)}});
        if (!bound && request.m_repeatable && repeat(each, upstream, milliseconds{0})) {
            return;
        }
        each->m_done({.m_end = work_end::lost, .m_code = result_code::outcome_unknown});
        return;
    }
}

void group_service::on_answer(const pending_ptr& each, const std::shared_ptr<upstream_pool>& pool,
                              work_result result) {
    const group_request& request = each->m_request;
    const upstream_id upstream = pool->entry().m_id;
    const bool bound = request.m_need == placement_need::same_connection;
    const bool led = may_use_primary() && upstream == m_record.m_primary;
    if (result.m_answer.m_position && led && m_record.m_stage == group_stage::steady) {
        m_freshness.note_sample(*result.m_answer.m_position, result.m_sent_at);
    }
    if (result.m_answer.succeeded() && request.m_need == placement_need::fresh_enough) {
        m_behind.erase(upstream);
    }
    if (result.m_answer.succeeded() && request.m_acknowledges_write && !led) {
        // Another primary may lead by now, and what was written here may not survive.
        log_event(log_level::warning, "statement.primary_in_doubt",
                  {{"id", request.m_id}, {"upstream", upstream.m_text}});
        pool->close(result.m_link);
        each->m_done({.m_end = work_end::lost, .m_code = result_code::outcome_unknown});
        return;
    }
    const result_code code = result.m_answer.m_code;
    if (!result.m_answer.succeeded()) {
        log_event(log_level::info, "statement.rejected_by_upstream",
                  {{"id", request.m_id},
                   {"upstream", upstream.m_text},
                   {"code", std::to_string(number_of(code))},
                   {"tries", std::to_string(each->m_tries)}});
        const bool did_not_run =
            code == result_code::queue_full || code == result_code::no_fresh_upstream ||
            code == result_code::not_primary || code == result_code::unknown_prepared_statement;
        const bool still_open = result.m_answer.m_state != session_state::failed;
        const bool may_repeat =
            did_not_run && still_open &&
            (!bound || code == result_code::queue_full || code == result_code::unknown_prepared_statement);
        if (code == result_code::no_fresh_upstream) {
            note_behind(upstream);
        }
        if (may_repeat) {
            const bool pauses = code == result_code::queue_full || code == result_code::not_primary;
            if (repeat(each, upstream, pauses ? busy_pause : milliseconds{0})) {
                if (!bound) {
                    pool->give_back_or_close(result.m_link, result.m_answer.m_state);
                }
                return;
            }
        }
    }
    each->m_done({.m_end = work_end::answered,
                  .m_answer = std::move(result.m_answer),
                  .m_code = code,
                  .m_link = result.m_link,
                  .m_pool = pool,
                  .m_term = m_record.m_term});
}

void group_service::release_held() {
    const steady_time now = m_clock.m_now();
    std::list<pending_ptr> held = std::exchange(m_held, {});
    for (const pending_ptr& each : held) {
        if (now >= each->m_request.m_deadline) {
            refuse(each, each->m_request.m_need == placement_need::fresh_enough
                             ? result_code::no_fresh_upstream
                             : result_code::no_primary_known);
        } else if (now < each->m_not_before) {
            hold(each);
        } else {
            place(each);
        }
    }
}

void group_service::tick() {
    if (m_one_connection_until && m_clock.m_now() >= *m_one_connection_until) {
        m_one_connection_until.reset();
        set_options(m_options);
    }
    for (const auto& [id, pool] : m_pools) {
        pool->tick();
    }
    agree_when_idle();
    note_gap();
    if (!m_held.empty()) {
        release_held();
    }
}

void group_service::note_behind(const upstream_id& upstream) {
    m_metrics.count("replicas_found_behind");
    found_behind& found = m_behind[upstream];
    const steady_time now = m_clock.m_now();
    if (now < found.m_until) {
        return;
    }
    found.m_pause = std::clamp(found.m_pause * 2, first_behind_pause, longest_behind_pause);
    found.m_until = now + found.m_pause;
}

}
