/// @file
/// @brief Steps of a request through its stages.
///
/// Each function changes one request and emits what follows. They are called by the event handlers
/// in entry.cpp only. A request may be gone when one of them returns.
#pragma once

#include "chervilspring/detail/entry/entry.hpp"

namespace chervilspring {

/// @brief What the steps need besides the request.
struct FlowContext
{
    EntryState &state_;
    Instant now_;
    EntryEffects &effects_;
};

/// @brief Starts the current stage with its first attempt.
void beginStage(FlowContext &context, Request &request);

/// @brief Chooses an upstream and reserves, reassigns or dispatches.
void startAttempt(FlowContext &context, Request &request);

/// @brief Sends the current attempt to its agent.
void dispatchAttempt(FlowContext &context, Request &request);

/// @brief Asks the agent what became of an attempt and forbids it to start.
void inquire(FlowContext &context, Request &request);

/// @brief Looks at the record of another request with the same key.
void followRecord(FlowContext &context, Request &request, const Record &record);

/// @brief Asks again for the record of another request.
void pollRecord(FlowContext &context, Request &request);

/// @brief The current attempt is known never to have started.
void onNeverStarted(FlowContext &context, Request &request, const std::string &reason);

/// @brief The upstream failed or crashed while it ran the attempt.
void onAttemptFailed(FlowContext &context, Request &request, ResultKind kind,
                     const std::string &detail);

/// @brief The agent has lost its memory, so nobody can tell whether the attempt ran.
void onAttemptUnknown(FlowContext &context, Request &request);

/// @brief The stage has a whole result; records it if it has to.
void finishStage(FlowContext &context, Request &request, const std::string &result);

/// @brief Goes on with the next stage, or answers.
void advance(FlowContext &context, Request &request);

/// @brief Answers with an error. The truth follows from what is known of the attempts.
void fail(FlowContext &context, Request &request, ErrorId id, const std::string &detail,
          milliseconds retryAfter = {});

/// @brief The deadline has passed.
void finishLate(FlowContext &context, Request &request);

/// @brief The current attempt no longer loads its upstream.
void closeAttempt(FlowContext &context, Request &request);

/// @brief Gives the current attempt up, if it may be given up.
void cancelAttempt(FlowContext &context, Request &request);

/// @brief Removes a request without an answer.
void drop(FlowContext &context, Request &request);

/// @brief Identity of the current attempt.
AttemptId attemptId(const Request &request);

/// @brief The current stage.
const StageSpec &stageOf(const Request &request);

/// @brief Makes nextWake() return at or before a time.
void lookAgainAt(EntryState &state, const Request &request, Instant when);

/// @brief Writes a decision line for a request.
void decide(FlowContext &context, const Request &request, const std::string &text);

} // namespace chervilspring
