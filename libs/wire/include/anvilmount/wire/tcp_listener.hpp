/// \file tcp_listener.hpp
/// Accepts TCP connections on one address. Several listeners, one per shard, can share the address
/// (SO_REUSEPORT); the kernel distributes new connections among them.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/wire/reactor.hpp"

#include <functional>
#include <memory>

namespace anvilmount {

/// A listening IPv4 socket, closed by the destructor.
class tcp_listener {
public:
    /// Receives a connected, non-blocking descriptor and takes ownership of it.
    using accept_handler = std::function<void(int fd)>;

    /// Starts listening. With port 0 the kernel chooses a free port, which address() returns.
    /// Errors: listen_failed (1603).
    [[nodiscard]] static result<std::unique_ptr<tcp_listener>> listen(reactor& loop, const endpoint& where,
                                                                      accept_handler on_accept);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    [[nodiscard]] const endpoint& address() const { return m_address; }

    /// Accepts all connections that wait now. Closing the listener resets those that still wait, and those
    /// whose handshake is not complete.
    void accept_waiting();

private:
    tcp_listener(reactor& loop, int fd, endpoint address, accept_handler on_accept);
    void accept_up_to(int limit);

    reactor& m_reactor;
    int m_fd;
    endpoint m_address;
    accept_handler m_on_accept;
};

}
