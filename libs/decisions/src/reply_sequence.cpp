/// \file reply_sequence.cpp
/// Follows the message flow of the PostgreSQL simple and extended query protocols.
#include "anvilmount/decisions/reply_sequence.hpp"

namespace anvilmount {
namespace {

constexpr char ready_for_query = 'Z';
constexpr char error_response = 'E';

/// NoticeResponse, ParameterStatus and NotificationResponse, which an upstream may send at any time.
bool is_asynchronous(char type) {
    return type == 'N' || type == 'S' || type == 'A';
}

}

void reply_sequence::expect(char type, reply_visibility visibility) {
    if (m_skipping && type != 'S') {
        return;
    }
    switch (type) {
    case 'Q':
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
    case 'S':
        m_expected.push_back({type, visibility});
        break;
    default:
        break;
    }
}

bool reply_sequence::completes(char request, char reply) const {
    switch (request) {
    case 'Q':
    case 'S':
        return reply == ready_for_query;
    case 'P':
        return reply == '1'; // ParseComplete
    case 'B':
        return reply == '2'; // BindComplete
    case 'C':
        return reply == '3'; // CloseComplete
    case 'D':
        return reply == 'T' || reply == 'n'; // RowDescription, NoData
    case 'E':
        // CommandComplete, EmptyQueryResponse, PortalSuspended
        return reply == 'C' || reply == 'I' || reply == 's';
    default:
        return false;
    }
}

void reply_sequence::skip_to_sync() {
    while (!m_expected.empty() && m_expected.front().m_type != 'S') {
        m_expected.pop_front();
    }
    m_skipping = true;
}

reply_action reply_sequence::on_message(char type) {
    if (is_asynchronous(type)) {
        return reply_action::forward;
    }
    if (m_expected.empty()) {
        return reply_action::violation;
    }
    const expectation request = m_expected.front();
    const reply_action action =
        request.m_visibility == reply_visibility::hidden ? reply_action::drop : reply_action::forward;
    if (type == error_response) {
        // A simple query still ends with ReadyForQuery. After an error in the extended protocol the
        // upstream skips all messages up to Sync.
        if (request.m_type != 'Q') {
            skip_to_sync();
            return reply_action::forward;
        }
        return action;
    }
    if (completes(request.m_type, type)) {
        m_expected.pop_front();
        m_skipping = m_skipping && type != ready_for_query;
        return action;
    }
    const bool is_result_message =
        type == 'D' || type == 'T' || type == 't' || type == 'C' || type == 'I' || type == 'n';
    const bool is_partial_reply = (request.m_type == 'Q' && is_result_message) ||
                                  (request.m_type == 'E' && type == 'D') ||
                                  (request.m_type == 'D' && type == 't');
    return is_partial_reply ? action : reply_action::violation;
}

std::string reply_sequence::supplied_replies() {
    std::string types;
    while (!m_expected.empty() && m_expected.front().m_visibility == reply_visibility::supplied) {
        types += m_expected.front().m_type == 'P' ? '1' : '3';
        m_expected.pop_front();
    }
    return types;
}

}
