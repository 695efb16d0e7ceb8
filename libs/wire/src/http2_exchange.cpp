/// \file http2_exchange.cpp
/// Collects requests and responses from the stream callbacks and enforces the timeout.
#include "anvilmount/wire/http2_exchange.hpp"

namespace anvilmount {
namespace {

constexpr std::size_t max_body_size = std::size_t{16} * 1024 * 1024;

/// A request in flight. The first of response, disconnect and timeout completes it; later ones are ignored.
struct exchange {
    http2_client::response_handler m_on_response;
    http2_response m_response;
    reactor* m_reactor{nullptr};
    reactor::timer_id m_timer{};
    bool m_completed{false};

    void complete(std::variant<http2_response, failure> outcome) {
        if (m_completed) {
            return;
        }
        m_completed = true;
        m_reactor->cancel(m_timer);
        m_on_response(std::move(outcome));
    }
};

failure no_response(const std::string& why) {
    return {.m_code = result_code::platform_unavailable, .m_message = why};
}

}

void http2_client::send(const http2_request& request, milliseconds timeout, response_handler on_response) {
    if (!m_connection || !m_connection->is_open()) {
        m_connection = http2_connection::connect(m_reactor, m_server, {});
    }
    const auto state = std::make_shared<exchange>();
    state->m_on_response = std::move(on_response);
    state->m_reactor = &m_reactor;
    const http2_stream::handlers callbacks{
        .m_on_head = [state](const http2_head& head) { state->m_response.m_status = head.m_status; },
        .m_on_data = [state](std::string_view bytes) { state->m_response.m_body.append(bytes); },
        .m_on_end = [state] { state->complete(state->m_response); },
        .m_on_closed =
            [state](stream_end) { state->complete(no_response("the connection to the platform broke")); }};
    const auto stream =
        m_connection->open_stream({.m_method = request.m_method, .m_path = request.m_path}, callbacks);
    stream->send(request.m_body);
    stream->finish();
    state->m_timer = m_reactor.after(timeout, [this, state, stream, connection = m_connection] {
        stream->reset();
        // The connection may be half-open, so the next request opens a new one.
        if (m_connection == connection) {
            m_connection.reset();
        }
        state->complete(no_response("no answer from the platform in time"));
    });
}

void serve_request(const std::shared_ptr<http2_stream>& stream,
                   std::function<void(http2_request, response_sender)> serve) {
    const auto request = std::make_shared<http2_request>();
    const std::weak_ptr<http2_stream> weak = stream;
    const response_sender respond = [weak](const http2_response& response) {
        if (const auto live_stream = weak.lock()) {
            live_stream->respond(response.m_status);
            live_stream->send(response.m_body);
            live_stream->finish();
        }
    };
    stream->set_handlers(
        {.m_on_head =
             [request](const http2_head& head) {
                 request->m_method = head.m_method;
                 request->m_path = head.m_path;
             },
         .m_on_data =
             [request, weak](std::string_view bytes) {
                 request->m_body.append(bytes);
                 const auto live_stream = weak.lock();
                 if (live_stream && request->m_body.size() > max_body_size) {
                     live_stream->reset();
                 }
             },
         .m_on_end = [request, respond, serve = std::move(serve)] { serve(*request, respond); }});
}

}
