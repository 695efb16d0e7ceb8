/// \file data_centre_spill.cpp
/// Implements the comparison of here and there, and the steps of the shares.
#include "anvilmount/decisions/data_centre_spill.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvilmount {
namespace {

/// Work with more time left than this share of its latency target counts the time saved least.
constexpr double min_urgency = 0.1;

/// An advantage that is smaller is within the noise of the measurements; shares are not raised for it.
constexpr microseconds min_margin{2000};
constexpr int margin_divisor = 4;
/// Reads return already for an advantage that is smaller than this: smoothed times approach equal ones from
/// above and may stay a little higher.
constexpr microseconds return_margin{250};

/// Room that is left to the other side.
constexpr double min_room = 0.1;

/// With less room than this, reads may soon wait here.
constexpr double busy_room = 0.5;

constexpr milliseconds change_memory{60000};
constexpr int max_doublings = 3;

/// A slow path that nothing measures any more counts as slow for this long.
constexpr milliseconds slow_path_memory{60000};

constexpr double min_share_step = 0.02;
/// Steps are larger while the answer takes more than half of its latency target.
constexpr double pressing_factor = 3;

/// Growth of the steps of a share that keeps its direction.
constexpr double step_growth = 1.5;

constexpr double golden_ratio = 0.6180339887498949;

/// Placements count half as much after each step.
constexpr double placement_decay = 0.5;

std::optional<microseconds> answer_time(const spill_side& side, std::size_t rank) {
    const auto& work = side.m_work.at(rank);
    return work ? std::optional(side.m_wait.at(rank) + *work + side.m_path.value_or(microseconds{0}))
                : std::nullopt;
}

microseconds to_microseconds(double milliseconds_count) {
    return microseconds{static_cast<std::int64_t>(milliseconds_count * 1000)};
}

std::size_t index_of(int rank) {
    return static_cast<std::size_t>(std::clamp(rank, 1, spill_ranks) - 1);
}

}

std::string_view to_text(spill_reason reason) {
    switch (reason) {
    case spill_reason::unmeasured:
        return "unmeasured";
    case spill_reason::stays:
        return "stays";
    case spill_reason::pays:
        return "pays";
    case spill_reason::no_room:
        return "no_room";
    case spill_reason::path_trouble:
        return "path_trouble";
    }
    return "unmeasured";
}

spill_side measured_side(const path_time& there, const path_time& here, steady_time now) {
    spill_side side{.m_path = &there == &here ? std::nullopt : there.path(now),
                    .m_measured_at = there.measured_at().value_or(steady_time{}),
                    .m_is_silent = there.is_silent(now)};
    std::optional<double> slowdown;
    for (int rank = 1; rank <= spill_ranks; ++rank) {
        const auto time_there = there.answer_time(rank, now);
        const auto time_here = here.answer_time(rank, now);
        if (time_there && time_here && time_here->count() > 0) {
            slowdown = static_cast<double>(time_there->count()) / static_cast<double>(time_here->count());
        }
    }
    for (int rank = 1; rank <= spill_ranks; ++rank) {
        std::optional<microseconds> whole = there.answer_time(rank, now);
        if (const auto time_here = here.answer_time(rank, now); !whole && time_here && slowdown) {
            whole = microseconds{
                static_cast<std::int64_t>(static_cast<double>(time_here->count()) * *slowdown)};
        }
        if (whole) {
            side.m_work.at(index_of(rank)) =
                std::max(microseconds{0}, *whole - side.m_path.value_or(microseconds{0}));
        }
    }
    return side;
}

bool spill_route::permits(const data_centre& where) const {
    if (m_only) {
        return *m_only == where;
    }
    return std::find(m_excluded.begin(), m_excluded.end(), where) == m_excluded.end();
}

data_centre_spill::data_centre_spill(data_centre here, spill_options options)
    : m_here(std::move(here)), m_options(options) {}

bool data_centre_spill::is_step_due(steady_time now) const {
    return is_enabled() && (!m_next_step || now >= *m_next_step);
}

std::optional<microseconds> data_centre_spill::advantage(int rank, const spill_view& view,
                                                         const spill_side& there) const {
    const std::size_t index = index_of(rank);
    const spill_demand& demand = view.m_demands.at(index);
    const auto time_here = answer_time(*view.m_here, index);
    const auto time_there = answer_time(there, index);
    if (!time_here || !time_there) {
        return std::nullopt;
    }
    const double urgency = std::clamp(static_cast<double>(time_here->count()) /
                                          std::max<double>(1, static_cast<double>(demand.m_target.count())),
                                      min_urgency, 1.0);
    return *time_here - *time_there -
           to_microseconds(m_options.m_byte_price * demand.m_kilobytes / urgency);
}

