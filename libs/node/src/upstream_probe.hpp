/// \file upstream_probe.hpp
/// Monitors one upstream over a dedicated connection: polls its state at a fixed
/// interval, and sooner on request. The same connection carries the orders of a
/// change of primary. Homes and group coordinators each have their own probes.
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
    milliseconds m_timeout{400}; ///< Without an answer for this time, the upstream is reported as silent.
};

class upstream_probe {
public:
    /// Receives the first value of the reply's row, or the failure. After
    /// outcome_unknown (1302) the order may have been executed.
    using order_handler = std::function<void(std::variant<std::string, failure>)>;

    struct handlers {
        std::function<void(const upstream_state&)> m_on_state{};
        /// No reply in time, no connection, or a reply without a state.
        std::function<void(const failure&)> m_on_silent{};
    };

    upstream_probe(shard& owner, probe_options options, handlers callbacks);
    ~upstream_probe();
    upstream_probe(const upstream_probe&) = delete;
    upstream_probe& operator=(const upstream_probe&) = delete;

    /// Polls again soon, at most about once per millisecond. If a request is in
    /// flight, polls once more after it, since its reply may be too old for the caller.
    void poll_soon();

    /// Runs one statement at the upstream, after the orders already queued.
    void run_order(const std::string& sql, order_handler on_done);

private:
    struct pending_order {
        std::string m_sql;
        order_handler m_on_done;
    };

    void connect();
    void start_next();
    void poll();
    void on_reply(std::string_view bytes);
    void finish_order(std::variant<std::string, failure> outcome);
    void on_lost(const failure& why);
    void schedule_poll(microseconds delay);
    void start_timeout();

    shard& m_shard;
    probe_options m_options;
    handlers m_handlers;
    std::shared_ptr<upstream_connection> m_connection;
    std::string m_reply;
    std::string m_state_request;
    steady_time m_requested_at{};
    bool m_busy{false};                 ///< Connecting, or a poll or an order is in flight.
    bool m_poll_again{false};           ///< Poll again without waiting for the interval.
    std::deque<pending_order> m_orders; ///< The first one is in flight while m_order_in_flight.
    bool m_order_in_flight{false};
    reactor::timer_id m_next_timer{}; ///< Next poll or reconnect.
    steady_time m_next_poll_at{};
    reactor::timer_id m_timeout_timer{};
};

}
