/// \file statement_class.hpp
/// Classifies SQL statements for routing. A statement may run on a replica only
/// when it provably reads. Any other statement counts as a write and goes to the
/// primary, including statements with functions not known to be read-only, row
/// locks or data-modifying CTEs, and text that cannot be tokenized.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace anvilmount {

/// How the proxy treats a statement.
enum class statement_kind {
    empty,
    read,  ///< Provably writes nothing.
    write, ///< Everything not provably of another kind.
    begin,
    begin_read_only,
    end,               ///< COMMIT, ROLLBACK, END or ABORT.
    transaction_local, ///< SAVEPOINT, SET LOCAL and others that have effect only inside a transaction.
    session_set,       ///< SET of a setting that the proxy keeps.
    session_show,      ///< SHOW of a setting that the proxy keeps.
    session_state,     ///< Would leave state on a shared connection.
    copy,
};

/// A setting that the caller makes for its session or statement: by `SET
/// anvilmount.rank = 1`, a startup option, or a name=value pair in a leading comment.
struct session_assignment {
    std::string m_name; ///< Without the prefix "anvilmount.".
    std::string m_value;
};

/// The properties of one statement.
struct statement_traits {
    statement_kind m_kind{statement_kind::empty};
    std::vector<std::string> m_tables; ///< Lower-case names after FROM, JOIN, INTO and UPDATE.
    session_assignment m_assignment;   ///< Set for session_set; for session_show only the name.
};

/// The statements of one SQL text; a simple query may have several.
struct script_traits {
    std::vector<statement_traits> m_statements; ///< Never empty.
    std::vector<session_assignment> m_hints;    ///< From a leading "/* anvilmount: name=value ... */".

    /// True when at least one statement is of this kind.
    [[nodiscard]] bool contains(statement_kind kind) const;

    /// True when every statement is provably a read, or empty.
    [[nodiscard]] bool is_read_only() const;
};

/// Classifies each statement of an SQL text.
[[nodiscard]] script_traits classify_script(std::string_view sql);

/// Parses "name=value" pairs separated by whitespace or commas; other text is ignored.
[[nodiscard]] std::vector<session_assignment> parse_assignments(std::string_view text);

}
