/// \file http2_server.hpp
/// Accepts HTTP/2 connections on one address and hands each request's stream
/// to one handler. Keeps the connections until they close.
#pragma once

#include "anvilmount/wire/http2_connection.hpp"
#include "anvilmount/wire/tcp_listener.hpp"

#include <memory>
#include <set>

namespace anvilmount {

class http2_server {
public:
    using request_handler = std::function<void(const std::shared_ptr<http2_stream>&)>;

    /// Errors: listen_failed (1603).
    [[nodiscard]] static result<std::unique_ptr<http2_server>> listen(reactor& loop, const endpoint& where,
                                                                      request_handler on_request);

    [[nodiscard]] const endpoint& address() const { return m_address; }
    [[nodiscard]] std::size_t connection_count() const { return m_connections.size(); }

    /// Takes no new connections or streams; streams that exist go on.
    void stop_accepting();

private:
    http2_server(reactor& loop, request_handler on_request)
        : m_reactor(loop), m_on_request(std::move(on_request)) {}

    void accept(int fd);

    reactor& m_reactor;
    request_handler m_on_request;
    std::unique_ptr<tcp_listener> m_listener;
    std::set<std::shared_ptr<http2_connection>> m_connections;
    endpoint m_address;
};

}
