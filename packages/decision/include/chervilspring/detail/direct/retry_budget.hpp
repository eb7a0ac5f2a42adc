/// @file
/// @brief Limit on repeats to one pool, as this entry's share of a fleet-wide one.
///
/// Answers the load in which many upstreams fail at once and every entry would send everything
/// twice.
#pragma once

#include "chervilspring/time.hpp"

#include <array>
#include <cstdint>

namespace chervilspring {

/// @brief Requests and repeats of the newest window, in slices.
struct RepeatWindow
{
    static constexpr std::size_t slices = 10;
    std::array<std::uint32_t, slices> requests_{};
    std::array<std::uint32_t, slices> repeats_{};
    std::int64_t newest_ = 0; ///< number of the newest slice since the clock's start
};

/// @brief What limits repeats.
struct RetryLimit
{
    double ratio_ = 0; ///< repeats for each request of the window
    double slack_ = 0; ///< further repeats in a window
    nanoseconds window_ = seconds(10);
};

/// @brief Counts a first send.
void countRequest(RepeatWindow &budget, const RetryLimit &limit, Instant now);

/// @brief Takes a repeat from the budget.
/// @return false if there is none left; nothing is counted then
bool takeRepeat(RepeatWindow &budget, const RetryLimit &limit, Instant now);

} // namespace chervilspring