std::vector<spill_change> data_centre_spill::step(const spill_view& view, steady_time now) {
    std::vector<spill_change> changes;
    if (!is_step_due(now)) {
        return changes;
    }
    if (!m_next_step) {
        m_next_step = now + m_options.m_phase;
        if (m_options.m_phase.count() > 0) {
            return changes;
        }
    }
    m_next_step = now + step_interval;
    m_here_is_measured = view.m_here && now < view.m_here->m_measured_at + max_age;
    m_here_is_busy = m_here_is_measured && view.m_here->m_room < busy_room;
    adopt_measurements(view, now, changes);
    if (m_here_is_measured && changes.empty() && now >= m_next_change) {
        auto change = lower_one(view);
        if (!change) {
            change = raise_one(view);
        }
        if (change) {
            std::erase_if(m_recent_changes, [&](steady_time at) { return now >= at + change_memory; });
            m_recent_changes.push_back(now);
            const auto doublings = static_cast<int>(m_recent_changes.size()) / changes_per_doubling;
            m_next_change =
                now + step_interval * (change->m_is_pressing ? 1 : 1 << std::min(doublings, max_doublings));
            changes.push_back(*change);
        }
    }
    for (auto& placed : m_placed) {
        for (auto& [where, count] : placed) {
            count *= placement_decay;
        }
    }
    return changes;
}

void data_centre_spill::adopt_measurements(const spill_view& view, steady_time now,
                                           std::vector<spill_change>& changes) {
    std::erase_if(m_remotes, [&](const auto& each) { return !view.m_there.contains(each.first); });
    for (const auto& [where, side] : view.m_there) {
        remote& known = m_remotes[where];
        const bool is_fresh = now < side.m_measured_at + max_age;
        const bool was_in_trouble = known.m_in_trouble;
        if (side.m_path) {
            known.m_is_slow = *side.m_path > slow_path;
            known.m_path_measured_at = now;
        } else if (now >= known.m_path_measured_at + slow_path_memory) {
            known.m_is_slow = false;
        }
        known.m_in_trouble = side.m_is_silent || known.m_is_slow;
        if (known.m_in_trouble) {
            if (!was_in_trouble) {
                changes.push_back(
                    {.m_to = where, .m_rank = 0, .m_share = 0, .m_reason = spill_reason::path_trouble});
                known.m_next_trial = now + trial_interval;
                for (rank_state& state : known.m_ranks) {
                    state = {.m_reason = spill_reason::path_trouble};
                }
            }
            known.m_is_measured = true;
            continue;
        }
        const bool was_measured = known.m_is_measured && !was_in_trouble;
        known.m_is_measured = is_fresh && m_here_is_measured;
        if (known.m_is_measured && !was_measured) {
            known.m_next_trial = now + trial_interval;
            for (int rank = 1; rank <= spill_ranks; ++rank) {
                const double taken_over =
                    was_in_trouble || !m_here_is_busy ? 0.0 : placed_share(rank, where);
                known.m_ranks.at(index_of(rank)) = {.m_share = taken_over,
                                                    .m_reason = taken_over > 0 ? spill_reason::pays
                                                                               : spill_reason::stays};
            }
        }
    }
}

double data_centre_spill::placed_share(int rank, const data_centre& where) const {
    const auto& placed = m_placed.at(index_of(rank));
    double total = 0;
    for (const auto& [each, count] : placed) {
        total += count;
    }
    const auto found = placed.find(where);
    if (found == placed.end() || total <= 0) {
        return 0;
    }
    const double steps = std::floor(found->second / total / share_step);
    return std::min(steps * share_step, std::max(0.0, max_share - leaving_share(rank)));
}

double data_centre_spill::leaving_share(int rank) const {
    double sum = 0;
    for (const auto& [where, known] : m_remotes) {
        sum += known.m_is_measured && !known.m_in_trouble ? known.m_ranks.at(index_of(rank)).m_share : 0;
    }
    return sum;
}

void data_centre_spill::change_share(rank_state& state, int direction, double limit, bool is_pressing) {
    const bool turns = state.m_direction == -direction;
    state.m_step = turns ? std::max(min_share_step, state.m_step / 2)
                         : std::min(share_step, state.m_step * step_growth);
    state.m_direction = direction;
    const double changed =
        state.m_share + direction * std::min(state.m_step * (is_pressing ? pressing_factor : 1), limit);
    // A remainder below the smallest step is not worth another change.
    state.m_share = changed < min_share_step ? 0.0 : std::min(changed, max_share);
}

