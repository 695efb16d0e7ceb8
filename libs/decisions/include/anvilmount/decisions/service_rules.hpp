/// \file service_rules.hpp
/// Gives a request its class: the operator's first matching rule, then what
/// the caller's session and the statement's own comment ask for.
#pragma once

#include "anvilmount/base/failure.hpp"
#include "anvilmount/decisions/configuration.hpp"
#include "anvilmount/decisions/statement_class.hpp"

#include <span>

namespace anvilmount {

/// What a session has asked for by SET or in its startup options.
struct session_overrides {
    std::optional<int> m_rank;
    std::optional<milliseconds> m_max_staleness;
    std::optional<milliseconds> m_deadline;
    std::string m_request_id; ///< Of the next write; empty: none.
};

struct request_origin {
    std::string m_user;
    std::string m_application;
};

/// Applies one assignment to `wishes`. An empty value or "default" unsets.
/// Names: rank (1..3), max_staleness (ms), deadline (ms), request_id (text).
/// Errors: bad_session_setting (1106).
[[nodiscard]] result<void> apply_session_setting(session_overrides& overrides,
                                                 const session_assignment& assignment);

/// Returns the class of a request. Wishes go before rules, except that a caller
/// cannot make itself more urgent than a rule that names its rank allows.
[[nodiscard]] request_class classify_request(std::span<const rule_spec> rules, const request_origin& origin,
                                             const script_traits& script,
                                             const session_overrides& overrides);

}
