/// @file
/// @brief Parts of the scheduler that its source files share. Not for use elsewhere.
#pragma once

#include "chervilspring/detail/scheduler/scheduler.hpp"

namespace chervilspring::scheduling {

/// @brief Finds an upstream of the view.
/// @return nullptr if the view no longer lists it
const Upstream *findUpstream(const SchedulerState &state, const std::string &name);

/// @brief What upstreams of a pool offer for pieces.
/// @return nullptr if the pool does not work on pieces
const PieceCapacity *piecesOf(const SchedulerState &state, const std::string &pool);

/// @brief Finds a request, whether it is being planned or was granted.
/// @return nullptr if it isn't known
Job *findJob(SchedulerState &state, const JobId &id);

/// @brief Forgets a request.
void forget(SchedulerState &state, const JobId &id);

/// @brief Adds a decision line about a request.
void addLine(SchedulerEffects &effects, const Job &job, const std::string &what);

/// @brief Gives all results of a request back.
void freeAll(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects);

/// @brief From a grant or the start of a call until inputs have been fetched over the links.
inline constexpr nanoseconds inputFetchTime = milliseconds(80);

/// @brief Gives results back that only stages need which are done by now, or which have fetched
/// them if a maker is short of room.
void freeConsumed(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects);

/// @brief Has the results of a stage made again.
void remakeStage(StageWork &stage);

/// @brief Has results made again that a stage needs and that were given back.
void restoreInputs(Job &job, std::size_t stage);

/// @brief Notes that a request no longer runs at its engine.
void leaveEngine(SchedulerState &state, Instant now, Job &job, bool failed);

/// @brief Refuses a request and gives its results back.
/// @param reason one word of a small set
/// @param detail figures for the log
void refuse(SchedulerState &state, Instant now, const JobId &id, nanoseconds retryAfter,
            const std::string &reason, const std::string &detail, SchedulerEffects &effects);

/// @brief The engine with the lowest cost; avoided ones only if there is no other.
/// @return nullptr if none has a place
const Upstream *chooseEngine(const SchedulerState &state, const Job &job, Instant now,
                             EngineCost &chosenCost);

/// @brief Hands a request whose stages are done to an engine.
/// @param id of a request that is being planned
/// @return whether it was handed over, and isn't being planned any more
bool tryGrant(SchedulerState &state, Instant now, const JobId &id, Job &job,
              SchedulerEffects &effects);

/// @brief Starts calls at idle stage upstreams.
void dispatch(SchedulerState &state, Instant now, SchedulerEffects &effects);

/// @brief Refuses a new request that the load would make late, as long as it can still come back.
///
/// A request of an underserved priority is promoted if it would be refused otherwise. Notes the
/// predicted time in the request. The line of a refusal lists for each pool the time that it is
/// taken by what goes before, and the part of it that is due to requests that rank before this one.
/// What waits for nobody is taken even if it is late.
/// @return whether it was refused
bool refuseLate(SchedulerState &state, Instant now, const JobId &id, Job &job,
                SchedulerEffects &effects);

/// @brief Whether every pool that a request needs has an upstream.
bool poolsServed(const SchedulerState &state, const Job &job);

/// @brief Has results made again that went with their upstream.
void loseResultsOf(SchedulerState &state, const std::string &upstream, const std::string &reason,
                   SchedulerEffects &effects);

/// @brief Notes that a request comes which another scheduler planned before.
///
/// More of them come within a moment, and the first calls wait for them.
void takeOver(SchedulerState &state, Instant now);

/// @brief Goes on from what the scheduler before this one had made for a request.
void takeResults(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects);

/// @brief Tells the entry what a call has made for a request, for the scheduler after this one.
void reportProgress(const StageCall &call, const JobId &id, const Job &job,
                    SchedulerEffects &effects);

/// @brief Handles a call that found too little room.
///
/// After a change of scheduler, room is missing that results of calls take whose answers went to
/// the scheduler before. What the call found tells how much.
/// @param items results of the call
void onNoRoom(SchedulerState &state, Instant now, const StageCall &call,
              const std::vector<StageItemResult> &items);

} // namespace chervilspring::scheduling
