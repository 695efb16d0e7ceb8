/// \file frame_codec.hpp
/// Cuts a byte stream into protobuf messages, each behind four bytes of length.
#pragma once

#include "anvilmount/base/failure.hpp"

#include <google/protobuf/message_lite.h>

#include <optional>
#include <string>
#include <string_view>

namespace anvilmount {

inline constexpr std::size_t max_frame_size = std::size_t{17} * 1024 * 1024;

/// Appends `message` behind its length.
void append_frame(std::string& out, const google::protobuf::MessageLite& message);

class frame_buffer {
public:
    void append(std::string_view bytes) { m_bytes.append(bytes); }

    /// Reads the next whole frame into `message`; false when more bytes are
    /// needed. Errors: protocol_violation (1001), message_too_large (1002).
    [[nodiscard]] result<bool> next(google::protobuf::MessageLite& message);

private:
    std::string m_bytes;
    std::size_t m_consumed{0};
};

}
