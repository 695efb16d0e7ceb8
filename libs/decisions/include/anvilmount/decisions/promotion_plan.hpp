/// \file promotion_plan.hpp
/// What the steward of the groups does next for one of them. The steward is
/// replaced at any moment, so each step follows from the group's record, from
/// what the upstreams say and from what the instances have agreed to; only the
/// order that is on its way is remembered locally.
///
/// Safety rests on one rule: the candidate is promoted only once every
/// instance has stopped using the old primary, or can no longer use it, and
/// named to the instances only under the same condition.
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/group_record.hpp"

#include <optional>
#include <vector>

namespace anvilmount {

/// What the steward sees of one upstream.
struct plan_upstream {
    upstream_id m_id{};
    bool m_registered{false};
    bool m_leaving{false};
    bool m_registered_as_primary{false};      ///< In its registration.
    std::optional<steady_time> m_status_at{}; ///< When m_leads and m_position were reported.
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_position{};
};

/// What the steward knows of one instance.
struct plan_instance {
    bool m_has_acknowledged{false};   ///< Has taken in the record's epoch.
    bool m_cannot_use_primary{false}; ///< Its process has ended, or it has never held a lease.
    bool m_has_connections{true};     ///< Has connections to the group; others know nothing of its primary.
    bool m_cannot_reach_primary{false}; ///< Cannot reach the primary.
    bool m_is_alive{true};              ///< Its heartbeats arrive; else what it last said is no judgement.
};

struct plan_view {
    group_record m_record{};
    std::vector<plan_upstream> m_upstreams{};
    std::vector<plan_instance> m_instances{}; ///< Instances alive lately, the steward's own among them.
    bool m_instances_current{true};           ///< As they were when m_record was known here, or later.
    steady_time m_record_seen_at{};           ///< When the steward first saw this record.
    bool m_coordinator_cannot_reach_primary{false};
    bool m_coordinator_has_connections{true};  ///< Has connections to judge by; else the others decide.
    bool m_registry_complete{true};            ///< What is not registered is gone.
    bool m_primary_refuses_connections{false}; ///< Its process does not run.
};

struct plan_options {
    milliseconds m_lease{12000};         ///< After this long no instance can use what it has not confirmed.
    milliseconds m_status_lifetime{400}; ///< Older reports say nothing of now.
    milliseconds m_catch_up_timeout{1500}; ///< Longest wait for a candidate of a planned change.
    milliseconds m_slow_switch_threshold{
        2500}; ///< After waiting longer for agreement, the old primary may be back...
    milliseconds m_old_primary_grace{1200}; ///< ...and has this long to show it.
    milliseconds m_promotion_timeout{
        1500}; ///< A promotion that has not come about by then is ordered again.
};

enum class plan_step {
    wait,
    write_record, ///< Store m_record under the condition that it has not changed.
    promote,      ///< Confirm the stewardship, then order m_target to lead.
    demote,       ///< Tell m_target that m_term has begun.
    ask_status    ///< Reports of the group's upstreams are too old to decide.
};

struct plan_order {
    plan_step m_step{plan_step::wait};
    group_record m_record{};
    upstream_id m_target{};
    std::uint64_t m_term{0};
};

class promotion_plan {
public:
    explicit promotion_plan(const plan_options& options) : m_options(options) {}

    /// Returns what to do now.
    [[nodiscard]] plan_order next(const plan_view& view, steady_time now);

    /// The promotion that next() ordered was not sent; it may be ordered again.
    void withdraw_promotion() { m_promotion_ordered_at.reset(); }

    /// The promotion that next() ordered was answered or given up.
    void record_promotion_result(bool accepted, steady_time now);

private:
    [[nodiscard]] bool is_fresh(const plan_upstream& upstream, steady_time now) const;
    [[nodiscard]] const plan_upstream* find_new_primary(const plan_view& view, steady_time now) const;
    [[nodiscard]] const plan_upstream* best_candidate(const plan_view& view, steady_time now) const;
    [[nodiscard]] std::optional<plan_order>
    fence_old_primary(const plan_view& view, const plan_upstream& new_primary, steady_time now) const;
    [[nodiscard]] plan_order plan_first_record(const plan_view& view, steady_time now) const;
    [[nodiscard]] plan_order plan_while_steady(const plan_view& view, steady_time now);
    [[nodiscard]] plan_order plan_while_switching(const plan_view& view, steady_time now);
    [[nodiscard]] plan_order begin_switch(const plan_view& view, bool planned, steady_time now) const;

    plan_options m_options;
    std::uint64_t m_promoting_epoch{0}; ///< Epoch for which a promotion was ordered.
    std::optional<steady_time> m_promotion_ordered_at;
    bool m_promotion_failed{false};
    std::optional<steady_time> m_fenced_at; ///< When nobody used the old primary any more.
    std::uint64_t m_demoted_epoch{0};       ///< Epoch in which the old primary was told.
};

}
