/// \file session_token.hpp
/// What a session has seen of its group's log. The token follows the session:
/// callers get it with each change and may bring it to any instance. A read is
/// only served by an upstream that has applied at least the token's position.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/log_position.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace anvilmount {

class session_token {
public:
    /// Returns what the session has seen; unset until something is known, and
    /// then only the primary may serve its reads.
    [[nodiscard]] const std::optional<log_position>& position() const { return m_position; }

    /// Raises the token to a position that an answer was given at. Returns
    /// whether it changed.
    bool advance(const log_position& seen);

    /// Takes over a token that a caller brought, unless it says less than is
    /// known already. Errors: bad_session_token (1207).
    [[nodiscard]] result<void> adopt(std::string_view text, const group_name& group);

    /// Returns "GROUP/TERM:OFFSET", or an empty text when nothing is known.
    [[nodiscard]] std::string text(const group_name& group) const;

private:
    std::optional<log_position> m_position; ///< Never falls.
};

}
