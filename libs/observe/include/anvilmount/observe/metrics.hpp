/// \file metrics.hpp
/// Counters and duration statistics of one shard. Not thread-safe: each shard has its own object, and
/// the state dump adds them up.
#pragma once

#include "anvilmount/base/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace anvilmount {

/// Running statistics of a duration: count, mean, maximum, and estimates of the median and the 99th
/// percentile. Memory use does not grow with the number of samples.
class timing {
public:
    timing();
    ~timing();
    timing(timing&&) noexcept;
    timing& operator=(timing&&) noexcept;
    timing(const timing&) = delete;
    timing& operator=(const timing&) = delete;

    void add(microseconds duration);

    /// Returns {"count":..,"mean_us":..,"p50_us":..,"p99_us":..,"max_us":..}.
    [[nodiscard]] nlohmann::json to_json() const;

private:
    struct accumulators;
    std::unique_ptr<accumulators> m_accumulators;
};

/// Named counters and timings. Each is created at its first use.
class metrics {
public:
    /// Adds `amount` to the counter `name`.
    void count(std::string_view name, std::uint64_t amount = 1);
    /// Adds a sample to the timing `name`.
    void record_duration(std::string_view name, microseconds duration);

    /// Returns {"counters":{..},"timings":{..}}.
    [[nodiscard]] nlohmann::json to_json() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, timing, std::less<>> m_timings;
};

}
