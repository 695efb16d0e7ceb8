/// \file sql_statement.hpp
/// The small SQL that the stand-in upstream runs, as a parsed statement.
#pragma once

#include "anvilmount/base/failure.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standin {

using sql_value = std::optional<std::string>; ///< Unset: NULL.

enum class statement_type {
    create_table,
    drop_table,
    insert_rows,
    select_rows,
    select_values, ///< Without a table.
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

/// A constant, a parameter, or a column with an amount added.
struct sql_expression {
    std::string m_column;           ///< Empty for a constant.
    sql_value m_constant;           ///< For a column: the amount to add, if any.
    std::optional<int> m_parameter; ///< Number from 1; its value replaces m_constant.
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
    std::string m_name; ///< Table, function or setting.
    bool m_if_exists{false};
    bool m_read_only{false};           ///< For begin.
    std::vector<sql_column> m_columns; ///< For create_table.
    std::vector<std::string>
        m_column_names; ///< Columns selected or inserted; "*" and "count(*)" as they stand.
    std::vector<std::vector<sql_expression>>
        m_rows; ///< Values to insert, or one row of arguments or values.
    std::vector<sql_assignment> m_assignments;
    std::vector<sql_condition> m_where;
    std::string m_order_by;
    bool m_descending{false};
    std::optional<long> m_limit;
    bool m_for_update{false};
    bool m_on_conflict_do_nothing{false};
};

/// A text and the SQLSTATE that says what is wrong with a statement.
struct sql_error {
    std::string m_sqlstate;
    std::string m_message;
};

template <class Value>
using sql_result = std::variant<Value, sql_error>;

/// Parses a script of statements separated by semicolons.
[[nodiscard]] sql_result<std::vector<sql_statement>> parse_script(std::string_view sql);

}
