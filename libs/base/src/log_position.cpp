/// \file log_position.cpp
/// Parses and formats log positions.
#include "anvilmount/base/log_position.hpp"

#include <charconv>

namespace anvilmount {
namespace {

bool parse_number(std::string_view text, std::uint64_t& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc{} && end == text.data() + text.size();
}

}

std::string to_string(const log_position& position) {
    return std::to_string(position.m_term) + ":" + std::to_string(position.m_offset);
}

result<log_position> parse_log_position(std::string_view text) {
    const std::size_t colon = text.find(':');
    log_position position;
    if (colon == std::string_view::npos || !parse_number(text.substr(0, colon), position.m_term) ||
        !parse_number(text.substr(colon + 1), position.m_offset)) {
        return fail(result_code::bad_session_token,
                    "'" + std::string(text) + "' is not a log position; expected TERM:OFFSET");
    }
    return position;
}

}
