/// \file settings.hpp
/// Settings of a process. Each is a gflags flag and an environment variable of
/// the same name in capitals behind "ANVILMOUNT_"; the flag wins. All are
/// checked once at start, so that a process with a bad setting never serves.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace anvilmount {

/// One setting as operators see it.
struct setting {
    std::string m_flag;           ///< gflags name.
    std::string m_heading;        ///< Heading under which --help shows it.
    std::string m_allowed_values; ///< Allowed values with their unit, as one phrase.
    std::function<bool(const std::string& value)> m_is_allowed;
};

/// Returns a check for whole numbers in [least, greatest].
[[nodiscard]] std::function<bool(const std::string&)> integer_between(long least, long greatest);

/// Returns a check for "IP:PORT"; an empty text passes when `may_be_empty`.
[[nodiscard]] std::function<bool(const std::string&)> endpoint_text(bool may_be_empty);

/// Returns a check for any number of "IP:PORT", joined by commas.
[[nodiscard]] std::function<bool(const std::string&)> endpoint_list();

/// Returns a check for a text of 1 to 64 letters, digits, '-', '_' and '.'.
[[nodiscard]] std::function<bool(const std::string&)> plain_name();

/// Returns a check that accepts exactly the given texts.
[[nodiscard]] std::function<bool(const std::string&)> one_of(std::vector<std::string> choices);

/// What start_settings found.
struct settings_load_result {
    std::optional<int> m_exit_code; ///< Set when the process must end now: 0 for help, 2 for a bad setting.
    std::string m_output;           ///< What to print before ending.
};

/// Does what start_settings does, prints its text, and returns the exit code
/// with which the process must end now, if any.
[[nodiscard]] std::optional<int> load_settings_or_exit_code(const std::vector<setting>& settings,
                                                            const std::string& summary, int* argc,
                                                            char*** argv);

/// Takes settings from the environment, then from the command line, and checks
/// them all. `argc` and `argv` keep only what is not a flag.
[[nodiscard]] settings_load_result load_settings(const std::vector<setting>& settings,
                                                 const std::string& summary, int* argc, char*** argv);

}
