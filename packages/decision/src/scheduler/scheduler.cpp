#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring {

using namespace scheduling;

namespace {

constexpr nanoseconds sweepInterval = milliseconds(50); // between checks for timeouts
constexpr nanoseconds busyPause = milliseconds(100); // before the next call after a refused one
constexpr nanoseconds initialAvoidance = milliseconds(300); // pause after the first failed call
constexpr std::uint32_t maxPieceFailures = 3; // failures of a piece before its request is refused
constexpr double slowdownWeight = 0.3; // weight of the newest call in the moving average
constexpr nanoseconds minRetryAfter = milliseconds(100);
constexpr int lagSamples = 8; // the newest lag counts with one part in this number
constexpr nanoseconds maxLag = seconds(1); // a longer one is that of a VM that was suspended
// Time after its deadline at which a granted request is dropped if its entry has not reported its
// end.
constexpr nanoseconds orphanTimeout = seconds(5);

const char *failureReason(ItemFailure failure)
{
    switch (failure) {
    case ItemFailure::None:
        return "none";
    case ItemFailure::Late:
        return "late";
    case ItemFailure::InputGone:
        return "input_gone";
    case ItemFailure::StorageFull:
        return "no_room";
    case ItemFailure::NotSent:
        return "not_sent";
    case ItemFailure::Error:
        return "error";
    }
    return "?";
}

bool needsOnlyEarlierStages(const PlanRequest &request, std::size_t stage)
{
    const auto &after = request.stages_[stage].after_;
    return std::all_of(after.begin(), after.end(),
                       [&](std::uint32_t other) { return other < stage; });
}

// Returns the reason for which the stages of a request can't be processed, nullptr if there is
// none.
const char *stageProblem(const PlanRequest &request)
{
    if (hasTooManyPieces(request.pieceCounts_, request.stages_.size()))
        return "too_many_pieces";
    for (std::size_t i = 0; i < request.stages_.size(); ++i) {
        if (!needsOnlyEarlierStages(request, i))
            return "invalid_stages";
    }
    return nullptr;
}

void setTimes(Job &job, Instant now, const PlanRequest &request)
{
    job.objectiveAt_ = now + request.untilObjective_;
    job.deadlineAt_ = now + request.untilDeadline_;
    job.startDeadlineAt_ = job.deadlineAt_;
    if (request.untilStartDeadline_ != nanoseconds(0))
        job.startDeadlineAt_ = std::min(job.startDeadlineAt_, now + request.untilStartDeadline_);
}

Job makeJob(const SchedulerState &state, Instant now, const PlanRequest &request)
{
    Job job;
    job.request_ = request;
    job.arrivedAt_ = now;
    setTimes(job, now, request);
    if (stageProblem(request))
        return job;
    for (std::size_t i = 0; i < request.stages_.size(); ++i) {
        StageWork stage;
        stage.pool_ = request.stages_[i].pool_;
        stage.predecessors_ = request.stages_[i].after_;
        stage.resultBytes_ = request.stages_[i].resultBytes_;
        stage.pieces_.resize(i < request.pieceCounts_.size() ? request.pieceCounts_[i] : 0);
        job.stages_.push_back(std::move(stage));
    }
    estimateStageTimes(job, state.view_->fleet_);
    return job;
}

// Resets a request that has to be planned again, because its engine refused it or failed or because
// its results were lost.
void replan(SchedulerState &state, Instant now, Job &job, const PlanRequest &request,
            SchedulerEffects &effects)
{
    // Lost results are not the engine's fault: it stays preferred, since its cache has the prompt.
    const bool failed = std::find(request.avoid_.begin(), request.avoid_.end(), job.engine_)
        != request.avoid_.end();
    endEngineRun(state, now, job, failed);
    job.firstTokenSent_ = false;
    job.request_ = request;
    setTimes(job, now, request);
    const bool resultsLost = request.remake_
        || std::any_of(job.stages_.begin(), job.stages_.end(),
                       [](const StageWork &stage) { return stage.resultsFreed_; });
    if (resultsLost) {
        for (StageWork &stage : job.stages_)
            recomputeStage(stage);
    }
    addDecisionLine(effects, job,
                    std::string("plan_again remake=") + (resultsLost ? "true" : "false"));
}

void onPlanRequest(SchedulerState &state, Instant now, const std::string &peer,
                   const PlanRequest &request, SchedulerEffects &effects)
{
    const JobId id{peer, request.id_};
    const Job *known = findJob(state, id);
    if (known && request.round_ <= known->request_.round_)
        return;
    notePlanRequest(state.coldRates_, now);
    if (known) {
        if (state.granted_.contains(id))
            state.jobs_.insert(state.granted_.extract(id));
        removeWork(state.work_, id, state.jobs_.at(id));
        replan(state, now, state.jobs_.at(id), request, effects);
    } else {
        if (request.round_ > 1)
            beginTakeover(state, now); // another scheduler planned the request before
        state.jobs_.emplace(id, makeJob(state, now, request));
        adoptResults(state, now, state.jobs_.at(id), effects);
    }
    Job &job = state.jobs_.at(id);
    if (const char *problem = stageProblem(request)) {
        refuse(state, now, id, unavailableRetryAfter, problem, "", effects);
        return;
    }
    if (refuseIfQuarantined(state, now, id, job, effects))
        return;
    if (const nanoseconds wait = timeUntilServed(state, job, now); wait > nanoseconds(0)) {
        refuse(state, now, id, wait, "no_upstream", "", effects);
        return;
    }
    if (!hasStarted(job) && refuseIfLate(state, now, id, job, effects))
        return;
    EngineCost cost; // not computed for refused requests, of which there are many in a burst
    if (const Upstream *engine = chooseEngine(state, job, now, cost))
        job.targetDataCenter_ = engine->dataCenter_;
    job.timeToFirstToken_ =
        cost.prefillTime_ + meanPlusDeviation(state.prefillOverruns_[request.pool_]);
    if (!tryGrant(state, now, id, job, effects)) {
        updateWork(state.work_, state.jobs_.find(id)->first, job);
        requestDispatchOf(state, job, now);
    }
    dispatchCalls(state, now, effects);
}

void onPlanStarted(SchedulerState &state, Instant now, const std::string &peer,
                   const PlanStarted &started, SchedulerEffects &effects)
{
    const auto found = state.granted_.find(JobId{peer, started.id_});
    if (found == state.granted_.end() || found->second.request_.round_ != started.round_)
        return;
    Job &job = found->second;
    noteFirstToken(state, now, job, effects);
    if (const auto overrun = completePrefill(state.engines_[job.engine_], started.id_, now)) {
        addSample(state.prefillOverruns_[job.request_.pool_], *overrun);
        addSample(state.timesToFirstToken_[job.request_.route_], now - job.grantedAt_);
    }
    freeAllResults(state, now, found->second, effects);
}

void onPlanEnd(SchedulerState &state, Instant now, const std::string &peer, const PlanEnd &end,
               SchedulerEffects &effects)
{
    const JobId id{peer, end.id_};
    Job *job = findJob(state, id);
    if (!job)
        return;
    endEngineRun(state, now, *job, end.engineFailed_);
    if (end.served_)
        noteServed(state, now, *job, effects);
    if (!end.moved_)
        freeAllResults(state, now, *job, effects);
    eraseJob(state, id);
}

// Returns a piece without a result to the waiting state. If its inputs are gone, the pieces that
// produce them are processed again.
void onItemFailed(Job &job, std::uint32_t stage, std::uint32_t pieceIndex, ItemFailure failure)
{
    Piece &piece = job.stages_[stage].pieces_[pieceIndex];
    piece.state_ = PieceState::Waiting;
    if (failure == ItemFailure::Error)
        ++piece.failures_;
    if (failure == ItemFailure::InputGone) {
        for (const std::uint32_t predecessor : job.stages_[stage].predecessors_)
            job.stages_[predecessor].resultsFreed_ = true;
    }
    recomputeFreedInputs(job, stage);
}

// Stores the outcome of an item in its piece. Frees a result that is no longer wanted.
void onItemEnded(SchedulerState &state, Instant now, const StageCall &call, std::size_t index,
                 const StageItemResult &result, SchedulerEffects &effects)
{
    const PieceId &id = call.pieces_[index];
    const auto found = state.jobs_.find(id.job_);
    Piece *piece = nullptr;
    if (found != state.jobs_.end() && id.stage_ < found->second.stages_.size()
        && id.piece_ < found->second.stages_[id.stage_].pieces_.size())
        piece = &found->second.stages_[id.stage_].pieces_[id.piece_];
    const bool wanted = piece && piece->state_ == PieceState::Running;
    const Upstream *upstream = findUpstream(state, call.upstream_);
    if (result.failure_ != ItemFailure::None) {
        const PieceCapacity *capacity = pieceCapacity(state, call.pool_);
        effects.push_back(DecisionLine{
            "decision=piece_failed request=" + id.job_.request_ + " stage="
            + std::to_string(id.stage_) + " piece=" + std::to_string(id.piece_) + " upstream="
            + call.upstream_ + " reason=" + failureReason(result.failure_) + " room_bytes="
            + std::to_string(
                capacity ? availableBytes(state.stageUpstreams_[call.upstream_], *capacity, now)
                         : 0)
            + " held=" + std::to_string(state.stageUpstreams_[call.upstream_].heldResults_.size())
            + " wanted=" + (wanted ? "true" : "false")});
        if (wanted)
            onItemFailed(found->second, id.stage_, id.piece_, result.failure_);
        return;
    }
    if (!wanted) {
        if (upstream)
            effects.push_back(FreeResults{*upstream, {result.handle_}});
        return;
    }
    piece->state_ = PieceState::Done;
    piece->handle_ = result.handle_;
    piece->upstream_ = call.upstream_;
    piece->dataCenter_ = upstream ? upstream->dataCenter_ : std::string();
    const PieceCapacity *capacity = pieceCapacity(state, call.pool_);
    const nanoseconds lifetime = capacity ? capacity->resultLifetime_ : nanoseconds(0);
    state.stageUpstreams_[call.upstream_].heldResults_[result.handle_] = HeldResult{
        call.resultBytes_[index], now + lifetime, id.job_.request_, id.stage_, id.piece_};
}

// Whether the outcomes in an answer can be those of a call. Answers carry no id, and a faulty
// upstream may send the one to an earlier call again: another number of items, or results that
// other pieces have.
bool canBelongToCall(const StageUpstream &upstream, const StageCall &call,
                     const std::vector<StageItemResult> &items, Instant now)
{
    if (items.size() != call.pieces_.size())
        return false;
    std::set<std::string> handles;
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].failure_ != ItemFailure::None)
            continue;
        if (!handles.insert(items[i].handle_).second)
            return false;
        const PieceId &piece = call.pieces_[i];
        const auto held = upstream.heldResults_.find(items[i].handle_);
        if (held != upstream.heldResults_.end() && held->second.expiresAt_ > now
            && (held->second.request_ != piece.job_.request_ || held->second.stage_ != piece.stage_
                || held->second.piece_ != piece.piece_))
            return false;
    }
    return true;
}

