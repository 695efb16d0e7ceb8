/// \file fleet_coordinator.hpp
/// Runs one instance's part in the fleet through the metadata store. Every instance runs one
/// fleet_coordinator. It follows the groups' records, sends heartbeats that report which records
/// are acknowledged here, and polls the members table. One of the coordinators is active: it holds
/// the coordinator record and changes the groups' primaries. The others are on standby.
#pragma once

#include "anvilmount/decisions/account_homes.hpp"
#include "anvilmount/decisions/configuration_proof.hpp"
#include "anvilmount/decisions/confirmation_lease.hpp"
#include "anvilmount/decisions/group_holders.hpp"
#include "anvilmount/decisions/process_order.hpp"
#include "anvilmount/decisions/promotion_orders.hpp"
#include "anvilmount/decisions/promotion_plan.hpp"
#include "anvilmount/decisions/store_path.hpp"
#include "anvilmount/gateway/era_recovery.hpp"
#include "anvilmount/gateway/fleet_membership.hpp"
#include "anvilmount/gateway/group_service.hpp"
#include "anvilmount/gateway/lease_witnesses.hpp"
#include "anvilmount/gateway/member_directory.hpp"
#include "anvilmount/gateway/ports.hpp"
#include "anvilmount/gateway/table_follower.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmount::gateway {

/// Reports whether a connection to `address` is refused. That is a sign of a process that has ended, not a
/// proof: a cut between two machines may refuse connections too.
using process_probe = std::function<void(const endpoint& address, std::function<void(bool refused)>)>;

/// How often one instance calls the store on the fleet's behalf. Every call of every instance is
/// paid for.
struct fleet_intervals {
    milliseconds m_heartbeat_interval{1500};
    /// Between two polls of the members table.
    milliseconds m_poll_interval{2000};
    /// How long a heartbeat without urgent reports may wait to be sent together with those of other
    /// instances.
    milliseconds m_heartbeat_batch_delay{0};
};

/// Identity and addresses of this instance, and the intervals of its store calls.
struct coordinator_options {
    std::string m_name{};
    std::string m_incarnation{};
    endpoint m_probe_address{};
    endpoint m_forwarding_address{};
    endpoint m_store_relay_address{};
    data_centre m_data_centre{};
    std::uint32_t m_processor_millis{0}; ///< Processor share, in thousandths of a core.
    /// Between two changes of the account homes; see account_homes.hpp.
    milliseconds m_account_homes_interval{10200};
    fleet_intervals m_small_fleet{};
    fleet_intervals m_large_fleet{.m_heartbeat_interval = milliseconds{3000},
                                  .m_poll_interval = milliseconds{10000},
                                  .m_heartbeat_batch_delay = milliseconds{1500}};
    /// See configuration_proof.hpp. It shortens the intervals above.
    std::optional<milliseconds> m_revocation_limit{};
};

/// What the coordinator needs of the outside.
struct coordinator_ports {
    const clock_port* m_clock{nullptr};
    const store_port* m_store{nullptr};
    promotion_port m_promote{};
    status_reader m_read_status{};
    process_probe m_probe{};
    peer_request m_send_peer_request{};
    /// The configuration's row: a heartbeat succeeds only if the version known here is the newest.
    followed_row m_configuration{};
    /// The stored set of account homes (nothing: there is none) and the era of the store that it is of.
    /// Called when the records are read.
    std::function<void(const std::optional<account_home_set>&, std::uint64_t era)> m_on_account_homes{
        [](const auto&, std::uint64_t) {}};
    /// A heartbeat that was sent then succeeded: the records known at that time were the newest.
    std::function<void(steady_time sent_at)> m_on_heartbeat{[](steady_time) {}};
};

/// Created and ticked by the gateway, whose groups and lease it updates.
class fleet_coordinator {
public:
    fleet_coordinator(coordinator_options options, coordinator_ports ports, confirmation_lease& lease,
                      group_map& groups, metrics& counters);

    /// Starts following the records and polling the members.
    void start();

    /// Applies the known records again, for groups that were created after the records arrived.
    void apply_records();

    /// Sends heartbeats and polls as they fall due; while active, also coordinates the groups. Call
    /// every few milliseconds.
    void tick();

    /// The store came back from an older copy: reads everything again and registers anew.
    void on_new_era(std::uint64_t era);

    /// Answers another instance that has obtained a lease and introduces itself.
    [[nodiscard]] store_answer on_introduction(const member_introduction& introduction) {
        return m_witnesses.on_introduction(introduction);
    }

    /// Gives up the active role and never takes it again.
    void resign();

    /// Removes this instance's row, so that no other instance waits for its acknowledgement. No
    /// primary may be used here any more when this is called.
    void deregister();

    /// Returns how many instances are alive, this one included.
    [[nodiscard]] int live_instances() const;

    /// With client accounts: how many account homes there may be. Unset: the deployment has no accounts.
    void set_max_account_homes(std::optional<int> most) { m_max_account_homes = most; }

