#include "chervilspring/detail/scheduler/piece_plan.hpp"

#include <algorithm>
#include <tuple>

namespace chervilspring {

namespace {

constexpr nanoseconds costOfCrossing = milliseconds(400); // per MB: links are shared and priced
constexpr double bytesPerMb = 1e6;

// Bytes of a stage's inputs by the data centre of their makers. Each piece of a stage reads all of
// them.
std::map<std::string, std::uint64_t> inputBytes(const Job &job, std::size_t stage)
{
    std::map<std::string, std::uint64_t> bytes;
    for (const std::uint32_t before : job.stages_[stage].after_) {
        for (const Piece &piece : job.stages_[before].pieces_) {
            if (!piece.dataCenter_.empty())
                bytes[piece.dataCenter_] += job.stages_[before].resultBytes_;
        }
    }
    return bytes;
}

// What a lone call of this stage takes, with all pieces that the request has there.
nanoseconds stageTime(const StageWork &stage, const Fleet &fleet)
{
    const Pool *pool = findByName(fleet.pools_, stage.pool_);
    if (!pool || !pool->pieces_ || stage.pieces_.empty())
        return nanoseconds(0);
    const std::size_t perCall =
        std::min<std::size_t>(stage.pieces_.size(), std::max(1u, pool->pieces_->batch_));
    return callTime(*pool->pieces_, perCall);
}

// A loaded pool makes full calls.
nanoseconds fullCallTime(const StageWork &stage, const Fleet &fleet)
{
    const Pool *pool = findByName(fleet.pools_, stage.pool_);
    return pool && pool->pieces_ ? callTime(*pool->pieces_, pool->pieces_->batch_) : nanoseconds(0);
}

// Mean time until the first of several calls ends that were started at any moment: the least of n
// uniformly distributed rests.
nanoseconds nextCallEnd(nanoseconds call, std::size_t upstreams)
{
    return call / static_cast<std::int64_t>(upstreams + 1);
}

} // namespace

nanoseconds callTime(const PieceCapacity &capacity, std::size_t pieces)
{
    return capacity.callTime_ + capacity.pieceTime_ * static_cast<std::int64_t>(pieces);
}

bool stageDone(const StageWork &stage)
{
    return std::all_of(stage.pieces_.begin(), stage.pieces_.end(),
                       [](const Piece &piece) { return piece.state_ == PieceState::Done; });
}

bool inputsReady(const Job &job, std::size_t stage)
{
    const auto &after = job.stages_[stage].after_;
    return std::all_of(after.begin(), after.end(),
                       [&](std::uint32_t before) { return stageDone(job.stages_[before]); });
}

bool allDone(const Job &job)
{
    return std::all_of(job.stages_.begin(), job.stages_.end(), stageDone);
}

std::vector<std::string> inputsOf(const Job &job, std::size_t stage)
{
    std::vector<std::string> handles;
    for (const std::uint32_t before : job.stages_[stage].after_) {
        for (const Piece &piece : job.stages_[before].pieces_)
            handles.push_back(piece.handle_);
    }
    return handles;
}

bool isFinal(const Job &job, std::size_t stage)
{
    const auto number = static_cast<std::uint32_t>(stage);
    return std::none_of(job.stages_.begin(), job.stages_.end(), [&](const StageWork &other) {
        return std::find(other.after_.begin(), other.after_.end(), number) != other.after_.end();
    });
}

std::vector<std::string> finalHandles(const Job &job)
{
    std::vector<std::string> handles;
    for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
        if (!isFinal(job, stage))
            continue;
        for (const Piece &piece : job.stages_[stage].pieces_)
            handles.push_back(piece.handle_);
    }
    return handles;
}

void estimateStages(Job &job, const Fleet &fleet)
{
    for (std::size_t stage = job.stages_.size(); stage-- > 0;) {
        StageWork &work = job.stages_[stage];
        nanoseconds longest(0);
        for (std::size_t next = stage + 1; next < job.stages_.size(); ++next) {
            const auto &after = job.stages_[next].after_;
            if (std::find(after.begin(), after.end(), stage) != after.end())
                longest = std::max(longest, job.stages_[next].rest_);
        }
        work.call_ = stageTime(work, fleet);
        work.rest_ = work.call_ + longest;
    }
}

nanoseconds remainingTime(const Job &job)
{
    nanoseconds longest(0);
    for (const StageWork &stage : job.stages_) {
        if (stage.rest_ > longest && !stageDone(stage))
            longest = stage.rest_;
    }
    return longest;
}

std::uint32_t rankOf(const Job &job)
{
    return job.promoted_ ? 0 : job.request_.priority_ + 1;
}

bool hasBegun(const Job &job)
{
    return std::any_of(job.stages_.begin(), job.stages_.end(), [](const StageWork &stage) {
        return std::any_of(stage.pieces_.begin(), stage.pieces_.end(),
                           [](const Piece &piece) { return piece.state_ != PieceState::Waiting; });
    });
}

Instant stagesDueAt(const Job &job)
{
    return job.objectiveAt_ - job.engineTime_;
}

bool canBeOnTime(const Job &job, Instant now)
{
    return now + remainingTime(job) <= stagesDueAt(job);
}

std::uint64_t crossingBytes(const ReadyStage &stage, const std::string &dataCenter)
{
    std::uint64_t crossing = 0;
    for (const auto &[place, bytes] : stage.transfers_)
        crossing += place == dataCenter ? 0 : bytes;
    return crossing;
}

