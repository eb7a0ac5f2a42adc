#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring::scheduling {

namespace {

constexpr nanoseconds freeMergeTime = milliseconds(250); // the lifetime of results is seconds

// Returns whether an upstream lacks storage for another full call with results of this size.
bool isShortOfStorage(const SchedulerState &state, const std::string &upstream,
                      const StageWork &stage, Instant now)
{
    const PieceCapacity *capacity = pieceCapacity(state, stage.pool_);
    const auto producer = state.stageUpstreams_.find(upstream);
    return capacity && producer != state.stageUpstreams_.end()
        && availableBytes(producer->second, *capacity, now) < capacity->batch_ * stage.resultBytes_;
}

// Tells an upstream to free the results that are no longer needed.
void sendFree(SchedulerState &state, Instant now, const std::string &upstream,
              const PendingFree &free, SchedulerEffects &effects)
{
    freeResults(state.stageUpstreams_[upstream], free.handles_, now);
    requestDispatch(state, free.pool_, now + resultFreeDelay);
    if (const Upstream *known = findUpstream(state, upstream))
        effects.push_back(FreeResults{*known, free.handles_});
}

// Frees the results of a stage. Upstreams that aren't short of storage are told later, once for
// several stages.
void freeStage(SchedulerState &state, Instant now, StageWork &stage, SchedulerEffects &effects)
{
    if (stage.resultsFreed_ || stage.pieces_.empty())
        return;
    stage.resultsFreed_ = true;
    std::map<std::string, std::vector<std::string>> handlesByUpstream;
    for (const Piece &piece : stage.pieces_) {
        if (piece.state_ == PieceState::Done)
            handlesByUpstream[piece.upstream_].push_back(piece.handle_);
    }
    for (const auto &[name, handles] : handlesByUpstream) {
        const auto [pending, isNew] = state.pendingFrees_.try_emplace(
            name, PendingFree{stage.pool_, {}, now + freeMergeTime});
        auto &merged = pending->second.handles_;
        merged.insert(merged.end(), handles.begin(), handles.end());
        if (!isShortOfStorage(state, name, stage, now))
            continue;
        sendFree(state, now, name, pending->second, effects);
        state.pendingFrees_.erase(pending);
    }
}

// Returns whether the inputs of all pieces of a stage have been fetched. An upstream fetches the
// inputs of a call when it starts to process the call.
bool inputsFetched(const StageWork &stage, Instant now)
{
    return std::all_of(stage.pieces_.begin(), stage.pieces_.end(), [&](const Piece &piece) {
        return piece.state_ == PieceState::Done
            || (piece.state_ == PieceState::Running && now > piece.startedAt_ + inputFetchTime);
    });
}

// Returns whether an upstream that holds results of a stage lacks storage for another full call.
bool isShortOfStorage(const SchedulerState &state, const StageWork &stage, Instant now)
{
    return std::any_of(stage.pieces_.begin(), stage.pieces_.end(), [&](const Piece &piece) {
        return isShortOfStorage(state, piece.upstream_, stage, now);
    });
}

} // namespace

void sendDueFrees(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    std::erase_if(state.pendingFrees_, [&](const auto &item) {
        if (now < item.second.dueAt_)
            return false;
        sendFree(state, now, item.first, item.second, effects);
        return true;
    });
}

void freeAllResults(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects)
{
    for (StageWork &stage : job.stages_)
        freeStage(state, now, stage, effects);
}

void freeConsumedResults(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects)
{
    for (std::uint32_t stage = 0; stage < job.stages_.size(); ++stage) {
        const StageWork &work = job.stages_[stage];
        if (work.resultsFreed_ || isFinalStage(job, stage) || !stageDone(work))
            continue;
        const auto all = [&](const auto &hasResults) {
            return std::all_of(job.stages_.begin(), job.stages_.end(), [&](const StageWork &other) {
                const auto &needed = other.predecessors_;
                return std::find(needed.begin(), needed.end(), stage) == needed.end()
                    || hasResults(other);
            });
        };
        // Fetched results are only needed again if the call that fetched them fails.
        const bool unneeded = all(stageDone)
            || (all([&](const StageWork &other) { return inputsFetched(other, now); })
                && isShortOfStorage(state, work, now));
        if (unneeded)
            freeStage(state, now, job.stages_[stage], effects);
    }
}

void recomputeFreedInputs(Job &job, std::size_t stage)
{
    for (const std::uint32_t predecessor : job.stages_[stage].predecessors_) {
        if (!job.stages_[predecessor].resultsFreed_)
            continue;
        recomputeStage(job.stages_[predecessor]);
        recomputeFreedInputs(job, predecessor);
    }
}

void recomputeStage(StageWork &stage)
{
    stage.resultsFreed_ = false;
    for (Piece &piece : stage.pieces_) {
        if (piece.state_ == PieceState::Done)
            piece = Piece{PieceState::Waiting, {}, {}, {}, piece.failures_};
    }
}

void invalidateResultsOf(SchedulerState &state, const std::string &upstream,
                         const std::string &reason, SchedulerEffects &effects)
{
    std::size_t lostPieces = 0;
    for (auto &[id, job] : state.jobs_) {
        const std::size_t lostOfJob = invalidateResults(job, upstream);
        for (std::size_t stage = 0; lostOfJob > 0 && stage < job.stages_.size(); ++stage) {
            if (!stageDone(job.stages_[stage]))
                recomputeFreedInputs(job, stage);
        }
        if (lostOfJob > 0)
            updateWork(state.work_, id, job);
        lostPieces += lostOfJob;
    }
    state.stageUpstreams_[upstream].heldResults_.clear();
    state.pendingFrees_.erase(upstream);
    if (lostPieces > 0)
        requestDispatchOfAll(state, state.nextSweepAt_);
    if (lostPieces > 0)
        effects.push_back(DecisionLine{"decision=results_lost upstream=" + upstream + " pieces="
                                       + std::to_string(lostPieces) + " reason=" + reason});
}

} // namespace chervilspring::scheduling
