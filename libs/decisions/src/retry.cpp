/// \file retry.cpp
#include "anvilmount/decisions/retry.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

constexpr microseconds first_pause{2000};
constexpr microseconds longest_pause{100000};
constexpr int most_doublings = 6;

/// A refusal that names someone else to ask needs no pause the first time.
bool asks_elsewhere(result_code code) {
    return code == result_code::not_primary || code == result_code::no_fresh_upstream ||
           code == result_code::no_live_home || code == result_code::instance_leaving;
}

}

std::optional<microseconds> retry_delay(const failed_attempt& failed, steady_time now,
                                        std::uint32_t random) {
    if (failed.m_in_transaction || failed.m_reply_started) {
        return std::nullopt;
    }
    const result_traits& traits = traits_of(failed.m_code);
    const bool not_run = traits.m_outcome == outcome::not_run && traits.m_retryable;
    const bool harmless = traits.m_outcome == outcome::unknown && failed.m_idempotent;
    // A queue that is full stays full for others too; the caller decides.
    const bool overloaded =
        failed.m_code == result_code::queue_full || failed.m_code == result_code::deadline_exceeded;
    if (overloaded || (!not_run && !harmless)) {
        return std::nullopt;
    }
    if (failed.m_attempts == 1 && asks_elsewhere(failed.m_code)) {
        return now < failed.m_deadline ? std::optional<microseconds>{0} : std::nullopt;
    }
    const microseconds pause =
        std::min(longest_pause, first_pause * (1 << std::min(failed.m_attempts - 1, most_doublings)));
    const microseconds spread = pause / 2 + microseconds{random % (pause.count() / 2 + 1)};
    return now + spread < failed.m_deadline ? std::optional<microseconds>{spread} : std::nullopt;
}

}
