/// \file pg_boundary.hpp
/// Tracks message boundaries in a stream of PostgreSQL backend messages without buffering it. The proxy
/// uses this to insert an ErrorResponse of its own, which is valid only between two messages.
#pragma once

#include <cstddef>
#include <string_view>

namespace anvilmount {

/// Boundary tracker of one stream.
class pg_boundary {
public:
    /// Advances over the next bytes of the stream.
    void feed(std::string_view bytes);
    [[nodiscard]] bool is_between_messages() const { return m_header_bytes == 0 && m_remaining == 0; }

private:
    std::size_t m_header_bytes{0};   ///< Bytes received of an incomplete header.
    std::size_t m_message_length{0}; ///< Length field, as far as received.
    std::size_t m_remaining{0};      ///< Body bytes not yet received.
};

}
