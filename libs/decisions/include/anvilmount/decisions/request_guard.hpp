/// \file request_guard.hpp
/// Makes a write that carries a request id (an idempotency key) take effect at
/// most once, however often it is sent. The guard inserts a row with the id in
/// the same transaction as the write, so the row is committed and replicated
/// exactly when the write is, and a new primary has both or neither. A repeated
/// request finds the row and gets the outcome of the first run.
///
/// The class is a state machine without I/O: its user runs each guard_step at
/// the upstream and passes the reply to on_answer().
#pragma once

#include "anvilmount/base/failure.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace anvilmount {

inline constexpr std::size_t max_request_id_length = 200; ///< Bytes.

/// A request id and a digest of the statements sent with it.
struct guarded_request {
    std::string m_id;
    std::string m_digest; ///< Detects an id that is reused for different statements.
};

/// What the user of request_guard must do next.
enum class guard_action {
    run_sql,          ///< Run m_sql; the caller does not see the reply.
    run_request,      ///< Run the caller's own messages.
    send_reply,       ///< Send the reply to the caller's messages; the write is committed.
    send_error_reply, ///< Send the error reply to the caller's messages; nothing was written.
    replay_reply,     ///< The request ran before; send a reply with m_tag.
    refuse,           ///< Report m_refusal to the caller.
};

/// The next action, with the fields that the action uses.
struct guard_step {
    guard_action m_action{guard_action::run_sql};
    std::string m_sql{};
    std::string m_tag{}; ///< Command tag of the first run.
    failure m_refusal{};
};

/// The upstream's reply to a step.
struct guard_answer {
    std::string m_error{};                 ///< SQLSTATE; empty when the step succeeded.
    std::optional<std::string> m_digest{}; ///< First column of the row that was read, if any.
    std::string m_tag{};                   ///< Command tag, or the second column of the row that was read.
};

class request_guard {
public:
    explicit request_guard(guarded_request request) : m_request(std::move(request)) {}

    /// Returns the first step.
    [[nodiscard]] guard_step start();
    /// Returns the step that follows the reply to the previous one.
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

/// Returns a failure when `id` is not a valid request id, otherwise nothing.
[[nodiscard]] std::optional<failure> check_request_id(std::string_view id);

}
