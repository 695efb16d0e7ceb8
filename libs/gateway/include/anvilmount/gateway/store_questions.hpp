/// \file store_questions.hpp
/// Questions that one instance puts to the metadata store for another, and how
/// they travel between the two.
#pragma once

#include "anvilmount/gateway/ports.hpp"

#include <optional>
#include <string>
#include <variant>

namespace anvilmount::gateway {

struct read_question {
    std::string m_table{};
};

struct follow_question {
    std::string m_table{};
    std::uint64_t m_after{0};
    milliseconds m_wait{0};
};

using store_question = std::variant<read_question, follow_question, store_change>;

[[nodiscard]] std::string encode_question(const store_question& question);
/// Returns nothing when the bytes are no question of a known kind.
[[nodiscard]] std::optional<store_question> decode_question(const std::string& bytes);

[[nodiscard]] std::string encode_reply(const store_answer& reply);
/// Returns nothing when the bytes are no reply.
[[nodiscard]] std::optional<store_answer> decode_reply(const std::string& bytes);

}
