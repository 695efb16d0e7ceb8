/// \file frame_codec.hpp
/// Length-prefixed protobuf messages on a byte stream: each frame is a four-byte big-endian length and a
/// message of that length. Instances use it between each other.
#pragma once

#include "anvilmount/base/failure.hpp"

#include <google/protobuf/message_lite.h>

#include <optional>
#include <string>
#include <string_view>

namespace anvilmount {

/// One MiB above max_frontend_message_size: a frame carries a batch of that size and further fields.
inline constexpr std::size_t max_frame_size = std::size_t{17} * 1024 * 1024;

/// Appends a frame that holds `message` to `out`.
void append_frame(std::string& out, const google::protobuf::MessageLite& message);

/// Buffers received bytes and decodes complete frames.
class frame_buffer {
public:
    void append(std::string_view bytes) { m_bytes.append(bytes); }

    /// Decodes the next complete frame into `message`. Returns false when more bytes are needed.
    /// Errors: protocol_violation (1001), message_too_large (1002).
    [[nodiscard]] result<bool> next(google::protobuf::MessageLite& message);

private:
    std::string m_bytes;
    std::size_t m_consumed{0}; ///< Bytes of m_bytes already decoded.
};

}
