/// \file pg_session.hpp
/// A blocking libpq connection for tests and the load driver.
#pragma once

#include <libpq-fe.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace standin {

/// What came back for one statement.
struct pg_answer {
    bool m_good{false};
    std::string m_sqlstate;
    std::string m_error;
    std::string m_tag;
    std::vector<std::vector<std::string>> m_rows;

    /// First value of the first row, or an empty text.
    [[nodiscard]] std::string value() const {
        return m_rows.empty() ? std::string() : m_rows.front().front();
    }

    /// Number of the product's result code at the head of an error, or 0.
    [[nodiscard]] int code() const;
};

class pg_session {
public:
    /// `address` is IP:PORT; `options` goes into the startup packet.
    pg_session(const std::string& address, const std::string& database, const std::string& options = {},
               const std::string& application = "load");

    [[nodiscard]] bool is_connected() const { return PQstatus(m_connection.get()) == CONNECTION_OK; }
    [[nodiscard]] std::string connect_error() const { return PQerrorMessage(m_connection.get()); }

    /// Simple protocol; the answer to the last statement of a script.
    pg_answer run(const std::string& sql);

    /// Extended protocol with text parameters.
    pg_answer run(const std::string& sql, const std::vector<std::string>& parameters);

    pg_answer prepare(const std::string& name, const std::string& sql);
    pg_answer run_prepared(const std::string& name, const std::vector<std::string>& parameters);

    /// The session token as last reported.
    [[nodiscard]] std::string token() const;
    [[nodiscard]] PGconn* native() { return m_connection.get(); }

    /// What the server said outside of any answer.
    [[nodiscard]] const std::string& notices() const { return *m_notices; }

private:
    struct connection_deleter {
        void operator()(PGconn* connection) const { PQfinish(connection); }
    };
    std::unique_ptr<std::string> m_notices{
        std::make_unique<std::string>()}; ///< At a fixed address, for libpq.
    std::unique_ptr<PGconn, connection_deleter> m_connection;
};

}
