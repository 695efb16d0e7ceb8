/// \file result_code.cpp
/// The table that assigns each result code its name, SQLSTATE, outcome and retryability.
#include "anvilmount/base/result_code.hpp"

#include <array>
#include <cstdlib>

namespace anvilmount {
namespace {

struct table_row {
    result_code m_code{};
    result_traits m_traits{};
};

constexpr std::array table{
    table_row{result_code::protocol_violation, {"protocol_violation", "08P01", outcome::not_run, false}},
    table_row{result_code::message_too_large, {"message_too_large", "54000", outcome::not_run, false}},
    table_row{result_code::unsupported_protocol_version,
              {"unsupported_protocol_version", "0A000", outcome::not_run, false}},
    table_row{result_code::startup_timeout, {"startup_timeout", "08P01", outcome::not_run, true}},
    table_row{result_code::unknown_group, {"unknown_group", "3D000", outcome::not_run, false}},
    table_row{result_code::cancel_key_unknown, {"cancel_key_unknown", "08P01", outcome::not_run, false}},
    table_row{result_code::too_many_callers, {"too_many_callers", "53300", outcome::not_run, true}},
    table_row{result_code::unauthenticated, {"unauthenticated", "28000", outcome::not_run, false}},
    table_row{result_code::caller_too_slow, {"caller_too_slow", "57014", outcome::not_run, true}},
    table_row{result_code::memory_exhausted, {"memory_exhausted", "53200", outcome::not_run, true}},

    table_row{result_code::copy_unsupported, {"copy_unsupported", "0A000", outcome::not_run, false}},
    table_row{result_code::replication_unsupported,
              {"replication_unsupported", "0A000", outcome::not_run, false}},
    table_row{result_code::session_state_unsupported,
              {"session_state_unsupported", "0A000", outcome::not_run, false}},
    table_row{result_code::unknown_prepared_statement,
              {"unknown_prepared_statement", "26000", outcome::not_run, false}},
    table_row{result_code::function_call_unsupported,
              {"function_call_unsupported", "0A000", outcome::not_run, false}},
    table_row{result_code::bad_session_setting, {"bad_session_setting", "22023", outcome::not_run, false}},

    table_row{result_code::no_fresh_upstream, {"no_fresh_upstream", "57P03", outcome::not_run, true}},
    table_row{result_code::not_primary, {"not_primary", "57P03", outcome::not_run, true}},
    table_row{result_code::no_primary_known, {"no_primary_known", "57P03", outcome::not_run, true}},
    table_row{result_code::bad_session_token, {"bad_session_token", "22023", outcome::not_run, false}},
    table_row{result_code::no_live_home, {"no_live_home", "57P03", outcome::not_run, true}},
    table_row{result_code::token_beyond_history,
              {"token_beyond_history", "40003", outcome::not_run, false}},

    table_row{result_code::upstream_unavailable, {"upstream_unavailable", "57P03", outcome::not_run, true}},
    table_row{result_code::outcome_unknown, {"outcome_unknown", "08007", outcome::unknown, false}},
    table_row{result_code::deadline_exceeded, {"deadline_exceeded", "57P05", outcome::not_run, true}},
    table_row{result_code::queue_full, {"queue_full", "53000", outcome::not_run, true}},
    table_row{result_code::upstream_refused, {"upstream_refused", "53300", outcome::not_run, true}},
    table_row{result_code::transaction_lost, {"transaction_lost", "40001", outcome::failed, false}},
    table_row{result_code::instance_leaving, {"instance_leaving", "57P01", outcome::not_run, true}},
    table_row{result_code::upstream_protocol_violation,
              {"upstream_protocol_violation", "08P01", outcome::unknown, false}},
    table_row{result_code::upstream_leaving, {"upstream_leaving", "57P03", outcome::not_run, true}},
    table_row{result_code::primary_replaced, {"primary_replaced", "08007", outcome::unknown, false}},

    table_row{result_code::cancelled, {"cancelled", "57014", outcome::not_run, false}},
    table_row{result_code::request_in_progress, {"request_in_progress", "55P03", outcome::not_run, true}},
    table_row{result_code::request_id_reused, {"request_id_reused", "22023", outcome::not_run, false}},
    table_row{result_code::write_lost, {"write_lost", "40001", outcome::not_run, true}},
    table_row{result_code::statement_failed, {"statement_failed", "XX000", outcome::failed, false}},
    table_row{result_code::statement_timed_out, {"statement_timed_out", "57014", outcome::unknown, false}},

    table_row{result_code::account_unconfirmed, {"account_unconfirmed", "57P03", outcome::not_run, true}},
    table_row{result_code::quota_exceeded, {"quota_exceeded", "53400", outcome::not_run, true}},

    table_row{result_code::platform_unavailable, {"platform_unavailable", "57P03", outcome::unknown, true}},
    table_row{result_code::platform_conflict, {"platform_conflict", "40001", outcome::failed, false}},
    table_row{result_code::platform_bad_answer, {"platform_bad_answer", "58000", outcome::unknown, false}},
    table_row{result_code::platform_not_found, {"platform_not_found", "58000", outcome::failed, false}},

    table_row{result_code::bad_configuration, {"bad_configuration", "22023", outcome::not_run, false}},
    table_row{result_code::configuration_conflict,
              {"configuration_conflict", "40001", outcome::not_run, false}},
    table_row{result_code::unknown_operation, {"unknown_operation", "42601", outcome::not_run, false}},
    table_row{result_code::configuration_missing,
              {"configuration_missing", "57P03", outcome::not_run, true}},
    table_row{result_code::switch_failed, {"switch_failed", "55000", outcome::failed, true}},

    table_row{result_code::bad_setting, {"bad_setting", "22023", outcome::not_run, false}},
    table_row{result_code::bad_address, {"bad_address", "22023", outcome::not_run, false}},
    table_row{result_code::listen_failed, {"listen_failed", "58000", outcome::not_run, false}},
    table_row{result_code::internal, {"internal", "XX000", outcome::unknown, false}},
};

}

const result_traits& traits_of(result_code code) {
    for (const table_row& row : table) {
        if (row.m_code == code) {
            return row.m_traits;
        }
    }
    std::abort(); // Every enumerator must have a row in `table`.
}

std::optional<result_code> result_code_from_number(int number) {
    for (const table_row& row : table) {
        if (number_of(row.m_code) == number) {
            return row.m_code;
        }
    }
    return std::nullopt;
}

}
