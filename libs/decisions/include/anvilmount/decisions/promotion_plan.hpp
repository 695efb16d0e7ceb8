/// \file promotion_plan.hpp
/// Computes the coordinator's next step for one group: writing the group's
/// record, promoting a candidate, demoting an old primary, or requesting status
/// reports. The coordinator may be replaced at any moment, so each step follows
/// from the group's record, the upstreams' reports, the epochs that the
/// instances have acknowledged and the promotions that may still take effect.
///
/// Safety rests on two rules. A candidate is promoted, and announced to the
/// instances as primary, only once every instance has stopped using the old
/// primary or can no longer use it. And it is chosen then, since what the upstreams
/// hold is known for good only then (candidate_choice.hpp); the candidate of the
/// record is the first choice, made when the switch began.
///
/// A planned switch begins only with a candidate that follows the primary, which
/// serves meanwhile, and returns to the primary if no candidate catches up.
///
/// A record from before the store came back from an older copy may be outdated. The
/// coordinator writes each one anew, under an epoch of the present era, once the
/// upstreams' reports agree with it.
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/candidate_choice.hpp"
#include "anvilmount/decisions/group_record.hpp"

#include <optional>
#include <vector>

namespace anvilmount {

/// What the coordinator knows of one instance.
struct plan_instance {
    bool m_has_acknowledged{false};     ///< Has adopted the record's epoch.
    bool m_cannot_use_primary{false};   ///< It can hold no lease any more.
    bool m_has_connections{true};       ///< Only such instances can observe the primary.
    bool m_cannot_reach_primary{false}; ///< The primary does not answer this instance.
    bool m_is_alive{true};              ///< Heartbeats arrive; otherwise its last report is ignored.
    /// The newest commit that it has acknowledged to a caller; unset: not known.
    std::optional<acknowledged_range> m_acknowledged{};
};

/// Input of one planning step: what the coordinator knows of the group.
struct plan_view {
    group_record m_record{};
    std::vector<plan_upstream> m_upstreams{};
    std::vector<plan_instance> m_instances{}; ///< Recently live instances, including the coordinator.
    bool m_instances_current{true};           ///< m_instances was read after m_record was adopted.
    /// Since when no process has joined or left m_instances, as far as the coordinator has followed them.
    steady_time m_instances_unchanged_since{};
    bool m_knows_all_leases{true};  ///< m_instances has every instance that may hold a lease.
    steady_time m_record_seen_at{}; ///< When the coordinator first saw this record.
    bool m_coordinator_cannot_reach_primary{false};
    bool m_coordinator_has_connections{true};  ///< Otherwise only the other instances decide.
    bool m_registry_complete{true};            ///< An upstream without registration is gone.
    bool m_primary_refuses_connections{false}; ///< To the coordinator: it seems not to run.
    std::uint64_t m_era{0};                    ///< Of the store; see era_number.hpp.
    steady_time m_era_seen_at{};               ///< When the coordinator first saw this era.
    /// Upstreams whose promotion was ordered by any coordinator and may still take effect.
    std::vector<upstream_id> m_pending_orders{};
    /// Otherwise the store may have forgotten an order, with the row of the coordinator that sent it.
    bool m_knows_all_orders{true};
    /// Instances that knew newer records than the store's older copy have had the time to write them.
    bool m_lost_records_written{true};
    /// Commits are acknowledged only once this many replicas hold them.
    int m_synchronous_replicas{0};
    /// While the primary is leaving: until when it may get new work; unset: without limit.
    std::optional<steady_time> m_primary_serves_until{};
};

struct plan_options {
    /// Time after which an instance that has not acknowledged the record holds no lease any more.
    milliseconds m_lease{12000};
    milliseconds m_status_lifetime{400}; ///< Older status reports are ignored.
    /// Maximum wait for the reports of all upstreams before a switch begins with the best one known.
    milliseconds m_first_report_wait{100};
    /// Maximum wait, while the group has no primary, for an upstream that may hold more than the best
    /// candidate and does not answer.
    milliseconds m_report_wait{1500};
    /// The same where commits are acknowledged only once a replica holds them: none of them may be lost.
    milliseconds m_synchronous_report_wait{10000};
    /// What an instance acknowledged that has left is known to the others after this time.
    milliseconds m_settled_instances_time{2000};
    /// Maximum pause of a planned switch for its candidate; then the old primary goes on, if it may.
    milliseconds m_catch_up_timeout{400};
    milliseconds m_planned_retry_delay{1000}; ///< Before a planned switch is tried again.
    /// When the acknowledgements took longer than this, the old primary may have recovered meanwhile.
    milliseconds m_slow_switch_threshold{2500};
    /// Extra wait after a slow switch in which a recovered old primary can report.
    milliseconds m_old_primary_grace{1200};
    milliseconds m_promotion_timeout{1500}; ///< An unfinished promotion is ordered again after this time.
};

enum class plan_step {
    wait,
    write_record,  ///< Store m_record on the condition that the stored record is unchanged.
    promote,       ///< Confirm the coordinator's fencing token, then promote m_target.
    demote,        ///< Tell m_target that m_term has begun, so that it stops serving as primary.
    request_status ///< Request fresh status reports from the group's upstreams.
};

/// A step with its arguments; members that a step does not mention are unset.
struct plan_order {
    plan_step m_step{plan_step::wait};
    group_record m_record{};
    upstream_id m_target{};
    std::uint64_t m_term{0};
    bool m_at_once{false}; ///< With request_status: an order waits for nothing but the reports.
};

class promotion_plan {
public:
    explicit promotion_plan(const plan_options& options) : m_options(options) {}

