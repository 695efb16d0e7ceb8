/// \file upstream_session.hpp
/// One connection to the stand-in upstream: the server side of the PostgreSQL v3
/// protocol with simple and extended queries, transactions and cancellation. Messages
/// are processed in order; a statement that waits delays those behind it.
#pragma once

#include "upstream/upstream_server.hpp"

#include "anvilmount/wire/pg_framing.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

namespace standin {

class upstream_session : public std::enable_shared_from_this<upstream_session> {
public:
    upstream_session(upstream_server& server, std::uint32_t process, bool is_over_limit);

    void start(int fd);
    void cancel();
    [[nodiscard]] const anvilmount::backend_key& key() const { return m_key; }

private:
    enum class stage { startup, connecting, open, closed };

    struct prepared_statement {
        std::vector<sql_statement> m_statements; ///< At most one.
        std::vector<std::int32_t> m_parameter_types;
    };

    struct portal {
        prepared_statement m_source;
        std::vector<sql_value> m_parameters;
    };

    using statement_done = std::function<void(std::variant<result_set, sql_error>)>;

    void on_bytes(std::string_view bytes);
    void process_input();
    bool process_startup();
    void finish_connecting();
    void handle_message(const anvilmount::pg_message& message);
    void simple_query(std::string_view sql);
    void run_script_from(std::shared_ptr<std::vector<sql_statement>> script, std::size_t index);
    void parse(anvilmount::pg_body_reader body);
    void bind(anvilmount::pg_body_reader body);
    void describe(anvilmount::pg_body_reader body);
    void execute(anvilmount::pg_body_reader body);
    void close_named(anvilmount::pg_body_reader body);
    void sync();

    void run(const sql_statement& statement, std::vector<sql_value> parameters, statement_done done);
    void run_in_slot(const sql_statement& statement, const std::vector<sql_value>& parameters,
                     const statement_done& done);
    /// Executes a statement that has had its service time. Waits for a row lock or for
    /// held writes if it must, and then executes the statement again.
    void finish_statement(const sql_statement& statement, const std::vector<sql_value>& parameters,
                          const statement_done& done);
    std::variant<result_set, sql_error> control_transaction(const sql_statement& statement);
    std::variant<result_set, sql_error> call(const sql_statement& statement,
                                             const std::vector<sql_value>& parameters);
    void end_transaction(bool commit);
    [[nodiscard]] std::vector<sql_column> columns_of(const prepared_statement& source,
                                                     const std::vector<sql_value>& parameters);

    void fail_extended_query(const sql_error& error);
    void append_sql_error(const sql_error& error);
    void append_result(const result_set& result, bool with_description);
    void send_ready();
    void close();

    upstream_server& m_server;
    anvilmount::backend_key m_key;
    bool m_is_over_limit; ///< The connection limit is reached; the startup is refused.
    stage m_stage{stage::startup};
    std::shared_ptr<anvilmount::tcp_stream> m_stream;
    anvilmount::pg_message_buffer m_input;
    std::string m_output;
    std::map<std::string, prepared_statement> m_prepared;
    std::map<std::string, portal> m_portals;
    std::optional<transaction> m_transaction;
    bool m_in_transaction_block{false}; ///< Between BEGIN and COMMIT.
    bool m_transaction_failed{false};
    bool m_skipping_until_sync{false}; ///< Messages are skipped after an error.
    bool m_busy{false};                ///< A statement runs or waits for a slot, a lock or held writes.
    bool m_cancelled{false};
    bool m_lock_timed_out{false};
    std::string m_reported_position;
    bool m_is_follower{false}; ///< Connection of a replica; gets no position reports.
};

}
