/// \file account_quotas.cpp
/// Gives each bucket the smallest share that the sets and configurations in use allow.
#include "anvilmount/gateway/account_quotas.hpp"

#include "anvilmount/observe/event_log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace anvilmount::gateway {
namespace {

/// When to come back to an instance that cannot spend at present.
constexpr milliseconds longest_wait{1000};

/// An account that has not been refused for this long no longer exceeds its quota.
constexpr milliseconds recovery_time{5000};

/// A lower quota takes effect after this share of the validity, so that callers within the former one are
/// not cut off while other instances still use it. At 5 s it is in force 3.5 s after it is known here.
constexpr double lower_quota_delay_share = 0.7;

account_quota greater(const account_quota& left, const account_quota& right) {
    return {.m_rate = std::max(left.m_rate, right.m_rate),
            .m_burst = std::max(left.m_burst, right.m_burst)};
}

}

account_quotas::account_quotas(options limits, metrics& counters)
    : m_options(std::move(limits)), m_metrics(&counters), m_rights(m_options.m_validity) {}

void account_quotas::adopt_accounts(const std::map<std::string, client_account>& accounts,
                                    steady_time now) {
    quotas newest;
    for (const auto& [name, account] : accounts) {
        if (account.m_operations_per_second) {
            newest[name] = {.m_rate = std::max(0.0, *account.m_operations_per_second),
                            .m_burst = std::max(0.0, account.m_burst)};
        }
    }
    if (newest != m_quotas) {
        m_former.push_back({.m_quotas = std::exchange(m_quotas, std::move(newest)),
                            .m_lowered_at = now + std::chrono::duration_cast<milliseconds>(
                                                      m_options.m_validity * lower_quota_delay_share),
                            .m_until = now + m_rights.waiting_time()});
    }
    m_accounts = accounts;
    apply(now);
}

void account_quotas::on_set(const std::optional<account_home_set>& stored, std::uint64_t era,
                            steady_time now) {
    m_rights.on_set(stored, era, now);
    apply(now);
}

void account_quotas::tick(steady_time now) {
    if (m_next_apply != steady_time{} && now >= m_next_apply) {
        apply(now);
    }
    for (auto& [account, spent] : m_spending) {
        note_recovery(account, spent, now);
    }
}

std::size_t account_quotas::served_by(const account_quota& quota, std::size_t set_size) const {
    const home_counts counts = count_homes(quota, m_options.m_window, set_size);
    return counts.m_homes + counts.m_alternates;
}

quota_share account_quotas::share_of(const std::string& account, const account_quota& quota,
                                     const std::string& instance,
                                     const std::vector<quota_rights::homes>& bounds) const {
    std::optional<quota_share> smallest;
    for (const quota_rights::homes& set : bounds) {
        const home_counts counts = count_homes(quota, m_options.m_window, set.size());
        const auto order = order_account_homes(account, set, counts.m_homes + counts.m_alternates);
        const auto place = std::find_if(order.begin(), order.end(),
                                        [&](const account_home& each) { return each.m_name == instance; });
        const quota_share share = share_of_quota(quota, m_options.m_window, counts,
                                                 static_cast<std::size_t>(place - order.begin()));
        smallest = smallest ? smaller_share(*smallest, share) : share;
    }
    return smallest.value_or(quota_share{});
}

