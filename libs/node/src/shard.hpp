/// \file shard.hpp
/// A worker thread of an instance with its event loop, metrics and random number
/// generator. Objects that belong to a shard are used on its thread only; other
/// threads submit work with post().
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

    /// Runs `work` on this shard's thread, without waiting for it.
    void post(reactor::task work) { m_reactor->post(std::move(work)); }

    /// Runs `work` on this shard's thread, waits for it and returns its result. Must
    /// not be called on the shard's own thread.
    template <class Work>
    auto run_and_wait(Work work) {
        std::promise<decltype(work())> value_promise;
        auto future = value_promise.get_future();
        post([&] {
            if constexpr (std::is_void_v<decltype(work())>) {
                work();
                value_promise.set_value();
            } else {
                value_promise.set_value(work());
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
    reactor* m_reactor{nullptr};       ///< Stored on the thread's stack.
    QEventLoop* m_event_loop{nullptr}; ///< Stored on the thread's stack.
    std::thread m_thread;
};

}
