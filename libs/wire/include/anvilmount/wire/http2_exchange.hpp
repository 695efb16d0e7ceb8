/// \file http2_exchange.hpp
/// One HTTP/2 request with its whole answer, for the platform's services and
/// for operators: small bodies, a timeout, no streaming.
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

/// A client that keeps one connection and opens it again after a failure.
class http2_client {
public:
    /// An answer, or platform_unavailable (1401) when none came in time: the
    /// request may have taken effect all the same.
    using response_handler = std::function<void(std::variant<http2_response, failure>)>;

    http2_client(reactor& loop, endpoint server) : m_reactor(loop), m_server(std::move(server)) {}

    void send(const http2_request& request, milliseconds timeout, response_handler on_answer);

private:
    reactor& m_reactor;
    endpoint m_server;
    std::shared_ptr<http2_connection> m_connection;
};

/// Collects a server-side stream's request, calls `serve` with it, and sends
/// what `serve` gives to its second argument, which may be called later.
using response_sender = std::function<void(http2_response)>;
void serve_request(const std::shared_ptr<http2_stream>& stream,
                   std::function<void(http2_request, response_sender)> serve);

}
