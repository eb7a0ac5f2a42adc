#include "chervilspring/detail/scheduler/cold_rate.hpp"

#include <algorithm>
#include <cmath>

namespace chervilspring {

namespace {

constexpr nanoseconds ratePeriod = seconds(1); // rates are given for this time
// Requests granted at the same time reach an engine up to this much apart. Grants count for longer
// by it, so that late and early ones together stay within the rate.
constexpr nanoseconds arrivalSpread = milliseconds(100);
constexpr nanoseconds grantWindow = ratePeriod + arrivalSpread;
constexpr double newSchedulerShare = 0.5; // of the rate, while earlier grants may be unknown
constexpr double maxRate = 1e6; // higher rates are no limit in practice

// Returns the number of grants in a window, at least 1: at a rate below that, an engine would never
// get a request.
std::size_t grantLimit(double rate)
{
    return static_cast<std::size_t>(std::max(1.0, std::floor(std::min(rate, maxRate))));
}

} // namespace

void notePlanRequest(ColdRates &rates, Instant now)
{
    if (rates.lastPlanAt_ == Instant{} || now - rates.lastPlanAt_ >= grantWindow)
        rates.plansSince_ = now;
    rates.lastPlanAt_ = now;
}

bool hasColdRoom(const ColdRates &rates, const Upstream &upstream, double coldRate, Instant now)
{
    if (!upstream.cold_ || coldRate <= 0)
        return true;
    const auto found = rates.grants_.find(upstream.name_);
    if (found == rates.grants_.end())
        return true;
    const auto &grants = found->second;
    const auto recent = std::upper_bound(grants.begin(), grants.end(), now - grantWindow);
    const bool isNew = now < rates.plansSince_ + grantWindow;
    const double rate = isNew ? coldRate * newSchedulerShare : coldRate;
    return static_cast<std::size_t>(grants.end() - recent) < grantLimit(rate);
}

void recordGrant(ColdRates &rates, const std::string &upstream, double coldRate, Instant now)
{
    if (coldRate <= 0)
        return;
    auto &grants = rates.grants_[upstream];
    grants.push_back(now);
    // More grants than the limit tell nothing more.
    while (grants.size() > grantLimit(coldRate))
        grants.pop_front();
}

void removeOldGrants(ColdRates &rates, Instant now)
{
    for (auto &[upstream, grants] : rates.grants_) {
        while (!grants.empty() && grants.front() <= now - grantWindow)
            grants.pop_front();
    }
    std::erase_if(rates.grants_, [](const auto &item) { return item.second.empty(); });
}

} // namespace chervilspring
