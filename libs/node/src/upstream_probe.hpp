/// \file upstream_probe.hpp
/// Watches one upstream over a connection of its own: asks for its state at a
/// steady pace, and at once when someone waits for news. The same connection
/// carries the orders that a change of primary needs.
#pragma once

#include "upstream_connection.hpp"
#include "upstream_state.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace anvilmount {

struct probe_options {
    upstream_login m_login;
    milliseconds m_interval{200};
    milliseconds m_timeout{400}; ///< Without an answer for this long the upstream counts as silent.
};

class upstream_probe {
public:
    /// The first value of the answer's row, or what went wrong. After
    /// outcome_unknown (1302) the order may have been carried out.
    using order_handler = std::function<void(std::variant<std::string, failure>)>;

    struct handlers {
        std::function<void(const upstream_state&)> m_on_state{};
        std::function<void(const failure&)> m_on_silent{};
    };

    upstream_probe(shard& owner, probe_options options, handlers callbacks);
    ~upstream_probe();
    upstream_probe(const upstream_probe&) = delete;
    upstream_probe& operator=(const upstream_probe&) = delete;

    /// Asks soon, but not more often than every millisecond or so; an answer
    /// under way may be too old for whoever asks.
    void poll_soon();

    /// Runs one statement at the upstream.
    void run_order(const std::string& sql, order_handler on_done);

private:
    struct pending_order {
        std::string m_sql;
        order_handler m_on_done;
    };

    void connect();
    void run_next();
    void poll();
    void on_reply(std::string_view bytes);
    void finish_order(std::variant<std::string, failure> outcome);
    void on_lost(const failure& why);
    void schedule(microseconds delay);
    void start_timeout();

    shard& m_shard;
    probe_options m_options;
    handlers m_handlers;
    std::shared_ptr<upstream_connection> m_connection;
    std::string m_reply;
    std::string m_state_request;
    steady_time m_requested_at{};
    bool m_busy{false}; ///< A question or an order is under way.
    bool m_poll_again{false};
    std::deque<pending_order> m_orders; ///< The first one is under way while m_ordering.
    bool m_order_in_flight{false};
    reactor::timer_id m_next_timer{};
    steady_time m_next_poll_at{};
    reactor::timer_id m_timeout_timer{};
};

}
