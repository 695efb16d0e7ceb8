/// \file record_acknowledgement.cpp
/// Implements the version up to which all records are acknowledged.
#include "anvilmount/decisions/record_acknowledgement.hpp"

#include <algorithm>
#include <optional>

namespace anvilmount {

store_version acknowledged_version(std::span<const record_state> records) {
    store_version newest;
    std::optional<store_version> first_pending;
    for (const record_state& record : records) {
        newest = std::max(newest, record.m_version);
        if (!record.m_acknowledged) {
            first_pending = first_pending ? std::min(*first_pending, record.m_version) : record.m_version;
        }
    }
    if (!first_pending) {
        return newest;
    }
    // A row's number is at least 1.
    return {.m_era = first_pending->m_era, .m_number = first_pending->m_number - 1};
}

}
