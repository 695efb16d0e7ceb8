/// \file store_requests.hpp
/// Requests to the metadata store that one instance relays for another, and their encoding between
/// the two instances.
#pragma once

#include "anvilmount/gateway/ports.hpp"

#include <optional>
#include <string>
#include <variant>

namespace anvilmount::gateway {

/// Reads a snapshot of a table.
struct read_request {
    std::string m_table{};
};

/// Waits for changes of a table after a version.
struct follow_request {
    std::string m_table{};
    std::uint64_t m_after_version{0};
    milliseconds m_timeout{0};
};

using store_request = std::variant<read_request, follow_request, store_change>;

/// Returns the request as the bytes of a peer::store_question message.
[[nodiscard]] std::string encode_request(const store_request& request);
/// Returns nothing when the bytes are not a request of a known kind.
[[nodiscard]] std::optional<store_request> decode_request(const std::string& bytes);

/// Returns the answer as the bytes of a peer::store_reply message.
[[nodiscard]] std::string encode_reply(const store_answer& reply);
/// Returns nothing when the bytes are not a reply.
[[nodiscard]] std::optional<store_answer> decode_reply(const std::string& bytes);

}
