/// \file process_order.cpp
/// Compares registrations.
#include "anvilmount/decisions/process_order.hpp"

namespace anvilmount {

store_version registration_of(const std::optional<store_version>& stated, const store_version& row) {
    if (!stated) {
        return row;
    }
    return stated->is_set() ? *stated : store_version{.m_era = stated->m_era, .m_number = row.m_number};
}

process_row classify_row(const std::optional<registered_process>& known, bool has_left,
                         const registered_process& listed) {
    if (!known) {
        return process_row::next_process;
    }
    if (has_left) {
        return listed.m_registered_at > known->m_registered_at ? process_row::next_process
                                                               : process_row::ended_process;
    }
    if (listed.m_incarnation == known->m_incarnation) {
        return process_row::same_process;
    }
    return listed.m_registered_at < known->m_registered_at ? process_row::ended_process
                                                           : process_row::next_process;
}

store_version registration_to_state(const std::optional<registered_process>& replaced,
                                    const std::string& incarnation, std::uint64_t era) {
    const bool is_registered =
        replaced && replaced->m_incarnation == incarnation && replaced->m_registered_at.m_era == era;
    return is_registered ? replaced->m_registered_at : store_version{.m_era = era};
}

}
