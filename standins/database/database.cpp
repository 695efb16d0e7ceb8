/// \file database.cpp
/// Runs statements against in-memory tables. A transaction keeps its changes to
/// itself until commit, which logs them as JSON and applies the logged form.
#include "database/database.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace standin {
namespace {

using nlohmann::json;

std::optional<long long> parse_integer(const std::string& text) {
    long long value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_integer = !text.empty() && error == std::errc{} && end == text.data() + text.size();
    return is_integer ? std::optional<long long>{value} : std::nullopt;
}

/// Three-way comparison; numeric if both texts are integers.
int compare(const std::string& left, const std::string& right) {
    const auto left_number = parse_integer(left);
    const auto right_number = parse_integer(right);
    if (left_number && right_number) {
        return *left_number < *right_number ? -1 : *left_number > *right_number ? 1 : 0;
    }
    return left.compare(right);
}

/// Evaluates a WHERE condition; false if either value is NULL.
bool satisfies(const sql_value& left, const std::string& comparison, const sql_value& right) {
    if (!left || !right) {
        return false;
    }
    const int order = compare(*left, *right);
    return comparison == "="    ? order == 0
           : comparison == "<"  ? order < 0
           : comparison == ">"  ? order > 0
           : comparison == "<=" ? order <= 0
           : comparison == ">=" ? order >= 0
                                : order != 0;
}

sql_error undefined_table(const std::string& name) {
    return {.m_sqlstate = "42P01", .m_message = "relation \"" + name + "\" does not exist"};
}

sql_error undefined_column(const std::string& name) {
    return {.m_sqlstate = "42703", .m_message = "column \"" + name + "\" does not exist"};
}

/// Returns an error if the statement names a column that the table does not have.
std::optional<sql_error> check_column_names(const table& source, const sql_statement& statement) {
    std::vector<std::string> names = statement.m_column_names;
    for (const sql_condition& condition : statement.m_where) {
        names.push_back(condition.m_column);
    }
    for (const sql_assignment& assignment : statement.m_assignments) {
        names.push_back(assignment.m_column);
    }
    if (!statement.m_order_by.empty()) {
        names.push_back(statement.m_order_by);
    }
    for (const std::string& name : names) {
        if (name != "*" && name != "count(*)" && !source.column_index(name)) {
            return undefined_column(name);
        }
    }
    return std::nullopt;
}

/// Returns the value of an expression that may refer to a column of `row`.
sql_value evaluate_assignment(const table& source, const table_row& row, const sql_expression& expression,
                              const std::vector<sql_value>& parameters) {
    const sql_value constant = evaluate(expression, parameters);
    if (expression.m_column.empty()) {
        return constant;
    }
    const auto index = source.column_index(expression.m_column);
    const sql_value base = index ? row[*index] : sql_value{};
    if (!constant || !base) {
        return base;
    }
    const long long amount = parse_integer(*constant).value_or(0);
    return std::to_string(parse_integer(*base).value_or(0) + (expression.m_subtract ? -amount : amount));
}

json put_change(const std::string& name, const std::string& key, const table_row& row) {
    json values = json::array();
    for (const sql_value& value : row) {
        values.push_back(value ? json(*value) : json());
    }
    return {{"put", name}, {"key", key}, {"row", values}};
}

}

bool key_order::operator()(const std::string& left, const std::string& right) const {
    return compare(left, right) < 0;
}

std::optional<std::size_t> table::column_index(const std::string& name) const {
    for (std::size_t index = 0; index < m_columns.size(); ++index) {
        if (m_columns[index].m_name == name) {
            return index;
        }
    }
    return std::nullopt;
}

sql_value evaluate(const sql_expression& expression, const std::vector<sql_value>& parameters) {
    if (expression.m_parameter) {
        const auto index = static_cast<std::size_t>(*expression.m_parameter);
        return index >= 1 && index <= parameters.size() ? parameters[index - 1] : sql_value{};
    }
    return expression.m_constant;
}

