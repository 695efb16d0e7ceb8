/// \file primary_outage.hpp
/// How long a group that has no usable primary is likely to stay so. Work that
/// needs the primary waits when it will probably be back before the work's
/// deadline, and is refused at once when not.
#pragma once

#include "anvilmount/base/time.hpp"

#include <optional>

namespace anvilmount {

struct outage_expectation {
    milliseconds m_startup{300};   ///< From an instance's start until it may use the primary.
    milliseconds m_failover{1800}; ///< Noticing a dead primary, agreeing, and the promotion itself.
};

class primary_outage {
public:
    explicit primary_outage(const outage_expectation& expectation) : m_expectation(expectation) {}

    void record_usable(bool usable, steady_time now);

    /// Returns how much longer the gap will probably last; nothing when there is none.
    /// A gap that has outlasted the usual is expected to last half as long again.
    [[nodiscard]] std::optional<milliseconds> expected_remaining(steady_time now) const;

    /// Returns how long the gap has lasted; zero when there is none.
    [[nodiscard]] milliseconds elapsed(steady_time now) const;

private:
    outage_expectation m_expectation;
    std::optional<steady_time> m_started_at; ///< Unset: the primary is usable.
    bool m_was_usable{false};                ///< At some time before.
};

}
