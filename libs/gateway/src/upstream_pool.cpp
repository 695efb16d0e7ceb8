/// \file upstream_pool.cpp
#include "anvilmount/gateway/upstream_pool.hpp"

#include "anvilmount/base/failure.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// An upstream that leaves everything unanswered for this long is taken as silent:
/// several times the usual longest statement, well below callers' patience.
constexpr milliseconds silence_limit{600};

/// A connect takes some 12 ms; packets lost on the way are repeated within a second.
constexpr milliseconds connect_limit{1200};

/// A failing upstream is tried anew sooner, to notice its return.
constexpr milliseconds failing_connect_limit{450};

/// For estimates of waiting times before anything was measured.
constexpr microseconds least_answer_time{5000};

/// Slots that only the most urgent rank may use, so that it never waits for lower ones.
constexpr int urgent_slots = 2;

/// Connections that a burst has left over are closed after this: an instance that
/// loses power leaves all its connections to the upstreams for 3 s.
constexpr milliseconds spare_idle_time{3000};

constexpr milliseconds first_connect_pause{40};
constexpr milliseconds longest_connect_pause{300};

admission_options queue_options(const pool_limits& limits) {
    const int slots = limits.m_parallel + urgent_slots;
    const double ordinary = static_cast<double>(limits.m_parallel) / slots;
    return {.m_slots = slots,
            .m_ranks = {rank_spec{.m_floor = 0.0, .m_greatest_share = 1.0, .m_queue_limit = 500},
                        rank_spec{.m_floor = 0.1, .m_greatest_share = ordinary, .m_queue_limit = 500},
                        rank_spec{.m_floor = 0.02, .m_greatest_share = ordinary, .m_queue_limit = 200}}};
}

pool_options connection_options(int limit, int warm) {
    return {.m_limit = limit,
            .m_min_idle = warm,
            .m_idle_timeout = spare_idle_time,
            .m_initial_backoff = first_connect_pause,
            .m_max_backoff = longest_connect_pause};
}

}

upstream_pool::upstream_pool(upstream_entry entry, pool_limits limits, const clock_port& clock,
                             const upstream_connector& connector, metrics& counters)
    : m_entry(std::move(entry)), m_limits(limits), m_clock(clock), m_connector(connector),
      m_metrics(counters), m_queue(queue_options(limits)),
      m_accounting(connection_options(limits.m_connections, limits.m_warm)), m_heard_at(clock.m_now()),
      m_alive(std::make_shared<bool>(true)) {
    open_links();
}

upstream_pool::~upstream_pool() {
    *m_alive = false;
    for (const link_handle& link : m_links) {
        if (link->m_channel.m_close) {
            link->m_channel.m_close();
        }
        link->m_state = upstream_link::state::closed;
    }
}

void upstream_pool::set_limits(pool_limits limits) {
    m_limits = limits;
    m_queue.set_options(queue_options(limits));
    m_accounting.set_options(connection_options(limits.m_connections, limits.m_warm));
}

void upstream_pool::submit(pool_work work) {
    const std::uint64_t id = m_next_number++;
    const admission_ticket ticket{.m_id = id,
                                  .m_caller = work.m_caller,
                                  .m_rank = work.m_rank,
                                  .m_holds_connection = work.m_link != nullptr,
                                  .m_deadline = work.m_wait_until};
    m_work.emplace(id, std::move(work));
    const bool queued = m_queue.enqueue(ticket) == enqueue_result::queued;
    m_clock.m_after(milliseconds{0}, [this, id, queued, alive = m_alive] {
        if (!*alive) {
            return;
        }
        if (!queued) {
            finish(id, {.m_end = work_end::not_run});
        }
        dispatch();
    });
}

