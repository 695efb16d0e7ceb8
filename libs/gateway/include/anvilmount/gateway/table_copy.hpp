/// \file table_copy.hpp
/// A local copy of one table of the metadata store, kept current from snapshots and deltas. The copy
/// can itself produce deltas: it remembers the latest removals, so that a reader that has seen an
/// earlier version needs only what has changed since. A row never goes back to an earlier version.
#pragma once

#include "anvilmount/gateway/ports.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount::gateway {

class table_copy {
public:
    /// Applies the whole table or a delta. Returns whether any row changed.
    bool apply(const store_answer& reply);

    [[nodiscard]] const std::map<std::string, store_row>& rows() const { return m_rows; }
    /// Version of the store up to which the copy is current; 0 before the first answer.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Version of the newest row applied.
    [[nodiscard]] std::uint64_t newest_row_version() const { return m_newest_row_version; }
    /// Version up to which rows may have existed that are removed by now.
    [[nodiscard]] std::uint64_t last_removal_version() const { return m_last_removal_version; }

    /// Returns the rows that changed after `version`, removed ones marked as such; nothing when
    /// `version` is older than the removals remembered here.
    [[nodiscard]] std::optional<std::vector<store_row>> changes_since(std::uint64_t version) const;

private:
    bool apply_row(const store_row& row);
    bool apply_removal(const std::string& key, std::uint64_t version);
    bool apply_snapshot(const store_answer& reply);

    std::map<std::string, store_row> m_rows;     ///< Key: row key.
    std::map<std::string, store_row> m_removals; ///< No key is in both m_rows and m_removals.
    std::uint64_t m_removals_known_after{0};     ///< All later removals are in m_removals.
    std::uint64_t m_last_removal_version{0};
    std::uint64_t m_newest_row_version{0};
    std::uint64_t m_version{0};
};

}
