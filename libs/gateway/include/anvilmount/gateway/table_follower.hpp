/// \file table_follower.hpp
/// Keeps a copy of one table of the metadata store by its change feed, and
/// reads the whole table again when the feed's history is gone or a question
/// was not answered. A row never goes back to an earlier version.
#pragma once

#include "anvilmount/gateway/ports.hpp"

#include <functional>
#include <map>
#include <string>

namespace anvilmount::gateway {

class table_follower {
public:
    /// Called with all rows once the table is known, and after each change.
    using change_handler = std::function<void(const std::map<std::string, store_row>& rows)>;

    struct options {
        std::string m_table{};
        milliseconds m_watch_timeout{15000}; ///< A quiet feed answers after this.
        milliseconds m_min_interval{
            0}; ///< Least time between two questions: changes in series come together.
    };

    table_follower(options following, const clock_port& clock, const store_port& store,
                   change_handler on_change);

    void start();

    /// Reads the whole table now, and forgets the question that is under way:
    /// it is known to be overdue, or that the copy is not the newest.
    void refresh();

    [[nodiscard]] const std::string& table() const { return m_options.m_table; }
    [[nodiscard]] bool is_loaded() const { return m_loaded; }
    /// Up to which version of the store the copy is current.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Version of the newest row taken in.
    [[nodiscard]] std::uint64_t newest_row_version() const { return m_newest_row; }
    /// Up to which version rows that are gone by now may have been there.
    [[nodiscard]] std::uint64_t last_removal_version() const { return m_removed_at; }
    [[nodiscard]] const std::map<std::string, store_row>& rows() const { return m_rows; }

    /// Since when questions have gone unanswered or were refused; unset while all is well.
    [[nodiscard]] std::optional<steady_time> unavailable_since() const { return m_lost_since; }
    /// When the store last began to answer again.
    [[nodiscard]] steady_time recovered_at() const { return m_regained_at; }

private:
    void ask(bool whole);
    void on_answer(bool whole, const store_answer& reply);
    void ask_next();
    bool take(const store_row& row);
    bool take_whole(const store_answer& reply);
    void ask_later();

    options m_options;
    const clock_port& m_clock;
    const store_port& m_store;
    change_handler m_on_change;
    std::map<std::string, store_row> m_rows; ///< Key: row key.
    std::uint64_t m_version{0};              ///< Up to which m_rows is current.
    std::uint64_t m_removed_at{0};
    std::uint64_t m_newest_row{0};
    bool m_loaded{false};
    bool m_reads_whole{false};
    std::uint64_t m_question{0}; ///< Number of the newest; answers to others are ignored.
    int m_failures{0};           ///< In a row.
    std::optional<steady_time> m_lost_since;
    steady_time m_regained_at{};
};

}
