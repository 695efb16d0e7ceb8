/// \file mixed_load.hpp
/// Load of many concurrent callers that check each answer against its request:
/// echoes, reads of their own writes, transactions and prepared statements. Callers
/// can roam, that is, reconnect to another instance at intervals.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace standin {

struct mixed_load_options {
    std::vector<std::string> m_caller_addresses; ///< IP:PORT of each instance.
    std::string m_group;
    int m_connections{100};
    int m_statements{100}; ///< Per connection.
    int m_roam_every{0};   ///< Statements between two reconnections; 0: never.
    std::uint32_t m_seed{1};
};

/// Returns {"statements":..,"errors":..,"mismatches":..,"roams":..,"seconds":..,
/// "statements_per_s":..,"first_error":".."}.
[[nodiscard]] nlohmann::json run_mixed_load(const mixed_load_options& options);

}