void upstream_pool::dispatch() {
    while (!m_unasked.empty() && !m_idle.empty()) {
        ask_next();
    }
    for (;;) {
        const auto ticket = m_queue.next(!m_idle.empty());
        if (!ticket) {
            break;
        }
        const auto found = m_work.find(ticket->m_id);
        internal_check(found != m_work.end(), "a queued ticket has its work");
        pool_work& work = found->second;
        if (work.m_link && work.m_link->m_state == upstream_link::state::closed) {
            m_queue.release(ticket->m_rank);
            finish(ticket->m_id, {.m_end = work_end::not_run, .m_code = result_code::transaction_lost});
            continue;
        }
        work.m_holds_link = work.m_link != nullptr;
        const link_handle link = work.m_link ? work.m_link : take_idle(*work.m_values);
        send(link, ticket->m_id, work);
    }
    open_links();
}

link_handle upstream_pool::take_idle(const session_values& wanted) {
    auto chosen = std::find_if(m_idle.rbegin(), m_idle.rend(),
                               [&](const link_handle& link) { return link->m_values == wanted; });
    const auto position = chosen != m_idle.rend() ? std::prev(chosen.base()) : std::prev(m_idle.end());
    link_handle link = *position;
    m_idle.erase(position);
    m_accounting.record_acquired();
    link->m_state = upstream_link::state::in_use;
    return link;
}

void upstream_pool::send(const link_handle& link, std::uint64_t work_id, pool_work& work) {
    std::vector<outgoing_statement> batch;
    if (work.m_values && link->m_values != *work.m_values) {
        const bool only_additions =
            std::all_of(link->m_values.begin(), link->m_values.end(),
                        [&](const auto& each) { return work.m_values->contains(each.first); });
        if (!only_additions) {
            batch.push_back({.m_kind = outgoing_statement::kind::reset});
            link->m_values.clear();
            link->m_prepared.clear();
        }
        for (const auto& [name, value] : *work.m_values) {
            const auto known = link->m_values.find(name);
            if (known == link->m_values.end() || known->second != value) {
                batch.push_back(
                    {.m_kind = outgoing_statement::kind::set_value, .m_name = name, .m_argument = value});
            }
        }
        link->m_values = *work.m_values;
    }
    if (work.m_prepare && !link->m_prepared.contains(work.m_prepare->m_name)) {
        batch.push_back(*work.m_prepare);
        link->m_prepared.insert(work.m_prepare->m_name);
    }
    batch.push_back(work.m_statement);
    link->m_expected += static_cast<int>(batch.size());
    link->m_work = work_id;
    m_running[work_id] = m_clock.m_now();
    work.m_link = link;
    link->m_channel.m_send(batch);
}

void upstream_pool::finish(std::uint64_t work_id, work_result result) {
    const auto found = m_work.find(work_id);
    if (found == m_work.end()) {
        return;
    }
    const pool_work work = std::move(found->second);
    m_work.erase(found);
    const auto running = m_running.find(work_id);
    if (running != m_running.end()) {
        result.m_sent_at = running->second;
        m_running.erase(running);
        m_queue.release(work.m_rank);
    }
    work.m_done(std::move(result));
}

void upstream_pool::give_back(const link_handle& link) {
    if (link->m_state != upstream_link::state::in_use) {
        return;
    }
    link->m_on_lost = nullptr;
    if (link->m_spoiled) {
        close(link);
        return;
    }
    link->m_state = upstream_link::state::idle;
    link->m_since = m_clock.m_now();
    m_accounting.record_released();
    m_idle.push_back(link);
    dispatch();
}

void upstream_pool::give_back_or_close(const link_handle& link, session_state state) {
    if (state == session_state::idle) {
        give_back(link);
    } else {
        close(link);
    }
}

void upstream_pool::roll_back(const link_handle& link) {
    if (link->m_state != upstream_link::state::in_use) {
        return;
    }
    link->m_on_lost = nullptr;
    m_questions[link->m_number] = [this, link](const std::optional<answer>& reply) {
        if (reply && reply->m_state == session_state::idle) {
            give_back(link);
        } else {
            close(link);
        }
    };
    ++link->m_expected;
    link->m_since = m_clock.m_now();
    link->m_channel.m_send({{.m_kind = outgoing_statement::kind::rollback}});
}

