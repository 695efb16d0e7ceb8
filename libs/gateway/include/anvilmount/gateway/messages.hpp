/// \file messages.hpp
/// What callers ask and upstreams answer, free of any wire format. A protocol
/// adapter turns its messages into these types and back; everything between
/// the two ends works on them alone.
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
    malformed, ///< Not a statement of the protocol.
};

/// One statement of a caller.
struct statement {
    std::string m_id{}; ///< Chosen by the caller; travels with the statement.
    statement_kind m_kind{statement_kind::malformed};
    std::string m_text{};     ///< As the caller wrote it; forwarded unchanged.
    std::string m_name{};     ///< Session value or prepared statement that it names.
    std::string m_argument{}; ///< Value to set, shape to prepare, or arguments to execute with.
    bool m_writes{false};     ///< For write and prepare.
};

enum class session_state { idle, in_transaction, failed };

/// The whole answer to one statement.
struct answer {
    std::vector<std::string> m_rows{};
    std::optional<std::string> m_proof{}; ///< Set on success: evidence of the upstream that ran it.
    result_code m_code{result_code::internal};
    std::string m_reason{};
    session_state m_state{session_state::idle};
    std::optional<log_position> m_position{}; ///< End of the log of the upstream that answered.

    [[nodiscard]] bool succeeded() const { return m_proof.has_value(); }
};

/// The settings of a session that an upstream connection must share.
using session_values = std::map<std::string, std::string>;

/// What an upstream says of itself.
struct upstream_status {
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_received_position{};
    std::uint64_t m_promised_term{0}; ///< Writes of lower terms are no longer taken.
    milliseconds m_lag{0};
};

}
