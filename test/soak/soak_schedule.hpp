/// \file soak_schedule.hpp
/// Draws the faults of a soak from its seed: what comes when, how long it lasts
/// and what it strikes. Faults come in series and overlap, one at a time for
/// each target.
#pragma once

#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace test {

enum class soak_fault {
    kill,             ///< A gateway is killed and started again.
    kill_all,         ///< All gateways at once.
    pause,            ///< A gateway stands still.
    stop,             ///< A gateway is told to stop and started again.
    reload,           ///< A gateway reads its settings again.
    store_refuses,    ///< The store refuses everything.
    store_silent,     ///< The store answers nothing.
    store_slow,       ///< The store takes 60 times as long.
    store_loses,      ///< A third of the changes is made and not answered.
    store_forgets,    ///< The store forgets its history.
    store_path_cut,   ///< A gateway's connections to the store break.
    store_path_mute,  ///< A gateway hears nothing of the store.
    upstream_down,    ///< An upstream crashes and comes back.
    upstream_silent,  ///< Nothing passes to an upstream or back.
    upstream_mute,    ///< An upstream hears, its answers are thrown away.
    upstream_delayed, ///< Every byte takes longer.
    upstream_reset,   ///< An upstream's connections break once.
    upstream_slow,    ///< Statements take five times as long.
    answers_lost,     ///< A twentieth of the answers is lost with its connection.
    replica_lags,     ///< A replica applies two seconds late.
    configuration,    ///< The configuration changes three times.
};

struct soak_event {
    anvilmount::milliseconds m_at{0}; ///< From the start of traffic.
    anvilmount::milliseconds m_active_time{0};
    soak_fault m_fault{};
    int m_target{0}; ///< Gateway or upstream; 0 for the store and for all.
};

struct soak_size {
    int m_gateways{0};
    int m_upstreams{0};
    anvilmount::milliseconds m_duration{0};
};

/// Returns the events by their start; the same for the same seed and size.
[[nodiscard]] std::vector<soak_event> draw_schedule(std::uint32_t seed, const soak_size& size);

[[nodiscard]] std::string name_of(soak_fault fault);

}
