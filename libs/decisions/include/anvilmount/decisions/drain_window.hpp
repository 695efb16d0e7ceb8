/// \file drain_window.hpp
/// Until when an upstream that is being drained may get new work. A primary serves on until another one
/// is promoted; but an upstream ends some time after it has reported that it leaves, whether or not
/// there is a coordinator that replaces it. Each instance therefore keeps the limit by itself: work that
/// would come later is refused as not run, while open transactions may end.
#pragma once

#include "anvilmount/base/time.hpp"

#include <optional>

namespace anvilmount {

class drain_window {
public:
    /// `limit`: from the upstream's report until it may get no more work; zero: none.
    explicit drain_window(milliseconds limit) : m_limit(limit) {}

    /// Takes in whether the upstream reports that it leaves. When a drain began that was under way at the
    /// first observation is not known: its window counts as closed.
    void observe(bool is_leaving, steady_time now);

    /// Whether the upstream may get new work.
    [[nodiscard]] bool is_open(steady_time now) const { return !m_closes_at || now < *m_closes_at; }

private:
    milliseconds m_limit;
    bool m_is_observed{false};
    std::optional<steady_time> m_closes_at; ///< Set while the upstream leaves, if there is a limit.
};

}
