#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring::scheduling {

namespace {

// A request that would miss its objective is not refused for that if the load of the pools delays
// it by at most this time. A pool takes new pieces only when a call ends, which happens about once
// in this time, so a request may wait that long even at a pool that keeps up with its load.
constexpr nanoseconds toleratedQueueTime = milliseconds(50);
// A request that is late on arrival, such as a retry after a refusal, is admitted if its predicted
// time is less than this fraction of the time until its deadline.
constexpr double maxLateArrivalFraction = 0.5;
constexpr nanoseconds minRetryAfter = milliseconds(100);

// Returns the pieces per second that the upstreams of a pool process if all calls are full.
double maxPieceRate(const SchedulerState &state, const PieceCapacity &capacity,
                    const std::vector<const Upstream *> &upstreams)
{
    const double callSeconds =
        std::chrono::duration<double>(expectedCallTime(capacity, batchSize(capacity))).count();
    double rate = 0;
    for (const Upstream *upstream : upstreams) {
        const auto known = state.stageUpstreams_.find(upstream->name_);
        const double slowdown =
            known == state.stageUpstreams_.end() ? 1.0 : known->second.slowdown_;
        rate += batchSize(capacity) / (callSeconds * slowdown);
    }
    return rate;
}

nanoseconds processingTime(std::size_t pieces, double piecesPerSecond)
{
    return nanoseconds(
        static_cast<std::int64_t>(static_cast<double>(pieces) / piecesPerSecond * 1e9));
}

// Predicted load of a pool for a new request.
struct PoolOutlook
{
    PoolLoad load_; // load ahead of the new request
    nanoseconds higherRankTime_{0}; // part of the queueing time caused by requests of a higher rank
};

using Outlooks = std::map<std::string, PoolOutlook>; // by pool name

Outlooks predictPoolLoads(SchedulerState &state, const Job &job, Instant now)
{
    Outlooks outlooks;
    for (const auto &[pool, backlog] : backlogAhead(state.work_, job, now)) {
        const PieceCapacity *capacity = pieceCapacity(state, pool);
        const auto upstreams = state.upstreamsByPool_.find(pool);
        if (!capacity || upstreams == state.upstreamsByPool_.end() || upstreams->second.empty())
            continue;
        const double rate = maxPieceRate(state, *capacity, upstreams->second);
        outlooks[pool] =
            PoolOutlook{PoolLoad{processingTime(backlog.pieces_, rate), upstreams->second.size()},
                        processingTime(backlog.higherRankPieces_, rate)};
    }
    return outlooks;
}

nanoseconds predictStageTime(const SchedulerState &state, const Job &job, const Outlooks &outlooks)
{
    std::map<std::string, PoolLoad> loads;
    for (const auto &[pool, outlook] : outlooks)
        loads[pool] = outlook.load_;
    return estimateCompletionTime(job, state.view_->fleet_, loads);
}

// Returns "pool:queueing time/part caused by requests of a higher rank" for each pool, times in ms.
std::string queueTimesText(const Outlooks &outlooks)
{
    std::string text;
    for (const auto &[pool, outlook] : outlooks)
        text += (text.empty() ? "" : ",") + pool + ":" + millisecondsText(outlook.load_.queueTime_)
            + "/" + millisecondsText(outlook.higherRankTime_);
    return text;
}

// Predicted outcome of admitting a new request.
struct Prediction
{
    Outlooks outlooks_;
    nanoseconds stageTime_{0}; // until all stages are done
    nanoseconds handlingTime_{
        0}; // that events of the request wait until the scheduler handles them
    nanoseconds timeToFirstToken_{0}; // from the end of the stages to the first token
    nanoseconds unloadedTime_{0}; // until the first token, without other requests
    const char *refusalReason_ = nullptr; // reason for a refusal; nullptr: the request is admitted
};

// Time until the first token.
nanoseconds predictedTime(const Prediction &prediction)
{
    return prediction.stageTime_ + prediction.timeToFirstToken_ + prediction.handlingTime_;
}

std::int64_t stagesWithPieces(const Job &job)
{
    return std::count_if(job.stages_.begin(), job.stages_.end(),
                         [](const StageWork &stage) { return !stage.pieces_.empty(); });
}

Prediction predict(SchedulerState &state, const Job &job, Instant now)
{
    Prediction prediction;
    prediction.outlooks_ = predictPoolLoads(state, job, now);
    prediction.stageTime_ = predictStageTime(state, job, prediction.outlooks_);
    // Uses the mean time of the route instead of the request's own estimate: otherwise long prompts
    // would be refused before short ones, although their pieces are scheduled earlier.
    const auto known = state.timesToFirstToken_.find(job.request_.route_);
    prediction.timeToFirstToken_ =
        known == state.timesToFirstToken_.end() ? nanoseconds(0) : meanTime(known->second);
    prediction.unloadedTime_ = remainingTime(job) + prediction.timeToFirstToken_;
    prediction.handlingTime_ = state.lag_ * (1 + stagesWithPieces(job));
    const nanoseconds predicted = predictedTime(prediction);
    const nanoseconds untilDeadline = job.startDeadlineAt_ - now;
    const bool lateByQueueing = now + predicted > job.objectiveAt_
        && predicted - prediction.unloadedTime_ > toleratedQueueTime;
    const bool lateOnArrival =
        now + prediction.unloadedTime_ > job.objectiveAt_; // even on idle pools
    const bool admitAnyway = lateOnArrival
        && predicted.count() < static_cast<double>(untilDeadline.count()) * maxLateArrivalFraction;
    if (predicted > untilDeadline)
        prediction.refusalReason_ = "deadline";
    else if (lateByQueueing && !admitAnyway)
        prediction.refusalReason_ = "objective";
    return prediction;
}

// Returns a fraction from 0 to 1 as a whole number of percent.
std::string percentText(double share)
{
    return std::to_string(static_cast<int>(share * 100));
}

// Ranks a request above all priorities, because its own is underserved.
void promote(Job &job, const ServiceShares &shares, SchedulerEffects &effects)
{
    job.promoted_ = true;
    addDecisionLine(effects, job,
                    "promote priority=" + std::to_string(job.request_.priority_)
                        + " own_percent=" + percentText(shares.own_)
                        + " above_percent=" + percentText(shares.higher_));
}

} // namespace

