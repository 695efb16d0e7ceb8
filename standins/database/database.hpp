/// \file database.hpp
/// The stand-in's data: tables, transactions with row locks, and a log with
/// terms that replicas apply. Read-committed, in memory, one thread. It knows
/// nothing of sockets or time.
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

/// Orders keys: numbers by size, other texts by letters.
struct key_order {
    bool operator()(const std::string& left, const std::string& right) const;
};

using table_row = std::vector<sql_value>;

struct table {
    std::vector<sql_column> m_columns;
    std::optional<std::size_t> m_key; ///< Column of the primary key; rows without one get a hidden number.
    std::uint64_t m_next_hidden_key{1};
    std::map<std::string, table_row, key_order> m_rows;

    [[nodiscard]] std::optional<std::size_t> column_index(const std::string& name) const;
};

struct log_entry {
    log_position m_position;
    std::string m_changes; ///< JSON list; empty list for the start of a term.
};

struct result_set {
    std::vector<sql_column> m_columns;
    std::vector<table_row> m_rows;
    std::string m_tag;
};

/// The statement needs a row that another transaction has locked; run it again
/// once some transaction has ended.
struct blocked {};

using execution = std::variant<result_set, sql_error, blocked>;

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

    /// Runs one statement that is not a call, BEGIN, COMMIT, ROLLBACK, SET or SHOW.
    [[nodiscard]] execution run(transaction& within, const sql_statement& statement,
                                const std::vector<sql_value>& parameters);

    /// Applies the changes and writes the log in `term`.
    void commit(transaction& ended, std::uint64_t term);
    void rollback(transaction& ended);

    /// Term in which CREATE and DROP are logged; they take effect at once.
    void set_term(std::uint64_t term) { m_ddl_term = term; }

    /// Marks the first entry of a term.
    void start_term(std::uint64_t term);

    /// Applies an entry of the primary's log. It must be the next one.
    void apply(const log_entry& entry);

    /// Forgets all data and the log.
    void clear();

    [[nodiscard]] log_position position() const;
    [[nodiscard]] const std::vector<log_entry>& log() const { return m_log; }

    /// First entry of each term in the log.
    [[nodiscard]] const std::vector<log_entry>& term_starts() const { return m_term_starts; }

private:
    execution create(const sql_statement& statement);
    execution drop(const sql_statement& statement);
    execution insert(transaction& within, const sql_statement& statement,
                     const std::vector<sql_value>& parameters);
    execution select(transaction& within, const sql_statement& statement,
                     const std::vector<sql_value>& parameters);
    execution update_or_delete(transaction& within, const sql_statement& statement,
                               const std::vector<sql_value>& parameters);

    [[nodiscard]] std::map<std::string, table_row, key_order>
    matching_rows(const transaction& within, const table& source, const sql_statement& statement,
                  const std::vector<sql_value>& parameters) const;
    [[nodiscard]] std::optional<table_row> visible_row(const transaction& within, const std::string& name,
                                                       const std::string& key) const;
    bool lock(transaction& within, const std::string& name, const std::string& key);
    void unlock_all(transaction& ended);
    void append(std::uint64_t term, std::string changes);
    void record_term_start(const log_entry& entry);
    void apply_changes(const std::string& changes);

    std::map<std::string, table> m_tables;
    std::map<std::string, std::uint64_t> m_locks; ///< "table/key" to transaction.
    std::vector<log_entry> m_log;                 ///< Entry i has offset i + 1.
    std::vector<log_entry> m_term_starts;
    std::uint64_t m_next_transaction{1};
    std::uint64_t m_ddl_term{0};
};

/// Returns the value of an expression without a column.
[[nodiscard]] sql_value evaluate(const sql_expression& expression,
                                 const std::vector<sql_value>& parameters);

}
