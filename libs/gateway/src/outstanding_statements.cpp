/// \file outstanding_statements.cpp
/// Keeps of each statement only its id and kind.
#include "anvilmount/gateway/outstanding_statements.hpp"

namespace anvilmount::gateway {
namespace {

constexpr std::size_t max_logged_id = 64;

}

std::string logged_id(const std::string& id) {
    return id.substr(0, max_logged_id);
}

void outstanding_statements::add(const statement& received, steady_time now) {
    m_statements.push_back(
        {.m_id = logged_id(received.m_id), .m_kind = received.m_kind, .m_received_at = now});
}

result_code outstanding_statements::code_after_loss(bool in_transaction) const {
    bool may_be_kept = false;
    for (const outstanding_statement& each : m_statements) {
        // Whether an EXECUTE writes is known only where its statement was prepared.
        const bool may_write =
            each.m_kind == statement_kind::write || each.m_kind == statement_kind::execute;
        const bool ends_transaction =
            each.m_kind == statement_kind::commit || each.m_kind == statement_kind::rollback;
        may_be_kept =
            may_be_kept || each.m_kind == statement_kind::commit || (!in_transaction && may_write);
        in_transaction = (in_transaction || each.m_kind == statement_kind::begin) && !ends_transaction;
    }
    return may_be_kept ? result_code::outcome_unknown : result_code::transaction_lost;
}

void outstanding_statements::remove_oldest() {
    if (!m_statements.empty()) {
        m_statements.pop_front();
    }
}

}
