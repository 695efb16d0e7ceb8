/// \file drain_window.cpp
/// Implements the window from the first report seen here.
#include "anvilmount/decisions/drain_window.hpp"

#include <algorithm>
#include <utility>

namespace anvilmount {
namespace {

/// From the report until it is known here and the last work sent because of it has arrived.
constexpr milliseconds news_delay{1000};

}

void drain_window::observe(bool is_leaving, steady_time now) {
    const bool began_unseen = !std::exchange(m_is_observed, true);
    if (!is_leaving || m_limit == milliseconds{0}) {
        m_closes_at.reset();
    } else if (!m_closes_at) {
        m_closes_at = began_unseen ? now : now + std::max(m_limit - news_delay, milliseconds{0});
    }
}

}
