/// \file token_bucket.cpp
/// Implements the refill, which is bounded by the tokens that were taken lately.
#include "anvilmount/decisions/token_bucket.hpp"

#include <algorithm>
#include <chrono>

namespace anvilmount {
namespace {

using seconds = std::chrono::duration<double>;

/// Sums of many small additions may fall short of a whole token by rounding.
constexpr double whole_token = 1 - 1e-6;

}

void token_bucket::refill(steady_time now) {
    while (!m_recent.empty() && now >= m_recent.front() + m_max_delay) {
        m_recent.pop_front();
    }
    if (now > m_refilled_at) {
        m_level += m_rate * seconds(now - m_refilled_at).count();
        m_refilled_at = now;
    }
    const double unspent =
        m_capacity + m_rate * seconds(m_max_delay).count() - static_cast<double>(m_recent.size());
    m_level = std::max(0.0, std::min({m_level, m_capacity, unspent}));
}

void token_bucket::set_limits(double rate, double capacity, steady_time now) {
    refill(now);
    m_rate = rate;
    m_capacity = capacity;
    refill(now);
}

void token_bucket::empty(steady_time now) {
    refill(now);
    m_level = 0;
}

bool token_bucket::take(steady_time now) {
    refill(now);
    if (m_level < whole_token) {
        return false;
    }
    m_level = std::max(0.0, m_level - 1);
    m_recent.push_back(now);
    return true;
}

void token_bucket::give_back(steady_time taken_at, steady_time now) {
    refill(now);
    const auto taken = std::find(m_recent.begin(), m_recent.end(), taken_at);
    if (taken == m_recent.end()) {
        return;
    }
    m_recent.erase(taken);
    m_level += 1;
    refill(now);
}

steady_time token_bucket::next_token_at(steady_time now, milliseconds longest) const {
    if (m_level >= whole_token) {
        return now;
    }
    if (m_rate <= 0) {
        return now + longest;
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(seconds((1 - m_level) / m_rate));
    return now + std::min(wait + milliseconds{1}, longest);
}

double token_bucket::level(steady_time now) {
    refill(now);
    return m_level;
}

}
