/// \file pg_framing.cpp
/// Implements the message buffer and the reply splitter on the type byte and the length field.
#include "anvilmount/wire/pg_framing.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>

namespace anvilmount {
namespace {

constexpr std::size_t length_size = 4;
constexpr char data_row = 'D';

std::uint32_t read_length(std::string_view bytes) {
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data(), sizeof length);
    return ntohl(length);
}

/// A type byte that is neither a letter nor a digit means that the stream is out of sync.
bool is_valid_type(char type) {
    return (type >= 'A' && type <= 'Z') || (type >= 'a' && type <= 'z') || (type >= '0' && type <= '9');
}

}

void pg_message_buffer::discard_consumed() {
    if (m_consumed > 0) {
        m_bytes.erase(0, m_consumed);
        m_consumed = 0;
    }
}

void pg_message_buffer::release_memory() {
    discard_consumed();
    if (m_bytes.empty()) {
        m_bytes = std::string();
    }
}

result<std::optional<pg_message>> pg_message_buffer::next() {
    std::string_view bytes = std::string_view(m_bytes).substr(m_consumed);
    if (bytes.size() < pg_header_size) {
        discard_consumed();
        return std::optional<pg_message>{};
    }
    const std::uint32_t length = read_length(bytes.substr(1));
    if (!is_valid_type(bytes[0]) || length < length_size) {
        return fail(result_code::protocol_violation, "a message has an impossible type or length");
    }
    if (length > m_max_message_size) {
        return fail(result_code::message_too_large, "a message of " + std::to_string(length) +
                                                        " bytes is larger than " +
                                                        std::to_string(m_max_message_size));
    }
    const std::size_t message_size = length + 1;
    if (bytes.size() < message_size) {
        discard_consumed();
        return std::optional<pg_message>{};
    }
    m_consumed += message_size;
    return std::optional<pg_message>{
        pg_message{.m_type = bytes[0],
                   .m_body = bytes.substr(pg_header_size, message_size - pg_header_size),
                   .m_raw_bytes = bytes.substr(0, message_size)}};
}

result<std::optional<std::string_view>> pg_message_buffer::next_startup() {
    const std::string_view bytes = std::string_view(m_bytes).substr(m_consumed);
    if (bytes.size() < length_size) {
        return std::optional<std::string_view>{};
    }
    const std::uint32_t length = read_length(bytes);
    if (length < 2 * length_size || length > max_startup_packet_size) {
        return fail(result_code::protocol_violation, "the startup packet has an impossible length");
    }
    if (bytes.size() < length) {
        return std::optional<std::string_view>{};
    }
    m_consumed += length;
    return std::optional<std::string_view>{bytes.substr(length_size, length - length_size)};
}

result<void> for_each_message(std::string_view bytes, const std::function<void(const pg_message&)>& each) {
    pg_message_buffer messages(max_frontend_message_size);
    messages.append(bytes);
    while (true) {
        BOOST_LEAF_AUTO(message, messages.next());
        if (!message) {
            return {};
        }
        each(*message);
    }
}

result<void> reply_splitter::feed(std::string_view bytes, const reply_sink& sink) {
    while (!bytes.empty()) {
        if (m_row_remaining > 0) {
            const std::size_t part = std::min(m_row_remaining, bytes.size());
            sink.m_on_row_bytes(bytes.substr(0, part));
            m_row_remaining -= part;
            bytes.remove_prefix(part);
            continue;
        }
        if (m_partial.size() < pg_header_size) {
            const std::size_t part = std::min(pg_header_size - m_partial.size(), bytes.size());
            m_partial.append(bytes.substr(0, part));
            bytes.remove_prefix(part);
            if (m_partial.size() < pg_header_size) {
                return {};
            }
        }
        const std::uint32_t length = read_length(std::string_view(m_partial).substr(1));
        if (!is_valid_type(m_partial[0]) || length < length_size) {
            return fail(result_code::upstream_protocol_violation, "an upstream sent an impossible message");
        }
        if (m_partial[0] == data_row) {
            m_row_remaining = length - length_size;
            sink.m_on_row();
            sink.m_on_row_bytes(m_partial);
            m_partial.clear();
            continue;
        }
        if (length > max_buffered_reply_size) {
            return fail(result_code::upstream_protocol_violation, "an upstream sent a message of " +
                                                                      std::to_string(length) +
                                                                      " bytes that is no row");
        }
        const std::size_t message_size = length + 1;
        const std::size_t part = std::min(message_size - m_partial.size(), bytes.size());
        m_partial.append(bytes.substr(0, part));
        bytes.remove_prefix(part);
        if (m_partial.size() < message_size) {
            return {};
        }
        const std::string message = std::move(m_partial);
        m_partial.clear();
        const std::string_view view = message;
        sink.m_on_message({.m_type = view[0], .m_body = view.substr(pg_header_size), .m_raw_bytes = view});
    }
    return {};
}

}
