/// \file latency_load.hpp
/// Load that measures the latency and throughput of one statement, repeated on
/// several connections.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace standin {

struct latency_load_options {
    std::string m_address;
    std::string m_group;
    std::string m_statement{"SELECT 1"};
    int m_connections{1};
    int m_statements{5000}; ///< Per connection.
};

/// Returns {"p50_us":..,"p99_us":..,"statements_per_s":..,"errors":..}.
[[nodiscard]] nlohmann::json run_latency_load(const latency_load_options& options);

}