void upstream_pool::ask_directly(const outgoing_statement& question,
                                 std::function<void(std::optional<answer>)> done) {
    m_unasked.push_back({.m_statement = question, .m_done = std::move(done), .m_since = m_clock.m_now()});
    dispatch();
}

void upstream_pool::ask_next() {
    const link_handle link = m_idle.back();
    m_idle.pop_back();
    m_accounting.record_acquired();
    link->m_state = upstream_link::state::in_use;
    link->m_since = m_clock.m_now();
    own_question next = std::move(m_unasked.front());
    m_unasked.pop_front();
    m_questions[link->m_number] = [this, link, done = std::move(next.m_done)](std::optional<answer> reply) {
        const session_state state = reply ? reply->m_state : session_state::failed;
        done(std::move(reply));
        give_back_or_close(link, state);
    };
    ++link->m_expected;
    link->m_channel.m_send({next.m_statement});
}

void upstream_pool::give_up_questions(steady_time asked_before) {
    while (!m_unasked.empty() && m_unasked.front().m_since <= asked_before) {
        const auto done = std::move(m_unasked.front().m_done);
        m_unasked.pop_front();
        done(std::nullopt);
    }
}

void upstream_pool::close(const link_handle& link) {
    if (link->m_state == upstream_link::state::closed) {
        return;
    }
    const bool was_idle = link->m_state == upstream_link::state::idle;
    const bool was_connecting = link->m_state == upstream_link::state::connecting;
    link->m_channel.m_close();
    if (was_connecting) {
        m_accounting.record_open_failed(m_clock.m_now(), 0);
        link->m_state = upstream_link::state::closed;
        m_links.remove(link);
        return;
    }
    drop(link, was_idle);
    fail_awaited(link);
}

void upstream_pool::drop(const link_handle& link, bool was_idle) {
    link->m_state = upstream_link::state::closed;
    if (was_idle) {
        m_accounting.record_closed_idle();
        std::erase(m_idle, link);
    } else {
        m_accounting.record_closed_busy();
    }
    m_links.remove(link);
}

void upstream_pool::fail_awaited(const link_handle& link) {
    const auto question = m_questions.find(link->m_number);
    if (question != m_questions.end()) {
        const auto done = std::move(question->second);
        m_questions.erase(question);
        done(std::nullopt);
    }
    if (link->m_work != 0) {
        const std::uint64_t work_id = std::exchange(link->m_work, 0);
        finish(work_id, {.m_end = work_end::lost, .m_code = result_code::outcome_unknown});
    } else if (link->m_on_lost) {
        const auto told = std::exchange(link->m_on_lost, nullptr);
        told();
    }
}

void upstream_pool::close_busy() {
    const std::vector<link_handle> links(m_links.begin(), m_links.end());
    for (const link_handle& link : links) {
        if (link->m_state == upstream_link::state::in_use) {
            close(link);
        }
    }
    open_links();
}

void upstream_pool::close_idle() {
    const std::deque<link_handle> idle = m_idle;
    for (const link_handle& link : idle) {
        close(link);
    }
}

void upstream_pool::retire() {
    m_retired = true;
    refuse_waiting(result_code::upstream_unavailable);
    close_busy();
}

void upstream_pool::refuse_waiting(result_code code) {
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, work] : m_work) {
        if (!m_running.contains(id)) {
            waiting.push_back(id);
        }
    }
    for (const std::uint64_t id : waiting) {
        if (m_queue.remove(id)) {
            finish(id, {.m_end = work_end::not_run, .m_code = code});
        }
    }
}

void upstream_pool::open_links() {
    if (m_wrong_upstream || m_retired || m_entry.m_leaving) {
        return;
    }
    int wanted = m_accounting.connections_to_open(
        m_queue.connections_needed() + static_cast<int>(m_unasked.size()), m_clock.m_now());
    for (; wanted > 0; --wanted) {
        start_link();
    }
}

