/// @file
/// @brief Limits the rate at which a scheduler grants requests to engines that have just started.
///
/// One scheduler grants the requests of the whole fleet, so its grants are the fleet's rate. A new
/// scheduler does not know the grants of its predecessor and uses half of the rate at first.
#pragma once

#include "chervilspring/upstream.hpp"

#include <deque>
#include <unordered_map>

namespace chervilspring {

/// @brief A scheduler's recent grants, where a pool limits the rate of its cold engines.
struct ColdRates
{
    /// Times of recent grants by upstream name, oldest first. Those of warm engines are included,
    /// as an engine may start again and be cold.
    std::unordered_map<std::string, std::deque<Instant>> grants_;
    Instant plansSince_{}; ///< first of the plan requests that came without a long pause
    Instant lastPlanAt_{}; ///< latest plan request
};

/// @brief Records that the scheduler got a request to plan.
///
/// After a pause, another scheduler may have granted requests in the meantime.
void notePlanRequest(ColdRates &rates, Instant now);

/// @brief Returns whether an engine may be granted another request.
/// @param upstream the engine; true if it is warm
/// @param coldRate requests a second that a cold engine bears; true if it is 0
bool hasColdRoom(const ColdRates &rates, const Upstream &upstream, double coldRate, Instant now);

/// @brief Records a grant, unless the pool of the engine has no limit.
/// @param upstream name of the engine
/// @param coldRate requests a second that a cold engine bears; 0: unlimited
void recordGrant(ColdRates &rates, const std::string &upstream, double coldRate, Instant now);

/// @brief Removes grants that no longer count.
void removeOldGrants(ColdRates &rates, Instant now);

} // namespace chervilspring
