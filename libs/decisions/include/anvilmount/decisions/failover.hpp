/// \file failover.hpp
/// Decides when a database group needs a new primary, which upstream is
/// promoted, and which orders the other upstreams get. The coordinator of a
/// group feeds it reports about the upstreams and carries out its orders.
///
/// Safety does not depend on these decisions being right, nor on a single
/// instance making them: an upstream accepts each term once, a promotion needs
/// a majority that has moved to the new term, and an acknowledgement needs a
/// majority that is still in the old one. The decisions only determine how soon
/// the group accepts writes again and how rarely it is disturbed.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace anvilmount {

/// State of one upstream as it reports it, including what it knows of its peers.
struct member_report {
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_position;
    std::optional<upstream_id> m_following{}; ///< Set at a replica that knows its primary.
    bool m_stream_works{false};               ///< At a replica: its primary answers it.
    int m_active_followers{0};                ///< At a primary: followers that asked for the log lately.
    bool m_leaving{false};                    ///< The upstream is being drained.
};

enum class order_kind { raise_term, promote, follow, hold_writes };

/// An order for the coordinator to send to one upstream.
struct failover_order {
    order_kind m_kind{order_kind::raise_term};
    upstream_id m_upstream;
    std::uint64_t m_term{0};
    upstream_id m_primary; ///< For order_kind::follow: the primary to follow.
};

struct failover_options {
    std::vector<upstream_id> m_members;
    bool m_automatic{true};                ///< Replace an unreachable primary without an operator.
    milliseconds m_report_lifetime{450};   ///< Older reports are ignored.
    milliseconds m_suspicion_timeout{120}; ///< Time a primary must be unreachable before it is replaced.
    milliseconds m_attempt_timeout{400}; ///< An unfinished change of primary is abandoned after this time.
    milliseconds m_follow_interval{300}; ///< Minimum time between two follow orders to one upstream.
    /// Pause between two changes of primary; doubles with each change that follows closely.
    milliseconds m_initial_backoff{1000};
    milliseconds m_max_backoff{60000};
    milliseconds m_backoff_reset_after{300000}; ///< Quiet period after which the backoff starts afresh.
};

class failover {
public:
    explicit failover(failover_options options) : m_options(std::move(options)) {}

    /// Applies a changed member list or promotion rule. An attempt in flight continues.
    void set_options(failover_options options) { m_options = std::move(options); }

    void on_report(const upstream_id& member, const member_report& report, steady_time now);
    void on_silence(const upstream_id& member, steady_time now);

    /// An upstream has moved to `term` and holds the log up to `position`.
    void on_term_raised(const upstream_id& member, std::uint64_t term, const log_position& position,
                        steady_time now);

    /// An upstream did not carry out an order. Another instance may have used a higher term.
    void on_order_refused(const upstream_id& member, std::uint64_t term, steady_time now);
    void on_promoted(const upstream_id& member, std::uint64_t term, steady_time now);

    /// Starts a planned switch to `member`. Returns the reason why the switch
    /// cannot start, or nothing when it has started.
    [[nodiscard]] std::optional<const char*> request_switch(const upstream_id& member, steady_time now);

    /// Returns the orders to carry out now. `random` staggers the attempts of
    /// instances that race.
    [[nodiscard]] std::vector<failover_order> decide(steady_time now, std::uint32_t random);

    /// Returns the primary of the greatest known term, if its last report is fresh.
    [[nodiscard]] std::optional<upstream_id> primary(steady_time now) const;

    /// Returns a description of the current stage for status output.
    [[nodiscard]] const char* activity() const;

    /// Returns the number of completed changes of primary.
    [[nodiscard]] std::uint64_t primary_changes() const { return m_primary_changes; }

private:
    enum class stage { watching, draining, raising_term, promoting };

    struct member {
        member_report m_report;
        std::optional<steady_time> m_reported_at; ///< Unset: the upstream does not answer.
        steady_time m_last_order_at{};
    };

    [[nodiscard]] int majority() const { return static_cast<int>(m_options.m_members.size()) / 2 + 1; }
    [[nodiscard]] bool is_fresh(const member& peer, steady_time now) const;
    [[nodiscard]] int count_fresh_members(steady_time now) const;
    [[nodiscard]] std::uint64_t greatest_term() const;
    [[nodiscard]] const upstream_id* latest_primary() const;
    [[nodiscard]] bool is_primary_unreachable(steady_time now) const;
    void monitor_primary(steady_time now, std::uint32_t random, std::vector<failover_order>& orders);
    void realign_replicas(const upstream_id& primary, steady_time now, std::vector<failover_order>& orders);
    void begin_term_raise(steady_time now, std::vector<failover_order>& orders);
    void drain(steady_time now, std::vector<failover_order>& orders);
    void promote_if_ready(steady_time now, std::vector<failover_order>& orders);
    [[nodiscard]] std::optional<upstream_id> choose_candidate(steady_time now) const;
    void abandon_attempt(steady_time now, std::uint32_t random);

    failover_options m_options;
    std::map<upstream_id, member> m_members;
    stage m_stage{stage::watching};
    std::optional<steady_time> m_suspected_since;
    std::uint64_t m_suspected_term{0}; ///< Greatest term when suspicion began; a new term restarts it.
    steady_time m_attempt_started_at{};
    steady_time m_next_attempt_at{};                        ///< Earliest start of the next attempt.
    std::uint64_t m_attempt_term{0};                        ///< Term of the attempt in flight.
    std::map<upstream_id, log_position> m_raised_positions; ///< Members that have moved to m_attempt_term.
    std::optional<upstream_id> m_old_primary;               ///< Primary when the attempt began.
    upstream_id m_candidate;
    std::optional<upstream_id> m_switch_target; ///< Requested by an operator.
    std::optional<steady_time> m_last_change_at;
    milliseconds m_backoff{0};
    std::uint64_t m_primary_changes{0};
};

}
