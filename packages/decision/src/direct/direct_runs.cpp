#include "chervilspring/detail/direct/direct_steps.hpp"

#include <algorithm>

namespace chervilspring::directing {

namespace {

constexpr unsigned firstFailure = 300; // lowest status that is no success
constexpr unsigned firstServerError = 500;
constexpr nanoseconds withdrawalTimeout = seconds(3); // for the withdrawal of crash reports
constexpr nanoseconds noUpstreamRetryAfter = milliseconds(300);
constexpr nanoseconds refusedRetryAfter = milliseconds(200); // after upstreams refused a request
// Silence after which a stream may be moved to another upstream. Sound upstreams fall silent for a
// second or so, and callers give up a stream after two seconds without events at the earliest.
constexpr nanoseconds streamSilenceLimit = milliseconds(1750);
constexpr nanoseconds minRetryTime = milliseconds(20); // a run takes at least this long
constexpr std::uint32_t maxRuns = 6; // of one request, including those that were not executed
// Fraction of the retry budget that entries use: as their windows are not aligned, their retries
// together could exceed the budget otherwise.
constexpr double usableBudgetFraction = 0.9;

// Whether a request that an upstream may have executed may be sent to another one.
bool mayRepeat(const DirectRequest &request)
{
    return isRepeatable(request) && !request.isTrial_;
}

// Returns this entry's limit on retries for each pool. Without a valid share, no additional retries
// are allowed.
RetryLimit retryLimit(const DirectState &state, Instant now)
{
    const double share = state.shareExpires_ > now
        ? static_cast<double>(state.sharePpm_) / static_cast<double>(wholeShare)
        : 0.0;
    return RetryLimit{state.settings_.retryRatio_ * usableBudgetFraction,
                      state.settings_.retrySlack_ * share * usableBudgetFraction,
                      state.settings_.retryWindow_};
}

// Returns this entry's share of the fleet-wide connection limit of an upstream: at least 1, the
// whole limit if the entry has no valid share, 0 if there is no limit.
std::uint32_t connectionShare(const DirectState &state, const Pool &pool, Instant now)
{
    if (pool.connectionLimit_ == 0 || state.shareExpires_ <= now)
        return pool.connectionLimit_;
    const std::uint64_t part = std::uint64_t{pool.connectionLimit_} * state.sharePpm_ / wholeShare;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, part));
}

// Starts another run of a request, or requests another plan for it. resultsLost tells whether
// the stages of a planned request must be processed again.
void retryRequest(DirectState &state, Instant now, std::uint64_t token, bool resultsLost,
                  DirectEffects &effects)
{
    DirectRequest &request = state.requests_.at(token);
    if (!mayRunBeforeExit(state, now, request)) {
        request.phase_ = DirectPhase::Planning; // the run has ended
        endForExit(state, now, token, effects);
        return;
    }
    if (failIfCrashedTooOften(state, now, request, effects))
        return;
    if (isPlanned(request))
        requestPlan(state, now, request, resultsLost, effects);
    else
        startUnplannedRun(state, now, token, effects);
}

// Finds the request of a run. Returns nullptr if the run is not the latest one of its request.
DirectRequest *findRun(DirectState &state, std::uint64_t token, std::uint32_t attempt)
{
    const auto found = state.requests_.find(token);
    if (found == state.requests_.end() || found->second.attempt_ != attempt)
        return nullptr;
    return &found->second;
}

// Takes a retry from the budget if the request has runs and time left. Returns whether it did.
bool tryUseRetry(DirectState &state, Instant now, DirectRequest &request)
{
    return request.attempt_ < maxRuns && request.deadlineAt_ - now > minRetryTime
        && tryTakeRetry(state.retryWindows_[request.pool_], retryLimit(state, now), now);
}

// Handles a run that the upstream did not execute. If nothing was sent to the upstream, the request
// is retried without taking a retry from the budget.
void onNotExecuted(DirectState &state, Instant now, const RunEnded &event, DirectRequest &request,
                   DirectEffects &effects)
{
    const bool resultsLost = event.end_ == RunEnd::InputsGone;
    addDecisionLine(effects, request, "not_executed",
                    "upstream=" + request.upstream_ + " status=" + std::to_string(event.status_)
                        + " detail=" + event.detail_);
    const bool unsent = event.end_ == RunEnd::NotSent;
    if (!resultsLost)
        request.avoidedUpstreams_.push_back(request.upstream_);
    const bool retry = unsent
        ? request.attempt_ < maxRuns && request.deadlineAt_ - now > minRetryTime
        : !request.isTrial_ && tryUseRetry(state, now, request);
    if (retry) {
        retryRequest(state, now, event.token_, resultsLost, effects);
        return;
    }
    notifyScheduler(request, PlanOutcome::NotServed, "not_executed", effects);
    failRequest(state, now, event.token_, refusedRetryAfter, EndReason{"upstreams_full"}, effects);
}