bool refuseIfLate(SchedulerState &state, Instant now, const JobId &id, Job &job,
                  SchedulerEffects &effects)
{
    const std::uint32_t priority = job.request_.priority_;
    countArrival(state.serviceByPriority_, priority, now);
    Prediction prediction = predict(state, job, now);
    const ServiceShares shares = serviceShares(state.serviceByPriority_, priority, now);
    if (prediction.refusalReason_ && isUnderserved(shares)) {
        promote(job, shares, effects);
        prediction = predict(state, job, now);
    }
    job.predictedStageTime_ = prediction.stageTime_;
    if (!prediction.refusalReason_) {
        // A promoted request is counted as served at once: if it were counted only when its stages
        // are done, too many requests would be promoted meanwhile.
        if (job.promoted_)
            countServed(state.serviceByPriority_, priority, now);
        return false;
    }
    const nanoseconds predicted = predictedTime(prediction);
    const nanoseconds retryAfter = std::max(minRetryAfter, predicted - prediction.unloadedTime_);
    refuse(state, now, id, retryAfter, prediction.refusalReason_,
           "predicted_ms=" + millisecondsText(predicted)
               + " alone_ms=" + millisecondsText(prediction.unloadedTime_)
               + " engine_ms=" + millisecondsText(prediction.timeToFirstToken_)
               + " handling_ms=" + millisecondsText(prediction.handlingTime_)
               + " until_start_deadline_ms=" + millisecondsText(job.startDeadlineAt_ - now)
               + " waits=" + queueTimesText(prediction.outlooks_),
           effects);
    return true;
}

namespace {

// Returns the time until a pool has an upstream that may get requests; 0 if it has one before the
// caller of the request gives up, so that the request can wait for it.
nanoseconds timeUntilServed(const SchedulerState &state, const std::string &pool, const Job &job,
                            Instant now)
{
    const auto upstreams = state.upstreamsByPool_.find(pool);
    if (upstreams == state.upstreamsByPool_.end())
        return unavailableRetryAfter;
    const auto wait = timeUntilUsable(state.notices_, upstreams->second, now);
    if (wait && now + *wait < job.startDeadlineAt_)
        return nanoseconds(0);
    return std::max(unavailableRetryAfter, wait.value_or(nanoseconds(0)));
}

} // namespace

nanoseconds timeUntilServed(const SchedulerState &state, const Job &job, Instant now)
{
    nanoseconds longest = timeUntilServed(state, job.request_.pool_, job, now);
    for (const StageWork &stage : job.stages_) {
        if (stage.pieces_.empty())
            continue;
        longest = std::max(longest,
                           pieceCapacity(state, stage.pool_)
                               ? timeUntilServed(state, stage.pool_, job, now)
                               : unavailableRetryAfter);
    }
    return longest;
}

} // namespace chervilspring::scheduling
