#include "chervilspring/detail/scheduler/service_share.hpp"

#include <cmath>

namespace chervilspring {

namespace {

constexpr nanoseconds decayTime = seconds(5); // about the duration of a burst
// Served fraction kept for a priority, relative to that of the higher priorities. The users
// consider a class of requests starved below a quarter.
constexpr double minShareRatio = 1.0 / 3;

// Returns the factor by which counts have decayed since they were last updated.
double decayFactor(const PriorityService &service, Instant now)
{
    return std::exp(-std::chrono::duration<double>(now - service.decayedAt_)
                    / std::chrono::duration<double>(decayTime));
}

// Applies the decay to the counts of a priority and returns them.
PriorityService &decayedService(ServiceTable &table, std::uint32_t priority, Instant now)
{
    PriorityService &service = table[priority];
    const double decay = decayFactor(service, now);
    service.arrived_ *= decay;
    service.served_ *= decay;
    service.decayedAt_ = now;
    return service;
}

} // namespace

void countArrival(ServiceTable &table, std::uint32_t priority, Instant now)
{
    decayedService(table, priority, now).arrived_ += 1;
}

void countServed(ServiceTable &table, std::uint32_t priority, Instant now)
{
    decayedService(table, priority, now).served_ += 1;
}

ServiceShares serviceShares(const ServiceTable &table, std::uint32_t priority, Instant now)
{
    ServiceShares shares;
    double arrivedHigher = 0;
    double servedHigher = 0;
    for (const auto &[other, service] : table) {
        if (other > priority)
            break;
        if (other == priority) {
            shares.own_ = service.arrived_ > 0 ? service.served_ / service.arrived_ : 1;
            break;
        }
        const double decay = decayFactor(service, now);
        arrivedHigher += service.arrived_ * decay;
        servedHigher += service.served_ * decay;
    }
    // Less than one recent request of higher priority is too few for a ratio.
    if (arrivedHigher >= 1)
        shares.higher_ = servedHigher / arrivedHigher;
    return shares;
}

bool isUnderserved(const ServiceShares &shares)
{
    return shares.own_ < minShareRatio * shares.higher_;
}

} // namespace chervilspring