void upstream_pool::start_link() {
    auto link = std::make_shared<upstream_link>();
    link->m_number = m_next_number++;
    link->m_since = m_clock.m_now();
    m_accounting.record_opening();
    m_metrics.count("upstream_connections_opened");
    m_links.push_back(link);
    const auto guarded = [this, alive = m_alive](auto work) {
        return [this, alive, work](auto... arguments) {
            if (*alive) {
                work(*this, std::move(arguments)...);
            }
        };
    };
    link->m_channel = m_connector(
        m_entry.m_address, m_entry.m_group, m_entry.m_id,
        {.m_on_ready = guarded([link](upstream_pool& pool) { pool.on_ready(link); }),
         .m_on_answer =
             guarded([link](upstream_pool& pool, answer reply) { pool.on_answer(link, std::move(reply)); }),
         .m_on_connect_failed = guarded(
             [link](upstream_pool& pool, connect_failure why) { pool.on_connect_failed(link, why); }),
         .m_on_lost = guarded([link](upstream_pool& pool) { pool.on_lost(link); })});
}

void upstream_pool::on_ready(const link_handle& link) {
    if (link->m_state != upstream_link::state::connecting) {
        return;
    }
    note_heard();
    link->m_state = upstream_link::state::idle;
    link->m_since = m_clock.m_now();
    m_accounting.record_opened();
    m_idle.push_back(link);
    dispatch();
}

void upstream_pool::on_connect_failed(const link_handle& link, connect_failure why) {
    if (link->m_state != upstream_link::state::connecting) {
        return;
    }
    link->m_state = upstream_link::state::closed;
    m_links.remove(link);
    m_accounting.record_open_failed(m_clock.m_now(),
                                    static_cast<std::uint32_t>(link->m_number * 2654435761U));
    switch (why) {
    case connect_failure::too_many_connections:
        note_heard();
        break;
    case connect_failure::wrong_upstream:
        m_wrong_upstream = true;
        log_event(log_level::warning, "upstream.replaced_at_address", {{"upstream", m_entry.m_id.m_text}});
        refuse_waiting(result_code::upstream_unavailable);
        break;
    case connect_failure::refused:
        ++m_refusals;
        note_failing("connection refused");
        break;
    case connect_failure::silent:
        note_failing("connect unanswered");
        break;
    }
}

void upstream_pool::on_answer(const link_handle& link, answer reply) {
    note_heard();
    if (link->m_expected == 0) {
        log_event(log_level::warning, "upstream.unexpected_answer", {{"upstream", m_entry.m_id.m_text}});
        close(link);
        return;
    }
    if (--link->m_expected > 0) {
        if (!reply.succeeded()) {
            // What follows it may run on other values than the session's; never reuse the connection.
            log_event(log_level::warning, "upstream.preparation_failed",
                      {{"upstream", m_entry.m_id.m_text}, {"reason", reply.m_reason}});
            link->m_spoiled = true;
        }
        return;
    }
    if (reply.m_position) {
        m_position = reply.m_position;
    }
    const auto question = m_questions.find(link->m_number);
    if (question != m_questions.end()) {
        const auto done = std::move(question->second);
        m_questions.erase(question);
        done(std::move(reply));
        return;
    }
    const std::uint64_t work_id = std::exchange(link->m_work, 0);
    const auto sent = m_running.find(work_id);
    if (sent != m_running.end() && reply.succeeded()) {
        const steady_time now = m_clock.m_now();
        m_answer_time.record(std::chrono::duration_cast<microseconds>(now - sent->second), now);
    }
    if (reply.m_code == result_code::unknown_prepared_statement) {
        link->m_prepared.clear();
    }
    finish(work_id, {.m_end = work_end::answered, .m_answer = std::move(reply), .m_link = link});
    dispatch();
}

void upstream_pool::on_lost(const link_handle& link) {
    if (link->m_state == upstream_link::state::closed) {
        return;
    }
    m_metrics.count("upstream_connections_lost");
    drop(link, link->m_state == upstream_link::state::idle);
    fail_awaited(link);
    dispatch();
}

void upstream_pool::note_heard() {
    m_heard_at = m_clock.m_now();
    m_refusals = 0;
    if (m_failing_since) {
        m_failing_since.reset();
        log_event(log_level::info, "upstream.answers_again", {{"upstream", m_entry.m_id.m_text}});
    }
}

