/// \file store_relay.hpp
/// Relays other instances' requests to the metadata store, so that one store call serves many
/// instances. Reads and watches are answered from local copies, and as deltas where the requester
/// says what it has seen. Changes made under the same conditions are batched, and the lease renewals
/// among them are published in one row.
#pragma once

#include "anvilmount/decisions/lease_renewals.hpp"
#include "anvilmount/gateway/store_access.hpp"
#include "anvilmount/gateway/table_copy.hpp"
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

    /// `era` reaches the store over this instance's own connections: a request is never relayed
    /// twice. `renewals` names the row in which renewals are published; no other process writes it.
    store_relay(const clock_port& clock, const store_era& era, store_access& access, metrics& counters,
                store_row renewals);
    ~store_relay() = default;
    store_relay(const store_relay&) = delete;
    store_relay& operator=(const store_relay&) = delete;

    /// Answers requests for this table from `copy`, which must outlive the relay.
    void share_copy(table_follower& copy);

    /// Answers introductions, which are for this instance itself.
    using introduction_handler = std::function<store_answer(const member_introduction&)>;
    void set_introduction_handler(introduction_handler handler) { m_on_introduction = std::move(handler); }

    /// Answers one encoded request through `respond`.
    void serve(const std::string& request, responder respond);

    /// From now on changes wait for no batch: the process may end before it is due.
    void leave() { m_leaving = true; }

    /// Sends batches and answers watches that are due. Call every few milliseconds.
    void tick();

private:
    /// A watch that waits for a change.
    struct waiting_follower {
        follow_question m_request{};
        steady_time m_deadline{};
        store_callback m_done{};
    };

    /// Who asked for a part of a batch.
    struct requester {
        store_change m_change{};
        store_callback m_done{};
    };

    /// Changes that are made as a whole or not at all. They share their conditions on rows that they do not
    /// write; each has its own on the rows that it writes.
    struct change_batch {
        store_change m_change{};
        std::vector<store_row> m_foreign_conditions{};
        std::vector<lease_renewal> m_renewals{};
        steady_time m_due{};
        std::vector<requester> m_requesters{};
    };

    /// A read that waits for the answer of the store.
    struct waiting_reader {
        read_question m_request{};
        steady_time m_since{};
        store_callback m_done{};
    };

    /// A table that is not followed. It is read when someone asks for it, once for all that ask meanwhile.
    struct polled_table {
        table_copy m_copy{};
        steady_time m_read_at{};                     ///< When the copy was requested from the store.
        std::optional<steady_time> m_requested_at{}; ///< Set while a request is in flight.
        std::vector<waiting_reader> m_waiting{};
    };

    /// A read of a whole table on behalf of all that ask for it. Whoever asks while one is in flight gets
    /// the next: that one may have been answered before something that the asker knows of.
    struct shared_read {
        bool m_in_flight{false};
        std::vector<store_callback> m_waiting{};
    };

    void assume_current_era(store_question& request) const;
    /// Returns the local copy of the table; nullptr when there is none, it is not current or it is
    /// itself read through a relay.
    [[nodiscard]] const table_follower* usable_copy(const std::string& table) const;
    /// Answers from a copy that is at most `max_age` old, or after a read of the store.
    void read(const read_question& request, milliseconds max_age, const store_callback& done);
    void read_whole(const std::string& table, const store_callback& done);
    void send_shared_read(const std::string& table);
    void refresh(const std::string& name, polled_table& table);
    void on_refreshed(const std::string& name, const store_answer& reply);
    [[nodiscard]] static store_answer answer_from(const table_copy& copy, const read_question& request);
    void follow(const follow_question& request, const store_callback& done);
    /// Returns the answer to a watch when there is one by now.
    [[nodiscard]] static std::optional<store_answer> changes_since(const table_copy& copy,
                                                                   const follow_question& request);
    void change(const store_change& request, const store_callback& done);
    void send_due_batch();
    void answer_batch(const std::vector<requester>& requesters, const store_answer& received);
    /// A change was refused: the rows that it named are in the store as `refusal` shows them.
    void note_stored_rows(const store_answer& refusal);

    const clock_port& m_clock;
    const store_era& m_era;
    const store_port& m_direct;
    store_access& m_access;
    metrics& m_metrics;
    std::map<std::string, table_follower*> m_copies;
    std::map<std::string, shared_read> m_shared_reads; ///< Key: table.
    std::map<std::string, polled_table> m_polled;
    introduction_handler m_on_introduction;
    store_row m_renewal_row;
    published_renewals m_renewals;
    std::list<waiting_follower> m_followers;
    std::list<change_batch> m_batches;
    bool m_leaving{false};
    bool m_change_in_flight{false}; ///< One at a time.
};

}
