/// @file
/// @brief Functions shared by the source files of the direct entry; internal.
#pragma once

#include "chervilspring/detail/direct/direct.hpp"

namespace chervilspring::directing {

// Statuses of responses that the entry generates. 503 guarantees that no upstream executed the
// request; 502 and 504 don't.
inline constexpr unsigned statusBadRequest = 400;
inline constexpr unsigned statusUnauthorized = 401;
inline constexpr unsigned statusNotFound = 404;
inline constexpr unsigned statusBadGateway = 502;
inline constexpr unsigned statusUnavailable = 503;
inline constexpr unsigned statusGatewayTimeout = 504;

// Value of Retry-After while this entry stops: another one can serve the request at once.
inline constexpr nanoseconds stoppingRetryAfter = milliseconds(10);

inline constexpr nanoseconds minResumeTime = milliseconds(500); // for which a stream is resumed

/// @brief Why a request ended.
struct EndReason
{
    std::string outcome_; ///< a single word from a small fixed set, for metrics and callers
    std::string detail_; ///< key=value pairs for the log
};

/// @brief Outcome of a planned request as reported to its scheduler.
enum class PlanOutcome {
    Served, ///< the caller got the complete response
    NotServed, ///< not served, for a reason other than those of EngineFailed
    EngineFailed, ///< the engine aborted the run or gave no response in time
};

/// @brief Returns whether a request may run more than once.
bool isRepeatable(const DirectRequest &request);

/// @brief Returns whether a scheduler chooses the upstream of a request.
bool isPlanned(const DirectRequest &request);

/// @brief Returns when the caller of a request gives up unless the response has begun.
Instant firstStartDeadline(const DirectRequest &request);

/// @brief Returns when a planned request is refused if no upstream has been chosen for it, while
/// its caller still listens.
Instant unstartedRefusalAt(const DirectRequest &request);

/// @brief Appends a decision line for a request to the effects.
/// @param decision value of the key "decision"
/// @param rest further key=value pairs
void addDecisionLine(DirectEffects &effects, const DirectRequest &request,
                     const std::string &decision, const std::string &rest);

/// @brief Reports the end of a request to the scheduler that plans or planned it, if any.
/// @param detail reason of the outcome, for the log
void notifyScheduler(const DirectRequest &request, PlanOutcome outcome, const std::string &detail,
                     DirectEffects &effects);

/// @brief Removes a request whose response has been decided and logs its end.
/// @param status HTTP status of the response; 0: none
void finishRequest(DirectState &state, Instant now, std::uint64_t token, const EndReason &reason,
                   unsigned status, DirectEffects &effects);

/// @brief Ends a request with a generated response, or closes the caller's connection if part of a
/// response has been sent.
/// @param status HTTP status of the response
/// @param retryAfter time after which the caller may retry; 0: not stated
void refuseRequest(DirectState &state, Instant now, std::uint64_t token, unsigned status,
                   nanoseconds retryAfter, const EndReason &reason, DirectEffects &effects);

/// @brief Ends a request that can't be sent to any further upstream.
///
/// The status is 503 if no upstream can have executed the request, otherwise 502.
/// @param retryAfter time after which the caller may retry; only stated with status 503
void failRequest(DirectState &state, Instant now, std::uint64_t token, nanoseconds retryAfter,
                 const EndReason &reason, DirectEffects &effects);

/// @brief Sends a request to the current scheduler for planning, now or once a scheduler is known.
/// @param resultsLost whether earlier stage results were lost and must be recomputed
void requestPlan(DirectState &state, Instant now, DirectRequest &request, bool resultsLost,
                 DirectEffects &effects);

/// @brief Starts a run of a request at an upstream.
/// @param inputs handles of the stage results that the run needs
void startRun(DirectState &state, Instant now, DirectRequest &request, const Upstream &upstream,
              std::vector<std::string> inputs, DirectEffects &effects);

/// @brief Starts a run of a request at the best upstream of a pool that needs no planning.
///
/// The request fails if the pool has no upstream.
void startUnplannedRun(DirectState &state, Instant now, std::uint64_t token,
                       DirectEffects &effects);

/// @brief Fails a request because none of the upstreams may get it now.
///
/// Callers may return when the first pause of an upstream ends.
/// @param upstreams the upstreams of the request's pool
void failUnusable(DirectState &state, Instant now, std::uint64_t token,
                  const std::vector<const Upstream *> &upstreams, DirectEffects &effects);

/// @brief Finds the crash record of a request digest.
/// @return nullptr if the digest has no recorded crashes
const Suspect *findSuspect(const DirectState &state, std::uint64_t digest);

/// @brief Time after which the caller of a request that crashed upstreams may return: the cause may
/// be repaired by then.
inline constexpr nanoseconds suspectRetryAfter = seconds(5);

/// @brief Returns whether requests with a digest have crashed so many upstreams that no other one
/// gets them.
bool crashedTooOften(const DirectState &state, std::uint64_t digest);

/// @brief Fails a request that is about to be sent if requests like it have crashed too many
/// upstreams meanwhile.
/// @return whether the request was failed
bool failIfCrashedTooOften(DirectState &state, Instant now, const DirectRequest &request,
                           DirectEffects &effects);

/// @brief Returns whether a request that is refused because of its digest may become a trial here.
bool mayAwaitTrial(const DirectState &state, std::uint64_t digest);

/// @brief Asks to run a request as a trial. It waits for the answer, which comes with the view.
void awaitTrial(DirectState &state, Instant now, DirectRequest &request, DirectEffects &effects);

/// @brief Applies what the view says now about the trials that requests wait for.
void updateTrials(DirectState &state, Instant now);

/// @brief Starts the trials that are due, and refuses requests that have waited too long.
void endTrialWaits(DirectState &state, Instant now, DirectEffects &effects);

/// @brief Ends the trial that a finished request was, or stops waiting for it.
void endTrial(DirectState &state, const DirectRequest &request, DirectEffects &effects);

/// @brief Returns the upstreams of a request's pool that accept new work.
const std::vector<const Upstream *> &upstreamsOf(const DirectState &state,
                                                 const DirectRequest &request);

/// @brief Chooses the upstream of a request that needs no planning.
/// @return nullptr if none may get it now
const Upstream *chooseUnplanned(DirectState &state, Instant now, const DirectRequest &request);

/// @brief Finds out whether a failed run has crashed its upstream.
///
/// An upstream that is listed with another boot id has crashed. Otherwise it is probed: one that
/// only lost a response still accepts connections.
void checkForCrash(DirectState &state, Instant now, const DirectRequest &request,
                   const RunEnded &event, DirectEffects &effects);

/// @brief Records that a run of a request has ended well.
void recordSoundRun(DirectState &state, Instant now, const DirectRequest &request);

/// @brief Reports a crash to the fleet if the probed upstream is unreachable. One that accepts
/// connections may have restarted, or another process may hold its socket: its next boot id tells.
void onUpstreamProbed(DirectState &state, Instant now, const UpstreamProbed &event,
                      DirectEffects &effects);

/// @brief Reports the crashes of upstreams that are listed with another boot id now than when they
/// broke a connection.
void reportRestarted(DirectState &state, Instant now, DirectEffects &effects);

/// @brief Tells a new leader of the crashes that former ones were told of.
void repeatCrashReports(DirectState &state, Instant now, DirectEffects &effects);

/// @brief How far a request got, and so which crashes its prompt parts don't cause.
enum class SoundUntil {
    FirstToken, ///< those before the first token
    End, ///< all
};

/// @brief Removes prompt parts that are known to be sound from the crashes to be reported again.
void forgetCrashesOf(DirectState &state, const std::vector<std::string> &parts, SoundUntil until);

/// @brief Removes the parts of quarantines that a newer view no longer contains from the crashes to
/// be reported again.
void forgetLiftedCrashes(DirectState &state, const View &newer);

/// @brief Returns the control process that plans requests; empty if none is known.
std::string chooseScheduler(const DirectState &state, Instant now);

/// @brief Handles the end of a run: finishes the request, retries it or refuses it.
void onRunEnded(DirectState &state, Instant now, const RunEnded &event, DirectEffects &effects);

/// @brief Records that the caller gets the first event of a run and tells the scheduler.
void onRunStarted(DirectState &state, const RunStarted &event, DirectEffects &effects);

/// @brief Records that an upstream leaves or wants no requests for a while.
void onUpstreamNoticed(DirectState &state, Instant now, const UpstreamNoticed &event,
                       DirectEffects &effects);

/// @brief Moves a stream to another upstream if that is allowed and can help; otherwise the silent
/// run goes on.
void onRunSilent(DirectState &state, Instant now, const RunSilent &event, DirectEffects &effects);

/// @brief Handles a message from a scheduler.
void onPeerMessage(DirectState &state, Instant now, const PeerMessage &event,
                   DirectEffects &effects);

/// @brief Plans requests of a lost scheduler at another one.
void onPeerLost(DirectState &state, Instant now, const std::string &peer, DirectEffects &effects);

/// @brief Applies a new view, share of the fleet-wide limits and leader.
void onView(DirectState &state, Instant now, const ViewChanged &event, DirectEffects &effects);

/// @brief Records when the process exits.
///
/// From then on, requests are accepted only if they are expected to end before the exit.
void onStop(DirectState &state, Instant now, const DirectStop &event, DirectEffects &effects);

/// @brief Returns whether a new request is expected to be served before the process exits.
/// @param deadlineAt when the request ends at the latest
bool isServableBeforeExit(const DirectState &state, Instant now, const RouteSpec &route,
                          Instant deadlineAt);

/// @brief Returns whether a run of a request, started now, is expected to end before the process
/// exits.
bool isRunnableBeforeExit(const DirectState &state, Instant now, const DirectRequest &request);

/// @brief Returns whether a request that has no run may get one before the process exits. A whole
/// run has to be expected to end by then; a stream that has begun needs time only for its rest.
bool mayRunBeforeExit(const DirectState &state, Instant now, const DirectRequest &request);

/// @brief Ends a request that can't be served before the process exits. Another entry can serve it.
void endForExit(DirectState &state, Instant now, std::uint64_t token, DirectEffects &effects);

/// @brief Ends requests in planning that may no longer get a run before the process exits, and all
/// requests when the exit is due.
void endUnfinishable(DirectState &state, Instant now, DirectEffects &effects);

/// @brief Records the service time of a request whose response has been delivered.
void recordServiceTime(DirectState &state, Instant now, const DirectRequest &request);

/// @brief Removes the service times of routes that are no longer configured.
void removeUnlistedRoutes(DirectState &state);

/// @brief Returns the time until the process exits as a key=value pair for the log; empty if it
/// isn't stopping.
std::string untilExitText(const DirectState &state, Instant now);

/// @brief Cancels the run and the planning of a request that is about to end.
/// @param upstreamFailed whether the cancelled run counts as a failure of its upstream
/// @param detail reason for the scheduler
void cancelWork(DirectState &state, Instant now, DirectRequest &request, bool upstreamFailed,
                const std::string &detail, DirectEffects &effects);

/// @brief Plans requests for which no scheduler was known before.
void replanUnscheduled(DirectState &state, Instant now, DirectEffects &effects);

} // namespace chervilspring::directing
