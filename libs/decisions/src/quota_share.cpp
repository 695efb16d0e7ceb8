/// \file quota_share.cpp
/// Implements the division of a quota.
#include "anvilmount/decisions/quota_share.hpp"

#include <algorithm>
#include <chrono>

namespace anvilmount {
namespace {

using seconds = std::chrono::duration<double>;

/// From this rate on an account has several homes; each then has more than one operation a second even
/// when the account is at 1/1.6 of its quota and its callers are spread unevenly.
constexpr double min_rate_of_several_homes = 20;
constexpr std::size_t max_homes = 4;

/// The alternate of a single home.
constexpr double alternate_rate_share = 0.1;
constexpr double alternate_capacity = 4;

/// Bucket and rate over all instances.
quota_share whole(const account_quota& quota, const quota_window& window) {
    const double length = seconds(window.m_length).count();
    const double limit = (quota.m_rate * length + quota.m_burst) * (1 + window.m_overage) + window.m_slack;
    // A bucket of less than one token would refuse everything.
    const double capacity = std::min(limit, std::max(1.0, (quota.m_burst + window.m_slack) / 2));
    const double rate = (limit - capacity) / (length + seconds(max_operation_delay).count());
    return {.m_rate = std::min(quota.m_rate * (1 + window.m_overage), rate), .m_capacity = capacity};
}

}

home_counts count_homes(const account_quota& quota, const quota_window& window, std::size_t set_size) {
    if (quota.m_rate >= min_rate_of_several_homes && set_size > 1) {
        // Each home needs a bucket of at least one token.
        const auto buckets = static_cast<std::size_t>(std::max(1.0, whole(quota, window).m_capacity));
        return {.m_homes = std::min({max_homes, set_size, buckets})};
    }
    const bool has_alternate = set_size > 1 && whole(quota, window).m_capacity >= 1 + alternate_capacity;
    return {.m_homes = std::min<std::size_t>(1, set_size),
            .m_alternates = has_alternate ? std::size_t{1} : std::size_t{0}};
}

quota_share share_of_quota(const account_quota& quota, const quota_window& window,
                           const home_counts& counts, std::size_t position) {
    if (position >= counts.m_homes + counts.m_alternates) {
        return {};
    }
    const quota_share all = whole(quota, window);
    if (counts.m_alternates == 0) {
        const auto homes = static_cast<double>(counts.m_homes);
        return {.m_rate = all.m_rate / homes, .m_capacity = all.m_capacity / homes};
    }
    const double home_rate = std::min(quota.m_rate, all.m_rate);
    if (position >= counts.m_homes) {
        return {.m_rate = std::min(quota.m_rate * alternate_rate_share, all.m_rate - home_rate),
                .m_capacity = alternate_capacity};
    }
    return {.m_rate = home_rate, .m_capacity = all.m_capacity - alternate_capacity};
}

quota_share smaller_share(const quota_share& left, const quota_share& right) {
    return {.m_rate = std::min(left.m_rate, right.m_rate),
            .m_capacity = std::min(left.m_capacity, right.m_capacity)};
}

}
