/// \file soak_schedule.cpp
#include "soak/soak_schedule.hpp"

#include <array>
#include <map>
#include <random>

namespace test {
namespace {

using anvilmount::milliseconds;

enum class strikes { gateway, upstream, store, fleet };

struct fault_kind {
    soak_fault m_fault{};
    const char* m_name{};
    strikes m_strikes{};
    int m_weight{1};
    milliseconds m_longest{0};
};

constexpr std::array kinds{
    fault_kind{soak_fault::kill, "kill", strikes::gateway, 4, milliseconds{1500}},
    fault_kind{soak_fault::kill_all, "kill_all", strikes::fleet, 1, milliseconds{800}},
    fault_kind{soak_fault::pause, "pause", strikes::gateway, 4, milliseconds{13000}},
    fault_kind{soak_fault::stop, "stop", strikes::gateway, 5, milliseconds{100}},
    fault_kind{soak_fault::reload, "reload", strikes::gateway, 1, milliseconds{100}},
    fault_kind{soak_fault::store_refuses, "store_refuses", strikes::store, 2, milliseconds{6000}},
    fault_kind{soak_fault::store_silent, "store_silent", strikes::store, 2, milliseconds{6000}},
    fault_kind{soak_fault::store_slow, "store_slow", strikes::store, 2, milliseconds{6000}},
    fault_kind{soak_fault::store_loses, "store_loses", strikes::store, 2, milliseconds{6000}},
    fault_kind{soak_fault::store_forgets, "store_forgets", strikes::store, 1, milliseconds{100}},
    fault_kind{soak_fault::store_path_cut, "store_path_cut", strikes::gateway, 3, milliseconds{9000}},
    fault_kind{soak_fault::store_path_mute, "store_path_mute", strikes::gateway, 3, milliseconds{9000}},
    fault_kind{soak_fault::upstream_down, "upstream_down", strikes::upstream, 5, milliseconds{9000}},
    fault_kind{soak_fault::upstream_silent, "upstream_silent", strikes::upstream, 3, milliseconds{9000}},
    fault_kind{soak_fault::upstream_mute, "upstream_mute", strikes::upstream, 3, milliseconds{9000}},
    fault_kind{soak_fault::upstream_delayed, "upstream_delayed", strikes::upstream, 2, milliseconds{6000}},
    fault_kind{soak_fault::upstream_reset, "upstream_reset", strikes::upstream, 2, milliseconds{100}},
    fault_kind{soak_fault::upstream_slow, "upstream_slow", strikes::upstream, 2, milliseconds{6000}},
    fault_kind{soak_fault::answers_lost, "answers_lost", strikes::upstream, 2, milliseconds{6000}},
    fault_kind{soak_fault::replica_lags, "replica_lags", strikes::upstream, 2, milliseconds{8000}},
    fault_kind{soak_fault::configuration, "configuration", strikes::fleet, 2, milliseconds{100}},
};

constexpr milliseconds shortest{100};
constexpr milliseconds longest_gap{2200};

}

std::string name_of(soak_fault fault) {
    for (const fault_kind& each : kinds) {
        if (each.m_fault == fault) {
            return each.m_name;
        }
    }
    return "unknown";
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
    std::map<std::pair<strikes, int>, milliseconds> busy_until;
    for (milliseconds at{500}; at < size.m_duration; at += milliseconds{below(longest_gap.count())}) {
        auto left = below(weights);
        const fault_kind* kind = kinds.data();
        while (left >= kind->m_weight) {
            left -= kind->m_weight;
            ++kind;
        }
        const int targets = kind->m_strikes == strikes::gateway    ? size.m_gateways
                            : kind->m_strikes == strikes::upstream ? size.m_upstreams
                                                                   : 1;
        const int target = static_cast<int>(below(targets));
        const milliseconds lasts = shortest + milliseconds{below(kind->m_longest.count())};
        milliseconds& busy = busy_until[{kind->m_strikes, target}];
        if (at < busy) {
            continue;
        }
        busy = at + lasts;
        events.push_back({.m_at = at, .m_lasts = lasts, .m_fault = kind->m_fault, .m_target = target});
    }
    return events;
}

}