    /// Returns the step to take now.
    [[nodiscard]] plan_order next(const plan_view& view, steady_time now);

    /// Call when the promotion returned by next() was not sent; next() may order it again.
    void withdraw_promotion() { m_promotion_ordered_at.reset(); }

    /// Records that the promotion returned by next() was answered or has timed out.
    void record_promotion_result(bool accepted, steady_time now);

private:
    [[nodiscard]] bool is_fresh(const plan_upstream& upstream, steady_time now) const;
    [[nodiscard]] const plan_upstream* find_new_primary(const plan_view& view, steady_time now) const;
    [[nodiscard]] const plan_upstream* find_restarted_primary(const plan_view& view, steady_time now) const;
    /// Whether each upstream that runs, but for `excepted`, has a fresh report.
    [[nodiscard]] bool have_all_reported(const plan_view& view, const upstream_id& excepted,
                                         steady_time now) const;
    [[nodiscard]] milliseconds report_wait(const plan_view& view) const;
    [[nodiscard]] candidate_choice choose(const plan_view& view, const choice_context& context) const;
    [[nodiscard]] choice_context make_context(const plan_view& view, steady_time now) const;
    /// Returns a candidate that does not leave and held `position` when it answered a request made since
    /// `since`.
    [[nodiscard]] const plan_upstream* find_follower(const plan_view& view, const log_position& position,
                                                     steady_time since, steady_time now) const;
    [[nodiscard]] acknowledged_commits newest_acknowledged(const plan_view& view) const;
    [[nodiscard]] bool is_old_primary_back(const plan_view& view, steady_time now) const;
    [[nodiscard]] std::optional<plan_order>
    fence_old_primary(const plan_view& view, const plan_upstream& new_primary, steady_time now) const;
    [[nodiscard]] plan_order plan_first_record(const plan_view& view, steady_time now);
    [[nodiscard]] plan_order plan_in_new_era(const plan_view& view, steady_time now);
    [[nodiscard]] plan_order plan_while_steady(const plan_view& view, steady_time now);
    /// Returns the record that begins a planned switch, once a candidate follows `primary` or it may not
    /// be used any more.
    [[nodiscard]] std::optional<plan_order>
    begin_planned_switch(const plan_view& view, const plan_upstream& primary, steady_time now);
    [[nodiscard]] plan_order begin_switch(const plan_view& view, bool planned, steady_time now);
    [[nodiscard]] plan_order plan_while_switching(const plan_view& view, steady_time now);
    /// Chooses the upstream to promote and orders it, once no instance can use the old primary.
    [[nodiscard]] plan_order plan_promotion(const plan_view& view, steady_time now);
    /// In a planned switch: returns what to do until a candidate has the old primary's whole log; nothing
    /// when the old primary need not be waited for any more.
    [[nodiscard]] std::optional<plan_order> wait_for_catch_up(const plan_view& view, steady_time now);
    [[nodiscard]] plan_order promote(const plan_view& view, const upstream_id& target, steady_time now);

    plan_options m_options;
    std::uint64_t m_promoting_epoch{0}; ///< Epoch for which a promotion was last ordered.
    std::optional<steady_time> m_promotion_ordered_at;
    upstream_id m_ordered_target;
    bool m_promotion_failed{false};
    /// Set while the platform says that m_ordered_target does not run: only a later report counts.
    std::optional<steady_time> m_refused_at;
    std::optional<steady_time> m_fenced_at; ///< When no instance could use the old primary any more.
    /// The record written to change the candidate while m_fenced_at was set, which it leaves as it is.
    group_record m_fenced_record;
    std::optional<steady_time> m_switch_wanted_since; ///< A switch is due and not begun.
    /// Since when a primary is known that could be recorded if all upstreams had reported.
    std::optional<steady_time> m_primary_found_at;
    /// What a candidate of a planned switch has to hold when it answers a later request.
    struct reference {
        log_position m_position{};
        steady_time m_at{};
    };
    std::optional<reference> m_reference;
    steady_time m_next_planned_switch{}; ///< At the earliest, after one that was given up.
    std::uint64_t m_demoted_epoch{0};    ///< Epoch in which an old primary was last demoted.
};

}
