/// \file gap_load.hpp
/// Writers that never stop, to see what a fault costs: each insert is written
/// down with what the proxy said of it, and afterwards the table tells what
/// really became of it.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace standin {

struct gap_load_options {
    std::vector<std::string> m_caller_addresses;
    std::string m_group;
    int m_connections{6};
    std::chrono::milliseconds m_duration{5000};
    std::chrono::milliseconds m_settle_timeout{
        10000};                ///< Longest wait for the table to be readable afterwards.
    bool m_request_ids{false}; ///< Every second writer gives each insert an id and repeats unknown ones.
    std::uint32_t m_seed{1};
};

/// Returns {"acked":..,"not_run":..,"unknown":..,"gap_ms":..,"acked_lost":..,
/// "not_run_but_ran":..,"doubled":..,"unknown_ran":..,"table_read":true}. The gap
/// is the longest time between two acknowledgements.
[[nodiscard]] nlohmann::json run_gap_load(const gap_load_options& options);

}
