#include "chervilspring/detail/scheduler/piece_plan.hpp"

#include <algorithm>
#include <tuple>

namespace chervilspring {

namespace {

constexpr nanoseconds fullPause = milliseconds(150); // less than a call: results go meanwhile
constexpr double roomDecrease = 0.9; // multiplicative, as for congestion windows
constexpr double roomIncrease = 0.005; // for each call that found room
constexpr double leastUsableRoom = 0.5;

// What a lone call of this stage takes, with all pieces that the request has there.
nanoseconds stageTime(const StageWork &stage, const Fleet &fleet)
{
    const Pool *pool = findByName(fleet.pools_, stage.pool_);
    if (!pool || !pool->pieces_ || stage.pieces_.empty() || stageDone(stage))
        return nanoseconds(0);
    const std::size_t perCall =
        std::min<std::size_t>(stage.pieces_.size(), std::max(1u, pool->pieces_->batch_));
    return callTime(*pool->pieces_, perCall);
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

nanoseconds remainingTime(const Job &job, std::size_t stage, const Fleet &fleet)
{
    nanoseconds longest(0);
    for (std::size_t next = stage + 1; next < job.stages_.size(); ++next) {
        const auto &after = job.stages_[next].after_;
        if (std::find(after.begin(), after.end(), stage) != after.end())
            longest = std::max(longest, remainingTime(job, next, fleet));
    }
    return stageTime(job.stages_[stage], fleet) + longest;
}

nanoseconds remainingTime(const Job &job, const Fleet &fleet)
{
    nanoseconds longest(0);
    for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
        if (!stageDone(job.stages_[stage]))
            longest = std::max(longest, remainingTime(job, stage, fleet));
    }
    return longest;
}

bool goesBefore(const ReadyPiece &left, const ReadyPiece &right)
{
    const auto key = [](const ReadyPiece &piece) {
        return std::tie(piece.late_, piece.priority_, piece.startBy_, piece.id_.job_,
                        piece.id_.stage_, piece.id_.piece_);
    };
    return key(left) < key(right);
}

std::vector<ReadyPiece> readyPieces(const std::map<JobId, Job> &jobs, const std::string &pool,
                                    const Fleet &fleet, Instant now)
{
    std::vector<ReadyPiece> ready;
    for (const auto &[id, job] : jobs) {
        for (std::size_t stage = 0; stage < job.stages_.size(); ++stage) {
            const StageWork &work = job.stages_[stage];
            if (work.pool_ != pool || job.granted_ || !inputsReady(job, stage))
                continue;
            const nanoseconds rest = remainingTime(job, stage, fleet);
            const bool late = now + rest > job.objectiveAt_;
            for (std::size_t piece = 0; piece < work.pieces_.size(); ++piece) {
                if (work.pieces_[piece].state_ != PieceState::Waiting)
                    continue;
                ReadyPiece item;
                item.id_ = PieceId{id, static_cast<std::uint32_t>(stage),
                                   static_cast<std::uint32_t>(piece)};
                item.late_ = late;
                item.priority_ = job.request_.priority_;
                item.startBy_ = (late ? job.deadlineAt_ : job.objectiveAt_) - rest;
                item.resultBytes_ = work.resultBytes_;
                ready.push_back(std::move(item));
            }
        }
    }
    std::sort(ready.begin(), ready.end(), goesBefore);
    return ready;
}

std::uint64_t freeRoom(const StageUpstream &upstream, const PieceCapacity &capacity, Instant now)
{
    if (upstream.fullUntil_ > now)
        return 0;
    std::uint64_t used = upstream.reservedBytes_;
    for (const auto &[handle, result] : upstream.held_) {
        if (result.expiresAt_ > now)
            used += result.bytes_;
    }
    const auto usable = static_cast<std::uint64_t>(static_cast<double>(capacity.resultBytes_)
                                                   * upstream.usableRoom_);
    return usable > used ? usable - used : 0;
}

void noteNoRoom(StageUpstream &upstream, Instant now)
{
    upstream.fullUntil_ = now + fullPause;
    upstream.usableRoom_ = std::max(leastUsableRoom, upstream.usableRoom_ * roomDecrease);
}

void noteRoom(StageUpstream &upstream)
{
    upstream.usableRoom_ = std::min(1.0, upstream.usableRoom_ + roomIncrease);
}

std::size_t loseResults(Job &job, const std::string &upstream)
{
    std::size_t lost = 0;
    for (StageWork &stage : job.stages_) {
        if (stage.freed_ || job.granted_)
            continue;
        for (Piece &piece : stage.pieces_) {
            if (piece.state_ != PieceState::Done || piece.upstream_ != upstream)
                continue;
            piece = Piece{PieceState::Waiting, {}, {}, piece.failures_};
            ++lost;
        }
    }
    return lost;
}

std::size_t backlog(const std::map<JobId, Job> &jobs, const std::string &pool,
                    std::uint32_t priority)
{
    std::size_t count = 0;
    for (const auto &[id, job] : jobs) {
        if (job.granted_ || job.request_.priority_ > priority)
            continue;
        for (const StageWork &stage : job.stages_) {
            if (stage.pool_ != pool)
                continue;
            count += static_cast<std::size_t>(
                std::count_if(stage.pieces_.begin(), stage.pieces_.end(),
                              [](const Piece &p) { return p.state_ == PieceState::Waiting; }));
        }
    }
    return count;
}

} // namespace chervilspring
