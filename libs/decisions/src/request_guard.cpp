/// \file request_guard.cpp
/// Records request ids in the table anvilmount_request of the upstream's database.
#include "anvilmount/decisions/request_guard.hpp"

#include <algorithm>
#include <cctype>

namespace anvilmount {
namespace {

// SQLSTATE codes.
constexpr std::string_view unique_violation = "23505";
constexpr std::string_view undefined_table = "42P01";
constexpr std::string_view read_only_transaction = "25006";
/// Reported when the INSERT waits too long for a running request with the same id.
constexpr std::string_view deadlock_detected = "40P01";

std::string quoted(std::string_view text) {
    std::string literal = "'";
    for (const char c : text) {
        literal += c;
        if (c == '\'') {
            literal += c;
        }
    }
    return literal + "'";
}

guard_step sql_step(std::string sql) {
    return {.m_action = guard_action::run_sql, .m_sql = std::move(sql)};
}

guard_step refusal(result_code code, std::string message) {
    return {.m_action = guard_action::refuse,
            .m_refusal = {.m_code = code, .m_message = std::move(message)}};
}

}

std::optional<failure> check_request_id(std::string_view id) {
    const bool printable =
        std::all_of(id.begin(), id.end(), [](unsigned char c) { return std::isprint(c) != 0; });
    if (id.empty() || id.size() > max_request_id_length || !printable) {
        return failure{.m_code = result_code::bad_session_setting,
                       .m_message = "anvilmount.request_id must be 1 to 200 printable characters"};
    }
    return std::nullopt;
}

guard_step request_guard::start() {
    return record();
}

guard_step request_guard::record() {
    m_stage = stage::recording;
    return sql_step("BEGIN; INSERT INTO anvilmount_request (id, statement, tag) VALUES (" +
                    quoted(m_request.m_id) + ", " + quoted(m_request.m_digest) + ", '')");
}

guard_step request_guard::roll_back(guard_step then) {
    m_stage = stage::rolling_back;
    m_after_rollback = std::move(then);
    return sql_step("ROLLBACK");
}

guard_step request_guard::on_answer(const guard_answer& answer) {
    switch (m_stage) {
    case stage::recording:
        return on_recorded(answer);
    case stage::creating_table:
        return answer.m_error.empty()
                   ? record()
                   : refusal(result_code::not_primary, "the table of request ids cannot be made here");
    case stage::reading_row:
        return on_row_read(answer);
    case stage::running:
        if (!answer.m_error.empty()) {
            return roll_back(
                answer.m_error == read_only_transaction
                    ? refusal(result_code::not_primary, "the upstream is not the primary any more")
                    : guard_step{.m_action = guard_action::send_error_reply});
        }
        m_stage = stage::committing;
        return sql_step("UPDATE anvilmount_request SET tag = " + quoted(answer.m_tag) +
                        " WHERE id = " + quoted(m_request.m_id) + "; COMMIT");
    case stage::committing:
        // After an error reply to COMMIT nothing is committed.
        return answer.m_error.empty()
                   ? guard_step{.m_action = guard_action::send_reply}
                   : roll_back(refusal(result_code::not_primary,
                                       "the upstream refused the commit: " + answer.m_error));
    case stage::rolling_back:
        break;
    }
    return m_after_rollback;
}

guard_step request_guard::on_recorded(const guard_answer& answer) {
    if (answer.m_error.empty()) {
        m_stage = stage::running;
        return {.m_action = guard_action::run_request};
    }
    if (answer.m_error == unique_violation) {
        m_stage = stage::reading_row;
        return sql_step("ROLLBACK; SELECT statement, tag FROM anvilmount_request WHERE id = " +
                        quoted(m_request.m_id));
    }
    if (answer.m_error == undefined_table) {
        m_stage = stage::creating_table;
        return sql_step(
            "ROLLBACK; CREATE TABLE IF NOT EXISTS anvilmount_request (id text primary key, statement text, "
            "tag text)");
    }
    if (answer.m_error == deadlock_detected) {
        return roll_back(refusal(result_code::request_in_progress, "the same request runs already"));
    }
    return roll_back(
        refusal(result_code::not_primary, "the upstream cannot record the request: " + answer.m_error));
}

guard_step request_guard::on_row_read(const guard_answer& answer) {
    if (!answer.m_error.empty()) {
        return refusal(result_code::not_primary, "the upstream cannot tell what became of the request");
    }
    if (!answer.m_digest) {
        return record(); // The row was trimmed between the INSERT and the SELECT.
    }
    if (*answer.m_digest != m_request.m_digest) {
        return refusal(result_code::request_id_reused,
                       "the request id belongs to another statement; give each request an id of its own");
    }
    return {.m_action = guard_action::replay_reply, .m_tag = answer.m_tag};
}

}
