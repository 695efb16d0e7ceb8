/// \file reply_sequence.hpp
/// Matches the backend messages of one upstream connection (PostgreSQL protocol)
/// with the frontend messages that requested them. The proxy adds Parse messages
/// of its own on a shared connection and omits Parse and Close messages that are
/// not needed there; callers must not notice either. For each frontend message
/// the sequence keeps which reply completes it and whether the caller sees that
/// reply, and it tells which replies the proxy must supply itself.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace anvilmount {

/// Whether the caller sees the reply to a frontend message.
enum class reply_visibility {
    shown,    ///< The upstream's reply is forwarded to the caller.
    hidden,   ///< The proxy added the message; its reply is dropped.
    supplied, ///< The message is not sent upstream; the proxy supplies the reply.
};

/// What to do with one backend message.
enum class reply_action {
    forward,
    drop,
    violation, ///< No pending message has this reply: the connection is out of sync.
};

class reply_sequence {
public:
    /// Appends a frontend message to the pending ones; one with reply_visibility::supplied
    /// is not sent to the upstream. `type` is the frontend message type: Q, P, B,
    /// D, E, C, S. Other types have no reply and are ignored.
    void expect(char type, reply_visibility visibility);

    /// Returns what to do with a backend message of this type. Call supplied_replies()
    /// before the first backend message and after each.
    [[nodiscard]] reply_action on_message(char type);

    /// Returns the types of the replies that the proxy must send to the caller now:
    /// '1' (ParseComplete) or '3' (CloseComplete).
    [[nodiscard]] std::string supplied_replies();

    /// True when every frontend message has its reply.
    [[nodiscard]] bool is_complete() const { return m_expected.empty(); }

    /// True from an error until the reply to the next Sync.
    [[nodiscard]] bool is_skipping() const { return m_skipping; }

private:
    /// A frontend message whose reply is not complete.
    struct expectation {
        char m_type;
        reply_visibility m_visibility;
    };

    /// True when backend message `reply` completes the reply to frontend message `request`.
    [[nodiscard]] bool completes(char request, char reply) const;
    /// Drops the expected replies up to the next Sync, as the upstream does after an error.
    void skip_to_sync();

    std::deque<expectation> m_expected;
    bool m_skipping{false};
};

}
