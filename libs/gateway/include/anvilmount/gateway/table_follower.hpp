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
    /// `on_current` is called after each answer, with when its question was sent.
    struct callbacks {
        std::function<void(const std::map<std::string, store_row>& rows)> m_on_change{};
        std::function<void(steady_time asked_at)> m_on_current{};
    };

    table_follower(std::string table, milliseconds wait, const clock_port& clock, const store_port& store,
                   callbacks told);

    void start();

    /// Changes how long a quiet feed waits, from the next question on.
    void set_wait(milliseconds wait) { m_wait = wait; }

    [[nodiscard]] bool is_loaded() const { return m_loaded; }
    [[nodiscard]] const std::map<std::string, store_row>& rows() const { return m_rows; }

    /// Since when questions have gone unanswered or were refused; unset while all is well.
    [[nodiscard]] std::optional<steady_time> lost_since() const { return m_lost_since; }
    /// When the store last began to answer again.
    [[nodiscard]] steady_time regained_at() const { return m_regained_at; }

private:
    void ask(bool whole);
    void on_answer(bool whole, steady_time asked_at, const store_answer& reply);
    bool take(const store_row& row);
    bool take_whole(const store_answer& reply);
    void ask_later();

    std::string m_table;
    milliseconds m_wait;
    const clock_port& m_clock;
    const store_port& m_store;
    callbacks m_told;
    std::map<std::string, store_row> m_rows; ///< Key: row key.
    std::uint64_t m_version{0};              ///< Up to which m_rows is current.
    bool m_loaded{false};
    int m_failures{0}; ///< In a row.
    std::optional<steady_time> m_lost_since;
    steady_time m_regained_at{};
};

}
