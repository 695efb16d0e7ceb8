/// \file http2_connection.hpp
/// HTTP/2 over one TCP connection, implemented with nghttp2, for both clients and servers. Instances use
/// it for peers (one stream per channel), for the platform and for operators. What a stream carries is up
/// to its owner; for plain requests see http2_exchange.hpp.
#pragma once

#include "anvilmount/wire/tcp_stream.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct nghttp2_session;

namespace anvilmount {

class http2_connection;

/// Pseudo-header fields of a request (method and path) or of a response (status).
struct http2_head {
    std::string m_method;
    std::string m_path;
    int m_status{0};
};

/// How a stream ended.
enum class stream_end {
    clean,   ///< Completed without an error.
    refused, ///< The remote side did not process the stream, or never got it: the request had no effect.
    broken,  ///< Reset or disconnected; the request may have had an effect.
};

/// One bidirectional stream of an http2_connection. The connection holds a reference until the stream
/// ends, so dropping every other reference does not end it; call reset() for that.
class http2_stream : public std::enable_shared_from_this<http2_stream> {
public:
    /// No handler is called after m_on_closed.
    struct handlers {
        std::function<void(const http2_head&)> m_on_head{};
        std::function<void(std::string_view bytes)> m_on_data{};
        std::function<void()> m_on_end{}; ///< The remote side has finished sending.
        std::function<void(stream_end)> m_on_closed{};
    };

    void set_handlers(handlers callbacks) { m_handlers = std::move(callbacks); }

    /// Server side: sends the response headers. Must precede send().
    void respond(int status);
    void send(std::string_view bytes);

    /// Ends the sending direction once all bytes are out.
    void finish();

    /// Aborts the stream at once in both directions, with RST_STREAM.
    void reset();

    [[nodiscard]] std::size_t unsent_bytes() const { return m_output.size() - m_output_sent; }
    [[nodiscard]] bool is_open() const { return m_open; }

    /// Headers received from the remote side.
    [[nodiscard]] const http2_head& head() const { return m_head; }

private:
    friend class http2_connection;
    friend struct http2_callbacks;

    std::weak_ptr<http2_connection> m_connection;
    std::int32_t m_id{0};
    handlers m_handlers;
    http2_head m_head; ///< Received from the remote side.
    std::string m_output;
    std::size_t m_output_sent{0}; ///< Bytes of m_output already passed to nghttp2.
    bool m_finished{false};
    bool m_open{true};
    bool m_output_deferred{false}; ///< nghttp2 waits for nghttp2_session_resume_data().
};

/// One HTTP/2 connection, client or server side. Belongs to the thread of its reactor.
class http2_connection : public std::enable_shared_from_this<http2_connection> {
public:
    struct handlers {
        /// Server side: request headers have arrived. The callee sets the handlers of the stream.
        std::function<void(const std::shared_ptr<http2_stream>&)> m_on_request{};
        /// Client side: the first bytes from the server have arrived. Nothing is sent before that.
        std::function<void()> m_on_connected{};
        std::function<void()> m_on_closed{};
        /// A GOAWAY frame has arrived: the remote side accepts no new streams and completes the accepted
        /// ones.
        std::function<void()> m_on_goaway{};
    };

    static std::shared_ptr<http2_connection> connect(reactor& loop, const endpoint& where,
                                                     handlers callbacks);
    static std::shared_ptr<http2_connection> accept(reactor& loop, int fd, handlers callbacks);

    ~http2_connection();
    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;

    /// Client side: sends the request headers and returns the stream; send() and finish() supply the
    /// body. If the connection is closed or got a GOAWAY, m_on_closed is called from the event loop.
    std::shared_ptr<http2_stream> open_stream(const http2_head& head, http2_stream::handlers callbacks);

    /// Sends a PING frame. Returns false when the previous one is still unanswered; the owner should then
    /// close the connection.
    [[nodiscard]] bool ping();

    /// Sends a GOAWAY frame and accepts no new streams from then on. Streams that the remote side opens
    /// before it receives the frame end there with stream_end::refused.
    void send_goaway();

    /// Closes at once; open streams end with stream_end::broken.
    void close();

    [[nodiscard]] bool is_open() const { return m_stream && m_stream->is_open(); }
    [[nodiscard]] std::size_t open_stream_count() const { return m_streams.size(); }

private:
    friend class http2_stream;
    friend struct http2_callbacks;

    http2_connection(reactor& loop, handlers callbacks);

    void start(std::shared_ptr<tcp_stream> stream, bool server);
    tcp_stream::handlers stream_handlers();
    void on_bytes(std::string_view bytes);
    void schedule_flush();
    void flush();
    void fail_streams();
    /// Whether a stream that this end opened has not been sent yet, not even its headers.
    [[nodiscard]] bool is_unsent(std::int32_t id) const;

    reactor& m_reactor;
    handlers m_handlers;
    std::shared_ptr<tcp_stream> m_stream;
    nghttp2_session* m_session{nullptr};
    std::map<std::int32_t, std::shared_ptr<http2_stream>> m_streams;
    std::int32_t m_last_sent_stream{0}; ///< The last one whose headers were sent.
    bool m_flush_pending{false};
    bool m_ping_unanswered{false};
    bool m_can_send{false};        ///< A client waits for the server's first bytes: they tell a connection
                                   ///< that the server accepted from one still in the kernel's backlog.
    bool m_goaway_received{false}; ///< The remote side accepts no new streams.
    bool m_goaway_sent{false};     ///< This side accepts no new streams.
};

}
