/// \file session_settings.cpp
/// Implements the `anvilmount.` settings of a session.
#include "session_settings.hpp"

namespace anvilmount {
namespace {

constexpr std::string_view setting_prefix = "anvilmount.";

/// Returns the proxy's settings among the "-c name=value" pairs that libpq sends in `options`.
std::vector<session_assignment> parse_startup_options(const std::string& options) {
    std::vector<session_assignment> assignments;
    for (session_assignment& each : parse_assignments(options)) {
        constexpr std::string_view flag = "-c";
        if (each.m_name.starts_with(flag)) {
            each.m_name.erase(0, flag.size());
        }
        if (each.m_name.starts_with(setting_prefix)) {
            assignments.push_back({each.m_name.substr(setting_prefix.size()), each.m_value});
        }
    }
    return assignments;
}

bool is_utf8(const std::string& encoding) {
    return encoding == "UTF8" || encoding == "utf8" || encoding == "UTF-8" || encoding == "utf-8";
}

std::string text_of(const std::optional<milliseconds>& duration) {
    return duration ? std::to_string(duration->count()) : "default";
}

}

result<void> session_settings::apply(const session_assignment& assignment) {
    if (assignment.m_name == "session_token") {
        return m_token.adopt(assignment.m_value, m_group);
    }
    if (assignment.m_name == "application_name") {
        m_origin.m_application = assignment.m_value;
        return {};
    }
    if (assignment.m_name == "client_encoding") {
        if (!is_utf8(assignment.m_value)) {
            return fail(result_code::bad_session_setting, "client_encoding must be UTF8");
        }
        return {};
    }
    return apply_session_setting(m_overrides, assignment);
}

result<void>
session_settings::apply_startup(const std::map<std::string, std::string, std::less<>>& parameters) {
    for (const auto& [name, value] : parameters) {
        if (name.starts_with(setting_prefix)) {
            BOOST_LEAF_CHECK(apply({name.substr(setting_prefix.size()), value}));
        }
    }
    const auto options = parameters.find("options");
    if (options != parameters.end()) {
        for (const session_assignment& each : parse_startup_options(options->second)) {
            BOOST_LEAF_CHECK(apply(each));
        }
    }
    return {};
}

result<std::string> session_settings::show(const std::string& name) const {
    if (name == "session_token") {
        return m_token.text(m_group);
    }
    if (name == "rank") {
        return m_overrides.m_rank ? std::to_string(*m_overrides.m_rank) : "default";
    }
    if (name == "max_staleness") {
        return text_of(m_overrides.m_max_staleness);
    }
    if (name == "deadline") {
        return text_of(m_overrides.m_deadline);
    }
    if (name == "request_id") {
        return m_overrides.m_request_id;
    }
    return fail(result_code::bad_session_setting, "there is no setting anvilmount." + name);
}

}
