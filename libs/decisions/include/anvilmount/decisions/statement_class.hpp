/// \file statement_class.hpp
/// Tells what a statement needs from the proxy. Only what is provably a read
/// may run on a replica; everything that cannot be proven (functions that are
/// not known to be harmless, row locks, writing CTEs, text that does not split)
/// counts as a write and goes to the primary.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace anvilmount {

enum class statement_kind {
    empty,
    read,
    write,
    begin,
    begin_read_only,
    end,               ///< COMMIT, ROLLBACK and their other spellings.
    transaction_local, ///< SAVEPOINT, SET LOCAL and others that only mean something inside a transaction.
    session_set,       ///< SET of a setting that the proxy itself keeps.
    session_show,      ///< SHOW of a setting that the proxy itself keeps.
    session_state,     ///< Would change a shared connection for its next user.
    copy,
};

/// A setting that the caller gives the proxy: `SET anvilmount.rank = 1`, a
/// startup option, or one pair in a leading comment.
struct session_assignment {
    std::string m_name; ///< Without the "anvilmount." in front.
    std::string m_value;
};

struct statement_traits {
    statement_kind m_kind{statement_kind::empty};
    std::vector<std::string> m_tables; ///< Lower-case names after FROM, JOIN, INTO and UPDATE.
    session_assignment m_assignment;   ///< For session_set; for session_show only the name.
};

/// A text that may hold several statements, as in a simple query.
struct script_traits {
    std::vector<statement_traits> m_statements; ///< Never empty.
    std::vector<session_assignment> m_hints;    ///< From a leading "/* anvilmount: name=value ... */".

    [[nodiscard]] bool contains(statement_kind kind) const;

    /// True when every statement is provably a read.
    [[nodiscard]] bool is_read_only() const;
};

[[nodiscard]] script_traits classify_script(std::string_view sql);

/// Reads "name=value" pairs separated by blanks or commas.
[[nodiscard]] std::vector<session_assignment> parse_assignments(std::string_view text);

}
