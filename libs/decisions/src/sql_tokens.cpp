/// \file sql_tokens.cpp
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
bool starts_word(char c) {
    return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_' ||
           static_cast<unsigned char>(c) >= 0x80;
}
bool continues_word(char c) {
    return starts_word(c) || is_digit(c) || c == '$';
}

class splitter {
public:
    explicit splitter(std::string_view sql) : m_sql(sql) {}

    token_list run() {
        while (m_at < m_sql.size() && !m_list.m_malformed) {
            step();
        }
        return std::move(m_list);
    }

private:
    [[nodiscard]] char peek(std::size_t ahead = 0) const {
        return m_at + ahead < m_sql.size() ? m_sql[m_at + ahead] : '\0';
    }

    void step() {
        const char c = peek();
        if (is_space(c)) {
            ++m_at;
        } else if (c == '-' && peek(1) == '-') {
            skip_line();
        } else if (c == '/' && peek(1) == '*') {
            skip_comment();
        } else if (c == '\'') {
            quoted(token_kind::string_literal, '\'', false);
        } else if ((c == 'e' || c == 'E') && peek(1) == '\'') {
            ++m_at;
            quoted(token_kind::string_literal, '\'', true);
        } else if (c == '"') {
            quoted(token_kind::quoted_identifier, '"', false);
        } else if (c == '$') {
            dollar();
        } else if (is_digit(c) || (c == '.' && is_digit(peek(1)))) {
            number();
        } else if (starts_word(c)) {
            word();
        } else {
            symbol();
        }
    }

    void add(token_kind kind, std::size_t from, std::size_t length) {
        m_list.m_tokens.push_back({kind, m_sql.substr(from, length)});
    }

    void skip_line() {
        while (m_at < m_sql.size() && m_sql[m_at] != '\n') {
            ++m_at;
        }
    }

    void skip_comment() {
        const std::size_t inside = m_at + 2;
        int depth = 0;
        do {
            if (m_at >= m_sql.size()) {
                m_list.m_malformed = true;
                return;
            }
            const int change = peek() == '/' && peek(1) == '*'   ? 1
                               : peek() == '*' && peek(1) == '/' ? -1
                                                                 : 0;
            depth += change;
            m_at += change == 0 ? 1 : 2;
        } while (depth > 0);
        if (m_list.m_tokens.empty() && m_list.m_leading_comment.empty()) {
            m_list.m_leading_comment = m_sql.substr(inside, m_at - 2 - inside);
        }
    }

    void quoted(token_kind kind, char quote, bool backslash_escapes) {
        const std::size_t from = ++m_at;
        while (m_at < m_sql.size()) {
            const bool escaped = backslash_escapes && peek() == '\\';
            if (escaped || (peek() == quote && peek(1) == quote)) {
                m_at += 2;
            } else if (peek() == quote) {
                add(kind, from, m_at - from);
                ++m_at;
                return;
            } else {
                ++m_at;
            }
        }
        m_list.m_malformed = true;
    }

    void dollar() {
        std::size_t end = m_at + 1;
        while (end < m_sql.size() && is_digit(m_sql[end])) {
            ++end;
        }
        if (end > m_at + 1) {
            add(token_kind::parameter, m_at, end - m_at);
            m_at = end;
            return;
        }
        while (end < m_sql.size() && m_sql[end] != '$' && continues_word(m_sql[end])) {
            ++end;
        }
        if (end >= m_sql.size() || m_sql[end] != '$') {
            m_list.m_malformed = true;
            return;
        }
        const std::string_view tag = m_sql.substr(m_at, end + 1 - m_at);
        const std::size_t close = m_sql.find(tag, end + 1);
        if (close == std::string_view::npos) {
            m_list.m_malformed = true;
            return;
        }
        add(token_kind::string_literal, end + 1, close - end - 1);
        m_at = close + tag.size();
    }

    void number() {
        const std::size_t from = m_at;
        while (is_digit(peek()) || peek() == '.' || starts_word(peek())) {
            ++m_at;
        }
        add(token_kind::number, from, m_at - from);
    }

    void word() {
        const std::size_t from = m_at;
        while (m_at < m_sql.size() && continues_word(peek())) {
            ++m_at;
        }
        add(token_kind::word, from, m_at - from);
    }

    void symbol() {
        const std::string_view two = m_sql.substr(m_at, 2);
        const bool pair =
            two == "<=" || two == ">=" || two == "<>" || two == "!=" || two == "::" || two == "||";
        add(token_kind::symbol, m_at, pair ? 2 : 1);
        m_at += pair ? 2 : 1;
    }

    std::string_view m_sql;
    std::size_t m_at{0};
    token_list m_list;
};

}

token_list tokenize_sql(std::string_view sql) {
    return splitter(sql).run();
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
