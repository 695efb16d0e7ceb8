/// \file fault_relay.hpp
/// A TCP relay with faults that can be set while it runs, over HTTP/2 as
/// POST /admin/fault with any of
///   {"delay_ms":N}         every byte takes that much longer, both ways
///   {"answer_delay_ms":N}  only bytes towards the connecting side do
///   {"stall":true}         nothing passes, connections stay open
///   {"drop_answers":true}  requests pass, answers are thrown away
///   {"cut":true}           connections break and new ones are refused
/// A field with 0 or false ends the fault.
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
    std::optional<anvilmount::endpoint> m_control{}; ///< Unset: only set_faults() sets faults.
};

struct relay_faults {
    anvilmount::milliseconds m_delay{0};
    anvilmount::milliseconds m_answer_delay{0};
    bool m_stall{false};
    bool m_drop_answers{false};
    bool m_cut{false};
};

class fault_relay {
public:
    fault_relay(anvilmount::reactor& loop, const relay_options& options)
        : m_reactor(loop), m_options(options) {}

    /// Errors: listen_failed (1603).
    [[nodiscard]] anvilmount::result<void> start();

    void set_faults(const relay_faults& faults);

private:
    /// Bytes on their way in one direction.
    struct delayed_bytes {
        anvilmount::steady_time m_due;
        std::string m_bytes;
    };

    struct connection_pair {
        std::shared_ptr<anvilmount::tcp_stream> m_client;
        std::shared_ptr<anvilmount::tcp_stream> m_server;
        std::deque<delayed_bytes> m_to_server;
        std::deque<delayed_bytes> m_to_client;
    };

    using pair_ptr = std::shared_ptr<connection_pair>;

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
