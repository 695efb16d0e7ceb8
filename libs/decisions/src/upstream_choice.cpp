/// \file upstream_choice.cpp
#include "anvilmount/decisions/upstream_choice.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

/// Taken for an upstream that has not answered anything yet.
constexpr microseconds assumed_answer_time{20000};

/// A round trip to another data centre of the region.
constexpr microseconds distance_cost{2000};

/// A replica that is not known to hold the position may have to refuse, which costs a second try.
constexpr microseconds unproven_cost{10000};

/// A read at the primary delays work that has nowhere else to go.
constexpr double primary_weight = 2.0;

double expected_time(const read_candidate& candidate, const read_constraints& demand) {
    const microseconds answer_time =
        candidate.m_answer_time.count() > 0 ? candidate.m_answer_time : assumed_answer_time;
    const double waiting =
        static_cast<double>(candidate.m_in_flight + 1) / std::max(1, candidate.m_max_in_flight);
    double expected = static_cast<double>(answer_time.count()) * std::max(1.0, waiting);
    expected += candidate.m_nearby ? 0.0 : static_cast<double>(distance_cost.count());
    if (candidate.m_is_primary) {
        return expected * primary_weight * (1 + candidate.m_in_flight);
    }
    const bool proven =
        candidate.m_position && demand.m_min_position && *candidate.m_position >= *demand.m_min_position;
    return expected + (proven ? 0.0 : static_cast<double>(unproven_cost.count()));
}

bool may_serve(const read_candidate& candidate, const read_constraints& demand, steady_time now) {
    if (!candidate.m_usable) {
        return false;
    }
    return candidate.m_is_primary || (demand.m_min_position && candidate.m_behind_until <= now);
}

}

std::optional<upstream_id> choose_for_read(std::span<const read_candidate> candidates,
                                           const read_constraints& demand, steady_time now) {
    const read_candidate* best = nullptr;
    double best_time = 0;
    for (const read_candidate& each : candidates) {
        const bool failed = std::find(demand.m_excluded.begin(), demand.m_excluded.end(), each.m_id) !=
                            demand.m_excluded.end();
        if (failed || !may_serve(each, demand, now)) {
            continue;
        }
        const double time = expected_time(each, demand);
        if (best == nullptr || time < best_time) {
            best = &each;
            best_time = time;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->m_id;
}

}
