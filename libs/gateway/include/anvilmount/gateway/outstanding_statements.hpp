/// \file outstanding_statements.hpp
/// The statements of a forwarded session that the serving instance has not answered, oldest first, and
/// what their caller is told when that instance is lost.
#pragma once

#include "anvilmount/gateway/messages.hpp"

#include <cstddef>
#include <deque>
#include <string>

namespace anvilmount::gateway {

/// A statement without an answer.
struct outstanding_statement {
    std::string m_id{}; ///< As logged_id() returns it.
    statement_kind m_kind{statement_kind::malformed};
    steady_time m_received_at{};
};

/// Returns `id` as it is logged: callers choose ids of any length.
[[nodiscard]] std::string logged_id(const std::string& id);

class outstanding_statements {
public:
    void add(const statement& received, steady_time now);

    /// The oldest statement was answered.
    void remove_oldest();

    [[nodiscard]] bool empty() const { return m_statements.empty(); }
    [[nodiscard]] std::size_t size() const { return m_statements.size(); }
    /// Requires that there is one.
    [[nodiscard]] const outstanding_statement& oldest() const { return m_statements.front(); }

    /// Returns what is true of all these statements when the session is lost: transaction_lost if nothing
    /// of them can be kept, as only a COMMIT, or a write outside a transaction, is; otherwise
    /// outcome_unknown. `in_transaction`: the session was in a transaction before the oldest.
    [[nodiscard]] result_code code_after_loss(bool in_transaction) const;

private:
    std::deque<outstanding_statement> m_statements;
};

}
