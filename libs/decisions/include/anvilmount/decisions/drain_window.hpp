/// \file drain_window.hpp
/// Until when an upstream that is being drained may get new work. A primary serves on until another one
/// is promoted; but an upstream ends some time after it has reported that it leaves, whether or not
/// there is a coordinator that replaces it. Each instance therefore keeps the limit by itself: work that
/// would come later is refused as not run, while open transactions may end.
///
/// An instance that had lost the store learns late of the report. The window counts from the last moment at
/// which the instance knew that there was none.
#pragma once

#include "anvilmount/base/time.hpp"

#include <optional>

namespace anvilmount {

/// What an instance knows of an upstream's report that it leaves.
struct drain_report {
    bool m_is_leaving{false};
    steady_time m_earliest{}; ///< The report came no sooner; only while leaving.

    auto operator<=>(const drain_report&) const = default;
};

/// Returns what is known now. `before`: what was known, nothing if the upstream is seen for the first time.
/// `known_until`: what was known before still held then.
[[nodiscard]] drain_report next_report(const std::optional<drain_report>& before, bool is_leaving,
                                       steady_time known_until);

/// Whether the upstream may get work outside open transactions. `limit`: from its report until it may get
/// no more; zero: none.
[[nodiscard]] bool accepts_new_work(const drain_report& report, milliseconds limit, steady_time now);

}
