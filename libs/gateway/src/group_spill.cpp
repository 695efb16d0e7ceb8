/// \file group_spill.cpp
/// Turns the answers of a group's upstreams into measurements by data centre, and the decision's shares
/// into candidates of single reads.
#include "anvilmount/gateway/group_spill.hpp"

#include "anvilmount/gateway/group_service.hpp"
#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <vector>

namespace anvilmount::gateway {
namespace {

/// An upstream that refused a read as busy has no room for others' reads for this long.
constexpr milliseconds busy_memory{2000};

/// Weight of the newest answer's bytes is 1/smoothing.
constexpr double smoothing = 8;
/// A single look at the statements in flight would often fall into a gap between two of them.
constexpr double load_smoothing = 32;

constexpr double bytes_per_kilobyte = 1000;

std::size_t index_of(int rank) {
    return static_cast<std::size_t>(std::clamp(rank, 1, spill_ranks) - 1);
}

bool is_begin(const group_request& request) {
    return request.m_statement.m_kind == outgoing_statement::kind::begin ||
           request.m_statement.m_kind == outgoing_statement::kind::begin_read_only;
}

/// Statements of an open transaction and writes say nothing about where a new read is answered soonest.
bool is_measured(const group_request& request) {
    return is_begin(request) || request.m_placement == request_placement::replica_allowed;
}

}

group_spill::group_spill(const group_options& options, const pool_map& pools, metrics& counters)
    : m_group(options.m_name), m_here(options.m_data_centre), m_pools(pools), m_metrics(counters),
      m_decision(m_here, {.m_byte_price = options.m_remote_byte_price, .m_phase = options.m_spill_phase}) {}

const data_centre* group_spill::centre_of(const upstream_id& id) const {
    const auto found = m_pools.find(id);
    return found == m_pools.end() ? nullptr : &found->second->entry().m_data_centre;
}

std::optional<upstream_id> group_spill::choose(const group_request& request,
                                               std::span<const read_candidate> candidates,
                                               const read_constraints& constraints, steady_time now) {
    // Without a position that a replica could prove, only the primary can serve the read.
    if (!m_decision.is_enabled() || !constraints.m_min_position) {
        return choose_for_read(candidates, constraints, now);
    }
    read_kind& kind = m_reads.at(index_of(request.m_rank));
    kind.m_target = std::chrono::duration_cast<microseconds>(request.m_target_time - request.m_arrived);
    std::optional<upstream_id> chosen;
    spill_route route;
    // A trial that no upstream there can take is followed by an ordinary attempt.
    do {
        route = m_decision.route(request.m_rank, m_next_number++, now);
        std::vector<read_candidate> permitted(candidates.begin(), candidates.end());
        std::erase_if(permitted, [&](const read_candidate& each) {
            const data_centre* where = centre_of(each.m_id);
            return where != nullptr && !route.permits(*where);
        });
        chosen = choose_for_read(permitted, constraints, now);
    } while (!chosen && route.m_is_trial);
    if (!chosen) {
        chosen = choose_for_read(candidates, constraints, now);
    }
    const data_centre* where = chosen ? centre_of(*chosen) : nullptr;
    if (where != nullptr) {
        m_decision.record_placed(request.m_rank, *where);
        m_metrics.count(route.m_is_trial   ? "reads_left_on_trial"
                        : *where == m_here ? "reads_stayed"
                                           : "reads_left");
    }
    return chosen;
}

void group_spill::record_sent(const group_request& request, const upstream_entry& upstream,
                              steady_time now) {
    if (m_decision.is_enabled() && is_measured(request)) {
        m_times[upstream.m_data_centre].record_sent(now);
    }
}

void group_spill::record_result(const group_request& request, const upstream_entry& upstream,
                                const work_result& result, steady_time now) {
    if (!m_decision.is_enabled() || !is_measured(request)) {
        return;
    }
    if (result.m_outcome == work_outcome::answered) {
        record_answer(request, upstream.m_data_centre, result, now);
    } else {
        m_times[upstream.m_data_centre].record_unanswered(result.m_outcome == work_outcome::lost, now);
    }
}

void group_spill::record_answer(const group_request& request, const data_centre& where,
                                const work_result& result, steady_time now) {
    const auto elapsed = std::chrono::duration_cast<microseconds>(now - result.m_sent_at);
    const result_code code = result.m_answer.m_code;
    const bool succeeded = result.m_answer.succeeded();
    if (!succeeded && code == result_code::queue_full) {
        m_busy_at[where] = now;
    }
    const bool is_refusal =
        !succeeded && (code == result_code::queue_full || code == result_code::no_fresh_upstream);
    if (is_refusal || (succeeded && is_begin(request))) {
        m_times[where].record_without_work(elapsed, now);
        return;
    }
    if (!succeeded) {
        // Other failures may come after some work, and measure neither the path nor a read.
        m_times[where].record_unanswered(false, now);
        return;
    }
    m_times[where].record_read(request.m_rank, elapsed, now);
    double bytes = 0;
    for (const std::string& row : result.m_answer.m_rows) {
        bytes += static_cast<double>(row.size());
    }
    double& kilobytes = m_reads.at(index_of(request.m_rank)).m_kilobytes;
    kilobytes += (bytes / bytes_per_kilobyte - kilobytes) / (kilobytes > 0 ? smoothing : 1);
}

spill_view group_spill::view(const upstream_id& primary, steady_time now) const {
    struct place {
        int m_slots{0};
        double m_in_progress{0};
        std::vector<const upstream_pool*> m_replicas{};
    };
    std::map<data_centre, place> places;
    for (const auto& [id, pool] : m_pools) {
        if (id == primary || pool->failing_since() || pool->is_wrong_upstream() ||
            pool->entry().m_leaving) {
            continue;
        }
        place& found = places[pool->entry().m_data_centre];
        found.m_slots += pool->max_in_flight();
        const auto load = m_in_progress.find(id);
        found.m_in_progress += load == m_in_progress.end() ? 0.0 : load->second;
        found.m_replicas.push_back(pool.get());
    }
    static const path_time not_measured;
    const auto own = m_times.find(m_here);
    const path_time& here = own == m_times.end() ? not_measured : own->second;
    spill_view seen;
    for (std::size_t rank = 0; rank < m_reads.size(); ++rank) {
        seen.m_demands.at(rank) = {.m_target = m_reads.at(rank).m_target,
                                   .m_kilobytes = m_reads.at(rank).m_kilobytes};
    }
    for (const auto& [where, found] : places) {
        const auto times = m_times.find(where);
        spill_side side = measured_side(times == m_times.end() ? not_measured : times->second, here, now);
        for (int rank = 1; rank <= spill_ranks; ++rank) {
            milliseconds wait = milliseconds::max();
            for (const upstream_pool* pool : found.m_replicas) {
                wait = std::min(wait, pool->expected_wait(rank));
            }
            side.m_wait.at(index_of(rank)) = wait;
        }
        const auto busy = m_busy_at.find(where);
        const bool is_busy = busy != m_busy_at.end() && now < busy->second + busy_memory;
        side.m_room = is_busy ? 0.0
                              : std::max(0.0, 1.0 - static_cast<double>(found.m_in_progress) /
                                                        std::max(1, found.m_slots));
        if (where == m_here) {
            seen.m_here = side;
        } else {
            seen.m_there.emplace(where, side);
        }
    }
    return seen;
}

void group_spill::tick(const upstream_id& primary, steady_time now) {
    if (!m_decision.is_enabled()) {
        return;
    }
    for (const auto& [id, pool] : m_pools) {
        double& load = m_in_progress[id];
        load += (pool->in_progress() - load) / load_smoothing;
    }
    if (!m_decision.is_step_due(now)) {
        return;
    }
    std::erase_if(m_in_progress, [&](const auto& each) { return !m_pools.contains(each.first); });
    for (const spill_change& change : m_decision.step(view(primary, now), now)) {
        m_metrics.count("spill_changes");
        log_event(log_level::info, "spill.share",
                  {{"group", m_group.m_text},
                   {"from", m_here.m_text},
                   {"to", change.m_to.m_text},
                   {"rank", change.m_rank == 0 ? "all" : std::to_string(change.m_rank)},
                   {"percent", std::to_string(static_cast<int>(change.m_share * 100))},
                   {"reason", std::string(to_text(change.m_reason))}});
    }
}

nlohmann::json group_spill::state() const {
    nlohmann::json shares = nlohmann::json::array();
    if (!m_decision.is_enabled()) {
        return shares;
    }
    std::map<data_centre, bool> centres;
    for (const auto& [id, pool] : m_pools) {
        centres[pool->entry().m_data_centre] = true;
    }
    centres.erase(m_here);
    for (const auto& [where, known] : centres) {
        for (int rank = 1; rank <= spill_ranks; ++rank) {
            const auto share = m_decision.share(rank, where);
            shares.push_back({{"from", m_here.m_text},
                              {"to", where.m_text},
                              {"rank", rank},
                              {"share", share ? share->m_share : 0.0},
                              {"reason", to_text(share ? share->m_reason : spill_reason::unmeasured)}});
        }
    }
    return shares;
}

}
