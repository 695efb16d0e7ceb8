/// \file soak_caller.hpp
/// One caller of the soak: connects to some instance, runs operations one after
/// the other, tells the ledger what it sent and was told, and now and then
/// leaves without a word.
#pragma once

#include "soak/promise_ledger.hpp"

#include "anvilmount/wire/reactor.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <deque>
#include <functional>
#include <random>

namespace test {

/// What callers share.
struct soak_environment {
    anvilmount::reactor& m_loop;
    promise_ledger& m_ledger;
    std::mt19937& m_random;
    std::uint64_t m_next_number{1}; ///< Of sessions, attempts and statements.
    std::function<std::optional<std::pair<int, anvilmount::endpoint>>()> m_pick_instance{};
    /// The instance ended a session while `id` was outstanding for that long.
    std::function<void(int instance, const std::string& id, anvilmount::milliseconds)> m_on_cut_off{};
};

class soak_caller {
public:
    soak_caller(soak_environment& environment, soak_route route)
        : m_environment(environment), m_route(std::move(route)) {}

    /// Runs operations until stop().
    void start();
    void stop();

private:
    /// One statement of an operation, as it goes over the wire and as the ledger knows it.
    struct planned_statement {
        std::string m_wire{};
        std::string m_text{};
    };

    struct outstanding {
        std::string m_id{};
        std::string m_text{};
        anvilmount::steady_time m_sent_at{};
        received_answer m_answer{};
        bool m_failed{false};
    };

    [[nodiscard]] int draw(int below);
    [[nodiscard]] bool chance(int percent) { return draw(100) < percent; }
    void connect();
    void end_session(anvilmount::milliseconds pause);
    void on_line(const std::string& line);
    void on_ready(const std::string& state);
    void on_connection_lost();
    void next_operation();
    void plan_operation();
    [[nodiscard]] planned_statement draw_data_statement(bool may_write);
    void send_next();
    void schedule(anvilmount::milliseconds delay, void (soak_caller::*action)());
    void check_timeout(const std::string& id);

    soak_environment& m_environment;
    soak_route m_route;
    std::shared_ptr<anvilmount::tcp_stream> m_stream;
    std::string m_unread;
    std::uint64_t m_session{0}; ///< Changes with each connection.
    std::uint64_t m_attempt{0};
    int m_instance{0};
    bool m_opened{false};
    bool m_stopped{false};
    bool m_in_transaction{false}; ///< The operation is one.
    std::deque<planned_statement> m_plan;
    std::optional<outstanding> m_outstanding;
    std::map<std::string, std::string> m_prepared; ///< Access and shape by name.
};

}
