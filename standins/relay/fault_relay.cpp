/// \file fault_relay.cpp
/// Queues received bytes per direction and forwards them when their delay has passed.
#include "relay/fault_relay.hpp"

#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdio>

namespace standin {
namespace {

using namespace anvilmount;

/// How often a stalled relay checks whether the stall has ended.
constexpr milliseconds stall_poll_interval{5};

/// Returns the peer's port of a connected descriptor; 0 if it is not connected any more.
std::uint16_t client_port(int fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    return getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 ? ntohs(peer.sin_port) : 0;
}

}

result<void> fault_relay::listen() {
    BOOST_LEAF_ASSIGN(m_listener,
                      tcp_listener::listen(m_reactor, m_options.m_listen, [this](int fd) { accept(fd); }));
    return {};
}

result<void> fault_relay::start() {
    BOOST_LEAF_CHECK(listen());
    if (!m_options.m_control) {
        return {};
    }
    BOOST_LEAF_ASSIGN(
        m_control, http2_server::listen(m_reactor, *m_options.m_control, [this](const auto& stream) {
            serve_request(stream, [this](const http2_request& request, const response_sender& respond) {
                apply_fault_request(request.m_body);
                respond({.m_status = 200, .m_body = "{}"});
            });
        }));
    return {};
}

void fault_relay::accept(int fd) {
    const auto connection = std::make_shared<connection_pair>();
    const std::weak_ptr<connection_pair> weak = connection;
    const auto handlers = [this, weak](bool to_client) {
        return tcp_stream::handlers{.m_on_connected = {},
                                    .m_on_bytes =
                                        [this, weak, to_client](std::string_view bytes) {
                                            if (const auto open = weak.lock()) {
                                                enqueue(open, to_client, bytes);
                                            }
                                        },
                                    .m_on_drained = {},
                                    .m_on_closed =
                                        [this, weak](close_reason) {
                                            if (const auto open = weak.lock()) {
                                                close_pair(open);
                                            }
                                        }};
    };
    m_pairs.insert(connection);
    connection->m_client_port = client_port(fd);
    connection->m_client = tcp_stream::adopt(m_reactor, fd, handlers(false));
    connection->m_server = tcp_stream::connect(m_reactor, m_options.m_target, handlers(true));
    if (m_faults.m_cut) {
        m_reactor.defer([this, connection] { close_pair(connection); });
    }
}

void fault_relay::enqueue(const pair_ptr& connection, bool to_client, std::string_view bytes) {
    if (to_client && m_faults.m_drop_answers) {
        return;
    }
    const milliseconds delay = m_faults.m_delay + (to_client ? m_faults.m_answer_delay : milliseconds{0});
    auto& pending = to_client ? connection->m_to_client : connection->m_to_server;
    pending.push_back({.m_due = reactor::now() + delay, .m_bytes = std::string(bytes)});
    if (delay.count() == 0) {
        forward_due(connection);
        return;
    }
    m_reactor.after(delay, [this, connection] { forward_due(connection); });
}

void fault_relay::forward_due(const pair_ptr& connection) {
    if (m_faults.m_stall) {
        m_reactor.after(stall_poll_interval, [this, connection] { forward_due(connection); });
        return;
    }
    const auto forward_one_way = [](std::deque<delayed_bytes>& pending, tcp_stream& to) {
        while (!pending.empty() && pending.front().m_due <= reactor::now()) {
            to.write(pending.front().m_bytes);
            pending.pop_front();
        }
    };
    forward_one_way(connection->m_to_server, *connection->m_server);
    forward_one_way(connection->m_to_client, *connection->m_client);
}

void fault_relay::close_pair(const pair_ptr& connection) {
    connection->m_client->close();
    connection->m_server->close();
    m_pairs.erase(connection);
}

void fault_relay::apply_fault_request(const std::string& body) {
    const nlohmann::json fields = nlohmann::json::parse(body, nullptr, false);
    if (!fields.is_object()) {
        return;
    }
    const auto delay = [&](const char* name, milliseconds current) {
        return milliseconds{fields.value(name, static_cast<int>(current.count()))};
    };
    set_faults({.m_delay = delay("delay_ms", m_faults.m_delay),
                .m_answer_delay = delay("answer_delay_ms", m_faults.m_answer_delay),
                .m_stall = fields.value("stall", m_faults.m_stall),
                .m_drop_answers = fields.value("drop_answers", m_faults.m_drop_answers),
                .m_cut = fields.value("cut", m_faults.m_cut),
                .m_refuse = fields.value("refuse", m_faults.m_refuse)});
}

void fault_relay::set_faults(const relay_faults& faults) {
    const bool refused = m_faults.m_refuse;
    m_faults = faults;
    const auto pairs = m_pairs;
    for (const pair_ptr& each : pairs) {
        if (m_faults.m_cut) {
            close_pair(each);
        } else if (m_faults.m_refuse && !m_faults.m_spared_client_ports.contains(each->m_client_port)) {
            each->m_client->reset();
            each->m_server->reset();
            m_pairs.erase(each);
        }
    }
    if (m_faults.m_refuse) {
        m_listener.reset();
    } else if (refused) {
        if (const auto failed = failure_of([&] { return listen(); })) {
            std::fprintf(stderr, "fault relay: error %d: %s\n", number_of(failed->m_code),
                         failed->m_message.c_str());
        }
    }
}

}
