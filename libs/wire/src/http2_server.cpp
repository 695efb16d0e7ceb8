/// \file http2_server.cpp
/// Keeps a reference to each accepted connection, which its close handler removes.
#include "anvilmount/wire/http2_server.hpp"

namespace anvilmount {

result<std::unique_ptr<http2_server>> http2_server::listen(reactor& loop, const endpoint& where,
                                                           request_handler on_request) {
    std::unique_ptr<http2_server> server(new http2_server(loop, std::move(on_request)));
    BOOST_LEAF_ASSIGN(server->m_listener, tcp_listener::listen(loop, where, [self = server.get()](int fd) {
                          self->accept(fd);
                      }));
    server->m_address = server->m_listener->address();
    return server;
}

void http2_server::stop_accepting() {
    m_listener->accept_waiting();
    m_listener.reset();
    for (const auto& connection : m_connections) {
        connection->send_goaway();
    }
}

void http2_server::accept(int fd) {
    const auto slot = std::make_shared<std::weak_ptr<http2_connection>>();
    const auto connection = http2_connection::accept(
        m_reactor, fd, {.m_on_request = m_on_request, .m_on_connected = {}, .m_on_closed = [this, slot] {
                            m_connections.erase(slot->lock());
                        }});
    *slot = connection;
    m_connections.insert(connection);
}

}
