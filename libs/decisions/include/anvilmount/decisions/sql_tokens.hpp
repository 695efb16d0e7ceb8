/// \file sql_tokens.hpp
/// Splits SQL text into tokens, just far enough to tell reads from writes. The
/// proxy never needs to understand a statement, only to know when it cannot be
/// sure: a text that does not split cleanly is marked broken and is treated as
/// a write by whoever asks.
#pragma once

#include <string_view>
#include <vector>

namespace anvilmount {

enum class token_kind {
    word,              ///< Keyword or unquoted identifier.
    quoted_identifier, ///< Without its quotes.
    string_literal,    ///< Character constant, without its quotes, escapes kept.
    number,
    parameter, ///< $1, $2, ...
    symbol,    ///< One character, or a two-character comparison.
};

/// One token; its text points into the SQL that was split.
struct sql_token {
    token_kind m_kind;
    std::string_view m_text;
};

struct token_list {
    std::vector<sql_token> m_tokens;
    std::string_view m_leading_comment; ///< Inside of a first /* */ comment, if any.
    bool m_malformed{false};            ///< A quote or comment does not end.
};

/// Returns the tokens of `sql`, comments left out.
[[nodiscard]] token_list tokenize_sql(std::string_view sql);

/// Compares ASCII letters without regard to case. `lower` must be lower case.
[[nodiscard]] bool equals_ignoring_case(std::string_view text, std::string_view lower);

/// True when `token` is the unquoted word `lower`.
[[nodiscard]] bool is_word(const sql_token& token, std::string_view lower);

/// True when `token` is the symbol `text`.
[[nodiscard]] bool is_symbol(const sql_token& token, std::string_view text);

}
