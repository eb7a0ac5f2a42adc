#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring::scheduling {

namespace {

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

// An upstream fetches the inputs of a call when it begins with it.
bool inputsFetched(const StageWork &stage, Instant now)
{
    return std::all_of(stage.pieces_.begin(), stage.pieces_.end(), [&](const Piece &piece) {
        return piece.state_ == PieceState::Done
            || (piece.state_ == PieceState::Running && now > piece.startedAt_ + inputFetchTime);
    });
}

// Whether a maker of a stage's results has no room for another full call.
bool isCrowded(const SchedulerState &state, const StageWork &stage, Instant now)
{
    const PieceCapacity *capacity = piecesOf(state, stage.pool_);
    return capacity
        && std::any_of(stage.pieces_.begin(), stage.pieces_.end(), [&](const Piece &piece) {
               const auto maker = state.stageUpstreams_.find(piece.upstream_);
               return maker != state.stageUpstreams_.end()
                   && freeRoom(maker->second, *capacity, now)
                   < capacity->batch_ * stage.resultBytes_;
           });
}

} // namespace

void freeAll(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects)
{
    for (StageWork &stage : job.stages_)
        freeStage(state, now, stage, effects);
}

void freeConsumed(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects)
{
    for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
        if (isFinal(job, stage) || !stageDone(job.stages_[stage]))
            continue;
        // Results that are fetched are only needed if the call that fetched them fails.
        const bool early = isCrowded(state, job.stages_[stage], now);
        const bool needed =
            std::any_of(job.stages_.begin(), job.stages_.end(), [&](const StageWork &other) {
                return std::find(other.after_.begin(), other.after_.end(), stage)
                    != other.after_.end()
                    && !(early ? inputsFetched(other, now) : stageDone(other));
            });
        if (!needed)
            freeStage(state, now, job.stages_[stage], effects);
    }
}

void restoreInputs(Job &job, std::size_t stage)
{
    for (const std::uint32_t before : job.stages_[stage].after_) {
        if (!job.stages_[before].freed_)
            continue;
        remakeStage(job.stages_[before]);
        restoreInputs(job, before);
    }
}

void remakeStage(StageWork &stage)
{
    stage.freed_ = false;
    for (Piece &piece : stage.pieces_) {
        if (piece.state_ == PieceState::Done)
            piece = Piece{PieceState::Waiting, {}, {}, {}, piece.failures_};
    }
}

void loseResultsOf(SchedulerState &state, const std::string &upstream, const std::string &reason,
                   SchedulerEffects &effects)
{
    std::size_t lost = 0;
    for (auto &[id, job] : state.jobs_) {
        const std::size_t pieces = loseResults(job, upstream);
        for (std::size_t stage = 0; pieces > 0 && stage < job.stages_.size(); ++stage) {
            if (!stageDone(job.stages_[stage]))
                restoreInputs(job, stage);
        }
        lost += pieces;
    }
    state.stageUpstreams_[upstream].held_.clear();
    if (lost > 0)
        effects.push_back(DecisionLine{"decision=results_lost upstream=" + upstream
                                       + " pieces=" + std::to_string(lost) + " reason=" + reason});
}

} // namespace chervilspring::scheduling
