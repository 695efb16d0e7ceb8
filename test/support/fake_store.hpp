/// \file fake_store.hpp
/// In-memory metadata store for tests in virtual time. Its faults: being unreachable,
/// refusing single clients, losing the answers of changes that it made, answering
/// late, discarding its change history, and coming back from an older copy.
#pragma once

#include "support/manual_clock.hpp"

#include "anvilmount/gateway/ports.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace anvilmount::test {

/// A versioned key-value store that gateways use through store_port.
class fake_store {
public:
    explicit fake_store(manual_clock& clock) : m_clock(clock) {}

    /// Returns a client's port to the store. `name` identifies the client in m_refused_clients and in
    /// the other faults of single clients.
    [[nodiscard]] gateway::store_port port(const std::string& name);

    /// Writes directly, as an operator or an upstream does; faults have no effect on it.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    [[nodiscard]] std::string value(const std::string& table, const std::string& key) const;

    /// Discards the change history, so that watches from earlier versions answer history_gone.
    void forget_history();

    /// The store's contents at one moment.
    struct backup;
    [[nodiscard]] std::shared_ptr<const backup> back_up() const;

    /// Goes back to `earlier`: what was written since is gone, and its versions are given out again.
    /// Watches from versions that the store no longer has are answered with history_gone.
    void restore(const std::shared_ptr<const backup>& earlier);

    bool m_unreachable{false};               ///< No call is answered.
    std::set<std::string> m_refused_clients; ///< These clients are refused.
    bool m_loses_change_answers{false};
    std::set<std::string> m_slow_heartbeat_clients; ///< These clients' heartbeats are answered late.
    /// Returns by how much later than usual a change that was made for a client is answered.
    std::function<milliseconds(const std::string& client, const gateway::store_change& change)>
        m_answer_delay{[](const auto&, const auto&) { return milliseconds{0}; }};
    /// Returns how long after its request a change is made, on its conditions of then, and answered if its
    /// client has not given up by then.
    std::function<milliseconds(const std::string& client, const gateway::store_change& change)>
        m_change_delay{[](const auto&, const auto&) { return milliseconds{0}; }};
    std::size_t m_max_watch_rows{1000}; ///< Longer answers of a watch end in a timeout.
    bool m_silent_watches{false};       ///< Watches get no answer.
    /// An earlier snapshot, from which one client is answered, as if another instance had cached it.
    struct kept_snapshot {
        std::string m_client{};
        steady_time m_taken_at{};
        gateway::store_answer m_answer{};
    };
    [[nodiscard]] kept_snapshot read_snapshot(const std::string& client, const std::string& table) const;
    std::optional<kept_snapshot> m_kept_snapshot;
    int m_calls{0};
    int m_changes{0}; ///< Changes that were applied.

private:
    using row_key = std::pair<std::string, std::string>;

    /// A watch that is not answered yet.
    struct waiter {
        std::string m_name{};
        std::string m_table{};
        std::uint64_t m_after{0};
        gateway::store_callback m_done{};
        bool m_answered{false};
    };

    /// Returns whether a fault applies to the call; `done` is then called with its outcome.
    [[nodiscard]] bool apply_fault(const std::string& name, const gateway::store_callback& done);
    void answer(const gateway::store_callback& done, gateway::store_answer reply);
    void read_changes(const std::string& name, const std::string& table, const store_version& version,
                      gateway::store_callback done);
    void change(const std::string& name, const gateway::store_change& what,
                const gateway::store_callback& done);
    void apply_change(const std::string& name, const gateway::store_change& what,
                      const gateway::store_callback& done);
    void watch(const std::string& name, const std::string& table, const store_version& version,
               milliseconds wait, gateway::store_callback done);
    /// Returns the row as the store answers it; stored versions name no era.
    [[nodiscard]] gateway::store_row in_present_era(gateway::store_row row) const;
    /// Answers the watches whose table has changed.
    void answer_waiters();
    [[nodiscard]] gateway::store_answer changes_since(const std::string& table, std::uint64_t after) const;

    manual_clock& m_clock;
    std::map<row_key, gateway::store_row> m_rows;
    std::multimap<std::uint64_t, gateway::store_row> m_history; ///< Key: version.
    [[nodiscard]] store_version current_version() const { return {.m_era = m_era, .m_number = m_version}; }

    std::uint64_t m_era{1};
    std::uint64_t m_version{0};
    std::uint64_t m_oldest_version{0}; ///< Watches from older versions are answered with history_gone.
    std::list<std::shared_ptr<waiter>> m_waiters;
};

struct fake_store::backup {
    std::map<row_key, gateway::store_row> m_rows{};
    std::multimap<std::uint64_t, gateway::store_row> m_history{};
    std::uint64_t m_version{0};
    std::uint64_t m_oldest_version{0};
};

}
