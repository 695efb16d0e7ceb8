/// \file home_channel.hpp
/// The home's state of one channel. A channel carries one transaction of a caller,
/// or one request outside a transaction, to one upstream. The struct is plain data;
/// upstream_home implements the behaviour.
#pragma once

#include "upstream_connection.hpp"

#include "anvilmount/decisions/admission.hpp"
#include "anvilmount/decisions/request_guard.hpp"
#include "peer.pb.h"

#include <functional>
#include <memory>
#include <optional>

namespace anvilmount {

/// Sends a frame to the front. Must not be called after a frame that ends the channel.
using frame_sender = std::function<void(peer::home_frame&&)>;

/// One open channel at its home.
struct home_channel {
    enum class stage {
        waiting_for_batch,
        waiting_for_position, ///< The upstream has not yet proven that it may serve the request.
        queued,
        running,
        waiting_for_ack, ///< The primary has committed the write; no majority has confirmed it yet.
        in_transaction,  ///< Keeps its connection and waits for the transaction's next batch.
        ended,
    };

    std::uint64_t m_id{0};
    peer::open_channel m_open_request;
    frame_sender m_send;
    stage m_stage{stage::waiting_for_batch};
    peer::request_batch m_batch;                       ///< The batch that waits to run.
    std::shared_ptr<upstream_connection> m_connection; ///< Set from the first run until the end.
    steady_time m_arrived_at{};
    steady_time m_deadline{};
    std::optional<steady_time> m_fresh_until; ///< A read that starts later exceeds its staleness bound.
    steady_time m_started_at{};
    steady_time m_position_wait_deadline{};
    reactor::timer_id m_idle_timer{};
    /// Set while the reply is suspected lost. The statement is abandoned if no byte
    /// of the reply arrives by then.
    std::optional<steady_time> m_suspect_deadline;
    /// The running batch may commit a write in a group that acknowledges by majority.
    /// Its reply is held back until a majority has confirmed the write.
    bool m_may_commit{false};
    bool m_autocommit{false};
    std::string m_held_reply;
    std::unique_ptr<request_guard> m_guard; ///< Set while a request with an id runs.
    std::string m_guard_reply;              ///< Reply to the guard's own statement.
    log_position m_write_position;          ///< The position to confirm while waiting_for_ack.
    microseconds m_service_time{0};
    std::uint64_t m_unacknowledged_bytes{0}; ///< Reply bytes sent and not yet credited.
    bool m_reading_paused{false};
    bool m_front_gone{false};
    bool m_cancel_sent{false}; ///< A late cancel may still hit the connection, so it is not reused.
};

}
