/// \file write_confirmation.cpp
#include "anvilmount/decisions/write_confirmation.hpp"

namespace anvilmount {
namespace {

/// A write is given back to its front after a silence of this length.
constexpr milliseconds silence_patience{200};

}

write_decision decide_write(const log_position& written, const primary_observation& witness,
                            steady_time deadline, steady_time now) {
    if (witness.m_is_responsive) {
        const bool leads = witness.m_is_primary && witness.m_term == written.m_term;
        if (!leads) {
            return write_decision::replaced;
        }
        if (witness.m_confirmed.m_offset >= written.m_offset) {
            return write_decision::acknowledge;
        }
    } else if (now >= witness.m_silent_since + silence_patience) {
        return write_decision::primary_unreachable;
    }
    return now >= deadline ? write_decision::deadline_passed : write_decision::wait;
}

}
