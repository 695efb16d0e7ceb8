/// \file log_follower.hpp
/// Replication client of a replica: polls the primary's log over an ordinary
/// connection and applies each entry after the set lag. Reconnects after a loss.
#pragma once

#include "database/database.hpp"

#include "anvilmount/base/time.hpp"
#include "anvilmount/wire/pg_framing.hpp"
#include "anvilmount/wire/tcp_stream.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace standin {

struct log_follower_options {
    anvilmount::endpoint m_primary;
    std::string m_name;
    std::uint64_t m_term{0};
    /// Returns the position of the last entry that the replica applied.
    std::function<log_position()> m_applied_position;
    std::function<anvilmount::milliseconds()> m_lag;
    std::function<void(const log_entry&)> m_apply;
    /// Called when the replica's log is not a prefix of the primary's; the replica must
    /// discard its data.
    std::function<void()> m_on_diverged;
};

class log_follower {
public:
    log_follower(anvilmount::reactor& loop, log_follower_options options);
    ~log_follower();
    log_follower(const log_follower&) = delete;
    log_follower& operator=(const log_follower&) = delete;

    /// Returns whether the primary answered within the answer timeout.
    [[nodiscard]] bool is_receiving() const;

    /// Applies all received entries without waiting for the lag: a change of term must
    /// not lose entries that were acknowledged to the primary.
    void apply_pending();

private:
    struct pending_entry {
        anvilmount::steady_time m_due;
        log_entry m_entry;
    };

    void connect();
    void request_entries();
    void on_bytes(std::string_view bytes);
    void on_row(std::string_view body);
    void schedule_reconnect();
    void apply_due();
    [[nodiscard]] log_position received_position() const;

    anvilmount::reactor& m_reactor;
    log_follower_options m_options;
    std::shared_ptr<anvilmount::tcp_stream> m_stream;
    anvilmount::pg_message_buffer m_input;
    std::deque<pending_entry> m_pending;
    anvilmount::steady_time m_last_answer{};
    std::shared_ptr<bool> m_alive; ///< Timers can outlive the follower and check this first.
};

}
