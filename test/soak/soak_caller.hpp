/// \file soak_caller.hpp
/// A simulated caller of the soak. It connects to a random instance, runs random
/// operations one after the other, reports what it sent and received to the ledger,
/// and sometimes closes its connection without TERMINATE, or sends an operation whole,
/// shuts down its sending direction and reads to the end of the connection. It uses a
/// connection until the instance announces the end of the session, also while that
/// instance leaves.
#pragma once

#include "soak/promise_ledger.hpp"

#include "anvilmount/wire/reactor.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <array>
#include <deque>
#include <functional>
#include <random>

namespace test {

/// State and callbacks that all callers of a soak share.
struct soak_environment {
    anvilmount::reactor& m_loop;
    promise_ledger& m_ledger;
    std::mt19937& m_random;
    std::uint64_t m_next_number{1}; ///< Numbers sessions, attempts and statements.
    struct instance {
        anvilmount::endpoint m_callers{};
        std::shared_ptr<const gateway_life> m_life{};
    };
    std::function<std::optional<instance>()> m_pick_instance{};
    /// Called when an instance closes a connection whose statement `id` has no complete answer.
    std::function<void(const std::shared_ptr<const gateway_life>&, const std::string& id)>
        m_on_closed_unanswered{};
    std::function<void(const std::shared_ptr<const gateway_life>&, const ended_start&)> m_on_start_ended{};
    /// Whether a suspended gateway, or silence between gateways, may have delayed an answer since then.
    std::function<bool(anvilmount::steady_time since)> m_may_be_delayed{};
    int m_half_close_percent{0}; ///< Of the operations.
    std::uint64_t m_half_closes{
        0}; ///< Operations that were sent whole, with the sending direction shut down.
};

class soak_caller {
public:
    /// Name the callers; keys of an account while the configuration has accounts.
    static constexpr std::array keys{"soak", "soak-b"};

    soak_caller(soak_environment& environment, soak_route route)
        : m_environment(environment), m_route(std::move(route)) {}

    /// Connects within 500 ms and runs operations until stop().
    void start();
    void stop();
    /// Leaves its session, unless that has a statement outstanding, and opens one at `target`.
    void move_to(const soak_environment::instance& target);

private:
    /// A statement of an operation: as it is sent, and as the ledger compares it.
    struct planned_statement {
        std::string m_wire{};
        std::string m_text{};
    };

    /// A statement that was sent and whose answer is not complete.
    struct outstanding {
        std::string m_id{};
        std::string m_text{};
        anvilmount::steady_time m_waiting_since{}; ///< Sent, or the one before it was answered.
        received_answer m_answer{};
    };

    /// Returns a random number from 0 to `below` - 1.
    [[nodiscard]] int draw(int below);
    [[nodiscard]] bool chance(int percent) { return draw(100) < percent; }
    void connect();
    void connect_to(const soak_environment::instance& target);
    /// Closes the connection and opens another one after `pause`.
    void end_session(anvilmount::milliseconds pause);
    void on_line(const std::string& line);
    void on_ready(const std::string& state);
    void on_connection_lost(anvilmount::close_reason reason);
    void next_operation();
    void plan_operation();
    [[nodiscard]] planned_statement draw_data_statement(bool may_write);
    void send_next();
    /// Sends all that is planned and shuts down the sending direction.
    void send_all_and_finish();
    /// Looks whether START was acknowledged, until a line arrives.
    void watch_start();
    void await_close();
    void check_closed();
    void schedule(anvilmount::milliseconds delay, void (soak_caller::*action)());
    void check_timeout(const std::string& id);

    soak_environment& m_environment;
    soak_route m_route;
    std::shared_ptr<anvilmount::tcp_stream> m_stream;
    std::string m_unread;
    std::uint64_t m_session{0}; ///< Changes with each connection.
    std::uint64_t m_attempt{0};
    std::shared_ptr<const gateway_life> m_instance_life;
    bool m_opened{false};
    bool m_stopped{false};
    bool m_finished{false}; ///< The sending direction is shut down.
    std::optional<anvilmount::steady_time> m_connected_at;
    bool m_start_received{false}; ///< Acknowledged by the kernel of the gateway.
    /// When the last line arrived that this connection may bring but for the announcement of its end.
    std::optional<anvilmount::steady_time> m_awaits_close_since;
    bool m_in_transaction{false};          ///< The current operation is a transaction.
    std::deque<planned_statement> m_plan;  ///< Statements of the operation that were not sent yet.
    std::deque<outstanding> m_outstanding; ///< Several only after the sending direction was shut down.
    std::map<std::string, std::string> m_prepared; ///< Access and shape by name.
};

}
