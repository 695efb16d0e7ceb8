/// \file store_era.hpp
/// Tracks the era of the metadata store, and checks that no version of one era is used in another.
/// A store that came back from an older copy gives versions out again, so that a watch or a condition
/// from before may hold by accident. The checks turn such answers into store_status::history_gone or
/// store_status::unknown, which every user of the store handles already.
#pragma once

#include "anvilmount/gateway/ports.hpp"
#include "anvilmount/observe/metrics.hpp"

#include <cstdint>
#include <functional>
#include <utility>

namespace anvilmount::gateway {

/// The newest era that this instance has seen, and the direct path to the store with checked answers.
class store_era {
public:
    store_era(const clock_port& clock, const store_port& direct, metrics& counters);
    ~store_era() = default;
    store_era(const store_era&) = delete;
    store_era& operator=(const store_era&) = delete;

    /// The store over this instance's own connections.
    [[nodiscard]] const store_port& port() const { return m_port; }

    /// 0 while no answer has named an era.
    [[nodiscard]] std::uint64_t current() const { return m_current; }

    using era_handler = std::function<void(std::uint64_t era)>;

    /// Calls `handler` each time a later era is seen, the first one included.
    void set_handler(era_handler handler) { m_on_new_era = std::move(handler); }

    /// Completes an answer that was relayed by an instance of the version before, which names no era.
    /// Before the first restore there is only one that it can be of; later it stays without.
    void complete(store_answer& relayed) const;

    /// Takes in the era of an answer. Returns false for one from an earlier era: it describes a state
    /// of the store that no longer exists.
    bool observe(std::uint64_t era);

private:
    void check_read(const store_version& after, const store_answer& reply, const store_callback& done);
    void change(const store_change& requested, const store_callback& done);

    const clock_port& m_clock;
    const store_port& m_direct;
    metrics& m_metrics;
    store_port m_port;
    std::uint64_t m_current{0};
    era_handler m_on_new_era;
};

}
