/// \file latency_load.cpp
/// Runs one thread per connection and merges their measurements.
#include "load/latency_load.hpp"

#include "load/pg_session.hpp"

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

namespace standin {
namespace {

using clock = std::chrono::steady_clock;

struct measurement {
    std::vector<double> m_times_us;
    int m_errors{0};
};

void measure(const latency_load_options& options, measurement& result) {
    constexpr int warm_up = 50;
    pg_session session(options.m_address, options.m_group);
    for (int count = 0; count < warm_up; ++count) {
        session.run(options.m_statement);
    }
    for (int count = 0; count < options.m_statements; ++count) {
        const auto start = clock::now();
        result.m_errors += session.run(options.m_statement).m_good ? 0 : 1;
        result.m_times_us.push_back(
            std::chrono::duration<double, std::micro>(clock::now() - start).count());
    }
}

double quantile(const std::vector<double>& sorted, double share) {
    return sorted[std::min(sorted.size() - 1,
                           static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

}

nlohmann::json run_latency_load(const latency_load_options& options) {
    std::vector<measurement> parts(static_cast<std::size_t>(options.m_connections));
    std::vector<std::thread> threads;
    const auto start = clock::now();
    for (measurement& part : parts) {
        threads.emplace_back([&options, &part] { measure(options, part); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    const std::chrono::duration<double> seconds = clock::now() - start;
    std::vector<double> all;
    int errors = 0;
    for (const measurement& part : parts) {
        all.insert(all.end(), part.m_times_us.begin(), part.m_times_us.end());
        errors += part.m_errors;
    }
    std::sort(all.begin(), all.end());
    return {{"p50_us", quantile(all, 0.5)},
            {"p99_us", quantile(all, 0.99)},
            {"statements_per_s", static_cast<double>(all.size()) / seconds.count()},
            {"errors", errors}};
}

}
