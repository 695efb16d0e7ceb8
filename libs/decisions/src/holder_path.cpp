/// \file holder_path.cpp
/// Adds up the cost of both hops for each holder.
#include "anvilmount/decisions/holder_path.hpp"

#include <algorithm>
#include <optional>

namespace anvilmount {
namespace {

/// An ordinary path between two data centres, there and back.
constexpr double ordinary_path_ms = 1.0;

/// Costs that differ by less are equal: connect times vary by this much.
constexpr double tolerance_ms = 2.0;

/// Bytes of an answer. The instance that forwards a session does not read its answers.
constexpr double assumed_kilobytes = 1.0;

double hop(const data_centre& from, const data_centre& to, const holder_paths& paths) {
    if (from == to) {
        return 0;
    }
    const auto measured = from == paths.m_here ? paths.m_times.find(to) : paths.m_times.end();
    const double path = measured == paths.m_times.end()
                            ? ordinary_path_ms
                            : std::chrono::duration<double, std::milli>(measured->second).count();
    return path + paths.m_byte_price * assumed_kilobytes;
}

double cost(const data_centre& holder, const holder_paths& paths) {
    std::optional<double> second;
    for (const data_centre& upstream : paths.m_upstreams) {
        const double each = hop(holder, upstream, paths);
        second = second ? std::min(*second, each) : each;
    }
    return hop(paths.m_here, holder, paths) + second.value_or(0);
}

}

const holder_candidate& holder_by_path(std::span<const holder_candidate> holders, const holder_paths& paths,
                                       std::uint64_t number) {
    if (paths.m_byte_price <= 0) {
        return holder_for_session(holders, paths.m_here, number);
    }
    double least = cost(holders.front().m_data_centre, paths);
    for (const holder_candidate& each : holders) {
        least = std::min(least, cost(each.m_data_centre, paths));
    }
    std::vector<const holder_candidate*> equal;
    std::vector<const holder_candidate*> nearby;
    for (const holder_candidate& each : holders) {
        if (cost(each.m_data_centre, paths) > least + tolerance_ms) {
            continue;
        }
        equal.push_back(&each);
        if (each.m_data_centre == paths.m_here) {
            nearby.push_back(&each);
        }
    }
    const auto& chosen = nearby.empty() ? equal : nearby;
    return *chosen[number % chosen.size()];
}

}
