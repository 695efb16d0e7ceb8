/// \file gateway.hpp
/// The core of one gateway instance: its callers' sessions, its database groups, its fleet
/// coordinator and its access to the metadata store. The gateway knows no wire format and does no
/// I/O; adapters provide both through the ports.
#pragma once

#include "anvilmount/decisions/holder_path.hpp"
#include "anvilmount/decisions/path_time.hpp"
#include "anvilmount/decisions/quota_window.hpp"
#include "anvilmount/gateway/account_quotas.hpp"
#include "anvilmount/gateway/caller_session.hpp"
#include "anvilmount/gateway/fleet.hpp"
#include "anvilmount/gateway/fleet_coordinator.hpp"
#include "anvilmount/gateway/store_access.hpp"
#include "anvilmount/gateway/store_era.hpp"
#include "anvilmount/gateway/store_relay.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilmount::gateway {

/// Identity, addresses and limits of this instance.
struct gateway_options {
    std::string m_name{};
    std::string m_incarnation{};
    data_centre m_data_centre{};
    endpoint m_probe_address{};
    endpoint m_forwarding_address{};
    /// Where this instance relays store questions of other instances.
    endpoint m_store_relay_address{};
    /// Where the store may be reached through other instances before any instance is known.
    std::vector<endpoint> m_seed_relays{};
    std::uint32_t m_processor_millis{0}; ///< Processor share, in thousandths of a core; 0: unknown.
    milliseconds m_lease{10000};
    std::size_t m_max_sessions{3000};
    milliseconds m_drain_limit{0}; ///< See drain_window.hpp; zero: none.
    /// Within this time of its removal a key is refused whether or not the store is heard; unset: no such
    /// bound.
    std::optional<milliseconds> m_revocation_limit{};
    quota_window m_quota_window{};
    bool m_judges_outcomes{false}; ///< See group_options.
    /// Milliseconds of answer time that a kilobyte between data centres is worth; 0: reads and sessions are
    /// placed by distance and load only.
    double m_remote_byte_price{0};
};

/// What the gateway needs of the outside.
struct gateway_ports {
    clock_port m_clock{};
    upstream_connector m_connect{};
    store_port m_store{}; ///< The store over this instance's own connections.
    peer_request m_send_peer_request{};
    promotion_port m_promote{};
    status_reader m_read_status{};
    process_probe m_probe{};
    followed_row m_configuration{}; ///< The row whose contents are passed to adopt_configuration().
};

/// A caller whose session is forwarded to another instance.
struct forwarded_caller {
    std::function<void()> m_leave{};   ///< End the session after the operation in progress.
    std::function<void()> m_abandon{}; ///< End the session now.
    std::function<void(std::uint64_t)> m_on_revision{}; ///< A newer configuration is in force here.
    /// Since when the caller has no statement in progress; nothing while it has one.
    std::function<std::optional<steady_time>()> m_inactive_since{};
    /// When the oldest unanswered statement was forwarded; nothing when all are answered.
    std::function<std::optional<steady_time>()> m_unanswered_since{};
    /// Check that the serving instance can still be reached.
    std::function<void()> m_check_path{};
};

/// One gateway instance. The adapter creates it, passes callers and newly read rows to it, and
/// calls tick().
class gateway {
public:
    gateway(gateway_options options, gateway_ports ports);

    /// Joins the fleet.
    void start();

    /// The metadata store, reached directly or through another instance.
    [[nodiscard]] const store_port& store() const { return m_store.port(); }

    /// Answers other instances' requests for a table from `copy`, which must outlive this gateway.
    void share_copy(table_follower& copy) { m_relay.share_copy(copy); }

    /// Relays another instance's store question.
    void serve_store_request(const std::string& request, store_relay::responder respond) {
        m_relay.serve(request, std::move(respond));
    }

    /// Applies a configuration; one that is not newer is ignored.
    void adopt_configuration(const fleet_configuration& newest);

    /// Applies the set of registered upstreams. `known_until`: the set before still held then.
    void adopt_registry(const upstream_registry& registered, steady_time known_until);

    /// Registrations may have expired while the store was unavailable: for a while, a missing
    /// registration does not mean that the upstream is gone.
    void on_registry_regained();

    /// Whether a session can be opened or refused now. A newly started instance learns the
    /// configuration and the members within milliseconds. When the members cannot be read it opens
    /// sessions all the same; they are served once the members are known.
    [[nodiscard]] bool can_open_sessions() const {
        return m_configuration.m_revision > 0 &&
               (m_fleet_coordinator.knows_members() || m_fleet_coordinator.has_poll_failed());
    }
    [[nodiscard]] std::uint64_t revision() const { return m_configuration.m_revision; }
    [[nodiscard]] bool is_leaving() const { return m_leaving_since.has_value(); }

    /// Runs `work` once sessions can be opened, or after as long as a caller waits for its session
    /// to open; before leave() reports the end in any case.
    void when_sessions_can_open(std::function<void()> work);

    /// Whether a new session may begin here: a leaving instance that the load balancer has already
    /// taken out may end at any moment.
    [[nodiscard]] bool accepts_sessions() const;

    /// Returns the client account whose key `key` is: the empty one on a public route and without client
    /// accounts; nothing when no account has the key.
    [[nodiscard]] std::optional<std::string> find_account(const std::string& database,
                                                          const std::string& key) const;

