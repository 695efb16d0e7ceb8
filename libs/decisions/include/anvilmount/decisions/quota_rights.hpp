/// \file quota_rights.hpp
/// Decides by which sets of account homes this process may spend parts of quotas at a moment, so that no
/// part is spent by two instances at once.
///
/// - It spends only while its last successful heartbeat was sent less than `validity` ago. A heartbeat
///   succeeds only if the set known here is the stored one. So a set that was replaced longer than
///   `validity` ago is used by no instance.
/// - For `validity` after it learned a set it spends no more than both this set and the one before allow,
///   since others may still spend by the one before. The coordinator waits as long between two changes.
/// - A process that starts learns both sets from the store, and follows the same rule. Its predecessor
///   under the same name has ended.
/// - When the store has come back from an older copy, the set there may be any earlier one, and instances
///   may spend by a newer one until their heartbeats are too old. What this process may spend by its last
///   heartbeat before, it spends until then, as far as the returned set allows it too. After that it
///   spends nothing until `validity` has passed since it learned the returned set.
/// - Tokens saved up before a gap are not spent after it: see fill().
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/account_homes.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace anvilmount {

class quota_rights {
public:
    using homes = std::vector<account_home>;

    explicit quota_rights(milliseconds validity) : m_validity(validity) {}

    /// The store's set was read, in `era` of the store; nothing: none is stored. Call it at each change.
    void on_set(const std::optional<account_home_set>& stored, std::uint64_t era, steady_time now);

    /// A heartbeat that was sent at `sent_at` succeeded.
    void on_heartbeat(steady_time sent_at);

    /// Whether the last successful heartbeat is young enough to spend.
    [[nodiscard]] bool is_confirmed(steady_time now) const;

    /// Returns the sets that each limit what may be spent now; none: nothing may be spent. Heartbeats are
    /// not considered.
    [[nodiscard]] std::vector<homes> bounds(steady_time now) const;

    /// When bounds() next changes by itself; the epoch of the clock when it does not.
    [[nodiscard]] steady_time next_change(steady_time now) const;

    /// Rises when buckets must be emptied: other instances may have spent this process's parts, full
    /// buckets included, since it last knew the set.
    [[nodiscard]] std::uint64_t fill() const { return m_fill; }

    /// The set as last read.
    [[nodiscard]] const std::optional<account_home_set>& known() const { return m_known; }

    /// Longer than `validity`: timers fire late, and the clocks of two machines drift.
    [[nodiscard]] milliseconds waiting_time() const;

private:
    milliseconds m_validity;
    std::optional<account_home_set> m_known;
    bool m_has_read{false};
    std::uint64_t m_era{0};
    std::optional<steady_time> m_confirmed_at;
    steady_time m_previous_until{}; ///< Until then the set before m_known is a bound too.
    steady_time m_blocked_until{};  ///< Until then only what m_before allows is spent.
    std::vector<homes> m_before;    ///< Bounds of before the store came back from an older copy...
    steady_time m_before_until{};   ///< ...which hold until then.
    std::uint64_t m_fill{0};
};

}
