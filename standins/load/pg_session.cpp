/// \file pg_session.cpp
/// Wraps libpq's blocking calls and copies each PGresult into a pg_answer.
#include "load/pg_session.hpp"

#include <poll.h>

#include <cerrno>
#include <cstdlib>

namespace standin {
namespace {

pg_answer answer_from(PGresult* result) {
    pg_answer answer;
    const ExecStatusType status = PQresultStatus(result);
    answer.m_good = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK || status == PGRES_EMPTY_QUERY;
    const char* tag = result != nullptr ? PQcmdStatus(result) : nullptr;
    answer.m_tag = tag != nullptr ? tag : "";
    if (!answer.m_good) {
        const char* state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        const char* text = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
        answer.m_sqlstate = state != nullptr ? state : "";
        answer.m_error = text != nullptr ? text : PQresultErrorMessage(result);
    }
    for (int row = 0; row < PQntuples(result); ++row) {
        std::vector<std::string> values;
        for (int column = 0; column < PQnfields(result); ++column) {
            values.emplace_back(PQgetvalue(result, row, column));
        }
        answer.m_rows.push_back(std::move(values));
    }
    PQclear(result);
    return answer;
}

/// Waits until the connection is open or has failed. Unlike with PQconnectdbParams(), the notice processor
/// also gets an error that arrives right after the session has begun.
void complete_connection(PGconn* connection) {
    constexpr int timeout_ms = 10000;
    if (PQstatus(connection) == CONNECTION_BAD) {
        return;
    }
    PostgresPollingStatusType next = PGRES_POLLING_WRITING;
    while (next == PGRES_POLLING_WRITING || next == PGRES_POLLING_READING) {
        const short events = next == PGRES_POLLING_READING ? POLLIN : POLLOUT;
        pollfd waiting{.fd = PQsocket(connection), .events = events, .revents = 0};
        const int ready = poll(&waiting, 1, timeout_ms);
        if (ready == 0 || (ready < 0 && errno != EINTR)) {
            return; // PQstatus() is not CONNECTION_OK.
        }
        next = PQconnectPoll(connection);
    }
}

std::vector<const char*> pointers(const std::vector<std::string>& texts) {
    std::vector<const char*> list;
    for (const std::string& text : texts) {
        list.push_back(text.c_str());
    }
    return list;
}

}

int pg_answer::code() const {
    return std::atoi(m_error.c_str());
}

pg_session::pg_session(const std::string& address, const std::string& database, const std::string& options,
                       const std::string& application) {
    const std::size_t colon = address.find(':');
    const std::string host = address.substr(0, colon);
    const std::string port = address.substr(colon + 1);
    const char* names[] = {"hostaddr",         "port",    "dbname",     "user", "options",
                           "application_name", "sslmode", "gssencmode", nullptr};
    const char* values[] = {host.c_str(),        port.c_str(), database.c_str(), "load", options.c_str(),
                            application.c_str(), "disable",    "disable",        nullptr};
    m_connection.reset(PQconnectStartParams(names, values, 0));
    PQsetNoticeProcessor(
        m_connection.get(),
        [](void* into, const char* text) { static_cast<std::string*>(into)->append(text); },
        m_notices.get());
    complete_connection(m_connection.get());
}

pg_answer pg_session::run(const std::string& sql) {
    return answer_from(PQexec(m_connection.get(), sql.c_str()));
}

pg_answer pg_session::run(const std::string& sql, const std::vector<std::string>& parameters) {
    const auto values = pointers(parameters);
    return answer_from(PQexecParams(m_connection.get(), sql.c_str(), static_cast<int>(values.size()),
                                    nullptr, values.data(), nullptr, nullptr, 0));
}

pg_answer pg_session::prepare(const std::string& name, const std::string& sql) {
    return answer_from(PQprepare(m_connection.get(), name.c_str(), sql.c_str(), 0, nullptr));
}

pg_answer pg_session::run_prepared(const std::string& name, const std::vector<std::string>& parameters) {
    const auto values = pointers(parameters);
    return answer_from(PQexecPrepared(m_connection.get(), name.c_str(), static_cast<int>(values.size()),
                                      values.data(), nullptr, nullptr, 0));
}

std::string pg_session::token() const {
    const char* token = PQparameterStatus(m_connection.get(), "anvilmount.session_token");
    return token != nullptr ? token : "";
}

}
