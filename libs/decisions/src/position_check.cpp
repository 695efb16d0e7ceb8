/// \file position_check.cpp
/// Implements the check of a position against an upstream's log and history.
#include "anvilmount/decisions/position_check.hpp"

namespace anvilmount {

position_status check_position(const log_position& wanted, const upstream_log& upstream) {
    if (!is_in_lineage(wanted, upstream.m_history)) {
        return position_status::lost;
    }
    const bool has_record_of_own_term =
        upstream.m_is_primary || upstream.m_position.m_term == upstream.m_term;
    const bool has_position =
        upstream.m_position.m_term >= wanted.m_term && upstream.m_position.m_offset >= wanted.m_offset;
    return has_record_of_own_term && has_position ? position_status::reached : position_status::behind;
}

}
