/// \file upstream_server.hpp
/// The stand-in upstream, a small PostgreSQL server for tests: its data, its role in
/// the database group, sessions, execution slots and faults. A primary serves its log
/// to replicas that poll it; a replica follows one address in one term. An upstream
/// whose term was raised takes no part in any lower term.
#pragma once

#include "database/database.hpp"
#include "upstream/log_follower.hpp"

#include "anvilmount/wire/pg_messages.hpp"
#include "anvilmount/wire/reactor.hpp"
#include "anvilmount/wire/tcp_listener.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace standin {

using anvilmount::endpoint;
using anvilmount::microseconds;
using anvilmount::milliseconds;

struct upstream_options {
    std::string m_name;
    endpoint m_listen;
    bool m_primary{false};
    std::optional<endpoint> m_follow; ///< Primary to replicate from.
    int m_connection_limit{20};
    int m_slots{0};                  ///< 0: as many as connections.
    milliseconds m_connect_time{10}; ///< Time to open a connection.
    microseconds m_service_time{0};  ///< Time that a statement occupies its slot.
    milliseconds m_lag{0};           ///< Replication lag.
};

class upstream_session;

class upstream_server {
public:
    upstream_server(anvilmount::reactor& loop, upstream_options options);
    ~upstream_server();
    upstream_server(const upstream_server&) = delete;
    upstream_server& operator=(const upstream_server&) = delete;

    /// Errors: listen_failed (1603).
    [[nodiscard]] anvilmount::result<void> start();

    [[nodiscard]] anvilmount::reactor& loop() { return m_reactor; }
    [[nodiscard]] database& data() { return m_data; }
    [[nodiscard]] const upstream_options& options() const { return m_options; }
    [[nodiscard]] std::uint64_t term() const { return m_term; }
    [[nodiscard]] bool is_primary() const { return m_is_primary; }
    [[nodiscard]] bool writes_held() const { return m_writes_held; }

    /// Runs `work` once a slot is free. The slot stays taken until release_slot().
    void acquire_slot(std::function<void()> work);
    void release_slot();

    /// Runs `work` at the next notify_unlocked(), to retry a statement that waits for a
    /// row lock or for held writes.
    void run_after_unlock(std::function<void()> work) { m_waiting_for_unlock.push_back(std::move(work)); }
    void notify_unlocked();

    /// Runs an SQL function, such as those that control the server or report its state.
    [[nodiscard]] std::variant<result_set, sql_error> call(const std::string& name,
                                                           const std::vector<sql_value>& arguments);

    void cancel(const anvilmount::backend_key& key);
    void remove(upstream_session* session);

private:
    using arguments = std::vector<sql_value>;
    using answer = std::variant<result_set, sql_error>;

    void accept(int fd);
    answer group_state() const;
    answer log_since(const arguments& values);
    answer raise_term(const arguments& values);
    answer promote(const arguments& values);
    answer follow(const arguments& values);
    answer hold_writes(const arguments& values);
    answer control(const arguments& values);
    /// Applies what was received in the current term, then enters the next one without
    /// a role.
    void enter_term(std::uint64_t next_term);
    void start_following(const endpoint& primary);

    anvilmount::reactor& m_reactor;
    upstream_options m_options;
    database m_data;
    std::uint64_t m_term{1};
    bool m_is_primary{false};
    bool m_replication_cut{false}; ///< Fault: neither serves nor follows a log.
    bool m_leaving{false};         ///< Being drained; reported by group_state().
    std::optional<endpoint> m_followed_primary;
    std::unique_ptr<log_follower> m_follower;
    struct follower_state {
        log_position m_acknowledged_position;
        std::uint64_t m_fetches{0}; ///< Calls of log_since().
    };
    std::map<std::string, follower_state> m_followers; ///< By name, in the current term.
    bool m_writes_held{false}; ///< New writes wait, for an ordered switch of the primary.
    std::unique_ptr<anvilmount::tcp_listener> m_listener;
    std::set<std::shared_ptr<upstream_session>> m_sessions;
    int m_peak_sessions{0};
    int m_refused_connections{0};
    std::uint32_t m_next_process{1};
    int m_running_statements{0};
    std::deque<std::function<void()>> m_waiting_for_slot;
    std::vector<std::function<void()>> m_waiting_for_unlock;
};

}
