/// \file failover.hpp
/// Decides when a group needs a new primary, which upstream becomes it, and
/// what the others must do. Safety does not rest on these decisions being
/// right or on only one instance making them: an upstream takes each term once,
/// a promotion needs a majority that has moved to its term, and an
/// acknowledgement needs a majority that has not. What is decided here is only
/// how soon the group serves writes again and how seldom it is disturbed.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/log_position.hpp"
#include "anvilmount/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace anvilmount {

/// How one upstream looks from the outside, and what it says of its peers.
struct member_report {
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_position;
    std::optional<upstream_id> m_following{}; ///< Set at a replica that knows its primary.
    bool m_stream_works{false};               ///< At a replica: its primary answers it.
    int m_active_followers{0};                ///< At a primary: followers that asked for the log lately.
    bool m_leaving{false};
};

enum class order_kind { raise_term, promote, follow, hold_writes };

/// Something to do at one upstream.
struct failover_order {
    order_kind m_kind{order_kind::raise_term};
    upstream_id m_upstream;
    std::uint64_t m_term{0};
    upstream_id m_primary; ///< For follow.
};

struct failover_options {
    std::vector<upstream_id> m_members;
    bool m_automatic{true};
    milliseconds m_report_lifetime{450};   ///< A report older than this says nothing of now.
    milliseconds m_suspicion_timeout{120}; ///< A primary must look dead for this long.
    milliseconds m_attempt_timeout{
        400}; ///< A change of primary that has not come about by then is given up.
    milliseconds m_follow_interval{300}; ///< Between two orders to follow at one upstream.
    milliseconds m_initial_backoff{
        1000}; ///< Between two changes of primary; doubles while they come close together.
    milliseconds m_max_backoff{60000};
    milliseconds m_backoff_reset_after{
        300000}; ///< After this long without a change the rest is back to the first.
};

class failover {
public:
    explicit failover(failover_options options) : m_options(std::move(options)) {}

    /// Takes over a changed member list or rule; what is under way goes on.
    void set_options(failover_options options) { m_options = std::move(options); }

    void on_report(const upstream_id& member, const member_report& report, steady_time now);
    void on_silence(const upstream_id& member, steady_time now);

    /// An upstream has moved to `term` and holds the log up to `position`.
    void on_term_raised(const upstream_id& member, std::uint64_t term, const log_position& position,
                        steady_time now);

    /// An upstream has not done as ordered; another instance may be ahead.
    void on_order_refused(const upstream_id& member, std::uint64_t term, steady_time now);
    void on_promoted(const upstream_id& member, std::uint64_t term, steady_time now);

    /// An operator wants `member` to become primary. Returns what stands
    /// against it, or nothing.
    [[nodiscard]] std::optional<const char*> request_switch(const upstream_id& member, steady_time now);

    /// Returns the orders to carry out now. `random` spreads the attempts of
    /// instances that race.
    [[nodiscard]] std::vector<failover_order> decide(steady_time now, std::uint32_t random);

    [[nodiscard]] std::optional<upstream_id> primary(steady_time now) const;
    [[nodiscard]] const char* activity() const;
    [[nodiscard]] std::uint64_t primary_changes() const { return m_primary_changes; }

private:
    enum class stage { watching, draining, raising_term, promoting };

    struct member {
        member_report m_report;
        std::optional<steady_time> m_reported_at; ///< Unset: silent.
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
    std::uint64_t m_suspected_term{0}; ///< Greatest term when suspicion began; a new term starts it afresh.
    steady_time m_attempt_started_at{};
    steady_time m_next_attempt_at{};                        ///< No attempt before this moment.
    std::uint64_t m_attempt_term{0};                        ///< Term of the attempt under way.
    std::map<upstream_id, log_position> m_raised_positions; ///< Members that have moved to m_term.
    std::optional<upstream_id> m_old_primary;               ///< Who led when the attempt began.
    upstream_id m_candidate;
    std::optional<upstream_id> m_switch_target; ///< By an operator.
    std::optional<steady_time> m_last_change_at;
    milliseconds m_backoff{0};
    std::uint64_t m_primary_changes{0};
};

}
