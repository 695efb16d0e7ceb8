/// \file lineage.cpp
/// Implements the search for the term that replaced a position's term.
#include "anvilmount/decisions/lineage.hpp"

namespace anvilmount {

bool is_in_lineage(const log_position& position, std::span<const term_start> starts) {
    for (const term_start& start : starts) {
        if (start.m_term > position.m_term) {
            return position.m_offset < start.m_first_offset;
        }
    }
    return true;
}

}
