#include "chervilspring/detail/scheduler/service_share.hpp"

#include <cmath>

namespace chervilspring {

namespace {

constexpr nanoseconds window = seconds(5); // about as long as a burst lasts
constexpr double leastShare = 1.0 / 3; // of the share above; the users call a quarter starved

// What requests of the past still count for.
double weightAt(const PriorityService &service, Instant now)
{
    return std::exp(-std::chrono::duration<double>(now - service.countedAt_)
                    / std::chrono::duration<double>(window));
}

PriorityService &serviceAt(ServiceTable &table, std::uint32_t priority, Instant now)
{
    PriorityService &service = table[priority];
    const double weight = weightAt(service, now);
    service.asked_ *= weight;
    service.served_ *= weight;
    service.countedAt_ = now;
    return service;
}

} // namespace

void noteAsked(ServiceTable &table, std::uint32_t priority, Instant now)
{
    serviceAt(table, priority, now).asked_ += 1;
}

void noteServed(ServiceTable &table, std::uint32_t priority, Instant now)
{
    serviceAt(table, priority, now).served_ += 1;
}

ServiceShares serviceShares(const ServiceTable &table, std::uint32_t priority, Instant now)
{
    ServiceShares shares;
    double askedAbove = 0;
    double servedAbove = 0;
    for (const auto &[other, service] : table) {
        if (other > priority)
            break;
        if (other == priority) {
            shares.own_ = service.asked_ > 0 ? service.served_ / service.asked_ : 1;
            break;
        }
        const double weight = weightAt(service, now);
        askedAbove += service.asked_ * weight;
        servedAbove += service.served_ * weight;
    }
    // Less than one recent request above says nothing.
    if (askedAbove >= 1)
        shares.above_ = servedAbove / askedAbove;
    return shares;
}

bool isUnderserved(const ServiceShares &shares)
{
    return shares.own_ < leastShare * shares.above_;
}

} // namespace chervilspring
