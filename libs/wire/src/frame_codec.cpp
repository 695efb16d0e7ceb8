/// \file frame_codec.cpp
/// Encodes and decodes length-prefixed frames.
#include "anvilmount/wire/frame_codec.hpp"

#include <arpa/inet.h>

#include <cstdint>
#include <cstring>

namespace anvilmount {
namespace {

constexpr std::size_t length_size = sizeof(std::uint32_t);

}

void append_frame(std::string& out, const google::protobuf::MessageLite& message) {
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(message.ByteSizeLong()));
    out.append(reinterpret_cast<const char*>(&length), sizeof length);
    message.AppendToString(&out);
}

result<bool> frame_buffer::next(google::protobuf::MessageLite& message) {
    const std::string_view bytes = std::string_view(m_bytes).substr(m_consumed);
    std::uint32_t length = 0;
    if (bytes.size() >= length_size) {
        std::memcpy(&length, bytes.data(), sizeof length);
        length = ntohl(length);
        if (length > max_frame_size) {
            return fail(result_code::message_too_large,
                        "a peer sent a frame of " + std::to_string(length) + " bytes");
        }
    }
    if (bytes.size() < length_size + length || bytes.size() < length_size) {
        m_bytes.erase(0, m_consumed);
        m_consumed = 0;
        return false;
    }
    if (!message.ParseFromArray(bytes.data() + length_size, static_cast<int>(length))) {
        return fail(result_code::protocol_violation, "a peer sent a frame that cannot be read");
    }
    m_consumed += length_size + length;
    return true;
}

}
