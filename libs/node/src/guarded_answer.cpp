/// \file guarded_answer.cpp
/// Parses and builds PostgreSQL protocol messages for request_guard.
#include "guarded_answer.hpp"

#include "anvilmount/wire/pg_framing.hpp"
#include "anvilmount/wire/pg_messages.hpp"

#include <functional>

namespace anvilmount {
namespace {

/// Calls `each` for every message in `bytes`, which have been parsed successfully before.
void for_each_checked_message(std::string_view bytes, const std::function<void(const pg_message&)>& each) {
    const auto broken = failure_of([&] { return for_each_message(bytes, each); });
    internal_check(!broken, "the messages were validated before");
}

std::string read_value(pg_body_reader& row) {
    const std::int32_t size = row.int32();
    return std::string(row.bytes(size > 0 ? static_cast<std::size_t>(size) : 0));
}

}

guard_answer read_guarded_answer(std::string_view answer, const std::string& error) {
    guard_answer read{.m_error = error};
    bool has_row = false;
    for_each_checked_message(answer, [&](const pg_message& message) {
        pg_body_reader body(message.m_body);
        if (message.m_type == 'D' && !has_row) {
            has_row = true;
            body.int16();
            read.m_digest = read_value(body);
            read.m_tag = read_value(body);
        } else if (message.m_type == 'C' && !has_row) {
            read.m_tag = std::string(body.text());
        }
    });
    return read;
}

std::string replayed_answer(std::string_view messages, std::string_view tag) {
    std::string out;
    for_each_checked_message(messages, [&](const pg_message& message) {
        switch (message.m_type) {
        case 'P':
            append_empty_message(out, '1');
            break;
        case 'B':
            append_empty_message(out, '2');
            break;
        case 'C':
            append_empty_message(out, '3');
            break;
        case 'D':
            if (!message.m_body.empty() && message.m_body[0] == 'S') {
                pg_message_writer(out, 't').int16(0);
            }
            append_empty_message(out, 'n');
            break;
        case 'Q':
        case 'E':
            append_command_complete(out, tag);
            break;
        default:
            break;
        }
    });
    return out;
}

}
