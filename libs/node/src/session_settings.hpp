/// \file session_settings.hpp
/// What the proxy itself keeps of a session: who it is, what it wished for, and
/// what it has seen. Callers set and show these as `anvilmount.NAME`.
#pragma once

#include "anvilmount/decisions/service_rules.hpp"
#include "anvilmount/decisions/session_token.hpp"

#include <map>
#include <string>
#include <vector>

namespace anvilmount {

struct session_settings {
    group_name m_group;
    request_origin m_origin;
    session_overrides m_overrides;
    session_token m_token;

    /// Errors: bad_session_setting (1106), bad_session_token (1207).
    [[nodiscard]] result<void> apply(const session_assignment& assignment);

    /// Applies those startup parameters that are the proxy's own.
    /// Errors as apply().
    [[nodiscard]] result<void>
    apply_startup(const std::map<std::string, std::string, std::less<>>& parameters);

    /// Returns the value of a setting. Errors: bad_session_setting (1106).
    [[nodiscard]] result<std::string> show(const std::string& name) const;
};

}
