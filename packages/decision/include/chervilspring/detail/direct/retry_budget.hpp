/// @file
/// @brief Retry budget for one pool: this entry's share of a fleet-wide limit.
///
/// Prevents retry storms: without it, every entry would send everything twice when many upstreams
/// fail at once.
#pragma once

#include "chervilspring/time.hpp"

#include <array>
#include <cstdint>

namespace chervilspring {

/// @brief Sliding-window counts of requests and retries, divided into time slices.
struct RetryWindow
{
    static constexpr std::size_t sliceCount = 10;
    std::array<std::uint32_t, sliceCount> requests_{}; ///< indexed by slice number % sliceCount
    std::array<std::uint32_t, sliceCount> retries_{}; ///< indexed by slice number % sliceCount
    std::int64_t newestSlice_ = 0; ///< number of the newest slice, counted from the clock's epoch
};

/// @brief Limit on retries.
struct RetryLimit
{
    double retriesPerRequest_ = 0; ///< retries allowed for each request in the window
    double extraRetries_ = 0; ///< additional retries allowed in a window
    nanoseconds window_ = seconds(10); ///< length of the window
};

/// @brief Counts the first run of a request.
void countRequest(RetryWindow &window, const RetryLimit &limit, Instant now);

/// @brief Takes a retry from the budget.
/// @return whether the retry is allowed; if the budget is exhausted, nothing is counted
bool tryTakeRetry(RetryWindow &window, const RetryLimit &limit, Instant now);

} // namespace chervilspring
