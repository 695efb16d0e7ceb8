/// \file unlimited_callers.hpp
/// Limits of callers that no session of a test reaches.
#pragma once

#include "caller_limits.hpp"
#include "support/event_loop.hpp"

#include "anvilmount/observe/metrics.hpp"

#include <memory>
#include <vector>

namespace anvilmount::test {

/// They live as long as the program, since the event loop calls them.
inline std::shared_ptr<line_protocol::caller_limits> unlimited_callers(event_loop& loop) {
    static metrics counters;
    static std::vector<std::shared_ptr<line_protocol::caller_limits>> all;
    return all.emplace_back(std::make_shared<line_protocol::caller_limits>(
        loop.m_loop, line_protocol::caller_limit_options{}, counters));
}

}
