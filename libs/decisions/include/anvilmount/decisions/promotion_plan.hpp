/// \file promotion_plan.hpp
/// Computes the coordinator's next step for one group: writing the group's
/// record, promoting a candidate, demoting an old primary, or requesting status
/// reports. The coordinator may be replaced at any moment, so each step follows
/// from the group's record, the upstreams' reports, the epochs that the
/// instances have acknowledged and the promotions that may still take effect.
///
/// Safety rests on one rule: a candidate is promoted, and announced to the
/// instances as primary, only once every instance has stopped using the old
/// primary or can no longer use it.
///
/// A record from before the store came back from an older copy may be outdated. The
/// coordinator writes each one anew, under an epoch of the present era, once the
/// upstreams' reports agree with it.
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/group_record.hpp"

#include <optional>
#include <vector>

namespace anvilmount {

/// What the coordinator knows of one upstream.
struct plan_upstream {
    upstream_id m_id{};
    bool m_registered{false};
    bool m_leaving{false};
    bool m_registered_as_primary{false};      ///< Role in its registration.
    std::optional<steady_time> m_status_at{}; ///< Time of the status report below.
    bool m_is_primary{false};
    std::uint64_t m_term{0};
    log_position m_position{};
};

/// What the coordinator knows of one instance.
struct plan_instance {
    bool m_has_acknowledged{false};     ///< Has adopted the record's epoch.
    bool m_cannot_use_primary{false};   ///< It can hold no lease any more.
    bool m_has_connections{true};       ///< Only such instances can observe the primary.
    bool m_cannot_reach_primary{false}; ///< The primary does not answer this instance.
    bool m_is_alive{true};              ///< Heartbeats arrive; otherwise its last report is ignored.
};

/// Input of one planning step: what the coordinator knows of the group.
struct plan_view {
    group_record m_record{};
    std::vector<plan_upstream> m_upstreams{};
    std::vector<plan_instance> m_instances{}; ///< Recently live instances, including the coordinator.
    bool m_instances_current{true};           ///< m_instances was read after m_record was adopted.
    bool m_knows_all_leases{true};            ///< m_instances has every instance that may hold a lease.
    steady_time m_record_seen_at{};           ///< When the coordinator first saw this record.
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
};

struct plan_options {
    /// Time after which an instance that has not acknowledged the record holds no lease any more.
    milliseconds m_lease{12000};
    milliseconds m_status_lifetime{400};   ///< Older status reports are ignored.
    milliseconds m_catch_up_timeout{1500}; ///< Maximum wait for the candidate of a planned switch.
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
    [[nodiscard]] const plan_upstream* best_candidate(const plan_view& view, steady_time now) const;
    [[nodiscard]] std::optional<plan_order>
    fence_old_primary(const plan_view& view, const plan_upstream& new_primary, steady_time now) const;
    [[nodiscard]] plan_order plan_first_record(const plan_view& view, steady_time now) const;
    [[nodiscard]] plan_order plan_in_new_era(const plan_view& view, steady_time now);
    [[nodiscard]] plan_order plan_while_steady(const plan_view& view, steady_time now);
    [[nodiscard]] plan_order plan_while_switching(const plan_view& view, steady_time now);
    [[nodiscard]] plan_order begin_switch(const plan_view& view, bool planned, steady_time now) const;

    plan_options m_options;
    std::uint64_t m_promoting_epoch{0}; ///< Epoch for which a promotion was last ordered.
    std::optional<steady_time> m_promotion_ordered_at;
    bool m_promotion_failed{false};
    std::optional<steady_time> m_fenced_at; ///< When no instance could use the old primary any more.
    std::uint64_t m_demoted_epoch{0};       ///< Epoch in which an old primary was last demoted.
};

}
