/// \file account_quotas.hpp
/// What this instance may spend of the quotas of client accounts: one token bucket for each account of
/// which it is a home or the alternate. It makes no call and has no clock of its own: the gateway tells it
/// the stored set of homes, the successful heartbeats and the configurations.
#pragma once

#include "anvilmount/decisions/account_homes.hpp"
#include "anvilmount/decisions/quota_rights.hpp"
#include "anvilmount/decisions/quota_share.hpp"
#include "anvilmount/decisions/token_bucket.hpp"
#include "anvilmount/gateway/fleet.hpp"
#include "anvilmount/observe/metrics.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount::gateway {

class account_quotas {
public:
    struct options {
        std::string m_name{}; ///< Of this instance.
        /// A heartbeat is proof for this long that the set of homes known here is not long outdated.
        milliseconds m_validity{};
        quota_window m_window{};
    };

    account_quotas(options limits, metrics& counters);

    /// Call for each adopted configuration.
    void adopt_accounts(const std::map<std::string, client_account>& accounts, steady_time now);

    /// See quota_rights.
    void on_set(const std::optional<account_home_set>& stored, std::uint64_t era, steady_time now);
    void on_heartbeat(steady_time sent_at) { m_rights.on_heartbeat(sent_at); }

    /// Applies what changes with time. Call it several times a second.
    void tick(steady_time now);

    /// Counts an operation of `account`. Returns nothing if it may run, else when to come back.
    [[nodiscard]] std::optional<steady_time> take(const std::string& account, steady_time now);

    /// The operation that was counted at `taken_at` did not run, and nothing of it was sent.
    void give_back(const std::string& account, steady_time taken_at, steady_time now);

    /// Whether the quota of `account` has to be spent at its homes.
    [[nodiscard]] bool is_limited(const std::string& account) const;

    /// Returns the instances that may spend the quota of a limited account, in the account's order, the
    /// alternate last. Those that wait after a change of the set are left out while others can spend.
    [[nodiscard]] std::vector<account_home> spenders(const std::string& account, steady_time now) const;

    /// Whether the first of spenders() serves all sessions, and the others only while it is away.
    [[nodiscard]] bool has_single_home(const std::string& account) const;

    [[nodiscard]] const quota_rights& rights() const { return m_rights; }

private:
    struct spending {
        token_bucket m_bucket{max_operation_delay};
        bool m_is_exceeding{false};
        std::uint64_t m_refused{0}; ///< Since the account began to exceed its quota.
        steady_time m_last_refusal_at{};
    };
    using quotas = std::map<std::string, account_quota>;
    /// Quotas of a configuration that other instances may still use.
    struct former_quotas {
        quotas m_quotas{};
        steady_time m_lowered_at{}; ///< Until then the greater of these and the present ones are in force.
        steady_time m_until{};
    };

    void apply(steady_time now);
    [[nodiscard]] quota_share share_of(const std::string& account, const account_quota& quota,
                                       const std::string& instance,
                                       const std::vector<quota_rights::homes>& bounds) const;
    [[nodiscard]] std::size_t served_by(const account_quota& quota, std::size_t set_size) const;
    void note_refusal(const std::string& account, spending& spent, steady_time now);
    void note_recovery(const std::string& account, spending& spent, steady_time now);

    options m_options;
    metrics* m_metrics;
    quota_rights m_rights;
    std::map<std::string, client_account> m_accounts;
    quotas m_quotas; ///< Of the accounts that have one.
    std::vector<former_quotas> m_former;
    std::map<std::string, spending> m_spending; ///< Key: account.
    std::uint64_t m_fill{0};                    ///< As of m_rights, when the buckets were last emptied.
    steady_time m_next_apply{};                 ///< The epoch of the clock: nothing changes by itself.
};

}
