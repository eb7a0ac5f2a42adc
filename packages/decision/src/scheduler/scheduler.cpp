#include "chervilspring/detail/scheduler/scheduler.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr nanoseconds sweepInterval =
    milliseconds(50); // for requests that can't be served any more
constexpr nanoseconds callSlack = milliseconds(500); // beyond the expected time of a call
constexpr int callLimitFactor = 3; // times the expected time of a call
constexpr nanoseconds busyPause = milliseconds(100); // before a full upstream is asked again
constexpr nanoseconds firstAvoidance = milliseconds(300); // after a failed call
constexpr std::uint32_t longestAvoidance = 4; // doublings
constexpr std::uint32_t maxPieceFailures = 3; // of one piece, then the request is refused
constexpr double slownessWeight = 0.3; // of the newest call in the moving mean
constexpr nanoseconds toleratedWait = milliseconds(50); // calls end in steps of this size
constexpr double returnedShare = 0.5; // of the time left, within which a returned request is kept
constexpr nanoseconds shortestRetry = milliseconds(100);
constexpr nanoseconds noEngineRetry = milliseconds(500); // while no engine is known
constexpr nanoseconds inputFetchTime = milliseconds(80); // a grant's way and a fetch over the links
constexpr nanoseconds forgetAfter = seconds(5); // past its deadline

std::string text(nanoseconds time)
{
    return std::to_string(time / milliseconds(1));
}

const Upstream *findUpstream(const SchedulerState &state, const std::string &name)
{
    return findByName(state.view_->upstreams_, name);
}

const PieceCapacity *piecesOf(const SchedulerState &state, const std::string &pool)
{
    const Pool *found = findByName(state.view_->fleet_.pools_, pool);
    return found && found->pieces_ ? &*found->pieces_ : nullptr;
}

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

void addLine(SchedulerEffects &effects, const Job &job, const std::string &what)
{
    effects.push_back(DecisionLine{"decision=" + what + " request=" + job.request_.id_
                                   + " round=" + std::to_string(job.request_.round_)});
}

// Gives results back, grouped by the upstream that holds them.
void freeStage(SchedulerState &state, Instant now, StageWork &stage, SchedulerEffects &effects)
{
    if (stage.freed_ || stage.pieces_.empty())
        return;
    stage.freed_ = true;
    std::map<std::string, std::vector<std::string>> handles;
    for (const Piece &piece : stage.pieces_) {
        if (piece.state_ == PieceState::Done)
            handles[piece.upstream_].push_back(piece.handle_);
    }
    for (auto &[name, list] : handles) {
        StageUpstream &maker = state.stageUpstreams_[name];
        for (const std::string &handle : list)
            giveBack(maker, handle, now);
        if (const Upstream *upstream = findUpstream(state, name))
            effects.push_back(FreeResults{*upstream, std::move(list)});
    }
}

void freeAll(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects)
{
    for (StageWork &stage : job.stages_)
        freeStage(state, now, stage, effects);
}

// Results that only stages need which are done by now.
void freeConsumed(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects)
{
    for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
        if (isFinal(job, stage) || !stageDone(job.stages_[stage]))
            continue;
        const bool needed =
            std::any_of(job.stages_.begin(), job.stages_.end(), [&](const StageWork &other) {
                return std::find(other.after_.begin(), other.after_.end(), stage)
                    != other.after_.end()
                    && !stageDone(other);
            });
        if (!needed)
            freeStage(state, now, job.stages_[stage], effects);
    }
}

void remakeStage(StageWork &stage)
{
    stage.freed_ = false;
    for (Piece &piece : stage.pieces_) {
        if (piece.state_ == PieceState::Done)
            piece = Piece{PieceState::Waiting, {}, {}, piece.failures_};
    }
}

void leaveEngine(SchedulerState &state, Instant now, Job &job, bool failed)
{
    if (job.engine_.empty())
        return;
    endRun(state.engines_[job.engine_], job.request_.id_, failed, now);
    job.engine_.clear();
}