    /// Whether `name` is alive and accepts new sessions, as far as is known here.
    [[nodiscard]] bool takes_sessions(const std::string& name) const;

    /// Returns the instances that hold connections to `group`. With client accounts these are the account
    /// homes, also those that are away; until a set is stored, those that would be chosen now.
    [[nodiscard]] std::vector<holder_candidate> holders(const group_name& group,
                                                        const holding_limits& limits) const;

    /// Returns where instance `name` accepts forwarded sessions; nothing when that is not known.
    [[nodiscard]] std::optional<endpoint> forwarding_address(const std::string& name) const;
    [[nodiscard]] bool is_active() const { return m_is_active; }

    /// Returns the other instances that can relay store questions of this one.
    [[nodiscard]] std::vector<store_relay_candidate> store_relays() const;

    /// Whether the fleet is so large that it has to save store calls.
    [[nodiscard]] bool is_large_fleet() const;

    /// Whether the members have been polled since the start.
    [[nodiscard]] bool knows_members() const { return m_directory.is_loaded(); }

    /// Whether the other instances are known, as far as they are registered.
    [[nodiscard]] bool knows_fleet() const { return m_knows_fleet; }

    /// Whether a poll has ever failed: the store is unavailable or refuses this instance.
    [[nodiscard]] bool has_poll_failed() const { return m_poll_failed; }

    /// When the last successful heartbeat was sent; the epoch of the clock before the first.
    [[nodiscard]] steady_time last_heartbeat_at() const {
        return m_last_heartbeat_at.value_or(steady_time{});
    }

    /// Whether keys of client accounts may be checked against the configuration known here.
    [[nodiscard]] const configuration_proof& proof() const { return m_proof; }

    /// When the newest known state of the members table was read.
    [[nodiscard]] steady_time members_polled_at() const { return m_directory.read_at(); }

    /// The groups' records as followed here.
    [[nodiscard]] table_follower& records() { return m_records; }
    [[nodiscard]] bool has_records() const { return m_records.is_loaded(); }

private:
    /// An upstream's last status report, and the start of the upstream that it is of.
    struct status_report {
        plan_upstream m_state{};
        std::int64_t m_started_at_ms{0};
    };

    /// The active coordinator's progress with one group.
    struct group_coordination {
        promotion_plan m_plan;
        std::map<upstream_id, status_report> m_reports{};
        std::map<upstream_id, steady_time> m_status_requested_at{};
        std::uint64_t m_observed_epoch{0};
        steady_time m_epoch_observed_at{};
        /// Until then, the answer to an ordered write or promotion is awaited.
        steady_time m_in_flight_until{};

        upstream_id m_leaving_primary{}; ///< The recorded primary, while it is leaving.
        steady_time m_leaving_seen_at{}; ///< When m_leaving_primary was first seen to leave.
    };

    void on_records();
    void adopt_account_homes();
    /// While active: stores another set of account homes when one is due.
    void coordinate_account_homes();
    [[nodiscard]] std::vector<home_candidate> home_candidates() const;
    [[nodiscard]] account_homes_view make_account_homes_view() const;
    void write_account_homes(const account_home_set& set);
    void adopt_group_record(const group_name& name, group_service& group);
    [[nodiscard]] fleet_intervals intervals() const;
    [[nodiscard]] bool is_alive(const known_member& peer) const;
    /// Whether any lease that the instance may hold is over.
    [[nodiscard]] bool is_lease_over(const known_member& peer) const;
    [[nodiscard]] bool has_older_version() const;
    [[nodiscard]] member_record own_record() const;
    [[nodiscard]] witness_ports make_witness_ports();
    /// Whether this instance should be one of the witnesses.
    [[nodiscard]] bool should_be_witness() const;
    [[nodiscard]] std::set<group_name> unreachable_primaries() const;
    void heartbeat(milliseconds batch_delay);
    [[nodiscard]] bool has_urgent_report() const;
    void on_heartbeat(steady_time sent_at, bool renewed, bool wrote_record, const store_answer& reply);
    void on_heartbeat_conflict(bool renewed, bool wrote_record, const store_answer& reply);
    [[nodiscard]] std::vector<store_row> heartbeat_conditions(bool renews, bool writes_record) const;
    [[nodiscard]] store_row own_row_condition() const;
    void poll_members();
    void on_members(steady_time requested_at, const store_answer& reply);
    void probe_unreachable_primaries() const;
    void adopt_coordinator_row();
    /// Takes in the row that stands under this instance's key, if any.
    void adopt_own_row(const store_row* row);
    void check_own_row();
    void remove_own_row(bool may_retry);
    void remove_stale_renewals();
    [[nodiscard]] store_version own_acknowledged_version() const;
    /// Returns how many live instances take the active role before this one.
    [[nodiscard]] int successor_rank() const;
    [[nodiscard]] bool is_active_coordinator_gone();
    void try_become_active();
    void become_active();
    /// Whether each order that may still take effect is in m_orders.
    [[nodiscard]] bool knows_all_orders() const;
    /// Returns the coordinator record to store: the one known, with the orders that may still take effect.
    [[nodiscard]] coordinator_record record_with_orders() const;
    void step_down();
    void coordinate_group(const group_name& name, group_service& group);
    [[nodiscard]] plan_view make_plan_view(const group_name& name, group_service& group,
                                           group_coordination& coordination);
    /// Notices at a poll whether a process has joined or left.
    void note_processes();
    [[nodiscard]] std::vector<plan_instance>
    plan_members(const group_name& name, const group_record& record, const group_service& group);
    /// `at_once`: does not wait between a request that was answered and the next.
    void request_status(group_service& group, group_coordination& coordination, bool at_once);
    /// Returns until when a primary that is leaving may get new work; nothing: without limit.
    [[nodiscard]] std::optional<steady_time> primary_serves_until(const upstream_entry& primary,
                                                                  const group_service& group,
                                                                  group_coordination& coordination) const;
    void write_record(const group_name& name, const group_record& record);
    void promote(const group_name& name, const upstream_id& target);
    /// Returns, for the log, on what proof each other member is not waited for (any more).
    [[nodiscard]] std::string describe_members(const group_name& name,
                                               const group_coordination& coordination) const;
    /// Returns, for the log, what each upstream has reported last.
    [[nodiscard]] std::string describe_reports(const group_coordination& coordination) const;
    /// Returns, for the log, where the newest commit lies that callers are known to have been acknowledged.
    [[nodiscard]] std::string describe_acknowledged(const group_name& name) const;
    void demote(group_service& group, const upstream_id& target, std::uint64_t term);
    void probe(known_member& peer);

