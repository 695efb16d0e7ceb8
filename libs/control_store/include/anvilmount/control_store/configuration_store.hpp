/// \file configuration_store.hpp
/// How configuration lies in the platform: one row with the revision in force,
/// pointing at an immutable snapshot in the object store. A change writes the
/// snapshot first and then moves the row by compare-and-set, so that a reader
/// never finds half a change. Each change has an id; when the answer to the
/// move is lost, reading the row back tells whose change it holds.
#pragma once

#include "anvilmount/control_store/control_store_client.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace anvilmount {

inline constexpr std::string_view configuration_row_key = "configuration";

struct revision_row {
    std::uint64_t m_revision{0};
    std::string m_object;
    std::string m_change_id;
    std::uint64_t m_row_version{0};
};

/// Returns nothing when no configuration was ever applied.
[[nodiscard]] std::optional<revision_row> read_revision_row(const table_row& row);

struct configuration_change {
    std::string m_text;
    std::string m_change_id;                          ///< Unique to this change.
    std::optional<std::uint64_t> m_expected_revision; ///< Unset: whatever is in force.
};

/// Applies a change and gives its revision. Errors: bad_configuration (1501),
/// configuration_conflict (1502) when another change came first,
/// platform_unavailable (1401) when it cannot be told what became of it.
void apply_configuration(control_store_client& platform, const configuration_change& change,
                         control_store_client::handler<std::uint64_t> on_done);

}
