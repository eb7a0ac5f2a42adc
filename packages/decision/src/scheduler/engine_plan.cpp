#include "chervilspring/detail/scheduler/engine_plan.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr double readTokensPerMs = 40.0; // of an engine; the deployments' sheets state 42.6
constexpr nanoseconds partLifetime = seconds(20); // unused parts are taken as evicted
constexpr nanoseconds costOfRun = milliseconds(2); // a run slows the others' tokens by about this
constexpr nanoseconds costOfCrossing = milliseconds(25); // per MB: links are shared and priced
constexpr std::int64_t costOfReading = 3; // times its time: it holds up all runs of the engine
constexpr nanoseconds equalWithin = milliseconds(10); // costs this close are decided by rank
constexpr double bytesPerMb = 1e6;
constexpr nanoseconds firstAvoidance = milliseconds(400);
constexpr std::size_t maxParts = 4096;

nanoseconds readTime(std::uint64_t tokens)
{
    return nanoseconds(
        static_cast<std::int64_t>(static_cast<double>(tokens) / readTokensPerMs * 1e6));
}

std::uint32_t unreadTokens(const Engine &engine, const PlanRequest &request, Instant now)
{
    std::uint32_t kept = 0;
    for (const PromptPart &part : request.parts_) {
        const auto found = engine.parts_.find(part.id_);
        if (found == engine.parts_.end() || now - found->second > partLifetime)
            break;
        kept += part.tokens_;
    }
    return request.promptTokens_ - std::min(kept, request.promptTokens_);
}

void forgetOldParts(Engine &engine, Instant now)
{
    if (engine.parts_.size() <= maxParts)
        return;
    std::erase_if(engine.parts_,
                  [&](const auto &item) { return now - item.second > partLifetime; });
}

void removeRun(Engine &engine, const std::string &request)
{
    const auto found = engine.runs_.find(request);
    if (found == engine.runs_.end())
        return;
    engine.heldTokens_ -= found->second.heldTokens_;
    if (!found->second.started_)
        engine.queuedTokens_ -= found->second.promptTokens_;
    engine.runs_.erase(found);
}

// Requests with the same last shared part rank engines alike, whichever scheduler asks: a new one
// finds the prompts where its predecessor had them read.
std::uint64_t placementRank(const PlanRequest &request, const Upstream &upstream)
{
    const std::size_t count = request.parts_.size();
    const std::string subject = count >= 2 ? request.parts_[count - 2].id_
                                           : (count == 1 ? request.parts_[0].id_ : request.id_);
    return contentDigest(subject + "/" + upstream.name_);
}

} // namespace

bool isBetter(const EngineCost &left, const EngineCost &right)
{
    if (left.total_ / equalWithin != right.total_ / equalWithin)
        return left.total_ < right.total_;
    return left.rank_ < right.rank_;
}

EngineCost weighEngine(const Engine &engine, const Upstream &upstream,
                       const EngineCapacity &capacity, const PlanRequest &request,
                       const InputBytes &inputs, Instant now)
{
    EngineCost cost;
    cost.unreadTokens_ = unreadTokens(engine, request, now);
    const std::uint64_t queuedTokens = engine.queuedTokens_;
    const std::uint64_t heldTokens =
        engine.heldTokens_ + request.promptTokens_ + request.outputTokens_;
    cost.full_ = engine.runs_.size() >= capacity.slots_ || heldTokens > capacity.cacheTokens_;
    for (const auto &[dataCenter, bytes] : inputs) {
        if (dataCenter != upstream.dataCenter_)
            cost.crossingBytes_ += bytes;
    }
    cost.wait_ = readTime(queuedTokens + cost.unreadTokens_);
    const double crossing = static_cast<double>(cost.crossingBytes_) / bytesPerMb;
    cost.rank_ = placementRank(request, upstream);
    cost.total_ = readTime(queuedTokens) + readTime(cost.unreadTokens_) * costOfReading
        + costOfRun * static_cast<std::int64_t>(engine.runs_.size())
        + nanoseconds(static_cast<std::int64_t>(crossing * costOfCrossing.count()));
    return cost;
}

void startRun(Engine &engine, const PlanRequest &request, const EngineCost &cost, Instant now)
{
    removeRun(engine, request.id_);
    const EngineRun run{cost.unreadTokens_, request.promptTokens_ + request.outputTokens_, now,
                        cost.wait_, false};
    engine.runs_[request.id_] = run;
    engine.heldTokens_ += run.heldTokens_;
    engine.queuedTokens_ += run.promptTokens_;
    for (const PromptPart &part : request.parts_)
        engine.parts_[part.id_] = now;
    forgetOldParts(engine, now);
}

std::optional<nanoseconds> promptRead(Engine &engine, const std::string &request, Instant now)
{
    const auto found = engine.runs_.find(request);
    if (found == engine.runs_.end() || found->second.started_)
        return std::nullopt;
    found->second.started_ = true;
    engine.queuedTokens_ -= found->second.promptTokens_;
    return now - found->second.grantedAt_ - found->second.expectedWait_;
}

void endRun(Engine &engine, const std::string &request, bool failed, Instant now)
{
    removeRun(engine, request);
    if (failed)
        noteFailure(engine.avoidance_, firstAvoidance, now);
    else
        noteSuccess(engine.avoidance_);
}

} // namespace chervilspring
