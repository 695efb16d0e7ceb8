/// \file local_answer.hpp
/// Answers requests that need no upstream: SET and SHOW of the proxy's own settings, and
/// empty statements.
#pragma once

#include "caller_batch.hpp"
#include "session_settings.hpp"

#include <string>

namespace anvilmount {

/// The reply to a batch.
struct local_answer {
    std::string m_bytes;
    bool m_skip_to_sync{false}; ///< The batch failed, and its Sync has not arrived yet.
};

/// Executes a batch for which caller_batch::is_answered_locally() is true. `status` is the
/// transaction status to report.
[[nodiscard]] local_answer answer_locally(const caller_batch& batch, session_settings& settings,
                                          char status);

}