// Records a complete response. One that served the request withdraws the crash reports about it.
void recordResponse(DirectState &state, Instant now, const DirectRequest &request, unsigned status,
                    DirectEffects &effects)
{
    if (status >= firstFailure)
        return;
    recordSoundRun(state, now, request);
    if (findSuspect(state, request.digest_))
        effects.push_back(SubmitProposal{0, ClearSuspect{request.digest_}, withdrawalTimeout});
}

// Removes the prompt parts of a request from the crashes to be reported again.
void clearPartsOf(DirectState &state, const DirectRequest &request, SoundUntil until)
{
    if (state.reportedCrashes_.empty())
        return;
    std::vector<std::string> parts;
    for (const PromptPart &part : request.call_.parts_)
        parts.push_back(part.id_);
    forgetCrashesOf(state, parts, until);
}

// Records that a request continues without the latest run, which may have been executed.
void abandonRun(DirectRequest &request, const std::string &lastEventId)
{
    ++request.possibleExecutions_;
    request.avoidedUpstreams_.push_back(request.upstream_);
    if (!lastEventId.empty())
        request.lastEventId_ = lastEventId;
}

// Records when the caller of a stream that has begun gives up unless it gets a further event.
// lastEventAt is when it got the last one, at the latest.
void updateStartDeadline(DirectRequest &request, Instant lastEventAt)
{
    const std::optional<nanoseconds> patience = callerPatience(*request.route_);
    if (request.responseStarted_ && patience)
        request.startDeadlineAt_ = std::min(request.deadlineAt_, lastEventAt + *patience);
}

// Whether the pool of a request has an upstream that the request has not been sent to and that
// isn't in the pause after a failure.
bool hasUntriedUpstream(const DirectState &state, Instant now, const DirectRequest &request)
{
    const auto upstreams = state.table_->upstreamsByPool_.find(request.pool_);
    if (upstreams == state.table_->upstreamsByPool_.end())
        return false;
    const auto &tried = request.avoidedUpstreams_;
    return std::any_of(
        upstreams->second.begin(), upstreams->second.end(), [&](const Upstream *upstream) {
            const auto stats = state.upstreamStats_.find(upstream->name_);
            const bool paused =
                stats != state.upstreamStats_.end() && isAvoided(stats->second.avoidance_, now);
            return !paused && usableFrom(state.notices_, *upstream, now) == Instant{}
            && upstream->name_ != request.upstream_
                && std::find(tried.begin(), tried.end(), upstream->name_) == tried.end();
        });
}

// Handles a run that may have been executed but yielded no usable response.
void onFailedRun(DirectState &state, Instant now, const RunEnded &event, DirectRequest &request,
                 DirectEffects &effects)
{
    abandonRun(request, event.lastEventId_);
    updateStartDeadline(request, now);
    addDecisionLine(effects, request, "run_failed",
                    "upstream=" + request.upstream_
                        + " took_ms=" + millisecondsText(now - request.runStartedAt_)
                        + " last_event=" + request.lastEventId_ + " detail=" + event.detail_);
    checkForCrash(state, now, request, event, effects);
    const bool allowed = mayRepeat(request) && event.resumable_
        && request.possibleExecutions_ < request.route_->maxAttempts_;
    if (allowed && tryUseRetry(state, now, request)) {
        retryRequest(state, now, event.token_, true, effects);
        return;
    }
    notifyScheduler(request, PlanOutcome::EngineFailed, "run_failed", effects);
    if (event.end_ == RunEnd::Broken)
        refuseRequest(state, now, event.token_, statusBadGateway, nanoseconds(0),
                      EndReason{"broken"}, effects);
    else
        failRequest(state, now, event.token_, nanoseconds(0), EndReason{"run_failed"}, effects);
}

// Handles a complete response that is held back although the caller has part of another one.
void onUnusableResponse(DirectState &state, Instant now, const RunEnded &event,
                        DirectRequest &request, DirectEffects &effects)
{
    effects.push_back(StopRun{event.token_, event.attempt_}); // drops the held response
    RunEnded broken = event;
    broken.end_ = RunEnd::Broken;
    broken.detail_ =
        "status " + std::to_string(event.status_) + " instead of the rest of the stream";
    onFailedRun(state, now, broken, request, effects);
}

