/// \file configuration_store.hpp
/// Stores configurations in the platform: one table row names the revision in force
/// and an immutable snapshot in the object store. A change writes the snapshot
/// first and then updates the row by compare-and-set, so that a reader never sees a
/// partial change. Each change has an id: if the answer to the update is lost,
/// reading the row shows whether this change or another one took effect.
#pragma once

#include "anvilmount/control_store/control_store_client.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace anvilmount {

inline constexpr std::string_view configuration_row_key = "configuration";

/// The row that names the revision in force.
struct revision_row {
    std::uint64_t m_revision{0};
    std::string m_object;
    std::string m_change_id;
    std::uint64_t m_row_version{0};
};

/// Parses the row. Returns nothing when no configuration has been applied yet.
[[nodiscard]] std::optional<revision_row> read_revision_row(const table_row& row);

/// A new configuration text to apply.
struct configuration_change {
    std::string m_text;
    std::string m_change_id;                          ///< Unique to this change.
    std::optional<std::uint64_t> m_expected_revision; ///< Required revision in force; unset: any.
};

/// Applies a change and passes its revision to `on_done`. Errors:
/// bad_configuration (1501); configuration_conflict (1502) when another change was
/// applied first; platform_unavailable (1401) when the outcome is unknown.
void apply_configuration(control_store_client& platform, const configuration_change& change,
                         control_store_client::handler<std::uint64_t> on_done);

}
