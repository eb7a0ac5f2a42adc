/// @file
/// @brief Reserves a share of a scheduler's capacity for requests of low priority.
///
/// Designed for overload by requests of a higher priority, whether a burst or sustained: without a
/// reserved share, all requests of lower priorities would be refused, or would be admitted and then
/// overtaken until they miss their objective.
#pragma once

#include "chervilspring/time.hpp"

#include <cstdint>
#include <map>

namespace chervilspring {

/// @brief Exponentially decayed request counts of one priority.
struct PriorityService
{
    double arrived_ = 0; ///< requests received
    double served_ = 0; ///< requests that were promoted or whose stages were done in time
    Instant decayedAt_{}; ///< time to which the decay has been applied
};

/// @brief Request counts by priority; 0 is the highest.
using ServiceTable = std::map<std::uint32_t, PriorityService>;

/// @brief Fractions of recent requests that were served, 0 to 1.
struct ServiceShares
{
    double own_ = 1; ///< fraction of the priority itself; 1 if it has no requests
    /// Fraction of all higher priorities together; 0 if they have hardly any recent requests.
    double higher_ = 0;
};

/// @brief Counts a received request.
void countArrival(ServiceTable &table, std::uint32_t priority, Instant now);

/// @brief Counts a request as served: its stages were done in time, or it was promoted.
void countServed(ServiceTable &table, std::uint32_t priority, Instant now);

/// @brief Returns the served fractions of a priority and of all higher ones.
ServiceShares serviceShares(const ServiceTable &table, std::uint32_t priority, Instant now);

/// @brief Returns whether a priority gets less than its reserved share.
///
/// The reserved share is a fixed part of the served fraction of the higher priorities.
bool isUnderserved(const ServiceShares &shares);

} // namespace chervilspring
