/// \file front.cpp
/// Implements the accepting and draining of callers.
#include "front.hpp"

#include <algorithm>

namespace anvilmount {

result<void> front::listen(const endpoint& where) {
    BOOST_LEAF_ASSIGN(
        m_listener, tcp_listener::listen(m_context.m_shard.loop(), where, [this](int fd) { accept(fd); }));
    return {};
}

void front::accept(int fd) {
    const auto session = std::make_shared<caller_session>(m_context, [this](caller_session* closed) {
        m_context.m_shard.loop().defer([this, closed] { m_sessions.erase(closed); });
    });
    if (m_sessions.size() >= m_context.m_options.m_max_callers) {
        session->refuse(
            {.m_code = result_code::too_many_callers, .m_message = "this instance has too many callers"});
    }
    m_sessions.emplace(session.get(), session);
    session->start(fd);
}

void front::leave() {
    m_leaving = true;
    m_listener->accept_waiting();
    m_listener.reset();
    for (const auto& session : sessions()) {
        session->leave();
    }
}

void front::end_unfinished() {
    for (const auto& session : sessions()) {
        session->end_unfinished();
    }
}

std::vector<std::shared_ptr<caller_session>> front::sessions() const {
    std::vector<std::shared_ptr<caller_session>> all;
    for (const auto& [key, session] : m_sessions) {
        all.push_back(session);
    }
    return all;
}

std::size_t front::busy_caller_count() const {
    return static_cast<std::size_t>(std::count_if(
        m_sessions.begin(), m_sessions.end(), [](const auto& each) { return !each.second->is_idle(); }));
}

}
