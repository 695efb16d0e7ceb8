/// \file confirmation_lease.hpp
/// Lease under which an instance may use the primaries that its group records
/// name. It is renewed whenever the store confirms that the instance knows the
/// newest records, counted from when the request was sent. The coordinator that
/// orders a change of primary waits until each instance has acknowledged the
/// change or its lease has expired.
///
/// When the store comes back from an older copy, the newest record there may name a
/// primary that was replaced. An instance whose lease never lapsed knows better: it
/// keeps using the records that it knew. Any other uses only records that were written,
/// or confirmed by the coordinator, since the store came back.
///
/// A lease is provisional, and much shorter, until the witnesses know of it
/// (introductions.hpp). The store may forget it until then, and a change of primary
/// waits for the leases that someone knows, and for no longer than a provisional one
/// for others.
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/era_number.hpp"

#include <optional>

namespace anvilmount {

class confirmation_lease {
public:
    /// Of a lease that the witnesses do not know of yet.
    static constexpr milliseconds provisional_duration{1500};

    explicit confirmation_lease(milliseconds duration) : m_duration(duration) {}

    /// Renews the lease as of `requested_at`, when the confirmation was requested. `era` is the era of
    /// the store that confirmed it. Confirmations may arrive out of order; an earlier one changes
    /// nothing. Returns whether the lease was obtained anew, since none was valid.
    bool renew(steady_time requested_at, steady_time now, std::uint64_t era) {
        const bool is_new = !is_valid(now);
        if (is_new) {
            m_held_since_era = era;
        }
        if (!m_renewed_at || requested_at > *m_renewed_at) {
            m_renewed_at = requested_at;
        }
        return is_new;
    }

    /// Call when a lease was obtained anew: it is provisional until confirm_known().
    void make_provisional() { m_is_provisional = true; }

    /// The witnesses know of the lease. One that has lapsed meanwhile stays lapsed: it is not known for how
    /// long they still count it.
    void confirm_known(steady_time now) { m_is_provisional = m_is_provisional && !is_valid(now); }

    [[nodiscard]] bool is_provisional() const { return m_is_provisional; }

    /// Whether the lease allows the use of the record with `epoch`.
    [[nodiscard]] bool covers(std::uint64_t epoch) const { return !is_before_era(epoch, m_held_since_era); }

    [[nodiscard]] bool is_valid(steady_time now) const {
        return m_renewed_at && now < *m_renewed_at + (m_is_provisional ? provisional_duration : m_duration);
    }

    /// The longest that the lease may be valid after it was renewed.
    [[nodiscard]] milliseconds duration() const { return m_duration; }

private:
    milliseconds m_duration;
    std::optional<steady_time> m_renewed_at; ///< Unset: never renewed.
    bool m_is_provisional{false};
    std::uint64_t m_held_since_era{0}; ///< Era in which the lease was obtained after it last lapsed.
};

}
