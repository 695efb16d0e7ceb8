/// \file fleet_agent.hpp
/// This instance's part in what the fleet agrees on: it follows the groups'
/// records, reports what it has taken in, and, while it is the steward, changes
/// primaries. All of it goes through the metadata store.
#pragma once

#include "anvilmount/decisions/confirmation_lease.hpp"
#include "anvilmount/decisions/group_holders.hpp"
#include "anvilmount/decisions/promotion_plan.hpp"
#include "anvilmount/decisions/store_path.hpp"
#include "anvilmount/gateway/fleet_membership.hpp"
#include "anvilmount/gateway/group_service.hpp"
#include "anvilmount/gateway/ports.hpp"
#include "anvilmount/gateway/table_follower.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount::gateway {

/// Tells whether a connection to `address` is refused, which proves that no process listens there.
using process_probe = std::function<void(const endpoint& address, std::function<void(bool refused)>)>;

/// How often one instance calls the store for the fleet's sake. The calls of all
/// instances add up, and each is paid for.
struct fleet_intervals {
    milliseconds m_heartbeat_interval{1500};
    milliseconds m_poll_interval{2000}; ///< Between two looks at the members.
    milliseconds m_heartbeat_batch_delay{
        0}; ///< A heartbeat without news may wait this long for those of others.
};

struct fleet_agent_options {
    std::string m_name{};
    std::string m_incarnation{};
    endpoint m_probe_address{};
    endpoint m_forwarding_address{};
    endpoint m_store_relay_address{};
    data_centre m_data_centre{};
    fleet_intervals m_small_fleet{};
    fleet_intervals m_large_fleet{.m_heartbeat_interval = milliseconds{3000},
                                  .m_poll_interval = milliseconds{10000},
                                  .m_heartbeat_batch_delay = milliseconds{500}};
};

struct fleet_agent_ports {
    const clock_port* m_clock{nullptr};
    const store_port* m_store{nullptr};
    promotion_port m_promote{};
    status_reader m_read_status{};
    process_probe m_probe{};
    followed_row m_configuration{};
};

using group_map = std::map<group_name, std::unique_ptr<group_service>>;

class fleet_agent {
public:
    fleet_agent(fleet_agent_options options, fleet_agent_ports ports, confirmation_lease& lease,
                group_map& groups, metrics& counters);

    void start();

    /// Gives the records known so far to groups that did not exist when they came.
    void apply_records();

    void tick();

    /// Gives up the stewardship, for good.
    void resign();

    /// Removes this instance's row, so that nobody waits for it. No primary may
    /// be used any more when this is called.
    void deregister();

    [[nodiscard]] int live_instances() const;

    /// Returns the instances that hold connections to `group`.
    [[nodiscard]] std::vector<holder_candidate> holders(const group_name& group,
                                                        const holding_limits& limits) const;

    /// Returns where an instance takes sessions that are handed on; nothing when it is not known.
    [[nodiscard]] std::optional<endpoint> forwarding_address(const std::string& name) const;
    [[nodiscard]] bool is_coordinator() const { return m_steward; }

    /// Returns the other instances that may ask the store for this one.
    [[nodiscard]] std::vector<store_relay_candidate> store_relays() const;

    /// Whether the fleet is so large that its calls of the store are to be few.
    [[nodiscard]] bool is_large_fleet() const;

    /// Whether the members were looked at since the start.
    [[nodiscard]] bool knows_members() const { return m_members_seen_at != steady_time{}; }

    /// Whether a look failed: the store is away or turns this instance away.
    [[nodiscard]] bool has_poll_failed() const { return m_poll_failed; }

    /// When the members were last looked at.
    [[nodiscard]] steady_time members_polled_at() const { return m_members_seen_at; }

    /// The groups' records as followed here.
    [[nodiscard]] const table_follower& records() const { return m_records; }
    [[nodiscard]] bool has_records() const { return m_records.is_loaded(); }

private:
    /// Another instance's row as this one has seen it change.
    struct member {
        member_record m_record{};
        std::uint64_t m_version{0};
        steady_time m_changed_at{};
        bool m_refused{false}; ///< Its process has ended.
        steady_time m_probed_at{};
    };

    struct group_work {
        promotion_plan m_plan;
        std::map<upstream_id, plan_upstream> m_reports{};
        std::map<upstream_id, steady_time> m_asked_at{};
        std::uint64_t m_seen_epoch{0};
        steady_time m_seen_at{};
        steady_time m_busy_until{}; ///< A write or promotion is on its way.
    };

    void on_records();
    void adopt(const group_name& name, group_service& group);
    [[nodiscard]] const fleet_intervals& pace() const;
    [[nodiscard]] bool is_alive(const member& each) const;
    [[nodiscard]] member_record own_record() const;
    void heartbeat(milliseconds may_wait);
    [[nodiscard]] bool has_news() const;
    void on_heartbeat(steady_time sent_at, bool renewed, const store_answer& reply);
    void on_heartbeat_conflict(bool renewed, const store_answer& reply);
    [[nodiscard]] std::vector<store_row> heartbeat_conditions(bool renews) const;
    void poll_members();
    void on_members(steady_time asked_at, const store_answer& reply);
    void look_after_missed_primaries() const;
    void take_member(const store_row& row);
    /// Returns how many live instances take the stewardship before this one.
    [[nodiscard]] int rank_as_successor() const;
    [[nodiscard]] bool steward_is_gone();
    void consider_stewardship();
    void step_down();
    void steward_group(const group_name& name, group_service& group);
    [[nodiscard]] plan_view view_of(const group_name& name, group_service& group, group_work& work);
    [[nodiscard]] std::vector<plan_member> plan_members(const group_name& name, const group_record& record,
                                                        const group_service& group);
    void ask_status(group_service& group, group_work& work);
    void write_record(const group_name& name, const group_record& record);
    void promote(const group_name& name, const upstream_id& target);
    void demote(group_service& group, const upstream_id& target, std::uint64_t term);
    void probe(member& each);

    fleet_agent_options m_options;
    fleet_agent_ports m_ports;
    confirmation_lease& m_lease;
    group_map& m_groups;
    metrics& m_metrics;
    table_follower m_records;
    std::map<group_name, std::uint64_t> m_agreed; ///< Epoch of the record that nothing here contradicts.
    std::map<std::string, member> m_members;
    steady_time m_members_seen_at{}; ///< When the last look that was answered was sent.
    std::map<group_name, std::unique_ptr<group_work>> m_work;
    std::uint64_t m_records_head{0}; ///< Version of the last change of any record, as far as known.
    std::optional<steady_time> m_heartbeat_done; ///< When the last one that arrived was sent.
    bool m_heartbeat_failed{false};              ///< The last one.
    steady_time m_next_heartbeat{};
    bool m_heartbeat_under_way{false};
    std::optional<member_record> m_reported; ///< As last stored.
    steady_time m_next_poll{};
    bool m_poll_under_way{false};
    bool m_poll_failed{false}; ///< At least once.
    std::size_t m_polls{0};    ///< Of the first ones, which come sooner.
    coordinator_record m_steward_record;
    std::uint64_t m_steward_version{0};
    steady_time m_steward_changed_at{};
    std::optional<steady_time> m_steward_gone_since; ///< As noticed here.
    bool m_steward{false};
    bool m_steward_write_under_way{false};
    bool m_resigned{false};
    bool m_leaving{false};
};

}
