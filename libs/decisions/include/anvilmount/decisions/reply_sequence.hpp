/// \file reply_sequence.hpp
/// Matches what an upstream answers with the messages that asked for it. A
/// shared connection prepares statements of its own accord, and skips preparing
/// what it already has; the caller must see neither. The sequence knows, for
/// each message sent, which answer ends it and whether the caller should see
/// that answer, and it supplies answers that the upstream was never asked for.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace anvilmount {

/// Whether the caller sees the answer to a message.
enum class reply_visibility {
    shown,
    hidden,   ///< The proxy asked on its own account.
    supplied, ///< The upstream was not asked; the proxy answers.
};

/// What to do with one message from the upstream.
enum class reply_action {
    forward,
    drop,
    violation, ///< Nothing was asked that this can answer: the connection is not in step.
};

class reply_sequence {
public:
    /// Notes a message sent (or not sent, when supplied). `type` is the
    /// frontend message type: Q, P, B, D, E, C, S. Others ask for no answer.
    void expect(char type, reply_visibility visibility);

    /// Judges one backend message of this type. Call supplied_replies() before
    /// the first and after each.
    [[nodiscard]] reply_action on_message(char type);

    /// Returns the types ('1' or '3') of answers the proxy must supply now.
    [[nodiscard]] std::string supplied_replies();

    /// True when every message has been answered.
    [[nodiscard]] bool is_complete() const { return m_expected.empty(); }

    /// True from an error until the answer to the Sync behind it.
    [[nodiscard]] bool is_skipping() const { return m_skipping; }

private:
    struct expectation {
        char m_type;
        reply_visibility m_visibility;
    };

    [[nodiscard]] bool completes(char asked, char answer) const;
    void skip_to_sync();

    std::deque<expectation> m_expected;
    bool m_skipping{false}; ///< After an error, until the answer to Sync.
};

}
