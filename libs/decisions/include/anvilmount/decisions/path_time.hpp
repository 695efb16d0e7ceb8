/// \file path_time.hpp
/// Measures the path to one data centre, and the answer times of the upstreams there, from the answers
/// that arrive anyway. A statement that makes an upstream do no work (BEGIN) takes the path's own time; the
/// shortest within a window is the estimate, since a busy processor at either end only adds to it. Answer
/// times of reads are kept by rank: reads of different ranks differ in their work, and a mean over them
/// would change with the ranks that are sent.
#pragma once

#include "anvilmount/base/time.hpp"

#include <array>
#include <optional>

namespace anvilmount {

/// Admission ranks 1 to 3.
constexpr int measured_ranks = 3;

/// Shortest of the samples of the last one to two window lengths.
class windowed_minimum {
public:
    void record(microseconds sample, steady_time now);
    [[nodiscard]] std::optional<microseconds> at(steady_time now) const;

private:
    static constexpr milliseconds window{5000};

    std::optional<microseconds> m_current;
    std::optional<microseconds> m_previous;
    steady_time m_began{}; ///< Start of the window of m_current.
};

/// See the file comment.
class path_time {
public:
    /// An older measurement says nothing about the present.
    static constexpr milliseconds max_age{5000};

    /// A statement was sent, or queued to be sent, to the data centre.
    void record_sent(steady_time now);
    /// A read of `rank` was answered, `elapsed` after it was sent.
    void record_read(int rank, microseconds elapsed, steady_time now);
    /// A statement without work was answered, `elapsed` after it was sent.
    void record_without_work(microseconds elapsed, steady_time now);
    /// A statement ended without an answer. `was_sent`: it reached the path, so its answer was lost.
    void record_unanswered(bool was_sent, steady_time now);

    /// Smoothed answer time of reads of `rank`; unset unless one was answered within max_age.
    [[nodiscard]] std::optional<microseconds> answer_time(int rank, steady_time now) const;
    /// Time of the path alone, there and back; unset: not measured within the window.
    [[nodiscard]] std::optional<microseconds> path(steady_time now) const { return m_path.at(now); }
    /// When the last read was answered.
    [[nodiscard]] std::optional<steady_time> measured_at() const { return m_measured_at; }
    /// Whether an answer was lost after the last one that arrived, or the statements in flight have been
    /// unanswered for too long. Cleared by the next answer.
    [[nodiscard]] bool is_silent(steady_time now) const;

private:
    /// Weight of the newest answer is 1/smoothing.
    static constexpr int smoothing = 8;
    /// As the pools' response timeout: several times the usual longest statement.
    static constexpr milliseconds silence_limit{600};

    struct rank_time {
        microseconds m_smoothed{0};
        steady_time m_measured_at{};
    };

    void record_answer(steady_time now);

    windowed_minimum m_path;
    std::array<std::optional<rank_time>, measured_ranks> m_reads;
    std::optional<steady_time> m_measured_at;
    int m_in_flight{0};
    steady_time m_silent_since{}; ///< Last answer, or the first statement in flight if that is later.
    bool m_lost_answer{false};    ///< Since the last answer.
};

}
