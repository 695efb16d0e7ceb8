/// \file log_position.hpp
/// A position in the replicated log of a database group, compared to decide
/// whether an upstream has received a given write. The term counts changes of
/// primary; the offset counts log records over all terms. Positions of one
/// lineage are ordered by offset; the term identifies the history that the
/// offset belongs to.
#pragma once

#include "anvilmount/base/failure.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvilmount {

/// A position in the log of a database group.
struct log_position {
    std::uint64_t m_term{0};
    std::uint64_t m_offset{0}; ///< Number of records up to and including this position.

    auto operator<=>(const log_position&) const = default;
};

/// Returns "TERM:OFFSET", both decimal.
[[nodiscard]] std::string to_string(const log_position& position);

/// Parses the format that to_string() writes. Errors: bad_session_token (1207).
[[nodiscard]] result<log_position> parse_log_position(std::string_view text);

}
