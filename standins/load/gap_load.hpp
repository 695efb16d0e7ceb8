/// \file gap_load.hpp
/// Load that measures what a fault costs writers. Connections insert without pause
/// and record the outcome that the proxy reports for each insert; the table is then
/// read to compare the reported outcomes with the stored rows.
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
    std::chrono::milliseconds m_settle_timeout{10000}; ///< How long to try to read the table.
    bool m_request_ids{false}; ///< Every second writer sends request ids and repeats its inserts.
    std::uint32_t m_seed{1};
};

/// Returns {"acked":..,"not_run":..,"unknown":..,"gap_ms":..,"acked_lost":..,
/// "not_run_but_ran":..,"doubled":..,"unknown_ran":..,"table_read":true}. gap_ms is
/// the longest time between two acknowledgements or after the last one.
[[nodiscard]] nlohmann::json run_gap_load(const gap_load_options& options);

}
