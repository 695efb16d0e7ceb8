/// \file store_questions.hpp
/// A store question is a request to the metadata store that one instance sends to another, which
/// relays it. Defines the questions and the encoding of questions and replies between the two
/// instances. An introduction takes the same way; the instance that gets it answers it itself.
#pragma once

#include "anvilmount/gateway/ports.hpp"

#include <optional>
#include <string>
#include <variant>

namespace anvilmount::gateway {

/// Reads a table, or its changes after a version.
struct read_question {
    std::string m_table{};
    store_version m_after_version{}; ///< Unset: the whole table is read.
    /// Directly, the answer comes from the copy that this instance shares with others. Not sent to
    /// relays, which do so for each read.
    bool m_shares_copy{false};
};

/// Waits for changes of a table after a version.
struct follow_question {
    std::string m_table{};
    store_version m_after_version{};
    milliseconds m_timeout{0};
};

/// Tells a witness that the sender has obtained a lease; see introductions.hpp. Answered with
/// store_status::done if the witness knows the sender from now on, and with conflict if the process that
/// is addressed has ended.
struct member_introduction {
    std::string m_to_incarnation{};
    std::string m_member{};  ///< The sender's row.
    store_version m_since{}; ///< At which the lease was obtained.
};

using store_question = std::variant<read_question, follow_question, store_change, member_introduction>;

/// Returns the question as the bytes of a peer::store_question message.
[[nodiscard]] std::string encode_question(const store_question& request);
/// Returns nothing when the bytes are not a question of a known kind.
[[nodiscard]] std::optional<store_question> decode_question(const std::string& bytes);

/// Returns the answer as the bytes of a peer::store_reply message.
[[nodiscard]] std::string encode_reply(const store_answer& reply);
/// Returns nothing when the bytes are not a reply.
[[nodiscard]] std::optional<store_answer> decode_reply(const std::string& bytes);

}
