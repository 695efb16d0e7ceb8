/// \file upstream_outcomes.cpp
/// Compares windows of outcomes and moves upstreams between their standings.
#include "anvilmount/decisions/upstream_outcomes.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvilmount {
namespace {

/// The window. An instance sends an upstream some 8 statements a second in the largest fleets, so that a
/// window holds about 40.
constexpr milliseconds window_length{5000};
constexpr milliseconds bucket_length{500};

/// Fewer errors than this are no evidence.
constexpr int min_errors = 3;

/// The others' share of errors counts as at least this, so that one error in a quiet group is no outlier.
constexpr double min_error_share = 0.01;

/// Standard deviations by which the errors must exceed those expected from the others' share. The window
/// is looked at with each outcome, and with 3 a group whose upstreams all fail 30 % lost one to chance.
constexpr double error_deviations = 4.0;

/// An upstream whose answers take this many times as long as the others' is slow. The faults seen are
/// 8 times slower; a busy upstream beside an idle one was up to twice as slow in trials.
constexpr int slow_factor = 3;

/// A single answer on trial varies more than a mean.
constexpr int slow_trial_factor = 4;

/// Answers of a rank that make a mean.
constexpr int min_answers = 5;

/// Shares of its work that an upstream gets when reduced and in the steps of its return.
constexpr double reduced_share = 0.25;
constexpr std::array<double, 2> return_shares{0.25, 0.5};
constexpr milliseconds return_step{1500};

constexpr milliseconds initial_hold{2000};
constexpr milliseconds max_hold{60000};

/// An upstream that becomes bad again within this time after the end of its restriction is held twice as
/// long.
constexpr milliseconds relapse_time{30000};

/// Two interruptions within this time are flapping; the fault seen has 1.4 s between them.
constexpr milliseconds flap_time{10000};

constexpr milliseconds trial_interval{300};

/// Good outcomes in a row before a return. With a share of 0.3 of errors, 6 % of such rows are good.
constexpr int good_trials = 8;

constexpr std::size_t index_of(int rank) {
    return static_cast<std::size_t>(std::clamp(rank, most_urgent_rank, least_urgent_rank) - 1);
}

}

std::string_view name_of(upstream_standing standing) {
    switch (standing) {
    case upstream_standing::in_use:
        return "in_use";
    case upstream_standing::reduced:
        return "reduced";
    case upstream_standing::on_trial:
        return "on_trial";
    case upstream_standing::returning:
        return "returning";
    }
    return "";
}

upstream_outcomes::bucket upstream_outcomes::sum_of(const judged_upstream& upstream, steady_time now) {
    bucket sum;
    for (const bucket& each : upstream.m_window) {
        if (each.m_start + window_length <= now) {
            continue;
        }
        sum.m_work += each.m_work;
        sum.m_errors += each.m_errors;
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            sum.m_times.at(rank).m_count += each.m_times.at(rank).m_count;
            sum.m_times.at(rank).m_sum += each.m_times.at(rank).m_sum;
        }
    }
    return sum;
}

upstream_outcomes::bucket upstream_outcomes::sum_of_others(const upstream_id& id, steady_time now) const {
    judged_upstream others;
    for (const auto& [other, upstream] : m_upstreams) {
        if (other != id && upstream.m_standing == upstream_standing::in_use) {
            others.m_window.push_back(sum_of(upstream, now));
            others.m_window.back().m_start = now;
        }
    }
    return sum_of(others, now);
}

std::string_view upstream_outcomes::fault_of(const upstream_id& id, const judged_upstream& upstream,
                                             steady_time now) const {
    const bucket own = sum_of(upstream, now);
    const bucket others = sum_of_others(id, now);
    if (others.m_work < min_answers) {
        return {};
    }
    const double share =
        std::clamp(static_cast<double>(others.m_errors) / others.m_work, min_error_share, 1.0);
    const double expected = share * own.m_work;
    // The second factor is for the others' share, which is an estimate as well.
    const double deviation =
        std::sqrt(expected * (1 - share) * (1 + static_cast<double>(own.m_work) / others.m_work));
    if (own.m_errors >= min_errors && own.m_errors > expected + error_deviations * deviation) {
        return "errors";
    }
    int compared = 0;
    microseconds own_time{0};
    microseconds expected_time{0};
    for (std::size_t rank = 0; rank < rank_count; ++rank) {
        const answer_times& here = own.m_times.at(rank);
        const answer_times& there = others.m_times.at(rank);
        if (there.m_count >= min_answers) {
            compared += here.m_count;
            own_time += here.m_sum;
            expected_time += there.m_sum / there.m_count * here.m_count;
        }
    }
    return compared >= min_answers && own_time > expected_time * slow_factor ? "slow" : std::string_view{};
}