execution database::run(transaction& txn, const sql_statement& statement,
                        const std::vector<sql_value>& parameters) {
    switch (statement.m_type) {
    case statement_type::create_table:
        return create(statement);
    case statement_type::drop_table:
        return drop(statement);
    case statement_type::insert_rows:
        return insert(txn, statement, parameters);
    case statement_type::select_rows:
        return select(txn, statement, parameters);
    case statement_type::update_rows:
    case statement_type::delete_rows:
        return update_or_delete(txn, statement, parameters);
    default:
        return sql_error{.m_sqlstate = "0A000",
                         .m_message = "the stand-in does not run this statement here"};
    }
}

execution database::create(const sql_statement& statement) {
    if (m_tables.contains(statement.m_name)) {
        if (statement.m_if_exists) {
            return result_set{.m_columns = {}, .m_rows = {}, .m_tag = "CREATE TABLE"};
        }
        return sql_error{.m_sqlstate = "42P07",
                         .m_message = "relation \"" + statement.m_name + "\" already exists"};
    }
    json columns = json::array();
    for (const sql_column& column : statement.m_columns) {
        columns.push_back({column.m_name, column.m_type, column.m_is_key});
    }
    const json changes = json::array({json{{"create", statement.m_name}, {"columns", columns}}});
    append(m_ddl_term, changes.dump());
    apply_changes(changes.dump());
    return result_set{.m_columns = {}, .m_rows = {}, .m_tag = "CREATE TABLE"};
}

execution database::drop(const sql_statement& statement) {
    if (!m_tables.contains(statement.m_name)) {
        if (statement.m_if_exists) {
            return result_set{.m_columns = {}, .m_rows = {}, .m_tag = "DROP TABLE"};
        }
        return undefined_table(statement.m_name);
    }
    const json changes = json::array({json{{"drop", statement.m_name}}});
    append(m_ddl_term, changes.dump());
    apply_changes(changes.dump());
    return result_set{.m_columns = {}, .m_rows = {}, .m_tag = "DROP TABLE"};
}

std::optional<table_row> database::visible_row(const transaction& txn, const std::string& name,
                                               const std::string& key) const {
    const auto own_changes = txn.m_changes.find(name);
    if (own_changes != txn.m_changes.end()) {
        const auto changed = own_changes->second.find(key);
        if (changed != own_changes->second.end()) {
            return changed->second;
        }
    }
    const table& source = m_tables.at(name);
    const auto row = source.m_rows.find(key);
    return row == source.m_rows.end() ? std::nullopt : std::optional<table_row>{row->second};
}

execution database::insert(transaction& txn, const sql_statement& statement,
                           const std::vector<sql_value>& parameters) {
    const auto found = m_tables.find(statement.m_name);
    if (found == m_tables.end()) {
        return undefined_table(statement.m_name);
    }
    table& target = found->second;
    if (const auto invalid_column = check_column_names(target, statement)) {
        return *invalid_column;
    }
    std::size_t inserted = 0;
    for (const std::vector<sql_expression>& values : statement.m_rows) {
        const std::size_t expected =
            statement.m_column_names.empty() ? target.m_columns.size() : statement.m_column_names.size();
        if (values.size() != expected) {
            return sql_error{.m_sqlstate = "42601", .m_message = "INSERT has the wrong number of values"};
        }
        table_row row(target.m_columns.size());
        for (std::size_t index = 0; index < values.size(); ++index) {
            const std::size_t column =
                statement.m_column_names.empty()
                    ? index
                    : target.column_index(statement.m_column_names[index]).value_or(0);
            row[column] = evaluate(values[index], parameters);
        }
        if (target.m_key && !row[*target.m_key]) {
            return sql_error{.m_sqlstate = "23502", .m_message = "null value in the primary key"};
        }
        const std::string key =
            target.m_key ? *row[*target.m_key] : std::to_string(target.m_next_hidden_key++);
        if (!try_lock_row(txn, statement.m_name, key)) {
            return blocked{};
        }
        if (visible_row(txn, statement.m_name, key)) {
            if (statement.m_on_conflict_do_nothing) {
                continue;
            }
            return sql_error{.m_sqlstate = "23505", .m_message = "duplicate key value \"" + key + "\""};
        }
        txn.m_changes[statement.m_name][key] = std::move(row);
        ++inserted;
    }
    return result_set{.m_columns = {}, .m_rows = {}, .m_tag = "INSERT 0 " + std::to_string(inserted)};
}

