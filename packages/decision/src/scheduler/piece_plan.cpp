#include "chervilspring/detail/scheduler/piece_plan.hpp"

#include <algorithm>
#include <tuple>

namespace chervilspring {

namespace {

// Penalty per MB: links between data centres are shared and charged by volume.
constexpr nanoseconds transferPenaltyPerMb = milliseconds(400);
constexpr double bytesPerMb = 1e6;
// Rates and slowdowns are quotients of call times, and a configuration may state a time of 0.
constexpr nanoseconds shortestCallTime = milliseconds(1);

// Returns the expected duration of one call with the pieces of a stage, at most a full batch.
// Pieces beyond a full batch are not counted. Returns 0 if there are no pieces or the capacity is
// unknown.
nanoseconds stageTime(const StageWork &stage, const Fleet &fleet)
{
    const Pool *pool = findByName(fleet.pools_, stage.pool_);
    if (!pool || !pool->pieces_ || stage.pieces_.empty())
        return nanoseconds(0);
    const std::size_t pieces =
        std::min<std::size_t>(stage.pieces_.size(), batchSize(*pool->pieces_));
    return expectedCallTime(*pool->pieces_, pieces);
}

// Returns the duration of a call with a full batch; the calls of a loaded pool are full.
nanoseconds fullCallTime(const StageWork &stage, const Fleet &fleet)
{
    const Pool *pool = findByName(fleet.pools_, stage.pool_);
    return pool && pool->pieces_ ? expectedCallTime(*pool->pieces_, batchSize(*pool->pieces_))
                                 : nanoseconds(0);
}

// Mean time until the first of several concurrent calls ends: the expected minimum of n uniformly
// distributed remaining times.
nanoseconds meanTimeToNextCallEnd(nanoseconds callTime, std::size_t upstreams)
{
    return callTime / static_cast<std::int64_t>(upstreams + 1);
}

} // namespace

std::uint32_t batchSize(const PieceCapacity &capacity)
{
    return std::max(1u, capacity.batch_);
}

nanoseconds expectedCallTime(const PieceCapacity &capacity, std::size_t pieces)
{
    const nanoseconds stated =
        capacity.callTime_ + capacity.pieceTime_ * static_cast<std::int64_t>(pieces);
    return std::max(stated, shortestCallTime);
}

bool stageDone(const StageWork &stage)
{
    return std::all_of(stage.pieces_.begin(), stage.pieces_.end(),
                       [](const Piece &piece) { return piece.state_ == PieceState::Done; });
}

bool hasWaitingPieces(const StageWork &stage)
{
    return std::any_of(stage.pieces_.begin(), stage.pieces_.end(),
                       [](const Piece &piece) { return piece.state_ == PieceState::Waiting; });
}

bool inputsReady(const Job &job, std::size_t stage)
{
    const auto &predecessors = job.stages_[stage].predecessors_;
    return std::all_of(predecessors.begin(), predecessors.end(), [&](std::uint32_t predecessor) {
        return stageDone(job.stages_[predecessor]);
    });
}

bool allStagesDone(const Job &job)
{
    return std::all_of(job.stages_.begin(), job.stages_.end(), stageDone);
}

std::vector<std::string> inputHandles(const Job &job, std::size_t stage)
{
    std::vector<std::string> handles;
    for (const std::uint32_t predecessor : job.stages_[stage].predecessors_) {
        for (const Piece &piece : job.stages_[predecessor].pieces_)
            handles.push_back(piece.handle_);
    }
    return handles;
}

bool isFinalStage(const Job &job, std::size_t stage)
{
    const auto number = static_cast<std::uint32_t>(stage);
    return std::none_of(job.stages_.begin(), job.stages_.end(), [&](const StageWork &other) {
        return std::find(other.predecessors_.begin(), other.predecessors_.end(), number)
            != other.predecessors_.end();
    });
}

std::vector<std::string> finalHandles(const Job &job)
{
    std::vector<std::string> handles;
    for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
        if (!isFinalStage(job, stage))
            continue;
        for (const Piece &piece : job.stages_[stage].pieces_)
            handles.push_back(piece.handle_);
    }
    return handles;
}

void estimateStageTimes(Job &job, const Fleet &fleet)
{
    for (std::size_t stage = job.stages_.size(); stage-- > 0;) {
        StageWork &work = job.stages_[stage];
        nanoseconds longest(0);
        for (std::size_t next = stage + 1; next < job.stages_.size(); ++next) {
            const auto &predecessors = job.stages_[next].predecessors_;
            if (std::find(predecessors.begin(), predecessors.end(), stage) != predecessors.end())
                longest = std::max(longest, job.stages_[next].criticalPathTime_);
        }
        work.callTime_ = stageTime(work, fleet);
        work.criticalPathTime_ = work.callTime_ + longest;
    }
}

nanoseconds remainingTime(const Job &job)
{
    nanoseconds longest(0);
    for (const StageWork &stage : job.stages_) {
        if (stage.criticalPathTime_ > longest && !stageDone(stage))
            longest = stage.criticalPathTime_;
    }
    return longest;
}

std::uint32_t priorityRank(const Job &job)
{
    return job.promoted_ ? 0 : job.request_.priority_ + 1;
}

