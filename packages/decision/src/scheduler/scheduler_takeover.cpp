#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring::scheduling {

namespace {

constexpr nanoseconds handoverTime = seconds(1); // until all entries have found a new scheduler
constexpr nanoseconds dispatchPause = milliseconds(20); // maximum message latency between regions

} // namespace

void beginTakeover(SchedulerState &state, Instant now)
{
    if (now < state.tookOverAt_ + handoverTime)
        return;
    state.tookOverAt_ = now;
    state.dispatchPausedUntil_ = now + dispatchPause;
    state.nextSweepAt_ = std::min(state.nextSweepAt_, state.dispatchPausedUntil_);
}

void adoptResults(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects)
{
    for (const PieceResult &result : job.request_.results_) {
        const Upstream *producer = findUpstream(state, result.upstream_);
        if (result.stage_ >= job.stages_.size()
            || result.piece_ >= job.stages_[result.stage_].pieces_.size() || !producer)
            continue;
        StageWork &stage = job.stages_[result.stage_];
        const PieceCapacity *capacity = pieceCapacity(state, stage.pool_);
        const nanoseconds lifetime = capacity ? capacity->resultLifetime_ : nanoseconds(0);
        if (result.age_ >= lifetime)
            continue;
        stage.pieces_[result.piece_] =
            Piece{PieceState::Done, result.handle_, result.upstream_, producer->dataCenter_, 0};
        state.stageUpstreams_[result.upstream_].heldResults_[result.handle_] =
            HeldResult{stage.resultBytes_, now + lifetime - result.age_, job.request_.id_,
                       result.stage_, result.piece_};
    }
    if (!job.request_.results_.empty())
        addDecisionLine(effects, job,
                        "results_taken count=" + std::to_string(job.request_.results_.size()));
    freeConsumedResults(state, now, job, effects);
}

void reportProgress(const StageCall &call, const JobId &id, const Job &job,
                    SchedulerEffects &effects)
{
    PlanProgress progress{job.request_.id_, job.request_.round_, {}};
    for (const PieceId &pieceId : call.pieces_) {
        if (pieceId.job_ != id)
            continue;
        const Piece &piece = job.stages_[pieceId.stage_].pieces_[pieceId.piece_];
        if (piece.state_ == PieceState::Done && piece.upstream_ == call.upstream_)
            progress.results_.push_back(PieceResult{pieceId.stage_, pieceId.piece_, piece.upstream_,
                                                    piece.handle_, nanoseconds(0)});
    }
    if (!progress.results_.empty())
        effects.push_back(SendToPeer{id.entry_, std::move(progress)});
}

void onStorageFull(SchedulerState &state, Instant now, const StageCall &call,
                   const std::vector<StageItemResult> &items)
{
    StageUpstream &upstream = state.stageUpstreams_[call.upstream_];
    const PieceCapacity *capacity = pieceCapacity(state, call.pool_);
    const Instant expireAt =
        state.tookOverAt_ + (capacity ? capacity->resultLifetime_ : nanoseconds(0)) + handoverTime;
    if (!capacity || state.tookOverAt_ == Instant{} || now >= expireAt) {
        recordStorageFull(upstream, now);
        return;
    }
    std::uint64_t knownBytes = call.knownBytesAtStart_;
    for (std::size_t i = 0; i < items.size(); ++i)
        knownBytes += items[i].failure_ == ItemFailure::None ? call.resultBytes_[i] : 0;
    const std::uint64_t totalBytes = capacity->resultBytes_;
    recordUnknownResults(upstream, totalBytes - std::min(knownBytes, totalBytes), expireAt);
}

} // namespace chervilspring::scheduling
