/// \file configuration_record.hpp
/// Parses and validates configuration records: JSON with a schema version. A record
/// is accepted completely or not at all. An error message names the field's path,
/// the value found and the allowed values. docs/CONFIGURATION.md shows the format.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/decisions/configuration.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace anvilmount {

/// The newest record schema that this build reads completely.
inline constexpr int schema_version = 1;

/// Returns the configuration in `text`. Its revision is not set.
/// Errors: bad_configuration (1501).
[[nodiscard]] result<configuration> parse_configuration(std::string_view text);

}
