/// \file retry.cpp
/// Implements the retry rules with jittered exponential backoff.
#include "anvilmount/decisions/retry.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

constexpr microseconds initial_backoff{2000};
constexpr microseconds max_backoff{100000};
constexpr int max_doublings = 6;

/// Failures after which another upstream or instance can serve the request: the
/// first retry follows without backoff.
bool can_be_served_elsewhere(result_code code) {
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
    const bool repeatable = traits.m_outcome == outcome::unknown && failed.m_idempotent;
    // A full queue is full for every caller, so a retry is left to the caller.
    const bool overloaded =
        failed.m_code == result_code::queue_full || failed.m_code == result_code::deadline_exceeded;
    if (overloaded || (!not_run && !repeatable)) {
        return std::nullopt;
    }
    if (failed.m_attempts == 1 && can_be_served_elsewhere(failed.m_code)) {
        return now < failed.m_deadline ? std::optional<microseconds>{0} : std::nullopt;
    }
    const microseconds backoff =
        std::min(max_backoff, initial_backoff * (1 << std::min(failed.m_attempts - 1, max_doublings)));
    const microseconds delay = backoff / 2 + microseconds{random % (backoff.count() / 2 + 1)};
    return now + delay < failed.m_deadline ? std::optional<microseconds>{delay} : std::nullopt;
}

}
