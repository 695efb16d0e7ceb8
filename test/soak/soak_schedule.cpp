/// \file soak_schedule.cpp
/// Fault kinds with their weights and maximum durations, and the weighted draw.
#include "soak/soak_schedule.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <random>

namespace test {
namespace {

using anvilmount::milliseconds;

enum class target_kind { gateway, upstream, store, fleet };

struct fault_kind {
    soak_fault m_fault{};
    const char* m_name{};
    target_kind m_target_kind{};
    int m_weight{1};
    milliseconds m_max_active_time{0};
};

constexpr std::array kinds{
    fault_kind{soak_fault::kill, "kill", target_kind::gateway, 4, milliseconds{1500}},
    fault_kind{soak_fault::kill_all, "kill_all", target_kind::fleet, 1, milliseconds{800}},
    fault_kind{soak_fault::pause, "pause", target_kind::gateway, 4, milliseconds{13000}},
    fault_kind{soak_fault::stop, "stop", target_kind::gateway, 5, milliseconds{100}},
    fault_kind{soak_fault::reload, "reload", target_kind::gateway, 1, milliseconds{100}},
    fault_kind{soak_fault::store_refuses, "store_refuses", target_kind::store, 2, milliseconds{6000}},
    fault_kind{soak_fault::store_silent, "store_silent", target_kind::store, 2, milliseconds{6000}},
    fault_kind{soak_fault::store_slow, "store_slow", target_kind::store, 2, milliseconds{6000}},
    fault_kind{soak_fault::store_loses, "store_loses", target_kind::store, 2, milliseconds{6000}},
    fault_kind{soak_fault::store_forgets, "store_forgets", target_kind::store, 1, milliseconds{100}},
    fault_kind{soak_fault::store_path_cut, "store_path_cut", target_kind::gateway, 3, milliseconds{9000}},
    fault_kind{soak_fault::store_path_mute, "store_path_mute", target_kind::gateway, 3, milliseconds{9000}},
    fault_kind{soak_fault::upstream_down, "upstream_down", target_kind::upstream, 5, milliseconds{9000}},
    fault_kind{soak_fault::upstream_silent, "upstream_silent", target_kind::upstream, 3,
               milliseconds{9000}},
    fault_kind{soak_fault::upstream_mute, "upstream_mute", target_kind::upstream, 3, milliseconds{9000}},
    fault_kind{soak_fault::upstream_delayed, "upstream_delayed", target_kind::upstream, 2,
               milliseconds{6000}},
    fault_kind{soak_fault::upstream_reset, "upstream_reset", target_kind::upstream, 2, milliseconds{100}},
    fault_kind{soak_fault::upstream_slow, "upstream_slow", target_kind::upstream, 2, milliseconds{6000}},
    fault_kind{soak_fault::answers_lost, "answers_lost", target_kind::upstream, 2, milliseconds{6000}},
    fault_kind{soak_fault::replica_lags, "replica_lags", target_kind::upstream, 2, milliseconds{8000}},
    fault_kind{soak_fault::configuration, "configuration", target_kind::fleet, 2, milliseconds{100}},
};

/// Drawn apart from the others, so that schedules of earlier seeds keep their other faults.
constexpr fault_kind restore_kind{soak_fault::store_restored, "store_restored", target_kind::store, 0,
                                  milliseconds{2500}};
constexpr std::uint32_t restore_seed_salt = 0x5e0e;
constexpr milliseconds max_restore_interval{12000};

/// What may make a lease outlive a change of primary, drawn apart for the same reason.
constexpr std::array lease_kinds{
    fault_kind{soak_fault::instance_refused, "instance_refused", target_kind::gateway, 0,
               milliseconds{5500}},
    fault_kind{soak_fault::instance_silent, "instance_silent", target_kind::gateway, 0, milliseconds{5500}},
    fault_kind{soak_fault::primary_drains, "primary_drains", target_kind::gateway, 0, milliseconds{8000}},
    fault_kind{soak_fault::primary_refuses, "primary_refuses", target_kind::gateway, 0, milliseconds{4500}},
    fault_kind{soak_fault::store_late, "store_late", target_kind::store, 0, milliseconds{8000}},
    fault_kind{soak_fault::confirmed_pause, "confirmed_pause", target_kind::fleet, 0, milliseconds{9000}},
    fault_kind{soak_fault::stop, "stop", target_kind::gateway, 0, milliseconds{100}},
};
constexpr std::uint32_t lease_seed_salt = 0x1ea5e;
constexpr milliseconds first_lease_fault{1500};
constexpr milliseconds lease_fault_interval{12000};
constexpr milliseconds max_lease_fault_delay{4000};
constexpr milliseconds drain_after_refusal{100};
constexpr milliseconds refusal_after_silence{500};

/// Gateways that are stopped in turn while the store is late, and the pauses between these and what
/// follows.
constexpr std::uint32_t turn_seed_salt = 0x7u;
constexpr int max_turns = 6;
constexpr milliseconds first_turn{4000};
constexpr milliseconds turn_gap{1500};
constexpr milliseconds pause_after_turns{3000};
constexpr milliseconds turn_interval{15000};

/// Planned work, drawn apart: the configuration changes in a series while gateways are stopped in turn,
/// some are told to read their settings again, and another one is killed.
constexpr fault_kind series_kind{soak_fault::configuration_series, "configuration_series",
                                 target_kind::fleet, 0, milliseconds{6000}};
constexpr std::uint32_t work_seed_salt = 0x90bcu;
constexpr milliseconds first_work{1000};
constexpr milliseconds work_interval{11000};
constexpr milliseconds first_stop_of_work{600};
constexpr milliseconds max_stop_gap{1600};
constexpr milliseconds reload_after_stop{50};
constexpr int max_stops_of_work = 5;
constexpr milliseconds kill_of_work{2500};

constexpr milliseconds min_active_time{100};
constexpr milliseconds max_interval{2200};

const fault_kind& lease_kind(soak_fault fault) {
    return *std::find_if(lease_kinds.begin(), lease_kinds.end(),
                         [&](const fault_kind& each) { return each.m_fault == fault; });
}

soak_event lease_event(soak_fault fault, milliseconds at, int target) {
    return {.m_at = at,
            .m_active_time = lease_kind(fault).m_max_active_time,
            .m_fault = fault,
            .m_target = target};
}

/// Gateways are stopped in turn while the store makes changes late; one of the new processes then loses the
/// store and the others, and a primary is replaced by plan. Or a coordinator is suspended as it is about to
/// order a promotion.
std::vector<soak_event> draw_turns(std::uint32_t seed, const soak_size& size) {
    std::mt19937 random(seed ^ turn_seed_salt);
    const auto below = [&](int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random); };
    std::vector<soak_event> events;
    for (milliseconds at = first_turn; at < size.m_duration; at += turn_interval) {
        const int gateway = below(size.m_gateways);
        if (below(2) == 0) {
            events.push_back(lease_event(soak_fault::confirmed_pause, at, 0));
            events.push_back(lease_event(soak_fault::primary_drains, at + drain_after_refusal, gateway));
            continue;
        }
        events.push_back(lease_event(soak_fault::store_late, at, 0));
        const int turns = std::min(size.m_gateways, max_turns);
        for (int turn = 0; turn < turns; ++turn) {
            events.push_back(lease_event(soak_fault::stop, at + turn_gap * turn, turn));
        }
        const milliseconds change_at = at + turn_gap * turns + pause_after_turns;
        events.push_back(lease_event(soak_fault::instance_silent, change_at, gateway));
        events.push_back(lease_event(soak_fault::primary_drains, change_at + drain_after_refusal, gateway));
    }
    return events;
}

/// One gateway loses the store and the other gateways while it holds a lease, and a primary that it still
/// reaches is replaced: by plan, or since it refuses the others.
std::vector<soak_event> draw_lease_faults(std::uint32_t seed, const soak_size& size) {
    std::mt19937 random(seed ^ lease_seed_salt);
    const auto below = [&](std::int64_t limit) {
        return std::uniform_int_distribution<std::int64_t>(0, limit - 1)(random);
    };
    std::vector<soak_event> events;
    const auto add = [&](soak_fault fault, milliseconds at, int target) {
        events.push_back(lease_event(fault, at, target));
    };
    for (milliseconds at = first_lease_fault; at < size.m_duration;
         at += lease_fault_interval + milliseconds{below(max_lease_fault_delay.count())}) {
        const int gateway = static_cast<int>(below(size.m_gateways));
        if (below(2) == 0) {
            add(soak_fault::instance_refused, at, gateway);
            add(soak_fault::primary_drains, at + drain_after_refusal, gateway);
        } else {
            add(soak_fault::instance_silent, at, gateway);
            add(soak_fault::primary_refuses, at + refusal_after_silence, gateway);
        }
    }
    return events;
}

std::vector<soak_event> draw_planned_work(std::uint32_t seed, const soak_size& size) {
    std::mt19937 random(seed ^ work_seed_salt);
    const auto below = [&](std::int64_t limit) {
        return std::uniform_int_distribution<std::int64_t>(0, limit - 1)(random);
    };
    std::vector<soak_event> events;
    for (milliseconds at = first_work; at < size.m_duration; at += work_interval) {
        events.push_back(
            {.m_at = at, .m_active_time = series_kind.m_max_active_time, .m_fault = series_kind.m_fault});
        const int first = static_cast<int>(below(size.m_gateways));
        const int stops = std::min(size.m_gateways - 1, max_stops_of_work);
        milliseconds stop_at = at + first_stop_of_work;
        for (int turn = 0; turn < stops; ++turn) {
            const int stopped = (first + turn) % size.m_gateways;
            events.push_back(lease_event(soak_fault::stop, stop_at, stopped));
            // The settings change at all machines in turn: here at one that leaves and at the next one.
            for (const int each : {stopped, (stopped + 1) % size.m_gateways}) {
                events.push_back({.m_at = stop_at + reload_after_stop,
                                  .m_active_time = min_active_time,
                                  .m_fault = soak_fault::reload,
                                  .m_target = each});
            }
            stop_at += min_active_time + milliseconds{below(max_stop_gap.count())};
        }
        const int killed = (first + stops) % size.m_gateways;
        events.push_back({.m_at = at + kill_of_work + milliseconds{below(max_stop_gap.count())},
                          .m_active_time = min_active_time + milliseconds{below(max_stop_gap.count())},
                          .m_fault = soak_fault::kill,
                          .m_target = killed});
    }
    return events;
}

/// Restores fall into the first half and later: at least one in a schedule of twelve seconds.
std::vector<soak_event> draw_restores(std::uint32_t seed, const soak_size& size) {
    std::mt19937 random(seed ^ restore_seed_salt);
    const auto up_to = [&](milliseconds limit) {
        return milliseconds{std::uniform_int_distribution<std::int64_t>(0, limit.count())(random)};
    };
    std::vector<soak_event> events;
    for (milliseconds at = size.m_duration / 4 + up_to(size.m_duration / 4); at < size.m_duration;
         at += min_active_time + up_to(max_restore_interval)) {
        events.push_back({.m_at = at,
                          .m_active_time = min_active_time + up_to(restore_kind.m_max_active_time),
                          .m_fault = restore_kind.m_fault});
        at += events.back().m_active_time;
    }
    return events;
}

}

