/// @file
/// @brief Waiting pieces of all planned requests by pool, kept up to date by events.
///
/// Decisions about one request need the backlog and the ready stages of a few pools. With the index
/// their cost doesn't depend on the number of requests in planning.
#pragma once

#include "chervilspring/detail/scheduler/piece_plan.hpp"

namespace chervilspring {

/// @brief Waiting pieces of a pool that belong to requests of one rank.
struct RankBacklog
{
    std::size_t startedPieces_ = 0; ///< of requests that have started
    /// Of requests that have not started, but can still meet their objective: by the time until
    /// which they can.
    std::map<Instant, std::size_t> unstartedPieces_;
    std::size_t unstartedTotal_ = 0; ///< sum of unstartedPieces_
    Instant expiredBefore_{}; ///< pieces with an earlier time are no longer in unstartedPieces_
};

/// @brief Work that waits for a pool.
struct PoolWork
{
    std::map<std::uint32_t, RankBacklog> backlogs_; ///< by priorityRank()
    /// Stages with waiting pieces whose inputs are ready, by request and index of the stage.
    std::map<std::pair<JobId, std::uint32_t>, ReadyStage> ready_;
};

/// @brief Work by pool name.
using WorkIndex = std::map<std::string, PoolWork>;

/// @brief Adds a planned request to the index, or updates it after a change.
///
/// It has to be called after each change of the request's stages, times or rank.
/// @param id key of the request in the job map; it must stay valid until removeWork()
void updateWork(WorkIndex &index, const JobId &id, Job &job);

/// @brief Removes a request from the index, if it is there.
void removeWork(WorkIndex &index, const JobId &id, Job &job);

/// @brief Pieces that a pool processes before those of a new request.
struct Backlog
{
    std::size_t pieces_ = 0; ///< pieces of requests with a lower or an equal priorityRank()
    std::size_t higherRankPieces_ = 0; ///< those of requests with a lower priorityRank()
};

/// @brief Counts the waiting pieces that are processed before those of a new request.
///
/// Requests that have not started and can't meet their objective are not counted: they are
/// scheduled after those that can.
/// @param job new request, which must not be in the index
/// @param now must not decrease from call to call
/// @return backlog by the name of each pool that the request needs
std::map<std::string, Backlog> backlogAhead(WorkIndex &index, const Job &job, Instant now);

/// @brief Returns the ready stages of a pool, in no particular order.
std::vector<ReadyStage> collectReadyStages(const WorkIndex &index, const std::string &pool,
                                           Instant now);

} // namespace chervilspring
