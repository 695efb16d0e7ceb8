/// \file store_access.hpp
/// Routes this instance's requests to the metadata store: directly over its own connections, or
/// through another instance that relays them. A request takes one path only. When that path fails,
/// the requester retries, and later requests take another path.
#pragma once

#include "anvilmount/decisions/store_path.hpp"
#include "anvilmount/gateway/ports.hpp"
#include "anvilmount/gateway/store_era.hpp"
#include "anvilmount/gateway/store_questions.hpp"
#include "anvilmount/observe/metrics.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilmount::gateway {

/// Offers the store as a store_port that picks the path of each request.
class store_access {
public:
    /// `era` reaches the store over this instance's own connections, `send_peer_request` sends a
    /// request to another instance.
    store_access(const clock_port& clock, store_era& era, peer_request send_peer_request,
                 metrics& counters);
    ~store_access() = default;
    store_access(const store_access&) = delete;
    store_access& operator=(const store_access&) = delete;

    /// The store over whichever path is chosen.
    [[nodiscard]] const store_port& port() const { return m_port; }

    /// Sets the paths to the store, the preferred one first.
    void set_order(std::vector<store_path> order) { m_choice.set_order(std::move(order)); }

    /// Sends the watches that were held back. A watch keeps its path for seconds, so the first ones
    /// wait until it is known whether another instance relays.
    void release_watches();

    using change_batcher = std::function<void(const store_change&, const store_callback&)>;

    /// Direct changes that may wait, and renewals, are passed to `batcher`.
    void set_change_batcher(change_batcher batcher) { m_batch_change = std::move(batcher); }

    using change_reader = std::function<void(const read_question&, const store_callback&)>;

    /// Direct reads of the changes after a version are passed to `reader`, which shares one copy of
    /// the table with the reads of other instances.
    void set_change_reader(change_reader reader) { m_read_changes = std::move(reader); }

    /// Prefers the direct path until `until`, because other instances' requests are relayed here.
    void prefer_direct_until(steady_time until) { m_prefer_direct_until = until; }

    /// Whether direct requests have failed lately.
    [[nodiscard]] bool is_direct_failing() const { return m_choice.is_direct_failing(m_clock.m_now()); }

    /// Whether the last answer about `table` came over this instance's own connections.
    [[nodiscard]] bool is_read_directly(const std::string& table) const {
        return m_directly_read_tables.contains(table);
    }

private:
    /// A watch that was requested before the paths were known.
    struct held_watch {
        follow_question m_request{};
        store_callback m_done{};
    };

    void send(const store_question& request, const std::string& table, const store_callback& done);
    void send_direct(const store_question& request, const store_callback& done);
    void send_relayed(const endpoint& relay, const store_question& request, const store_callback& done);
    [[nodiscard]] store_path choose() const;
    void log_path(const std::string& table, const store_path& path);

    const clock_port& m_clock;
    store_era& m_era;
    const store_port& m_direct;
    peer_request m_send_peer_request;
    metrics& m_metrics;
    store_port m_port;
    change_batcher m_batch_change;
    change_reader m_read_changes;
    store_path_selector m_choice;
    bool m_holds_watches{true};
    std::vector<held_watch> m_held_watches;
    steady_time m_prefer_direct_until{};
    /// See is_read_directly().
    std::set<std::string> m_directly_read_tables;
    std::map<std::string, store_path> m_logged_paths; ///< Last path of requests for each table.
};

}
