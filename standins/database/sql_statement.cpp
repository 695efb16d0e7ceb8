/// \file sql_statement.cpp
/// Recursive-descent parser over the tokens of split_sql(). accept_*() consumes a
/// token if it matches; expect_*() fails the parse if it does not.
#include "database/sql_statement.hpp"

#include "anvilmount/decisions/sql_tokens.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace standin {
namespace {

using anvilmount::is_symbol;
using anvilmount::is_word;
using anvilmount::sql_token;
using anvilmount::token_kind;

std::string to_lower(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

std::string unescape_quotes(std::string_view text) {
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        result += text[index];
        if (text[index] == '\'' && index + 1 < text.size() && text[index + 1] == '\'') {
            ++index;
        }
    }
    return result;
}

/// Thrown by the parser and caught in parse_script().
struct parse_failure {
    std::string m_message;
};

class parser {
public:
    explicit parser(const std::vector<sql_token>& tokens) : m_tokens(tokens) {}

    std::vector<sql_statement> script() {
        std::vector<sql_statement> statements;
        while (m_next_token < m_tokens.size()) {
            if (accept_symbol(";")) {
                continue;
            }
            statements.push_back(statement());
            if (m_next_token < m_tokens.size() && !accept_symbol(";")) {
                fail();
            }
        }
        if (statements.empty()) {
            statements.emplace_back();
        }
        return statements;
    }

private:
    [[noreturn]] void fail() const {
        const std::string near =
            m_next_token < m_tokens.size() ? std::string(m_tokens[m_next_token].m_text) : "end of input";
        throw parse_failure{"syntax error at or near \"" + near + "\""};
    }

    [[nodiscard]] bool at_word(std::string_view word) const {
        return m_next_token < m_tokens.size() && is_word(m_tokens[m_next_token], word);
    }
    bool accept_word(std::string_view word) {
        const bool matches = at_word(word);
        m_next_token += matches ? 1 : 0;
        return matches;
    }
    void expect_word(std::string_view word) {
        if (!accept_word(word)) {
            fail();
        }
    }
    [[nodiscard]] bool at_symbol(std::string_view symbol) const {
        return m_next_token < m_tokens.size() && is_symbol(m_tokens[m_next_token], symbol);
    }
    bool accept_symbol(std::string_view symbol) {
        const bool matches = at_symbol(symbol);
        m_next_token += matches ? 1 : 0;
        return matches;
    }
    void expect_symbol(std::string_view symbol) {
        if (!accept_symbol(symbol)) {
            fail();
        }
    }
    std::string name() {
        if (m_next_token >= m_tokens.size()) {
            fail();
        }
        const sql_token& token = m_tokens[m_next_token];
        if (token.m_kind != token_kind::word && token.m_kind != token_kind::quoted_identifier) {
            fail();
        }
        ++m_next_token;
        return token.m_kind == token_kind::word ? to_lower(token.m_text) : std::string(token.m_text);
    }

    sql_statement statement() {
        sql_statement parsed;
        if (accept_word("create")) {
            create(parsed);
        } else if (accept_word("drop")) {
            drop(parsed);
        } else if (accept_word("insert")) {
            insert(parsed);
        } else if (accept_word("select")) {
            select(parsed);
        } else if (accept_word("update")) {
            update(parsed);
        } else if (accept_word("delete")) {
            expect_word("from");
            parsed.m_type = statement_type::delete_rows;
            parsed.m_name = name();
            where_clause(parsed);
        } else if (accept_word("begin") || accept_word("start")) {
            begin(parsed);
        } else if (accept_word("commit") || accept_word("end")) {
            parsed.m_type = statement_type::commit;
            accept_word("transaction");
        } else if (accept_word("rollback") || accept_word("abort")) {
            parsed.m_type = statement_type::rollback;
            accept_word("transaction");
        } else if (accept_word("set")) {
            parsed.m_type = statement_type::set;
            skip_statement();
        } else if (accept_word("show")) {
            parsed.m_type = statement_type::show;
            parsed.m_name = name();
            skip_statement();
        } else {
            fail();
        }
        return parsed;
    }

