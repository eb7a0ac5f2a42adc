/// @file
/// @brief Transitions of a request through the stages of its pipeline.
///
/// Each function changes one request and appends the resulting effects. Only the event handlers in
/// entry.cpp and the functions themselves call them. A function may answer and remove the request,
/// so the reference may dangle when it returns.
#pragma once

#include "chervilspring/detail/entry/entry.hpp"

namespace chervilspring {

/// @brief State, time and effects of the event that is being handled.
struct FlowContext
{
    EntryState &state_;
    Instant now_;
    EntryEffects &effects_;
};

/// @brief Starts the current stage with its first attempt.
void beginStage(FlowContext &context, Request &request);

/// @brief Chooses an upstream for the current attempt and dispatches it.
///
/// If the stage needs an idempotency record, the record is reserved or reassigned first.
void startAttempt(FlowContext &context, Request &request);

/// @brief Sends the current attempt to the agent of the chosen upstream.
void dispatchAttempt(FlowContext &context, Request &request);

/// @brief Asks the agent for the state of an attempt and revokes the attempt if it has not started.
///
/// The attempt is that of the followed request, if any, else the current one. If the view shows
/// that the agent has restarted, onAttemptUnknown() is called instead.
void inquire(FlowContext &context, Request &request);

/// @brief Makes a request follow another request with the same idempotency key.
///
/// Replays the recorded result, fails if the outcome is unknown, or else waits for the other
/// request and inquires about its attempt.
/// @param record the record of the other request
void followRecord(FlowContext &context, Request &request, const Record &record);

/// @brief Tries again to reserve the record that another request holds.
void pollRecord(FlowContext &context, Request &request);

/// @brief Handles proof that the attempt never started, and retries or fails.
///
/// If the attempt belongs to another request with the same key, its record is taken over.
/// @param reason the agent's reason for the refusal
void onNeverStarted(FlowContext &context, Request &request, const std::string &reason);

/// @brief Handles an attempt during which the upstream failed or crashed.
///
/// An idempotent stage is retried within the budget, but a request that has crashed several
/// upstreams is refused. The outcome of any other stage is unknown.
/// @param kind ResultKind::Failed or ResultKind::UpstreamCrashed
/// @param detail the agent's reason of the failure
void onAttemptFailed(FlowContext &context, Request &request, ResultKind kind,
                     const std::string &detail);

/// @brief Handles an attempt of which it is unknown whether it ran, for example because the agent
/// restarted.
///
/// An idempotent stage is retried. Any other stage fails, and its record, if any, is marked as
/// unknown.
void onAttemptUnknown(FlowContext &context, Request &request);

/// @brief Takes the complete result of the current stage, and records it if the stage has a record.
void finishStage(FlowContext &context, Request &request, const std::string &result);

/// @brief Starts the next stage, or answers after the last one.
void advance(FlowContext &context, Request &request);

/// @brief Answers with an error and removes the request.
///
/// The answer states whether the request may have run. The record is released if it did not.
/// @param retryAfter hint for the caller; 0: a retry does not help
void fail(FlowContext &context, Request &request, ErrorId id, const std::string &detail,
          milliseconds retryAfter = {});

/// @brief Ends a request whose deadline has passed: with an error, unless the result of the last
/// stage is complete.
void onDeadlineExpired(FlowContext &context, Request &request);

/// @brief Whether the request is expected to end before the entry leaves.
bool canEndBeforeExit(FlowContext &context, const Request &request);

/// @brief Moves the deadline of a request to the time at which the entry leaves, if that is
/// earlier.
void limitToExit(EntryState &state, Request &request);

/// @brief Refuses a request that has not run and can't end before the entry leaves.
/// @return whether it was refused
bool refuseIfLeaving(FlowContext &context, Request &request);

/// @brief Takes the current attempt off its upstream's count of attempts in flight.
void closeAttempt(FlowContext &context, Request &request);

/// @brief Cancels the current attempt if its stage is idempotent.
void cancelAttempt(FlowContext &context, Request &request);

/// @brief Removes a request without an answer.
void removeRequest(FlowContext &context, Request &request);

/// @brief Identity of the current attempt.
AttemptId attemptId(const Request &request);

/// @brief The current stage.
const StageSpec &stageOf(const Request &request);

/// @brief Schedules a check of a request for a time, at the latest for the request's deadline.
void scheduleTimer(EntryState &state, const Request &request, Instant when);

/// @brief Emits a decision line for a request.
/// @param text further key=value pairs of the line
void logDecision(FlowContext &context, const Request &request, const std::string &text);

} // namespace chervilspring
