/// \file mixed_load.hpp
/// Many callers at once, each checking every answer against the request that
/// asked for it: echoes, own rows read after own writes, transactions and
/// prepared statements, now and then moving to another instance.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace standin {

struct mixed_load_options {
    std::vector<std::string> m_caller_addresses; ///< Addresses, IP:PORT.
    std::string m_group;
    int m_connections{100};
    int m_statements{100}; ///< Per connection.
    int m_roam_every{0};   ///< Statements between two moves; 0: never.
    std::uint32_t m_seed{1};
};

/// Returns {"statements":..,"errors":..,"mismatches":..,"roams":..,"seconds":..,
/// "statements_per_s":..,"first_error":".."}.
[[nodiscard]] nlohmann::json run_mixed_load(const mixed_load_options& options);

}
