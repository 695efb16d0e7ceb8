/// \file primary_gap.hpp
/// How long a group that has no usable primary is likely to stay so. Work that
/// needs the primary waits when it will probably be back before the work's
/// deadline, and is refused at once when not.
#pragma once

#include "anvilmount/base/time.hpp"

#include <optional>

namespace anvilmount {

struct gap_expectation {
    milliseconds m_first{300};  ///< From an instance's start until it may use the primary.
    milliseconds m_usual{1800}; ///< Noticing a dead primary, agreeing, and the promotion itself.
};

class primary_gap {
public:
    explicit primary_gap(const gap_expectation& expectation) : m_expectation(expectation) {}

    void note_usable(bool usable, steady_time now);

    /// Returns how much longer the gap will probably last; nothing when there is none.
    /// A gap that has outlasted the usual is expected to last half as long again.
    [[nodiscard]] std::optional<milliseconds> remaining(steady_time now) const;

    /// Returns how long the gap has lasted; zero when there is none.
    [[nodiscard]] milliseconds lasted(steady_time now) const;

private:
    gap_expectation m_expectation;
    std::optional<steady_time> m_since; ///< Unset: the primary is usable.
    bool m_was_usable{false};           ///< At some time before.
};

}
