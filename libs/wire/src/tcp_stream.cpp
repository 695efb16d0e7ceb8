/// \file tcp_stream.cpp
/// Implements the stream on a non-blocking socket; write() sends at once when nothing is buffered.
#include "anvilmount/wire/tcp_stream.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace anvilmount {
namespace {

constexpr std::size_t read_chunk_size = std::size_t{64} * 1024;
/// Little arrives on a connection that is idle.
constexpr std::size_t arrived_chunk_size = std::size_t{4} * 1024;
/// Some tens of round trips, so that written data has arrived by then.
constexpr milliseconds linger_time{250};

/// From close_after_flush() until a peer that does not read is reset.
constexpr milliseconds max_flush_time{30000};

/// TCP keepalive with the shortest intervals that the kernel supports, and the probes that may remain
/// unanswered.
constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int max_unanswered_probes = 2;

/// How long sent data may remain unacknowledged (TCP_USER_TIMEOUT).
constexpr milliseconds unacknowledged_timeout{2500};

/// An output buffer with more capacity than this is freed when it has drained.
constexpr std::size_t max_kept_buffer_size = std::size_t{16} * 1024;

bool would_block() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

sockaddr_in to_sockaddr(const endpoint& where) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.m_port);
    inet_pton(AF_INET, where.m_address.c_str(), &address.sin_addr);
    return address;
}

void set_option(int fd, int level, int name, int value) {
    setsockopt(fd, level, name, &value, sizeof value);
}

void disable_nagle(int fd) {
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

}

tcp_stream::tcp_stream(reactor& loop, int fd, handlers callbacks)
    : m_reactor(loop), m_fd(fd), m_handlers(std::move(callbacks)) {}

tcp_stream::~tcp_stream() {
    close();
}

std::shared_ptr<tcp_stream> tcp_stream::adopt(reactor& loop, int fd, handlers callbacks) {
    std::shared_ptr<tcp_stream> stream(new tcp_stream(loop, fd, std::move(callbacks)));
    disable_nagle(fd);
    stream->start(false);
    return stream;
}

std::shared_ptr<tcp_stream> tcp_stream::connect(reactor& loop, const endpoint& where, handlers callbacks) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    std::shared_ptr<tcp_stream> stream(new tcp_stream(loop, fd, std::move(callbacks)));
    const sockaddr_in address = to_sockaddr(where);
    const bool started =
        fd >= 0 && (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
                    errno == EINPROGRESS);
    if (!started) {
        loop.defer([stream] { stream->fail(close_reason::connect_failed); });
        return stream;
    }
    disable_nagle(fd);
    stream->start(true);
    return stream;
}

void tcp_stream::start(bool connecting) {
    m_connecting = connecting;
    m_watched_events = connecting ? EPOLLOUT : EPOLLIN;
    m_reactor.watch(m_fd, m_watched_events, [weak = weak_from_this()](std::uint32_t events) {
        if (const auto self = weak.lock()) {
            self->on_ready(events);
        }
    });
}

void tcp_stream::on_ready(std::uint32_t events) {
    if (m_connecting) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            m_connect_refused = error == ECONNREFUSED;
            fail(close_reason::connect_failed);
            return;
        }
        m_connecting = false;
        if (m_handlers.m_on_connected) {
            m_handlers.m_on_connected();
        }
        if (is_open()) {
            flush();
        }
        return;
    }
    if ((events & EPOLLOUT) != 0 && !flush()) {
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && is_reading()) {
        thread_local std::array<char, read_chunk_size> chunk;
        read_into(chunk);
    } else if ((events & (EPOLLHUP | EPOLLERR)) != 0) {
        fail(close_reason::by_network);
    }
}

void tcp_stream::read_into(std::span<char> chunk) {
    const ssize_t received = recv(m_fd, chunk.data(), chunk.size(), 0);
    if (received > 0) {
        m_reactor.traffic().m_received += static_cast<std::uint64_t>(received);
        m_handlers.m_on_bytes({chunk.data(), static_cast<std::size_t>(received)});
    } else if (received == 0 && m_handlers.m_on_finished) {
        m_peer_finished = true;
        update_events();
        m_handlers.m_on_finished();
    } else if (received == 0) {
        fail(close_reason::by_peer);
    } else if (!would_block()) {
        fail(close_reason::by_network);
    }
}

void tcp_stream::read_arrived() {
    const auto keep_alive = shared_from_this();
    while (!m_connecting && is_reading() && has_unreported_input()) {
        // Not the chunk of on_ready(): the handler of another stream may still be using its bytes.
        std::array<char, arrived_chunk_size> chunk{};
        read_into(chunk);
    }
}

bool tcp_stream::has_unreported_input() const {
    char byte = 0;
    return is_open() && (recv(m_fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0 || !would_block());
}

void tcp_stream::write(std::string_view bytes) {
    if (!is_open() || bytes.empty() || m_close_after_flush || m_finishing) {
        return;
    }
    if (unsent_bytes() == 0 && !m_connecting) {
        const ssize_t sent = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            m_reactor.traffic().m_sent += static_cast<std::uint64_t>(sent);
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        } else if (sent < 0 && !would_block()) {
            // The next read reports the failure, so that m_on_closed is only called from the event loop.
            return;
        }
        if (bytes.empty()) {
            return;
        }
    }
    // Bytes already sent are dropped before the buffer grows, so that it follows what is unsent.
    if (m_output_sent > m_output.size() / 2) {
        m_output.erase(0, m_output_sent);
        m_output_sent = 0;
    }
    m_output.append(bytes);
    update_events();
}

