/// \file drain_window.cpp
/// Implements the window from the earliest moment of the report.
#include "anvilmount/decisions/drain_window.hpp"

#include <algorithm>

namespace anvilmount {
namespace {

/// From sending a statement until it reaches the upstream.
constexpr milliseconds path_time{300};

}

drain_report next_report(const std::optional<drain_report>& before, bool is_leaving,
                         steady_time known_until) {
    if (!is_leaving) {
        return {};
    }
    if (before && before->m_is_leaving) {
        return *before;
    }
    return {.m_is_leaving = true, .m_earliest = before ? known_until : steady_time{}};
}

bool accepts_new_work(const drain_report& report, milliseconds limit, steady_time now) {
    return !report.m_is_leaving || limit == milliseconds{0} ||
           now < report.m_earliest + std::max(limit - path_time, milliseconds{0});
}

}
