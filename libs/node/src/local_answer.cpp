/// \file local_answer.cpp
/// Implements answer_locally() for the simple and the extended protocol.
#include "local_answer.hpp"

#include "anvilmount/wire/pg_messages.hpp"

namespace anvilmount {
namespace {

/// Executes the messages of a batch in order and collects the reply that an upstream would send.
class local_executor {
public:
    local_executor(session_settings& settings, char status) : m_settings(settings), m_status(status) {}

    void handle_message(const caller_batch::entry& entry) {
        if (m_answer.m_skip_to_sync && entry.m_type != 'S') {
            return;
        }
        switch (entry.m_type) {
        case 'Q':
            execute_script(*entry.m_traits);
            append_ready_for_query(m_answer.m_bytes, m_status);
            break;
        case 'P':
            m_bound = entry.m_traits;
            append_empty_message(m_answer.m_bytes, '1');
            break;
        case 'B':
            m_bound = entry.m_traits;
            append_empty_message(m_answer.m_bytes, '2');
            break;
        case 'C':
            append_empty_message(m_answer.m_bytes, '3');
            break;
        case 'D':
            describe(entry.m_describes_statement);
            break;
        case 'E':
            m_answer.m_skip_to_sync = m_bound && !execute(m_bound->m_statements.front(), false);
            break;
        case 'S':
            m_answer.m_skip_to_sync = false;
            append_ready_for_query(m_answer.m_bytes, m_status);
            break;
        default:
            break;
        }
    }

    local_answer finish() { return std::move(m_answer); }

private:
    void execute_script(const script_traits& script) {
        for (const statement_traits& statement : script.m_statements) {
            if (!execute(statement, true)) {
                return;
            }
        }
    }

    void describe(bool describes_statement) {
        if (describes_statement) {
            pg_message_writer(m_answer.m_bytes, 't').int16(0);
        }
        if (m_bound && m_bound->contains(statement_kind::session_show)) {
            append_columns(m_bound->m_statements.front());
        } else {
            append_empty_message(m_answer.m_bytes, 'n');
        }
    }

    void append_columns(const statement_traits& statement) {
        const std::vector<pg_column> columns{{.m_name = statement.m_assignment.m_name}};
        append_row_description(m_answer.m_bytes, columns);
    }

    /// Executes one statement; returns false after an error. `with_columns` is false for
    /// Execute, whose column description is sent in reply to Describe.
    bool execute(const statement_traits& statement, bool with_columns) {
        if (statement.m_kind == statement_kind::empty) {
            append_empty_message(m_answer.m_bytes, 'I');
            return true;
        }
        if (statement.m_kind == statement_kind::session_set) {
            const auto refused = failure_of([&] { return m_settings.apply(statement.m_assignment); });
            if (refused) {
                append_failure(m_answer.m_bytes, *refused);
                return false;
            }
            append_command_complete(m_answer.m_bytes, "SET");
            return true;
        }
        const auto value = value_or_failure([&] { return m_settings.show(statement.m_assignment.m_name); });
        if (const auto* refused = std::get_if<failure>(&value)) {
            append_failure(m_answer.m_bytes, *refused);
            return false;
        }
        if (with_columns) {
            append_columns(statement);
        }
        const std::vector<std::optional<std::string>> row{std::get<std::string>(value)};
        append_data_row(m_answer.m_bytes, row);
        append_command_complete(m_answer.m_bytes, "SHOW");
        return true;
    }

    session_settings& m_settings;
    char m_status;
    local_answer m_answer;
    std::shared_ptr<const script_traits> m_bound; ///< The statement that Describe and Execute refer to.
};

}

local_answer answer_locally(const caller_batch& batch, session_settings& settings, char status) {
    local_executor executor(settings, status);
    for (const caller_batch::entry& entry : batch.entries()) {
        executor.handle_message(entry);
    }
    return executor.finish();
}

}
