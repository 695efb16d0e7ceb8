/// \file confirmation_lease.hpp
/// The right to go on using what was last known of the groups' primaries. It
/// is renewed by every confirmation that nothing newer was ordered, dated from
/// when the question was sent. Who orders a change of primary waits until each
/// instance has agreed or its lease has run out.
#pragma once

#include "anvilmount/base/time.hpp"

#include <optional>

namespace anvilmount {

class confirmation_lease {
public:
    explicit confirmation_lease(milliseconds duration) : m_duration(duration) {}

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
    std::optional<steady_time> m_renewed_at; ///< Unset: nothing was ever confirmed.
};

}