// For each request of an ended call: refuses it after too many failures, otherwise frees consumed
// results and grants the request or reports its progress.
void updateRequestsOfCall(SchedulerState &state, Instant now, const StageCall &call,
                          SchedulerEffects &effects)
{
    std::set<JobId> requests;
    for (const PieceId &piece : call.pieces_)
        requests.insert(piece.job_);
    for (const JobId &id : requests) {
        const auto found = state.jobs_.find(id);
        if (found == state.jobs_.end())
            continue;
        Job &job = found->second;
        const bool failedTooOften =
            std::any_of(job.stages_.begin(), job.stages_.end(), [](const StageWork &stage) {
                return std::any_of(stage.pieces_.begin(), stage.pieces_.end(),
                                   [](const Piece &p) { return p.failures_ >= maxPieceFailures; });
            });
        if (failedTooOften) {
            refuse(state, now, id, unavailableRetryAfter, "stage_failed", "", effects);
            continue;
        }
        freeConsumedResults(state, now, job, effects);
        if (tryGrant(state, now, id, job, effects))
            continue;
        updateWork(state.work_, found->first, job);
        requestDispatchOf(state, job, now);
        reportProgress(call, id, job, effects);
    }
}

void onCallEnded(SchedulerState &state, Instant now, const StageCallEnded &event,
                 SchedulerEffects &effects)
{
    const auto found = state.calls_.find(event.call_);
    if (found == state.calls_.end())
        return;
    const StageCall call = std::move(found->second);
    state.calls_.erase(found);
    StageUpstream &upstream = state.stageUpstreams_[call.upstream_];
    upstream.call_ = 0;
    upstream.reservedBytes_ = 0;
    const nanoseconds duration = now - call.startedAt_;
    const bool answered = event.end_ == StageCallEnd::Done;
    const bool done = answered && canBelongToCall(upstream, call, event.items_, now);
    if (done) {
        noteSuccess(upstream.avoidance_);
        const double ratio =
            static_cast<double>(duration.count()) / static_cast<double>(call.expectedTime_.count());
        upstream.slowdown_ += slowdownWeight * (ratio - upstream.slowdown_);
    } else {
        effects.push_back(DecisionLine{
            "decision=stage_call_failed call=" + std::to_string(event.call_) + " pool=" + call.pool_
            + " upstream=" + call.upstream_ + " took_ms=" + millisecondsText(duration)
            + " end=" + std::to_string(static_cast<int>(event.end_))
            + " detail=" + (answered ? "the answer belongs to another call" : event.detail_)});
    }
    const Upstream *known = findUpstream(state, call.upstream_);
    if (known && recordNotice(state.notices_, *known, event.notice_, now))
        effects.push_back(DecisionLine{noticeText(*known, event.notice_)});
    if (answered && !done && known)
        effects.push_back(CloseConnections{*known});
    if (event.end_ == StageCallEnd::Refused)
        upstream.busyUntil_ = now + busyPause;
    else if (!done)
        noteFailure(upstream.avoidance_, initialAvoidance, now);
    if (event.end_ == StageCallEnd::Unreachable)
        invalidateResultsOf(state, call.upstream_, "unreachable", effects);
    const bool unsent =
        event.end_ == StageCallEnd::Refused || event.end_ == StageCallEnd::Unreachable;
    const ItemFailure callFailure = unsent ? ItemFailure::NotSent : ItemFailure::Error;
    for (std::size_t i = 0; i < call.pieces_.size(); ++i)
        onItemEnded(state, now, call, i, done ? event.items_[i] : StageItemResult{{}, callFailure},
                    effects);
    const bool storageFull = done
        && std::any_of(event.items_.begin(), event.items_.end(), [](const StageItemResult &item) {
                                 return item.failure_ == ItemFailure::StorageFull;
                             });
    if (storageFull)
        onStorageFull(state, now, call, event.items_);
    else if (done)
        recordStorageAvailable(state.stageUpstreams_[call.upstream_]);
    updateRequestsOfCall(state, now, call, effects);
    requestDispatch(state, call.pool_, now);
    dispatchCalls(state, now, effects);
}