std::map<std::string, table_row, key_order>
database::matching_rows(const transaction& txn, const table& source, const sql_statement& statement,
                        const std::vector<sql_value>& parameters) const {
    std::map<std::string, table_row, key_order> rows;
    const auto add_if_matching = [&](const std::string& key, const table_row& row) {
        const bool matches =
            std::all_of(statement.m_where.begin(), statement.m_where.end(), [&](const sql_condition& each) {
                return satisfies(row[*source.column_index(each.m_column)], each.m_operator,
                                 evaluate(each.m_value, parameters));
            });
        if (matches) {
            rows.emplace(key, row);
        }
    };
    for (const sql_condition& condition : statement.m_where) {
        const bool by_key = source.m_key && source.column_index(condition.m_column) == source.m_key;
        const sql_value key = evaluate(condition.m_value, parameters);
        if (by_key && condition.m_operator == "=" && key) {
            if (const auto row = visible_row(txn, statement.m_name, *key)) {
                add_if_matching(*key, *row);
            }
            return rows;
        }
    }
    const auto own_changes = txn.m_changes.find(statement.m_name);
    for (const auto& [key, row] : source.m_rows) {
        if (own_changes == txn.m_changes.end() || !own_changes->second.contains(key)) {
            add_if_matching(key, row);
        }
    }
    if (own_changes != txn.m_changes.end()) {
        for (const auto& [key, row] : own_changes->second) {
            if (row) {
                add_if_matching(key, *row);
            }
        }
    }
    return rows;
}

execution database::select(transaction& txn, const sql_statement& statement,
                           const std::vector<sql_value>& parameters) {
    const auto found = m_tables.find(statement.m_name);
    if (found == m_tables.end()) {
        return undefined_table(statement.m_name);
    }
    const table& source = found->second;
    if (const auto invalid_column = check_column_names(source, statement)) {
        return *invalid_column;
    }
    const auto rows = matching_rows(txn, source, statement, parameters);
    if (statement.m_for_update) {
        for (const auto& [key, row] : rows) {
            if (!try_lock_row(txn, statement.m_name, key)) {
                return blocked{};
            }
        }
    }
    std::vector<table_row> ordered;
    for (const auto& [key, row] : rows) {
        ordered.push_back(row);
    }
    if (!statement.m_order_by.empty()) {
        const std::size_t sort_column = *source.column_index(statement.m_order_by);
        std::stable_sort(
            ordered.begin(), ordered.end(), [&](const table_row& left, const table_row& right) {
                const int order = compare(left[sort_column].value_or(""), right[sort_column].value_or(""));
                return statement.m_descending ? order > 0 : order < 0;
            });
    }
    if (statement.m_limit && ordered.size() > static_cast<std::size_t>(*statement.m_limit)) {
        ordered.resize(static_cast<std::size_t>(*statement.m_limit));
    }
    result_set result;
    result.m_tag = "SELECT " + std::to_string(ordered.size());
    if (statement.m_column_names.front() == "count(*)") {
        result.m_columns = {{.m_name = "count", .m_type = "bigint"}};
        result.m_rows = {{std::to_string(ordered.size())}};
        result.m_tag = "SELECT 1";
        return result;
    }
    std::vector<std::size_t> selected;
    for (const std::string& name : statement.m_column_names) {
        for (std::size_t index = 0; index < source.m_columns.size(); ++index) {
            if (name == "*" || name == source.m_columns[index].m_name) {
                selected.push_back(index);
                result.m_columns.push_back(source.m_columns[index]);
            }
        }
    }
    for (const table_row& row : ordered) {
        table_row projected;
        for (const std::size_t index : selected) {
            projected.push_back(row[index]);
        }
        result.m_rows.push_back(std::move(projected));
    }
    return result;
}