bool tcp_stream::flush() {
    while (unsent_bytes() > 0) {
        const ssize_t sent = send(m_fd, m_output.data() + m_output_sent, unsent_bytes(), MSG_NOSIGNAL);
        if (sent < 0 && would_block()) {
            update_events();
            return true;
        }
        if (sent < 0) {
            fail(close_reason::by_network);
            return false;
        }
        m_output_sent += static_cast<std::size_t>(sent);
        m_reactor.traffic().m_sent += static_cast<std::uint64_t>(sent);
    }
    const bool had_output = !m_output.empty();
    m_output_sent = 0;
    m_output.clear();
    if (m_output.capacity() > max_kept_buffer_size) {
        m_output.shrink_to_fit();
    }
    if (m_close_after_flush) {
        linger();
        return false;
    }
    if (m_finishing) {
        shutdown(m_fd, SHUT_WR);
    }
    update_events();
    if (had_output && m_handlers.m_on_drained) {
        m_handlers.m_on_drained();
    }
    return is_open();
}

void tcp_stream::pause_reading() {
    m_reading_paused = true;
    update_events();
}

void tcp_stream::resume_reading() {
    m_reading_paused = false;
    update_events();
}

void tcp_stream::enable_keepalive() {
    set_option(m_fd, IPPROTO_TCP, TCP_KEEPIDLE, probe_idle_s);
    set_option(m_fd, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(m_fd, IPPROTO_TCP, TCP_KEEPCNT, max_unanswered_probes);
    set_option(m_fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged_timeout.count()));
    set_option(m_fd, SOL_SOCKET, SO_KEEPALIVE, 1);
}

void tcp_stream::disable_keepalive() {
    set_option(m_fd, SOL_SOCKET, SO_KEEPALIVE, 0);
    set_option(m_fd, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
}

void tcp_stream::update_events() {
    if (!is_open() || m_connecting) {
        return;
    }
    const std::uint32_t wanted = (is_reading() ? EPOLLIN : 0U) | (unsent_bytes() > 0 ? EPOLLOUT : 0U);
    if (wanted != m_watched_events) {
        m_watched_events = wanted;
        m_reactor.set_events(m_fd, wanted);
    }
}

void tcp_stream::close_after_flush(std::function<void(std::size_t bytes)> on_discarded) {
    m_close_after_flush = true;
    m_on_discarded = std::move(on_discarded);
    if (unsent_bytes() == 0) {
        linger();
        return;
    }
    m_reading_paused = true;
    update_events();
    m_reactor.after(max_flush_time, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->is_open() && !self->m_lingering) {
            self->reset();
            self->m_handlers = {};
        }
    });
}

void tcp_stream::finish() {
    if (!is_open() || m_finishing) {
        return;
    }
    m_finishing = true;
    if (unsent_bytes() == 0 && !m_connecting) {
        shutdown(m_fd, SHUT_WR);
    }
}

std::size_t tcp_stream::unacknowledged_bytes() const {
    int queued = 0;
    const bool known = is_open() && ioctl(m_fd, SIOCOUTQ, &queued) == 0 && queued > 0;
    return unsent_bytes() + (known ? static_cast<std::size_t>(queued) : 0);
}

void tcp_stream::linger() {
    if (!is_open() || m_lingering) {
        return;
    }
    if (m_connecting) {
        close();
        return;
    }
    m_lingering = true;
    // The owner may drop the stream now: the timer keeps a reference until the stream is closed.
    m_reactor.defer([self = shared_from_this()] { self->m_handlers = {}; });
    if (m_peer_finished) {
        close();
        return;
    }
    m_reading_paused = true;
    shutdown(m_fd, SHUT_WR);
    update_events();
    m_reactor.after(linger_time, [self = shared_from_this()] {
        self->report_discarded();
        self->close();
    });
}

void tcp_stream::report_discarded() {
    int unread = 0;
    if (m_on_discarded && is_open() && ioctl(m_fd, FIONREAD, &unread) == 0 && unread > 0) {
        m_on_discarded(static_cast<std::size_t>(unread));
    }
    m_on_discarded = {};
}

void tcp_stream::close() {
    if (m_fd < 0) {
        return;
    }
    if (m_watched_events != 0 || m_connecting || !is_reading()) {
        m_reactor.unwatch(m_fd);
    }
    ::close(m_fd);
    m_fd = -1;
}

void tcp_stream::reset() {
    if (m_fd >= 0) {
        const struct linger none { .l_onoff = 1, .l_linger = 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
    close();
}

void tcp_stream::fail(close_reason reason) {
    close();
    if (m_handlers.m_on_closed) {
        m_handlers.m_on_closed(reason);
    }
}

}
