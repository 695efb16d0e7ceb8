/// \file http2_connection.hpp
/// HTTP/2 over one TCP stream, by nghttp2. Instances use it between each other
/// (one stream for each channel), towards the platform, and for operators. Both
/// sides share this class; what a stream carries is up to its owner.
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

/// The first line of a request, or the status of a response.
struct http2_head {
    std::string m_method;
    std::string m_path;
    int m_status{0};
};

/// How a stream ended.
enum class stream_end {
    clean,
    refused, ///< The other side never looked at it: nothing of it can have had an effect.
    broken,
};

/// One stream. Owned by whoever opened or accepted it; dropping the last
/// reference leaves the stream to end by itself.
class http2_stream : public std::enable_shared_from_this<http2_stream> {
public:
    /// None is called after m_on_closed.
    struct handlers {
        std::function<void(const http2_head&)> m_on_head{};
        std::function<void(std::string_view bytes)> m_on_data{};
        std::function<void()> m_on_end{}; ///< The other side will send no more.
        std::function<void(stream_end)> m_on_closed{};
    };

    void set_handlers(handlers callbacks) { m_handlers = std::move(callbacks); }

    /// Server side: sends the status line; must precede send().
    void respond(int status);
    void send(std::string_view bytes);

    /// No more bytes follow.
    void finish();

    /// Ends the stream at once, in both directions.
    void reset();

    [[nodiscard]] std::size_t unsent_bytes() const { return m_output.size() - m_output_sent; }
    [[nodiscard]] bool is_open() const { return m_open; }

    /// What the other side began the stream with.
    [[nodiscard]] const http2_head& head() const { return m_head; }

private:
    friend class http2_connection;
    friend struct http2_callbacks;

    std::weak_ptr<http2_connection> m_connection;
    std::int32_t m_id{0};
    handlers m_handlers;
    http2_head m_head; ///< As received.
    std::string m_output;
    std::size_t m_output_sent{0};
    bool m_finished{false};
    bool m_open{true};
    bool m_output_deferred{false}; ///< nghttp2 waits for more output.
};

class http2_connection : public std::enable_shared_from_this<http2_connection> {
public:
    struct handlers {
        /// Server side: a request has begun; set the stream's handlers now.
        std::function<void(const std::shared_ptr<http2_stream>&)> m_on_request{};
        /// Client side: the server has spoken. Nothing was sent to it before.
        std::function<void()> m_on_connected{};
        std::function<void()> m_on_closed{};
        /// The other side takes no new streams; those that it has taken go on.
        std::function<void()> m_on_goaway{};
    };

    static std::shared_ptr<http2_connection> connect(reactor& loop, const endpoint& where,
                                                     handlers callbacks);
    static std::shared_ptr<http2_connection> accept(reactor& loop, int fd, handlers callbacks);

    ~http2_connection();
    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;

    /// Client side: opens a stream. Bytes are given by send() and finish().
    std::shared_ptr<http2_stream> open_stream(const http2_head& head, http2_stream::handlers callbacks);

    /// Asks the other side for a sign of life. Returns false when the ping
    /// before this one was never answered; the caller then closes.
    [[nodiscard]] bool ping();

    /// Takes no new streams from now on and tells the other side so. Streams
    /// that it opened too late end there as refused.
    void send_goaway();

    /// Closes at once; open streams report that they broke.
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

    reactor& m_reactor;
    handlers m_handlers;
    std::shared_ptr<tcp_stream> m_stream;
    nghttp2_session* m_session{nullptr};
    std::map<std::int32_t, std::shared_ptr<http2_stream>> m_streams;
    bool m_flush_pending{false};
    bool m_ping_unanswered{false};
    bool m_can_send{false}; ///< A client waits for the server's first bytes: a connection that only the
                            ///< kernel took can then be told from one that the server has.
    bool m_goaway_received{false}; ///< The other side takes no new streams.
    bool m_goaway_sent{false};     ///< This side takes none.
};

}
