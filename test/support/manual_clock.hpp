/// \file manual_clock.hpp
/// A virtual clock for tests. It runs scheduled work in order of its due time, and
/// time passes only when a test calls run_for().
#pragma once

#include "anvilmount/gateway/ports.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace anvilmount::test {

/// Timer queue and time source in one; work due at the same time runs in the order of scheduling.
class manual_clock {
public:
    [[nodiscard]] gateway::clock_port port() {
        return {.m_now = [this] { return m_now; },
                .m_after = [this](milliseconds delay,
                                  std::function<void()> work) { after(delay, std::move(work)); }};
    }

    void after(milliseconds delay, std::function<void()> work) {
        m_work.emplace(std::pair{m_now + delay, m_next++}, std::move(work));
    }

    /// Advances the time by `time` and runs all work that becomes due.
    void run_for(milliseconds time) {
        const steady_time end = m_now + time;
        while (!m_work.empty() && m_work.begin()->first.first <= end) {
            auto next = m_work.extract(m_work.begin());
            m_now = std::max(m_now, next.key().first);
            next.mapped()();
        }
        m_now = end;
    }

    [[nodiscard]] steady_time now() const { return m_now; }

private:
    steady_time m_now{std::chrono::hours{1}};
    std::uint64_t m_next{0};
    std::map<std::pair<steady_time, std::uint64_t>, std::function<void()>> m_work;
};

}
