/// \file session_settings.hpp
/// The settings that the proxy keeps for a session: its group and origin, the
/// overrides that it has set, and its session token. Callers set and show them as
/// `anvilmount.NAME`.
#pragma once

#include "anvilmount/decisions/service_rules.hpp"
#include "anvilmount/decisions/session_token.hpp"

#include <map>
#include <string>
#include <vector>

namespace anvilmount {

/// Settings of one session.
struct session_settings {
    group_name m_group;
    request_origin m_origin;
    session_overrides m_overrides;
    session_token m_token;

    /// Applies one SET or startup parameter.
    /// Errors: bad_session_setting (1106), bad_session_token (1207).
    [[nodiscard]] result<void> apply(const session_assignment& assignment);

    /// Applies the startup parameters that are settings of the proxy, including those in `options`.
    /// Errors: as for apply().
    [[nodiscard]] result<void>
    apply_startup(const std::map<std::string, std::string, std::less<>>& parameters);

    /// Returns the value of a setting. Errors: bad_session_setting (1106).
    [[nodiscard]] result<std::string> show(const std::string& name) const;
};

}