// Whether the view shows that a previously listed upstream has ended: it has started again, or
// another one is listed at its address. One that is merely missing may only be late with its
// announcements, or still be serving before it leaves: its results are used until a call reports
// that they are gone.
bool hasEnded(const SchedulerState &state, const Upstream &previous)
{
    if (const Upstream *current = findUpstream(state, previous.name_))
        return current->agentBoot_ != previous.agentBoot_;
    const auto &upstreams = state.view_->upstreams_;
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [&](const Upstream &other) { return sameAddress(other, previous); });
}

void onView(SchedulerState &state, Instant now, const ViewPointer &view, SchedulerEffects &effects)
{
    const ViewPointer previousView = std::exchange(state.view_, view);
    for (const Upstream &upstream : previousView->upstreams_) {
        if (hasEnded(state, upstream))
            invalidateResultsOf(state, upstream.name_, "upstream_ended", effects);
    }
    for (auto &[id, job] : state.jobs_)
        estimateStageTimes(job, view->fleet_);
    for (auto &[id, job] : state.jobs_)
        updateWork(state.work_, id, job);
    state.upstreamsByPool_ = poolMembers(*view);
    const auto known = [&](const std::string &name) { return findByName(view->upstreams_, name); };
    std::erase_if(state.stageUpstreams_, [&](const auto &item) {
        return item.second.call_ == 0 && knownBytes(item.second, now) == 0 && !known(item.first);
    });
    state.candidates_.clear();
    std::erase_if(state.engines_, [&](const auto &item) {
        return item.second.runs_.empty() && !known(item.first);
    });
    updateQuarantines(state, now, effects);
    requestDispatchOfAll(state, now);
}

