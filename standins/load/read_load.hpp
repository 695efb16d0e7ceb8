/// \file read_load.hpp
/// Sessions that write now and then, read much, and keep moving between
/// instances, with their token or without; and readers that accept data of a
/// stated age. Every read is checked: a session's against its own writes, one of
/// a stated age against the writes that were acknowledged longer ago than that.
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
    int m_connections{24}; ///< Two thirds are sessions, one third readers of a stated age.
    int m_roams{100};      ///< Moves of each session.
    int m_reads_per_stay{8};
    bool m_carry_tokens{true}; ///< False: a session that moves never brings its token.
    std::chrono::milliseconds m_max_staleness{1000};
    std::uint32_t m_seed{1};
};

/// Returns {"session_reads":..,"aged_reads":..,"ryw_violations":..,
/// "age_violations":..,"roamed_sessions":..,"errors":..,"replica_session":..,
/// "replica_aged":..}: the last two count reads that a replica served.
[[nodiscard]] nlohmann::json run_read_load(const read_load_options& options);

}