void weighTransfers(std::vector<ReadyStage> &ready, const std::string &dataCenter)
{
    for (ReadyStage &stage : ready) {
        const double megabytes = static_cast<double>(crossingBytes(stage, dataCenter)) / bytesPerMb;
        stage.urgency_ = stage.startBy_
            + nanoseconds(static_cast<std::int64_t>(megabytes * costOfCrossing.count()));
    }
}

bool goesBefore(const ReadyStage &left, const ReadyStage &right)
{
    const auto key = [](const ReadyStage &stage) {
        return std::tie(stage.late_, stage.rank_, stage.urgency_, *stage.job_, stage.stage_);
    };
    return key(left) < key(right);
}

std::vector<ReadyStage> readyStages(const std::map<JobId, Job> &jobs, const std::string &pool,
                                    Instant now)
{
    std::vector<ReadyStage> ready;
    for (const auto &[id, job] : jobs) {
        for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
            const StageWork &work = job.stages_[stage];
            if (work.pool_ != pool)
                continue;
            ReadyStage item;
            for (std::size_t piece = 0; piece < work.pieces_.size(); ++piece) {
                if (work.pieces_[piece].state_ == PieceState::Waiting)
                    item.pieces_.push_back(static_cast<std::uint32_t>(piece));
            }
            if (item.pieces_.empty() || !inputsReady(job, stage))
                continue;
            item.job_ = &id;
            item.stage_ = static_cast<std::uint32_t>(stage);
            item.late_ = now + work.rest_ > stagesDueAt(job);
            item.rank_ = rankOf(job);
            item.startBy_ = (item.late_ ? job.deadlineAt_ : stagesDueAt(job)) - work.rest_;
            item.resultBytes_ = work.resultBytes_;
            item.transfers_ = inputBytes(job, stage);
            if (isFinal(job, stage) && !job.target_.empty())
                item.transfers_[job.target_] += work.resultBytes_;
            ready.push_back(std::move(item));
        }
    }
    return ready;
}

std::vector<CallPiece> takeForCall(std::vector<ReadyStage> &ready, std::size_t batch,
                                   std::uint64_t room, std::uint64_t wholeRoom)
{
    std::vector<CallPiece> taken;
    for (ReadyStage &stage : ready) {
        const std::uint64_t bytes = stage.resultBytes_;
        const std::size_t places = batch - taken.size();
        const std::size_t fitting =
            bytes == 0 ? places : std::min<std::size_t>(places, room / bytes);
        const std::size_t wanted = stage.pieces_.size();
        const bool neverWhole = wanted > batch || wanted * bytes > wholeRoom;
        const bool split = taken.empty() && neverWhole;
        const std::size_t count =
            split ? std::min(fitting, wanted) : (wanted <= fitting ? wanted : 0);
        if (count == 0)
            continue;
        for (std::size_t i = 0; i < count; ++i)
            taken.push_back(CallPiece{PieceId{*stage.job_, stage.stage_, stage.pieces_[i]}, bytes});
        stage.pieces_.erase(stage.pieces_.begin(),
                            stage.pieces_.begin() + static_cast<std::ptrdiff_t>(count));
        room -= bytes * count;
        if (taken.size() == batch)
            break;
    }
    std::erase_if(ready, [](const ReadyStage &stage) { return stage.pieces_.empty(); });
    return taken;
}

std::size_t loseResults(Job &job, const std::string &upstream)
{
    std::size_t lost = 0;
    for (StageWork &stage : job.stages_) {
        if (stage.freed_)
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

std::map<std::string, Backlog> backlogBefore(const std::map<JobId, Job> &jobs, const Job &job,
                                             Instant now)
{
    std::map<std::string, Backlog> backlogs;
    for (const StageWork &stage : job.stages_) {
        if (!stage.pieces_.empty())
            backlogs[stage.pool_];
    }
    for (const auto &[id, other] : jobs) {
        if (&other == &job || rankOf(other) > rankOf(job))
            continue;
        if (!hasBegun(other) && !canBeOnTime(other, now))
            continue; // it goes behind
        for (const StageWork &stage : other.stages_) {
            const auto backlog = backlogs.find(stage.pool_);
            if (backlog == backlogs.end())
                continue;
            const auto waiting = static_cast<std::size_t>(
                std::count_if(stage.pieces_.begin(), stage.pieces_.end(),
                              [](const Piece &p) { return p.state_ == PieceState::Waiting; }));
            backlog->second.pieces_ += waiting;
            if (rankOf(other) < rankOf(job))
                backlog->second.moreUrgent_ += waiting;
        }
    }
    return backlogs;
}

nanoseconds finishTime(const Job &job, const Fleet &fleet,
                       const std::map<std::string, PoolLoad> &loads)
{
    std::vector<nanoseconds> finished(job.stages_.size(), nanoseconds(0));
    nanoseconds last(0);
    for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
        nanoseconds start(0);
        for (const std::uint32_t before : job.stages_[stage].after_)
            start = std::max(start, finished[before]);
        const StageWork &work = job.stages_[stage];
        const auto load = loads.find(work.pool_);
        const bool loaded =
            load != loads.end() && load->second.wait_ > nanoseconds(0) && !stageDone(work);
        // The pool works on what is before this request while earlier stages are done.
        if (loaded)
            start = std::max(start, load->second.wait_)
                + nextCallEnd(fullCallTime(work, fleet), load->second.upstreams_);
        nanoseconds call = loaded ? fullCallTime(work, fleet) : work.call_;
        if (stageDone(work))
            call = nanoseconds(0);
        finished[stage] = start + call;
        last = std::max(last, finished[stage]);
    }
    return last;
}

} // namespace chervilspring
