/// \file write_confirmation.cpp
/// Implements the decision on a committed write.
#include "anvilmount/decisions/write_confirmation.hpp"

namespace anvilmount {
namespace {

/// A write is returned to its front when the primary has not answered for this long.
constexpr milliseconds silence_timeout{200};

}

write_decision decide_write(const log_position& written, const primary_observation& observation,
                            steady_time deadline, steady_time now) {
    if (observation.m_is_responsive) {
        const bool is_current_primary = observation.m_is_primary && observation.m_term == written.m_term;
        if (!is_current_primary) {
            return write_decision::replaced;
        }
        if (observation.m_confirmed.m_offset >= written.m_offset) {
            return write_decision::acknowledge;
        }
    } else if (now >= observation.m_silent_since + silence_timeout) {
        return write_decision::primary_unreachable;
    }
    return now >= deadline ? write_decision::deadline_passed : write_decision::wait;
}

}
