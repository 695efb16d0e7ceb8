/// \file answer_time.hpp
/// Estimates an upstream's answer time as an exponentially weighted moving
/// average. Without new answers an estimate above the typical answer time decays
/// to it: an upstream that was slow once would otherwise get no more statements,
/// and its recovery would never be measured.
#pragma once

#include "anvilmount/base/time.hpp"

#include <algorithm>

namespace anvilmount {

class answer_time_estimate {
public:
    /// Adds the answer time of one statement, measured at `now`.
    void record(microseconds answer_time, steady_time now) {
        const microseconds previous = at(now);
        const microseconds sample = std::min(answer_time, max_sample);
        m_estimate = previous.count() == 0 ? sample : previous + (sample - previous) / smoothing;
        m_recorded_at = now;
    }

    /// Returns the estimate at `now`; zero before the first record().
    [[nodiscard]] microseconds at(steady_time now) const {
        if (m_estimate <= typical_answer_time) {
            return m_estimate;
        }
        const auto halvings = std::min<std::int64_t>((now - m_recorded_at) / half_life, max_halvings);
        return std::max(typical_answer_time,
                        m_estimate / (std::int64_t{1} << std::max<std::int64_t>(0, halvings)));
    }

private:
    /// The newest answer has weight 1/smoothing.
    static constexpr int smoothing = 8;
    /// Longer answer times count as this, so that one stuck answer does not exclude an upstream.
    static constexpr microseconds max_sample{500000};
    /// Answer time of an ordinary statement in production fleets.
    static constexpr microseconds typical_answer_time{20000};
    /// Half-life of a high estimate: a busy upstream answers several statements in this time.
    static constexpr milliseconds half_life{250};
    /// Keeps the shift in at() below the width of its type.
    static constexpr std::int64_t max_halvings = 30;

    microseconds m_estimate{0};
    steady_time m_recorded_at{};
};

}
