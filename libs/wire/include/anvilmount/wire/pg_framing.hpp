/// \file pg_framing.hpp
/// Splits byte streams of the PostgreSQL v3 protocol into messages. No library offers the server side of
/// this protocol, so the framing is implemented here. It handles types and lengths only; pg_messages.hpp
/// reads and writes message bodies.
/// Source: PostgreSQL documentation, "Frontend/Backend Protocol".
#pragma once

#include "anvilmount/base/failure.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace anvilmount {

/// Type byte and length.
inline constexpr std::size_t pg_header_size = 5;
/// The limit of PostgreSQL itself.
inline constexpr std::size_t max_startup_packet_size = 10000;
inline constexpr std::size_t max_frontend_message_size = std::size_t{16} * 1024 * 1024;
/// Of a message from an upstream that is not a DataRow.
inline constexpr std::size_t max_buffered_reply_size = std::size_t{1024} * 1024;

/// A view of one message in a buffer.
struct pg_message {
    char m_type{0};
    std::string_view m_body;      ///< Without the type byte and the length.
    std::string_view m_raw_bytes; ///< Complete message as received, header included.
};

/// Buffers received bytes and returns the complete messages in them.
class pg_message_buffer {
public:
    explicit pg_message_buffer(std::size_t max_message_size) : m_max_message_size(max_message_size) {}

    void append(std::string_view bytes) { m_bytes.append(bytes); }

    /// Returns the next complete message, or nothing when more bytes are needed. The returned views stay
    /// valid until the next call of any member.
    /// Errors: protocol_violation (1001), message_too_large (1002).
    [[nodiscard]] result<std::optional<pg_message>> next();

    /// Returns the body of the next packet without a type byte: a startup packet or a cancel, SSL or GSS
    /// request, as the first on a connection. Errors: protocol_violation (1001).
    [[nodiscard]] result<std::optional<std::string_view>> next_startup();

    /// Frees the memory of the buffer when it is empty.
    void release_memory();

    /// Number of bytes that are buffered and not yet returned.
    [[nodiscard]] std::size_t size() const { return m_bytes.size() - m_consumed; }

private:
    void discard_consumed();

    std::string m_bytes;
    std::size_t m_consumed{0}; ///< Bytes of m_bytes already returned.
    std::size_t m_max_message_size;
};

/// Calls `each` for every complete message in `bytes` and ignores an incomplete one at the end.
/// Errors: protocol_violation (1001), message_too_large (1002).
[[nodiscard]] result<void> for_each_message(std::string_view bytes,
                                            const std::function<void(const pg_message&)>& each);

/// Callbacks of reply_splitter.
struct reply_sink {
    /// A complete message of any type but DataRow.
    std::function<void(const pg_message&)> m_on_message;
    /// A DataRow begins. Its bytes, header included, follow through m_on_row_bytes.
    std::function<void()> m_on_row;
    std::function<void(std::string_view bytes)> m_on_row_bytes;
};

/// Splits a backend byte stream into messages. Rows are passed on in pieces as they arrive, so that no row
/// is ever buffered whole; other messages may have up to max_buffered_reply_size bytes.
class reply_splitter {
public:
    /// Errors: upstream_protocol_violation (1308).
    [[nodiscard]] result<void> feed(std::string_view bytes, const reply_sink& sink);

private:
    std::string m_partial;          ///< Received part of an incomplete message.
    std::size_t m_row_remaining{0}; ///< Bytes of the current DataRow not yet received.
};

}
