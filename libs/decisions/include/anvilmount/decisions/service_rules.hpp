/// \file service_rules.hpp
/// Determines the class of a request (rank, staleness bound, deadline): from the
/// operator's first matching rule, then from the overrides that the caller's
/// session and the statement's leading comment set.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/decisions/configuration.hpp"
#include "anvilmount/decisions/statement_class.hpp"

#include <span>

namespace anvilmount {

/// Settings of a session that override the matching rule. Callers set them by SET,
/// in the startup options or in a leading comment.
struct session_overrides {
    std::optional<int> m_rank;
    std::optional<milliseconds> m_max_staleness;
    std::optional<milliseconds> m_deadline;
    std::string m_request_id; ///< Request id of the next write; empty: none.
};

/// Who sent a request, as rules match it.
struct request_origin {
    std::string m_user;
    std::string m_application;
};

/// Applies one assignment to `overrides`. An empty value removes the
/// override; so does "default", except for request_id.
/// Names: rank (1..3), max_staleness (ms), deadline (ms), request_id (text).
/// Errors: bad_session_setting (1106).
[[nodiscard]] result<void> apply_session_setting(session_overrides& overrides,
                                                 const session_assignment& assignment);

/// Returns the class of a request. Overrides take precedence over the matching
/// rule, except that a caller cannot get a more urgent rank than that rule gives.
[[nodiscard]] request_class classify_request(std::span<const rule_spec> rules, const request_origin& origin,
                                             const script_traits& script,
                                             const session_overrides& overrides);

}
