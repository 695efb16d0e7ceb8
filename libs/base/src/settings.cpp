/// \file settings.cpp
/// Loads settings with gflags, and formats the help and error texts.
#include "anvilmount/base/settings.hpp"

#include "anvilmount/base/endpoint.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace anvilmount {
namespace {

constexpr int exit_bad_setting = 2;
constexpr std::size_t max_name_length = 64;

std::string environment_name(const std::string& flag) {
    std::string name = "ANVILMOUNT_";
    for (const char letter : flag) {
        name += static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    return name;
}

std::string bad_setting_text(const setting& rejected, const std::string& value) {
    return "error 1601 bad_setting: --" + rejected.m_flag + " (" + environment_name(rejected.m_flag) +
           ") is '" + value + "'; allowed: " + rejected.m_allowed_values + "\n";
}

std::string help_text(const std::vector<setting>& settings, const std::string& summary) {
    std::string text = summary + "\n";
    std::string heading;
    for (const setting& each : settings) {
        gflags::CommandLineFlagInfo info;
        gflags::GetCommandLineFlagInfo(each.m_flag.c_str(), &info);
        if (each.m_heading != heading) {
            heading = each.m_heading;
            text += "\n" + heading + "\n";
        }
        text += "  --" + each.m_flag + "  " + info.description +
                "\n      allowed: " + each.m_allowed_values + "; default: '" + info.default_value +
                "'; environment: " + environment_name(each.m_flag) + "\n";
    }
    return text;
}

bool is_help(std::string_view argument) {
    return argument == "--help" || argument == "-help" || argument == "-h" || argument == "help";
}

/// Returns the first flag on the command line that is not in `settings`, if any.
std::optional<std::string> undeclared_flag(const std::vector<setting>& settings, int argc, char** argv) {
    for (int index = 1; index < argc; ++index) {
        std::string_view argument = argv[index];
        if (argument == "--") {
            return std::nullopt;
        }
        if (!argument.starts_with("-") || argument == "-") {
            continue;
        }
        argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
        const std::string name(argument.substr(0, argument.find('=')));
        const bool declared = std::any_of(settings.begin(), settings.end(), [&](const setting& each) {
            return each.m_flag == name || "no" + each.m_flag == name;
        });
        if (!declared) {
            return name;
        }
        if (argument.find('=') == std::string_view::npos) {
            gflags::CommandLineFlagInfo info;
            gflags::GetCommandLineFlagInfo(name.c_str(), &info);
            index += info.type == "bool" ? 0 : 1;
        }
    }
    return std::nullopt;
}

}

std::function<bool(const std::string&)> integer_between(long least, long greatest) {
    return [least, greatest](const std::string& value) {
        long number = 0;
        const char* last = value.data() + value.size();
        const auto [end, error] = std::from_chars(value.data(), last, number);
        return error == std::errc{} && end == last && number >= least && number <= greatest;
    };
}

std::function<bool(const std::string&)> decimal_between(double least, double greatest) {
    return [least, greatest](const std::string& value) {
        double number = 0;
        const char* last = value.data() + value.size();
        const auto [end, error] = std::from_chars(value.data(), last, number);
        return error == std::errc{} && end == last && number >= least && number <= greatest;
    };
}

std::function<bool(const std::string&)> endpoint_text(bool may_be_empty) {
    return [may_be_empty](const std::string& value) {
        if (value.empty()) {
            return may_be_empty;
        }
        return value_or_failure([&] { return parse_endpoint(value); }).index() == 0;
    };
}

std::function<bool(const std::string&)> endpoint_list() {
    return [](const std::string& value) {
        return value_or_failure([&] { return parse_endpoints(value); }).index() == 0;
    };
}

std::function<bool(const std::string&)> plain_name() {
    return [](const std::string& value) {
        const auto allowed = [](unsigned char letter) {
            return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
        };
        return !value.empty() && value.size() <= max_name_length &&
               std::all_of(value.begin(), value.end(), allowed);
    };
}

std::function<bool(const std::string&)> one_of(std::vector<std::string> choices) {
    return [choices = std::move(choices)](const std::string& value) {
        return std::find(choices.begin(), choices.end(), value) != choices.end();
    };
}

settings_load_result load_settings(const std::vector<setting>& settings, const std::string& summary,
                                   int* argc, char*** argv) {
    if (std::any_of(*argv + 1, *argv + *argc, is_help)) {
        return {.m_exit_code = 0, .m_output = help_text(settings, summary)};
    }
    for (const setting& each : settings) {
        const char* value = std::getenv(environment_name(each.m_flag).c_str());
        if (value != nullptr && gflags::SetCommandLineOption(each.m_flag.c_str(), value).empty()) {
            return {.m_exit_code = exit_bad_setting, .m_output = bad_setting_text(each, value)};
        }
    }
    if (const auto unknown = undeclared_flag(settings, *argc, *argv)) {
        return {.m_exit_code = exit_bad_setting,
                .m_output = "error 1601 bad_setting: there is no setting --" + *unknown + "; see --help\n"};
    }
    gflags::ParseCommandLineFlags(argc, argv, true);
    for (const setting& each : settings) {
        std::string value;
        gflags::GetCommandLineOption(each.m_flag.c_str(), &value);
        if (!each.m_is_allowed(value)) {
            return {.m_exit_code = exit_bad_setting, .m_output = bad_setting_text(each, value)};
        }
    }
    return {};
}

std::optional<int> load_settings_or_exit_code(const std::vector<setting>& settings,
                                              const std::string& summary, int* argc, char*** argv) {
    const settings_load_result report = load_settings(settings, summary, argc, argv);
    if (report.m_exit_code) {
        std::fputs(report.m_output.c_str(), *report.m_exit_code == 0 ? stdout : stderr);
    }
    return report.m_exit_code;
}

}
