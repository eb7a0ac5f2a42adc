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

} // namespace chervilspring::scheduling
