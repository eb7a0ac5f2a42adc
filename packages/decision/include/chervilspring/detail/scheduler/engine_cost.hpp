/// @file
/// @brief Tracks the load of model engines and estimates the cost of running a request at one.
///
/// The cost depends on the prompt parts in the engine's cache, on the engine's pending prefill work
/// and number of runs, and on the location of the inputs. Designed for workloads in which requests
/// share most of their prompt and in which stage results are large compared with the rest of a
/// request.
#pragma once

#include "chervilspring/detail/avoidance.hpp"
#include "chervilspring/messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace chervilspring {

/// @brief A request that runs at a model engine.
struct EngineRun
{
    std::uint32_t uncachedTokens_ = 0; ///< prompt tokens that need prefill
    std::uint32_t cacheTokens_ = 0; ///< cache that the prompt and the output occupy, in tokens
    Instant grantedAt_{}; ///< when the scheduler assigned the request to the engine
    nanoseconds expectedPrefillTime_{0}; ///< expected time from the grant to the end of prefill
    bool prefillDone_ = false; ///< the engine has processed the whole prompt
};

/// @brief A scheduler's estimate of the state of a model engine.
struct Engine
{
    std::map<std::string, EngineRun> runs_; ///< running requests by request id
    std::uint64_t cacheTokens_ = 0; ///< cache that all runs together occupy, in tokens
    std::uint64_t pendingPrefillTokens_ = 0; ///< uncached prompt tokens of the runs in prefill
    /// Last use of prompt parts, by the digest of the part id, see PromptKeys.
    std::unordered_map<std::uint64_t, Instant> cachedParts_;
    Avoidance avoidance_; ///< backoff after failed runs
};

/// @brief Engines by upstream name.
using EngineTable = std::unordered_map<std::string, Engine>;

/// @brief Estimated cost of running a request at an engine.
struct EngineCost
{
    std::uint32_t uncachedTokens_ = 0; ///< prompt tokens that are not in the engine's cache
    nanoseconds prefillTime_{0}; ///< time until the prompt's prefill is done, queueing included
    std::uint64_t crossDataCenterBytes_ = 0; ///< size of the inputs in other data centres
    std::uint64_t placementHash_ = 0; ///< breaks ties, lowest first; the same at every scheduler
    nanoseconds total_{0}; ///< total cost, expressed as a time
    bool atCapacity_ = false; ///< the engine has no free slot or not enough cache
    std::uint32_t coldPassedOver_ = 0; ///< cold engines not considered, as their rate is used up
};

/// @brief Bytes of a request's inputs by the data centre that holds them.
///
/// The key is empty for inputs that are not produced yet or whose upstream is not in the view.
using InputBytes = std::map<std::string, std::uint64_t>;

/// @brief Returns whether the engine with the left cost is preferred to the one with the right.
///
/// Total costs are compared in coarse steps; within a step the placement hash decides.
bool isPreferred(const EngineCost &left, const EngineCost &right);

/// @brief Digests of the prompt parts of a request. They are the same for all engines, so they are
/// computed once for each choice.
struct PromptKeys
{
    std::vector<std::uint64_t> parts_; ///< digests of the part ids, in prompt order
    std::uint64_t placement_ = 0; ///< digest by which requests are placed: of the last shared part
};

/// @brief Computes the digests of the prompt parts of a request.
PromptKeys promptKeys(const PlanRequest &request);

/// @brief What the cost of an engine depends on besides its state; the same for all requests.
struct EnginePlace
{
    std::string dataCenter_;
    std::uint64_t nameDigest_ = 0; ///< digest of the upstream's name
};

/// @brief Returns the place of the engine that runs at an upstream.
EnginePlace placeOf(const Upstream &upstream);

/// @brief Returns whether an engine has no free slot or not enough cache for a request.
bool isAtCapacity(const Engine &engine, const EngineCapacity &capacity, const PlanRequest &request);

/// @brief Returns the total cost that a request would have if the engine had its whole prompt
/// cached.
nanoseconds minimumCost(const Engine &engine, const EnginePlace &place, const InputBytes &inputs);

/// @brief Returns whether an engine with a total cost of at least minimum can be preferred to one
/// with the other cost.
bool mayBePreferred(nanoseconds minimum, const EngineCost &other);

/// @brief Estimates the cost of running a request at an engine.
/// @param engine state of the engine
/// @param place place of the engine
/// @param capacity capacity of the engine
/// @param keys promptKeys() of the request
/// @param inputs sizes of the stage results that the engine has to fetch
EngineCost computeEngineCost(const Engine &engine, const EnginePlace &place,
                             const EngineCapacity &capacity, const PlanRequest &request,
                             const PromptKeys &keys, const InputBytes &inputs, Instant now);

/// @brief Records that a request runs at an engine, whose cache then holds its prompt parts.
/// @param cost cost of the request at this engine before the run was added
void addRun(Engine &engine, const PlanRequest &request, const EngineCost &cost, Instant now);

/// @brief Records the end of a run's prefill.
/// @param request id of the request
/// @return actual minus expected prefill time; no value if the run is unknown or was done before
std::optional<nanoseconds> completePrefill(Engine &engine, const std::string &request, Instant now);

/// @brief Records the end of a run.
/// @param request id of the request
/// @param failed whether the engine failed to serve the request; it is then avoided for a while
void endRun(Engine &engine, const std::string &request, bool failed, Instant now);

} // namespace chervilspring