void onPeerLost(SchedulerState &state, Instant now, const std::string &peer,
                SchedulerEffects &effects)
{
    std::vector<JobId> dropped;
    for (const auto &[id, job] : state.jobs_) {
        if (id.entry_ == peer)
            dropped.push_back(id);
    }
    for (const JobId &id : dropped) {
        addDecisionLine(effects, state.jobs_.at(id), "drop reason=entry_lost entry=" + peer);
        freeAllResults(state, now, state.jobs_.at(id), effects);
        erasePlanned(state, state.jobs_.find(id));
    }
}

// Refuses requests whose callers will have given up before the first token. For the others, frees
// consumed results and retries the grant.
void sweepPlanned(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    std::vector<JobId> expired;
    for (auto next = state.jobs_.begin(); next != state.jobs_.end();) {
        auto &[id, job] = *next++; // advance first: a grant removes the request from the map
        if (now + remainingTime(job) > latestStagesEnd(job)) {
            expired.push_back(id);
            continue;
        }
        freeConsumedResults(state, now, job, effects);
        tryGrant(state, now, id, job, effects);
    }
    for (const JobId &id : expired)
        refuse(state, now, id, minRetryAfter, "deadline",
               "waited_ms=" + millisecondsText(now - state.jobs_.at(id).arrivedAt_)
                   + " until_start_deadline_ms="
                   + millisecondsText(state.jobs_.at(id).startDeadlineAt_ - now),
               effects);
}

