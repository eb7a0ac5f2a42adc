/// @file
/// @brief Which pieces go into the next call to a stage upstream, and what can't be done in time.
///
/// Answers the load in which stage upstreams are the scarce thing: a call costs the same for one
/// piece as for a full batch, requests come in bursts, and pieces of one request are worth nothing
/// unless all of them are made.
#pragma once

#include "chervilspring/messages.hpp"

#include <map>

namespace chervilspring {

/// @brief Names a request at a scheduler.
struct JobId
{
    std::string entry_;
    std::string request_;
    auto operator<=>(const JobId &) const = default;
};

/// @brief Names a piece.
struct PieceId
{
    JobId job_;
    std::uint32_t stage_ = 0;
    std::uint32_t piece_ = 0;
};

/// @brief Where a piece stands.
enum class PieceState { Waiting, Running, Done };

/// @brief One piece of a stage.
struct Piece
{
    PieceState state_ = PieceState::Waiting;
    std::string handle_; ///< of its result
    std::string upstream_; ///< that made it
    std::string dataCenter_; ///< of its maker
    std::uint32_t failures_ = 0; ///< after which it may be the piece that is at fault
    Instant startedAt_{}; ///< of the call that makes it
};

/// @brief A stage of one request.
struct StageWork
{
    std::string pool_;
    std::vector<std::uint32_t> after_;
    std::uint64_t resultBytes_ = 0;
    std::vector<Piece> pieces_;
    bool freed_ = false; ///< its results were given back
    nanoseconds call_{0}; ///< a lone call with all of its pieces, batch by batch
    nanoseconds rest_{0}; ///< shortest time from its start until all stages after it are done
};

/// @brief A request whose stages are being done, or that runs at a model engine.
struct Job
{
    PlanRequest request_;
    std::vector<StageWork> stages_;
    Instant arrivedAt_{};
    Instant objectiveAt_{};
    nanoseconds engineTime_{0}; ///< expected, from the grant to the first token
    Instant deadlineAt_{};
    std::string target_; ///< data centre of the engine that it will probably run at
    std::string engine_; ///< where it runs, empty before the grant
    bool promoted_ = false; ///< goes before all priorities: its own one was underserved
    nanoseconds predicted_{0}; ///< time until its stages are done, as admission saw it
    Instant grantedAt_{};
};

/// @brief One item of a call to a stage upstream.
struct StageItem
{
    std::string request_;
    std::uint32_t stage_ = 0;
    std::uint32_t piece_ = 0;
    nanoseconds remaining_{0}; ///< until nobody needs the result
    std::string key_; ///< for stages without predecessors
    std::vector<std::string> inputs_; ///< handles of all pieces of the stages before
    bool hasInputs_ = false;
};

/// @brief Why an item has no result.
enum class ItemFailure { None, Late, InputGone, NoRoom, NotSent, Error };

/// @brief What became of an item.
struct StageItemResult
{
    std::string handle_;
    ItemFailure failure_ = ItemFailure::None;
};

/// @brief How a call to a stage upstream ended.
enum class StageCallEnd {
    Done, ///< answered item by item
    Refused, ///< the upstream says that nothing of it ran
    Unreachable, ///< nothing was sent
    Failed, ///< broken, timed out or not understood
};

/// @brief Expected time of a call.
/// @param capacity of the pool
/// @param pieces in the call
nanoseconds callTime(const PieceCapacity &capacity, std::size_t pieces);

/// @brief Whether all stages that a stage comes after are done.
bool inputsReady(const Job &job, std::size_t stage);

/// @brief Whether every piece of a stage is done.
bool stageDone(const StageWork &stage);

/// @brief Whether every stage of a request is done.
bool allDone(const Job &job);

/// @brief Handles of all pieces of the stages that a stage comes after, in order.
std::vector<std::string> inputsOf(const Job &job, std::size_t stage);

/// @brief Handles of the stages that no other stage follows, in order.
std::vector<std::string> finalHandles(const Job &job);

/// @brief Whether no other stage follows.
bool isFinal(const Job &job, std::size_t stage);

/// @brief Works out how long the stages of a request take alone.
/// @param fleet has the pools' capacities
void estimateStages(Job &job, const Fleet &fleet);

/// @brief Shortest time until all stages that are not done yet are done.
nanoseconds remainingTime(const Job &job);

/// @brief Pieces of one stage of a request that could go into a call now.
struct ReadyStage
{
    const JobId *job_ = nullptr; ///< valid as long as the request is being planned
    std::uint32_t stage_ = 0;
    std::vector<std::uint32_t> pieces_;
    bool late_ = false; ///< its request can't meet its objective
    std::uint32_t rank_ = 0; ///< of its request
    Instant startBy_{}; ///< latest start that meets the objective, or the deadline if late
    Instant urgency_{}; ///< startBy_ as an upstream sees it, set by weighTransfers()
    std::uint64_t resultBytes_ = 0; ///< of each piece
    std::map<std::string, std::uint64_t> transfers_; ///< bytes to or from each data centre
};

/// @brief A piece of a call.
struct CallPiece
{
    PieceId id_;
    std::uint64_t resultBytes_ = 0;
};

/// @brief Bytes that would cross data centres if an upstream made a piece.
/// @param dataCenter of the upstream
std::uint64_t crossingBytes(const ReadyStage &stage, const std::string &dataCenter);

/// @brief Sets the urgency of stages for an upstream.
///
/// Inputs that would have to come from another data centre count as if a stage were less urgent.
/// @param dataCenter of the upstream; empty: all bytes cross
void weighTransfers(std::vector<ReadyStage> &ready, const std::string &dataCenter);

/// @brief Order in which an upstream takes ready stages, by their urgency for it.
bool goesBefore(const ReadyStage &left, const ReadyStage &right);

/// @brief Ready stages of a pool, in no particular order.
std::vector<ReadyStage> readyStages(const std::map<JobId, Job> &jobs, const std::string &pool,
                                    Instant now);

/// @brief Takes the pieces of the next call out of the ready ones.
///
/// Only requests whose pieces all fit are taken: one that is split over calls holds room for its
/// first results until the last one is made. The most urgent one is split if it never fits whole.
/// @param ready sorted by goesBefore(); what is taken is removed
/// @param batch most pieces of a call
/// @param room bytes that the upstream has for results now
/// @param wholeRoom bytes that it has when nothing is held
std::vector<CallPiece> takeForCall(std::vector<ReadyStage> &ready, std::size_t batch,
                                   std::uint64_t room, std::uint64_t wholeRoom);

/// @brief Order of requests before their urgency: promoted ones, then by priority.
std::uint32_t rankOf(const Job &job);

/// @brief Whether any piece of a request is being made or done.
bool hasBegun(const Job &job);

/// @brief When a request's stages have to be done so that its first token meets the objective.
Instant stagesDueAt(const Job &job);

/// @brief Whether a request can still meet its objective if nothing keeps it waiting.
bool canBeOnTime(const Job &job, Instant now);

/// @brief Has results made again that went with their upstream.
/// @return pieces that wait again
std::size_t loseResults(Job &job, const std::string &upstream);

/// @brief Pieces that will be made at a pool before those of a new request.
struct Backlog
{
    std::size_t pieces_ = 0;
    std::size_t moreUrgent_ = 0; ///< of these, the ones of requests that rank before it
};

/// @brief Counts the pieces that will be made before those of a new request, by pool.
/// @param job the new request, whose own pieces don't count
std::map<std::string, Backlog> backlogBefore(const std::map<JobId, Job> &jobs, const Job &job,
                                             Instant now);

/// @brief How a pool is taken by what goes before a request.
struct PoolLoad
{
    nanoseconds wait_{0}; ///< from now on
    std::size_t upstreams_ = 1;
};

/// @brief Time in which a request's stages will be done, given how its pools are taken.
/// @param loads by pool
nanoseconds finishTime(const Job &job, const Fleet &fleet,
                       const std::map<std::string, PoolLoad> &loads);

} // namespace chervilspring
