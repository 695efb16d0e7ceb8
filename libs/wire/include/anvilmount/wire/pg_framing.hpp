/// \file pg_framing.hpp
/// Finds message boundaries in the PostgreSQL v3 protocol. No library offers
/// the server side of this protocol, so the framing is the project's own; it
/// knows lengths and types and leaves the meaning to others.
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

inline constexpr std::size_t pg_header_size = 5;
inline constexpr std::size_t max_startup_packet_size = 10000;
inline constexpr std::size_t max_frontend_message_size = std::size_t{16} * 1024 * 1024;
inline constexpr std::size_t max_buffered_reply_size = std::size_t{1024} * 1024;

struct pg_message {
    char m_type{0};
    std::string_view m_body;      ///< Without type and length.
    std::string_view m_raw_bytes; ///< As it was on the wire.
};

/// Bytes received but not yet understood, cut into whole messages.
class pg_message_buffer {
public:
    explicit pg_message_buffer(std::size_t max_message_size) : m_max_message_size(max_message_size) {}

    void append(std::string_view bytes) { m_bytes.append(bytes); }

    /// Returns the next whole message, or nothing when more bytes are needed.
    /// What is returned stays valid until the next call of any member.
    /// Errors: protocol_violation (1001), message_too_large (1002).
    [[nodiscard]] result<std::optional<pg_message>> next();

    /// Returns the body of the next untyped packet, as a connection starts with.
    /// Errors as next().
    [[nodiscard]] result<std::optional<std::string_view>> next_startup();

    /// Gives memory back when nothing is buffered.
    void release_memory();

    [[nodiscard]] std::size_t size() const { return m_bytes.size() - m_consumed; }

private:
    void discard_consumed();

    std::string m_bytes;
    std::size_t m_consumed{0}; ///< Bytes of m_bytes already returned.
    std::size_t m_max_message_size;
};

/// Calls `each` for every whole message in `bytes`; a part of one at the end is
/// left out. Errors: protocol_violation (1001), message_too_large (1002).
[[nodiscard]] result<void> for_each_message(std::string_view bytes,
                                            const std::function<void(const pg_message&)>& each);

/// Receives the parts of a backend byte stream.
struct reply_sink {
    /// A whole message of any type but DataRow.
    std::function<void(const pg_message&)> m_on_message;
    /// A DataRow begins; its bytes follow by m_on_row_bytes, header included.
    std::function<void()> m_on_row;
    std::function<void(std::string_view bytes)> m_on_row_bytes;
};

/// Cuts a backend byte stream, passing rows on in pieces as they come, so that
/// no row is ever held whole.
class reply_splitter {
public:
    /// Errors: upstream_protocol_violation (1308).
    [[nodiscard]] result<void> feed(std::string_view bytes, const reply_sink& sink);

private:
    std::string m_partial;          ///< Start of a message that has not come whole.
    std::size_t m_row_remaining{0}; ///< Bytes of the current DataRow still to come.
};

}