// Handles a complete response that is held back. A server error is retried if the request is
// repeatable; any other response is delivered.
void onHeldResponse(DirectState &state, Instant now, const RunEnded &event, DirectRequest &request,
                    DirectEffects &effects)
{
    ++request.possibleExecutions_;
    const bool failed = event.status_ >= firstServerError;
    const bool retry = failed && mayRepeat(request)
        && request.possibleExecutions_ < request.route_->maxAttempts_
        && isRunnableBeforeExit(state, now, request) && tryUseRetry(state, now, request);
    if (retry) {
        addDecisionLine(effects, request, "repeat",
                        "upstream=" + request.upstream_
                            + " status=" + std::to_string(event.status_));
        effects.push_back(StopRun{event.token_, event.attempt_}); // drops the held response
        request.avoidedUpstreams_.push_back(request.upstream_);
        retryRequest(state, now, event.token_, true, effects);
        return;
    }
    if (!failed) {
        recordResponse(state, now, request, event.status_, effects);
        recordServiceTime(state, now, request);
    }
    const bool served = event.status_ < firstFailure;
    notifyScheduler(request, served ? PlanOutcome::Served : PlanOutcome::NotServed, "answered",
                    effects);
    effects.push_back(DeliverHeld{event.token_, event.attempt_});
    finishRequest(state, now, event.token_, EndReason{"delivered"}, event.status_, effects);
}

} // namespace

void startRun(DirectState &state, Instant now, DirectRequest &request, const Upstream &upstream,
              std::vector<std::string> inputs, DirectEffects &effects)
{
    if (request.attempt_ == 0)
        countRequest(state.retryWindows_[request.pool_], retryLimit(state, now), now);
    ++request.attempt_;
    request.upstream_ = upstream.name_;
    request.upstreamBoot_ = upstream.agentBoot_;
    request.runStartedAt_ = now;
    request.runStarted_ = false;
    request.phase_ = DirectPhase::Running;
    recordRunStart(state.upstreamStats_, upstream.name_);
    const RouteSpec &route = *request.route_;
    const Pool *pool = findPool(*request.table_, request.pool_);
    StartRun run;
    run.id_ = request.call_.id_;
    run.repeatable_ = isRepeatable(request);
    run.token_ = request.call_.token_;
    run.attempt_ = request.attempt_;
    run.upstream_ = upstream;
    run.account_ = request.account_;
    run.remaining_ = request.deadlineAt_ - now;
    run.streaming_ = route.kind_ == RouteKind::Streaming;
    run.hasStages_ = !route.stages_.empty();
    run.inputs_ = std::move(inputs);
    run.lastEventId_ =
        request.lastEventId_.empty() ? request.call_.lastEventId_ : request.lastEventId_;
    run.priority_ = request.priority_;
    run.silenceLimit_ = run.streaming_ && run.repeatable_ ? streamSilenceLimit : nanoseconds(0);
    run.connectionLimit_ = pool ? connectionShare(state, *pool, now) : 0;
    addDecisionLine(
        effects, request, "route",
        "route=" + route.name_ + " pool=" + request.pool_ + " upstream=" + upstream.name_
            + " open=" + std::to_string(state.upstreamStats_[upstream.name_].activeRuns_)
            + " remaining_ms=" + millisecondsText(run.remaining_)
            + " view=" + std::to_string(state.table_->view_->version_) + untilExitText(state, now));
    effects.push_back(std::move(run));
}

void failUnusable(DirectState &state, Instant now, std::uint64_t token,
                  const std::vector<const Upstream *> &upstreams, DirectEffects &effects)
{
    const auto rest = timeUntilUsable(state.notices_, upstreams, now);
    const EndReason reason = rest && *rest > nanoseconds(0)
        ? EndReason{"upstreams_paused", "usable_in_ms=" + millisecondsText(*rest)}
        : EndReason{"no_upstream"};
    failRequest(state, now, token, std::max(noUpstreamRetryAfter, rest.value_or(nanoseconds(0))),
                reason, effects);
}

const std::vector<const Upstream *> &upstreamsOf(const DirectState &state,
                                                 const DirectRequest &request)
{
    static const std::vector<const Upstream *> noUpstreams;
    const auto found = state.table_->upstreamsByPool_.find(request.pool_);
    return found == state.table_->upstreamsByPool_.end() ? noUpstreams : found->second;
}

const Upstream *chooseUnplanned(DirectState &state, Instant now, const DirectRequest &request)
{
    const Pool *pool = findPool(*state.table_, request.pool_);
    std::vector<const Upstream *> candidates =
        usableUpstreams(state.notices_, upstreamsOf(state, request), now);
    // An upstream that has just failed is better than one that a trial is about to crash.
    const auto &reserved = state.table_->trialUpstreams_;
    std::vector<const Upstream *> free;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(free),
                 [&](const Upstream *upstream) {
                     return std::find(reserved.begin(), reserved.end(), upstream->name_)
                         == reserved.end();
                 });
    if (!free.empty())
        candidates = std::move(free);
    return chooseUpstream(candidates, state.upstreamStats_, request.avoidedUpstreams_,
                          state.random_(), now, pool && pool->coldRate_ > 0);
}

