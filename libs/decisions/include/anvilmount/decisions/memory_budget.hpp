/// \file memory_budget.hpp
/// Decides who gives way when a process holds too much memory for its callers. Each
/// connection is a holder, with the bytes that are held for it. Above the high-water
/// mark the process stops reading from a holder that holds more than most; above the
/// limit it closes the largest ones. A holder below the ordinary size is never paused,
/// and is closed only when nothing larger is left.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace anvilmount {

class memory_budget {
public:
    using holder_id = std::uint64_t;

    struct options {
        std::size_t m_limit{0}; ///< Bytes; 0: no budget.
        std::size_t m_ordinary_size{std::size_t{64} * 1024};
    };

    explicit memory_budget(const options& settings) : m_options(settings) {}

    /// Sets what is held for `holder`; 0 removes it.
    void set_held(holder_id holder, std::size_t bytes);

    /// Bytes that no holder answers for, such as those of requests whose caller has gone.
    void set_unowned(std::size_t bytes) { m_unowned = bytes; }

    /// Whether `holder` must not be read from, by what is held now.
    [[nodiscard]] bool must_pause(holder_id holder) const;

    /// Whether holders that were paused may be read from again.
    [[nodiscard]] bool may_resume() const { return m_options.m_limit == 0 || total() <= low_water(); }

    /// Returns the holders to close, the largest first, so that the rest is at or below the high-water
    /// mark. Empty unless the limit is exceeded. They count as removed from then on.
    [[nodiscard]] std::vector<holder_id> take_excess();

    /// Whether a request that takes `bytes` while it is served may start. Requests in service take
    /// at most a third of the budget; one alone may always start.
    [[nodiscard]] bool may_serve(std::size_t bytes, std::size_t in_service) const {
        return m_options.m_limit == 0 || in_service == 0 || in_service + bytes <= m_options.m_limit / 3;
    }

    [[nodiscard]] std::size_t total() const { return m_total + m_unowned; }
    [[nodiscard]] std::size_t limit() const { return m_options.m_limit; }

private:
    [[nodiscard]] std::size_t high_water() const { return m_options.m_limit / 4 * 3; }
    [[nodiscard]] std::size_t low_water() const { return m_options.m_limit / 2; }
    [[nodiscard]] bool is_large(std::size_t bytes) const { return bytes > m_options.m_ordinary_size; }

    options m_options;
    std::size_t m_total{0}; ///< Sum of m_held.
    std::size_t m_unowned{0};
    std::size_t m_large_total{0}; ///< Sum of the holders above the ordinary size.
    std::size_t m_large_count{0};
    std::unordered_map<holder_id, std::size_t> m_held; ///< Without those that hold nothing.
    std::set<std::pair<std::size_t, holder_id>> m_by_size;
};

}