void refuse(SchedulerState &state, Instant now, const JobId &id, nanoseconds retryAfter,
            const std::string &reason, SchedulerEffects &effects)
{
    const auto found = state.jobs_.find(id);
    if (found == state.jobs_.end())
        return;
    Job &job = found->second;
    addLine(effects, job, "refuse reason=" + reason + " retry_after_ms=" + text(retryAfter));
    effects.push_back(SendToPeer{
        id.entry_, PlanRefusal{job.request_.id_, job.request_.round_, retryAfter, reason}});
    freeAll(state, now, job, effects);
    state.jobs_.erase(found);
}

InputBytes inputBytes(const SchedulerState &state, const Job &job)
{
    InputBytes bytes;
    for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
        if (!isFinal(job, stage))
            continue;
        for (const Piece &piece : job.stages_[stage].pieces_) {
            const Upstream *maker = findUpstream(state, piece.upstream_);
            bytes[maker ? maker->dataCenter_ : std::string()] += job.stages_[stage].resultBytes_;
        }
    }
    return bytes;
}

// The engine with the lowest cost; avoided ones only if there is no other.
const Upstream *chooseEngine(const SchedulerState &state, const Job &job, Instant now,
                             EngineCost &chosenCost)
{
    const auto pool = state.upstreamsByPool_.find(job.request_.pool_);
    const Pool *spec = findByName(state.view_->fleet_.pools_, job.request_.pool_);
    if (pool == state.upstreamsByPool_.end() || !spec || !spec->engine_)
        return nullptr;
    const InputBytes inputs = inputBytes(state, job);
    const Upstream *chosen = nullptr;
    bool chosenAvoided = true;
    static const Engine unknown;
    for (const std::string &name : pool->second) {
        const Upstream *upstream = findUpstream(state, name);
        if (!upstream)
            continue;
        const auto known = state.engines_.find(name);
        const Engine &engine = known == state.engines_.end() ? unknown : known->second;
        const EngineCost cost =
            weighEngine(engine, *upstream, *spec->engine_, job.request_, inputs, now);
        if (cost.full_)
            continue;
        const auto &avoid = job.request_.avoid_;
        const bool avoided =
            engine.avoidUntil_ > now || std::find(avoid.begin(), avoid.end(), name) != avoid.end();
        const bool better = !chosen || (chosenAvoided && !avoided)
            || (chosenAvoided == avoided && isBetter(cost, chosenCost));
        if (!better)
            continue;
        chosen = upstream;
        chosenAvoided = avoided;
        chosenCost = cost;
    }
    return chosen;
}

// Hands a request whose stages are done to an engine.
void tryGrant(SchedulerState &state, Instant now, const JobId &id, Job &job,
              SchedulerEffects &effects)
{
    if (job.granted_ || !allDone(job))
        return;
    EngineCost cost;
    const Upstream *upstream = chooseEngine(state, job, now, cost);
    if (!upstream)
        return; // asked again with each sweep
    job.granted_ = true;
    job.grantedAt_ = now;
    job.engine_ = upstream->name_;
    startRun(state.engines_[upstream->name_], job.request_, cost, now);
    addLine(effects, job,
            "grant upstream=" + upstream->name_ + " unread_tokens="
                + std::to_string(cost.unreadTokens_) + " wait_ms=" + text(cost.wait_)
                + " crossing_bytes=" + std::to_string(cost.crossingBytes_) + " stages_ms="
                + text(now - job.arrivedAt_) + " view=" + std::to_string(state.view_->version_));
    effects.push_back(SendToPeer{id.entry_,
                                 PlanGrant{job.request_.id_, job.request_.round_, upstream->name_,
                                           upstream->agentBoot_, finalHandles(job)}});
}

bool isIdle(const SchedulerState &state, const std::string &name, Instant now)
{
    const auto known = state.stageUpstreams_.find(name);
    return known == state.stageUpstreams_.end()
        || (known->second.call_ == 0 && known->second.avoidUntil_ <= now);
}

std::vector<const Upstream *> idleUpstreams(const SchedulerState &state, const std::string &pool,
                                            Instant now)
{
    std::vector<const Upstream *> idle;
    const auto list = state.upstreamsByPool_.find(pool);
    if (list == state.upstreamsByPool_.end())
        return idle;
    for (const std::string &name : list->second) {
        const Upstream *upstream = findUpstream(state, name);
        if (upstream && isIdle(state, name, now))
            idle.push_back(upstream);
    }
    const auto slowness = [&](const Upstream *upstream) {
        const auto known = state.stageUpstreams_.find(upstream->name_);
        return known == state.stageUpstreams_.end() ? 1.0 : known->second.slowness_;
    };
    std::stable_sort(idle.begin(), idle.end(), [&](const Upstream *a, const Upstream *b) {
        return slowness(a) < slowness(b);
    });
    return idle;
}

