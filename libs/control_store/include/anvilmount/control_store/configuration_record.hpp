/// \file configuration_record.hpp
/// Reads and checks configuration records: JSON with a schema version. A record
/// is taken whole or not at all; every complaint names the path of the field,
/// the value found and what is allowed. docs/CONFIGURATION.md shows the format.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/decisions/configuration.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace anvilmount {

/// Newest record schema that this build reads in full.
inline constexpr int schema_version = 1;

/// Returns the configuration in `text`, without a revision.
/// Errors: bad_configuration (1501).
[[nodiscard]] result<configuration> parse_configuration(std::string_view text);

}
