#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring::scheduling {

namespace {

constexpr nanoseconds callSlack = milliseconds(500); // beyond the expected time of a call
constexpr int callLimitFactor = 3; // times the expected time of a call

bool isIdle(const SchedulerState &state, const std::string &name, Instant now)
{
    const auto known = state.stageUpstreams_.find(name);
    return known == state.stageUpstreams_.end()
        || (known->second.call_ == 0 && known->second.busyUntil_ <= now
            && !isAvoided(known->second.avoidance_, now));
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

std::size_t pieceCount(const std::vector<ReadyStage> &ready)
{
    std::size_t count = 0;
    for (const ReadyStage &stage : ready)
        count += stage.pieces_.size();
    return count;
}

// Why a call has empty places while pieces wait.
const char *shortOf(const PieceCapacity &capacity, std::size_t taken,
                    const std::vector<ReadyStage> &waiting, std::uint64_t roomLeft)
{
    if (waiting.empty() || taken >= capacity.batch_)
        return "nothing";
    const bool fits = std::any_of(waiting.begin(), waiting.end(), [&](const ReadyStage &stage) {
        return stage.resultBytes_ <= roomLeft;
    });
    return fits ? "places" : "room";
}

void startCall(SchedulerState &state, Instant now, const std::string &pool,
               const PieceCapacity &capacity, const Upstream &upstream,
               const std::vector<CallPiece> &pieces, const std::vector<ReadyStage> &waiting,
               SchedulerEffects &effects)
{
    StageUpstream &maker = state.stageUpstreams_[upstream.name_];
    StageCall call;
    call.pool_ = pool;
    call.upstream_ = upstream.name_;
    call.startedAt_ = now;
    call.bytesBefore_ = ownBytes(maker, now);
    call.expected_ = callTime(capacity, pieces.size());
    StartStageCall start;
    start.call_ = state.nextCall_++;
    start.upstream_ = upstream;
    start.limit_ = call.expected_ * callLimitFactor + callSlack;
    const std::uint64_t room = freeRoom(maker, capacity, now);
    for (const CallPiece &piece : pieces) {
        Job &job = state.jobs_.at(piece.id_.job_);
        Piece &item = job.stages_[piece.id_.stage_].pieces_[piece.id_.piece_];
        item.state_ = PieceState::Running;
        item.startedAt_ = now;
        start.items_.push_back(makeItem(job, piece.id_, now));
        call.pieces_.push_back(piece.id_);
        call.resultBytes_.push_back(piece.resultBytes_);
        maker.reservedBytes_ += piece.resultBytes_;
    }
    maker.call_ = start.call_;
    effects.push_back(DecisionLine{
        "decision=stage_call call=" + std::to_string(start.call_) + " pool=" + pool + " upstream="
        + upstream.name_ + " pieces=" + std::to_string(pieces.size()) + " first_request="
        + pieces.front().id_.job_.request_ + " expected_ms=" + millisecondsText(call.expected_)
        + " waiting=" + std::to_string(pieceCount(waiting)) + " short_of="
        + shortOf(capacity, pieces.size(), waiting, room - std::min(room, maker.reservedBytes_))});
    state.calls_[start.call_] = std::move(call);
    effects.push_back(std::move(start));
}

// The idle upstream that the most urgent stage has its inputs next to; the fastest among equals.
const Upstream *takeNearest(std::vector<const Upstream *> &idle, std::vector<ReadyStage> &ready)
{
    weighTransfers(ready, {});
    const auto &first = *std::min_element(ready.begin(), ready.end(), goesBefore);
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
    auto ready = readyStages(state.jobs_, pool, now);
    while (!idle.empty() && !ready.empty()) {
        const Upstream *upstream = takeNearest(idle, ready);
        weighTransfers(ready, upstream->dataCenter_);
        std::sort(ready.begin(), ready.end(), goesBefore);
        const std::uint64_t room = freeRoom(state.stageUpstreams_[upstream->name_], capacity, now);
        const auto pieces = takeForCall(ready, capacity.batch_, room, capacity.resultBytes_);
        if (!pieces.empty())
            startCall(state, now, pool, capacity, *upstream, pieces, ready, effects);
    }
}

} // namespace

void dispatch(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    if (now < state.dispatchAt_)
        return;
    for (const Pool &pool : state.view_->fleet_.pools_) {
        if (pool.pieces_)
            dispatchPool(state, now, pool.name_, *pool.pieces_, effects);
    }
}

} // namespace chervilspring::scheduling