std::string name_of(soak_fault fault) {
    for (const fault_kind& each : kinds) {
        if (each.m_fault == fault) {
            return each.m_name;
        }
    }
    return fault == restore_kind.m_fault  ? restore_kind.m_name
           : fault == series_kind.m_fault ? series_kind.m_name
                                          : lease_kind(fault).m_name;
}

std::vector<soak_event> draw_schedule(std::uint32_t seed, const soak_size& size) {
    std::mt19937 random(seed);
    const auto below = [&](std::int64_t limit) {
        return std::uniform_int_distribution<std::int64_t>(0, limit - 1)(random);
    };
    int weights = 0;
    for (const fault_kind& each : kinds) {
        weights += each.m_weight;
    }
    std::vector<soak_event> events;
    std::map<std::pair<target_kind, int>, milliseconds> busy_until;
    for (milliseconds at{500}; at < size.m_duration; at += milliseconds{below(max_interval.count())}) {
        auto remaining = below(weights);
        const fault_kind* kind = kinds.data();
        while (remaining >= kind->m_weight) {
            remaining -= kind->m_weight;
            ++kind;
        }
        const int targets = kind->m_target_kind == target_kind::gateway    ? size.m_gateways
                            : kind->m_target_kind == target_kind::upstream ? size.m_upstreams
                                                                           : 1;
        const int target = static_cast<int>(below(targets));
        const milliseconds active_time =
            min_active_time + milliseconds{below(kind->m_max_active_time.count())};
        milliseconds& busy = busy_until[{kind->m_target_kind, target}];
        if (at < busy) {
            continue;
        }
        busy = at + active_time;
        events.push_back(
            {.m_at = at, .m_active_time = active_time, .m_fault = kind->m_fault, .m_target = target});
    }
    for (const auto& drawn : {draw_restores(seed, size), draw_lease_faults(seed, size),
                              draw_turns(seed, size), draw_planned_work(seed, size)}) {
        events.insert(events.end(), drawn.begin(), drawn.end());
    }
    std::stable_sort(events.begin(), events.end(), [](const soak_event& left, const soak_event& right) {
        return left.m_at < right.m_at;
    });
    return events;
}

}
