/// \file reply_sequence.cpp
#include "anvilmount/decisions/reply_sequence.hpp"

namespace anvilmount {
namespace {

constexpr char ready_for_query = 'Z';
constexpr char error_response = 'E';

/// Messages that an upstream may send at any time.
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

bool reply_sequence::completes(char asked, char answer) const {
    switch (asked) {
    case 'Q':
    case 'S':
        return answer == ready_for_query;
    case 'P':
        return answer == '1';
    case 'B':
        return answer == '2';
    case 'C':
        return answer == '3';
    case 'D':
        return answer == 'T' || answer == 'n';
    case 'E':
        return answer == 'C' || answer == 'I' || answer == 's';
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
    const expectation asked = m_expected.front();
    const reply_action shown =
        asked.m_visibility == reply_visibility::hidden ? reply_action::drop : reply_action::forward;
    if (type == error_response) {
        // In a simple query the answer goes on to ReadyForQuery; after any other message all is skipped to
        // Sync.
        if (asked.m_type != 'Q') {
            skip_to_sync();
            return reply_action::forward;
        }
        return shown;
    }
    if (completes(asked.m_type, type)) {
        m_expected.pop_front();
        m_skipping = m_skipping && type != ready_for_query;
        return shown;
    }
    const bool rows =
        type == 'D' || type == 'T' || type == 't' || type == 'C' || type == 'I' || type == 'n';
    const bool inside = (asked.m_type == 'Q' && rows) || (asked.m_type == 'E' && type == 'D') ||
                        (asked.m_type == 'D' && type == 't');
    return inside ? shown : reply_action::violation;
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
