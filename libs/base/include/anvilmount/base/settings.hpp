/// \file settings.hpp
/// Declares, loads and validates the settings of a process. Each setting is a
/// gflags flag and an environment variable: "ANVILMOUNT_" followed by the flag's
/// name in upper case. The flag takes precedence. All settings are validated at
/// startup, so that a process with an invalid setting never serves.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount {

/// One setting: its flag, its help text and its validator.
struct setting {
    std::string m_flag;           ///< Name of the gflags flag.
    std::string m_heading;        ///< Heading under which --help lists the setting.
    std::string m_allowed_values; ///< Allowed values with their unit, shown in help and errors.
    std::function<bool(const std::string& value)> m_is_allowed;
};

/// Returns a validator for integers in [least, greatest].
[[nodiscard]] std::function<bool(const std::string&)> integer_between(long least, long greatest);

/// Accepts decimal numbers from `least` to `greatest`.
[[nodiscard]] std::function<bool(const std::string&)> decimal_between(double least, double greatest);

/// Returns a validator for "IP:PORT"; it accepts an empty value if `may_be_empty`.
[[nodiscard]] std::function<bool(const std::string&)> endpoint_text(bool may_be_empty);

/// Returns a validator for a comma-separated list of "IP:PORT", which may be empty.
[[nodiscard]] std::function<bool(const std::string&)> endpoint_list();

/// Returns a validator for names of 1 to 64 letters, digits, '-', '_' and '.'.
[[nodiscard]] std::function<bool(const std::string&)> plain_name();

/// Returns a validator that accepts exactly the given values.
[[nodiscard]] std::function<bool(const std::string&)> one_of(std::vector<std::string> choices);

/// Result of load_settings().
struct settings_load_result {
    std::optional<int> m_exit_code; ///< Set if the process must exit: 0 for help, 2 for a bad setting.
    std::string m_output;           ///< Text to print before the process exits.
};

/// Calls load_settings() and prints its output, if any. Returns the exit code if
/// the process must exit.
[[nodiscard]] std::optional<int> load_settings_or_exit_code(const std::vector<setting>& settings,
                                                            const std::string& summary, int* argc,
                                                            char*** argv);

/// Loads settings from the environment, then from the command line, and
/// validates them all. Removes the flags from `argc` and `argv`.
[[nodiscard]] settings_load_result load_settings(const std::vector<setting>& settings,
                                                 const std::string& summary, int* argc, char*** argv);

}