bool hasStarted(const Job &job)
{
    return std::any_of(job.stages_.begin(), job.stages_.end(), [](const StageWork &stage) {
        return std::any_of(stage.pieces_.begin(), stage.pieces_.end(),
                           [](const Piece &piece) { return piece.state_ != PieceState::Waiting; });
    });
}

Instant stagesDueAt(const Job &job)
{
    return job.objectiveAt_ - job.timeToFirstToken_;
}

Instant latestStagesEnd(const Job &job)
{
    return job.startDeadlineAt_ - job.timeToFirstToken_;
}

bool canMeetObjective(const Job &job, Instant now)
{
    return now + remainingTime(job) <= stagesDueAt(job);
}

std::uint64_t crossDataCenterBytes(const ReadyStage &stage, const std::string &dataCenter)
{
    std::uint64_t transferred = 0;
    if (!stage.transferBytes_)
        return transferred;
    for (const auto &[otherDataCenter, bytes] : *stage.transferBytes_)
        transferred += otherDataCenter == dataCenter ? 0 : bytes;
    return transferred;
}

void penalizeTransfers(std::vector<ReadyStage> &ready, const std::string &dataCenter)
{
    for (ReadyStage &stage : ready) {
        const double megabytes =
            static_cast<double>(crossDataCenterBytes(stage, dataCenter)) / bytesPerMb;
        stage.effectiveLatestStart_ = stage.latestStart_
            + nanoseconds(static_cast<std::int64_t>(megabytes * transferPenaltyPerMb.count()));
    }
}

bool isScheduledBefore(const ReadyStage &left, const ReadyStage &right)
{
    const auto key = [](const ReadyStage &stage) {
        return std::tie(stage.missesObjective_, stage.priorityRank_, stage.effectiveLatestStart_,
                        *stage.job_, stage.stage_);
    };
    return key(left) < key(right);
}

std::vector<CallPiece> takeBatch(std::vector<ReadyStage> &ready, std::size_t batchSize,
                                 std::uint64_t availableBytes, std::uint64_t totalBytes)
{
    std::vector<CallPiece> taken;
    for (ReadyStage &stage : ready) {
        const std::uint64_t bytesPerPiece = stage.resultBytes_;
        const std::size_t freeSlots = batchSize - taken.size();
        const std::size_t fittingPieces = bytesPerPiece == 0
            ? freeSlots
            : std::min<std::size_t>(freeSlots, availableBytes / bytesPerPiece);
        const std::size_t waitingPieces = stage.pieces_.size();
        const bool neverFitsWhole =
            waitingPieces > batchSize || waitingPieces * bytesPerPiece > totalBytes;
        const bool split = taken.empty() && neverFitsWhole;
        const std::size_t count = split ? std::min(fittingPieces, waitingPieces)
                                        : (waitingPieces <= fittingPieces ? waitingPieces : 0);
        if (count == 0)
            continue;
        for (std::size_t i = 0; i < count; ++i)
            taken.push_back(
                CallPiece{PieceId{*stage.job_, stage.stage_, stage.pieces_[i]}, bytesPerPiece});
        stage.pieces_.erase(stage.pieces_.begin(),
                            stage.pieces_.begin() + static_cast<std::ptrdiff_t>(count));
        availableBytes -= bytesPerPiece * count;
        if (taken.size() == batchSize)
            break;
    }
    std::erase_if(ready, [](const ReadyStage &stage) { return stage.pieces_.empty(); });
    return taken;
}

std::size_t invalidateResults(Job &job, const std::string &upstream)
{
    std::size_t lost = 0;
    for (StageWork &stage : job.stages_) {
        if (stage.resultsFreed_)
            continue;
        for (Piece &piece : stage.pieces_) {
            if (piece.state_ != PieceState::Done || piece.upstream_ != upstream)
                continue;
            piece = Piece{PieceState::Waiting, {}, {}, {}, piece.failures_};
            ++lost;
        }
    }
    return lost;
}

nanoseconds estimateCompletionTime(const Job &job, const Fleet &fleet,
                                   const std::map<std::string, PoolLoad> &loads)
{
    std::vector<nanoseconds> endTimes(job.stages_.size(), nanoseconds(0));
    nanoseconds latestEnd(0);
    for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
        nanoseconds start(0);
        for (const std::uint32_t predecessor : job.stages_[stage].predecessors_)
            start = std::max(start, endTimes[predecessor]);
        const StageWork &work = job.stages_[stage];
        const auto load = loads.find(work.pool_);
        const bool loaded =
            load != loads.end() && load->second.queueTime_ > nanoseconds(0) && !stageDone(work);
        // The pool works off its backlog while earlier stages of this request are in progress.
        if (loaded)
            start = std::max(start, load->second.queueTime_)
                + meanTimeToNextCallEnd(fullCallTime(work, fleet), load->second.upstreams_);
        nanoseconds call = loaded ? fullCallTime(work, fleet) : work.callTime_;
        if (stageDone(work))
            call = nanoseconds(0);
        endTimes[stage] = start + call;
        latestEnd = std::max(latestEnd, endTimes[stage]);
    }
    return latestEnd;
}

} // namespace chervilspring
