/// \file fault_relay.hpp
/// TCP relay that injects faults between a client and a server. Faults are set while
/// it runs, with set_faults() or over HTTP/2 with POST /admin/fault and any of
///   {"delay_ms":N}         delays all bytes in both directions
///   {"answer_delay_ms":N}  delays bytes to the client, in addition to delay_ms
///   {"stall":true}         forwards nothing; connections stay open
///   {"drop_answers":true}  forwards requests and discards bytes to the client
///   {"cut":true}           closes all connections, including new ones
///   {"refuse":true}        resets all connections and listens no more, so that new ones are refused
/// 0 or false ends the fault.
#pragma once

#include "anvilmount/wire/http2_exchange.hpp"
#include "anvilmount/wire/http2_server.hpp"
#include "anvilmount/wire/tcp_listener.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace standin {

struct relay_options {
    anvilmount::endpoint m_listen;
    anvilmount::endpoint m_target;
    std::optional<anvilmount::endpoint> m_control{}; ///< Address for POST /admin/fault, if any.
};

struct relay_faults {
    anvilmount::milliseconds m_delay{0};
    anvilmount::milliseconds m_answer_delay{0};
    bool m_stall{false};
    bool m_drop_answers{false};
    bool m_cut{false};
    bool m_refuse{false};
    std::set<std::uint16_t> m_spared_client_ports{}; ///< Connections from these survive m_refuse.
};

class fault_relay {
public:
    fault_relay(anvilmount::reactor& loop, const relay_options& options)
        : m_reactor(loop), m_options(options) {}

    /// Errors: listen_failed (1603).
    [[nodiscard]] anvilmount::result<void> start();

    void set_faults(const relay_faults& faults);

private:
    /// Bytes received in one direction, to be forwarded at m_due.
    struct delayed_bytes {
        anvilmount::steady_time m_due;
        std::string m_bytes;
    };

    /// A client's connection and its connection to the server.
    struct connection_pair {
        std::shared_ptr<anvilmount::tcp_stream> m_client;
        std::shared_ptr<anvilmount::tcp_stream> m_server;
        std::deque<delayed_bytes> m_to_server;
        std::deque<delayed_bytes> m_to_client;
        std::uint16_t m_client_port{0};
    };

    using pair_ptr = std::shared_ptr<connection_pair>;

    [[nodiscard]] anvilmount::result<void> listen();
    void accept(int fd);
    void enqueue(const pair_ptr& connection, bool to_client, std::string_view bytes);
    void forward_due(const pair_ptr& connection);
    void close_pair(const pair_ptr& connection);
    void apply_fault_request(const std::string& body);

    anvilmount::reactor& m_reactor;
    relay_options m_options;
    relay_faults m_faults;
    std::unique_ptr<anvilmount::tcp_listener> m_listener;
    std::unique_ptr<anvilmount::http2_server> m_control;
    std::set<pair_ptr> m_pairs;
};

}
