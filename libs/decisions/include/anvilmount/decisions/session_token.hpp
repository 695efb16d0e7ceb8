/// \file session_token.hpp
/// The log position up to which a session has seen its group's data. The token
/// provides session consistency: callers receive it whenever it changes and may
/// present it to any instance, and a read is served only by an upstream that has
/// applied at least the token's position.
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
    /// Returns the position that the session has seen. While it is unset, only the
    /// primary may serve the session's reads.
    [[nodiscard]] const std::optional<log_position>& position() const { return m_position; }

    /// Advances the token to the position of an answer. Returns whether the token
    /// changed; an earlier position leaves it unchanged.
    bool advance(const log_position& seen);

    /// Adopts a token that a caller presented, unless the token's position is
    /// earlier than the known one. Errors: bad_session_token (1207).
    [[nodiscard]] result<void> adopt(std::string_view text, const group_name& group);

    /// Returns "GROUP/TERM:OFFSET", or an empty string while the position is unset.
    [[nodiscard]] std::string text(const group_name& group) const;

private:
    std::optional<log_position> m_position; ///< Never decreases.
};

}
