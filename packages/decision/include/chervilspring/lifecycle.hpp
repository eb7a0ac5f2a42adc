/// @file
/// @brief State machines of members, attempts, upstreams and requests, as Boost.MSM transition
/// tables.
///
/// Each machine is compiled in its own translation unit. The functions below look transitions up in
/// a table that is derived from the machine at the first call.
#pragma once

#include "chervilspring/upstream.hpp"

#include <boost/describe/enum.hpp>

#include <optional>

namespace chervilspring {

/// @brief Role of a control process in its replicated log.
enum class MemberRole { Learner, Follower, PreCandidate, Candidate, Leader };
BOOST_DESCRIBE_ENUM(MemberRole, Learner, Follower, PreCandidate, Candidate, Leader)

/// @brief What changes a member's role.
enum class MemberTrigger {
    Promoted, ///< the member became a voter
    Demoted, ///< the member is no longer a voter
    ElectionTimeout, ///< the election timer expired
    PreVoteWon, ///< a majority would vote for the member
    ElectionWon, ///< a majority voted for the member
    LeaderSeen, ///< a leader or a newer term was seen
    QuorumLost, ///< the leader lost contact with a majority
};

/// @brief Next role of a member.
/// @param role current role
/// @param trigger what happened
/// @return the new role, or nothing if the trigger does not apply in this role
/// @since 0.1.0
std::optional<MemberRole> nextRole(MemberRole role, MemberTrigger trigger);

/// @brief Phase of an attempt at the agent. A revoked attempt has not run and can no longer start.
enum class AttemptPhase { Queued, Running, Finished, Revoked };
BOOST_DESCRIBE_ENUM(AttemptPhase, Queued, Running, Finished, Revoked)

/// @brief What changes an attempt's phase.
enum class AttemptTrigger {
    Start, ///< the call of the upstream starts
    Finish, ///< the call ended
    Revoke, ///< the attempt must not start any more, or the upstream could not be reached
};

/// @brief Next phase of an attempt.
/// @param phase current phase
/// @param trigger what happened
/// @return the new phase, or nothing if the trigger does not apply in this phase
std::optional<AttemptPhase> nextPhase(AttemptPhase phase, AttemptTrigger trigger);

/// @brief What changes an upstream's phase.
enum class UpstreamTrigger {
    Ready, ///< the upstream can take work
    Leave, ///< the upstream is about to stop
    LeaseExpired, ///< the upstream no longer announces itself, or is known to be gone
    Announce, ///< the upstream announced itself
};

/// @brief Next phase of an upstream.
/// @param phase current phase
/// @param trigger what happened
/// @return the new phase, or nothing if the trigger does not apply in this phase
std::optional<UpstreamPhase> nextPhase(UpstreamPhase phase, UpstreamTrigger trigger);

/// @brief Phase of a request at its entry.
enum class RequestPhase {
    Reserving, ///< waits for the commit of the idempotency record
    Dispatched, ///< an attempt was sent to an agent
    Inquiring, ///< asked an agent for the state of an attempt, and to revoke it if not started
    Recording, ///< waits for the commit of a stage's result
    Waiting, ///< waits for another request with the same idempotency key
    Answered, ///< ended; the request is removed
};
BOOST_DESCRIBE_ENUM(RequestPhase, Reserving, Dispatched, Inquiring, Recording, Waiting, Answered)

/// @brief What changes a request's phase: the next step of its entry. Reserve leads to Reserving,
/// Dispatch to Dispatched, and so on.
enum class RequestTrigger { Reserve, Dispatch, Inquire, Record, Wait, Answer };

/// @brief Next phase of a request.
/// @param phase current phase
/// @param trigger what happened
/// @return the new phase, or nothing if the trigger does not apply in this phase
std::optional<RequestPhase> nextPhase(RequestPhase phase, RequestTrigger trigger);

} // namespace chervilspring