    coordinator_options m_options;
    coordinator_ports m_ports;
    confirmation_lease& m_lease;
    group_map& m_groups;
    metrics& m_metrics;
    configuration_proof m_proof;
    member_directory m_directory;
    table_follower m_records;
    era_recovery m_recovery;
    lease_witnesses m_witnesses;
    bool m_is_witness{false}; ///< As decided at the last poll.
    std::optional<int> m_max_account_homes;
    std::optional<account_home_set> m_account_homes; ///< As stored.
    store_version m_account_homes_version;           ///< Of its row.
    std::uint64_t m_account_homes_era{0};            ///< Of the records that it was read with.
    steady_time m_account_homes_known_since{};
    account_homes_plan m_homes_plan;
    steady_time m_next_homes_plan{};
    std::map<std::string, std::string> m_processes; ///< Incarnation of each instance, as last polled.
    steady_time m_processes_unchanged_since{};
    /// Since when the members table has been polled without a long gap. Silence before that proves nothing.
    steady_time m_polled_steadily_since{};
    /// Per group, the version of the records table's row that was last adopted here.
    std::map<group_name, store_version> m_adopted_row_versions;
    /// Per group, the epoch of the newest record that this instance has acknowledged.
    std::map<group_name, std::uint64_t> m_own_acknowledged_epochs;
    std::map<group_name, std::unique_ptr<group_coordination>> m_group_coordinations;
    /// Kept when the active role is lost: the orders may still take effect.
    std::map<group_name, promotion_orders> m_orders;
    /// Era of the store at whose beginning this process was the active coordinator; 0: none.
    std::uint64_t m_active_since_before_era{0};
    /// Version of the newest change of any record, as far as known.
    store_version m_records_head;
    /// When the last successful heartbeat was sent.
    std::optional<steady_time> m_last_heartbeat_at;
    steady_time m_heartbeat_sent_at{}; ///< The last one, whatever became of it.
    bool m_last_heartbeat_failed{false};
    steady_time m_next_heartbeat{};
    bool m_heartbeat_in_flight{false};
    /// As last stored.
    std::optional<member_record> m_reported_record;
    /// Of the row under this instance's key, of whichever process; unset: there is none. Each write of it
    /// is made on the condition that it is still this one.
    store_version m_own_row_version;
    /// The process of that row.
    std::optional<registered_process> m_own_row_process;
    bool m_must_write_record{false};  ///< The row in the store may not be the one last reported.
    std::uint64_t m_renewal_count{0}; ///< Of heartbeats that did not repeat the record.
    steady_time m_next_removal{};     ///< Of stale rows in which renewals were published.
    steady_time m_next_poll{};
    bool m_poll_in_flight{false};
    /// At least once.
    bool m_poll_failed{false};
    bool m_knows_fleet{false}; ///< See knows_fleet().
    /// Polls sent at the shorter startup delays.
    std::size_t m_startup_polls{0};
    coordinator_record m_coordinator_record;
    store_version m_coordinator_version;
    steady_time m_coordinator_changed_at{};
    /// Since when this instance has found no live active coordinator.
    std::optional<steady_time> m_coordinator_gone_since;
    bool m_is_active{false};
    bool m_coordinator_write_in_flight{false};
    bool m_resigned{false};
    bool m_deregistered{false};
};

}
