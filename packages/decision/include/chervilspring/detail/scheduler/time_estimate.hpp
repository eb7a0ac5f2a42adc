/// @file
/// @brief Running estimate of a duration from past measurements.
#pragma once

#include "chervilspring/time.hpp"

#include <optional>

namespace chervilspring {

/// @brief Exponentially smoothed mean and mean absolute deviation of a duration.
struct TimeEstimate
{
    std::optional<nanoseconds> mean_; ///< no value before the first measurement
    nanoseconds deviation_{0};
};

/// @brief Updates the estimate with a measurement.
/// @param measured measured duration; negative values are allowed for differences
void addSample(TimeEstimate &estimate, nanoseconds measured);

/// @brief Returns the mean, at least zero.
nanoseconds meanTime(const TimeEstimate &estimate);

/// @brief Returns an upper estimate that most measurements stay below, at least zero.
nanoseconds meanPlusDeviation(const TimeEstimate &estimate);

} // namespace chervilspring