bool upstream_outcomes::is_good(const upstream_id& id, const observed_work& work, steady_time now) const {
    if (work.m_sign != work_sign::served) {
        return false;
    }
    const answer_times there = sum_of_others(id, now).m_times.at(index_of(work.m_rank));
    return !work.m_is_comparable || there.m_count < min_answers ||
           work.m_answer_time <= there.m_sum / there.m_count * slow_trial_factor;
}

void upstream_outcomes::change(const upstream_id& id, judged_upstream& upstream, upstream_standing to,
                               std::string_view reason, steady_time now) {
    m_changes.push_back({.m_upstream = id, .m_from = upstream.m_standing, .m_to = to, .m_reason = reason});
    upstream.m_standing = to;
    upstream.m_since = now;
    upstream.m_window.clear();
    upstream.m_credit = 0;
    upstream.m_good_in_row = 0;
    upstream.m_step = 0;
}

void upstream_outcomes::put_on_trial(const upstream_id& id, judged_upstream& upstream,
                                     std::string_view reason, steady_time now) {
    upstream.m_hold_until = now + upstream.m_hold;
    upstream.m_next_trial = now + trial_interval;
    change(id, upstream, upstream_standing::on_trial, reason, now);
}

void upstream_outcomes::restrict(const upstream_id& id, judged_upstream& upstream, std::string_view reason,
                                 steady_time now) {
    const bool is_relapse = upstream.m_hold.count() > 0 && now < upstream.m_restricted_at + relapse_time;
    if (upstream.m_standing == upstream_standing::in_use ||
        upstream.m_standing == upstream_standing::returning) {
        upstream.m_hold = is_relapse ? std::min(upstream.m_hold * 2, max_hold) : initial_hold;
    }
    upstream.m_restricted_at = now;
    if (upstream.m_standing == upstream_standing::in_use) {
        upstream.m_hold_until = now + upstream.m_hold;
        change(id, upstream, upstream_standing::reduced, reason, now);
    } else {
        put_on_trial(id, upstream, reason, now);
    }
}

void upstream_outcomes::record(const upstream_id& upstream, const observed_work& work, steady_time now) {
    judged_upstream& judged = m_upstreams[upstream];
    std::erase_if(judged.m_window, [&](const bucket& each) { return each.m_start + window_length <= now; });
    if (judged.m_window.empty() || judged.m_window.back().m_start + bucket_length <= now) {
        judged.m_window.push_back({.m_start = now});
    }
    bucket& newest = judged.m_window.back();
    ++newest.m_work;
    if (work.m_sign != work_sign::served) {
        ++newest.m_errors;
    } else if (work.m_is_comparable) {
        answer_times& times = newest.m_times.at(index_of(work.m_rank));
        ++times.m_count;
        times.m_sum += work.m_answer_time;
    }
    if (judged.m_standing == upstream_standing::on_trial) {
        judged.m_good_in_row = is_good(upstream, work, now) ? judged.m_good_in_row + 1 : 0;
        judged.m_restricted_at = now;
    } else if (const std::string_view fault = fault_of(upstream, judged, now); !fault.empty()) {
        restrict(upstream, judged, fault, now);
    }
    advance(upstream, judged, now);
}

void upstream_outcomes::record_down(const upstream_id& upstream, steady_time now) {
    judged_upstream& judged = m_upstreams[upstream];
    const auto before = std::exchange(judged.m_last_down, now);
    if (judged.m_standing == upstream_standing::on_trial) {
        judged.m_good_in_row = 0;
        judged.m_hold_until = now + judged.m_hold;
        judged.m_restricted_at = now;
        return;
    }
    if (before && now < *before + flap_time) {
        const bool is_relapse = judged.m_hold.count() > 0 && now < judged.m_restricted_at + relapse_time;
        judged.m_hold = is_relapse ? std::min(judged.m_hold * 2, max_hold) : initial_hold;
        judged.m_restricted_at = now;
        put_on_trial(upstream, judged, "flapping", now);
    } else if (judged.m_standing == upstream_standing::returning) {
        restrict(upstream, judged, "flapping", now);
    }
}

