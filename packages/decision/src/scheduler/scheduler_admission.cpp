#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring::scheduling {

namespace {

constexpr nanoseconds toleratedWait = milliseconds(50); // calls end in steps of this size
constexpr double returnedShare = 0.5; // of the time left, within which a returned request is kept
constexpr nanoseconds shortestRetry = milliseconds(100);

// Pieces that the upstreams of a pool make in a second if all calls are full.
double fullRate(const SchedulerState &state, const PieceCapacity &capacity,
                const std::vector<std::string> &upstreams)
{
    const double full = std::chrono::duration<double>(callTime(capacity, capacity.batch_)).count();
    double rate = 0;
    for (const std::string &name : upstreams) {
        const auto known = state.stageUpstreams_.find(name);
        const double slowness =
            known == state.stageUpstreams_.end() ? 1.0 : known->second.slowness_;
        rate += capacity.batch_ / (full * slowness);
    }
    return rate;
}

nanoseconds timeFor(std::size_t pieces, double perSecond)
{
    return nanoseconds(static_cast<std::int64_t>(static_cast<double>(pieces) / perSecond * 1e9));
}

struct PoolOutlook
{
    PoolLoad load_; // by what goes before a new request
    nanoseconds moreUrgent_{0}; // of its wait, for requests that rank before it
};

using Outlooks = std::map<std::string, PoolOutlook>; // by pool

Outlooks lookAhead(const SchedulerState &state, const Job &job, Instant now)
{
    Outlooks outlooks;
    for (const auto &[pool, backlog] : backlogBefore(state.jobs_, job, now)) {
        const PieceCapacity *capacity = piecesOf(state, pool);
        const auto upstreams = state.upstreamsByPool_.find(pool);
        if (!capacity || upstreams == state.upstreamsByPool_.end() || upstreams->second.empty())
            continue;
        const double rate = fullRate(state, *capacity, upstreams->second);
        outlooks[pool] =
            PoolOutlook{PoolLoad{timeFor(backlog.pieces_, rate), upstreams->second.size()},
                        timeFor(backlog.moreUrgent_, rate)};
    }
    return outlooks;
}

nanoseconds predictStages(const SchedulerState &state, const Job &job, const Outlooks &outlooks)
{
    std::map<std::string, PoolLoad> loads;
    for (const auto &[pool, outlook] : outlooks)
        loads[pool] = outlook.load_;
    return finishTime(job, state.view_->fleet_, loads);
}

std::string waitsText(const Outlooks &outlooks)
{
    std::string text;
    for (const auto &[pool, outlook] : outlooks)
        text += (text.empty() ? "" : ",") + pool + ":" + millisecondsText(outlook.load_.wait_) + "/"
            + millisecondsText(outlook.moreUrgent_);
    return text;
}

// What comes of a new request if it is taken.
struct Prospect
{
    Outlooks outlooks_;
    nanoseconds stages_{0}; // until all of them are done
    nanoseconds engine_{0}; // from then to the first token
    nanoseconds alone_{0}; // both, without other requests
    const char *refusal_ = nullptr; // why it is better refused, nullptr: it isn't
};

Prospect predict(const SchedulerState &state, const Job &job, Instant now)
{
    Prospect prospect;
    prospect.outlooks_ = lookAhead(state, job, now);
    prospect.stages_ = predictStages(state, job, prospect.outlooks_);
    // The usual time at an engine, not this request's own: long prompts would be refused before
    // short ones, although the order of pieces gives them an earlier start.
    const auto known = state.startTimes_.find(job.request_.route_);
    prospect.engine_ = known == state.startTimes_.end() ? nanoseconds(0) : meanTime(known->second);
    prospect.alone_ = remainingTime(job) + prospect.engine_;
    const nanoseconds predicted = prospect.stages_ + prospect.engine_;
    const nanoseconds untilDeadline = job.deadlineAt_ - now;
    const bool crowdedOut =
        now + predicted > job.objectiveAt_ && predicted - prospect.alone_ > toleratedWait;
    const bool returned = now + prospect.alone_ > job.objectiveAt_; // late before it came
    const bool worthWaiting =
        returned && predicted.count() < static_cast<double>(untilDeadline.count()) * returnedShare;
    if (predicted > untilDeadline)
        prospect.refusal_ = "deadline";
    else if (crowdedOut && !worthWaiting)
        prospect.refusal_ = "objective";
    return prospect;
}

std::string percentText(double share)
{
    return std::to_string(static_cast<int>(share * 100));
}

// Lets a request go before all priorities, because its own one is underserved.
void promote(Job &job, const ServiceShares &shares, SchedulerEffects &effects)
{
    job.promoted_ = true;
    addLine(effects, job,
            "promote priority=" + std::to_string(job.request_.priority_) + " own_percent="
                + percentText(shares.own_) + " above_percent=" + percentText(shares.above_));
}

} // namespace

bool refuseLate(SchedulerState &state, Instant now, const JobId &id, Job &job,
                SchedulerEffects &effects)
{
    const std::uint32_t priority = job.request_.priority_;
    noteAsked(state.service_, priority, now);
    Prospect prospect = predict(state, job, now);
    const ServiceShares shares = serviceShares(state.service_, priority, now);
    if (prospect.refusal_ && isUnderserved(shares)) {
        promote(job, shares, effects);
        prospect = predict(state, job, now);
    }
    job.predicted_ = prospect.stages_;
    if (!prospect.refusal_) {
        // What goes before all others will be served; counting it only then would promote too many.
        if (job.promoted_)
            noteServed(state.service_, priority, now);
        return false;
    }
    const nanoseconds predicted = prospect.stages_ + prospect.engine_;
    const nanoseconds clear = std::max(shortestRetry, predicted - prospect.alone_);
    refuse(state, now, id, clear, prospect.refusal_,
           "predicted_ms=" + millisecondsText(predicted)
               + " alone_ms=" + millisecondsText(prospect.alone_) + " engine_ms="
               + millisecondsText(prospect.engine_) + " waits=" + waitsText(prospect.outlooks_),
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
