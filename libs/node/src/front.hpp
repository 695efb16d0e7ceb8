/// \file front.hpp
/// The callers of one shard: accepts their connections, owns their sessions, and drains
/// the sessions when the instance leaves.
#pragma once

#include "caller_session.hpp"

#include "anvilmount/wire/tcp_listener.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

namespace anvilmount {

/// All functions are called from the shard's thread.
class front {
public:
    explicit front(front_context context) : m_context(std::move(context)) {}

    /// Errors: listen_failed (1603).
    [[nodiscard]] result<void> listen(const endpoint& where);

    /// Stops accepting callers and ends each session once it has nothing in progress.
    void leave();

    /// Ends the sessions that are left, with an error for what is in progress.
    void end_unfinished();

    [[nodiscard]] std::size_t caller_count() const { return m_sessions.size(); }
    [[nodiscard]] std::size_t busy_caller_count() const;
    [[nodiscard]] const endpoint& address() const { return m_listener->address(); }

private:
    void accept(int fd);
    [[nodiscard]] std::vector<std::shared_ptr<caller_session>> sessions() const;

    front_context m_context;
    std::unique_ptr<tcp_listener> m_listener;
    std::unordered_map<caller_session*, std::shared_ptr<caller_session>> m_sessions;
    bool m_leaving{false};
};

}
