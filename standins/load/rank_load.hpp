/// \file rank_load.hpp
/// Work of three ranks that arrives at a set pace, whether or not it is served:
/// orders (inserts), lookups (session reads) and reports (longer reads). Each
/// arrival has a moment; its time counts from there, and what could not even be
/// sent by its deadline counts as not served.
#pragma once

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace standin {

struct rank_load_options {
    std::vector<std::string> m_caller_addresses;
    std::string m_group;
    std::array<double, 3> m_rates{}; ///< Arrivals a second, by rank from 1.
    int m_connections{64};           ///< For each rank.
    std::chrono::milliseconds m_duration{4000};
    std::chrono::milliseconds m_deadline{1000};
    bool m_ranked{true}; ///< False: all in one rank, as a queue without ranks serves them.
    std::uint32_t m_seed{1};
};

/// Returns {"ranks":[{"rank":..,"offered":..,"served":..,"served_share":..,
/// "p50_ms":..,"p99_ms":..,"refused":..,"errors":..}],"not_run_but_ran":..}.
[[nodiscard]] nlohmann::json run_rank_load(const rank_load_options& options);

}
