/// \file sql_tokens.cpp
/// Implements the lexical rules of PostgreSQL: nested comments, E'' strings and
/// dollar quoting.
#include "anvilmount/decisions/sql_tokens.hpp"

#include <cctype>

namespace anvilmount {
namespace {

bool is_space(char c) {
    return std::isspace(static_cast<unsigned char>(c)) != 0;
}
bool is_digit(char c) {
    return std::isdigit(static_cast<unsigned char>(c)) != 0;
}
bool is_word_start(char c) {
    return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_' ||
           static_cast<unsigned char>(c) >= 0x80;
}
bool is_word_part(char c) {
    return is_word_start(c) || is_digit(c) || c == '$';
}

/// Reads tokens from left to right and stops at an unterminated quote or comment.
class tokenizer {
public:
    explicit tokenizer(std::string_view sql) : m_sql(sql) {}

    token_list run() {
        while (m_offset < m_sql.size() && !m_result.m_malformed) {
            read_token();
        }
        return std::move(m_result);
    }

private:
    [[nodiscard]] char peek(std::size_t ahead = 0) const {
        return m_offset + ahead < m_sql.size() ? m_sql[m_offset + ahead] : '\0';
    }

    void read_token() {
        const char c = peek();
        if (is_space(c)) {
            ++m_offset;
        } else if (c == '-' && peek(1) == '-') {
            skip_line();
        } else if (c == '/' && peek(1) == '*') {
            skip_comment();
        } else if (c == '\'') {
            read_quoted(token_kind::string_literal, '\'', false);
        } else if ((c == 'e' || c == 'E') && peek(1) == '\'') {
            ++m_offset;
            read_quoted(token_kind::string_literal, '\'', true);
        } else if (c == '"') {
            read_quoted(token_kind::quoted_identifier, '"', false);
        } else if (c == '$') {
            read_dollar();
        } else if (is_digit(c) || (c == '.' && is_digit(peek(1)))) {
            read_number();
        } else if (is_word_start(c)) {
            read_word();
        } else {
            read_symbol();
        }
    }

    void add_token(token_kind kind, std::size_t start, std::size_t length) {
        m_result.m_tokens.push_back({kind, m_sql.substr(start, length)});
    }

    void skip_line() {
        while (m_offset < m_sql.size() && m_sql[m_offset] != '\n') {
            ++m_offset;
        }
    }

    /// Skips a /* */ comment, which may contain others, and keeps the text of a leading one.
    void skip_comment() {
        const std::size_t comment_start = m_offset + 2;
        int depth = 0;
        do {
            if (m_offset >= m_sql.size()) {
                m_result.m_malformed = true;
                return;
            }
            const int depth_change = peek() == '/' && peek(1) == '*'   ? 1
                                     : peek() == '*' && peek(1) == '/' ? -1
                                                                       : 0;
            depth += depth_change;
            m_offset += depth_change == 0 ? 1 : 2;
        } while (depth > 0);
        if (m_result.m_tokens.empty() && m_result.m_leading_comment.empty()) {
            m_result.m_leading_comment = m_sql.substr(comment_start, m_offset - 2 - comment_start);
        }
    }

    /// Reads to the closing quote; a doubled quote is part of the text.
    void read_quoted(token_kind kind, char quote, bool backslash_escapes) {
        const std::size_t start = ++m_offset;
        while (m_offset < m_sql.size()) {
            const bool escaped = backslash_escapes && peek() == '\\';
            if (escaped || (peek() == quote && peek(1) == quote)) {
                m_offset += 2;
            } else if (peek() == quote) {
                add_token(kind, start, m_offset - start);
                ++m_offset;
                return;
            } else {
                ++m_offset;
            }
        }
        m_result.m_malformed = true;
    }

    /// Reads a parameter ($1) or a dollar-quoted string ($tag$...$tag$).
    void read_dollar() {
        std::size_t end = m_offset + 1;
        while (end < m_sql.size() && is_digit(m_sql[end])) {
            ++end;
        }
        if (end > m_offset + 1) {
            add_token(token_kind::parameter, m_offset, end - m_offset);
            m_offset = end;
            return;
        }
        while (end < m_sql.size() && m_sql[end] != '$' && is_word_part(m_sql[end])) {
            ++end;
        }
        if (end >= m_sql.size() || m_sql[end] != '$') {
            m_result.m_malformed = true;
            return;
        }
        const std::string_view tag = m_sql.substr(m_offset, end + 1 - m_offset);
        const std::size_t close = m_sql.find(tag, end + 1);
        if (close == std::string_view::npos) {
            m_result.m_malformed = true;
            return;
        }
        add_token(token_kind::string_literal, end + 1, close - end - 1);
        m_offset = close + tag.size();
    }

    /// Reads a number with any letters that follow it, such as an exponent.
    void read_number() {
        const std::size_t start = m_offset;
        while (is_digit(peek()) || peek() == '.' || is_word_start(peek())) {
            ++m_offset;
        }
        add_token(token_kind::number, start, m_offset - start);
    }

    void read_word() {
        const std::size_t start = m_offset;
        while (m_offset < m_sql.size() && is_word_part(peek())) {
            ++m_offset;
        }
        add_token(token_kind::word, start, m_offset - start);
    }

    void read_symbol() {
        const std::string_view two_characters = m_sql.substr(m_offset, 2);
        const bool is_two_characters = two_characters == "<=" || two_characters == ">=" ||
                                       two_characters == "<>" || two_characters == "!=" ||
                                       two_characters == "::" || two_characters == "||";
        add_token(token_kind::symbol, m_offset, is_two_characters ? 2 : 1);
        m_offset += is_two_characters ? 2 : 1;
    }

    std::string_view m_sql;
    std::size_t m_offset{0};
    token_list m_result;
};

}

token_list tokenize_sql(std::string_view sql) {
    return tokenizer(sql).run();
}

bool equals_ignoring_case(std::string_view text, std::string_view lower) {
    if (text.size() != lower.size()) {
        return false;
    }
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (std::tolower(static_cast<unsigned char>(text[index])) != lower[index]) {
            return false;
        }
    }
    return true;
}

bool is_word(const sql_token& token, std::string_view lower) {
    return token.m_kind == token_kind::word && equals_ignoring_case(token.m_text, lower);
}

bool is_symbol(const sql_token& token, std::string_view text) {
    return token.m_kind == token_kind::symbol && token.m_text == text;
}

}
