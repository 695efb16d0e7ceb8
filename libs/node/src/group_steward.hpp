/// \file group_steward.hpp
/// Coordinates changes of primary in one database group: probes its upstreams,
/// passes their reports to failover, and sends them the resulting orders (raise
/// the term, promote, follow, hold writes). A steward is the group's coordinator;
/// placement chooses the instance that runs it. If several instances act as
/// coordinator at once, the terms decide whose orders take effect.
#pragma once

#include "upstream_probe.hpp"

#include "anvilmount/decisions/failover.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>

namespace anvilmount {

class group_steward {
public:
    /// Receives the failure of a switch, or nothing on success.
    using switch_handler = std::function<void(std::optional<failure>)>;

    group_steward(shard& owner, group_spec group);
    ~group_steward();
    group_steward(const group_steward&) = delete;
    group_steward& operator=(const group_steward&) = delete;

    /// Applies a changed group: probes that are still needed continue.
    void adopt(group_spec group);

    /// Makes `target` the primary at an operator's request. `on_done` is called when
    /// the switch is refused, has completed or has timed out.
    void switch_to(const upstream_id& target, switch_handler on_done);

    [[nodiscard]] nlohmann::json dump() const;

private:
    void update_probes();
    void on_state(const upstream_id& member, const upstream_state& state);
    void tick();
    void send_order(const failover_order& order);
    void on_order_done(const failover_order& order, const std::variant<std::string, failure>& outcome);
    void check_switch();
    [[nodiscard]] const upstream_spec* find_upstream(const upstream_id& member) const;
    [[nodiscard]] failover_options options() const;

    shard& m_shard;
    group_spec m_group;
    failover m_failover;
    std::map<upstream_id, std::unique_ptr<upstream_probe>> m_probes;
    std::map<upstream_id, std::map<upstream_id, std::uint64_t>>
        m_log_requests_seen; ///< Last reported counts, by reporting upstream and follower.
    reactor::timer_id m_tick_timer{};
    upstream_id m_switch_target; ///< Valid while m_on_switch_done is set.
    switch_handler m_on_switch_done;
    steady_time m_switch_deadline{};
};

}
