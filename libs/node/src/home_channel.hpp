/// \file home_channel.hpp
/// The home's end of one channel: a caller's transaction, or one statement
/// outside a transaction, at one upstream. A record; upstream_home acts on it.
#pragma once

#include "upstream_connection.hpp"

#include "anvilmount/decisions/admission_queue.hpp"
#include "anvilmount/decisions/request_guard.hpp"
#include "peer.pb.h"

#include <functional>
#include <memory>
#include <optional>

namespace anvilmount {

/// Carries a frame to the front; may be called until an end frame was sent.
using frame_sender = std::function<void(peer::home_frame&&)>;

struct home_channel {
    enum class stage {
        waiting_for_batch,
        waiting_for_position, ///< The upstream has not yet shown that it may serve the request.
        queued,
        running,
        waiting_for_ack, ///< The write is done at the primary and not yet safe.
        in_transaction,  ///< Holds its connection; the front will send more.
        ended,
    };

    std::uint64_t m_id{0};
    peer::open_channel m_open_request;
    frame_sender m_send;
    stage m_stage{stage::waiting_for_batch};
    peer::request_batch m_batch;                       ///< Waiting to run.
    std::shared_ptr<upstream_connection> m_connection; ///< Set from the first run until the end.
    steady_time m_arrived_at{};
    steady_time m_deadline{};
    std::optional<steady_time> m_fresh_until; ///< A read that starts later would be too old.
    steady_time m_started_at{};
    steady_time m_position_wait_deadline{};
    reactor::timer_id m_idle_timer{};
    /// The answer may have been lost on its way; without a byte by then it is given up.
    std::optional<steady_time> m_suspect_deadline;
    bool m_may_commit{
        false}; ///< The running batch may acknowledge a write: nothing is shown before it is safe.
    bool m_autocommit{false};
    std::string m_held_reply;
    std::unique_ptr<request_guard> m_guard; ///< Set while a request with an id runs.
    std::string m_guard_reply;              ///< Answer to the guard's own statement.
    log_position m_write_position;          ///< While waiting_for_ack: what must be confirmed.
    microseconds m_service_time{0};
    std::uint64_t m_unacknowledged_bytes{0}; ///< Reply bytes sent and not yet credited.
    bool m_reading_paused{false};
    bool m_front_gone{false};
    bool m_cancel_sent{false}; ///< The connection may be hit by a late cancel: never reuse it.
};

}
