/// \file retry.hpp
/// Decides what becomes of a request that got no ordinary answer: tried again,
/// or reported. A request is only tried again when it provably did not run, or
/// when running it twice is harmless; never past its deadline.
#pragma once

#include "anvilmount/base/result_code.hpp"
#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <optional>

namespace anvilmount {

/// What is known of the request when it comes back without an answer.
struct failed_attempt {
    result_code m_code{result_code::internal};
    int m_attempts{1};            ///< Including the one that failed.
    bool m_idempotent{false};     ///< A read, or marked repeatable.
    bool m_in_transaction{false}; ///< Depends on what ran before it on the same connection.
    bool m_reply_started{false};  ///< The caller has part of an answer already.
    steady_time m_deadline{};
};

/// Returns how long to wait before the next try, or nothing when the failure
/// must be reported. `random` spreads the tries of many callers.
[[nodiscard]] std::optional<microseconds> retry_delay(const failed_attempt& failed, steady_time now,
                                                      std::uint32_t random);

}
