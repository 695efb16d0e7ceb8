/// \file outstanding_statements.cpp
/// Keeps of each statement only what is needed to log it.
#include "anvilmount/gateway/outstanding_statements.hpp"

namespace anvilmount::gateway {
namespace {

constexpr std::size_t max_logged_id = 64;

}

std::string logged_id(const std::string& id) {
    return id.substr(0, max_logged_id);
}

void outstanding_statements::add(const statement& received, steady_time now) {
    m_statements.push_back(
        {.m_id = logged_id(received.m_id), .m_kind = received.m_kind, .m_received_at = now});
}

void outstanding_statements::remove_oldest() {
    if (!m_statements.empty()) {
        m_statements.pop_front();
    }
}

}
