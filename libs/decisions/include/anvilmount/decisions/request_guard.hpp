/// \file request_guard.hpp
/// Runs a write that has a request id so that it takes effect at most once,
/// however often it is sent. A row with the id is written in the same
/// transaction as the write: it becomes part of the group's history exactly
/// when the write does, and travels with it to the next primary. A repeat finds
/// the row and gets the first answer's outcome instead of running again.
#pragma once

#include "anvilmount/base/failure.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace anvilmount {

inline constexpr std::size_t max_request_id_length = 200;

/// Identifies a request and what it asks.
struct guarded_request {
    std::string m_id;
    std::string m_digest; ///< Differs for different statements, so that a reused id is noticed.
};

enum class guard_action {
    run_sql,          ///< Run m_sql; its answer is not the caller's.
    run_request,      ///< Run the caller's own messages.
    send_reply,       ///< The caller's own answer stands; the write is committed.
    send_error_reply, ///< The caller's own answer, an error, stands; nothing was written.
    replay_reply,     ///< The request ran before; answer with m_tag.
    refuse,           ///< Report m_refusal.
};

struct guard_step {
    guard_action m_action{guard_action::run_sql};
    std::string m_sql{};
    std::string m_tag{};
    failure m_refusal{};
};

/// What came back for a step.
struct guard_answer {
    std::string m_error{};                 ///< SQLSTATE, or empty.
    std::optional<std::string> m_digest{}; ///< First column of a row that was read.
    std::string m_tag{}; ///< Tag of the last command; second column of a row that was read.
};

class request_guard {
public:
    explicit request_guard(guarded_request request) : m_request(std::move(request)) {}

    [[nodiscard]] guard_step start();
    [[nodiscard]] guard_step on_answer(const guard_answer& answer);

    /// True while the caller's own messages run.
    [[nodiscard]] bool is_running_request() const { return m_stage == stage::running; }

private:
    enum class stage { recording, creating_table, reading_row, running, committing, rolling_back };

    [[nodiscard]] guard_step on_recorded(const guard_answer& answer);
    [[nodiscard]] guard_step on_row_read(const guard_answer& answer);
    [[nodiscard]] guard_step record();
    [[nodiscard]] guard_step roll_back(guard_step then);

    guarded_request m_request;
    stage m_stage{stage::recording};
    guard_step m_after_rollback;
};

/// Returns what is wrong with a request id, or nothing.
[[nodiscard]] std::optional<failure> check_request_id(std::string_view id);

}