StageItem makeItem(const Job &job, const PieceId &id, Instant now)
{
    StageItem item;
    item.request_ = id.job_.request_;
    item.stage_ = id.stage_;
    item.piece_ = id.piece_;
    item.remaining_ = job.deadlineAt_ - now;
    item.hasInputs_ = !job.stages_[id.stage_].after_.empty();
    if (item.hasInputs_)
        item.inputs_ = inputsOf(job, id.stage_);
    else
        item.key_ = job.request_.pieceKey_;
    return item;
}

void startCall(SchedulerState &state, Instant now, const std::string &pool,
               const PieceCapacity &capacity, const Upstream &upstream,
               const std::vector<ReadyPiece> &pieces, SchedulerEffects &effects)
{
    StageUpstream &maker = state.stageUpstreams_[upstream.name_];
    StageCall call;
    call.pool_ = pool;
    call.upstream_ = upstream.name_;
    call.startedAt_ = now;
    call.expected_ = callTime(capacity, pieces.size());
    StartStageCall start;
    start.call_ = state.nextCall_++;
    start.upstream_ = upstream;
    start.limit_ = call.expected_ * callLimitFactor + callSlack;
    for (const ReadyPiece &piece : pieces) {
        Job &job = state.jobs_.at(piece.id_.job_);
        job.stages_[piece.id_.stage_].pieces_[piece.id_.piece_].state_ = PieceState::Running;
        start.items_.push_back(makeItem(job, piece.id_, now));
        call.pieces_.push_back(piece.id_);
        call.resultBytes_.push_back(piece.resultBytes_);
        maker.reservedBytes_ += piece.resultBytes_;
    }
    maker.call_ = start.call_;
    effects.push_back(DecisionLine{
        "decision=stage_call call=" + std::to_string(start.call_) + " pool=" + pool + " upstream="
        + upstream.name_ + " pieces=" + std::to_string(pieces.size()) + " first_request="
        + pieces.front().id_.job_.request_ + " expected_ms=" + text(call.expected_)});
    state.calls_[start.call_] = std::move(call);
    effects.push_back(std::move(start));
}

// The idle upstream that the most urgent piece has its inputs next to; the fastest among equals.
const Upstream *takeNearest(std::vector<const Upstream *> &idle,
                            const std::vector<ReadyPiece> &ready)
{
    const auto &first =
        *std::min_element(ready.begin(), ready.end(), [](const ReadyPiece &a, const ReadyPiece &b) {
            return goesBefore(a, b, {});
        });
    const auto nearest =
        std::min_element(idle.begin(), idle.end(), [&](const Upstream *a, const Upstream *b) {
            return crossingBytes(first, a->dataCenter_) < crossingBytes(first, b->dataCenter_);
        });
    const Upstream *upstream = *nearest;
    idle.erase(nearest);
    return upstream;
}

// Fills one call for each idle upstream of a pool.
void dispatchPool(SchedulerState &state, Instant now, const std::string &pool,
                  const PieceCapacity &capacity, SchedulerEffects &effects)
{
    auto idle = idleUpstreams(state, pool, now);
    if (idle.empty())
        return;
    auto ready = readyPieces(state.jobs_, pool, *state.view_, now);
    while (!idle.empty() && !ready.empty()) {
        const Upstream *upstream = takeNearest(idle, ready);
        std::sort(ready.begin(), ready.end(), [&](const ReadyPiece &a, const ReadyPiece &b) {
            return goesBefore(a, b, upstream->dataCenter_);
        });
        const std::uint64_t room = freeRoom(state.stageUpstreams_[upstream->name_], capacity, now);
        const auto pieces = takeForCall(ready, capacity.batch_, room, capacity.resultBytes_);
        if (!pieces.empty())
            startCall(state, now, pool, capacity, *upstream, pieces, effects);
    }
}

