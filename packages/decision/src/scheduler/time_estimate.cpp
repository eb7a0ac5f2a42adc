#include "chervilspring/detail/scheduler/time_estimate.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

// Reciprocal gains of the smoothed mean and its deviation, as for the round-trip time in RFC 6298,
// section 2.
constexpr int meanGainDivisor = 8;
constexpr int deviationGainDivisor = 4;

} // namespace

void addSample(TimeEstimate &estimate, nanoseconds measured)
{
    if (!estimate.mean_) {
        estimate.mean_ = measured;
        estimate.deviation_ = std::chrono::abs(measured) / 2;
        return;
    }
    const nanoseconds error = measured - *estimate.mean_;
    estimate.deviation_ += (std::chrono::abs(error) - estimate.deviation_) / deviationGainDivisor;
    *estimate.mean_ += error / meanGainDivisor;
}

nanoseconds meanTime(const TimeEstimate &estimate)
{
    return std::max(nanoseconds(0), estimate.mean_.value_or(nanoseconds(0)));
}

nanoseconds meanPlusDeviation(const TimeEstimate &estimate)
{
    return std::max(nanoseconds(0), estimate.mean_.value_or(nanoseconds(0)) + estimate.deviation_);
}

} // namespace chervilspring