void upstream_pool::note_failing(const char* sign) {
    if (!m_failing_since) {
        m_failing_since = m_clock.m_now();
        log_event(log_level::warning, "upstream.failing",
                  {{"upstream", m_entry.m_id.m_text}, {"group", m_entry.m_group.m_text}, {"sign", sign}});
    }
}

milliseconds upstream_pool::expected_wait(int rank) const {
    int ahead = 0;
    for (int each = most_urgent_rank; each <= rank; ++each) {
        ahead += m_queue.waiting(each);
    }
    const int free = m_limits.m_parallel - m_queue.running();
    if (ahead < free || (rank == most_urgent_rank && ahead == 0 && m_queue.running() < m_queue.slots())) {
        return milliseconds{0};
    }
    const microseconds each_takes = std::max(answer_time(), least_answer_time);
    return std::chrono::duration_cast<milliseconds>(each_takes * (ahead + 1) / m_limits.m_parallel);
}

int upstream_pool::running_at_primary() const {
    return static_cast<int>(std::count_if(m_running.begin(), m_running.end(), [&](const auto& each) {
        const auto work = m_work.find(each.first);
        return work != m_work.end() && work->second.m_at_primary_only;
    }));
}

int upstream_pool::held_links() const {
    return static_cast<int>(std::count_if(m_links.begin(), m_links.end(), [](const link_handle& link) {
        return link->m_state == upstream_link::state::in_use;
    }));
}

void upstream_pool::give_up_answer(const link_handle& link) {
    // The upstream still works on it. The connection is reused once the answer
    // has come; a new one would cost the upstream a slot.
    m_metrics.count("answers_given_up");
    const std::uint64_t work_id = std::exchange(link->m_work, 0);
    const bool held = m_work.at(work_id).m_holds_link;
    if (!held) {
        m_questions[link->m_number] = [this, link](const std::optional<answer>& reply) {
            give_back_or_close(link, reply ? reply->m_state : session_state::failed);
        };
        link->m_since = m_clock.m_now();
    }
    finish(work_id, {.m_end = work_end::lost, .m_code = result_code::outcome_unknown});
}

void upstream_pool::note_silent() {
    if (!m_failing_since) {
        // Connecting anew shows whether it answers again.
        close_idle();
        note_failing("statement unanswered");
    }
}

void upstream_pool::close_silent_links() {
    const steady_time now = m_clock.m_now();
    const std::vector<link_handle> links(m_links.begin(), m_links.end());
    for (const link_handle& link : links) {
        const auto question = m_questions.find(link->m_number);
        if (question != m_questions.end() && now >= std::max(link->m_since, m_heard_at) + silence_limit) {
            note_silent();
            close(link);
            continue;
        }
        const auto sent = m_running.find(link->m_work);
        if (link->m_work == 0 || sent == m_running.end()) {
            continue;
        }
        const pool_work& work = m_work.at(link->m_work);
        const bool silent = now >= std::max(sent->second, m_heard_at) + silence_limit;
        if (silent) {
            note_silent();
        }
        if (silent && (work.m_repeatable || now >= work.m_answer_until)) {
            close(link);
        } else if (now >= work.m_answer_until) {
            give_up_answer(link);
        }
    }
}

void upstream_pool::tick() {
    const steady_time now = m_clock.m_now();
    for (const admission_ticket& expired : m_queue.remove_expired(now)) {
        finish(expired.m_id, {.m_end = work_end::not_run});
    }
    close_silent_links();
    give_up_questions(now - silence_limit);
    const std::vector<link_handle> links(m_links.begin(), m_links.end());
    for (const link_handle& link : links) {
        if (link->m_state == upstream_link::state::connecting &&
            now >= link->m_since + (m_failing_since ? failing_connect_limit : connect_limit)) {
            link->m_channel.m_close();
            on_connect_failed(link, connect_failure::silent);
        } else if (link->m_state == upstream_link::state::idle &&
                   m_accounting.should_close_idle(link->m_since, now)) {
            close(link);
        }
    }
    dispatch();
}

}