void dispatch(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    for (const Pool &pool : state.view_->fleet_.pools_) {
        if (pool.pieces_)
            dispatchPool(state, now, pool.name_, *pool.pieces_, effects);
    }
}

// Time for which a pool is taken by what goes before a new request.
nanoseconds poolWait(const SchedulerState &state, const std::string &pool, const Job &job,
                     Instant now)
{
    const PieceCapacity *capacity = piecesOf(state, pool);
    const auto list = state.upstreamsByPool_.find(pool);
    if (!capacity || list == state.upstreamsByPool_.end() || list->second.empty())
        return nanoseconds(0);
    double perSecond = 0;
    for (const std::string &name : list->second) {
        const auto known = state.stageUpstreams_.find(name);
        const double slowness =
            known == state.stageUpstreams_.end() ? 1.0 : known->second.slowness_;
        const double full =
            std::chrono::duration<double>(callTime(*capacity, capacity->batch_)).count();
        perSecond += capacity->batch_ / (full * slowness);
    }
    const auto pieces =
        static_cast<double>(backlogBefore(state.jobs_, pool, job, state.view_->fleet_, now));
    return nanoseconds(static_cast<std::int64_t>(pieces / perSecond * 1e9));
}

nanoseconds predictedTime(const SchedulerState &state, const Job &job, Instant now)
{
    std::map<std::string, nanoseconds> waits;
    for (const StageWork &stage : job.stages_) {
        if (!stage.pieces_.empty() && !waits.contains(stage.pool_))
            waits[stage.pool_] = poolWait(state, stage.pool_, job, now);
    }
    return finishTime(job, state.view_->fleet_, waits);
}

// Refuses a new request that the load would make late, as long as it is early enough to come back.
// What waits for nobody is taken even if it is late.
bool refuseLate(SchedulerState &state, Instant now, const JobId &id, const Job &job,
                SchedulerEffects &effects)
{
    const nanoseconds predicted = predictedTime(state, job, now);
    const nanoseconds alone = remainingTime(job, state.view_->fleet_);
    const nanoseconds untilDeadline = job.deadlineAt_ - now;
    const bool hopeless = predicted > untilDeadline;
    const bool crowdedOut = now + predicted > job.objectiveAt_ && predicted - alone > toleratedWait;
    const bool returned = now + alone > job.objectiveAt_; // late before it came
    const bool worthWaiting =
        returned && predicted.count() < static_cast<double>(untilDeadline.count()) * returnedShare;
    if (!hopeless && (!crowdedOut || worthWaiting))
        return false;
    const nanoseconds clear = std::max(shortestRetry, predicted - alone);
    refuse(state, now, id, clear,
           std::string(hopeless ? "deadline" : "objective") + " predicted_ms=" + text(predicted)
               + " alone_ms=" + text(alone),
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
    return job;
}

// A request that comes again, because its engine refused it or failed.
void planAgain(SchedulerState &state, Instant now, Job &job, const PlanRequest &request,
               SchedulerEffects &effects)
{
    leaveEngine(state, now, job, true);
    job.request_ = request;
    job.granted_ = false;
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
    auto found = state.jobs_.find(id);
    if (found != state.jobs_.end()) {
        if (request.round_ > found->second.request_.round_)
            planAgain(state, now, found->second, request, effects);
    } else {
        found = state.jobs_.emplace(id, makeJob(state, now, request)).first;
    }
    Job &job = found->second;
    if (!poolsServed(state, job)) {
        refuse(state, now, id, noEngineRetry, "no_upstream", effects);
        return;
    }
    EngineCost cost;
    if (const Upstream *engine = chooseEngine(state, job, now, cost))
        job.target_ = engine->dataCenter_;
    if (!hasBegun(job) && refuseLate(state, now, id, job, effects))
        return;
    tryGrant(state, now, id, job, effects);
    dispatch(state, now, effects);
}

void onPlanStarted(SchedulerState &state, Instant now, const std::string &peer,
                   const PlanStarted &started, SchedulerEffects &effects)
{
    const auto found = state.jobs_.find(JobId{peer, started.id_});
    if (found == state.jobs_.end() || found->second.request_.round_ != started.round_)
        return;
    promptRead(state.engines_[found->second.engine_], started.id_);
    freeAll(state, now, found->second, effects);
}

void onPlanEnd(SchedulerState &state, Instant now, const std::string &peer, const PlanEnd &end,
               SchedulerEffects &effects)
{
    const auto found = state.jobs_.find(JobId{peer, end.id_});
    if (found == state.jobs_.end())
        return;
    leaveEngine(state, now, found->second, !end.served_ && end.detail_ == "engine_failed");
    freeAll(state, now, found->second, effects);
    state.jobs_.erase(found);
}

void avoid(StageUpstream &upstream, Instant now)
{
    const std::uint32_t doublings = std::min(upstream.failures_, longestAvoidance);
    upstream.avoidUntil_ = now + firstAvoidance * (1 << doublings);
    ++upstream.failures_;
}

// An item without a result waits again, with whatever it needs made anew.
void onItemFailed(Job &job, std::uint32_t stage, std::uint32_t piece, ItemFailure failure)
{
    Piece &item = job.stages_[stage].pieces_[piece];
    item.state_ = PieceState::Waiting;
    if (failure == ItemFailure::Error)
        ++item.failures_;
    if (failure != ItemFailure::InputGone)
        return;
    for (const std::uint32_t before : job.stages_[stage].after_)
        remakeStage(job.stages_[before]);
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
            refuse(state, now, id, noEngineRetry, "stage_failed", effects);
            continue;
        }
        freeConsumed(state, now, job, effects);
        tryGrant(state, now, id, job, effects);
    }
}

