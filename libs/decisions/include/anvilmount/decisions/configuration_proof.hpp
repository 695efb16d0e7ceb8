/// \file configuration_proof.hpp
/// Proof that the configuration known to an instance was the newest. A heartbeat succeeds only if the
/// configuration known to its sender is the stored one, so a successful heartbeat proves this as of the
/// moment at which it was sent.
///
/// A statement that is checked at c, with a proof as of p, was sent before c. If its key was removed more
/// than the revocation limit before the statement was sent, the removal was stored before p as long as
/// c - p is below the limit, and is known here. So a statement is checked only while the proof is younger
/// than the limit. Ages count suspended time.
#pragma once

#include "anvilmount/base/time.hpp"

#include <algorithm>
#include <optional>

namespace anvilmount {

class configuration_proof {
public:
    /// `limit`: time after which a removed key must be refused everywhere; unset: no such bound, and no
    /// proof is needed.
    explicit configuration_proof(std::optional<milliseconds> limit) : m_limit(limit) {}

    /// The configuration known here was still the stored one after `sent_at`. Heartbeats may be answered
    /// out of order; an earlier one changes nothing.
    void record(steady_time sent_at) {
        m_proved_at = m_proved_at ? std::max(*m_proved_at, sent_at) : sent_at;
    }

    /// Whether a key may be checked against the configuration known here.
    [[nodiscard]] bool holds(steady_time now) const {
        return !m_limit || (m_proved_at && now < *m_proved_at + *m_limit - margin());
    }

    /// Greatest interval of heartbeats, and greatest delay for sending one together with others. At a
    /// limit of 5 s these are 1.5 s and 0.5 s. A heartbeat whose answer is lost is given up at most 2.1 s
    /// after it was sent and repeated 0.4 s later, so the proof is renewed 4.2 s after the one before.
    [[nodiscard]] milliseconds limit_interval(milliseconds interval) const {
        return m_limit ? std::min(interval, *m_limit * 3 / 10) : interval;
    }
    [[nodiscard]] milliseconds limit_batch_delay(milliseconds delay) const {
        return m_limit ? std::min(delay, *m_limit / 10) : delay;
    }

private:
    static constexpr int margin_divisor = 20;

    /// The clocks of two machines drift.
    [[nodiscard]] milliseconds margin() const { return *m_limit / margin_divisor; }

    std::optional<milliseconds> m_limit;
    std::optional<steady_time> m_proved_at; ///< Unset: never proved.
};

}
