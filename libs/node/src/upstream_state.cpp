/// \file upstream_state.cpp
/// Builds the state request and parses its reply. Lists within the row are JSON texts.
#include "upstream_state.hpp"

#include "anvilmount/wire/pg_framing.hpp"
#include "anvilmount/wire/pg_messages.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace anvilmount {
namespace {

using nlohmann::json;

constexpr std::string_view statement_name = "anvilmount_state";
constexpr std::string_view statement_text = "SELECT * FROM group_state()";

/// Columns by position. Later versions of the contract only append columns.
enum column : std::size_t {
    role,
    term,
    position,
    following,
    stream,
    leaving,
    followers,
    history,
    column_count
};

std::uint64_t parse_number(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::vector<std::string> parse_row(std::string_view row) {
    pg_body_reader reader(row);
    const int count = reader.int16();
    std::vector<std::string> values;
    for (int index = 0; index < count && reader.ok(); ++index) {
        const std::int32_t size = reader.int32();
        values.emplace_back(reader.bytes(size > 0 ? static_cast<std::size_t>(size) : 0));
    }
    return reader.ok() ? values : std::vector<std::string>{};
}

std::vector<std::string> parse_only_row(std::string_view reply) {
    std::vector<std::string> values;
    const auto on_message = [&](const pg_message& message) {
        if (message.m_type == 'D') {
            values = parse_row(message.m_body);
        }
    };
    const auto error = failure_of([&] { return for_each_message(reply, on_message); });
    return error ? std::vector<std::string>{} : values;
}

log_position parse_position(const std::string& text) {
    const auto parsed = value_or_failure([&] { return parse_log_position(text); });
    const auto* valid = std::get_if<0>(&parsed);
    return valid != nullptr ? *valid : log_position{};
}

std::vector<follower_report> parse_followers(const std::string& text) {
    std::vector<follower_report> reports;
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return reports;
    }
    for (const auto& [name, pair] : parsed.items()) {
        const bool is_valid =
            pair.is_array() && pair.size() == 2 && pair[0].is_string() && pair[1].is_number_unsigned();
        if (is_valid) {
            reports.push_back({.m_follower = {name},
                               .m_received = parse_position(pair[0].get<std::string>()),
                               .m_log_requests = pair[1].get<std::uint64_t>()});
        }
    }
    return reports;
}

std::vector<term_start> parse_history(const std::string& text) {
    std::vector<term_start> starts;
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_array()) {
        return starts;
    }
    for (const json& pair : parsed) {
        const bool is_valid = pair.is_array() && pair.size() == 2 && pair[0].is_number_unsigned() &&
                              pair[1].is_number_unsigned();
        if (is_valid) {
            starts.push_back(
                {.m_term = pair[0].get<std::uint64_t>(), .m_first_offset = pair[1].get<std::uint64_t>()});
        }
    }
    return starts;
}

}

std::string state_request() {
    std::string messages;
    pg_message_writer(messages, 'P').text(statement_name).text(statement_text).int16(0);
    pg_message_writer(messages, 'B').text("").text(statement_name).int16(0).int16(0).int16(0);
    pg_message_writer(messages, 'E').text("").int32(0);
    append_empty_message(messages, 'S');
    return messages;
}

std::optional<upstream_state> parse_upstream_state(std::string_view reply) {
    const std::vector<std::string> values = parse_only_row(reply);
    if (values.size() < column_count) {
        return std::nullopt;
    }
    upstream_state state{.m_is_primary = values[role] == "primary",
                         .m_term = parse_number(values[term]),
                         .m_position = parse_position(values[position]),
                         .m_following = {},
                         .m_stream_works = values[stream] == "works",
                         .m_leaving = values[leaving] == "true",
                         .m_followers = parse_followers(values[followers]),
                         .m_history = parse_history(values[history])};
    const auto parsed = value_or_failure([&] { return parse_endpoint(values[following]); });
    if (const auto* valid = std::get_if<0>(&parsed)) {
        state.m_following = *valid;
    }
    return state;
}

}
