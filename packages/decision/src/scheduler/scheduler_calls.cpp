#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring::scheduling {

namespace {

// Timeout of a call: multiple of its expected duration, plus a constant.
constexpr nanoseconds callTimeoutMargin = milliseconds(500);
constexpr int callTimeoutFactor = 3;

bool isIdle(const SchedulerState &state, const std::string &name, Instant now)
{
    const auto known = state.stageUpstreams_.find(name);
    return known == state.stageUpstreams_.end()
        || (known->second.call_ == 0 && known->second.busyUntil_ <= now
            && !isAvoided(known->second.avoidance_, now));
}

// Returns the upstreams of a pool that can take a call now, least slowed down first.
std::vector<const Upstream *> idleUpstreams(const SchedulerState &state, const std::string &pool,
                                            Instant now)
{
    std::vector<const Upstream *> idle;
    const auto upstreams = state.upstreamsByPool_.find(pool);
    if (upstreams == state.upstreamsByPool_.end())
        return idle;
    for (const Upstream *upstream : upstreams->second) {
        if (isIdle(state, upstream->name_, now)
            && usableFrom(state.notices_, *upstream, now) == Instant{})
            idle.push_back(upstream);
    }
    const auto slowdown = [&](const Upstream *upstream) {
        const auto known = state.stageUpstreams_.find(upstream->name_);
        return known == state.stageUpstreams_.end() ? 1.0 : known->second.slowdown_;
    };
    std::stable_sort(idle.begin(), idle.end(), [&](const Upstream *a, const Upstream *b) {
        return slowdown(a) < slowdown(b);
    });
    return idle;
}

StageItem makeItem(const Job &job, const PieceId &id, Instant now)
{
    StageItem item;
    item.request_ = id.job_.request_;
    item.stage_ = id.stage_;
    item.piece_ = id.piece_;
    item.remaining_ = job.startDeadlineAt_ - now;
    item.hasInputs_ = !job.stages_[id.stage_].predecessors_.empty();
    if (item.hasInputs_)
        item.inputs_ = inputHandles(job, id.stage_);
    else
        item.key_ = job.request_.pieceKey_;
    return item;
}

std::size_t pieceCount(const std::vector<ReadyStage> &ready)
{
    std::size_t count = 0;
    for (const ReadyStage &stage : ready)
        count += stage.pieces_.size();
    return count;
}

// Returns what keeps a call from taking more of the waiting pieces: "nothing" if none wait or the
// batch is full, "places" if the rest of the batch is too small for a whole stage, "room" if the
// upstream lacks storage.
const char *limitingResource(const PieceCapacity &capacity, std::size_t pieces,
                             const std::vector<ReadyStage> &waiting, std::uint64_t remainingBytes)
{
    if (waiting.empty() || pieces >= batchSize(capacity))
        return "nothing";
    const bool fits = std::any_of(waiting.begin(), waiting.end(), [&](const ReadyStage &stage) {
        return stage.resultBytes_ <= remainingBytes;
    });
    return fits ? "places" : "room";
}

void startCall(SchedulerState &state, Instant now, const std::string &pool,
               const PieceCapacity &capacity, const Upstream &upstream,
               const std::vector<CallPiece> &pieces, const std::vector<ReadyStage> &waiting,
               SchedulerEffects &effects)
{
    StageUpstream &stageUpstream = state.stageUpstreams_[upstream.name_];
    StageCall call;
    call.pool_ = pool;
    call.upstream_ = upstream.name_;
    call.startedAt_ = now;
    call.knownBytesAtStart_ = knownBytes(stageUpstream, now);
    call.expectedTime_ = expectedCallTime(capacity, pieces.size());
    StartStageCall start;
    start.call_ = state.nextCallId_++;
    start.upstream_ = upstream;
    start.limit_ = call.expectedTime_ * callTimeoutFactor + callTimeoutMargin;
    const std::uint64_t storage = availableBytes(stageUpstream, capacity, now);
    for (const CallPiece &piece : pieces) {
        Job &job = state.jobs_.at(piece.id_.job_);
        Piece &item = job.stages_[piece.id_.stage_].pieces_[piece.id_.piece_];
        item.state_ = PieceState::Running;
        item.startedAt_ = now;
        start.items_.push_back(makeItem(job, piece.id_, now));
        call.pieces_.push_back(piece.id_);
        call.resultBytes_.push_back(piece.resultBytes_);
        stageUpstream.reservedBytes_ += piece.resultBytes_;
    }
    for (const CallPiece &piece : pieces) {
        const auto job = state.jobs_.find(piece.id_.job_);
        updateWork(state.work_, job->first, job->second);
    }
    stageUpstream.call_ = start.call_;
    effects.push_back(DecisionLine{
        "decision=stage_call call=" + std::to_string(start.call_) + " pool=" + pool + " upstream="
        + upstream.name_ + " pieces=" + std::to_string(pieces.size()) + " first_request="
        + pieces.front().id_.job_.request_ + " expected_ms=" + millisecondsText(call.expectedTime_)
        + " waiting=" + std::to_string(pieceCount(waiting)) + " short_of="
        + limitingResource(capacity, pieces.size(), waiting,
                           storage - std::min(storage, stageUpstream.reservedBytes_))});
    state.calls_[start.call_] = std::move(call);
    effects.push_back(std::move(start));
}

// Removes and returns the idle upstream for which the most urgent stage needs the fewest bytes from
// other data centres; among equals, the one that is least slowed down.
const Upstream *takeNearestUpstream(std::vector<const Upstream *> &idle,
                                    std::vector<ReadyStage> &ready)
{
    penalizeTransfers(ready, {});
    const auto &mostUrgent = *std::min_element(ready.begin(), ready.end(), isScheduledBefore);
    const auto nearest =
        std::min_element(idle.begin(), idle.end(), [&](const Upstream *a, const Upstream *b) {
            return crossDataCenterBytes(mostUrgent, a->dataCenter_)
                < crossDataCenterBytes(mostUrgent, b->dataCenter_);
        });
    const Upstream *upstream = *nearest;
    idle.erase(nearest);
    return upstream;
}

// Starts one call at each idle upstream of a pool as long as pieces are ready.
void dispatchPool(SchedulerState &state, Instant now, const std::string &pool,
                  const PieceCapacity &capacity, SchedulerEffects &effects)
{
    auto idle = idleUpstreams(state, pool, now);
    if (idle.empty())
        return;
    ++state.dispatches_;
    auto ready = collectReadyStages(state.work_, pool, now);
    while (!idle.empty() && !ready.empty()) {
        const Upstream *upstream = takeNearestUpstream(idle, ready);
        penalizeTransfers(ready, upstream->dataCenter_);
        std::sort(ready.begin(), ready.end(), isScheduledBefore);
        const std::uint64_t storage =
            availableBytes(state.stageUpstreams_[upstream->name_], capacity, now);
        const auto pieces = takeBatch(ready, batchSize(capacity), storage, capacity.resultBytes_);
        if (!pieces.empty())
            startCall(state, now, pool, capacity, *upstream, pieces, ready, effects);
    }
}

} // namespace

void requestDispatch(SchedulerState &state, const std::string &pool, Instant at)
{
    const auto [due, isNew] = state.dispatchDueAt_.emplace(pool, at);
    if (!isNew)
        due->second = std::min(due->second, at);
}

void requestDispatchOf(SchedulerState &state, const Job &job, Instant now)
{
    for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
        const StageWork &work = job.stages_[stage];
        if (hasWaitingPieces(work) && inputsReady(job, stage))
            requestDispatch(state, work.pool_, now);
    }
}

void requestDispatchOfAll(SchedulerState &state, Instant now)
{
    for (const Pool &pool : state.view_->fleet_.pools_) {
        if (pool.pieces_)
            requestDispatch(state, pool.name_, now);
    }
}

void dispatchCalls(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    if (now < state.dispatchPausedUntil_)
        return;
    for (auto next = state.dispatchDueAt_.begin(); next != state.dispatchDueAt_.end();) {
        const auto due = next++;
        if (due->second > now)
            continue;
        const std::string pool = due->first;
        state.dispatchDueAt_.erase(due);
        if (const PieceCapacity *capacity = pieceCapacity(state, pool))
            dispatchPool(state, now, pool, *capacity, effects);
    }
}

} // namespace chervilspring::scheduling