void upstream_outcomes::advance(const upstream_id& id, judged_upstream& upstream, steady_time now) {
    switch (upstream.m_standing) {
    case upstream_standing::in_use:
        if (upstream.m_hold.count() > 0 && now >= upstream.m_restricted_at + relapse_time) {
            upstream.m_hold = milliseconds{0};
        }
        return;
    case upstream_standing::reduced:
        if (now >= upstream.m_hold_until && !upstream.m_window.empty()) {
            change(id, upstream, upstream_standing::returning, "no fault", now);
            upstream.m_step = 1;
        }
        return;
    case upstream_standing::on_trial:
        if (now >= upstream.m_hold_until && upstream.m_good_in_row >= good_trials) {
            change(id, upstream, upstream_standing::returning, "good trials", now);
        }
        return;
    case upstream_standing::returning:
        if (now < upstream.m_since + return_step || sum_of(upstream, now).m_work < min_errors) {
            return;
        }
        // The relapse time begins when all of the work is back.
        upstream.m_restricted_at = now;
        if (++upstream.m_step < return_shares.size()) {
            upstream.m_since = now;
        } else {
            change(id, upstream, upstream_standing::in_use, "no fault", now);
        }
        return;
    }
}

read_selection upstream_outcomes::select(std::span<const judged_candidate> candidates, steady_time now) {
    std::vector<const judged_candidate*> wanted;
    std::ptrdiff_t replicas = 0;
    for (const judged_candidate& each : candidates) {
        replicas += each.m_is_primary ? 0 : 1;
        const auto found = m_upstreams.find(each.m_id);
        if (found == m_upstreams.end()) {
            continue;
        }
        judged_upstream& upstream = found->second;
        advance(each.m_id, upstream, now);
        if (upstream.m_standing == upstream_standing::in_use) {
            continue;
        }
        if (upstream.m_standing != upstream_standing::on_trial) {
            upstream.m_credit += upstream.m_standing == upstream_standing::reduced
                                     ? reduced_share
                                     : return_shares.at(upstream.m_step);
            if (upstream.m_credit >= 1) {
                upstream.m_credit -= 1;
                continue;
            }
        }
        wanted.push_back(&each);
    }
    // Those on trial first, and of these the ones that are held longest: the limit spares the others.
    std::stable_sort(
        wanted.begin(), wanted.end(), [&](const judged_candidate* left, const judged_candidate* right) {
            const auto key = [&](const judged_candidate* each) {
                const judged_upstream& upstream = m_upstreams.at(each->m_id);
                return std::pair{upstream.m_standing == upstream_standing::on_trial, upstream.m_hold};
            };
            return key(left) > key(right);
        });
    read_selection selection;
    std::ptrdiff_t withheld_replicas = 0;
    for (const judged_candidate* each : wanted) {
        if (each->m_is_primary ? replicas == 0 : withheld_replicas >= replicas / 2) {
            continue;
        }
        withheld_replicas += each->m_is_primary ? 0 : 1;
        selection.m_withheld.push_back(each->m_id);
        const judged_upstream& upstream = m_upstreams.at(each->m_id);
        if (!selection.m_trial && upstream.m_standing == upstream_standing::on_trial &&
            now >= upstream.m_next_trial) {
            selection.m_trial = each->m_id;
        }
    }
    return selection;
}

void upstream_outcomes::start_trial(const upstream_id& upstream, steady_time now) {
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end()) {
        found->second.m_next_trial = now + trial_interval;
    }
}

bool upstream_outcomes::may_serve_overflow(const upstream_id& upstream, steady_time now) const {
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || found->second.m_standing == upstream_standing::in_use) {
        return false;
    }
    const bucket own = sum_of(found->second, now);
    return own.m_work >= min_errors && own.m_errors * 2 < own.m_work;
}

upstream_standing upstream_outcomes::standing_of(const upstream_id& upstream) const {
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? upstream_standing::in_use : found->second.m_standing;
}

std::vector<standing_change> upstream_outcomes::take_changes() {
    return std::exchange(m_changes, {});
}

}
