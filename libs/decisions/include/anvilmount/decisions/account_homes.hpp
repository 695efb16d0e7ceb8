/// \file account_homes.hpp
/// The account homes: one set of instances that hold the connections to all groups of a deployment with
/// client accounts, and that may spend the accounts' quotas. The set is stored and changes rarely. One
/// coordinator plans it; every instance computes from it the homes of each account.
///
/// The stored set names the set before it. For a while after a change, each part of a quota may be spent
/// only by instances to which both sets give it (quota_rights.hpp). That takes care of one change, so that
/// the coordinator makes no second one until the time is over.
#pragma once

#include "anvilmount/base/identifiers.hpp"
#include "anvilmount/base/time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace anvilmount {

struct account_home {
    std::string m_name{};
    data_centre m_data_centre{};

    auto operator<=>(const account_home&) const = default;
};

/// The set as it is stored.
struct account_home_set {
    std::uint64_t m_generation{
        0}; ///< Rises with each change, also after the store lost some (era_number.hpp).
    std::vector<account_home> m_homes{};
    /// The set that this one replaced. Unset: no instance can have spent anything before.
    std::optional<std::vector<account_home>> m_previous{};

    bool operator==(const account_home_set&) const = default;
};

/// An instance that may become a home.
struct home_candidate {
    account_home m_home{};
    std::uint32_t m_processor_millis{0}; ///< Processor share, in thousandths of a core; 0: unknown.
};

/// Returns the greatest number of homes for which each has four connections to an upstream that allows
/// `max_connections`; at least 1.
[[nodiscard]] int max_account_homes(int max_connections);

/// Returns `kept` and, up to `max_homes`, further candidates: the largest first, data centres in turn.
/// Instances with less than half of the largest processor share are taken only to bring the set to eight.
/// When too many are kept, those in the fullest data centres go first.
[[nodiscard]] std::vector<account_home> choose_account_homes(std::span<const account_home> kept,
                                                             std::span<const home_candidate> candidates,
                                                             int max_homes);

/// Returns `homes` in the order in which they serve `account`. The first `spread` of them are in different
/// data centres where possible.
[[nodiscard]] std::vector<account_home>
order_account_homes(const std::string& account, std::span<const account_home> homes, std::size_t spread);

/// What the coordinator knows when it plans the set.
struct account_homes_view {
    std::optional<account_home_set> m_stored{};
    steady_time m_stored_known_since{};         ///< When this instance learned m_stored.
    std::vector<home_candidate> m_candidates{}; ///< Live and not leaving.
    /// When registered instances last gave a sign of life, leaving ones included.
    std::map<std::string, steady_time> m_last_seen{};
    int m_max_homes{1};
    std::uint64_t m_era{0}; ///< Of the store.
};

/// Decides when the set is changed, and to what.
class account_homes_plan {
public:
    struct options {
        /// Between two changes: until then some instance may spend by the set before.
        milliseconds m_change_interval{};
        /// A home without a sign of life for this long is replaced. A restart takes less.
        milliseconds m_replace_after{8000};
        /// The first set is stored when no instance has joined or left for this long...
        milliseconds m_settled_after{2000};
        /// ...or after this time.
        milliseconds m_store_after{6000};
    };

    explicit account_homes_plan(options planning) : m_options(planning) {}

    /// Returns the set to store now; nothing when the stored one stays. Call it often: silence and
    /// deviations are timed from when they are seen here.
    [[nodiscard]] std::optional<account_home_set> next(const account_homes_view& view, steady_time now);

private:
    [[nodiscard]] std::optional<account_home_set> first(const account_homes_view& view, steady_time now);

    options m_options;
    std::map<std::string, steady_time> m_silent_since; ///< Of each home.
    std::optional<steady_time> m_other_number_since;   ///< The set has another size than is wanted.
    std::optional<steady_time> m_missing_since;        ///< No set is stored.
    std::size_t m_candidates_seen{0};
    steady_time m_candidates_changed_at{};
};

}
