/// \file answer_time.hpp
/// How long an upstream lately took to answer. An estimate that nothing has
/// confirmed for a while loses its weight: an upstream that was slow once would
/// otherwise never be asked again, and never be found fast.
#pragma once

#include "anvilmount/base/time.hpp"

#include <algorithm>

namespace anvilmount {

class answer_time_estimate {
public:
    void record(microseconds took, steady_time now) {
        const microseconds before = at(now);
        const microseconds bounded = std::min(took, max_sample);
        m_estimate = before.count() == 0 ? bounded : before + (bounded - before) / smoothing;
        m_recorded_at = now;
    }

    /// Zero: nothing is known.
    [[nodiscard]] microseconds at(steady_time now) const {
        if (m_estimate <= typical_answer_time) {
            return m_estimate;
        }
        const auto halvings = std::min<std::int64_t>((now - m_recorded_at) / half_life, max_halvings);
        return std::max(typical_answer_time,
                        m_estimate / (std::int64_t{1} << std::max<std::int64_t>(0, halvings)));
    }

private:
    static constexpr int smoothing = 8;               ///< Weight of the newest answer: one in this many.
    static constexpr microseconds max_sample{500000}; ///< One stuck answer must not hide an upstream.
    static constexpr microseconds typical_answer_time{20000}; ///< A statement's work on the users' fleets.
    static constexpr milliseconds half_life{250};             ///< Several answers' time on a busy upstream.
    static constexpr std::int64_t max_halvings = 30;

    microseconds m_estimate{0};
    steady_time m_recorded_at{};
};

}
