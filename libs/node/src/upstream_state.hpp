/// \file upstream_state.hpp
/// What an upstream says of itself and its peers: the contract between the
/// proxy and a database group. docs/UPSTREAM-CONTRACT.md describes it.
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

struct upstream_state {
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_position;             ///< Applied at a replica, written at a primary.
    std::optional<endpoint> m_following; ///< Set at a replica that was told whom to follow.
    bool m_stream_works{false};          ///< At a replica: its primary answers.
    bool m_leaving{false};
    std::vector<follower_report> m_followers; ///< At a primary, in its term.
    std::vector<term_start> m_history;        ///< In order of terms.
    steady_time m_requested_at{};             ///< The state held at some moment after this one.
};

/// Messages that ask for the state, to be run as one batch. The statement is
/// named, so that a connection prepares it once and rows come without their
/// description.
[[nodiscard]] std::string state_request();

/// Reads the answer: one row, columns by place. Returns nothing when it is no state.
[[nodiscard]] std::optional<upstream_state> parse_upstream_state(std::string_view answer);

}
