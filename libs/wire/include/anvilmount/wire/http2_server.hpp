/// \file http2_server.hpp
/// Accepts HTTP/2 connections on one address and passes the stream of each request to a handler. Owns
/// the connections until they close.
#pragma once

#include "anvilmount/wire/http2_connection.hpp"
#include "anvilmount/wire/tcp_listener.hpp"

#include <memory>
#include <set>

namespace anvilmount {

/// A listening HTTP/2 server. Belongs to the thread of its reactor.
class http2_server {
public:
    using request_handler = std::function<void(const std::shared_ptr<http2_stream>&)>;

    /// Starts listening. Errors: listen_failed (1603).
    [[nodiscard]] static result<std::unique_ptr<http2_server>> listen(reactor& loop, const endpoint& where,
                                                                      request_handler on_request);

    [[nodiscard]] const endpoint& address() const { return m_address; }
    [[nodiscard]] std::size_t connection_count() const { return m_connections.size(); }

    /// Closes the listener and sends GOAWAY on each connection. Open streams continue.
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