std::optional<spill_change> data_centre_spill::lower_one(const spill_view& view) {
    // Patient work returns first.
    for (int rank = spill_ranks; rank >= 1; --rank) {
        for (auto& [where, known] : m_remotes) {
            rank_state& state = known.m_ranks.at(index_of(rank));
            if (!known.m_is_measured || known.m_in_trouble || state.m_share <= 0) {
                continue;
            }
            const auto gained = advantage(rank, view, view.m_there.at(where));
            if (gained && *gained > return_margin) {
                continue;
            }
            change_share(state, -1, share_step, false);
            state.m_reason = spill_reason::stays;
            return spill_change{
                .m_to = where, .m_rank = rank, .m_share = state.m_share, .m_reason = state.m_reason};
        }
    }
    return std::nullopt;
}

std::optional<spill_change> data_centre_spill::raise_one(const spill_view& view) {
    for (int rank = 1; rank <= spill_ranks; ++rank) {
        const std::size_t index = index_of(rank);
        const auto time_here = answer_time(*view.m_here, index);
        if (!time_here) {
            continue;
        }
        const microseconds margin = std::max(min_margin, *time_here / margin_divisor);
        const double free_share = max_share - leaving_share(rank);
        std::vector<std::pair<microseconds, data_centre>> gains;
        for (auto& [where, known] : m_remotes) {
            if (!known.m_is_measured || known.m_in_trouble) {
                continue;
            }
            const spill_side& there = view.m_there.at(where);
            const microseconds gained = advantage(rank, view, there).value_or(microseconds{0});
            if (gained > margin && there.m_room <= min_room) {
                known.m_ranks.at(index).m_reason = spill_reason::no_room;
            } else if (gained > margin) {
                gains.emplace_back(gained, where);
            }
        }
        if (gains.empty() || free_share < min_share_step) {
            continue;
        }
        // Data centres that differ by less than the noise are equally good. Each instance takes another
        // one of them, so that not all move to the same.
        const microseconds most = std::max_element(gains.begin(), gains.end())->first;
        std::erase_if(gains, [&](const auto& each) { return each.first + margin < most; });
        const data_centre best =
            gains.at(static_cast<std::size_t>(m_options.m_phase.count()) % gains.size()).second;
        rank_state& state = m_remotes.at(best).m_ranks.at(index);
        const double room = view.m_there.at(best).m_room;
        const bool is_pressing = *time_here * 2 >= view.m_demands.at(index).m_target;
        change_share(state, 1, std::min(free_share, room / 2), is_pressing);
        state.m_reason = spill_reason::pays;
        return spill_change{.m_to = best,
                            .m_rank = rank,
                            .m_share = state.m_share,
                            .m_reason = state.m_reason,
                            .m_is_pressing = is_pressing};
    }
    return std::nullopt;
}

spill_route data_centre_spill::route(int rank, std::uint64_t number, steady_time now) {
    spill_route found;
    if (!is_enabled()) {
        return found;
    }
    const std::size_t index = index_of(rank);
    const double position = std::fmod(static_cast<double>(number % 1000003) * golden_ratio, 1.0);
    double passed = 0;
    bool all_measured = true;
    for (auto& [where, known] : m_remotes) {
        const bool may_try = rank > 1 && (known.m_in_trouble || m_here_is_busy);
        if (may_try && known.m_is_measured && now >= known.m_next_trial) {
            known.m_next_trial = now + trial_interval;
            if (known.m_in_trouble || known.m_ranks.at(index).m_share <= 0) {
                return {.m_only = where, .m_is_trial = true};
            }
        }
        if (known.m_in_trouble) {
            found.m_excluded.push_back(where);
            continue;
        }
        if (!known.m_is_measured || !m_here_is_measured) {
            all_measured = false;
            continue;
        }
        passed += known.m_ranks.at(index).m_share;
        if (position < passed) {
            return {.m_only = where};
        }
        found.m_excluded.push_back(where);
    }
    if (m_here_is_measured && all_measured && !m_remotes.empty()) {
        return {.m_only = m_here};
    }
    return found;
}

void data_centre_spill::record_placed(int rank, const data_centre& where) {
    if (is_enabled()) {
        m_placed.at(index_of(rank))[where] += 1;
    }
}

std::optional<spill_change> data_centre_spill::share(int rank, const data_centre& where) const {
    const auto found = m_remotes.find(where);
    if (found == m_remotes.end() || !found->second.m_is_measured) {
        return std::nullopt;
    }
    const rank_state& state = found->second.m_ranks.at(index_of(rank));
    return spill_change{
        .m_to = where, .m_rank = rank, .m_share = state.m_share, .m_reason = state.m_reason};
}

}
