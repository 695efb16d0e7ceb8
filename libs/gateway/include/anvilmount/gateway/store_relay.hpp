/// \file store_relay.hpp
/// Relays other instances' requests to the metadata store, so that one store call serves many
/// instances. Reads and watches of followed tables are answered from local copies, and changes made
/// under the same conditions are batched.
#pragma once

#include "anvilmount/gateway/store_access.hpp"
#include "anvilmount/gateway/table_follower.hpp"

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace anvilmount::gateway {

/// Serves relayed requests over this instance's own connections to the store.
class store_relay {
public:
    /// Called with the encoded reply; with nothing when the request could not be decoded.
    using responder = std::function<void(std::optional<std::string>)>;

    /// `direct` reaches the store over this instance's own connections: a request is never relayed
    /// twice.
    store_relay(const clock_port& clock, const store_port& direct, store_access& access, metrics& counters);
    ~store_relay() = default;
    store_relay(const store_relay&) = delete;
    store_relay& operator=(const store_relay&) = delete;

    /// Answers requests for this table from `copy`, which must outlive the relay.
    void share_copy(const table_follower& copy);

    /// Answers one encoded request through `respond`.
    void serve(const std::string& request, responder respond);

    /// Sends batches and answers watches that are due. Call every few milliseconds.
    void tick();

private:
    /// A watch that waits for a change.
    struct waiting_follower {
        follow_question m_request{};
        steady_time m_deadline{};
        store_callback m_done{};
    };

    /// Changes that are made as a whole or not at all.
    struct change_batch {
        store_change m_change{};
        steady_time m_due{};
        std::vector<store_callback> m_done{};
    };

    /// A table without a local copy, as last read.
    struct cached_table {
        steady_time m_requested_at{};
        store_answer m_answer{};
    };

    /// Returns the local copy of the table; nullptr when there is none, it is not current or it is
    /// itself read through a relay.
    [[nodiscard]] const table_follower* usable_copy(const std::string& table) const;
    void read(const read_question& request, const store_callback& done);
    void follow(const follow_question& request, const store_callback& done);
    /// Returns the answer to a watch when there is one by now.
    [[nodiscard]] static std::optional<store_answer> changes_since(const table_follower& copy,
                                                                   const follow_question& request);
    void change(const store_change& request, const store_callback& done);
    void send_due_batch();

    const clock_port& m_clock;
    const store_port& m_direct;
    store_access& m_access;
    metrics& m_metrics;
    std::map<std::string, const table_follower*> m_copies;
    /// Tables without a copy.
    std::map<std::string, cached_table> m_cached;
    std::list<waiting_follower> m_followers;
    std::list<change_batch> m_batches;
    bool m_change_in_flight{false}; ///< One at a time.
};

}
