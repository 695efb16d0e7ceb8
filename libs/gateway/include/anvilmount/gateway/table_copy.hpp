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
    /// Version of the store up to which the copy is current; unset before the first answer.
    [[nodiscard]] const store_version& version() const { return m_version; }
    /// Version of the newest row applied.
    [[nodiscard]] const store_version& newest_row_version() const { return m_newest_row_version; }
    /// Version up to which rows may have existed that are removed by now.
    [[nodiscard]] const store_version& last_removal_version() const { return m_last_removal_version; }

    /// Returns the rows that changed after `version`, removed ones marked as such; nothing when
    /// `version` is older than the removals remembered here.
    [[nodiscard]] std::optional<std::vector<store_row>> changes_since(const store_version& version) const;

private:
    bool apply_row(const store_row& row);
    bool apply_removal(const std::string& key, const store_version& version);
    bool apply_snapshot(const store_answer& reply);

    std::map<std::string, store_row> m_rows;     ///< Key: row key.
    std::map<std::string, store_row> m_removals; ///< No key is in both m_rows and m_removals.
    store_version m_removals_known_after;        ///< All later removals are in m_removals.
    store_version m_last_removal_version;
    store_version m_newest_row_version;
    store_version m_version;
};

}
