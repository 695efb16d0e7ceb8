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
#pragma once

#include "anvilmount/base/time.hpp"
#include "anvilmount/decisions/era_number.hpp"

#include <optional>

namespace anvilmount {

class confirmation_lease {
public:
    explicit confirmation_lease(milliseconds duration) : m_duration(duration) {}

    /// Renews the lease as of `requested_at`, when the confirmation was requested. `era` is the era of
    /// the store that confirmed it. Confirmations may arrive out of order; an earlier one changes
    /// nothing.
    void renew(steady_time requested_at, steady_time now, std::uint64_t era) {
        if (!is_valid(now)) {
            m_held_since_era = era;
        }
        if (!m_renewed_at || requested_at > *m_renewed_at) {
            m_renewed_at = requested_at;
        }
    }

    /// Whether the lease allows the use of the record with `epoch`.
    [[nodiscard]] bool covers(std::uint64_t epoch) const { return !is_before_era(epoch, m_held_since_era); }

    [[nodiscard]] bool is_valid(steady_time now) const {
        return m_renewed_at && now < *m_renewed_at + m_duration;
    }

    [[nodiscard]] milliseconds duration() const { return m_duration; }

private:
    milliseconds m_duration;
    std::optional<steady_time> m_renewed_at; ///< Unset: never renewed.
    std::uint64_t m_held_since_era{0};       ///< Era in which the lease was obtained after it last lapsed.
};

}
