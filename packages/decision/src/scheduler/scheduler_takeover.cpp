#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring::scheduling {

namespace {

constexpr nanoseconds handOverTime = seconds(1); // within which all entries find a new scheduler
constexpr nanoseconds takeOverPause = milliseconds(20); // a message's way, at most between regions

} // namespace

void takeOver(SchedulerState &state, Instant now)
{
    if (now < state.tookOverAt_ + handOverTime)
        return;
    state.tookOverAt_ = now;
    state.dispatchAt_ = now + takeOverPause;
    state.sweepAt_ = std::min(state.sweepAt_, state.dispatchAt_);
}

void takeResults(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects)
{
    for (const PieceResult &result : job.request_.results_) {
        const Upstream *maker = findUpstream(state, result.upstream_);
        if (result.stage_ >= job.stages_.size()
            || result.piece_ >= job.stages_[result.stage_].pieces_.size() || !maker)
            continue;
        StageWork &stage = job.stages_[result.stage_];
        const PieceCapacity *capacity = piecesOf(state, stage.pool_);
        const nanoseconds lifetime = capacity ? capacity->resultLifetime_ : nanoseconds(0);
        if (result.age_ >= lifetime)
            continue;
        stage.pieces_[result.piece_] =
            Piece{PieceState::Done, result.handle_, result.upstream_, maker->dataCenter_, 0};
        state.stageUpstreams_[result.upstream_].held_[result.handle_] =
            HeldResult{stage.resultBytes_, now + lifetime - result.age_};
    }
    if (!job.request_.results_.empty())
        addLine(effects, job,
                "results_taken count=" + std::to_string(job.request_.results_.size()));
    freeConsumed(state, now, job, effects);
}

void reportProgress(const StageCall &call, const JobId &id, const Job &job,
                    SchedulerEffects &effects)
{
    PlanProgress progress{job.request_.id_, job.request_.round_, {}};
    for (const PieceId &place : call.pieces_) {
        if (place.job_ != id)
            continue;
        const Piece &piece = job.stages_[place.stage_].pieces_[place.piece_];
        if (piece.state_ == PieceState::Done && piece.upstream_ == call.upstream_)
            progress.results_.push_back(PieceResult{place.stage_, place.piece_, piece.upstream_,
                                                    piece.handle_, nanoseconds(0)});
    }
    if (!progress.results_.empty())
        effects.push_back(SendToPeer{id.entry_, std::move(progress)});
}

void onNoRoom(SchedulerState &state, Instant now, const StageCall &call,
              const std::vector<StageItemResult> &items)
{
    StageUpstream &upstream = state.stageUpstreams_[call.upstream_];
    const PieceCapacity *capacity = piecesOf(state, call.pool_);
    const Instant runOut =
        state.tookOverAt_ + (capacity ? capacity->resultLifetime_ : nanoseconds(0)) + handOverTime;
    if (!capacity || state.tookOverAt_ == Instant{} || now >= runOut) {
        noteNoRoom(upstream, now);
        return;
    }
    std::uint64_t known = call.bytesBefore_;
    for (std::size_t i = 0; i < items.size(); ++i)
        known += items[i].failure_ == ItemFailure::None ? call.resultBytes_[i] : 0;
    const std::uint64_t room = capacity->resultBytes_;
    noteUnknownResults(upstream, room - std::min(known, room), runOut);
}

} // namespace chervilspring::scheduling
