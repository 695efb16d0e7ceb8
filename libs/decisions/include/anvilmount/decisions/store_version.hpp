/// \file store_version.hpp
/// A position in the history of the metadata store. The store numbers its changes, and may come back
/// from an older copy: the changes made since are lost and their numbers are given out again. Each
/// return begins a new era, so that era and number together are never given out twice.
///
/// Whatever was read in a later era supersedes all that was read before, hence the order. A number is
/// meaningless in another era: the store can neither continue a watch nor check a condition from it.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace anvilmount {

/// Version of a row or of the store.
struct store_version {
    std::uint64_t m_era{0};    ///< 0: the store names no era.
    std::uint64_t m_number{0}; ///< 0: the row does not exist, or nothing was read yet.

    [[nodiscard]] bool is_set() const { return m_number > 0; }

    auto operator<=>(const store_version&) const = default;
};

/// Formats as ERA.NUMBER, for logs.
[[nodiscard]] inline std::string to_string(const store_version& version) {
    return std::to_string(version.m_era) + "." + std::to_string(version.m_number);
}

}
