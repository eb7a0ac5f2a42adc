/// @file
/// @brief Estimates the cost of running a request at a model engine.
///
/// The cost depends on the prompt parts in the engine's cache, on its pending prefill work and on
/// the location of the inputs. Designed for workloads in which requests share most of their prompt
/// and in which stage results are large compared with the rest of a request.
#pragma once

#include "chervilspring/detail/avoidance.hpp"
#include "chervilspring/messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace chervilspring {

/// @brief A request that runs at a model engine.
struct EngineRun
{
    std::uint32_t uncachedTokens_ = 0; ///< prompt tokens that need prefill
    std::uint32_t cacheTokens_ = 0; ///< cache occupied by the prompt and the output
    Instant grantedAt_{};
    nanoseconds expectedPrefillTime_{0}; ///< expected time from the grant to the end of prefill
    bool prefillDone_ = false;
};

/// @brief A scheduler's estimate of the state of a model engine.
struct Engine
{
    std::map<std::string, EngineRun> runs_; ///< running requests by request id
    std::uint64_t cacheTokens_ = 0; ///< cache occupied by all runs
    std::uint64_t pendingPrefillTokens_ = 0; ///< prompt tokens that still need prefill
    std::map<std::string, Instant> cachedParts_; ///< last use of cached prompt prefixes, by digest
    Avoidance avoidance_;
};

using EngineTable = std::map<std::string, Engine>;

/// @brief Estimated cost of running a request at an engine.
struct EngineCost
{
    std::uint32_t uncachedTokens_ = 0; ///< prompt tokens that are not in the engine's cache
    nanoseconds prefillTime_{0}; ///< time until the prompt's prefill is done, queueing included
    std::uint64_t crossDataCenterBytes_ = 0; ///< size of the inputs in other data centres
    std::uint64_t placementHash_ = 0; ///< tie-breaker, equal at every scheduler
    nanoseconds total_{0}; ///< total cost, expressed as a time
    bool atCapacity_ = false; ///< no free slot or not enough cache
};

/// @brief Bytes of a request's inputs by data centre.
using InputBytes = std::map<std::string, std::uint64_t>;

/// @brief Returns whether the engine with the left cost is preferred to the one with the right.
bool isPreferred(const EngineCost &left, const EngineCost &right);

/// @brief Estimates the cost of running a request at an engine.
EngineCost computeEngineCost(const Engine &engine, const Upstream &upstream,
                             const EngineCapacity &capacity, const PlanRequest &request,
                             const InputBytes &inputs, Instant now);

/// @brief Records that a request runs at an engine.
void addRun(Engine &engine, const PlanRequest &request, const EngineCost &cost, Instant now);

/// @brief Records the end of a run's prefill.
/// @param request id of the request
/// @return actual minus expected prefill time; no value if the run is unknown or was done before
std::optional<nanoseconds> completePrefill(Engine &engine, const std::string &request, Instant now);

/// @brief Records the end of a run.
/// @param request id of the request
/// @param failed the engine failed to serve the request and is avoided for a while
void endRun(Engine &engine, const std::string &request, bool failed, Instant now);

} // namespace chervilspring
