/// \file metrics.cpp
/// Implements timings with Boost.Accumulators; the P-square algorithm estimates the quantiles.
#include "anvilmount/observe/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace anvilmount {
namespace {

namespace acc = boost::accumulators;

using summary = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max>>;
using quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

}

struct timing::accumulators {
    summary m_summary;
    quantile m_median{acc::quantile_probability = 0.5};
    quantile m_p99{acc::quantile_probability = 0.99};
};

timing::timing() : m_accumulators(std::make_unique<accumulators>()) {}
timing::~timing() = default;
timing::timing(timing&&) noexcept = default;
timing& timing::operator=(timing&&) noexcept = default;

void timing::add(microseconds duration) {
    const auto value = static_cast<double>(duration.count());
    m_accumulators->m_summary(value);
    m_accumulators->m_median(value);
    m_accumulators->m_p99(value);
}

nlohmann::json timing::to_json() const {
    return {{"count", acc::count(m_accumulators->m_summary)},
            {"mean_us", acc::mean(m_accumulators->m_summary)},
            {"max_us", acc::max(m_accumulators->m_summary)},
            {"p50_us", acc::p_square_quantile(m_accumulators->m_median)},
            {"p99_us", acc::p_square_quantile(m_accumulators->m_p99)}};
}

void metrics::count(std::string_view name, std::uint64_t amount) {
    auto counter = m_counters.find(name);
    if (counter == m_counters.end()) {
        counter = m_counters.emplace(std::string(name), 0).first;
    }
    counter->second += amount;
}

void metrics::record_duration(std::string_view name, microseconds duration) {
    auto found = m_timings.find(name);
    if (found == m_timings.end()) {
        found = m_timings.emplace(std::string(name), timing{}).first;
    }
    found->second.add(duration);
}

nlohmann::json metrics::to_json() const {
    nlohmann::json timings = nlohmann::json::object();
    for (const auto& [name, each] : m_timings) {
        timings[name] = each.to_json();
    }
    return {{"counters", m_counters}, {"timings", timings}};
}

}
