/// \file record_acknowledgement.cpp
/// Implements the version up to which all records are acknowledged.
#include "anvilmount/decisions/record_acknowledgement.hpp"

#include <algorithm>
#include <limits>

namespace anvilmount {

std::uint64_t acknowledged_version(std::span<const record_state> records) {
    std::uint64_t newest = 0;
    std::uint64_t first_pending = std::numeric_limits<std::uint64_t>::max();
    for (const record_state& record : records) {
        newest = std::max(newest, record.m_version);
        if (!record.m_acknowledged) {
            first_pending = std::min(first_pending, record.m_version);
        }
    }
    return first_pending > newest ? newest : first_pending - 1;
}

}