    /// Returns the time within which a statement on `database` must be answered; nothing without a route.
    [[nodiscard]] std::optional<milliseconds> statement_timeout(const std::string& database) const;

    /// Checks a statement that was received on `database` from a caller with `key`, in a session of
    /// `account`. Called where the statement arrives, for each one.
    [[nodiscard]] statement_permit check_statement(const std::string& database, const std::string& key,
                                                   const std::string& account);

    /// Returns the instance that a new session of client account `account` on `database` is forwarded
    /// to; nothing when it is served here. `account`: empty without one.
    [[nodiscard]] std::optional<endpoint> forwarding_target(const std::string& database,
                                                            const std::string& account = {});

    /// The connection for a forwarded session was established after `elapsed`.
    void on_forwarding_connected(const endpoint& target, microseconds elapsed);

    /// Forwards no sessions to `target` for a while.
    void on_forwarding_failed(const endpoint& target);

    /// Registers a caller whose session is forwarded. Returns the number for remove_forwarded().
    std::uint64_t add_forwarded(forwarded_caller caller);
    void remove_forwarded(std::uint64_t number) { m_forwarded.erase(number); }

    /// Opens a session of client account `account` on `database`. `account`: empty without one. The
    /// failure's message is sent to the caller.
    [[nodiscard]] result<std::shared_ptr<caller_session>>
    open_session(const std::string& database, caller_session::outputs out, const std::string& account = {});
    void forget_session(const std::shared_ptr<caller_session>& session);

    /// Call every few milliseconds.
    void tick();

    /// Whether the load balancer should send new callers here.
    [[nodiscard]] bool is_ready() const;

    /// Drains this instance: ends open work within `grace` and then calls `done`.
    void leave(milliseconds grace, std::function<void()> done);

    /// Returns the state of this instance for operators.
    [[nodiscard]] nlohmann::json state_dump() const;
    [[nodiscard]] metrics& counters() { return m_metrics; }

private:
    /// A caller that connected before sessions could be opened.
    struct deferred_caller {
        steady_time m_deadline{};
        std::function<void()> m_work{};
    };

    void on_new_era(std::uint64_t era);
    void admit_deferred_callers();
    void apply_registry();
    [[nodiscard]] upstream_entry with_known_departure(const upstream_entry& reported) const;
    void apply_groups();
    void tick_leaving();
    void check_forwarding_paths() const;
    void apply_members();
    void close_misplaced_sessions();
    void on_account_homes(const std::optional<account_home_set>& stored, std::uint64_t era);
    /// Tells the coordinator how many account homes the configuration allows.
    void apply_accounts();
    [[nodiscard]] bool can_forward_to(const std::string& name) const;
    /// Returns the instances of which one should serve a session of `account`, instead of this one; none
    /// when it is served here.
    [[nodiscard]] std::vector<holder_candidate> better_placed(const group_service& group,
                                                              const std::string& account) const;
    [[nodiscard]] session_context make_session_host();
    [[nodiscard]] int max_slots_of(const group_name& name) const;
    [[nodiscard]] group_options options_for(const group_name& name) const;
    [[nodiscard]] holder_paths paths_to_holders(const database_route& route) const;

    gateway_options m_options;
    gateway_ports m_ports;
    metrics m_metrics;
    store_era m_era;
    store_access m_store;
    store_relay m_relay;
    /// Time of the last members poll that was applied here.
    steady_time m_applied_poll_at{};
    bool m_applied_as_coordinator{false}; ///< Whether this instance's coordinator was active then.
    bool m_account_homes_changed{false};  ///< Since the groups were last told the holders.
    confirmation_lease m_lease;
    account_quotas m_quotas;
    group_map m_groups;
    fleet_coordinator m_fleet_coordinator;
    fleet_configuration m_configuration;
    std::vector<deferred_caller> m_deferred_callers;
    upstream_registry m_reported_upstreams; ///< As last reported.
    /// In use: also upstreams whose registration is missing but may return.
    upstream_registry m_upstreams;
    /// Upstreams that left, the latest last. An older copy of the registry may list them as ready again.
    std::deque<upstream_entry> m_left_upstreams;
    bool m_registry_known{false};
    /// From then on a missing registration means that the upstream is gone.
    steady_time m_registry_complete_at{};
    bool m_registry_apply_pending{false};
    std::map<std::uint64_t, std::shared_ptr<caller_session>> m_sessions;
    std::map<std::uint64_t, forwarded_caller> m_forwarded;
    /// Whether this instance's coordinator is active, as last told to the groups.
    bool m_groups_told_coordinator{false};
    /// Instances that did not accept a forwarded session.
    std::map<endpoint, steady_time> m_forwarding_backoff_until;
    std::map<endpoint, data_centre> m_forwarding_data_centres; ///< Of the targets chosen so far.
    std::map<data_centre, windowed_minimum> m_connect_times;   ///< Of forwarded sessions.
    /// For sessions, forwarded callers and prepared names.
    std::uint64_t m_next_number{1};
    /// Names of prepared statements at the upstreams. Key: statement shape and whether it writes.
    std::map<std::pair<std::string, bool>, std::string> m_prepared_names;
    steady_time m_next_slow_tick{};
    /// Until then, what was known of the upstreams' reports before the newest registrations still held.
    steady_time m_reports_known_until{};
    std::optional<steady_time> m_leaving_since;
    milliseconds m_grace{0};
    std::function<void()> m_on_left;
};

}
