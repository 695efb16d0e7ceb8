/// \file database.hpp
/// In-memory database of the stand-in upstream: tables, read-committed
/// transactions with row locks, and a replication log with terms that replicas
/// apply. Single-threaded; uses neither sockets nor clocks.
#pragma once

#include "database/sql_statement.hpp"

#include "anvilmount/base/log_position.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace standin {

using anvilmount::log_position;

/// Orders keys numerically if both are integers, otherwise as text.
struct key_order {
    bool operator()(const std::string& left, const std::string& right) const;
};

using table_row = std::vector<sql_value>;

struct table {
    std::vector<sql_column> m_columns;
    std::optional<std::size_t> m_key; ///< Primary key column; rows without one get a hidden number.
    std::uint64_t m_next_hidden_key{1};
    std::map<std::string, table_row, key_order> m_rows;

    [[nodiscard]] std::optional<std::size_t> column_index(const std::string& name) const;
};

struct log_entry {
    log_position m_position;
    std::string m_changes; ///< JSON list of changes; empty in the entry that starts a term.
};

struct result_set {
    std::vector<sql_column> m_columns;
    std::vector<table_row> m_rows;
    std::string m_tag; ///< Command tag of the reply.
};

/// Outcome of a statement that needs a row lock held by another transaction; run
/// the statement again after a transaction has ended.
struct blocked {};

using execution = std::variant<result_set, sql_error, blocked>;

/// Uncommitted changes and row locks of one transaction.
class transaction {
public:
    explicit transaction(std::uint64_t id) : m_id(id) {}
    [[nodiscard]] bool has_changes() const { return !m_changes.empty(); }

private:
    friend class database;

    std::uint64_t m_id;
    std::map<std::string, std::map<std::string, std::optional<table_row>, key_order>> m_changes;
    std::set<std::string> m_locks;
};

class database {
public:
    [[nodiscard]] transaction begin() { return transaction(m_next_transaction++); }

    /// Runs a CREATE TABLE, DROP TABLE, INSERT, UPDATE, DELETE or SELECT from a table.
    /// Returns an error for any other statement.
    [[nodiscard]] execution run(transaction& txn, const sql_statement& statement,
                                const std::vector<sql_value>& parameters);

    /// Appends the transaction's changes to the log in `term`, applies them and
    /// releases its row locks.
    void commit(transaction& txn, std::uint64_t term);
    void rollback(transaction& txn);

    /// Sets the term in which CREATE and DROP are logged. Both take effect at once,
    /// not at commit.
    void set_term(std::uint64_t term) { m_ddl_term = term; }

    /// Appends the entry that starts a term.
    void start_term(std::uint64_t term);

    /// Applies an entry of the primary's log. Its offset must directly follow the last entry's.
    void apply(const log_entry& entry);

    /// Removes all tables, row locks and log entries.
    void clear();

    [[nodiscard]] log_position position() const;
    [[nodiscard]] const std::vector<log_entry>& log() const { return m_log; }

    /// Returns the first entry of each term in the log, without its changes.
    [[nodiscard]] const std::vector<log_entry>& term_starts() const { return m_term_starts; }

private:
    execution create(const sql_statement& statement);
    execution drop(const sql_statement& statement);
    execution insert(transaction& txn, const sql_statement& statement,
                     const std::vector<sql_value>& parameters);
    execution select(transaction& txn, const sql_statement& statement,
                     const std::vector<sql_value>& parameters);
    execution update_or_delete(transaction& txn, const sql_statement& statement,
                               const std::vector<sql_value>& parameters);

    [[nodiscard]] std::map<std::string, table_row, key_order>
    matching_rows(const transaction& txn, const table& source, const sql_statement& statement,
                  const std::vector<sql_value>& parameters) const;
    [[nodiscard]] std::optional<table_row> visible_row(const transaction& txn, const std::string& name,
                                                       const std::string& key) const;
    bool try_lock_row(transaction& txn, const std::string& name, const std::string& key);
    void release_locks(transaction& txn);
    void append(std::uint64_t term, std::string changes);
    void record_term_start(const log_entry& entry);
    void apply_changes(const std::string& changes);

    std::map<std::string, table> m_tables;
    std::map<std::string, std::uint64_t> m_locks; ///< "table/key" to transaction id.
    std::vector<log_entry> m_log;                 ///< The entry at index i has offset i + 1.
    std::vector<log_entry> m_term_starts;
    std::uint64_t m_next_transaction{1};
    std::uint64_t m_ddl_term{0};
};

/// Returns the expression's parameter or constant. A column in it is not evaluated.
[[nodiscard]] sql_value evaluate(const sql_expression& expression,
                                 const std::vector<sql_value>& parameters);

}
