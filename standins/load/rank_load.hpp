/// \file rank_load.hpp
/// Open-loop load of three ranks: orders (inserts), lookups (session reads) and
/// reports (longer reads). Requests arrive at a set rate, whether or not earlier ones
/// were served. Latency counts from the arrival; a request that could not be sent by
/// its deadline counts as refused.
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
    std::array<double, 3> m_rates{}; ///< Arrivals per second of ranks 1 to 3.
    int m_connections{64};           ///< Per rank.
    std::chrono::milliseconds m_duration{4000};
    std::chrono::milliseconds m_deadline{1000};
    bool m_ranked{true}; ///< Send each request's rank; false: all in one rank, as in a plain queue.
    std::uint32_t m_seed{1};
};

/// Returns {"ranks":[{"rank":..,"offered":..,"served":..,"served_share":..,
/// "p50_ms":..,"p99_ms":..,"refused":..,"errors":..}],"not_run_but_ran":..}.
[[nodiscard]] nlohmann::json run_rank_load(const rank_load_options& options);

}
