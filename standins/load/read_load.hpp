/// \file read_load.hpp
/// Load that checks the consistency of reads. Sessions write occasionally, read often
/// and roam between instances, with or without their session token; their reads must
/// show their own writes. Other readers accept a bounded staleness; their reads must
/// show all writes that were acknowledged longer ago than the bound.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace standin {

struct read_load_options {
    std::vector<std::string> m_caller_addresses;
    std::string m_group;
    int m_connections{24};     ///< Two thirds are sessions, one third bounded-staleness readers.
    int m_roams{100};          ///< Reconnections of each session.
    int m_reads_per_stay{8};   ///< Reads per connection of a session or reader.
    bool m_carry_tokens{true}; ///< Sessions mostly present their token on reconnection; false: never.
    std::chrono::milliseconds m_max_staleness{1000};
    std::uint32_t m_seed{1};
};

/// Returns {"session_reads":..,"aged_reads":..,"ryw_violations":..,
/// "age_violations":..,"roamed_sessions":..,"errors":..,"replica_session":..,
/// "replica_aged":..}. aged_reads and age_violations are those of the bounded-staleness
/// readers; replica_session and replica_aged count the reads that a replica served.
[[nodiscard]] nlohmann::json run_read_load(const read_load_options& options);

}
