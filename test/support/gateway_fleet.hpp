/// \file gateway_fleet.hpp
/// Fixture of the gateway tests: several gateways in this process, with one store and
/// some database groups, run in virtual time.
#pragma once

#include "support/fake_store.hpp"
#include "support/fake_upstreams.hpp"
#include "support/manual_clock.hpp"

#include "anvilmount/gateway/gateway.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmount::test {

/// A caller session at a gateway that collects its answers.
class test_caller {
public:
    /// `account`: of the session; empty without client accounts.
    test_caller(gateway::gateway& instance, const std::string& database, const std::string& account = {});
    ~test_caller();
    test_caller(const test_caller&) = delete;
    test_caller& operator=(const test_caller&) = delete;

    [[nodiscard]] bool is_open() const { return m_session != nullptr && !m_closed; }
    void send(gateway::statement_kind kind, const std::string& text, const std::string& name = {},
              const std::string& argument = {}, bool writes = false);
    /// Sends a read whose key was checked with the outcome `permit`.
    void send_checked(gateway::statement_kind kind, const std::string& text,
                      gateway::statement_permit permit);
    void disconnect();
    void require_revision(std::uint64_t revision) { m_session->require_revision(revision); }

    std::vector<gateway::answer> m_answers;
    std::vector<std::string> m_sent; ///< Texts of the statements, in order.
    std::optional<result_code> m_rejected;

private:
    gateway::gateway& m_instance;
    std::shared_ptr<gateway::caller_session> m_session;
    bool m_closed{false};
    int m_next_statement{1};
};

/// Gateways i1, i2... with the databases pay, scan and look on the group "orders", and pay2... on further
/// groups.
class gateway_fleet {
public:
    /// Instance N accepts forwarded sessions at the port of `forwarding` plus N. Nothing listens there.
    explicit gateway_fleet(int instances, int groups = 1,
                           endpoint forwarding = {.m_address = "10.1.0.3", .m_port = 0});

    /// Advances the virtual time and calls tick() of every instance every 10 ms.
    void run_for(milliseconds time);

    gateway::gateway& instance(int number) { return *m_instances.at("i" + std::to_string(number)); }

    /// Returns the instance; null while it does not run.
    gateway::gateway* find_instance(int number) {
        const auto found = m_instances.find("i" + std::to_string(number));
        return found == m_instances.end() ? nullptr : found->second.get();
    }

    /// Returns the number of the instance with the active coordinator; 0 when there is none.
    [[nodiscard]] int coordinator();

    /// Writes once through an instance and returns whether the write was acknowledged by then.
    bool write_succeeds(int number, milliseconds timeout, const std::string& account = {});

    /// Ends an instance as if its process was killed: its connections close at once.
    void kill(int number);
    /// Ends an instance as if its machine lost power: its addresses do not answer, and the upstreams close
    /// its connections only after 3 s.
    void lose_power(int number);
    /// Starts an instance. `registry_known`: whether it receives the registry of upstreams at once.
    void start(int number, bool registry_known = true);
    /// Passes the current registry of upstreams to every instance.
    void publish_registry();

    /// From now on every instance takes its configuration from the store, and writes its heartbeats on
    /// the condition that it has the newest.
    void follow_configuration();
    /// Stores the configuration `revision`: the databases of before, and one named after the revision.
    void put_configuration(std::uint64_t revision);
    [[nodiscard]] static std::string database_of(std::uint64_t revision) {
        return "db" + std::to_string(revision);
    }

    manual_clock m_clock;
    gateway::clock_port m_clock_port{m_clock.port()};
    fake_store m_store{m_clock};
    fake_upstreams m_upstreams{m_clock};
    gateway::fleet_configuration m_configuration;
    std::map<std::uint64_t, std::string> m_token_holders; ///< Who ordered promotions, by fencing token.
    /// Keys of client accounts in the configurations put_configuration() stores, from this revision on.
    std::map<std::uint64_t, std::map<std::string, std::string>> m_account_keys_from;
    /// For instances started from then on.
    std::optional<milliseconds> m_revocation_limit;
    bool m_loses_promotion_answers{false};
    std::set<std::string> m_powered_off;    ///< Instances whose addresses do not answer.
    std::set<std::string> m_refuses_probes; ///< Instances whose addresses refuse connections of others.
    std::set<std::string> m_isolated; ///< Instances that neither reach others nor are reached by them.
    /// Bytes per millisecond that an instance can send to others; 0: no limit.
    std::size_t m_link_rate{0};
    std::size_t m_peer_bytes{0};     ///< Sent between instances so far.
    bool m_knows_no_renewals{false}; ///< Relays are of the version before and ignore renewals.
    bool m_names_no_era{false};      ///< Relays are of the version before and name no era.

private:
    [[nodiscard]] gateway::gateway_ports ports(const std::string& name);
    void remove_instance(const std::string& name);
    void send_peer_request(const std::string& from, const endpoint& where, const std::string& request,
                           milliseconds timeout,
                           const std::function<void(std::optional<std::string>)>& done);

    /// Calls `work` once `bytes` have left the link of instance `from`.
    void transfer(const std::string& from, std::size_t bytes, std::function<void()> work);

    std::map<std::string, steady_time> m_link_busy_until; ///< Key: name of the sending instance.
    void start_following_configuration(const std::string& name);
    void refresh_configuration(const std::string& name);

    bool m_follows_configuration{false};
    std::map<std::string, std::shared_ptr<gateway::table_follower>> m_configuration_followers;
    std::vector<std::shared_ptr<gateway::table_follower>> m_removed_followers;
    std::map<std::string, std::unique_ptr<gateway::gateway>> m_instances;
    std::vector<std::unique_ptr<gateway::gateway>> m_removed; ///< Deferred calls may still refer to them.
    int m_starts{0};
    endpoint m_forwarding;
};

}
