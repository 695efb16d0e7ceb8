/// \file service_rules.cpp
/// Matches rules and parses the anvilmount.* settings of a session.
#include "anvilmount/decisions/service_rules.hpp"

#include "anvilmount/decisions/request_guard.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace anvilmount {
namespace {

/// Maximum staleness bound or deadline that a caller may set.
constexpr int max_duration_ms = 24 * 60 * 60 * 1000;

bool mentions_table(const script_traits& script, const std::string& table) {
    return std::any_of(
        script.m_statements.begin(), script.m_statements.end(), [&](const statement_traits& each) {
            return std::find(each.m_tables.begin(), each.m_tables.end(), table) != each.m_tables.end();
        });
}

bool matches(const rule_spec& rule, const request_origin& origin, const script_traits& script) {
    return (rule.m_user.empty() || rule.m_user == origin.m_user) &&
           (rule.m_application.empty() || rule.m_application == origin.m_application) &&
           (rule.m_table.empty() || mentions_table(script, rule.m_table)) &&
           (!rule.m_reads || *rule.m_reads == script.is_read_only());
}

/// Parses the value of a numeric setting; nothing when it is empty or "default".
result<std::optional<int>> parse_setting_number(const session_assignment& assignment, int least,
                                                int greatest) {
    if (assignment.m_value.empty() || assignment.m_value == "default") {
        return std::optional<int>{};
    }
    int number = 0;
    const char* last = assignment.m_value.data() + assignment.m_value.size();
    const auto [end, error] = std::from_chars(assignment.m_value.data(), last, number);
    if (error != std::errc{} || end != last || number < least || number > greatest) {
        return fail(result_code::bad_session_setting,
                    "anvilmount." + assignment.m_name + " is '" + assignment.m_value +
                        "'; allowed: a whole number from " + std::to_string(least) + " to " +
                        std::to_string(greatest) + ", or 'default'");
    }
    return std::optional<int>{number};
}

std::optional<milliseconds> to_milliseconds(std::optional<int> number) {
    return number ? std::optional<milliseconds>{milliseconds{*number}} : std::nullopt;
}

}

result<void> apply_session_setting(session_overrides& overrides, const session_assignment& assignment) {
    if (assignment.m_name == "rank") {
        BOOST_LEAF_ASSIGN(overrides.m_rank,
                          parse_setting_number(assignment, most_urgent_rank, least_urgent_rank));
        return {};
    }
    if (assignment.m_name == "max_staleness") {
        BOOST_LEAF_AUTO(number, parse_setting_number(assignment, 0, max_duration_ms));
        overrides.m_max_staleness = to_milliseconds(number);
        return {};
    }
    if (assignment.m_name == "deadline") {
        BOOST_LEAF_AUTO(number, parse_setting_number(assignment, 1, max_duration_ms));
        overrides.m_deadline = to_milliseconds(number);
        return {};
    }
    if (assignment.m_name == "request_id") {
        if (assignment.m_value.empty()) {
            overrides.m_request_id.clear();
            return {};
        }
        if (auto invalid = check_request_id(assignment.m_value)) {
            return boost::leaf::new_error(std::move(*invalid));
        }
        overrides.m_request_id = assignment.m_value;
        return {};
    }
    return fail(result_code::bad_session_setting,
                "there is no setting anvilmount." + assignment.m_name +
                    "; known: rank, max_staleness, deadline, request_id, session_token");
}

request_class classify_request(std::span<const rule_spec> rules, const request_origin& origin,
                               const script_traits& script, const session_overrides& overrides) {
    request_class result_class;
    int most_urgent_allowed_rank = most_urgent_rank;
    const auto rule = std::find_if(rules.begin(), rules.end(),
                                   [&](const rule_spec& each) { return matches(each, origin, script); });
    if (rule != rules.end()) {
        result_class = rule->m_class;
        most_urgent_allowed_rank = rule->m_class.m_rank;
    }
    if (overrides.m_rank) {
        result_class.m_rank = std::max(*overrides.m_rank, most_urgent_allowed_rank);
    }
    if (overrides.m_max_staleness) {
        result_class.m_max_staleness = overrides.m_max_staleness;
    }
    if (overrides.m_deadline) {
        result_class.m_deadline = *overrides.m_deadline;
    }
    return result_class;
}

}
