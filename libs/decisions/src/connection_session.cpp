/// \file connection_session.cpp
/// Compares what a connection holds with what a statement needs.
#include "anvilmount/decisions/connection_session.hpp"

#include <algorithm>

namespace anvilmount {

bool connection_session::has_other_values(const std::map<std::string, std::string>& wanted) const {
    return std::any_of(m_values.begin(), m_values.end(),
                       [&](const auto& each) { return !wanted.contains(each.first); }) ||
           std::any_of(m_unknown.begin(), m_unknown.end(),
                       [&](const std::string& name) { return !wanted.contains(name); });
}

setup_distance connection_session::distance_to(const session_needs& needs) const {
    if (needs.m_values != nullptr && has_other_values(*needs.m_values)) {
        return setup_distance::reset;
    }
    const bool has_values = needs.m_values == nullptr || m_values == *needs.m_values;
    const bool is_prepared = needs.m_prepared == nullptr || m_prepared.contains(*needs.m_prepared);
    return has_values && is_prepared ? setup_distance::none : setup_distance::additions;
}

std::vector<setup_step> connection_session::steps_to(const session_needs& needs) const {
    std::vector<setup_step> steps;
    const bool needs_reset = distance_to(needs) == setup_distance::reset;
    if (needs_reset) {
        steps.push_back({.m_kind = setup_step::kind::reset});
    }
    if (needs.m_values != nullptr) {
        for (const auto& [name, value] : *needs.m_values) {
            const auto current = m_values.find(name);
            if (needs_reset || current == m_values.end() || current->second != value) {
                steps.push_back({.m_kind = setup_step::kind::set_value, .m_name = name, .m_value = value});
            }
        }
    }
    if (needs.m_prepared != nullptr && (needs_reset || !m_prepared.contains(*needs.m_prepared))) {
        steps.push_back({.m_kind = setup_step::kind::prepare, .m_name = *needs.m_prepared});
    }
    return steps;
}

void connection_session::record_sent(const setup_step& step) {
    switch (step.m_kind) {
    case setup_step::kind::reset:
        for (const auto& [name, value] : m_values) {
            m_unknown.insert(name);
        }
        m_values.clear();
        m_prepared.clear();
        break;
    case setup_step::kind::set_value:
        m_values.erase(step.m_name);
        m_unknown.insert(step.m_name);
        break;
    case setup_step::kind::prepare:
        m_prepared.erase(step.m_name);
        break;
    }
}

void connection_session::record_answered(const setup_step& step, bool succeeded) {
    switch (step.m_kind) {
    case setup_step::kind::reset:
        // Steps that were sent behind it are answered later, and say what they leave.
        if (succeeded) {
            m_unknown.clear();
        }
        break;
    case setup_step::kind::set_value:
        if (succeeded) {
            m_unknown.erase(step.m_name);
            m_values[step.m_name] = step.m_value;
        } else {
            m_unknown.insert(step.m_name);
        }
        break;
    case setup_step::kind::prepare:
        if (succeeded) {
            m_prepared.insert(step.m_name);
        }
        break;
    }
}

}
