/// \file pg_session.hpp
/// A blocking libpq connection for tests and the load driver.
#pragma once

#include <libpq-fe.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace standin {

/// Result of one statement.
struct pg_answer {
    bool m_good{false}; ///< The statement succeeded.
    std::string m_sqlstate;
    std::string m_error;
    std::string m_tag;
    std::vector<std::vector<std::string>> m_rows;

    /// Returns the first value of the first row, or an empty string.
    [[nodiscard]] std::string value() const {
        return m_rows.empty() ? std::string() : m_rows.front().front();
    }

    /// Returns the proxy's result code at the start of the error message, or 0.
    [[nodiscard]] int code() const;
};

class pg_session {
public:
    /// `address` is IP:PORT; `options` goes into the startup packet.
    pg_session(const std::string& address, const std::string& database, const std::string& options = {},
               const std::string& application = "load");

    [[nodiscard]] bool is_connected() const { return PQstatus(m_connection.get()) == CONNECTION_OK; }
    [[nodiscard]] std::string connect_error() const { return PQerrorMessage(m_connection.get()); }

    /// Runs a script over the simple protocol and returns the answer to its last statement.
    pg_answer run(const std::string& sql);

    /// Runs a statement over the extended protocol, with text parameters.
    pg_answer run(const std::string& sql, const std::vector<std::string>& parameters);

    pg_answer prepare(const std::string& name, const std::string& sql);
    pg_answer run_prepared(const std::string& name, const std::vector<std::string>& parameters);

    /// Returns the session token that the server reported last, or an empty string.
    [[nodiscard]] std::string token() const;
    [[nodiscard]] PGconn* native() { return m_connection.get(); }

    /// Returns all notices of the server, concatenated.
    [[nodiscard]] const std::string& notices() const { return *m_notices; }

private:
    struct connection_deleter {
        void operator()(PGconn* connection) const { PQfinish(connection); }
    };
    std::unique_ptr<std::string> m_notices{
        std::make_unique<std::string>()}; ///< On the heap because libpq keeps its address.
    std::unique_ptr<PGconn, connection_deleter> m_connection;
};

}
