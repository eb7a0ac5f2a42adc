/// @file
/// @brief Chooses the model engine of a request by what it already has in memory, by what it has to
/// read before, and by where the inputs lie.
///
/// Answers the load in which most of a prompt is shared between requests, and in which results of
/// stages are large against the rest of a request.
#pragma once

#include "chervilspring/detail/avoidance.hpp"
#include "chervilspring/messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace chervilspring {

/// @brief A request that runs at an engine.
struct EngineRun
{
    std::uint32_t promptTokens_ = 0; ///< that the engine has to read, parts in memory left out
    std::uint32_t heldTokens_ = 0; ///< memory of the whole run
    Instant grantedAt_{};
    nanoseconds expectedWait_{0}; ///< until its prompt is read
    bool started_ = false; ///< its prompt is read
};

/// @brief What a scheduler believes of an engine.
struct Engine
{
    std::map<std::string, EngineRun> runs_; ///< by request id
    std::uint64_t heldTokens_ = 0; ///< memory of all runs
    std::uint64_t queuedTokens_ = 0; ///< that runs still have to read
    std::map<std::string, Instant> parts_; ///< prompt chains in memory, by digest; last use
    Avoidance avoidance_;
};

using EngineTable = std::map<std::string, Engine>;

/// @brief What an engine would have to do for a request.
struct EngineCost
{
    std::uint32_t unreadTokens_ = 0; ///< of the prompt
    nanoseconds wait_{0}; ///< until the prompt is read
    std::uint64_t crossingBytes_ = 0; ///< inputs that lie in another data centre
    std::uint64_t rank_ = 0; ///< decides among equals, the same way at every scheduler
    nanoseconds total_{0}; ///< all of it as time
    bool full_ = false; ///< no slot or memory
};

/// @brief Where inputs of a request lie: bytes by data centre.
using InputBytes = std::map<std::string, std::uint64_t>;

/// @brief Whether an engine suits a request better than another one.
bool isBetter(const EngineCost &left, const EngineCost &right);

/// @brief Weighs an engine for a request.
EngineCost weighEngine(const Engine &engine, const Upstream &upstream,
                       const EngineCapacity &capacity, const PlanRequest &request,
                       const InputBytes &inputs, Instant now);

/// @brief Notes that a request runs at an engine.
void startRun(Engine &engine, const PlanRequest &request, const EngineCost &cost, Instant now);

/// @brief Notes that a run's prompt has been read.
/// @return how much longer than expected it took; none if the run isn't known or had started
std::optional<nanoseconds> promptRead(Engine &engine, const std::string &request, Instant now);

/// @brief Notes the end of a run.
/// @param failed the engine didn't serve it
void endRun(Engine &engine, const std::string &request, bool failed, Instant now);

} // namespace chervilspring
