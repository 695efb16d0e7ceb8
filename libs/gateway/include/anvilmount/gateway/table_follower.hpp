/// \file table_follower.hpp
/// Keeps a local copy of one table of the metadata store. The copy starts from a snapshot and
/// follows the table's change feed (a watch); it is reloaded from a new snapshot when the feed's
/// history is gone or a request is not answered. A row never goes back to an earlier version.
#pragma once

#include "anvilmount/gateway/ports.hpp"
#include "anvilmount/gateway/table_copy.hpp"

#include <functional>
#include <map>
#include <string>

namespace anvilmount::gateway {

/// Follows one table from start() on and calls the change handler on each change.
class table_follower {
public:
    /// Called with all rows once the table is loaded, and after each change.
    using change_handler = std::function<void(const std::map<std::string, store_row>& rows)>;

    struct options {
        std::string m_table{};
        /// How long the store holds a watch open when nothing changes.
        milliseconds m_watch_timeout{15000};
        /// Least time between two requests, so that changes in quick succession arrive together.
        milliseconds m_min_interval{0};
    };

    table_follower(options following, const clock_port& clock, const store_port& store,
                   change_handler on_change);

    /// Reads the first snapshot.
    void start();

    /// Reads a new snapshot now and ignores the request in flight, which is known to be overdue or
    /// to miss a newer row. Does nothing while a snapshot is in flight.
    void refresh();

    /// The store has a row of the table in `version`, as the refusal of a change shows: reads a new
    /// snapshot unless the copy is as new.
    void note_stored_version(const store_version& version);

    /// Whether the copy is as new as all that is known to be stored.
    [[nodiscard]] bool is_current() const { return m_copy.version() >= m_stored_version; }

    [[nodiscard]] const std::string& table() const { return m_options.m_table; }
    [[nodiscard]] bool is_loaded() const { return m_loaded; }
    [[nodiscard]] const table_copy& copy() const { return m_copy; }
    /// Version of the store up to which the copy is current.
    [[nodiscard]] const store_version& version() const { return m_copy.version(); }
    [[nodiscard]] const std::map<std::string, store_row>& rows() const { return m_copy.rows(); }

    /// Returns the row with `key` as a condition of a change: that it is still as known here. Its version
    /// is unset if the copy has no such row.
    [[nodiscard]] store_row known_row(const std::string& key) const;

    /// Until when, at least, the copy before the last change was that of the store, as far as the path to
    /// it carried news; the epoch of the clock for the first copy.
    [[nodiscard]] steady_time previous_copy_held_until() const { return m_previous_copy_held_until; }

    /// Since when requests have gone unanswered or been refused; unset while the store answers.
    [[nodiscard]] std::optional<steady_time> unavailable_since() const { return m_unavailable_since; }
    /// When the store last began to answer again.
    [[nodiscard]] steady_time recovered_at() const { return m_recovered_at; }

private:
    void send_request(bool snapshot);
    void on_answer(bool snapshot, const store_answer& reply);
    void request_next();
    void retry_later();

    options m_options;
    const clock_port& m_clock;
    const store_port& m_store;
    change_handler m_on_change;
    table_copy m_copy;
    store_version m_stored_version; ///< Newest one seen in the refusal of a change.
    bool m_loaded{false};
    bool m_snapshot_in_flight{false};
    /// Of the newest request; answers to older ones are ignored.
    std::uint64_t m_request_number{0};
    steady_time m_requested_at{};
    int m_consecutive_failures{0};
    bool m_history_lost{false}; ///< No watch has succeeded since one was answered with history_gone.
    std::optional<steady_time> m_unavailable_since;
    steady_time m_recovered_at{};
    steady_time m_answered_at{}; ///< The last time.
    steady_time m_previous_copy_held_until{};
};

}
