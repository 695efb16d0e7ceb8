/// \file pg_messages.hpp
/// Reads and writes the PostgreSQL v3 messages that the proxy and the test stand-ins handle themselves.
/// All other messages pass through the proxy unchanged.
/// Source: PostgreSQL documentation, "Message Formats".
#pragma once

#include "anvilmount/base/failure.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmount {

/// Protocol version and request codes of packets without a type byte.
inline constexpr std::int32_t pg_protocol_3 = 196608;
inline constexpr std::int32_t pg_ssl_request = 80877103;
inline constexpr std::int32_t pg_gss_request = 80877104;
inline constexpr std::int32_t pg_cancel_request = 80877102;

/// Key that a CancelRequest must present (BackendKeyData).
struct backend_key {
    std::uint32_t m_process_id{0};
    std::uint32_t m_secret{0};
    auto operator<=>(const backend_key&) const = default;
};

/// Reads integers and strings from a message body, front to back. After the first read past the end, ok()
/// returns false and every read returns an empty or zero value.
class pg_body_reader {
public:
    explicit pg_body_reader(std::string_view body) : m_remaining(body) {}

    std::string_view text(); ///< Reads a null-terminated string.
    std::int16_t int16();
    std::int32_t int32();
    std::string_view bytes(std::size_t count);
    char byte();

    [[nodiscard]] bool ok() const { return m_ok; }
    [[nodiscard]] std::string_view remaining() const { return m_remaining; }

private:
    std::string_view m_remaining;
    bool m_ok{true};
};

/// Appends one message to `out`. The destructor fills in the length.
class pg_message_writer {
public:
    pg_message_writer(std::string& out, char type);
    ~pg_message_writer();
    pg_message_writer(const pg_message_writer&) = delete;
    pg_message_writer& operator=(const pg_message_writer&) = delete;

    pg_message_writer& text(std::string_view value); ///< Adds the terminating null byte.
    pg_message_writer& int16(int value);
    pg_message_writer& int32(std::int64_t value);
    pg_message_writer& bytes(std::string_view value);
    pg_message_writer& byte(char value);

private:
    std::string& m_out;
    std::size_t m_length_offset;
};

/// Parameters of a startup packet.
using startup_parameters = std::map<std::string, std::string, std::less<>>;

/// Parses the name and value pairs that follow the protocol number in a startup packet.
/// Errors: protocol_violation (1001).
[[nodiscard]] result<startup_parameters> parse_startup_parameters(std::string_view body);

/// Appends packets without a type byte.
void append_startup(std::string& out, const startup_parameters& parameters);
void append_cancel_request(std::string& out, const backend_key& key);

/// Appends messages to a caller, each named after its message in the protocol.
void append_authentication_ok(std::string& out);
void append_backend_key_data(std::string& out, const backend_key& key);
void append_parameter_status(std::string& out, std::string_view name, std::string_view value);
void append_ready_for_query(std::string& out, char transaction_status);
void append_command_complete(std::string& out, std::string_view tag);
/// A message of any type that has no body.
void append_empty_message(std::string& out, char type);

/// A result column.
struct pg_column {
    std::string m_name;
    std::int32_t m_type{25}; ///< Type OID; 25 is text.
};

void append_row_description(std::string& out, std::span<const pg_column> columns);
void append_data_row(std::string& out, std::span<const std::optional<std::string>> values);

enum class pg_severity { error, fatal };

/// Fields of an ErrorResponse that the proxy uses.
struct pg_error {
    pg_severity m_severity{pg_severity::error};
    std::string m_sqlstate;
    std::string m_message;
    std::string m_hint{};
};

void append_error_response(std::string& out, const pg_error& error);

/// Appends an ErrorResponse for `what`; the message starts with the number and the name of the result code.
void append_failure(std::string& out, const failure& what, pg_severity severity = pg_severity::error);

/// Parses an ErrorResponse. Fields that are missing stay empty.
[[nodiscard]] pg_error parse_error_response(std::string_view body);

/// Appends a message to an upstream.
void append_query(std::string& out, std::string_view sql);

}
