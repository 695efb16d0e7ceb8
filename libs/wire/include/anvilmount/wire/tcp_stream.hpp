/// \file tcp_stream.hpp
/// A non-blocking TCP connection that is driven by a reactor. Reading can be paused, so that the kernel
/// applies back-pressure to the sender. Writing never blocks: what the kernel does not accept is buffered,
/// and m_on_drained reports when the buffer is empty. To bound the buffer, owners check unsent_bytes().
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/wire/reactor.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace anvilmount {

/// Why a connection was closed.
enum class close_reason {
    by_peer,        ///< The peer closed the connection.
    by_network,     ///< The connection failed.
    connect_failed, ///< The connection was not established.
};

/// One TCP connection. Belongs to the thread of its reactor.
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
    /// Called in the thread of the reactor; none is called after close().
    struct handlers {
        std::function<void()> m_on_connected{};
        std::function<void(std::string_view bytes)> m_on_bytes{};
        std::function<void()> m_on_drained{}; ///< The kernel has accepted all written bytes.
        std::function<void(close_reason)> m_on_closed{};
        /// The peer sends nothing more; it may still read, or may have gone. Without this handler, the
        /// stream closes.
        std::function<void()> m_on_finished{};
    };

    /// Takes ownership of a connected, non-blocking descriptor.
    static std::shared_ptr<tcp_stream> adopt(reactor& loop, int fd, handlers callbacks);

    /// Starts connecting; m_on_connected or m_on_closed reports the outcome.
    static std::shared_ptr<tcp_stream> connect(reactor& loop, const endpoint& where, handlers callbacks);

    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    void set_handlers(handlers callbacks) { m_handlers = std::move(callbacks); }
    void write(std::string_view bytes);
    /// Passes on what has arrived by now, instead of leaving it to the event loop. Handlers may close the
    /// stream. May be called while a handler of another stream runs.
    void read_arrived();
    void pause_reading();
    void resume_reading();

    /// Enables TCP keepalive: the kernel probes an idle peer and closes the connection about 3 s after the
    /// last data or acknowledgement from it. Without keepalive, a connection whose network path has failed
    /// stays open until something is sent.
    void enable_keepalive();
    void disable_keepalive();

    /// Closes at once; unsent bytes are lost. The kernel still sends those that it has accepted.
    void close();

    /// Closes at once with a reset: what the peer has not received by now it never receives.
    void reset();

    /// Sends the unsent bytes, shuts down the sending direction and closes after a short delay. Closing a
    /// socket that holds unread bytes resets the connection, which would destroy data still in transit to
    /// the peer. Nothing more is read, and no handler is called any more. A peer that does not read is
    /// disconnected after a while, as its bytes would be held for ever otherwise.
    /// `on_discarded` is called if the peer has sent bytes in the meantime that nobody reads.
    void close_after_flush(std::function<void(std::size_t bytes)> on_discarded = {});

    /// Sends the unsent bytes and shuts down the sending direction; receiving goes on. The peer learns from
    /// it that nothing follows, and m_on_closed is called once it has closed its end.
    void finish();

    /// Bytes that the peer's system has not acknowledged, including the unsent ones. 0 after finish(): all
    /// of them have arrived there.
    [[nodiscard]] std::size_t unacknowledged_bytes() const;

    [[nodiscard]] bool is_open() const { return m_fd >= 0; }
    /// Whether bytes or the end of the connection have arrived that no handler has been told of yet.
    /// Something written now may be answered by nobody, or by what was sent before.
    [[nodiscard]] bool has_unreported_input() const;
    [[nodiscard]] std::size_t unsent_bytes() const { return m_output.size() - m_output_sent; }
    /// Memory that the unsent bytes occupy.
    [[nodiscard]] std::size_t buffer_size() const { return m_output.capacity(); }
    /// Whether connecting failed because nothing listens at the address (ECONNREFUSED).
    [[nodiscard]] bool was_refused() const { return m_connect_refused; }
    [[nodiscard]] bool is_reading_paused() const { return m_reading_paused; }

private:
    tcp_stream(reactor& loop, int fd, handlers callbacks);

    [[nodiscard]] bool is_reading() const { return !m_reading_paused && !m_peer_finished; }
    void start(bool connecting);
    void on_ready(std::uint32_t events);
    void read_into(std::span<char> chunk);
    bool flush();
    void linger();
    void report_discarded();
    void update_events();
    void fail(close_reason reason);

    reactor& m_reactor;
    int m_fd;
    handlers m_handlers;
    std::string m_output;
    std::size_t m_output_sent{0};      ///< Bytes of m_output already sent.
    std::uint32_t m_watched_events{0}; ///< Event mask last passed to the reactor.
    bool m_connecting{false};
    bool m_reading_paused{false};
    bool m_peer_finished{false}; ///< The end of the peer's bytes was reported by m_on_finished.
    bool m_connect_refused{false};
    bool m_close_after_flush{false};
    bool m_finishing{false};
    bool m_lingering{false};
    std::function<void(std::size_t bytes)> m_on_discarded; ///< See close_after_flush().
};

}
