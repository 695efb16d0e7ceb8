/// \file upstream_choice.cpp
/// Estimates each candidate's answer time from its load, distance and role.
#include "anvilmount/decisions/upstream_choice.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

/// Used for an upstream whose answer time has not been measured yet.
constexpr microseconds assumed_answer_time{20000};

/// A round trip to another data centre of the region.
constexpr microseconds remote_penalty{2000};

/// A replica not known to hold the required position may refuse the read, which then needs a second
/// attempt.
constexpr microseconds unproven_penalty{10000};

/// A read at the primary delays work that no other upstream can do.
constexpr double primary_weight = 2.0;

double expected_time(const read_candidate& candidate, const read_constraints& constraints) {
    const microseconds answer_time =
        candidate.m_answer_time.count() > 0 ? candidate.m_answer_time : assumed_answer_time;
    // A loaded upstream serves its statements in rounds of m_max_in_flight.
    const double rounds =
        static_cast<double>(candidate.m_in_flight + 1) / std::max(1, candidate.m_max_in_flight);
    double expected = static_cast<double>(answer_time.count()) * std::max(1.0, rounds);
    expected += candidate.m_nearby ? 0.0 : static_cast<double>(remote_penalty.count());
    if (candidate.m_is_primary) {
        return expected * primary_weight * (1 + candidate.m_in_flight);
    }
    const bool proven = candidate.m_position && constraints.m_min_position &&
                        *candidate.m_position >= *constraints.m_min_position;
    return expected + (proven ? 0.0 : static_cast<double>(unproven_penalty.count()));
}

bool can_serve(const read_candidate& candidate, const read_constraints& constraints, steady_time now) {
    if (!candidate.m_usable) {
        return false;
    }
    return candidate.m_is_primary || (constraints.m_min_position && candidate.m_behind_until <= now);
}

}

std::optional<upstream_id> choose_for_read(std::span<const read_candidate> candidates,
                                           const read_constraints& constraints, steady_time now) {
    const read_candidate* best = nullptr;
    double best_time = 0;
    for (const read_candidate& each : candidates) {
        const bool failed = std::find(constraints.m_excluded.begin(), constraints.m_excluded.end(),
                                      each.m_id) != constraints.m_excluded.end();
        if (failed || !can_serve(each, constraints, now)) {
            continue;
        }
        const double time = expected_time(each, constraints);
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
