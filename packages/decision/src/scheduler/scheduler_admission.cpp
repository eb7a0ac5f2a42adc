#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring::scheduling {

namespace {

constexpr nanoseconds toleratedWait = milliseconds(50); // calls end in steps of this size
constexpr double returnedShare = 0.5; // of the time left, within which a returned request is kept
constexpr nanoseconds shortestRetry = milliseconds(100);

// Time for which a pool is taken by what goes before a new request.
struct PoolWait
{
    std::size_t upstreams_ = 1;
    nanoseconds time_{0};
    nanoseconds moreUrgent_{0}; // of it, for requests with a higher priority
};

PoolWait poolWait(const SchedulerState &state, const std::string &pool, const Job &job, Instant now)
{
    const PieceCapacity *capacity = piecesOf(state, pool);
    const auto list = state.upstreamsByPool_.find(pool);
    if (!capacity || list == state.upstreamsByPool_.end() || list->second.empty())
        return {};
    double perSecond = 0;
    for (const std::string &name : list->second) {
        const auto known = state.stageUpstreams_.find(name);
        const double slowness =
            known == state.stageUpstreams_.end() ? 1.0 : known->second.slowness_;
        const double full =
            std::chrono::duration<double>(callTime(*capacity, capacity->batch_)).count();
        perSecond += capacity->batch_ / (full * slowness);
    }
    const Backlog backlog = backlogBefore(state.jobs_, pool, job, state.view_->fleet_, now);
    const auto timeFor = [&](std::size_t pieces) {
        return nanoseconds(
            static_cast<std::int64_t>(static_cast<double>(pieces) / perSecond * 1e9));
    };
    return PoolWait{list->second.size(), timeFor(backlog.pieces_), timeFor(backlog.moreUrgent_)};
}

struct Prediction
{
    nanoseconds stages_{0}; // until all of them are done
    std::string waits_; // by pool, for the log
};

Prediction predict(const SchedulerState &state, const Job &job, Instant now)
{
    Prediction prediction;
    std::map<std::string, PoolLoad> loads;
    for (const StageWork &stage : job.stages_) {
        if (stage.pieces_.empty() || loads.contains(stage.pool_))
            continue;
        const PoolWait wait = poolWait(state, stage.pool_, job, now);
        loads[stage.pool_] = PoolLoad{wait.time_, wait.upstreams_};
        prediction.waits_ += (prediction.waits_.empty() ? "" : ",") + stage.pool_ + ":"
            + millisecondsText(wait.time_) + "/" + millisecondsText(wait.moreUrgent_);
    }
    prediction.stages_ = finishTime(job, state.view_->fleet_, loads);
    return prediction;
}

} // namespace

bool refuseLate(SchedulerState &state, Instant now, const JobId &id, Job &job,
                SchedulerEffects &effects)
{
    // The usual time at an engine, not this request's own: long prompts would be refused before
    // short ones, although the order of pieces gives them an earlier start.
    const nanoseconds engine = meanTime(state.startTimes_[job.request_.route_]);
    const Prediction prediction = predict(state, job, now);
    job.predicted_ = prediction.stages_;
    const nanoseconds predicted = prediction.stages_ + engine;
    const nanoseconds alone = remainingTime(job, state.view_->fleet_) + engine;
    const nanoseconds untilDeadline = job.deadlineAt_ - now;
    const bool hopeless = predicted > untilDeadline;
    const bool crowdedOut = now + predicted > job.objectiveAt_ && predicted - alone > toleratedWait;
    const bool returned = now + alone > job.objectiveAt_; // late before it came
    const bool worthWaiting =
        returned && predicted.count() < static_cast<double>(untilDeadline.count()) * returnedShare;
    if (!hopeless && (!crowdedOut || worthWaiting))
        return false;
    const nanoseconds clear = std::max(shortestRetry, predicted - alone);
    refuse(state, now, id, clear, hopeless ? "deadline" : "objective",
           "predicted_ms=" + millisecondsText(predicted) + " alone_ms=" + millisecondsText(alone)
               + " engine_ms=" + millisecondsText(engine) + " waits=" + prediction.waits_,
           effects);
    return true;
}

bool poolsServed(const SchedulerState &state, const Job &job)
{
    const auto served = [&](const std::string &pool) {
        const auto list = state.upstreamsByPool_.find(pool);
        return list != state.upstreamsByPool_.end() && !list->second.empty();
    };
    return served(job.request_.pool_)
        && std::all_of(job.stages_.begin(), job.stages_.end(), [&](const StageWork &stage) {
               return stage.pieces_.empty() || served(stage.pool_);
           });
}

} // namespace chervilspring::scheduling