// Frees results that engines have fetched. Drops requests whose entry never reported their end.
void sweepGranted(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    std::vector<JobId> orphaned;
    for (auto &[id, job] : state.granted_) {
        if (now > job.grantedAt_ + inputFetchTime)
            freeAllResults(state, now, job, effects);
        if (now > job.deadlineAt_ + orphanTimeout)
            orphaned.push_back(id);
    }
    for (const JobId &id : orphaned) {
        endEngineRun(state, now, state.granted_.at(id), false);
        eraseJob(state, id);
    }
}

void sweep(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    if (now < state.nextSweepAt_)
        return;
    state.nextSweepAt_ = now + sweepInterval;
    if (state.dispatchPausedUntil_ > now)
        state.nextSweepAt_ = std::min(state.nextSweepAt_, state.dispatchPausedUntil_);
    sweepPlanned(state, now, effects);
    sweepGranted(state, now, effects);
    removeOldGrants(state.coldRates_, now);
    sendDueFrees(state, now, effects);
    requestDispatchOfAll(state, now);
    dispatchCalls(state, now, effects);
}

void onLag(SchedulerState &state, nanoseconds lag)
{
    state.lag_ += (std::min(lag, maxLag) - state.lag_) / lagSamples;
}

void onPeerMessage(SchedulerState &state, Instant now, const PeerMessage &event,
                   SchedulerEffects &effects)
{
    std::visit(
        Overloaded{
            [&](const PlanRequest &m) { onPlanRequest(state, now, event.peer_, m, effects); },
            [&](const PlanStarted &m) { onPlanStarted(state, now, event.peer_, m, effects); },
            [&](const PlanEnd &m) {
                onPlanEnd(state, now, event.peer_, m, effects);
                dispatchCalls(state, now, effects);
            },
            [&](const RunCrashed &m) { onRunCrashed(state, now, m, effects); },
            [](const auto &) {},
        },
        event.message_);
}

} // namespace

Instant nextWake(const SchedulerState &state)
{
    constexpr nanoseconds idleDelay = seconds(3600);
    const bool idle = state.jobs_.empty() && state.granted_.empty() && state.pendingFrees_.empty();
    Instant sweepAt = idle ? state.nextSweepAt_ + idleDelay : state.nextSweepAt_;
    for (const auto &[pool, due] : state.dispatchDueAt_)
        sweepAt = std::min(sweepAt, std::max(due, state.dispatchPausedUntil_));
    return std::min(sweepAt, nextProposalAt(state.quarantines_));
}

void reduce(SchedulerState &state, Instant now, const SchedulerEvent &event,
            SchedulerEffects &effects)
{
    std::visit(Overloaded{
                   [&](const PeerMessage &e) { onPeerMessage(state, now, e, effects); },
                   [&](const PeerLost &e) { onPeerLost(state, now, e.peer_, effects); },
                   [&](const StageCallEnded &e) { onCallEnded(state, now, e, effects); },
                   [&](const SchedulerView &e) {
                       onView(state, now, e.view_, effects);
                       dispatchCalls(state, now, effects);
                   },
                   [&](const SchedulerLag &e) { onLag(state, e.lag_); },
                   [&](const Wake &) { dispatchCalls(state, now, effects); },
               },
               event);
    sweep(state, now, effects);
    storeQuarantines(state, now, effects);
}

} // namespace chervilspring
