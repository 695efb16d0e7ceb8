/// \file result_code.hpp
/// Numbered result codes that callers and operators see. Every refusal carries
/// one, so that a program can identify it without parsing the message. The code
/// also determines the SQLSTATE that the caller receives and whether the request
/// may have been executed. docs/RESULT-CODES.md documents the same table.
#pragma once

#include <optional>
#include <string_view>

namespace anvilmount {

/// Whether a request that was not answered normally may have been executed.
enum class outcome {
    not_run, ///< No byte of the request can have reached an upstream.
    unknown, ///< The request may have been executed; only the database knows.
    failed,  ///< The component that executed the request answered with an error.
};

/// Result codes by range: 10xx caller protocol, 11xx unsupported requests,
/// 12xx routing, 13xx execution, 14xx platform, 15xx operators and
/// configuration, 16xx settings.
enum class result_code : int {
    protocol_violation = 1001,
    message_too_large = 1002,
    unsupported_protocol_version = 1003,
    startup_timeout = 1004,
    unknown_group = 1005,
    cancel_key_unknown = 1006,
    too_many_callers = 1007,
    unauthenticated = 1008,
    caller_too_slow = 1009,
    memory_exhausted = 1010,

    copy_unsupported = 1101,
    replication_unsupported = 1102,
    session_state_unsupported = 1103,
    unknown_prepared_statement = 1104,
    function_call_unsupported = 1105,
    bad_session_setting = 1106,

    no_fresh_upstream = 1204,
    not_primary = 1205,
    no_primary_known = 1206,
    bad_session_token = 1207,
    no_live_home = 1208,
    token_beyond_history = 1209,

    upstream_unavailable = 1301,
    outcome_unknown = 1302,
    deadline_exceeded = 1303,
    queue_full = 1304,
    upstream_refused = 1305,
    transaction_lost = 1306,
    instance_leaving = 1307,
    upstream_protocol_violation = 1308,
    upstream_leaving = 1309,
    primary_replaced = 1310,
    cancelled = 1311,
    request_in_progress = 1312,
    request_id_reused = 1313,
    write_lost = 1314,
    statement_failed = 1315,
    statement_timed_out = 1316,
    account_unconfirmed = 1317,
    quota_exceeded = 1318,

    platform_unavailable = 1401,
    platform_conflict = 1402,
    platform_bad_answer = 1403,
    platform_not_found = 1404,

    bad_configuration = 1501,
    configuration_conflict = 1502,
    unknown_operation = 1503,
    configuration_missing = 1504,
    switch_failed = 1505,

    bad_setting = 1601,
    bad_address = 1602,
    listen_failed = 1603,
    internal = 1999,
};

/// Properties of a result code.
struct result_traits {
    std::string_view m_name;             ///< Stable lower-case name, as logged.
    std::string_view m_sqlstate;         ///< Five characters, sent to callers.
    outcome m_outcome{outcome::unknown}; ///< Whether the request may have been executed.
    bool m_retryable{false};             ///< A retry, later or on another instance, may succeed.
};

/// Returns the properties of `code`. Every enumerator has an entry.
[[nodiscard]] const result_traits& traits_of(result_code code);

/// Returns the code with this number, or nothing if this version does not know
/// it: an instance of a newer version may send codes added later.
[[nodiscard]] std::optional<result_code> result_code_from_number(int number);

/// Returns the number of `code`, under which docs/RESULT-CODES.md lists it.
[[nodiscard]] constexpr int number_of(result_code code) {
    return static_cast<int>(code);
}

}