// The results of an upstream that is gone have to be made again elsewhere.
void loseResultsOf(SchedulerState &state, const std::string &upstream, const std::string &reason,
                   SchedulerEffects &effects)
{
    std::size_t lost = 0;
    for (auto &[id, job] : state.jobs_)
        lost += loseResults(job, upstream);
    state.stageUpstreams_[upstream].held_.clear();
    if (lost > 0)
        effects.push_back(DecisionLine{"decision=results_lost upstream=" + upstream
                                       + " pieces=" + std::to_string(lost) + " reason=" + reason});
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
        upstream.failures_ = 0;
        const double ratio =
            static_cast<double>(took.count()) / static_cast<double>(call.expected_.count());
        upstream.slowness_ += slownessWeight * (ratio - upstream.slowness_);
    } else {
        effects.push_back(DecisionLine{
            "decision=stage_call_failed call=" + std::to_string(event.call_) + " pool=" + call.pool_
            + " upstream=" + call.upstream_ + " took_ms=" + text(took)
            + " end=" + std::to_string(static_cast<int>(event.end_)) + " detail=" + event.detail_});
    }
    if (event.end_ == StageCallEnd::Refused)
        upstream.avoidUntil_ = now + busyPause;
    else if (!done)
        avoid(upstream, now);
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
        noteNoRoom(state.stageUpstreams_[call.upstream_], now);
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
        if (id.entry_ == peer && !job.granted_)
            dropped.push_back(id);
    }
    for (const JobId &id : dropped) {
        addLine(effects, state.jobs_.at(id), "drop reason=entry_lost entry=" + peer);
        freeAll(state, now, state.jobs_.at(id), effects);
        state.jobs_.erase(id);
    }
}

// Refuses what can't be served any more and forgets granted requests whose entry never reported.
void sweep(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    if (now < state.sweepAt_)
        return;
    state.sweepAt_ = now + sweepInterval;
    std::vector<JobId> expired;
    std::vector<JobId> forgotten;
    for (auto &[id, job] : state.jobs_) {
        if (job.granted_) {
            if (now > job.grantedAt_ + inputFetchTime)
                freeAll(state, now, job, effects);
            if (now > job.deadlineAt_ + forgetAfter)
                forgotten.push_back(id);
            continue;
        }
        if (now + remainingTime(job, state.view_->fleet_) > job.deadlineAt_)
            expired.push_back(id);
        else
            tryGrant(state, now, id, job, effects);
    }
    for (const JobId &id : expired)
        refuse(state, now, id, shortestRetry, "deadline", effects);
    for (const JobId &id : forgotten) {
        leaveEngine(state, now, state.jobs_.at(id), false);
        freeAll(state, now, state.jobs_.at(id), effects);
        state.jobs_.erase(id);
    }
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
    return state.jobs_.empty() ? state.sweepAt_ + longest : state.sweepAt_;
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
