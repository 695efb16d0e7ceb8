/// \file candidate_choice.hpp
/// Chooses the upstream that replaces a group's primary: the one whose log holds the most. A promotion
/// rolls the other upstreams back to the log of the promoted one, so that commits which only another
/// upstream holds are lost. The choice is therefore complete only if no upstream is left out that may hold
/// more: each has reported its position after the last commit was acknowledged, or the chosen one holds
/// every position that callers were acknowledged.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/acknowledged_range.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace anvilmount {

/// What the coordinator knows of one upstream.
struct plan_upstream {
    upstream_id m_id{};
    bool m_registered{false};
    bool m_leaving{false};
    bool m_departed{false};              ///< Not registered any more; only its open work is left.
    bool m_registered_as_primary{false}; ///< Role in its registration.
    /// When the status report below was requested: it holds all that the upstream had received by then.
    std::optional<steady_time> m_status_at{};
    std::optional<steady_time> m_answered_at{}; ///< When it arrived; a busy upstream answers late.
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_position{};
};

/// What the callers of all instances were acknowledged.
struct acknowledged_commits {
    acknowledged_range m_range{};
    /// Each instance that runs has said what it acknowledged, and uses the primary no more.
    bool m_is_final{false};
};

/// What a choice is made from.
struct choice_context {
    std::span<const plan_upstream> m_upstreams{};
    upstream_id m_primary{};                   ///< The primary that is replaced.
    std::uint64_t m_term{0};                   ///< Its term.
    bool m_primary_refuses_connections{false}; ///< It seems not to run.
    steady_time m_fresh_since{};               ///< Reports that arrived before are ignored.
    /// The choice is complete when each upstream has answered a request made since then.
    steady_time m_complete_since{};
    steady_time m_now{};
    /// How long an upstream is waited for, from m_wait_from or from its last answer.
    milliseconds m_wait{0};
    steady_time m_wait_from{};
    acknowledged_commits m_acknowledged{};
    bool m_registry_complete{true}; ///< No upstream runs whose registration is missing.
    /// Commits are acknowledged only once this many replicas hold them.
    int m_synchronous_replicas{0};
};

struct candidate_choice {
    const plan_upstream* m_best{nullptr}; ///< Null: no candidate has reported.
    /// No upstream that may hold more is left out, but for those that were waited for in vain.
    bool m_is_complete{false};
};

/// Returns whether a report of the upstream has arrived since then.
[[nodiscard]] bool has_reported_since(const plan_upstream& upstream, steady_time since);

/// Returns whether the upstream may replace the primary once it reports. The recorded primary may only
/// if it says that it is a replica, in its last report or else in its registration. An upstream that leads
/// the term already is the recorded primary's server under another id: a promotion would change nothing.
[[nodiscard]] bool is_candidate(const plan_upstream& upstream, const choice_context& context);

/// Chooses among the upstreams with fresh reports. Of those that hold the same, one that does not leave is
/// preferred, then `preferred`.
[[nodiscard]] candidate_choice choose_candidate(const choice_context& context,
                                                const upstream_id& preferred);

}
