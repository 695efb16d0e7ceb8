/// \file session_end.hpp
/// Why a session ends, as logs and counters name it.
#pragma once

#include <string_view>

namespace anvilmount::gateway {

enum class session_end {
    caller_closed,                ///< The caller has ended it.
    caller_unreachable,           ///< The caller's connection failed.
    refused,                      ///< An error told the caller why it is not served; its line has the code.
    limit_exceeded,               ///< The connection exceeded a limit of callers.
    instance_leaving,             ///< This instance leaves.
    grace_period_over,            ///< This instance leaves, and the time for open work is over.
    misplaced,                    ///< Another instance serves the group or the account better now.
    configuration_behind,         ///< The instance that forwards the session has a newer configuration.
    permit_withdrawn,             ///< The key is unknown, or belongs to another account now.
    too_many_outstanding,         ///< The caller sent too many statements ahead.
    serving_instance_ended,       ///< The instance that served the forwarded session announced its end.
    serving_instance_closed,      ///< That instance closed the connection without an announcement.
    serving_instance_unreachable, ///< The connection to that instance failed.
};

/// Returns the stable name of `cause`; it is part of a counter's name.
[[nodiscard]] std::string_view name_of(session_end cause);

}
