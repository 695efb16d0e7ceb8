/// \file retry.hpp
/// Decides whether a failed request is retried or its failure reported to the
/// caller. A request is retried only when it provably did not run or is
/// idempotent, and never past its deadline. Retries back off exponentially.
#pragma once

#include "anvilmount/base/result_code.hpp"
#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <optional>

namespace anvilmount {

/// A request whose last attempt failed.
struct failed_attempt {
    result_code m_code{result_code::internal};
    int m_attempts{1};            ///< Attempts so far, including the failed one.
    bool m_idempotent{false};     ///< A read, or a request that is safe to run twice.
    bool m_in_transaction{false}; ///< Depends on earlier statements of its connection.
    bool m_reply_started{false};  ///< The caller has already received part of the reply.
    steady_time m_deadline{};
};

/// Returns how long to wait before the next attempt, or nothing when the failure
/// must be reported. `random` adds jitter, so that callers do not retry in step.
[[nodiscard]] std::optional<microseconds> retry_delay(const failed_attempt& failed, steady_time now,
                                                      std::uint32_t random);

}
