/// \file account_homes.cpp
/// Chooses the homes, orders them by rendezvous hashing, and times the changes of the set.
#include "anvilmount/decisions/account_homes.hpp"

#include "anvilmount/decisions/connection_share.hpp"
#include "anvilmount/decisions/era_number.hpp"
#include "anvilmount/decisions/placement.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace anvilmount {
namespace {

/// An upstream connection serves one account. With fewer, accounts would close each other's connections.
constexpr int connections_per_home = 4;

/// Small instances are taken only up to this number: two in each of four data centres.
constexpr std::size_t homes_with_small_instances = 8;

using centre_counts = std::map<data_centre, std::size_t>;

std::uint32_t largest_share(std::span<const home_candidate> candidates) {
    std::uint32_t largest = 0;
    for (const home_candidate& each : candidates) {
        largest = std::max(largest, each.m_processor_millis);
    }
    return largest;
}

bool is_small(const home_candidate& candidate, std::uint32_t largest) {
    return candidate.m_processor_millis * 2 < largest;
}

/// Removes homes from the fullest data centres until `size` are left. The kept ones keep their order.
void shrink(std::vector<account_home>& homes, std::size_t size) {
    while (homes.size() > size) {
        centre_counts counts;
        for (const account_home& each : homes) {
            ++counts[each.m_data_centre];
        }
        std::size_t fullest = 0;
        for (std::size_t index = 0; index < homes.size(); ++index) {
            if (counts[homes[index].m_data_centre] >= counts[homes[fullest].m_data_centre]) {
                fullest = index;
            }
        }
        homes.erase(homes.begin() + static_cast<std::ptrdiff_t>(fullest));
    }
}

}

int max_account_homes(int max_connections) {
    int homes = 1;
    while (connection_share({.m_max_connections = max_connections, .m_instances = homes + 1}) >=
           connections_per_home) {
        ++homes;
    }
    return homes;
}

std::vector<account_home> choose_account_homes(std::span<const account_home> kept,
                                               std::span<const home_candidate> candidates, int max_homes) {
    std::vector<account_home> chosen(kept.begin(), kept.end());
    const std::uint32_t largest = largest_share(candidates);
    std::vector<home_candidate> rest;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(rest),
                 [&](const home_candidate& each) {
                     return std::none_of(kept.begin(), kept.end(), [&](const account_home& home) {
                         return home.m_name == each.m_home.m_name;
                     });
                 });
    const auto large = static_cast<std::size_t>(std::count_if(
        rest.begin(), rest.end(), [&](const home_candidate& each) { return !is_small(each, largest); }));
    const std::size_t number = std::min<std::size_t>(
        static_cast<std::size_t>(std::max(1, max_homes)),
        std::max(chosen.size() + large, std::min(homes_with_small_instances, chosen.size() + rest.size())));
    shrink(chosen, number);
    centre_counts counts;
    for (const account_home& each : chosen) {
        ++counts[each.m_data_centre];
    }
    while (chosen.size() < number && !rest.empty()) {
        const auto best = std::min_element(
            rest.begin(), rest.end(), [&](const home_candidate& left, const home_candidate& right) {
                const auto key = [&](const home_candidate& each) {
                    return std::make_tuple(is_small(each, largest), counts[each.m_home.m_data_centre],
                                           -static_cast<std::int64_t>(each.m_processor_millis),
                                           each.m_home.m_data_centre, each.m_home.m_name);
                };
                return key(left) < key(right);
            });
        ++counts[best->m_home.m_data_centre];
        chosen.push_back(best->m_home);
        rest.erase(best);
    }
    return chosen;
}

std::vector<account_home> order_account_homes(const std::string& account,
                                              std::span<const account_home> homes, std::size_t spread) {
    std::vector<std::pair<std::uint64_t, account_home>> weighted;
    weighted.reserve(homes.size());
    for (const account_home& each : homes) {
        weighted.emplace_back(stable_hash(account + " at home in " + each.m_name), each);
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<account_home> ordered;
    std::vector<account_home> others;
    for (auto& [weight, home] : weighted) {
        const bool is_centre_taken =
            std::any_of(ordered.begin(), ordered.end(), [&, &home = home](const account_home& each) {
                return each.m_data_centre == home.m_data_centre;
            });
        auto& list = is_centre_taken || ordered.size() >= spread ? others : ordered;
        list.push_back(std::move(home));
    }
    std::move(others.begin(), others.end(), std::back_inserter(ordered));
    return ordered;
}

std::optional<account_home_set> account_homes_plan::first(const account_homes_view& view, steady_time now) {
    m_missing_since = m_missing_since.value_or(now);
    if (view.m_candidates.size() != m_candidates_seen) {
        m_candidates_seen = view.m_candidates.size();
        m_candidates_changed_at = now;
    }
    const bool settled = now >= m_candidates_changed_at + m_options.m_settled_after ||
                         now >= *m_missing_since + m_options.m_store_after;
    if (!settled || view.m_candidates.empty()) {
        return std::nullopt;
    }
    account_home_set set{.m_generation = next_number(0, view.m_era),
                         .m_homes = choose_account_homes({}, view.m_candidates, view.m_max_homes)};
    if (view.m_era > 1) {
        // The store may have lost a set by which some instance still spends.
        set.m_previous.emplace();
    }
    return set;
}

std::optional<account_home_set> account_homes_plan::next(const account_homes_view& view, steady_time now) {
    if (!view.m_stored) {
        return first(view, now);
    }
    m_missing_since.reset();
    const std::vector<account_home>& stored = view.m_stored->m_homes;
    std::vector<account_home> kept;
    std::map<std::string, steady_time> silent_since;
    for (const account_home& each : stored) {
        const auto seen = view.m_last_seen.find(each.m_name);
        const auto before = m_silent_since.find(each.m_name);
        const steady_time since = seen != view.m_last_seen.end()   ? seen->second
                                  : before != m_silent_since.end() ? before->second
                                                                   : now;
        silent_since[each.m_name] = since;
        if (now < since + m_options.m_replace_after) {
            kept.push_back(each);
        }
    }
    m_silent_since = std::move(silent_since);
    std::vector<account_home> wanted = choose_account_homes(kept, view.m_candidates, view.m_max_homes);
    if (wanted.size() == stored.size()) {
        m_other_number_since.reset();
    } else {
        m_other_number_since = m_other_number_since.value_or(now);
    }
    const bool has_lost_home = kept.size() < stored.size();
    const bool is_number_wrong =
        m_other_number_since && now >= *m_other_number_since + m_options.m_replace_after;
    if ((!has_lost_home && !is_number_wrong) || wanted.empty() || wanted == stored ||
        now < view.m_stored_known_since + m_options.m_change_interval) {
        return std::nullopt;
    }
    return account_home_set{.m_generation = next_number(view.m_stored->m_generation, view.m_era),
                            .m_homes = std::move(wanted),
                            .m_previous = stored};
}

}
