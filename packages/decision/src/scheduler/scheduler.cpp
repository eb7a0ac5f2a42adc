#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring {

using namespace scheduling;

namespace {

constexpr nanoseconds sweepInterval = milliseconds(50); // for what can't be served any more
constexpr nanoseconds busyPause = milliseconds(100); // before a full upstream is asked again
constexpr nanoseconds firstAvoidance = milliseconds(300); // after a failed call
constexpr std::uint32_t maxPieceFailures = 3; // of one piece, then the request is refused
constexpr double slownessWeight = 0.3; // of the newest call in the moving mean
constexpr nanoseconds shortestRetry = milliseconds(100);
constexpr nanoseconds noEngineRetry = milliseconds(500); // while no engine is known
constexpr nanoseconds forgetAfter = seconds(5); // past its deadline

const char *failureText(ItemFailure failure)
{
    switch (failure) {
    case ItemFailure::None:
        return "none";
    case ItemFailure::Late:
        return "late";
    case ItemFailure::InputGone:
        return "input_gone";
    case ItemFailure::NoRoom:
        return "no_room";
    case ItemFailure::NotSent:
        return "not_sent";
    case ItemFailure::Error:
        return "error";
    }
    return "?";
}

Job makeJob(const SchedulerState &state, Instant now, const PlanRequest &request)
{
    Job job;
    job.request_ = request;
    job.arrivedAt_ = now;
    job.objectiveAt_ = now + request.untilObjective_;
    job.deadlineAt_ = now + request.untilDeadline_;
    const RouteSpec *route = findByName(state.view_->fleet_.routes_, request.route_);
    if (!route)
        return job;
    for (std::size_t i = 0; i < route->stages_.size(); ++i) {
        StageWork stage;
        stage.pool_ = route->stages_[i].pool_;
        stage.after_ = route->stages_[i].after_;
        stage.resultBytes_ = route->stages_[i].resultBytes_;
        stage.pieces_.resize(i < request.pieceCounts_.size() ? request.pieceCounts_[i] : 0);
        job.stages_.push_back(std::move(stage));
    }
    estimateStages(job, state.view_->fleet_);
    return job;
}

// A request that comes again, because its engine refused it or failed.
void planAgain(SchedulerState &state, Instant now, Job &job, const PlanRequest &request,
               SchedulerEffects &effects)
{
    // Results that were gone are no fault of the engine: it stays the place where the prompt is
    // read.
    const bool failed = std::find(request.avoid_.begin(), request.avoid_.end(), job.engine_)
        != request.avoid_.end();
    leaveEngine(state, now, job, failed);
    job.request_ = request;
    job.objectiveAt_ = now + request.untilObjective_;
    job.deadlineAt_ = now + request.untilDeadline_;
    const bool gone = request.remake_
        || std::any_of(job.stages_.begin(), job.stages_.end(),
                       [](const StageWork &stage) { return stage.freed_; });
    if (gone) {
        for (StageWork &stage : job.stages_)
            remakeStage(stage);
    }
    addLine(effects, job, std::string("plan_again remake=") + (gone ? "true" : "false"));
}

void onPlanRequest(SchedulerState &state, Instant now, const std::string &peer,
                   const PlanRequest &request, SchedulerEffects &effects)
{
    const JobId id{peer, request.id_};
    const Job *known = findJob(state, id);
    if (known && request.round_ <= known->request_.round_)
        return;
    if (known) {
        if (state.granted_.contains(id))
            state.jobs_.insert(state.granted_.extract(id));
        planAgain(state, now, state.jobs_.at(id), request, effects);
    } else {
        if (request.round_ > 1)
            takeOver(state, now);
        state.jobs_.emplace(id, makeJob(state, now, request));
        takeResults(state, now, state.jobs_.at(id), effects);
    }
    Job &job = state.jobs_.at(id);
    if (!poolsServed(state, job)) {
        refuse(state, now, id, noEngineRetry, "no_upstream", "", effects);
        return;
    }
    EngineCost cost;
    if (const Upstream *engine = chooseEngine(state, job, now, cost))
        job.target_ = engine->dataCenter_;
    job.engineTime_ = cost.wait_ + likelyTime(state.startOverruns_[request.pool_]);
    if (!hasBegun(job) && refuseLate(state, now, id, job, effects))
        return;
    tryGrant(state, now, id, job, effects);
    dispatch(state, now, effects);
}

void onPlanStarted(SchedulerState &state, Instant now, const std::string &peer,
                   const PlanStarted &started, SchedulerEffects &effects)
{
    const auto found = state.granted_.find(JobId{peer, started.id_});
    if (found == state.granted_.end() || found->second.request_.round_ != started.round_)
        return;
    const Job &job = found->second;
    if (const auto overrun = promptRead(state.engines_[job.engine_], started.id_, now)) {
        noteTime(state.startOverruns_[job.request_.pool_], *overrun);
        noteTime(state.startTimes_[job.request_.route_], now - job.grantedAt_);
    }
    freeAll(state, now, found->second, effects);
}

void onPlanEnd(SchedulerState &state, Instant now, const std::string &peer, const PlanEnd &end,
               SchedulerEffects &effects)
{
    const JobId id{peer, end.id_};
    Job *job = findJob(state, id);
    if (!job)
        return;
    leaveEngine(state, now, *job, end.engineFailed_);
    if (!end.moved_)
        freeAll(state, now, *job, effects);
    forget(state, id);
}

// An item without a result waits again, with whatever it needs made anew.
void onItemFailed(Job &job, std::uint32_t stage, std::uint32_t piece, ItemFailure failure)
{
    Piece &item = job.stages_[stage].pieces_[piece];
    item.state_ = PieceState::Waiting;
    if (failure == ItemFailure::Error)
        ++item.failures_;
    if (failure == ItemFailure::InputGone) {
        for (const std::uint32_t before : job.stages_[stage].after_)
            job.stages_[before].freed_ = true;
    }
    restoreInputs(job, stage);
}

void onItemDone(SchedulerState &state, Instant now, const StageCall &call, std::size_t index,
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
        const PieceCapacity *capacity = piecesOf(state, call.pool_);
        effects.push_back(DecisionLine{
            "decision=piece_failed request=" + id.job_.request_ + " stage="
            + std::to_string(id.stage_) + " piece=" + std::to_string(id.piece_) + " upstream="
            + call.upstream_ + " reason=" + failureText(result.failure_) + " room_bytes="
            + std::to_string(
                capacity ? freeRoom(state.stageUpstreams_[call.upstream_], *capacity, now) : 0)
            + " held=" + std::to_string(state.stageUpstreams_[call.upstream_].held_.size())
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
    const PieceCapacity *capacity = piecesOf(state, call.pool_);
    const nanoseconds lifetime = capacity ? capacity->resultLifetime_ : nanoseconds(0);
    state.stageUpstreams_[call.upstream_].held_[result.handle_] =
        HeldResult{call.resultBytes_[index], now + lifetime};
}

void afterCall(SchedulerState &state, Instant now, const StageCall &call, SchedulerEffects &effects)
{
    std::set<JobId> touched;
    for (const PieceId &piece : call.pieces_)
        touched.insert(piece.job_);
    for (const JobId &id : touched) {
        const auto found = state.jobs_.find(id);
        if (found == state.jobs_.end())
            continue;
        Job &job = found->second;
        const bool hopeless =
            std::any_of(job.stages_.begin(), job.stages_.end(), [](const StageWork &stage) {
                return std::any_of(stage.pieces_.begin(), stage.pieces_.end(),
                                   [](const Piece &p) { return p.failures_ >= maxPieceFailures; });
            });
        if (hopeless) {
            refuse(state, now, id, noEngineRetry, "stage_failed", "", effects);
            continue;
        }
        freeConsumed(state, now, job, effects);
        if (!tryGrant(state, now, id, job, effects))
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
    const nanoseconds took = now - call.startedAt_;
    const bool done =
        event.end_ == StageCallEnd::Done && event.items_.size() == call.pieces_.size();
    if (done) {
        noteSuccess(upstream.avoidance_);
        const double ratio =
            static_cast<double>(took.count()) / static_cast<double>(call.expected_.count());
        upstream.slowness_ += slownessWeight * (ratio - upstream.slowness_);
    } else {
        effects.push_back(DecisionLine{
            "decision=stage_call_failed call=" + std::to_string(event.call_) + " pool=" + call.pool_
            + " upstream=" + call.upstream_ + " took_ms=" + millisecondsText(took)
            + " end=" + std::to_string(static_cast<int>(event.end_)) + " detail=" + event.detail_});
    }
    if (event.end_ == StageCallEnd::Refused)
        upstream.busyUntil_ = now + busyPause;
    else if (!done)
        noteFailure(upstream.avoidance_, firstAvoidance, now);
    if (event.end_ == StageCallEnd::Unreachable)
        loseResultsOf(state, call.upstream_, "unreachable", effects);
    const bool unsent =
        event.end_ == StageCallEnd::Refused || event.end_ == StageCallEnd::Unreachable;
    const ItemFailure whole = unsent ? ItemFailure::NotSent : ItemFailure::Error;
    for (std::size_t i = 0; i < call.pieces_.size(); ++i)
        onItemDone(state, now, call, i, done ? event.items_[i] : StageItemResult{{}, whole},
                   effects);
    const bool full =
        std::any_of(event.items_.begin(), event.items_.end(), [](const StageItemResult &item) {
            return item.failure_ == ItemFailure::NoRoom;
        });
    if (full)
        onNoRoom(state, now, call, event.items_);
    else if (done)
        noteRoom(state.stageUpstreams_[call.upstream_]);
    afterCall(state, now, call, effects);
    dispatch(state, now, effects);
}

void takeView(SchedulerState &state, const ViewPointer &view, SchedulerEffects &effects)
{
    const ViewPointer before = std::exchange(state.view_, view);
    for (const Upstream &upstream : before->upstreams_) {
        if (!findUpstream(state, upstream.name_))
            loseResultsOf(state, upstream.name_, "gone", effects);
    }
    for (auto &[id, job] : state.jobs_)
        estimateStages(job, view->fleet_);
    state.upstreamsByPool_.clear();
    for (const auto &[pool, upstreams] : poolMembers(*view)) {
        auto &names = state.upstreamsByPool_[pool];
        for (const Upstream *upstream : upstreams)
            names.push_back(upstream->name_);
    }
    const auto known = [&](const std::string &name) { return findByName(view->upstreams_, name); };
    std::erase_if(state.stageUpstreams_,
                  [&](const auto &item) { return item.second.call_ == 0 && !known(item.first); });
    std::erase_if(state.engines_, [&](const auto &item) {
        return item.second.runs_.empty() && !known(item.first);
    });
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
        addLine(effects, state.jobs_.at(id), "drop reason=entry_lost entry=" + peer);
        freeAll(state, now, state.jobs_.at(id), effects);
        state.jobs_.erase(id);
    }
}

// Refuses what can't be served any more.
void sweepPlanned(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    std::vector<JobId> expired;
    for (auto next = state.jobs_.begin(); next != state.jobs_.end();) {
        auto &[id, job] = *next++; // a grant takes the request out
        if (now + remainingTime(job) > job.deadlineAt_) {
            expired.push_back(id);
            continue;
        }
        freeConsumed(state, now, job, effects);
        tryGrant(state, now, id, job, effects);
    }
    for (const JobId &id : expired)
        refuse(state, now, id, shortestRetry, "deadline",
               "waited_ms=" + millisecondsText(now - state.jobs_.at(id).arrivedAt_), effects);
}

// Gives results back that engines have fetched, and forgets requests whose entry never reported.
void sweepGranted(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    std::vector<JobId> forgotten;
    for (auto &[id, job] : state.granted_) {
        if (now > job.grantedAt_ + inputFetchTime)
            freeAll(state, now, job, effects);
        if (now > job.deadlineAt_ + forgetAfter)
            forgotten.push_back(id);
    }
    for (const JobId &id : forgotten) {
        leaveEngine(state, now, state.granted_.at(id), false);
        forget(state, id);
    }
}

void sweep(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    if (now < state.sweepAt_)
        return;
    state.sweepAt_ = now + sweepInterval;
    if (state.dispatchAt_ > now)
        state.sweepAt_ = std::min(state.sweepAt_, state.dispatchAt_);
    sweepPlanned(state, now, effects);
    sweepGranted(state, now, effects);
    dispatch(state, now, effects);
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
                dispatch(state, now, effects);
            },
            [](const auto &) {},
        },
        event.message_);
}

} // namespace

Instant nextWake(const SchedulerState &state)
{
    constexpr nanoseconds longest = seconds(3600);
    const bool idle = state.jobs_.empty() && state.granted_.empty();
    return idle ? state.sweepAt_ + longest : state.sweepAt_;
}

void reduce(SchedulerState &state, Instant now, const SchedulerEvent &event,
            SchedulerEffects &effects)
{
    std::visit(Overloaded{
                   [&](const PeerMessage &e) { onPeerMessage(state, now, e, effects); },
                   [&](const PeerLost &e) { onPeerLost(state, now, e.peer_, effects); },
                   [&](const StageCallEnded &e) { onCallEnded(state, now, e, effects); },
                   [&](const SchedulerView &e) {
                       takeView(state, e.view_, effects);
                       dispatch(state, now, effects);
                   },
                   [](const Wake &) {},
               },
               event);
    sweep(state, now, effects);
}

} // namespace chervilspring
