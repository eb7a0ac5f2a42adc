#include "chervilspring/detail/scheduler/time_estimate.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

// Gains of the smoothed round-trip time and its variation, RFC 6298 section 2.
constexpr int meanGain = 8; // the newest counts for one part in
constexpr int deviationGain = 4; // the newest counts for one part in

} // namespace

void noteTime(TimeEstimate &estimate, nanoseconds measured)
{
    if (!estimate.mean_) {
        estimate.mean_ = measured;
        estimate.deviation_ = std::chrono::abs(measured) / 2;
        return;
    }
    const nanoseconds error = measured - *estimate.mean_;
    estimate.deviation_ += (std::chrono::abs(error) - estimate.deviation_) / deviationGain;
    *estimate.mean_ += error / meanGain;
}

nanoseconds meanTime(const TimeEstimate &estimate)
{
    return std::max(nanoseconds(0), estimate.mean_.value_or(nanoseconds(0)));
}

nanoseconds likelyTime(const TimeEstimate &estimate)
{
    return std::max(nanoseconds(0), estimate.mean_.value_or(nanoseconds(0)) + estimate.deviation_);
}

} // namespace chervilspring
