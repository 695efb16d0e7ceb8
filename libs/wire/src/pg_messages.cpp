/// \file pg_messages.cpp
/// Implements the PostgreSQL v3 message bodies. Integers are in network byte order.
#include "anvilmount/wire/pg_messages.hpp"

#include <arpa/inet.h>

#include <cstring>

namespace anvilmount {
namespace {

template <class Native>
void append_raw(std::string& out, Native value) {
    out.append(reinterpret_cast<const char*>(&value), sizeof value);
}

template <class Native>
Native read_raw(std::string_view bytes) {
    Native value{};
    std::memcpy(&value, bytes.data(), sizeof value);
    return value;
}

void write_length(std::string& out, std::size_t length_offset) {
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(out.size() - length_offset));
    std::memcpy(out.data() + length_offset, &length, sizeof length);
}

}

std::string_view pg_body_reader::bytes(std::size_t count) {
    if (count > m_remaining.size()) {
        m_ok = false;
        m_remaining = {};
        return {};
    }
    const std::string_view taken = m_remaining.substr(0, count);
    m_remaining.remove_prefix(count);
    return taken;
}

std::string_view pg_body_reader::text() {
    const std::size_t end = m_remaining.find('\0');
    if (end == std::string_view::npos) {
        m_ok = false;
        m_remaining = {};
        return {};
    }
    const std::string_view taken = bytes(end);
    m_remaining.remove_prefix(1);
    return taken;
}

std::int16_t pg_body_reader::int16() {
    const std::string_view raw = bytes(sizeof(std::int16_t));
    return raw.empty() ? std::int16_t{0} : static_cast<std::int16_t>(ntohs(read_raw<std::uint16_t>(raw)));
}

std::int32_t pg_body_reader::int32() {
    const std::string_view raw = bytes(sizeof(std::int32_t));
    return raw.empty() ? 0 : static_cast<std::int32_t>(ntohl(read_raw<std::uint32_t>(raw)));
}

char pg_body_reader::byte() {
    const std::string_view raw = bytes(1);
    return raw.empty() ? '\0' : raw[0];
}

pg_message_writer::pg_message_writer(std::string& out, char type)
    : m_out(out), m_length_offset(out.size() + 1) {
    m_out += type;
    append_raw<std::uint32_t>(m_out, 0);
}

pg_message_writer::~pg_message_writer() {
    write_length(m_out, m_length_offset);
}

pg_message_writer& pg_message_writer::text(std::string_view value) {
    m_out.append(value);
    m_out += '\0';
    return *this;
}

pg_message_writer& pg_message_writer::int16(int value) {
    append_raw(m_out, htons(static_cast<std::uint16_t>(value)));
    return *this;
}

pg_message_writer& pg_message_writer::int32(std::int64_t value) {
    append_raw(m_out, htonl(static_cast<std::uint32_t>(value)));
    return *this;
}

pg_message_writer& pg_message_writer::bytes(std::string_view value) {
    m_out.append(value);
    return *this;
}

pg_message_writer& pg_message_writer::byte(char value) {
    m_out += value;
    return *this;
}

result<startup_parameters> parse_startup_parameters(std::string_view body) {
    pg_body_reader reader(body);
    startup_parameters parameters;
    while (!reader.remaining().empty() && reader.remaining()[0] != '\0') {
        const std::string name(reader.text());
        parameters[name] = std::string(reader.text());
    }
    if (!reader.ok()) {
        return fail(result_code::protocol_violation, "the startup packet is cut off");
    }
    return parameters;
}

void append_startup(std::string& out, const startup_parameters& parameters) {
    const std::size_t length_offset = out.size();
    append_raw<std::uint32_t>(out, 0);
    append_raw(out, htonl(pg_protocol_3));
    for (const auto& [name, value] : parameters) {
        out.append(name.c_str(), name.size() + 1);
        out.append(value.c_str(), value.size() + 1);
    }
    out += '\0';
    write_length(out, length_offset);
}

void append_cancel_request(std::string& out, const backend_key& key) {
    constexpr std::uint32_t packet_size = 16;
    append_raw(out, htonl(packet_size));
    append_raw(out, htonl(pg_cancel_request));
    append_raw(out, htonl(key.m_process_id));
    append_raw(out, htonl(key.m_secret));
}

void append_authentication_ok(std::string& out) {
    pg_message_writer(out, 'R').int32(0);
}

void append_backend_key_data(std::string& out, const backend_key& key) {
    pg_message_writer(out, 'K').int32(key.m_process_id).int32(key.m_secret);
}

void append_parameter_status(std::string& out, std::string_view name, std::string_view value) {
    pg_message_writer(out, 'S').text(name).text(value);
}

void append_ready_for_query(std::string& out, char transaction_status) {
    pg_message_writer(out, 'Z').byte(transaction_status);
}

void append_command_complete(std::string& out, std::string_view tag) {
    pg_message_writer(out, 'C').text(tag);
}

void append_empty_message(std::string& out, char type) {
    const pg_message_writer message(out, type);
}

void append_row_description(std::string& out, std::span<const pg_column> columns) {
    pg_message_writer message(out, 'T');
    message.int16(static_cast<int>(columns.size()));
    for (const pg_column& column : columns) {
        constexpr int variable_size = -1;
        message.text(column.m_name)
            .int32(0)
            .int16(0)
            .int32(column.m_type)
            .int16(variable_size)
            .int32(-1)
            .int16(0);
    }
}

void append_data_row(std::string& out, std::span<const std::optional<std::string>> values) {
    pg_message_writer message(out, 'D');
    message.int16(static_cast<int>(values.size()));
    for (const std::optional<std::string>& value : values) {
        if (!value) {
            message.int32(-1);
            continue;
        }
        message.int32(static_cast<std::int64_t>(value->size())).bytes(*value);
    }
}

void append_error_response(std::string& out, const pg_error& error) {
    const std::string_view severity = error.m_severity == pg_severity::fatal ? "FATAL" : "ERROR";
    pg_message_writer message(out, 'E');
    message.byte('S').text(severity).byte('V').text(severity);
    message.byte('C').text(error.m_sqlstate).byte('M').text(error.m_message);
    if (!error.m_hint.empty()) {
        message.byte('H').text(error.m_hint);
    }
    message.byte('\0');
}

void append_failure(std::string& out, const failure& what, pg_severity severity) {
    const result_traits& traits = traits_of(what.m_code);
    std::string text = std::to_string(number_of(what.m_code)) + " " + std::string(traits.m_name);
    text += traits.m_outcome == outcome::not_run ? " (not run): " : ": ";
    append_error_response(out, {.m_severity = severity,
                                .m_sqlstate = std::string(traits.m_sqlstate),
                                .m_message = text + what.m_message});
}

pg_error parse_error_response(std::string_view body) {
    pg_error error;
    pg_body_reader reader(body);
    while (reader.ok()) {
        const char field = reader.byte();
        if (field == '\0') {
            break;
        }
        const std::string_view value = reader.text();
        if (field == 'C') {
            error.m_sqlstate = value;
        } else if (field == 'M') {
            error.m_message = value;
        } else if (field == 'S' && value == "FATAL") {
            error.m_severity = pg_severity::fatal;
        }
    }
    return error;
}

void append_query(std::string& out, std::string_view sql) {
    pg_message_writer(out, 'Q').text(sql);
}

}