void account_quotas::apply(steady_time now) {
    std::erase_if(m_former, [&](const former_quotas& each) { return now >= each.m_until; });
    std::erase_if(m_spending, [&](const auto& each) { return !m_quotas.contains(each.first); });
    const auto bounds = m_rights.bounds(now);
    const bool must_empty = std::exchange(m_fill, m_rights.fill()) != m_rights.fill();
    for (const auto& [account, quota] : m_quotas) {
        account_quota in_force = quota;
        std::optional<quota_share> bound;
        for (const former_quotas& each : m_former) {
            // With as many homes as now, no instance's share exceeds that of the greater quota. With
            // another number, the parts of the former quota would be spent besides the new ones.
            const auto before = each.m_quotas.find(account);
            if (before == each.m_quotas.end()) {
                continue;
            }
            const bool other_homes = std::any_of(
                bounds.begin(), bounds.end(), [&, &quota = quota](const quota_rights::homes& set) {
                    return count_homes(before->second, m_options.m_window, set.size()) !=
                           count_homes(quota, m_options.m_window, set.size());
                });
            if (other_homes) {
                const quota_share share = share_of(account, before->second, m_options.m_name, bounds);
                bound = bound ? smaller_share(*bound, share) : share;
            } else if (now < each.m_lowered_at) {
                in_force = greater(in_force, before->second);
            }
        }
        quota_share share = share_of(account, in_force, m_options.m_name, bounds);
        share = bound ? smaller_share(share, *bound) : share;
        token_bucket& bucket = m_spending[account].m_bucket;
        bucket.set_limits(share.m_rate, share.m_capacity, now);
        if (must_empty) {
            bucket.empty(now);
        }
    }
    m_next_apply = m_rights.next_change(now);
    for (const former_quotas& each : m_former) {
        const steady_time next = now < each.m_lowered_at ? each.m_lowered_at : each.m_until;
        m_next_apply = m_next_apply == steady_time{} ? next : std::min(m_next_apply, next);
    }
}

bool account_quotas::is_limited(const std::string& account) const {
    return m_quotas.contains(account);
}

std::optional<steady_time> account_quotas::take(const std::string& account, steady_time now) {
    if (!is_limited(account)) {
        // An account that is not known here may have a quota.
        const bool is_unlimited = account.empty() || m_accounts.contains(account);
        return is_unlimited ? std::nullopt : std::optional(now + longest_wait);
    }
    tick(now);
    spending& spent = m_spending[account];
    if (!m_rights.is_confirmed(now)) {
        m_metrics->count("quota_unconfirmed");
        return now + longest_wait;
    }
    if (spent.m_bucket.take(now)) {
        m_metrics->count("quota_spent");
        return std::nullopt;
    }
    note_refusal(account, spent, now);
    return spent.m_bucket.next_token_at(now, longest_wait);
}

void account_quotas::give_back(const std::string& account, steady_time taken_at, steady_time now) {
    const auto spent = m_spending.find(account);
    if (spent != m_spending.end()) {
        spent->second.m_bucket.give_back(taken_at, now);
        m_metrics->count("quota_returned");
    }
}

void account_quotas::note_refusal(const std::string& account, spending& spent, steady_time now) {
    m_metrics->count("quota_refused");
    ++spent.m_refused;
    spent.m_last_refusal_at = now;
    if (!std::exchange(spent.m_is_exceeding, true)) {
        log_event(log_level::info, "quota.exceeded", {{"account", account}});
    }
}

void account_quotas::note_recovery(const std::string& account, spending& spent, steady_time now) {
    if (spent.m_is_exceeding && now >= spent.m_last_refusal_at + recovery_time) {
        spent.m_is_exceeding = false;
        log_event(log_level::info, "quota.kept_again",
                  {{"account", account}, {"refused", std::to_string(std::exchange(spent.m_refused, 0))}});
    }
}

std::vector<account_home> account_quotas::spenders(const std::string& account, steady_time now) const {
    const auto quota = m_quotas.find(account);
    const auto& known = m_rights.known();
    if (quota == m_quotas.end() || !known) {
        return {};
    }
    const std::size_t number = served_by(quota->second, known->m_homes.size());
    std::vector<account_home> order = order_account_homes(account, known->m_homes, number);
    order.resize(std::min(order.size(), number));
    std::vector<account_home> ready;
    const auto bounds = m_rights.bounds(now);
    std::copy_if(order.begin(), order.end(), std::back_inserter(ready), [&](const account_home& each) {
        return share_of(account, quota->second, each.m_name, bounds).m_capacity >= 1;
    });
    return ready.empty() ? order : ready;
}

bool account_quotas::has_single_home(const std::string& account) const {
    const auto quota = m_quotas.find(account);
    const auto& known = m_rights.known();
    return quota != m_quotas.end() &&
           count_homes(quota->second, m_options.m_window, known ? known->m_homes.size() : 1).m_homes == 1;
}

}
