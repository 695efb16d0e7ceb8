/// \file time.cpp
/// Reads CLOCK_BOOTTIME.
#include "anvilmount/base/time.hpp"

#include <ctime>

namespace anvilmount {

steady_time suspend_aware_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return steady_time{std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

}
