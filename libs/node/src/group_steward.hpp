/// \file group_steward.hpp
/// Watches one database group and carries out what failover decides: raises the
/// term, promotes, and lets the others follow. One instance does this for a
/// group; should several believe they do, the terms settle it.
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
    /// Empty on success.
    using switch_handler = std::function<void(std::optional<failure>)>;

    group_steward(shard& owner, group_spec group);
    ~group_steward();
    group_steward(const group_steward&) = delete;
    group_steward& operator=(const group_steward&) = delete;

    /// Takes over a changed group.
    void adopt(group_spec group);

    /// Makes `wanted` the primary by order of an operator.
    void switch_to(const upstream_id& wanted, switch_handler on_done);

    [[nodiscard]] nlohmann::json dump() const;

private:
    void update_probes();
    void on_state(const upstream_id& member, const upstream_state& state);
    void tick();
    void send_order(const failover_order& order);
    void on_order_done(const failover_order& order, const std::variant<std::string, failure>& outcome);
    void check_switch();
    [[nodiscard]] const upstream_spec* find(const upstream_id& member) const;
    [[nodiscard]] failover_options options() const;

    shard& m_shard;
    group_spec m_group;
    failover m_failover;
    std::map<upstream_id, std::unique_ptr<upstream_probe>> m_probes;
    std::map<upstream_id, std::map<upstream_id, std::uint64_t>>
        m_log_requests_seen; ///< By primary and follower, as last reported.
    reactor::timer_id m_tick_timer{};
    upstream_id m_switch_target; ///< While a switch is under way.
    switch_handler m_on_switch_done;
    steady_time m_switch_deadline{};
};

}