execution database::update_or_delete(transaction& txn, const sql_statement& statement,
                                     const std::vector<sql_value>& parameters) {
    const auto found = m_tables.find(statement.m_name);
    if (found == m_tables.end()) {
        return undefined_table(statement.m_name);
    }
    const table& target = found->second;
    if (const auto invalid_column = check_column_names(target, statement)) {
        return *invalid_column;
    }
    const auto rows = matching_rows(txn, target, statement, parameters);
    for (const auto& [key, row] : rows) {
        if (!try_lock_row(txn, statement.m_name, key)) {
            return blocked{};
        }
    }
    const bool is_delete = statement.m_type == statement_type::delete_rows;
    for (const auto& [key, row] : rows) {
        if (is_delete) {
            txn.m_changes[statement.m_name][key] = std::nullopt;
            continue;
        }
        table_row changed = row;
        for (const sql_assignment& assignment : statement.m_assignments) {
            changed[*target.column_index(assignment.m_column)] =
                evaluate_assignment(target, row, assignment.m_value, parameters);
        }
        txn.m_changes[statement.m_name][key] = std::move(changed);
    }
    return result_set{.m_columns = {},
                      .m_rows = {},
                      .m_tag = (is_delete ? "DELETE " : "UPDATE ") + std::to_string(rows.size())};
}

bool database::try_lock_row(transaction& txn, const std::string& name, const std::string& key) {
    const std::string target = name + "/" + key;
    const auto [holder, taken] = m_locks.emplace(target, txn.m_id);
    if (!taken && holder->second != txn.m_id) {
        return false;
    }
    txn.m_locks.insert(target);
    return true;
}

void database::release_locks(transaction& txn) {
    for (const std::string& target : txn.m_locks) {
        m_locks.erase(target);
    }
    txn.m_locks.clear();
    txn.m_changes.clear();
}

void database::commit(transaction& txn, std::uint64_t term) {
    if (txn.has_changes()) {
        json changes = json::array();
        for (const auto& [name, rows] : txn.m_changes) {
            for (const auto& [key, row] : rows) {
                changes.push_back(row ? put_change(name, key, *row) : json{{"erase", name}, {"key", key}});
            }
        }
        append(term, changes.dump());
        apply_changes(m_log.back().m_changes);
    }
    release_locks(txn);
}

void database::rollback(transaction& txn) {
    release_locks(txn);
}

void database::start_term(std::uint64_t term) {
    m_ddl_term = term;
    append(term, "[]");
}

void database::append(std::uint64_t term, std::string changes) {
    m_log.push_back(
        {.m_position = {.m_term = term, .m_offset = m_log.size() + 1}, .m_changes = std::move(changes)});
    record_term_start(m_log.back());
}

void database::record_term_start(const log_entry& entry) {
    if (m_term_starts.empty() || m_term_starts.back().m_position.m_term < entry.m_position.m_term) {
        m_term_starts.push_back({.m_position = entry.m_position, .m_changes = {}});
    }
}

void database::apply(const log_entry& entry) {
    anvilmount::internal_check(entry.m_position.m_offset == m_log.size() + 1,
                               "log entries are applied in order");
    m_log.push_back(entry);
    record_term_start(entry);
    apply_changes(entry.m_changes);
}

void database::apply_changes(const std::string& changes) {
    for (const json& change : json::parse(changes)) {
        if (change.contains("create")) {
            table created;
            for (const json& column : change["columns"]) {
                created.m_columns.push_back(
                    {.m_name = column[0], .m_type = column[1], .m_is_key = column[2]});
                if (created.m_columns.back().m_is_key) {
                    created.m_key = created.m_columns.size() - 1;
                }
            }
            m_tables.emplace(change["create"], std::move(created));
        } else if (change.contains("drop")) {
            m_tables.erase(change["drop"].get<std::string>());
        } else if (change.contains("erase")) {
            m_tables[change["erase"]].m_rows.erase(change["key"].get<std::string>());
        } else {
            table_row row;
            for (const json& value : change["row"]) {
                row.push_back(value.is_null() ? sql_value{} : sql_value{value.get<std::string>()});
            }
            table& target = m_tables[change["put"]];
            target.m_rows.insert_or_assign(change["key"].get<std::string>(), std::move(row));
            target.m_next_hidden_key =
                std::max<std::uint64_t>(target.m_next_hidden_key, target.m_rows.size() + 1);
        }
    }
}

void database::clear() {
    m_tables.clear();
    m_locks.clear();
    m_log.clear();
    m_term_starts.clear();
}

log_position database::position() const {
    return m_log.empty() ? log_position{} : m_log.back().m_position;
}

}
