/// \file time.hpp
/// Clock types used in signatures. Code that decides by time takes the current
/// time as an argument and never reads a clock.
#pragma once

#include <chrono>

namespace anvilmount {

using steady_time = std::chrono::steady_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Returns the current time of a steady clock that, unlike steady_clock::now(),
/// also advances while the machine is suspended. Ages and leases are measured
/// with it. Its times are never compared with those of steady_clock::now().
[[nodiscard]] steady_time suspend_aware_now();

}
