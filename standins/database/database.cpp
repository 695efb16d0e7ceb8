/// \file database.cpp
#include "database/database.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace standin {
namespace {

using nlohmann::json;

std::optional<long long> number_in(const std::string& text) {
    long long value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = !text.empty() && error == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional<long long>{value} : std::nullopt;
}

/// Negative, zero or positive, as numbers where both are numbers.
int compare(const std::string& left, const std::string& right) {
    const auto left_number = number_in(left);
    const auto right_number = number_in(right);
    if (left_number && right_number) {
        return *left_number < *right_number ? -1 : *left_number > *right_number ? 1 : 0;
    }
    return left.compare(right);
}

bool holds(const sql_value& left, const std::string& comparison, const sql_value& right) {
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

sql_error no_table(const std::string& name) {
    return {.m_sqlstate = "42P01", .m_message = "relation \"" + name + "\" does not exist"};
}

sql_error no_column(const std::string& name) {
    return {.m_sqlstate = "42703", .m_message = "column \"" + name + "\" does not exist"};
}

/// Returns what is wrong with the statement's column names, if anything.
std::optional<sql_error> unknown_column(const table& source, const sql_statement& statement) {
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
            return no_column(name);
        }
    }
    return std::nullopt;
}

sql_value assigned(const table& source, const table_row& row, const sql_expression& expression,
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
    const long long amount = number_in(*constant).value_or(0);
    return std::to_string(number_in(*base).value_or(0) + (expression.m_subtract ? -amount : amount));
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

execution database::run(transaction& within, const sql_statement& statement,
                        const std::vector<sql_value>& parameters) {
    switch (statement.m_type) {
    case statement_type::create_table:
        return create(statement);
    case statement_type::drop_table:
        return drop(statement);
    case statement_type::insert_rows:
        return insert(within, statement, parameters);
    case statement_type::select_rows:
        return select(within, statement, parameters);
    case statement_type::update_rows:
    case statement_type::delete_rows:
        return update_or_delete(within, statement, parameters);
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
        return no_table(statement.m_name);
    }
    const json changes = json::array({json{{"drop", statement.m_name}}});
    append(m_ddl_term, changes.dump());
    apply_changes(changes.dump());
    return result_set{.m_columns = {}, .m_rows = {}, .m_tag = "DROP TABLE"};
}

std::optional<table_row> database::visible_row(const transaction& within, const std::string& name,
                                               const std::string& key) const {
    const auto own = within.m_changes.find(name);
    if (own != within.m_changes.end()) {
        const auto changed = own->second.find(key);
        if (changed != own->second.end()) {
            return changed->second;
        }
    }
    const table& source = m_tables.at(name);
    const auto row = source.m_rows.find(key);
    return row == source.m_rows.end() ? std::nullopt : std::optional<table_row>{row->second};
}

execution database::insert(transaction& within, const sql_statement& statement,
                           const std::vector<sql_value>& parameters) {
    const auto found = m_tables.find(statement.m_name);
    if (found == m_tables.end()) {
        return no_table(statement.m_name);
    }
    table& target = found->second;
    if (const auto fault = unknown_column(target, statement)) {
        return *fault;
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
        if (!lock(within, statement.m_name, key)) {
            return blocked{};
        }
        if (visible_row(within, statement.m_name, key)) {
            if (statement.m_on_conflict_do_nothing) {
                continue;
            }
            return sql_error{.m_sqlstate = "23505", .m_message = "duplicate key value \"" + key + "\""};
        }
        within.m_changes[statement.m_name][key] = std::move(row);
        ++inserted;
    }
    return result_set{.m_columns = {}, .m_rows = {}, .m_tag = "INSERT 0 " + std::to_string(inserted)};
}

std::map<std::string, table_row, key_order>
database::matching_rows(const transaction& within, const table& source, const sql_statement& statement,
                        const std::vector<sql_value>& parameters) const {
    std::map<std::string, table_row, key_order> rows;
    const auto consider = [&](const std::string& key, const table_row& row) {
        const bool fits =
            std::all_of(statement.m_where.begin(), statement.m_where.end(), [&](const sql_condition& each) {
                return holds(row[*source.column_index(each.m_column)], each.m_operator,
                             evaluate(each.m_value, parameters));
            });
        if (fits) {
            rows.emplace(key, row);
        }
    };
    for (const sql_condition& condition : statement.m_where) {
        const bool by_key = source.m_key && source.column_index(condition.m_column) == source.m_key;
        const sql_value key = evaluate(condition.m_value, parameters);
        if (by_key && condition.m_operator == "=" && key) {
            if (const auto row = visible_row(within, statement.m_name, *key)) {
                consider(*key, *row);
            }
            return rows;
        }
    }
    const auto own = within.m_changes.find(statement.m_name);
    for (const auto& [key, row] : source.m_rows) {
        if (own == within.m_changes.end() || !own->second.contains(key)) {
            consider(key, row);
        }
    }
    if (own != within.m_changes.end()) {
        for (const auto& [key, row] : own->second) {
            if (row) {
                consider(key, *row);
            }
        }
    }
    return rows;
}

execution database::select(transaction& within, const sql_statement& statement,
                           const std::vector<sql_value>& parameters) {
    const auto found = m_tables.find(statement.m_name);
    if (found == m_tables.end()) {
        return no_table(statement.m_name);
    }
    const table& source = found->second;
    if (const auto fault = unknown_column(source, statement)) {
        return *fault;
    }
    const auto rows = matching_rows(within, source, statement, parameters);
    if (statement.m_for_update) {
        for (const auto& [key, row] : rows) {
            if (!lock(within, statement.m_name, key)) {
                return blocked{};
            }
        }
    }
    std::vector<table_row> ordered;
    for (const auto& [key, row] : rows) {
        ordered.push_back(row);
    }
    if (!statement.m_order_by.empty()) {
        const std::size_t by = *source.column_index(statement.m_order_by);
        std::stable_sort(ordered.begin(), ordered.end(),
                         [&](const table_row& left, const table_row& right) {
                             const int order = compare(left[by].value_or(""), right[by].value_or(""));
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
    std::vector<std::size_t> shown;
    for (const std::string& name : statement.m_column_names) {
        for (std::size_t index = 0; index < source.m_columns.size(); ++index) {
            if (name == "*" || name == source.m_columns[index].m_name) {
                shown.push_back(index);
                result.m_columns.push_back(source.m_columns[index]);
            }
        }
    }
    for (const table_row& row : ordered) {
        table_row picked;
        for (const std::size_t index : shown) {
            picked.push_back(row[index]);
        }
        result.m_rows.push_back(std::move(picked));
    }
    return result;
}

execution database::update_or_delete(transaction& within, const sql_statement& statement,
                                     const std::vector<sql_value>& parameters) {
    const auto found = m_tables.find(statement.m_name);
    if (found == m_tables.end()) {
        return no_table(statement.m_name);
    }
    const table& target = found->second;
    if (const auto fault = unknown_column(target, statement)) {
        return *fault;
    }
    const auto rows = matching_rows(within, target, statement, parameters);
    for (const auto& [key, row] : rows) {
        if (!lock(within, statement.m_name, key)) {
            return blocked{};
        }
    }
    const bool erase = statement.m_type == statement_type::delete_rows;
    for (const auto& [key, row] : rows) {
        if (erase) {
            within.m_changes[statement.m_name][key] = std::nullopt;
            continue;
        }
        table_row changed = row;
        for (const sql_assignment& assignment : statement.m_assignments) {
            changed[*target.column_index(assignment.m_column)] =
                assigned(target, row, assignment.m_value, parameters);
        }
        within.m_changes[statement.m_name][key] = std::move(changed);
    }
    return result_set{.m_columns = {},
                      .m_rows = {},
                      .m_tag = (erase ? "DELETE " : "UPDATE ") + std::to_string(rows.size())};
}

bool database::lock(transaction& within, const std::string& name, const std::string& key) {
    const std::string target = name + "/" + key;
    const auto [holder, taken] = m_locks.emplace(target, within.m_id);
    if (!taken && holder->second != within.m_id) {
        return false;
    }
    within.m_locks.insert(target);
    return true;
}

void database::unlock_all(transaction& ended) {
    for (const std::string& target : ended.m_locks) {
        m_locks.erase(target);
    }
    ended.m_locks.clear();
    ended.m_changes.clear();
}

void database::commit(transaction& ended, std::uint64_t term) {
    if (ended.has_changes()) {
        json changes = json::array();
        for (const auto& [name, rows] : ended.m_changes) {
            for (const auto& [key, row] : rows) {
                changes.push_back(row ? put_change(name, key, *row) : json{{"erase", name}, {"key", key}});
            }
        }
        append(term, changes.dump());
        apply_changes(m_log.back().m_changes);
    }
    unlock_all(ended);
}

void database::rollback(transaction& ended) {
    unlock_all(ended);
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
