/// \file soak_schedule.hpp
/// Random fault schedule of a soak, determined by its seed: the kind, start, duration
/// and target of each fault. Faults of different targets may overlap; a target has one
/// fault at a time.
#pragma once

#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace test {

enum class soak_fault {
    kill,             ///< A gateway is killed and restarted.
    kill_all,         ///< All gateways are killed at once and restarted.
    pause,            ///< A gateway is suspended (SIGSTOP).
    stop,             ///< A gateway is stopped with SIGTERM and restarted.
    reload,           ///< A gateway reloads its settings (SIGHUP).
    store_refuses,    ///< The store refuses every request.
    store_silent,     ///< The store answers no request.
    store_slow,       ///< The store takes 60 times as long to answer.
    store_loses,      ///< The store applies changes, but loses the answers to 30% of them.
    store_forgets,    ///< The store discards its change history.
    store_path_cut,   ///< The connections of a gateway to the store break.
    store_path_mute,  ///< Answers of the store to a gateway are dropped.
    upstream_down,    ///< An upstream crashes and restarts.
    upstream_silent,  ///< No data passes to or from an upstream.
    upstream_mute,    ///< An upstream receives requests, but its answers are dropped.
    upstream_delayed, ///< Data to and from an upstream is delayed by 150 ms.
    upstream_reset,   ///< The connections of an upstream break once.
    upstream_slow,    ///< Statements at an upstream take five times as long.
    answers_lost,     ///< 5% of the answers of an upstream are lost together with their connections.
    replica_lags,     ///< A replica applies its log two seconds late.
    configuration,    ///< The configuration changes three times.
    store_restored,   ///< The store is away and comes back from a copy that is some seconds old.
    instance_refused, ///< A gateway and the store, and the gateways among themselves, refuse each other.
    instance_silent,  ///< A gateway and the store, and the gateways among themselves, hear nothing.
    primary_drains,   ///< The primary of a group is to be replaced by plan.
    primary_refuses,  ///< The primary of a group refuses all gateways but one.
    store_late,       ///< The store applies 35% of the changes 1 to 6 s later, unanswered.
    confirmed_pause,  ///< The coordinator is suspended as its next order is confirmed.
    configuration_series, ///< Routes, connection limits and accounts change each 400 ms.
};

/// One fault of a schedule.
struct soak_event {
    anvilmount::milliseconds m_at{0}; ///< Since the start of traffic.
    anvilmount::milliseconds m_active_time{0};
    soak_fault m_fault{};
    /// Number of the gateway or upstream; 0 for the store and for the whole fleet. For a primary, the
    /// number of a gateway: the group is that number modulo the groups.
    int m_target{0};
};

/// The fleet and the duration that a schedule is drawn for.
struct soak_size {
    int m_gateways{0};
    int m_upstreams{0};
    anvilmount::milliseconds m_duration{0};
};

/// Returns the events ordered by start. Equal seeds and sizes give equal schedules.
[[nodiscard]] std::vector<soak_event> draw_schedule(std::uint32_t seed, const soak_size& size);

/// Returns the name under which a fault is printed.
[[nodiscard]] std::string name_of(soak_fault fault);

}
