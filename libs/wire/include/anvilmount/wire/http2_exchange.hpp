/// \file http2_exchange.hpp
/// HTTP/2 requests with complete, buffered responses, for the platform's services, operators and peers.
/// Use this for small bodies with a timeout; use http2_connection for streaming.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/wire/http2_connection.hpp"

#include <functional>
#include <string>
#include <variant>

namespace anvilmount {

struct http2_request {
    std::string m_method{"GET"};
    std::string m_path;
    std::string m_body{};
};

struct http2_response {
    int m_status{0};
    std::string m_body;
};

/// Sends requests to one server over a single connection, and reconnects after a failure.
class http2_client {
public:
    /// Receives the response, or platform_unavailable (1401) when the connection broke or the timeout
    /// expired; the request may have taken effect nevertheless.
    using response_handler = std::function<void(std::variant<http2_response, failure>)>;

    http2_client(reactor& loop, endpoint server) : m_reactor(loop), m_server(std::move(server)) {}

    void send(const http2_request& request, milliseconds timeout, response_handler on_response);

private:
    reactor& m_reactor;
    endpoint m_server;
    std::shared_ptr<http2_connection> m_connection;
};

/// Sends the response to a request. May be called after the request handler has returned, from the same
/// thread; does nothing when the stream is gone.
using response_sender = std::function<void(http2_response)>;

/// Reads the whole request from a server-side stream, then calls `serve` with it and with the function
/// that sends the response. Resets the stream when the body exceeds 16 MiB.
void serve_request(const std::shared_ptr<http2_stream>& stream,
                   std::function<void(http2_request, response_sender)> serve);

}
