/// @file
/// @brief Functions shared by the scheduler's source files; internal.
#pragma once

#include "chervilspring/detail/scheduler/scheduler.hpp"

namespace chervilspring::scheduling {

/// @brief Finds an upstream in the current view by name.
/// @return nullptr if the view does not contain it
const Upstream *findUpstream(const SchedulerState &state, const std::string &name);

/// @brief Returns the capacity of a stage pool's upstreams.
/// @return nullptr if the pool is unknown or does not process pieces
const PieceCapacity *pieceCapacity(const SchedulerState &state, const std::string &pool);

/// @brief Finds a planned or granted request.
/// @return nullptr if the request is unknown
Job *findJob(SchedulerState &state, const JobId &id);

/// @brief Removes a request from the planned and the granted ones.
void eraseJob(SchedulerState &state, const JobId &id);

/// @brief Removes a planned request.
void erasePlanned(SchedulerState &state, std::map<JobId, Job>::iterator planned);

/// @brief Appends a decision line for a request to the effects.
/// @param what value of the key "decision", followed by further key=value pairs
void addDecisionLine(SchedulerEffects &effects, const Job &job, const std::string &what);

/// @brief Tells upstreams to free results whose time to be merged with others is over.
void sendDueFrees(SchedulerState &state, Instant now, SchedulerEffects &effects);

/// @brief Frees all results of a request.
void freeAllResults(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects);

/// @brief Time after a grant or the start of a call at which the engine or stage upstream counts as
/// having fetched the inputs over the network.
inline constexpr nanoseconds inputFetchTime = milliseconds(80);

/// @brief Frees results whose consuming stages are all done.
///
/// If an upstream that holds some of them is short of storage, they are freed earlier: once all
/// consuming stages have fetched them.
void freeConsumedResults(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects);

/// @brief Resets all done pieces of a stage, so that they are processed again.
void recomputeStage(StageWork &stage);

/// @brief Resets those predecessors of a stage whose results were freed, and theirs recursively.
void recomputeFreedInputs(Job &job, std::size_t stage);

/// @brief Records that a request no longer runs at its engine.
/// @param failed whether the engine failed to serve the request; it is then avoided for a while
void endEngineRun(SchedulerState &state, Instant now, Job &job, bool failed);

/// @brief Refuses a planned request and frees its results.
/// @param retryAfter time after which the client may retry
/// @param reason a single word from a small fixed set, used as a metric label
/// @param detail key=value pairs for the log
void refuse(SchedulerState &state, Instant now, const JobId &id, nanoseconds retryAfter,
            const std::string &reason, const std::string &detail, SchedulerEffects &effects);

/// @brief Chooses the engine with the lowest cost; avoided engines only if there is no other.
/// @param chosenCost receives the cost of the chosen engine; unchanged if there is none
/// @return nullptr if no engine has a free slot and enough cache
const Upstream *chooseEngine(SchedulerState &state, const Job &job, Instant now,
                             EngineCost &chosenCost);

/// @brief Assigns a request to an engine if all of its stages are done.
/// @param id id of a planned request
/// @return whether the request was assigned and moved to the granted ones
bool tryGrant(SchedulerState &state, Instant now, const JobId &id, Job &job,
              SchedulerEffects &effects);

/// @brief Requests that dispatchCalls() looks at a pool: pieces have become ready, or an upstream
/// has become idle or has storage again.
/// @param at earliest time at which calls may be possible
void requestDispatch(SchedulerState &state, const std::string &pool, Instant at);

/// @brief Requests that dispatchCalls() looks at the pools that have ready pieces of a request.
void requestDispatchOf(SchedulerState &state, const Job &job, Instant now);

/// @brief Requests that dispatchCalls() looks at all pools.
void requestDispatchOfAll(SchedulerState &state, Instant now);

/// @brief Starts calls to idle stage upstreams of the pools for which that was requested.
void dispatchCalls(SchedulerState &state, Instant now, SchedulerEffects &effects);

/// @brief Refuses a new request that would be late under the current load.
///
/// The refusal comes on arrival, so that the caller has time for a retry. A request that hardly has
/// to queue is admitted even if it misses its objective. So is a request that misses its objective
/// on idle pools, but meets its deadline by a wide margin. No request is admitted that misses its
/// deadline. A request of an underserved priority is promoted if it would be refused otherwise. The
/// predicted time of the stages is stored in the request. The decision line of a refusal lists for
/// each pool the queueing time ahead of the request and the part of it that is caused by requests
/// of a higher rank.
/// @return whether the request was refused
bool refuseIfLate(SchedulerState &state, Instant now, const JobId &id, Job &job,
                  SchedulerEffects &effects);

/// @brief Refuses a request with quarantined prompt parts, unless it is admitted as a trial.
/// @return whether the request was refused
bool refuseIfQuarantined(SchedulerState &state, Instant now, const JobId &id, Job &job,
                         SchedulerEffects &effects);

/// @brief Handles the report that a model engine crashed under a run.
void onRunCrashed(SchedulerState &state, Instant now, const RunCrashed &crash,
                  SchedulerEffects &effects);

/// @brief Records that a request got its first token.
void noteFirstToken(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects);

/// @brief Records that a request got its whole response.
void noteServed(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects);

/// @brief Applies the quarantines of the current view and refuses planned requests that match.
void updateQuarantines(SchedulerState &state, Instant now, SchedulerEffects &effects);

/// @brief Requests the storage of changed quarantines, if it is due.
void storeQuarantines(SchedulerState &state, Instant now, SchedulerEffects &effects);

/// @brief Retry delay told to a client whose request needs a pool without upstreams or failed at a
/// stage.
inline constexpr nanoseconds unavailableRetryAfter = milliseconds(500);

/// @brief Returns the time until every pool that a request needs has an upstream that may get
/// requests, and those of its stages process pieces.
/// @return 0 if they have them by the time at which the request's caller gives up
nanoseconds timeUntilServed(const SchedulerState &state, const Job &job, Instant now);

/// @brief Resets the pieces of all planned requests whose results were lost with their upstream.
/// @param upstream name of the upstream
/// @param reason value of the key "reason" in the log
void invalidateResultsOf(SchedulerState &state, const std::string &upstream,
                         const std::string &reason, SchedulerEffects &effects);

/// @brief Records the arrival of a request that another scheduler planned before.
///
/// More such requests are expected shortly. Calls are paused for a moment, so that the next calls
/// can carry pieces of several such requests.
void beginTakeover(SchedulerState &state, Instant now);

/// @brief Adopts those results of the previous scheduler for a request that have not expired.
void adoptResults(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects);

/// @brief Reports a request's new results to its entry, which passes them to a later scheduler.
void reportProgress(const StageCall &call, const JobId &id, const Job &job,
                    SchedulerEffects &effects);

/// @brief Handles a call in which the upstream ran out of storage.
///
/// After a change of scheduler, storage may be occupied by results of calls whose responses went to
/// the previous scheduler. Their size is derived from the results of this call that still fitted.
/// @param items outcomes of the call's items
void onStorageFull(SchedulerState &state, Instant now, const StageCall &call,
                   const std::vector<StageItemResult> &items);

} // namespace chervilspring::scheduling
