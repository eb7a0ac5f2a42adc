#include "chervilspring/detail/scheduler/engine_cost.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr double prefillTokensPerMs = 40.0; // of an engine; the deployments' data sheets state 42.6
constexpr nanoseconds partLifetime = seconds(20); // parts unused for longer count as evicted
// A run delays the tokens of the other runs at its engine by about this.
constexpr nanoseconds costPerRun = milliseconds(2);
// Penalty per MB: links between data centres are shared and charged by volume.
constexpr nanoseconds transferPenaltyPerMb = milliseconds(25);
constexpr std::int64_t prefillCostFactor = 3; // prefill delays all runs of the engine
constexpr nanoseconds costTolerance = milliseconds(10); // costs are compared in steps of this size
constexpr double bytesPerMb = 1e6;
constexpr nanoseconds initialAvoidance = milliseconds(400); // pause after the first failure
constexpr std::size_t maxCachedParts = 4096; // expired parts are removed beyond this number

nanoseconds prefillTime(std::uint64_t tokens)
{
    return nanoseconds(
        static_cast<std::int64_t>(static_cast<double>(tokens) / prefillTokensPerMs * 1e6));
}

// Returns the number of prompt tokens after the longest cached prefix.
std::uint32_t uncachedTokens(const Engine &engine, const PlanRequest &request,
                             const PromptKeys &keys, Instant now)
{
    std::uint32_t cached = 0;
    for (std::size_t part = 0; part < request.parts_.size(); ++part) {
        const auto found = engine.cachedParts_.find(keys.parts_[part]);
        if (found == engine.cachedParts_.end() || now - found->second > partLifetime)
            break;
        cached += request.parts_[part].tokens_;
    }
    return request.promptTokens_ - std::min(cached, request.promptTokens_);
}

std::uint64_t crossDataCenterBytes(const EnginePlace &place, const InputBytes &inputs)
{
    std::uint64_t crossing = 0;
    for (const auto &[dataCenter, bytes] : inputs)
        crossing += dataCenter == place.dataCenter_ ? 0 : bytes;
    return crossing;
}

void removeExpiredParts(Engine &engine, Instant now)
{
    if (engine.cachedParts_.size() <= maxCachedParts)
        return;
    std::erase_if(engine.cachedParts_,
                  [&](const auto &item) { return now - item.second > partLifetime; });
}

void removeRun(Engine &engine, const std::string &request)
{
    const auto found = engine.runs_.find(request);
    if (found == engine.runs_.end())
        return;
    engine.cacheTokens_ -= found->second.cacheTokens_;
    if (!found->second.prefillDone_)
        engine.pendingPrefillTokens_ -= found->second.uncachedTokens_;
    engine.runs_.erase(found);
}

// Rendezvous hash of a placement key and an engine. The hash is the same at every scheduler, so
// that a new scheduler finds prompts in the cache where its predecessor placed them.
std::uint64_t placementHash(std::uint64_t key, const EnginePlace &place)
{
    // Multiplication and shifts as in splitmix64 spread the combined bits.
    std::uint64_t hash = key ^ place.nameDigest_;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9u;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebu;
    return hash ^ (hash >> 31);
}

} // namespace

EnginePlace placeOf(const Upstream &upstream)
{
    return EnginePlace{upstream.dataCenter_, contentDigest(upstream.name_)};
}

bool isAtCapacity(const Engine &engine, const EngineCapacity &capacity, const PlanRequest &request)
{
    const std::uint64_t cacheTokens =
        engine.cacheTokens_ + request.promptTokens_ + request.outputTokens_;
    return engine.runs_.size() >= capacity.slots_ || cacheTokens > capacity.cacheTokens_;
}

nanoseconds minimumCost(const Engine &engine, const EnginePlace &place, const InputBytes &inputs)
{
    const double megabytes = static_cast<double>(crossDataCenterBytes(place, inputs)) / bytesPerMb;
    return prefillTime(engine.pendingPrefillTokens_)
        + costPerRun * static_cast<std::int64_t>(engine.runs_.size())
        + nanoseconds(static_cast<std::int64_t>(megabytes * transferPenaltyPerMb.count()));
}

bool mayBePreferred(nanoseconds minimum, const EngineCost &other)
{
    return minimum / costTolerance <= other.total_ / costTolerance;
}

bool isPreferred(const EngineCost &left, const EngineCost &right)
{
    if (left.total_ / costTolerance != right.total_ / costTolerance)
        return left.total_ < right.total_;
    return left.placementHash_ < right.placementHash_;
}

PromptKeys promptKeys(const PlanRequest &request)
{
    PromptKeys keys;
    for (const PromptPart &part : request.parts_)
        keys.parts_.push_back(contentDigest(part.id_));
    // The last part of a prompt counts as the request's own, so the one before it is used.
    const std::size_t count = keys.parts_.size();
    keys.placement_ =
        count == 0 ? contentDigest(request.id_) : keys.parts_[count >= 2 ? count - 2 : 0];
    return keys;
}

EngineCost computeEngineCost(const Engine &engine, const EnginePlace &place,
                             const EngineCapacity &capacity, const PlanRequest &request,
                             const PromptKeys &keys, const InputBytes &inputs, Instant now)
{
    EngineCost cost;
    cost.uncachedTokens_ = uncachedTokens(engine, request, keys, now);
    cost.atCapacity_ = isAtCapacity(engine, capacity, request);
    cost.crossDataCenterBytes_ = crossDataCenterBytes(place, inputs);
    cost.prefillTime_ = prefillTime(engine.pendingPrefillTokens_ + cost.uncachedTokens_);
    cost.placementHash_ = placementHash(keys.placement_, place);
    cost.total_ =
        minimumCost(engine, place, inputs) + prefillTime(cost.uncachedTokens_) * prefillCostFactor;
    return cost;
}

void addRun(Engine &engine, const PlanRequest &request, const EngineCost &cost, Instant now)
{
    removeRun(engine, request.id_);
    const EngineRun run{cost.uncachedTokens_, request.promptTokens_ + request.outputTokens_, now,
                        cost.prefillTime_, false};
    engine.runs_[request.id_] = run;
    engine.cacheTokens_ += run.cacheTokens_;
    engine.pendingPrefillTokens_ += run.uncachedTokens_;
    for (const PromptPart &part : request.parts_)
        engine.cachedParts_[contentDigest(part.id_)] = now;
    removeExpiredParts(engine, now);
}

std::optional<nanoseconds> completePrefill(Engine &engine, const std::string &request, Instant now)
{
    const auto found = engine.runs_.find(request);
    if (found == engine.runs_.end() || found->second.prefillDone_)
        return std::nullopt;
    found->second.prefillDone_ = true;
    engine.pendingPrefillTokens_ -= found->second.uncachedTokens_;
    return now - found->second.grantedAt_ - found->second.expectedPrefillTime_;
}

void endRun(Engine &engine, const std::string &request, bool failed, Instant now)
{
    removeRun(engine, request);
    if (failed)
        noteFailure(engine.avoidance_, initialAvoidance, now);
    else
        noteSuccess(engine.avoidance_);
}

} // namespace chervilspring
