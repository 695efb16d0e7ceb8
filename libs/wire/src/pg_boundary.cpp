/// \file pg_boundary.cpp
/// Reads headers byte by byte and skips message bodies.
#include "anvilmount/wire/pg_boundary.hpp"

#include "anvilmount/wire/pg_framing.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

constexpr std::size_t length_size = 4;
constexpr unsigned bits_per_byte = 8;

}

void pg_boundary::feed(std::string_view bytes) {
    while (!bytes.empty()) {
        if (m_remaining > 0) {
            const std::size_t part = std::min(m_remaining, bytes.size());
            m_remaining -= part;
            bytes.remove_prefix(part);
            continue;
        }
        if (m_header_bytes > 0) {
            m_message_length =
                (m_message_length << bits_per_byte) | static_cast<unsigned char>(bytes.front());
        }
        ++m_header_bytes;
        bytes.remove_prefix(1);
        if (m_header_bytes == pg_header_size) {
            m_remaining = std::max(m_message_length, length_size) - length_size;
            m_header_bytes = 0;
            m_message_length = 0;
        }
    }
}

}
