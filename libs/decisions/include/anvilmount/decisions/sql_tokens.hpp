/// \file sql_tokens.hpp
/// A tokenizer for SQL text, precise enough to tell reads from writes. The proxy
/// does not parse statements; it only has to detect when it cannot be sure what
/// one does. A text with an unterminated quote or comment is marked malformed,
/// and its users treat it as a write.
#pragma once

#include <string_view>
#include <vector>

namespace anvilmount {

/// The lexical class of a token.
enum class token_kind {
    word,              ///< Keyword or unquoted identifier.
    quoted_identifier, ///< Without its quotes.
    string_literal,    ///< Without its quotes; escape sequences are kept.
    number,
    parameter, ///< $1, $2, ...
    symbol,    ///< One character, or one of <= >= <> != :: ||.
};

/// One token. Its text is a view into the tokenized SQL.
struct sql_token {
    token_kind m_kind;
    std::string_view m_text;
};

/// The result of tokenize_sql().
struct token_list {
    std::vector<sql_token> m_tokens;
    std::string_view m_leading_comment; ///< Text of a /* */ comment before the first token, if any.
    bool m_malformed{false};            ///< A quote or comment is not terminated.
};

/// Returns the tokens of `sql` without its comments.
[[nodiscard]] token_list tokenize_sql(std::string_view sql);

/// Compares without regard to the case of ASCII letters. `lower` must be lower case.
[[nodiscard]] bool equals_ignoring_case(std::string_view text, std::string_view lower);

/// True when `token` is the unquoted word `lower`.
[[nodiscard]] bool is_word(const sql_token& token, std::string_view lower);

/// True when `token` is the symbol `text`.
[[nodiscard]] bool is_symbol(const sql_token& token, std::string_view text);

}
