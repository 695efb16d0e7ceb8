/// \file confirmation_lease.hpp
/// Lease under which an instance may use the primaries that its group records
/// name. It is renewed whenever the store confirms that the instance knows the
/// newest records, counted from when the request was sent. The coordinator that
/// orders a change of primary waits until each instance has acknowledged the
/// change or its lease has expired.
#pragma once

#include "anvilmount/base/time.hpp"

#include <optional>

namespace anvilmount {

class confirmation_lease {
public:
    explicit confirmation_lease(milliseconds duration) : m_duration(duration) {}

    /// Renews the lease as of `requested_at`, when the confirmation was requested.
    /// Confirmations may arrive out of order; an earlier one changes nothing.
    void renew(steady_time requested_at) {
        if (!m_renewed_at || requested_at > *m_renewed_at) {
            m_renewed_at = requested_at;
        }
    }

    [[nodiscard]] bool is_valid(steady_time now) const {
        return m_renewed_at && now < *m_renewed_at + m_duration;
    }

    [[nodiscard]] milliseconds duration() const { return m_duration; }

private:
    milliseconds m_duration;
    std::optional<steady_time> m_renewed_at; ///< Unset: never renewed.
};

}
