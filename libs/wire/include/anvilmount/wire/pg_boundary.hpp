/// \file pg_boundary.hpp
/// Follows a stream of backend messages and knows whether it stands between two
/// of them. Only there can an error message be put in.
#pragma once

#include <cstddef>
#include <string_view>

namespace anvilmount {

class pg_boundary {
public:
    void feed(std::string_view bytes);
    [[nodiscard]] bool is_between_messages() const { return m_header_bytes == 0 && m_remaining == 0; }

private:
    std::size_t m_header_bytes{0};   ///< Bytes seen of an unfinished header.
    std::size_t m_message_length{0}; ///< Gathered from the header.
    std::size_t m_remaining{0};      ///< Body bytes still to come.
};

}
