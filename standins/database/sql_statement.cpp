/// \file sql_statement.cpp
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

std::string lower(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

std::string unescaped(std::string_view text) {
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        result += text[at];
        if (text[at] == '\'' && at + 1 < text.size() && text[at + 1] == '\'') {
            ++at;
        }
    }
    return result;
}

/// Thrown inside the parser only.
struct syntax_fault {
    std::string m_message;
};

class parser {
public:
    explicit parser(const std::vector<sql_token>& tokens) : m_tokens(tokens) {}

    std::vector<sql_statement> script() {
        std::vector<sql_statement> statements;
        while (m_at < m_tokens.size()) {
            if (take_symbol(";")) {
                continue;
            }
            statements.push_back(statement());
            if (m_at < m_tokens.size() && !take_symbol(";")) {
                fault();
            }
        }
        if (statements.empty()) {
            statements.emplace_back();
        }
        return statements;
    }

private:
    [[noreturn]] void fault() const {
        const std::string near =
            m_at < m_tokens.size() ? std::string(m_tokens[m_at].m_text) : "end of input";
        throw syntax_fault{"syntax error at or near \"" + near + "\""};
    }

    [[nodiscard]] bool at_word(std::string_view word) const {
        return m_at < m_tokens.size() && is_word(m_tokens[m_at], word);
    }
    bool take_word(std::string_view word) {
        const bool there = at_word(word);
        m_at += there ? 1 : 0;
        return there;
    }
    void need_word(std::string_view word) {
        if (!take_word(word)) {
            fault();
        }
    }
    [[nodiscard]] bool at_symbol(std::string_view symbol) const {
        return m_at < m_tokens.size() && is_symbol(m_tokens[m_at], symbol);
    }
    bool take_symbol(std::string_view symbol) {
        const bool there = at_symbol(symbol);
        m_at += there ? 1 : 0;
        return there;
    }
    void need_symbol(std::string_view symbol) {
        if (!take_symbol(symbol)) {
            fault();
        }
    }
    std::string name() {
        if (m_at >= m_tokens.size()) {
            fault();
        }
        const sql_token& token = m_tokens[m_at];
        if (token.m_kind != token_kind::word && token.m_kind != token_kind::quoted_identifier) {
            fault();
        }
        ++m_at;
        return token.m_kind == token_kind::word ? lower(token.m_text) : std::string(token.m_text);
    }

    sql_statement statement() {
        sql_statement made;
        if (take_word("create")) {
            create(made);
        } else if (take_word("drop")) {
            drop(made);
        } else if (take_word("insert")) {
            insert(made);
        } else if (take_word("select")) {
            select(made);
        } else if (take_word("update")) {
            update(made);
        } else if (take_word("delete")) {
            need_word("from");
            made.m_type = statement_type::delete_rows;
            made.m_name = name();
            where(made);
        } else if (take_word("begin") || take_word("start")) {
            begin(made);
        } else if (take_word("commit") || take_word("end")) {
            made.m_type = statement_type::commit;
            take_word("transaction");
        } else if (take_word("rollback") || take_word("abort")) {
            made.m_type = statement_type::rollback;
            take_word("transaction");
        } else if (take_word("set")) {
            made.m_type = statement_type::set;
            skip_statement();
        } else if (take_word("show")) {
            made.m_type = statement_type::show;
            made.m_name = name();
            skip_statement();
        } else {
            fault();
        }
        return made;
    }

    void skip_statement() {
        while (m_at < m_tokens.size() && !at_symbol(";")) {
            ++m_at;
        }
    }

    void begin(sql_statement& made) {
        made.m_type = statement_type::begin;
        while (m_at < m_tokens.size() && !at_symbol(";")) {
            made.m_read_only = made.m_read_only || at_word("only");
            ++m_at;
        }
    }

    void create(sql_statement& made) {
        need_word("table");
        made.m_type = statement_type::create_table;
        if (take_word("if")) {
            need_word("not");
            need_word("exists");
            made.m_if_exists = true;
        }
        made.m_name = name();
        need_symbol("(");
        do {
            column_definition(made);
        } while (take_symbol(","));
        need_symbol(")");
    }

    void column_definition(sql_statement& made) {
        sql_column column{.m_name = name(), .m_type = name()};
        if (take_symbol("(")) {
            skip_to_close();
        }
        while (m_at < m_tokens.size() && !at_symbol(",") && !at_symbol(")")) {
            column.m_is_key = column.m_is_key || at_word("primary");
            ++m_at;
            if (take_symbol("(")) {
                skip_to_close();
            }
        }
        made.m_columns.push_back(std::move(column));
    }

    void skip_to_close() {
        while (m_at < m_tokens.size() && !take_symbol(")")) {
            ++m_at;
        }
    }

    void drop(sql_statement& made) {
        need_word("table");
        made.m_type = statement_type::drop_table;
        if (take_word("if")) {
            need_word("exists");
            made.m_if_exists = true;
        }
        made.m_name = name();
    }

