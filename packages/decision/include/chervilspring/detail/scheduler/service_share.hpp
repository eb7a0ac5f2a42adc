/// @file
/// @brief Keeps a share of a scheduler's service for requests of low priority.
///
/// Answers the load in which requests of a higher priority ask for more than the pools carry, for
/// seconds or for good: without a share, those of lower priorities would all be refused, or taken
/// and then overtaken until they are late.
#pragma once

#include "chervilspring/time.hpp"

#include <cstdint>
#include <map>

namespace chervilspring {

/// @brief Recent requests of one priority; older ones count for less.
struct PriorityService
{
    double asked_ = 0;
    double served_ = 0; ///< stages done in time
    Instant countedAt_{};
};

/// @brief Recent requests by priority; 0 is the highest.
using ServiceTable = std::map<std::uint32_t, PriorityService>;

/// @brief Shares of recent requests that were served.
struct ServiceShares
{
    double own_ = 1; ///< of a priority
    double above_ = 0; ///< of all higher ones
};

/// @brief Notes that a request came.
void noteAsked(ServiceTable &table, std::uint32_t priority, Instant now);

/// @brief Notes that the stages of a request were done in time.
void noteServed(ServiceTable &table, std::uint32_t priority, Instant now);

/// @brief Shares of a priority and of those above it.
ServiceShares serviceShares(const ServiceTable &table, std::uint32_t priority, Instant now);

/// @brief Whether a priority has less than the share that is kept for it.
bool isUnderserved(const ServiceShares &shares);

} // namespace chervilspring
