/// @file
/// @brief Parts of the direct entry that its source files share. Not for use elsewhere.
#pragma once

#include "chervilspring/detail/direct/direct.hpp"

namespace chervilspring::directing {

// Statuses of answers without an upstream's. 503 promises that nothing ran, 502 and 504 don't.
inline constexpr unsigned statusUnauthorized = 401;
inline constexpr unsigned statusNotFound = 404;
inline constexpr unsigned statusBadGateway = 502;
inline constexpr unsigned statusUnavailable = 503;
inline constexpr unsigned statusGatewayTimeout = 504;

/// @brief How a request ended.
struct Ending
{
    std::string outcome_; ///< one word of a small set, for metrics and callers
    std::string detail_; ///< figures for the log
};

/// @brief What a scheduler is told of a request that it planned.
enum class PlanResult { Served, NotServed, EngineFailed };

/// @brief Whether a request may run more than once.
bool repeatable(const DirectRequest &request);

/// @brief Whether a scheduler chooses the upstream of a request.
bool isPlanned(const DirectRequest &request);

/// @brief Adds a decision line about a request.
void addLine(DirectEffects &effects, const DirectRequest &request, const std::string &decision,
             const std::string &rest);

/// @brief Tells the scheduler that planned a request how it ended, if there is one.
void tellScheduler(const DirectRequest &request, PlanResult result, const std::string &detail,
                   DirectEffects &effects);

/// @brief Removes a request; its end has been decided.
void finish(DirectState &state, Instant now, std::uint64_t token, const Ending &ending,
            unsigned status, DirectEffects &effects);

/// @brief Ends a request without an upstream's answer, or cuts it off if the caller has a part of
/// one.
void refuse(DirectState &state, Instant now, std::uint64_t token, unsigned status,
            nanoseconds retryAfter, const Ending &ending, DirectEffects &effects);

/// @brief Ends a request for which there is nowhere else to go.
///
/// The promise that nothing ran is given only if no upstream may have started.
void giveUp(DirectState &state, Instant now, std::uint64_t token, nanoseconds retryAfter,
            const Ending &ending, DirectEffects &effects);

/// @brief Has a request planned, by the scheduler that is in charge now.
/// @param remake results that were handed out before are gone
void askScheduler(DirectState &state, Instant now, DirectRequest &request, bool remake,
                  DirectEffects &effects);

/// @brief Sends a request to an upstream.
/// @param inputs handles of results that the run needs
void startRun(DirectState &state, Instant now, DirectRequest &request, const Upstream &upstream,
              std::vector<std::string> inputs, DirectEffects &effects);

/// @brief Sends a request of a plain pool to the upstream that suits best.
void sendPlain(DirectState &state, Instant now, std::uint64_t token, DirectEffects &effects);

/// @brief Crash count of a request's digest.
/// @return nullptr if there is none
const Suspect *findSuspect(const DirectState &state, std::uint64_t digest);

/// @brief Counts a crash for all entries if the upstream is down.
void onUpstreamProbed(const UpstreamProbed &event, DirectEffects &effects);

/// @brief Decides what follows the end of a run.
void onRunEnded(DirectState &state, Instant now, const RunEnded &event, DirectEffects &effects);

/// @brief Notes that the caller has the first events.
void onRunStarted(DirectState &state, const RunStarted &event, DirectEffects &effects);

/// @brief Handles what a scheduler says.
void onPeerMessage(DirectState &state, Instant now, const PeerMessage &event,
                   DirectEffects &effects);

/// @brief Hands requests that wait for a scheduler which is gone to another one.
void onPeerLost(DirectState &state, Instant now, const std::string &peer, DirectEffects &effects);

/// @brief Takes a newer view, share of limits and leader.
void onView(DirectState &state, Instant now, const ViewChanged &event, DirectEffects &effects);

/// @brief Asks again for requests for which no scheduler was known.
void replan(DirectState &state, Instant now, DirectEffects &effects);

} // namespace chervilspring::directing
