/// \file quota_share.hpp
/// Divides the quota of a client account among its homes, so that the sum over all instances stays inside
/// the quota's window without any message between them.
///
/// With N tokens a second over all homes and buckets of C together, the upstreams receive at most
/// N x (window + max_operation_delay) + C operations in a window, since an operation arrives up to that
/// delay after it was counted. The shares are chosen so that this is at most what the window allows.
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/quota_window.hpp"

#include <cstddef>

namespace anvilmount {

/// An operation reaches its upstream at most this long after its token was taken.
inline constexpr milliseconds max_operation_delay{500};

/// Quota of one account, in operations over the whole fleet.
struct account_quota {
    double m_rate{0}; ///< A second.
    double m_burst{0};

    bool operator==(const account_quota&) const = default;
};

/// What one instance may spend of a quota.
struct quota_share {
    double m_rate{0};     ///< Tokens a second.
    double m_capacity{0}; ///< Of the bucket.

    bool operator==(const quota_share&) const = default;
};

/// How many instances serve an account.
struct home_counts {
    std::size_t m_homes{1};      ///< Each has the same share.
    std::size_t m_alternates{0}; ///< Has a small share, for when the home is away.

    bool operator==(const home_counts&) const = default;
};

/// Returns how many of `set_size` instances serve an account.
[[nodiscard]] home_counts count_homes(const account_quota& quota, const quota_window& window,
                                      std::size_t set_size);

/// Returns the share of the instance at `position` in the account's order of homes.
[[nodiscard]] quota_share share_of_quota(const account_quota& quota, const quota_window& window,
                                         const home_counts& counts, std::size_t position);

/// Returns the smaller of both, part by part.
[[nodiscard]] quota_share smaller_share(const quota_share& left, const quota_share& right);

}
