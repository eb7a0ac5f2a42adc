/// @file
/// @brief Estimates a time from measurements of earlier ones.
#pragma once

#include "chervilspring/time.hpp"

#include <optional>

namespace chervilspring {

/// @brief Smoothed mean and deviation.
struct TimeEstimate
{
    std::optional<nanoseconds> mean_; ///< none: nothing measured yet
    nanoseconds deviation_{0};
};

/// @brief Takes a measurement in; one that stands for a difference may be negative.
void noteTime(TimeEstimate &estimate, nanoseconds measured);

/// @brief The mean; at least zero.
nanoseconds meanTime(const TimeEstimate &estimate);

/// @brief Time that most of the next ones won't exceed; at least zero.
nanoseconds likelyTime(const TimeEstimate &estimate);

} // namespace chervilspring
