#include "chervilspring/detail/scheduler/work_index.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

// Returns the bytes of a stage's inputs by data centre of their producers, and those of its results
// by data centre of the expected engine. Each piece of the stage reads all inputs.
TransferBytes transferBytes(const Job &job, std::size_t stage)
{
    TransferBytes bytes;
    for (const std::uint32_t predecessor : job.stages_[stage].predecessors_) {
        for (const Piece &piece : job.stages_[predecessor].pieces_) {
            if (!piece.dataCenter_.empty())
                bytes[piece.dataCenter_] += job.stages_[predecessor].resultBytes_;
        }
    }
    if (isFinalStage(job, stage) && !job.targetDataCenter_.empty())
        bytes[job.targetDataCenter_] += job.stages_[stage].resultBytes_;
    return bytes;
}

ReadyStage makeReadyStage(const JobId &id, const Job &job, std::size_t stage)
{
    const StageWork &work = job.stages_[stage];
    ReadyStage ready;
    ready.pieces_.reserve(work.pieces_.size());
    for (std::size_t piece = 0; piece < work.pieces_.size(); ++piece) {
        if (work.pieces_[piece].state_ == PieceState::Waiting)
            ready.pieces_.push_back(static_cast<std::uint32_t>(piece));
    }
    ready.job_ = &id;
    ready.stage_ = static_cast<std::uint32_t>(stage);
    ready.priorityRank_ = priorityRank(job);
    ready.latestStartOnTime_ = stagesDueAt(job) - work.criticalPathTime_;
    ready.latestStartAtAll_ = latestStagesEnd(job) - work.criticalPathTime_;
    ready.resultBytes_ = work.resultBytes_;
    ready.transferBytes_ = std::make_shared<const TransferBytes>(transferBytes(job, stage));
    return ready;
}

std::size_t countWaiting(const StageWork &stage)
{
    return static_cast<std::size_t>(
        std::count_if(stage.pieces_.begin(), stage.pieces_.end(),
                      [](const Piece &piece) { return piece.state_ == PieceState::Waiting; }));
}

void addPieces(RankBacklog &backlog, const IndexedWork &work, std::size_t pieces)
{
    if (work.started_) {
        backlog.startedPieces_ += pieces;
    } else if (work.onTimeUntil_ >= backlog.expiredBefore_) {
        backlog.unstartedPieces_[work.onTimeUntil_] += pieces;
        backlog.unstartedTotal_ += pieces;
    }
}

void removePieces(RankBacklog &backlog, const IndexedWork &work, std::size_t pieces)
{
    if (work.started_) {
        backlog.startedPieces_ -= pieces;
    } else if (work.onTimeUntil_ >= backlog.expiredBefore_) {
        const auto found = backlog.unstartedPieces_.find(work.onTimeUntil_);
        found->second -= pieces;
        if (found->second == 0)
            backlog.unstartedPieces_.erase(found);
        backlog.unstartedTotal_ -= pieces;
    }
}

// Removes the pieces of requests that can no longer meet their objective.
void removeExpired(RankBacklog &backlog, Instant now)
{
    auto &pieces = backlog.unstartedPieces_;
    while (!pieces.empty() && pieces.begin()->first < now) {
        backlog.unstartedTotal_ -= pieces.begin()->second;
        pieces.erase(pieces.begin());
    }
    backlog.expiredBefore_ = std::max(backlog.expiredBefore_, now);
}

} // namespace

void removeWork(WorkIndex &index, const JobId &id, Job &job)
{
    for (const IndexedStage &stage : job.indexed_.stages_) {
        PoolWork &pool = index[job.stages_[stage.stage_].pool_];
        removePieces(pool.backlogs_[job.indexed_.rank_], job.indexed_, stage.waitingPieces_);
        if (stage.ready_)
            pool.ready_.erase({id, stage.stage_});
    }
    job.indexed_.stages_.clear();
}

void updateWork(WorkIndex &index, const JobId &id, Job &job)
{
    removeWork(index, id, job);
    IndexedWork &work = job.indexed_;
    work.rank_ = priorityRank(job);
    work.started_ = hasStarted(job);
    work.onTimeUntil_ = stagesDueAt(job) - remainingTime(job);
    for (std::uint32_t stage = 0; stage < job.stages_.size(); ++stage) {
        const std::size_t waiting = countWaiting(job.stages_[stage]);
        if (waiting == 0)
            continue;
        PoolWork &pool = index[job.stages_[stage].pool_];
        addPieces(pool.backlogs_[work.rank_], work, waiting);
        const bool ready = inputsReady(job, stage);
        if (ready)
            pool.ready_.emplace(std::pair(id, stage), makeReadyStage(id, job, stage));
        work.stages_.push_back(IndexedStage{stage, waiting, ready});
    }
}

std::map<std::string, Backlog> backlogAhead(WorkIndex &index, const Job &job, Instant now)
{
    std::map<std::string, Backlog> backlogs;
    const std::uint32_t ownRank = priorityRank(job);
    for (const StageWork &stage : job.stages_) {
        if (stage.pieces_.empty() || backlogs.contains(stage.pool_))
            continue;
        Backlog &ahead = backlogs[stage.pool_];
        const auto pool = index.find(stage.pool_);
        if (pool == index.end())
            continue;
        for (auto &[rank, backlog] : pool->second.backlogs_) {
            if (rank > ownRank)
                break;
            removeExpired(backlog, now);
            const std::size_t pieces = backlog.startedPieces_ + backlog.unstartedTotal_;
            ahead.pieces_ += pieces;
            ahead.higherRankPieces_ += rank < ownRank ? pieces : 0;
        }
    }
    return backlogs;
}

std::vector<ReadyStage> collectReadyStages(const WorkIndex &index, const std::string &pool,
                                           Instant now)
{
    std::vector<ReadyStage> ready;
    const auto work = index.find(pool);
    if (work == index.end())
        return ready;
    ready.reserve(work->second.ready_.size());
    for (const auto &[jobAndStage, stage] : work->second.ready_) {
        ReadyStage &added = ready.emplace_back(stage);
        added.missesObjective_ = now > stage.latestStartOnTime_;
        added.latestStart_ =
            added.missesObjective_ ? stage.latestStartAtAll_ : stage.latestStartOnTime_;
    }
    return ready;
}

} // namespace chervilspring
