/// \file era_number.hpp
/// Epochs and fencing tokens: numbers that rise and are never given out twice. The newest one is kept
/// in the metadata store, which may come back from an older copy and forget it. The upper half of a
/// number therefore counts these returns, so that the first number given out after one is above all
/// that were given out before, whether or not anybody still knows them.
#pragma once

#include <algorithm>
#include <cstdint>

namespace anvilmount {

/// Numbers that one era of the store can give out.
constexpr std::uint64_t numbers_per_era = std::uint64_t{1} << 32U;

/// Returns the number before the first one of `era`. A store that has never come back from an older
/// copy is in era 1, or names none (0).
[[nodiscard]] constexpr std::uint64_t era_base(std::uint64_t era) {
    return era > 1 ? (era - 1) * numbers_per_era : 0;
}

/// Returns the number to give out next in `era`, where `newest` is the newest one known.
[[nodiscard]] constexpr std::uint64_t next_number(std::uint64_t newest, std::uint64_t era) {
    return std::max(newest, era_base(era)) + 1;
}

/// Whether `number` was given out before `era` began.
[[nodiscard]] constexpr bool is_before_era(std::uint64_t number, std::uint64_t era) {
    return number < era_base(era);
}

}
