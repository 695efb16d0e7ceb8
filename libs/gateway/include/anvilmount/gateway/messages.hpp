/// \file messages.hpp
/// Statements of callers and answers of upstreams, independent of any wire format.
/// Protocol adapters convert their messages to and from these types; sessions,
/// groups and pools work on nothing else.
#pragma once

#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/result_code.hpp"
#include "anvilmount/base/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount::gateway {

enum class statement_kind {
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    malformed, ///< The line is not a statement of the protocol.
};

/// What the check of the caller's key against the newest configuration known here found.
enum class statement_permit {
    granted,
    unauthenticated, ///< The key belongs to no client account.
    unconfirmed,     ///< Whether the configuration known here is the newest was not proved lately.
    account_changed, ///< The key, or the database, belongs to another account than the session.
};

/// One statement that a caller sends.
struct statement {
    std::string m_id{}; ///< Chosen by the caller, forwarded to the upstream, and logged.
    statement_kind m_kind{statement_kind::malformed};
    std::string m_text{};     ///< Text as the caller sent it; forwarded unchanged.
    std::string m_name{};     ///< Session value or prepared statement that the statement refers to.
    std::string m_argument{}; ///< Value to set, template to prepare, or arguments to execute with.
    bool m_writes{false};     ///< For kinds write and prepare.
    /// Found where the statement arrived from the caller.
    statement_permit m_permit{statement_permit::granted};
};

/// Transaction state of a session after a statement.
enum class session_state { idle, in_transaction, failed };

/// The complete answer to one statement.
struct answer {
    std::vector<std::string> m_rows{};
    /// Set on success only: the upstream's evidence that it ran the statement.
    std::optional<std::string> m_proof{};
    result_code m_code{result_code::internal};
    std::string m_reason{};
    session_state m_state{session_state::idle};
    std::optional<log_position> m_position{}; ///< End of the answering upstream's log.

    [[nodiscard]] bool succeeded() const { return m_proof.has_value(); }
};

/// Session values by name. An upstream connection must have the same values set
/// before it runs a statement of the session.
using session_values = std::map<std::string, std::string>;

/// An upstream's report of its own state.
struct upstream_status {
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_received_position{};
    std::uint64_t m_promised_term{0}; ///< The upstream accepts no writes of terms below this.
    milliseconds m_lag{0};
};

}