    void insert(sql_statement& made) {
        need_word("into");
        made.m_type = statement_type::insert_rows;
        made.m_name = name();
        if (take_symbol("(")) {
            do {
                made.m_column_names.push_back(name());
            } while (take_symbol(","));
            need_symbol(")");
        }
        need_word("values");
        do {
            need_symbol("(");
            made.m_rows.push_back(expressions());
            need_symbol(")");
        } while (take_symbol(","));
        if (take_word("on")) {
            need_word("conflict");
            if (take_symbol("(")) {
                skip_to_close();
            }
            need_word("do");
            need_word("nothing");
            made.m_on_conflict_do_nothing = true;
        }
    }

    std::vector<sql_expression> expressions() {
        std::vector<sql_expression> list;
        if (at_symbol(")")) {
            return list;
        }
        do {
            list.push_back(expression());
        } while (take_symbol(","));
        return list;
    }

    sql_expression expression() {
        sql_expression made = term();
        const bool plus = at_symbol("+");
        if (!made.m_column.empty() && (plus || at_symbol("-"))) {
            ++m_at;
            const sql_expression amount = term();
            made.m_constant = amount.m_constant;
            made.m_parameter = amount.m_parameter;
            made.m_subtract = !plus;
        }
        if (take_symbol("::")) {
            name();
        }
        return made;
    }

    sql_expression term() {
        sql_expression made;
        const bool negative = take_symbol("-");
        if (m_at >= m_tokens.size()) {
            fault();
        }
        const sql_token token = m_tokens[m_at];
        switch (token.m_kind) {
        case token_kind::number:
            made.m_constant = (negative ? "-" : "") + std::string(token.m_text);
            made.m_is_number = true;
            ++m_at;
            break;
        case token_kind::text:
            made.m_constant = unescaped(token.m_text);
            ++m_at;
            break;
        case token_kind::parameter:
            made.m_parameter = std::atoi(std::string(token.m_text.substr(1)).c_str());
            ++m_at;
            break;
        case token_kind::word:
        case token_kind::quoted_identifier:
            if (take_word("null")) {
                break;
            }
            made.m_column = name();
            break;
        case token_kind::symbol:
            fault();
        }
        return made;
    }

    [[nodiscard]] bool at_call() const {
        return m_at + 1 < m_tokens.size() && m_tokens[m_at].m_kind == token_kind::word &&
               is_symbol(m_tokens[m_at + 1], "(");
    }

    void call(sql_statement& made) {
        made.m_type = statement_type::call;
        made.m_name = name();
        need_symbol("(");
        made.m_rows = {expressions()};
        need_symbol(")");
    }

    void select(sql_statement& made) {
        if (at_call() && !at_word("count")) {
            call(made);
            return;
        }
        if (!at_symbol("*") && (m_at >= m_tokens.size() || m_tokens[m_at].m_kind != token_kind::word)) {
            made.m_type = statement_type::select_values;
            made.m_rows = {expressions()};
            return;
        }
        made.m_type = statement_type::select_rows;
        do {
            made.m_column_names.push_back(selected());
        } while (take_symbol(","));
        need_word("from");
        if (at_call()) {
            call(made);
            return;
        }
        made.m_name = name();
        where(made);
        order(made);
        if (take_word("for")) {
            need_word("update");
            made.m_for_update = true;
        }
    }

    std::string selected() {
        if (take_symbol("*")) {
            return "*";
        }
        if (take_word("count")) {
            need_symbol("(");
            need_symbol("*");
            need_symbol(")");
            return "count(*)";
        }
        return name();
    }

    void where(sql_statement& made) {
        if (!take_word("where")) {
            return;
        }
        do {
            sql_condition condition{.m_column = name(), .m_operator = {}, .m_value = {}};
            if (m_at >= m_tokens.size() || m_tokens[m_at].m_kind != token_kind::symbol) {
                fault();
            }
            condition.m_operator = std::string(m_tokens[m_at++].m_text);
            condition.m_value = expression();
            made.m_where.push_back(std::move(condition));
        } while (take_word("and"));
    }

    void order(sql_statement& made) {
        if (take_word("order")) {
            need_word("by");
            made.m_order_by = name();
            made.m_descending = take_word("desc");
            take_word("asc");
        }
        if (take_word("limit")) {
            const sql_expression amount = expression();
            made.m_limit = std::atol(amount.m_constant.value_or("0").c_str());
        }
    }

    void update(sql_statement& made) {
        made.m_type = statement_type::update_rows;
        made.m_name = name();
        need_word("set");
        do {
            sql_assignment assignment{.m_column = name(), .m_value = {}};
            need_symbol("=");
            assignment.m_value = expression();
            made.m_assignments.push_back(std::move(assignment));
        } while (take_symbol(","));
        where(made);
    }

    const std::vector<sql_token>& m_tokens;
    std::size_t m_at{0};
};

}

sql_result<std::vector<sql_statement>> parse_script(std::string_view sql) {
    const anvilmount::token_list list = anvilmount::split_sql(sql);
    if (list.m_broken) {
        return sql_error{.m_sqlstate = "42601", .m_message = "unterminated quoted string or comment"};
    }
    try {
        return parser(list.m_tokens).script();
    } catch (const syntax_fault& fault) {
        return sql_error{.m_sqlstate = "42601", .m_message = fault.m_message};
    }
}

}
