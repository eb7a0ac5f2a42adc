/// @file
/// @brief Selects the pieces of the next call to a stage upstream and predicts completion times.
///
/// Designed for workloads in which stage upstreams are the bottleneck: a call costs the same for
/// one piece as for a full batch, requests arrive in bursts, and the results of a request are
/// useless unless all of its pieces complete.
#pragma once

#include "chervilspring/messages.hpp"

#include <map>
#include <memory>

namespace chervilspring {

/// @brief Identifies a request at a scheduler.
struct JobId
{
    std::string entry_; ///< name of the entry process that sent the request
    std::string request_; ///< id of the client attempt
    auto operator<=>(const JobId &) const = default;
};

/// @brief Identifies a piece of a stage of a request.
struct PieceId
{
    JobId job_; ///< request that the piece belongs to
    std::uint32_t stage_ = 0; ///< index of the stage within the route
    std::uint32_t piece_ = 0; ///< index of the piece within the stage
};

/// @brief Processing state of a piece.
enum class PieceState { Waiting, Running, Done };

/// @brief One piece of a stage.
struct Piece
{
    PieceState state_ = PieceState::Waiting;
    std::string handle_; ///< handle of the result; empty before the piece is done
    std::string upstream_; ///< name of the upstream that produced and holds the result
    std::string dataCenter_; ///< data centre of that upstream; empty if it is not in the view
    std::uint32_t failures_ = 0; ///< failed attempts that the piece itself may have caused
    Instant startedAt_{}; ///< start of the call that processes the piece
};

/// @brief State of one stage of a request.
struct StageWork
{
    std::string pool_; ///< name of the pool whose upstreams process the stage
    std::vector<std::uint32_t> predecessors_; ///< indices of the stages whose results it needs
    std::uint64_t resultBytes_ = 0; ///< approximate size of the result of one piece
    std::vector<Piece> pieces_; ///< empty if the request skips the stage
    bool resultsFreed_ = false; ///< the upstreams no longer hold the results
    /// Expected duration of one call with the pieces of the stage, at most a full batch. Pieces
    /// beyond a full batch are not counted.
    nanoseconds callTime_{0};
    /// Shortest time from the start of the stage to the end of all stages that depend on it.
    nanoseconds criticalPathTime_{0};
};

/// @brief Waiting pieces of a stage as the work index holds them, see updateWork().
struct IndexedStage
{
    std::uint32_t stage_ = 0; ///< index of the stage within the route
    std::size_t waitingPieces_ = 0;
    bool ready_ = false; ///< the inputs of the stage are ready
};

/// @brief What the work index holds of a request.
struct IndexedWork
{
    std::uint32_t rank_ = 0; ///< see priorityRank()
    bool started_ = false; ///< see hasStarted()
    Instant onTimeUntil_{}; ///< latest time at which canMeetObjective() holds
    std::vector<IndexedStage> stages_; ///< stages with waiting pieces
};

/// @brief A request whose stages are being processed or that runs at a model engine.
struct Job
{
    PlanRequest request_;
    std::vector<StageWork> stages_;
    Instant arrivedAt_{}; ///< when the scheduler received the request
    Instant objectiveAt_{}; ///< time by which the first token is due
    nanoseconds timeToFirstToken_{0}; ///< expected time from the grant to the first token
    Instant deadlineAt_{};
    Instant startDeadlineAt_{}; ///< when the caller gives up unless it got an event until then
    std::string targetDataCenter_; ///< data centre of the expected engine; empty if unknown
    std::string engine_; ///< name of the engine that runs the request; empty before the grant
    bool promoted_ = false; ///< ranks above all priorities because its own was underserved
    nanoseconds predictedStageTime_{0}; ///< time until all stages are done, predicted at admission
    Instant grantedAt_{}; ///< when the request was last assigned to an engine; Instant{}: never
    bool firstTokenSent_ = false; ///< the latest run of the request got its first token
    bool trial_ = false; ///< quarantined, but admitted as a trial
    IndexedWork indexed_; ///< only changed by updateWork() and removeWork()
};

/// @brief One item of a call to a stage upstream.
struct StageItem
{
    std::string request_; ///< id of the client attempt
    std::uint32_t stage_ = 0; ///< index of the stage within the route
    std::uint32_t piece_ = 0; ///< index of the piece within the stage
    nanoseconds remaining_{0}; ///< time until the caller of the request gives up
    std::string key_; ///< PlanRequest::pieceKey_; only set for stages without predecessors
    std::vector<std::string> inputs_; ///< result handles of all pieces of the predecessor stages
    bool hasInputs_ = false; ///< the stage has predecessors
};

/// @brief Why an item has no result.
enum class ItemFailure {
    None, ///< the item has a result
    Late, ///< the upstream reports that the item is too late
    InputGone, ///< the upstream could not fetch an input, because it is no longer held
    StorageFull, ///< the upstream has no storage for the result
    NotSent, ///< the call was refused, or the upstream was unreachable
    Error, ///< the item or its whole call failed in another way
};

/// @brief Outcome of one item of a call.
struct StageItemResult
{
    std::string handle_; ///< handle of the result; empty after a failure
    ItemFailure failure_ = ItemFailure::None;
};

/// @brief How a call to a stage upstream ended.
enum class StageCallEnd {
    Done, ///< the response has an outcome for each item
    Refused, ///< the upstream reports that no item was executed
    Unreachable, ///< no connection; nothing was sent
    Failed, ///< connection broken, timeout or malformed response
};

/// @brief Returns the largest number of pieces in a call, at least 1.
std::uint32_t batchSize(const PieceCapacity &capacity);

/// @brief Returns the expected duration of a call, at least a millisecond.
/// @param capacity capacity of the pool's upstreams
/// @param pieces number of pieces in the call
nanoseconds expectedCallTime(const PieceCapacity &capacity, std::size_t pieces);

/// @brief Returns whether all predecessors of a stage are done.
bool inputsReady(const Job &job, std::size_t stage);

/// @brief Returns whether any piece of a stage waits to be processed.
bool hasWaitingPieces(const StageWork &stage);

/// @brief Returns whether every piece of a stage is done.
bool stageDone(const StageWork &stage);

/// @brief Returns whether every stage of a request is done.
bool allStagesDone(const Job &job);

/// @brief Returns the result handles of all predecessors of a stage, ordered by stage and piece.
std::vector<std::string> inputHandles(const Job &job, std::size_t stage);

/// @brief Returns the result handles of all final stages, ordered by stage and piece.
std::vector<std::string> finalHandles(const Job &job);

/// @brief Returns whether a stage has no successors.
bool isFinalStage(const Job &job, std::size_t stage);

/// @brief Computes how long the stages of a request take on idle pools and stores it in the stages.
///
/// Each stage counts as one call with at most a full batch.
/// @param fleet configuration with the capacities of the pools
void estimateStageTimes(Job &job, const Fleet &fleet);

/// @brief Returns the time in which the unfinished stages complete on idle pools.
nanoseconds remainingTime(const Job &job);

/// @brief Input and output bytes of a stage by data centre.
using TransferBytes = std::map<std::string, std::uint64_t>;

/// @brief Waiting pieces of one stage whose inputs are ready.
struct ReadyStage
{
    const JobId *job_ = nullptr; ///< key in the job map; valid while the request is being planned
    std::uint32_t stage_ = 0; ///< index of the stage within the route
    std::vector<std::uint32_t> pieces_; ///< indices of the waiting pieces
    bool missesObjective_ = false; ///< the request can no longer meet its objective
    std::uint32_t priorityRank_ = 0; ///< see priorityRank()
    Instant latestStartOnTime_{}; ///< latest start that meets the objective
    Instant latestStartAtAll_{}; ///< latest start that meets the start deadline
    Instant latestStart_{}; ///< latest start that meets the objective; if missed, start deadline
    Instant effectiveLatestStart_{}; ///< see penalizeTransfers()
    std::uint64_t resultBytes_ = 0; ///< size of the result of one piece
    std::shared_ptr<const TransferBytes> transferBytes_; ///< null: none
};

/// @brief A piece selected for a call.
struct CallPiece
{
    PieceId id_;
    std::uint64_t resultBytes_ = 0; ///< approximate size of the result
};

/// @brief Returns the bytes transferred between data centres if an upstream processes a piece.
/// @param dataCenter data centre of the upstream
std::uint64_t crossDataCenterBytes(const ReadyStage &stage, const std::string &dataCenter);

/// @brief Sets the effective latest start of stages for an upstream.
///
/// This is the latest start, postponed by a penalty for each byte transferred between data centres.
/// @param dataCenter data centre of the upstream; if empty, all bytes count as transferred
void penalizeTransfers(std::vector<ReadyStage> &ready, const std::string &dataCenter);

/// @brief Ordering of ready stages at an upstream: requests that can meet their objective first,
/// then by priority rank, then by effective latest start.
bool isScheduledBefore(const ReadyStage &left, const ReadyStage &right);

/// @brief Removes the pieces of the next call from the ready stages and returns them.
///
/// A stage is only taken whole: if it is split over several calls, its first results occupy storage
/// until the last piece is done. The most urgent stage is split if it can never fit whole.
/// @param ready ready stages, sorted by isScheduledBefore(); pieces that are taken are removed
/// @param batchSize maximum number of pieces in a call
/// @param availableBytes result storage available at the upstream now
/// @param totalBytes total result storage of the upstream
std::vector<CallPiece> takeBatch(std::vector<ReadyStage> &ready, std::size_t batchSize,
                                 std::uint64_t availableBytes, std::uint64_t totalBytes);

/// @brief Returns the rank by which requests are ordered before their latest start.
/// @return 0 for promoted requests, otherwise priority + 1; lower ranks go first
std::uint32_t priorityRank(const Job &job);

/// @brief Returns whether any piece of a request is running or done.
bool hasStarted(const Job &job);

/// @brief Returns the time by which the stages must be done for the first token to be on time.
Instant stagesDueAt(const Job &job);

/// @brief Returns the time by which the stages must be done for the first token to reach the caller
/// before it gives up.
Instant latestStagesEnd(const Job &job);

/// @brief Returns whether a request can meet its objective if it never has to queue.
bool canMeetObjective(const Job &job, Instant now);

/// @brief Resets the pieces whose results were lost with their upstream.
/// @param upstream name of the upstream
/// @return number of pieces that wait again
std::size_t invalidateResults(Job &job, const std::string &upstream);

/// @brief Load of a pool caused by the pieces ahead of a request.
struct PoolLoad
{
    nanoseconds queueTime_{0}; ///< time to process the backlog, starting now
    std::size_t upstreams_ = 1; ///< number of upstreams that accept new work
};

/// @brief Returns the expected time until all stages of a request are done.
/// @param fleet configuration with the capacities of the pools
/// @param loads load by pool name
nanoseconds estimateCompletionTime(const Job &job, const Fleet &fleet,
                                   const std::map<std::string, PoolLoad> &loads);

} // namespace chervilspring