void startUnplannedRun(DirectState &state, Instant now, std::uint64_t token, DirectEffects &effects)
{
    DirectRequest &request = state.requests_.at(token);
    const Upstream *upstream = chooseUnplanned(state, now, request);
    if (!upstream) {
        failUnusable(state, now, token, upstreamsOf(state, request), effects);
        return;
    }
    startRun(state, now, request, *upstream, {}, effects);
}

void onRunEnded(DirectState &state, Instant now, const RunEnded &event, DirectEffects &effects)
{
    DirectRequest *request = findRun(state, event.token_, event.attempt_);
    if (!request)
        return;
    const bool usable = event.end_ == RunEnd::Delivered
        || (event.end_ == RunEnd::Held && event.status_ < firstServerError
            && !request->responseStarted_);
    const bool failed =
        !usable && event.end_ != RunEnd::InputsGone && event.end_ != RunEnd::CallerGone;
    recordRunEnd(state.upstreamStats_, request->upstream_, now - request->runStartedAt_, failed,
                 now);
    switch (event.end_) {
    case RunEnd::Delivered:
        ++request->possibleExecutions_;
        recordResponse(state, now, *request, event.status_, effects);
        clearPartsOf(state, *request, SoundUntil::End);
        recordServiceTime(state, now, *request);
        notifyScheduler(*request, PlanOutcome::Served, "delivered", effects);
        finishRequest(state, now, event.token_, EndReason{"delivered"}, event.status_, effects);
        return;
    case RunEnd::Held:
        if (request->responseStarted_)
            onUnusableResponse(state, now, event, *request, effects);
        else
            onHeldResponse(state, now, event, *request, effects);
        return;
    case RunEnd::NotSent:
    case RunEnd::NotExecuted:
    case RunEnd::InputsGone:
        onNotExecuted(state, now, event, *request, effects);
        return;
    case RunEnd::Failed:
    case RunEnd::Broken:
    case RunEnd::TimedOut:
        onFailedRun(state, now, event, *request, effects);
        return;
    case RunEnd::CallerGone:
        ++request->possibleExecutions_;
        notifyScheduler(*request, PlanOutcome::NotServed, "caller_gone", effects);
        finishRequest(state, now, event.token_, EndReason{"caller_gone"}, 0, effects);
        return;
    }
}

void onRunSilent(DirectState &state, Instant now, const RunSilent &event, DirectEffects &effects)
{
    DirectRequest *request = findRun(state, event.token_, event.attempt_);
    if (!request || request->phase_ != DirectPhase::Running)
        return;
    const bool useful = mayRepeat(*request) && event.resumable_
        && request->possibleExecutions_ + 1 < request->route_->maxAttempts_
        && request->deadlineAt_ - now > minResumeTime && isRunnableBeforeExit(state, now, *request)
        && hasUntriedUpstream(state, now, *request);
    const bool moved = useful && tryUseRetry(state, now, *request);
    addDecisionLine(effects, *request, "silent",
                    "upstream=" + request->upstream_ + " last_event=" + event.lastEventId_
                        + " moved=" + (moved ? "true" : "false"));
    if (!moved)
        return;
    effects.push_back(StopRun{event.token_, event.attempt_});
    recordRunEnd(state.upstreamStats_, request->upstream_, now - request->runStartedAt_, true, now);
    abandonRun(*request, event.lastEventId_);
    updateStartDeadline(*request, now - event.silence_);
    retryRequest(state, now, event.token_, true, effects);
}

void onUpstreamNoticed(DirectState &state, Instant now, const UpstreamNoticed &event,
                       DirectEffects &effects)
{
    if (recordNotice(state.notices_, event.upstream_, event.notice_, now))
        effects.push_back(DecisionLine{noticeText(event.upstream_, event.notice_)});
}

void onRunStarted(DirectState &state, const RunStarted &event, DirectEffects &effects)
{
    DirectRequest *request = findRun(state, event.token_, event.attempt_);
    if (!request)
        return;
    request->responseStarted_ = true;
    request->runStarted_ = true;
    clearPartsOf(state, *request, SoundUntil::FirstToken);
    if (!request->scheduler_.empty())
        effects.push_back(
            SendToPeer{request->scheduler_, PlanStarted{request->call_.id_, request->planRound_}});
}

} // namespace chervilspring::directing
