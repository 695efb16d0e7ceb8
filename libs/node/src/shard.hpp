/// \file shard.hpp
/// One thread of an instance with its event loop, metrics and random numbers.
/// Everything that a shard owns is touched from its thread only; other threads
/// reach it by post().
#pragma once

#include "anvilmount/observe/metrics.hpp"
#include "anvilmount/wire/reactor.hpp"

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <thread>

class QEventLoop;

namespace anvilmount {

class shard {
public:
    shard(std::size_t index, std::uint32_t seed);
    ~shard();
    shard(const shard&) = delete;
    shard& operator=(const shard&) = delete;

    /// Runs `work` in this shard's thread.
    void post(reactor::task work) { m_reactor->post(std::move(work)); }

    /// Runs `work` in this shard's thread and waits for its value. Never called
    /// from a shard's own thread.
    template <class Work>
    auto run_and_wait(Work work) {
        std::promise<decltype(work())> answer;
        auto future = answer.get_future();
        post([&] {
            if constexpr (std::is_void_v<decltype(work())>) {
                work();
                answer.set_value();
            } else {
                answer.set_value(work());
            }
        });
        return future.get();
    }

    [[nodiscard]] std::size_t index() const { return m_index; }
    [[nodiscard]] reactor& loop() { return *m_reactor; }
    [[nodiscard]] metrics& shard_metrics() { return m_metrics; }
    [[nodiscard]] std::uint32_t random() { return static_cast<std::uint32_t>(m_random()); }

private:
    void run(std::promise<void>& started);

    std::size_t m_index;
    std::mt19937 m_random;
    metrics m_metrics;
    reactor* m_reactor{nullptr};       ///< Lives on the thread's stack.
    QEventLoop* m_event_loop{nullptr}; ///< Likewise.
    std::thread m_thread;
};

}
