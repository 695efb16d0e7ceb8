/// \file store_requests.hpp
/// Questions that one instance puts to the metadata store for another, and how
/// they travel between the two.
#pragma once

#include "anvilmount/gateway/ports.hpp"

#include <optional>
#include <string>
#include <variant>

namespace anvilmount::gateway {

struct read_request {
    std::string m_table{};
};

struct follow_request {
    std::string m_table{};
    std::uint64_t m_after_version{0};
    milliseconds m_timeout{0};
};

using store_request = std::variant<read_request, follow_request, store_change>;

[[nodiscard]] std::string encode_request(const store_request& question);
/// Returns nothing when the bytes are no question of a known kind.
[[nodiscard]] std::optional<store_request> decode_request(const std::string& bytes);

[[nodiscard]] std::string encode_reply(const store_answer& reply);
/// Returns nothing when the bytes are no reply.
[[nodiscard]] std::optional<store_answer> decode_reply(const std::string& bytes);

}
