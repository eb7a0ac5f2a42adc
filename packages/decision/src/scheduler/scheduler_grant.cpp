#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>
#include <limits>

namespace chervilspring::scheduling {

namespace {

// Of a service whose capacity isn't configured. Its upstreams refuse what they can't take.
constexpr EngineCapacity unlimitedCapacity{std::numeric_limits<std::uint32_t>::max(),
                                           std::numeric_limits<std::uint64_t>::max()};

// Returns the bytes of the results of a request's final stages by data centre of their producers.
InputBytes inputBytes(const SchedulerState &state, const Job &job)
{
    InputBytes bytes;
    for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
        if (!isFinalStage(job, stage))
            continue;
        for (const Piece &piece : job.stages_[stage].pieces_) {
            const Upstream *producer = findUpstream(state, piece.upstream_);
            bytes[producer ? producer->dataCenter_ : std::string()] +=
                job.stages_[stage].resultBytes_;
        }
    }
    return bytes;
}

} // namespace

void endEngineRun(SchedulerState &state, Instant now, Job &job, bool failed)
{
    if (job.engine_.empty())
        return;
    endRun(state.engines_[job.engine_], job.request_.id_, failed, now);
    job.engine_.clear();
}

namespace {

// Returns the engines of a pool; with a new view the list is made anew.
const std::vector<EngineCandidate> &engineCandidates(SchedulerState &state, const std::string &pool)
{
    const auto [known, isNew] = state.candidates_.try_emplace(pool);
    const auto upstreams = state.upstreamsByPool_.find(pool);
    if (!isNew || upstreams == state.upstreamsByPool_.end())
        return known->second;
    for (const Upstream *upstream : upstreams->second)
        known->second.push_back(
            EngineCandidate{upstream, placeOf(*upstream), &state.engines_[upstream->name_]});
    return known->second;
}

} // namespace

const Upstream *chooseEngine(SchedulerState &state, const Job &job, Instant now,
                             EngineCost &chosenCost)
{
    const Pool *spec = findByName(state.view_->fleet_.pools_, job.request_.pool_);
    if (!spec)
        return nullptr;
    const EngineCapacity capacity = spec->engine_.value_or(unlimitedCapacity);
    const InputBytes inputs = inputBytes(state, job);
    const Upstream *chosen = nullptr;
    bool chosenAvoided = true;
    const PromptKeys keys = promptKeys(job.request_);
    const auto &avoid = job.request_.avoid_;
    std::uint32_t coldPassedOver = 0;
    for (const EngineCandidate &candidate : engineCandidates(state, job.request_.pool_)) {
        const Engine &engine = *candidate.engine_;
        if (isAtCapacity(engine, capacity, job.request_))
            continue;
        if (!hasColdRoom(state.coldRates_, *candidate.upstream_, spec->coldRate_, now)) {
            ++coldPassedOver;
            continue;
        }
        const bool avoided = isAvoided(engine.avoidance_, now)
            || std::find(avoid.begin(), avoid.end(), candidate.upstream_->name_) != avoid.end();
        if (chosen && avoided && !chosenAvoided)
            continue;
        // The cache is looked at last, as that takes the longest.
        const bool comparable = chosen && avoided == chosenAvoided;
        if (comparable
            && !mayBePreferred(minimumCost(engine, candidate.place_, inputs), chosenCost))
            continue;
        const EngineCost cost =
            computeEngineCost(engine, candidate.place_, capacity, job.request_, keys, inputs, now);
        if (comparable && !isPreferred(cost, chosenCost))
            continue;
        chosen = candidate.upstream_;
        chosenAvoided = avoided;
        chosenCost = cost;
    }
    if (chosen)
        chosenCost.coldPassedOver_ = coldPassedOver;
    return chosen;
}

bool tryGrant(SchedulerState &state, Instant now, const JobId &id, Job &job,
              SchedulerEffects &effects)
{
    if (!allStagesDone(job))
        return false;
    EngineCost cost;
    const Upstream *upstream = chooseEngine(state, job, now, cost);
    if (!upstream)
        return false; // no engine can take the request; retried with each sweep
    if (!job.promoted_ && job.grantedAt_ == Instant{} && now <= stagesDueAt(job))
        countServed(state.serviceByPriority_, job.request_.priority_, now);
    job.grantedAt_ = now;
    job.engine_ = upstream->name_;
    addRun(state.engines_[upstream->name_], job.request_, cost, now);
    if (const Pool *pool = findByName(state.view_->fleet_.pools_, job.request_.pool_))
        recordGrant(state.coldRates_, upstream->name_, pool->coldRate_, now);
    if (job.trial_)
        recordTrial(state.quarantines_, now, job.request_.id_, job.request_.parts_);
    addDecisionLine(effects, job,
                    "grant upstream=" + upstream->name_
                        + " unread_tokens=" + std::to_string(cost.uncachedTokens_)
                        + " wait_ms=" + millisecondsText(cost.prefillTime_)
                        + " crossing_bytes=" + std::to_string(cost.crossDataCenterBytes_)
                        + " stages_ms=" + millisecondsText(now - job.arrivedAt_)
                        + " predicted_ms=" + millisecondsText(job.predictedStageTime_)
                        + " view=" + std::to_string(state.view_->version_)
                        + (cost.coldPassedOver_ > 0
                               ? " cold_passed_over=" + std::to_string(cost.coldPassedOver_)
                               : std::string()));
    effects.push_back(SendToPeer{id.entry_,
                                 PlanGrant{job.request_.id_, job.request_.round_, upstream->name_,
                                           upstream->agentBoot_, finalHandles(job), job.trial_}});
    removeWork(state.work_, id, job);
    state.granted_.insert(state.jobs_.extract(id)); // keeps the reference to the job valid
    return true;
}

} // namespace chervilspring::scheduling
