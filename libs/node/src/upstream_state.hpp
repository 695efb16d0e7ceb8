/// \file upstream_state.hpp
/// The state that an upstream reports about itself and its followers, with the
/// request for it and the parser of the reply. Probes use it to monitor an
/// upstream. docs/UPSTREAM-CONTRACT.md describes this contract between the proxy
/// and a database group.
#pragma once

#include "anvilmount/base/endpoint.hpp"
#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/lineage.hpp"
#include "anvilmount/decisions/replication_proof.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmount {

/// One reply of an upstream to a state request.
struct upstream_state {
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_position;             ///< End of the log: applied at a replica, written at a primary.
    std::optional<endpoint> m_following; ///< Set at a replica that was told which primary to follow.
    bool m_stream_works{false};          ///< At a replica: its primary answers it.
    bool m_leaving{false};               ///< The upstream is being drained.
    std::vector<follower_report> m_followers; ///< At a primary: its followers in its current term.
    std::vector<term_start> m_history;        ///< Ordered by term.
    steady_time m_requested_at{};             ///< When the request was sent; the state was read later.
};

/// Returns the messages that request the state, to be run as one batch. They use
/// a named statement, so that a connection prepares it only once and the reply
/// carries no row description.
[[nodiscard]] std::string state_request();

/// Parses the reply: one row whose columns are identified by position. Returns
/// nothing when the reply holds no state.
[[nodiscard]] std::optional<upstream_state> parse_upstream_state(std::string_view reply);

}