    void skip_statement() {
        while (m_next_token < m_tokens.size() && !at_symbol(";")) {
            ++m_next_token;
        }
    }

    void begin(sql_statement& parsed) {
        parsed.m_type = statement_type::begin;
        while (m_next_token < m_tokens.size() && !at_symbol(";")) {
            parsed.m_read_only = parsed.m_read_only || at_word("only");
            ++m_next_token;
        }
    }

    void create(sql_statement& parsed) {
        expect_word("table");
        parsed.m_type = statement_type::create_table;
        if (accept_word("if")) {
            expect_word("not");
            expect_word("exists");
            parsed.m_if_exists = true;
        }
        parsed.m_name = name();
        expect_symbol("(");
        do {
            column_definition(parsed);
        } while (accept_symbol(","));
        expect_symbol(")");
    }

    void column_definition(sql_statement& parsed) {
        sql_column column{.m_name = name(), .m_type = name()};
        if (accept_symbol("(")) {
            skip_past_parenthesis();
        }
        while (m_next_token < m_tokens.size() && !at_symbol(",") && !at_symbol(")")) {
            column.m_is_key = column.m_is_key || at_word("primary");
            ++m_next_token;
            if (accept_symbol("(")) {
                skip_past_parenthesis();
            }
        }
        parsed.m_columns.push_back(std::move(column));
    }

    void skip_past_parenthesis() {
        while (m_next_token < m_tokens.size() && !accept_symbol(")")) {
            ++m_next_token;
        }
    }

    void drop(sql_statement& parsed) {
        expect_word("table");
        parsed.m_type = statement_type::drop_table;
        if (accept_word("if")) {
            expect_word("exists");
            parsed.m_if_exists = true;
        }
        parsed.m_name = name();
    }

    void insert(sql_statement& parsed) {
        expect_word("into");
        parsed.m_type = statement_type::insert_rows;
        parsed.m_name = name();
        if (accept_symbol("(")) {
            do {
                parsed.m_column_names.push_back(name());
            } while (accept_symbol(","));
            expect_symbol(")");
        }
        expect_word("values");
        do {
            expect_symbol("(");
            parsed.m_rows.push_back(expressions());
            expect_symbol(")");
        } while (accept_symbol(","));
        if (accept_word("on")) {
            expect_word("conflict");
            if (accept_symbol("(")) {
                skip_past_parenthesis();
            }
            expect_word("do");
            expect_word("nothing");
            parsed.m_on_conflict_do_nothing = true;
        }
    }

    std::vector<sql_expression> expressions() {
        std::vector<sql_expression> list;
        if (at_symbol(")")) {
            return list;
        }
        do {
            list.push_back(expression());
        } while (accept_symbol(","));
        return list;
    }

    sql_expression expression() {
        sql_expression parsed = operand();
        const bool plus = at_symbol("+");
        if (!parsed.m_column.empty() && (plus || at_symbol("-"))) {
            ++m_next_token;
            const sql_expression amount = operand();
            parsed.m_constant = amount.m_constant;
            parsed.m_parameter = amount.m_parameter;
            parsed.m_subtract = !plus;
        }
        if (accept_symbol("::")) {
            name();
        }
        return parsed;
    }

    sql_expression operand() {
        sql_expression parsed;
        const bool negative = accept_symbol("-");
        if (m_next_token >= m_tokens.size()) {
            fail();
        }
        const sql_token token = m_tokens[m_next_token];
        switch (token.m_kind) {
        case token_kind::number:
            parsed.m_constant = (negative ? "-" : "") + std::string(token.m_text);
            parsed.m_is_number = true;
            ++m_next_token;
            break;
        case token_kind::string_literal:
            parsed.m_constant = unescape_quotes(token.m_text);
            ++m_next_token;
            break;
        case token_kind::parameter:
            parsed.m_parameter = std::atoi(std::string(token.m_text.substr(1)).c_str());
            ++m_next_token;
            break;
        case token_kind::word:
        case token_kind::quoted_identifier:
            if (accept_word("null")) {
                break;
            }
            parsed.m_column = name();
            break;
        case token_kind::symbol:
            fail();
        }
        return parsed;
    }

