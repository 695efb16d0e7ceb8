/// \file store_access.hpp
/// This instance's way to the metadata store: its own connections, or another
/// instance that asks for it. Each question goes one way; when it fails there,
/// whoever asked asks again, and the next question goes another way.
#pragma once

#include "anvilmount/decisions/store_path.hpp"
#include "anvilmount/gateway/ports.hpp"
#include "anvilmount/gateway/store_requests.hpp"
#include "anvilmount/observe/metrics.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace anvilmount::gateway {

class store_access {
public:
    /// `own` asks over this instance's connections, `ask` puts a question to another instance.
    store_access(const clock_port& clock, const store_port& own, peer_exchange ask, metrics& counters);
    ~store_access() = default;
    store_access(const store_access&) = delete;
    store_access& operator=(const store_access&) = delete;

    [[nodiscard]] const store_port& port() const { return m_port; }

    /// Ways to the store, the preferred one first.
    void set_order(std::vector<store_path> order) { m_choice.set_order(std::move(order)); }

    using change_batcher = std::function<void(const store_change&, const store_callback&)>;

    /// Changes that may wait, and go this instance's own way, are given to `make`.
    void set_change_batcher(change_batcher make) { m_change_with_others = std::move(make); }

    /// Goes its own way until `until`, also where another is preferred: others ask here.
    void prefer_direct_until(steady_time until) { m_prefer_own_until = until; }

    /// Whether questions over its own connections have failed lately.
    [[nodiscard]] bool is_direct_failing() const { return m_choice.own_fails(m_clock.m_now()); }

    /// Whether the last answer about `table` came over its own connections.
    [[nodiscard]] bool is_read_directly(const std::string& table) const {
        return m_asked_itself.contains(table);
    }

private:
    void ask(const store_request& question, const std::string& table, const store_callback& done);
    void ask_own(const store_request& question, const store_callback& done);
    void ask_relay(const endpoint& relay, const store_request& question, const store_callback& done);
    [[nodiscard]] store_path choose() const;

    const clock_port& m_clock;
    const store_port& m_own;
    peer_exchange m_ask;
    metrics& m_metrics;
    store_port m_port;
    change_batcher m_change_with_others;
    store_path_choice m_choice;
    steady_time m_prefer_own_until{};
    std::set<std::string> m_asked_itself; ///< Tables, see asks_itself().
};

}
