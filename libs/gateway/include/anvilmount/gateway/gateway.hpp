/// \file gateway.hpp
/// One instance: its callers' sessions, its database groups and its part in the
/// fleet. It knows no wire format and does no I/O; the ports do.
#pragma once

#include "anvilmount/gateway/caller_session.hpp"
#include "anvilmount/gateway/fleet.hpp"
#include "anvilmount/gateway/fleet_agent.hpp"
#include "anvilmount/gateway/store_access.hpp"
#include "anvilmount/gateway/store_relay.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilmount::gateway {

struct gateway_options {
    std::string m_name{};
    std::string m_incarnation{};
    data_centre m_data_centre{};
    endpoint m_probe_address{};
    endpoint m_forwarding_address{};
    endpoint m_store_relay_address{};      ///< Where it asks the store for others.
    std::vector<endpoint> m_seed_relays{}; ///< Where others may ask the store for it before any is known.
    milliseconds m_lease{10000};
    std::size_t m_max_sessions{3000};
};

struct gateway_ports {
    clock_port m_clock{};
    upstream_connector m_connect{};
    store_port m_store{}; ///< Over connections of its own.
    peer_exchange m_send_peer_request{};
    promotion_port m_promote{};
    status_reader m_read_status{};
    process_probe m_probe{};
    followed_row m_configuration{}; ///< From which adopt_configuration() is told.
};

/// A caller whose session another instance serves.
struct forwarded_caller {
    std::function<void()> m_leave{};                    ///< Close once its operation has ended.
    std::function<void()> m_abandon{};                  ///< Close now.
    std::function<void(std::uint64_t)> m_on_revision{}; ///< A newer configuration is in force here.
    std::function<std::optional<steady_time>()>
        m_inactive_since{}; ///< Nothing while a statement is under way.
    std::function<std::optional<steady_time>()>
        m_unanswered_since{}; ///< When the oldest unanswered statement was passed on; nothing while none
                              ///< is.
    std::function<void()> m_check_path{}; ///< Find out whether the serving instance can still be heard.
};

class gateway {
public:
    gateway(gateway_options options, gateway_ports ports);

    /// Joins the fleet.
    void start();

    /// The way to the metadata store, be it through another instance.
    [[nodiscard]] const store_port& store() const { return m_store.port(); }

    /// Answers other instances' questions about a table from `copy`, which must outlive them.
    void share_copy(const table_follower& copy) { m_relay.share_copy(copy); }

    /// Answers another instance's question to the store.
    void serve_store_request(const std::string& question, store_relay::responder respond) {
        m_relay.serve(question, std::move(respond));
    }

    /// Takes in a configuration; one that is not newer is ignored.
    void adopt_configuration(const fleet_configuration& newest);

    /// Takes in what upstreams are registered.
    void adopt_registry(const upstream_registry& registered);

    /// Registrations may have lapsed while the store was away: for a while
    /// none that is missing counts as gone.
    void on_registry_regained();

    /// Whether a session can be opened or refused now. An instance that has
    /// just started learns the configuration and the members within milliseconds;
    /// without the members it opens sessions, which serve once they are known.
    [[nodiscard]] bool can_open_sessions() const {
        return m_configuration.m_revision > 0 &&
               (m_coordinator.knows_members() || m_coordinator.has_poll_failed());
    }
    [[nodiscard]] std::uint64_t revision() const { return m_configuration.m_revision; }

    /// Runs `work` once sessions can be opened, or after as long as a caller waits for its session.
    void when_sessions_can_open(std::function<void()> work);

    /// Whether a new session may begin here at all: a leaving instance that the
    /// balancer no longer knows may end at any moment.
    [[nodiscard]] bool accepts_sessions() const;

    /// Returns the instance that a new session on `database` is handed on to;
    /// nothing when it is served here.
    [[nodiscard]] std::optional<endpoint> forwarding_target(const std::string& database);

    /// Does not hand sessions on to `target` for a while.
    void on_forwarding_failed(const endpoint& target);

    /// A caller whose session another instance serves. Returns its number.
    std::uint64_t add_forwarded(forwarded_caller caller);
    void remove_forwarded(std::uint64_t number) { m_relayed.erase(number); }

    /// Opens a session on `database`. The failure says what to tell the caller.
    [[nodiscard]] result<std::shared_ptr<caller_session>> open_session(const std::string& database,
                                                                       caller_session::outputs out);
    void forget_session(const std::shared_ptr<caller_session>& session);

    /// To be called every few milliseconds.
    void tick();

    /// Whether new callers are welcome.
    [[nodiscard]] bool is_ready() const;

    /// Ends open work within `grace` and then calls `done`.
    void leave(milliseconds grace, std::function<void()> done);

    [[nodiscard]] nlohmann::json state_dump() const;
    [[nodiscard]] metrics& counters() { return m_metrics; }

private:
    struct early_caller {
        steady_time m_until{};
        std::function<void()> m_work{};
    };

    void admit_early_callers();
    void apply_registry();
    void apply_groups();
    void tick_leaving();
    void watch_relayed() const;
    void look_at_members();
    void close_misplaced_sessions();
    [[nodiscard]] session_host host();
    [[nodiscard]] int slots_of(const group_name& name) const;
    [[nodiscard]] group_options options_for(const group_name& name) const;

    gateway_options m_options;
    gateway_ports m_ports;
    metrics m_metrics;
    store_access m_store;
    store_relay m_relay;
    steady_time m_members_of{}; ///< The look at the members that was last taken in, with...
    bool m_was_steward{false};  ///< ...whether this instance was steward then.
    confirmation_lease m_lease;
    group_map m_groups;
    fleet_agent m_coordinator;
    fleet_configuration m_configuration;
    std::vector<early_caller> m_early_callers; ///< Came before the configuration.
    upstream_registry m_registered;            ///< As last reported.
    upstream_registry m_upstreams;             ///< In use: also those whose absence is not believed yet.
    bool m_registry_known{false};
    steady_time m_believe_absence_at{};
    bool m_registry_dirty{false};
    std::map<std::uint64_t, std::shared_ptr<caller_session>> m_sessions;
    std::map<std::uint64_t, forwarded_caller> m_relayed;
    bool m_stewards{false};                            ///< As last told to the groups.
    std::map<endpoint, steady_time> m_no_relay_before; ///< Instances that did not take a session.
    std::uint64_t m_next_session{1};
    std::map<std::pair<std::string, bool>, std::string> m_shared_names;
    steady_time m_next_slow_tick{};
    std::optional<steady_time> m_leaving_since;
    milliseconds m_grace{0};
    std::function<void()> m_on_left;
};

}
