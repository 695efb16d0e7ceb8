/// \file fake_store.hpp
/// The metadata store in memory, with its faults: away, turning single callers
/// away, losing answers of changes that were made, forgetting its history.
#pragma once

#include "support/manual_clock.hpp"

#include "anvilmount/gateway/ports.hpp"

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace anvilmount::test {

class fake_store {
public:
    explicit fake_store(manual_clock& clock) : m_clock(clock) {}

    /// A client's view of the store. `name` is by which it can be turned away.
    [[nodiscard]] gateway::store_port port(const std::string& name);

    /// Writes as an operator or upstream does, whatever the faults are.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    [[nodiscard]] std::string value(const std::string& table, const std::string& key) const;

    void forget_history();

    bool m_unreachable{false};               ///< No call is answered.
    std::set<std::string> m_refused_clients; ///< These clients are refused.
    bool m_loses_change_answers{false};
    std::set<std::string> m_slow_heartbeat_clients; ///< These clients' heartbeats are answered late.
    std::size_t m_max_watch_rows{1000};             ///< Longer answers of a feed do not arrive in time.
    bool m_silent_watches{false};                   ///< They get no answer at all.
    /// This client is answered from an earlier look, as by another instance that has kept it.
    struct kept_snapshot {
        std::string m_client{};
        steady_time m_taken_at{};
        gateway::store_answer m_answer{};
    };
    [[nodiscard]] kept_snapshot read_snapshot(const std::string& client, const std::string& table) const;
    std::optional<kept_snapshot> m_kept_snapshot;
    int m_calls{0};
    int m_changes{0}; ///< Calls that change something.

private:
    using row_key = std::pair<std::string, std::string>;

    struct waiter {
        std::string m_name{};
        std::string m_table{};
        std::uint64_t m_after{0};
        gateway::store_callback m_done{};
        bool m_answered{false};
    };

    [[nodiscard]] bool apply_fault(const std::string& name, const gateway::store_callback& done);
    void answer(const gateway::store_callback& done, gateway::store_answer reply);
    void change(const std::string& name, const gateway::store_change& what,
                const gateway::store_callback& done);
    void watch(const std::string& name, const std::string& table, std::uint64_t version, milliseconds wait,
               gateway::store_callback done);
    void answer_waiters();
    [[nodiscard]] gateway::store_answer changes_since(const std::string& table, std::uint64_t after) const;

    manual_clock& m_clock;
    std::map<row_key, gateway::store_row> m_rows;
    std::multimap<std::uint64_t, gateway::store_row> m_history; ///< Key: version.
    std::uint64_t m_version{0};
    std::uint64_t m_oldest_version{0}; ///< Feeds from before this are gone.
    std::list<std::shared_ptr<waiter>> m_waiters;
};

}