    [[nodiscard]] bool at_call() const {
        return m_next_token + 1 < m_tokens.size() && m_tokens[m_next_token].m_kind == token_kind::word &&
               is_symbol(m_tokens[m_next_token + 1], "(");
    }

    void call(sql_statement& parsed) {
        parsed.m_type = statement_type::call;
        parsed.m_name = name();
        expect_symbol("(");
        parsed.m_rows = {expressions()};
        expect_symbol(")");
    }

    void select(sql_statement& parsed) {
        if (at_call() && !at_word("count")) {
            call(parsed);
            return;
        }
        if (!at_symbol("*") &&
            (m_next_token >= m_tokens.size() || m_tokens[m_next_token].m_kind != token_kind::word)) {
            parsed.m_type = statement_type::select_values;
            parsed.m_rows = {expressions()};
            return;
        }
        parsed.m_type = statement_type::select_rows;
        do {
            parsed.m_column_names.push_back(selected_column());
        } while (accept_symbol(","));
        expect_word("from");
        if (at_call()) {
            call(parsed);
            return;
        }
        parsed.m_name = name();
        where_clause(parsed);
        order_and_limit(parsed);
        if (accept_word("for")) {
            expect_word("update");
            parsed.m_for_update = true;
        }
    }

    std::string selected_column() {
        if (accept_symbol("*")) {
            return "*";
        }
        if (accept_word("count")) {
            expect_symbol("(");
            expect_symbol("*");
            expect_symbol(")");
            return "count(*)";
        }
        return name();
    }

    void where_clause(sql_statement& parsed) {
        if (!accept_word("where")) {
            return;
        }
        do {
            sql_condition condition{.m_column = name(), .m_operator = {}, .m_value = {}};
            if (m_next_token >= m_tokens.size() || m_tokens[m_next_token].m_kind != token_kind::symbol) {
                fail();
            }
            condition.m_operator = std::string(m_tokens[m_next_token++].m_text);
            condition.m_value = expression();
            parsed.m_where.push_back(std::move(condition));
        } while (accept_word("and"));
    }

    void order_and_limit(sql_statement& parsed) {
        if (accept_word("order")) {
            expect_word("by");
            parsed.m_order_by = name();
            parsed.m_descending = accept_word("desc");
            accept_word("asc");
        }
        if (accept_word("limit")) {
            const sql_expression amount = expression();
            parsed.m_limit = std::atol(amount.m_constant.value_or("0").c_str());
        }
    }

    void update(sql_statement& parsed) {
        parsed.m_type = statement_type::update_rows;
        parsed.m_name = name();
        expect_word("set");
        do {
            sql_assignment assignment{.m_column = name(), .m_value = {}};
            expect_symbol("=");
            assignment.m_value = expression();
            parsed.m_assignments.push_back(std::move(assignment));
        } while (accept_symbol(","));
        where_clause(parsed);
    }

    const std::vector<sql_token>& m_tokens;
    std::size_t m_next_token{0};
};

}

sql_result<std::vector<sql_statement>> parse_script(std::string_view sql) {
    const anvilmount::token_list list = anvilmount::tokenize_sql(sql);
    if (list.m_malformed) {
        return sql_error{.m_sqlstate = "42601", .m_message = "unterminated quoted string or comment"};
    }
    try {
        return parser(list.m_tokens).script();
    } catch (const parse_failure& error) {
        return sql_error{.m_sqlstate = "42601", .m_message = error.m_message};
    }
}

}
