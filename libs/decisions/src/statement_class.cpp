/// \file statement_class.cpp
/// Classifies statements by their keywords and by the functions they call.
#include "anvilmount/decisions/statement_class.hpp"

#include "anvilmount/decisions/sql_tokens.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <span>

namespace anvilmount {
namespace {

using tokens = std::span<const sql_token>;

constexpr std::string_view settings_prefix = "anvilmount";

/// Functions that write nothing and give the same result on every upstream.
constexpr std::array<std::string_view, 32> read_only_functions{
    "abs",    "array_agg", "avg",        "ceil",      "char_length", "coalesce", "concat",   "count",
    "date",   "date_part", "extract",    "floor",     "greatest",    "initcap",  "least",    "left",
    "length", "lower",     "max",        "min",       "mod",         "nullif",   "pg_sleep", "replace",
    "right",  "round",     "string_agg", "substring", "sum",         "to_char",  "trim",     "upper"};

/// Keywords that may precede an opening parenthesis without being a function call.
constexpr std::array<std::string_view, 28> keywords_before_parenthesis{
    "all",    "and",  "any",    "as",     "between",   "by",    "case",   "distinct", "else",  "except",
    "exists", "from", "having", "in",     "intersect", "is",    "join",   "like",     "limit", "not",
    "on",     "or",   "over",   "select", "then",      "union", "values", "when"};

/// Words that make a statement a write wherever they occur outside quotes.
constexpr std::array<std::string_view, 16> write_keywords{
    "alter", "call",  "create", "delete", "do",       "drop",   "grant",  "insert",
    "into",  "merge", "notify", "revoke", "truncate", "update", "vacuum", "nextval"};

/// First words of statements that leave state on their connection.
constexpr std::array<std::string_view, 8> session_keywords{"listen",  "unlisten", "prepare",    "execute",
                                                           "discard", "reset",    "deallocate", "load"};

/// First words of statements that have effect only inside a transaction.
constexpr std::array<std::string_view, 5> transaction_keywords{"savepoint", "release", "declare", "fetch",
                                                               "close"};

template <std::size_t Size>
bool is_one_of(std::string_view text, const std::array<std::string_view, Size>& words) {
    return std::any_of(words.begin(), words.end(),
                       [&](std::string_view word) { return equals_ignoring_case(text, word); });
}

std::string lower_case(std::string_view text) {
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

bool word_at(tokens statement, std::size_t index, std::string_view lower) {
    return index < statement.size() && is_word(statement[index], lower);
}

bool symbol_at(tokens statement, std::size_t index, std::string_view text) {
    return index < statement.size() && is_symbol(statement[index], text);
}

/// True when the token at `index` begins a call of a function that is not known to be read-only.
bool calls_unknown_function(tokens statement, std::size_t index) {
    const sql_token& name = statement[index];
    if (!symbol_at(statement, index + 1, "(")) {
        return false;
    }
    if (name.m_kind == token_kind::quoted_identifier) {
        return true;
    }
    if (name.m_kind != token_kind::word || is_one_of(name.m_text, keywords_before_parenthesis)) {
        return false;
    }
    // A schema-qualified name may be a user-defined function with a known name.
    const bool qualified = index > 0 && is_symbol(statement[index - 1], ".");
    return qualified || !is_one_of(name.m_text, read_only_functions);
}

/// Detects FOR UPDATE, FOR NO KEY UPDATE, FOR SHARE and FOR KEY SHARE: only a primary can take row locks.
bool takes_row_locks(tokens statement, std::size_t index) {
    return is_word(statement[index], "for") &&
           (word_at(statement, index + 1, "update") || word_at(statement, index + 1, "share") ||
            word_at(statement, index + 1, "no") || word_at(statement, index + 1, "key"));
}

/// True when no token of the statement can make it write.
bool is_provable_read(tokens statement) {
    for (std::size_t index = 0; index < statement.size(); ++index) {
        const sql_token& token = statement[index];
        const bool writes = token.m_kind == token_kind::word && is_one_of(token.m_text, write_keywords);
        if (writes || takes_row_locks(statement, index) || calls_unknown_function(statement, index)) {
            return false;
        }
    }
    return true;
}

/// Returns the lower-case names that follow FROM, JOIN, INTO, UPDATE and TABLE.
std::vector<std::string> tables_of(tokens statement) {
    std::vector<std::string> tables;
    for (std::size_t index = 0; index + 1 < statement.size(); ++index) {
        const bool precedes_table_name =
            is_word(statement[index], "from") || is_word(statement[index], "join") ||
            is_word(statement[index], "into") || is_word(statement[index], "update") ||
            is_word(statement[index], "table");
        const sql_token& next = statement[index + 1];
        const bool is_name =
            next.m_kind == token_kind::word || next.m_kind == token_kind::quoted_identifier;
        if (precedes_table_name && is_name) {
            tables.push_back(lower_case(next.m_text));
        }
    }
    return tables;
}

/// Returns the index of the setting's name in SET [SESSION] name, or in SHOW name.
std::size_t setting_name_index(tokens statement) {
    return word_at(statement, 1, "session") ? 2 : 1;
}

bool names_proxy_setting(tokens statement, std::size_t index) {
    return word_at(statement, index, settings_prefix) && symbol_at(statement, index + 1, ".") &&
           index + 2 < statement.size();
}

/// Settings without effect on results that common drivers send on their own.
bool is_ignored_driver_setting(tokens statement, std::size_t index) {
    return word_at(statement, index, "application_name") || word_at(statement, index, "client_encoding");
}

/// Reads the setting that starts at `name_index` and the value after it.
session_assignment assignment_of(tokens statement, std::size_t name_index) {
    const bool is_proxy_setting = names_proxy_setting(statement, name_index);
    const std::size_t last_name = is_proxy_setting ? name_index + 2 : name_index;
    session_assignment assignment{.m_name = lower_case(statement[last_name].m_text), .m_value = {}};
    std::size_t value = last_name + 1;
    if (symbol_at(statement, value, "=") || word_at(statement, value, "to")) {
        ++value;
    }
    for (; value < statement.size(); ++value) {
        assignment.m_value += statement[value].m_text;
    }
    return assignment;
}

statement_traits classify_set(tokens statement) {
    if (word_at(statement, 1, "local") || word_at(statement, 1, "transaction") ||
        word_at(statement, 1, "constraints")) {
        return {.m_kind = statement_kind::transaction_local, .m_tables = {}, .m_assignment = {}};
    }
    const std::size_t name = setting_name_index(statement);
    if (names_proxy_setting(statement, name) || is_ignored_driver_setting(statement, name)) {
        return {.m_kind = statement_kind::session_set,
                .m_tables = {},
                .m_assignment = assignment_of(statement, name)};
    }
    return {.m_kind = statement_kind::session_state, .m_tables = {}, .m_assignment = {}};
}

statement_kind classify_begin(tokens statement) {
    for (std::size_t index = 1; index + 1 < statement.size(); ++index) {
        if (is_word(statement[index], "read") && is_word(statement[index + 1], "only")) {
            return statement_kind::begin_read_only;
        }
    }
    return statement_kind::begin;
}

bool is_transaction_end(const sql_token& first) {
    return is_word(first, "commit") || is_word(first, "rollback") || is_word(first, "end") ||
           is_word(first, "abort");
}

bool creates_temporary(tokens statement) {
    return word_at(statement, 0, "create") &&
           (word_at(statement, 1, "temp") || word_at(statement, 1, "temporary"));
}

statement_kind kind_of(tokens statement) {
    const sql_token& first = statement.front();
    if (is_word(first, "begin") || (is_word(first, "start") && word_at(statement, 1, "transaction"))) {
        return classify_begin(statement);
    }
    if (is_transaction_end(first)) {
        const bool to_savepoint = is_word(first, "rollback") &&
                                  std::any_of(statement.begin(), statement.end(),
                                              [](const sql_token& token) { return is_word(token, "to"); });
        return to_savepoint ? statement_kind::transaction_local : statement_kind::end;
    }
    if (is_word(first, "copy")) {
        return statement_kind::copy;
    }
    if (creates_temporary(statement) ||
        (first.m_kind == token_kind::word && is_one_of(first.m_text, session_keywords))) {
        return statement_kind::session_state;
    }
    if (first.m_kind == token_kind::word && is_one_of(first.m_text, transaction_keywords)) {
        return statement_kind::transaction_local;
    }
    const bool can_be_read = is_word(first, "select") || is_word(first, "with") ||
                             is_word(first, "values") || is_word(first, "table") ||
                             is_word(first, "show") || is_symbol(first, "(");
    return can_be_read && is_provable_read(statement) ? statement_kind::read : statement_kind::write;
}

statement_traits classify_statement(tokens statement) {
    if (statement.empty()) {
        return {};
    }
    if (is_word(statement.front(), "set") && statement.size() > 1) {
        return classify_set(statement);
    }
    if (is_word(statement.front(), "show") && names_proxy_setting(statement, 1)) {
        return {.m_kind = statement_kind::session_show,
                .m_tables = {},
                .m_assignment = assignment_of(statement, 1)};
    }
    return {.m_kind = kind_of(statement), .m_tables = tables_of(statement), .m_assignment = {}};
}

/// Returns the settings of a comment "anvilmount: name=value ..."; none for any other comment.
std::vector<session_assignment> hints_of(std::string_view comment) {
    const std::size_t start = comment.find_first_not_of(" \t\n");
    if (start == std::string_view::npos) {
        return {};
    }
    comment.remove_prefix(start);
    if (!comment.starts_with(settings_prefix) || comment.substr(settings_prefix.size(), 1) != ":") {
        return {};
    }
    return parse_assignments(comment.substr(settings_prefix.size() + 1));
}

}

bool script_traits::contains(statement_kind kind) const {
    return std::any_of(m_statements.begin(), m_statements.end(),
                       [&](const statement_traits& each) { return each.m_kind == kind; });
}

bool script_traits::is_read_only() const {
    return std::all_of(m_statements.begin(), m_statements.end(), [](const statement_traits& each) {
        return each.m_kind == statement_kind::read || each.m_kind == statement_kind::empty;
    });
}

script_traits classify_script(std::string_view sql) {
    const token_list list = tokenize_sql(sql);
    script_traits script;
    if (list.m_malformed) {
        script.m_statements.push_back(
            {.m_kind = statement_kind::write, .m_tables = {}, .m_assignment = {}});
        return script;
    }
    script.m_hints = hints_of(list.m_leading_comment);
    const tokens all(list.m_tokens);
    std::size_t statement_start = 0;
    for (std::size_t index = 0; index <= all.size(); ++index) {
        if (index == all.size() || is_symbol(all[index], ";")) {
            if (index > statement_start) {
                script.m_statements.push_back(
                    classify_statement(all.subspan(statement_start, index - statement_start)));
            }
            statement_start = index + 1;
        }
    }
    if (script.m_statements.empty()) {
        script.m_statements.emplace_back();
    }
    return script;
}

std::vector<session_assignment> parse_assignments(std::string_view text) {
    std::vector<session_assignment> assignments;
    constexpr std::string_view separators = " ,\t\n";
    std::size_t at = text.find_first_not_of(separators);
    while (at != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(separators, at), text.size());
        const std::string_view pair = text.substr(at, end - at);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos) {
            assignments.push_back(
                {lower_case(pair.substr(0, equals)), std::string(pair.substr(equals + 1))});
        }
        at = text.find_first_not_of(separators, end);
    }
    return assignments;
}

}
