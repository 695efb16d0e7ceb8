/// \file sql_statement.hpp
/// Parser for the SQL subset that the stand-in upstream runs, and the statement
/// that it produces.
#pragma once

#include "anvilmount/base/failure.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standin {

using sql_value = std::optional<std::string>; ///< Unset for NULL.

enum class statement_type {
    create_table,
    drop_table,
    insert_rows,
    select_rows,
    select_values, ///< SELECT without a table.
    call,          ///< SELECT [* FROM] function(arguments).
    update_rows,
    delete_rows,
    begin,
    commit,
    rollback,
    set,
    show,
    empty,
};

/// A constant, a parameter, or a column plus or minus a constant or parameter.
struct sql_expression {
    std::string m_column;           ///< Empty for a constant or parameter alone.
    sql_value m_constant;           ///< With a column: the amount to add or subtract, if any.
    std::optional<int> m_parameter; ///< Parameter number, from 1; its value replaces m_constant.
    bool m_subtract{false};
    bool m_is_number{false};
};

struct sql_condition {
    std::string m_column;
    std::string m_operator; ///< =, <, >, <=, >=, <>
    sql_expression m_value;
};

struct sql_column {
    std::string m_name;
    std::string m_type;
    bool m_is_key{false};
};

struct sql_assignment {
    std::string m_column;
    sql_expression m_value;
};

struct sql_statement {
    statement_type m_type{statement_type::empty};
    std::string m_name;                      ///< Table, function or setting.
    bool m_if_exists{false};                 ///< IF EXISTS, or IF NOT EXISTS of create_table.
    bool m_read_only{false};                 ///< For begin: READ ONLY.
    std::vector<sql_column> m_columns;       ///< For create_table.
    std::vector<std::string> m_column_names; ///< Columns to select or insert; may hold "*" and "count(*)".
    std::vector<std::vector<sql_expression>>
        m_rows; ///< Rows to insert; for call and select_values one row of arguments or values.
    std::vector<sql_assignment> m_assignments;
    std::vector<sql_condition> m_where; ///< Joined by AND.
    std::string m_order_by;
    bool m_descending{false};
    std::optional<long> m_limit;
    bool m_for_update{false};
    bool m_on_conflict_do_nothing{false};
};

/// SQLSTATE and message of a failed statement.
struct sql_error {
    std::string m_sqlstate;
    std::string m_message;
};

template <class Value>
using sql_result = std::variant<Value, sql_error>;

/// Parses statements separated by semicolons. An empty script yields one statement
/// of type empty.
[[nodiscard]] sql_result<std::vector<sql_statement>> parse_script(std::string_view sql);

}
