/// \file record_acknowledgement.hpp
/// How an instance reports which group records it has acknowledged: by one version of the records
/// table, up to which all records are acknowledged. The report has the same size for any number of
/// groups. A record that waits for running transactions delays the report of later ones by the
/// fraction of a second that these may take.
#pragma once

#include "anvilmount/decisions/store_version.hpp"

#include <span>

namespace anvilmount {

/// One row of the records table.
struct record_state {
    store_version m_version{};
    bool m_acknowledged{false};
};

/// Returns the greatest version up to which every record is acknowledged; unset when there is none.
[[nodiscard]] store_version acknowledged_version(std::span<const record_state> records);

}
