/// \file tcp_listener.cpp
/// Implements the listener with SO_REUSEPORT and a bounded number of accepts per event.
#include "anvilmount/wire/tcp_listener.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace anvilmount {
namespace {

constexpr int backlog = 4096;
/// Bounds the time away from other descriptors; epoll reports the rest in the next round.
constexpr int accepts_per_round = 64;

bool bind_and_listen(int fd, const endpoint& where) {
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.m_port);
    inet_pton(AF_INET, where.m_address.c_str(), &address.sin_addr);
    return bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
           ::listen(fd, backlog) == 0;
}

std::uint16_t bound_port(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

}

result<std::unique_ptr<tcp_listener>> tcp_listener::listen(reactor& loop, const endpoint& where,
                                                           accept_handler on_accept) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || !bind_and_listen(fd, where)) {
        const std::string reason = std::strerror(errno);
        if (fd >= 0) {
            close(fd);
        }
        return fail(result_code::listen_failed, "cannot listen on " + to_string(where) + ": " + reason);
    }
    const endpoint bound{.m_address = where.m_address, .m_port = bound_port(fd)};
    return std::unique_ptr<tcp_listener>(new tcp_listener(loop, fd, bound, std::move(on_accept)));
}

tcp_listener::tcp_listener(reactor& loop, int fd, endpoint address, accept_handler on_accept)
    : m_reactor(loop), m_fd(fd), m_address(std::move(address)), m_on_accept(std::move(on_accept)) {
    m_reactor.watch(m_fd, EPOLLIN, [this](std::uint32_t) { accept_up_to(accepts_per_round); });
}

tcp_listener::~tcp_listener() {
    m_reactor.unwatch(m_fd);
    close(m_fd);
}

void tcp_listener::accept_waiting() {
    // Bounded, since others may connect meanwhile.
    accept_up_to(backlog);
}

void tcp_listener::accept_up_to(int limit) {
    for (int count = 0; count < limit; ++count) {
        const int fd = accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        m_on_accept(fd);
    }
}

}
