/// \file tcp_stream.hpp
/// One TCP connection of a reactor, with bounded buffers in both directions.
/// Reading can be paused, which lets the kernel push back on the sender;
/// writing never blocks, and the owner learns when what it wrote has left.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/wire/reactor.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace anvilmount {

enum class close_reason {
    by_peer,        ///< The other side ended the connection.
    by_network,     ///< The connection broke.
    connect_failed, ///< It never came about.
};

class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
    /// Called in the reactor's thread. None is called after close().
    struct handlers {
        std::function<void()> m_on_connected{};
        std::function<void(std::string_view bytes)> m_on_bytes{};
        std::function<void()> m_on_drained{}; ///< All written bytes have gone to the kernel.
        std::function<void(close_reason)> m_on_closed{};
    };

    /// Takes over a connected, non-blocking descriptor.
    static std::shared_ptr<tcp_stream> adopt(reactor& loop, int fd, handlers callbacks);

    /// Starts a connection; the outcome comes by m_on_connected or m_on_closed.
    static std::shared_ptr<tcp_stream> connect(reactor& loop, const endpoint& where, handlers callbacks);

    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    void set_handlers(handlers callbacks) { m_handlers = std::move(callbacks); }
    void write(std::string_view bytes);
    void pause_reading();
    void resume_reading();

    /// Has the kernel ask the other side for a sign of life while nothing comes,
    /// and close the connection some 3 s after the last one. Without this, a
    /// connection whose path is gone stays open until something is sent.
    void enable_keepalive();
    void disable_keepalive();

    /// Closes at once; bytes not yet sent are lost.
    void close();

    /// Closes a moment after what was written has left: closing over bytes that
    /// have come meanwhile resets the connection, which would destroy what is
    /// still on its way. Nothing more is read, and no handler is called any more.
    void close_after_flush();

    [[nodiscard]] bool is_open() const { return m_fd >= 0; }
    [[nodiscard]] std::size_t unsent_bytes() const { return m_output.size() - m_output_sent; }
    /// Whether the connect failed because nothing listens at the address.
    [[nodiscard]] bool was_refused() const { return m_connect_refused; }
    [[nodiscard]] bool is_reading_paused() const { return m_reading_paused; }

private:
    tcp_stream(reactor& loop, int fd, handlers callbacks);

    void start(bool connecting);
    void on_ready(std::uint32_t events);
    void read_available();
    bool flush();
    void linger();
    void update_events();
    void fail(close_reason reason);

    reactor& m_reactor;
    int m_fd;
    handlers m_handlers;
    std::string m_output;
    std::size_t m_output_sent{0};      ///< Bytes of m_output already sent.
    std::uint32_t m_watched_events{0}; ///< As last given to the reactor.
    bool m_connecting{false};
    bool m_reading_paused{false};
    bool m_connect_refused{false};
    bool m_close_after_flush{false};
    bool m_lingering{false};
};

}
