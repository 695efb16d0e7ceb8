/// \file session_token.cpp
/// Implements the token's text form and its monotonic position.
#include "anvilmount/decisions/session_token.hpp"

namespace anvilmount {

bool session_token::advance(const log_position& seen) {
    if (m_position && *m_position >= seen) {
        return false;
    }
    m_position = seen;
    return true;
}

result<void> session_token::adopt(std::string_view text, const group_name& group) {
    const std::size_t slash = text.rfind('/');
    if (slash == std::string_view::npos || text.substr(0, slash) != group.m_text) {
        return fail(result_code::bad_session_token,
                    "'" + std::string(text) + "' is not a session token of group " + group.m_text +
                        "; expected " + group.m_text + "/TERM:OFFSET as an answer gave it");
    }
    BOOST_LEAF_AUTO(position, parse_log_position(text.substr(slash + 1)));
    advance(position);
    return {};
}

std::string session_token::text(const group_name& group) const {
    return m_position ? group.m_text + "/" + to_string(*m_position) : std::string();
}

}
