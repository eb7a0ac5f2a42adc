/// @file
/// @brief State, events and reducer of an agent.
///
/// An agent is the only process that calls its upstream, so it alone knows whether an attempt has
/// started. It refuses attempts that must not run, schedules the queued ones, and keeps attempts
/// for some time after they end so that it can answer inquiries.
#pragma once

#include "chervilspring/events.hpp"
#include "chervilspring/lifecycle.hpp"

#include <map>
#include <set>

namespace chervilspring {

/// @brief Settings that are constant for the lifetime of an agent.
struct AgentSettings
{
    std::string name_; ///< name of the agent and of its upstream
    std::string dataCenter_; ///< data centre of the agent
    std::uint64_t boot_ = 0; ///< boot id of the agent, different after each start
    std::string address_; ///< IP address that entries connect to
    std::uint16_t port_ = 0; ///< port that entries connect to
    std::uint32_t queueLimit_ = 256; ///< largest number of queued attempts
    milliseconds staleAfter_{16000}; ///< dispatches are refused with an older view
};

/// @brief The upstream announced itself or renewed its announcement.
struct UpstreamAnnounced
{
    std::uint32_t concurrency_ = 1; ///< number of calls that the upstream runs at once
    Labels labels_;
};
BOOST_DESCRIBE_STRUCT(UpstreamAnnounced, (), (concurrency_, labels_))

/// @brief The upstream is about to stop.
struct UpstreamLeaving
{ };
BOOST_DESCRIBE_STRUCT(UpstreamLeaving, (), ())

/// @brief The upstream generated tokens for a streamed call.
struct CallTokens
{
    AttemptId id_;
    std::vector<std::string> tokens_; ///< tokens that follow those of the previous event
};
BOOST_DESCRIBE_STRUCT(CallTokens, (), (id_, tokens_))

/// @brief A call to the upstream ended.
struct CallEnded
{
    AttemptId id_;
    ResultKind kind_ = ResultKind::Ok; ///< NotRun: the upstream could not be reached
    std::string body_; ///< output of the stage; not used if the call is streamed
    std::string detail_; ///< reason of a failure
};
BOOST_DESCRIBE_STRUCT(CallEnded, (), (id_, kind_, body_, detail_))

using AgentEvent = std::variant<PeerMessage, UpstreamAnnounced, UpstreamLeaving, CallTokens,
                                CallEnded, ViewChanged, Wake, ExitScheduled, StopRequested>;

/// @brief Effect: start a call to the upstream.
struct StartCall
{
    AttemptId id_;
    std::string stageName_;
    std::string body_; ///< input of the stage
    bool stream_ = false; ///< the result is a stream of tokens
    std::uint32_t resumeOffset_ = 0; ///< number of tokens that the entry has already
    std::uint32_t priority_ = 5; ///< 0 is most urgent, 9 least
    nanoseconds remaining_{0}; ///< time left until the deadline
};
BOOST_DESCRIBE_STRUCT(StartCall, (),
                      (id_, stageName_, body_, stream_, resumeOffset_, priority_, remaining_))

/// @brief Effect: cancel a running call.
struct CancelCall
{
    AttemptId id_;
};
BOOST_DESCRIBE_STRUCT(CancelCall, (), (id_))

/// @brief Effect: announce the state of the upstream to the control processes.
struct Announce
{
    Upstream upstream_;
};
BOOST_DESCRIBE_STRUCT(Announce, (), (upstream_))

using AgentEffect = std::variant<SendToPeer, StartCall, CancelCall, Announce, SubmitProposal,
                                 DecisionLine, StopNow>;
using AgentEffects = std::vector<AgentEffect>;

/// @brief An attempt that the agent keeps.
struct Attempt
{
    Dispatch dispatch_; ///< empty if the attempt was revoked before its dispatch arrived
    AttemptPhase phase_ = AttemptPhase::Queued;
    std::set<std::string> peers_; ///< entries that the result is sent to
    Instant deadline_{}; ///< deadline of the request
    Instant started_{}; ///< time at which the call started
    Instant removeAt_{}; ///< time of removal; set when the attempt is finished or revoked
    bool alone_ = false; ///< no other attempt has run at the upstream at the same time
    bool cancelled_ = false; ///< the entry cancelled the running call; the result is not sent
    std::vector<std::string> tokens_; ///< tokens of a streamed call from resumeOffset_ on
    AttemptResult result_; ///< set when the attempt is finished
};

/// @brief The state of an agent.
struct AgentState
{
    AgentSettings settings_;
    ViewPointer view_ = std::make_shared<const View>();
    Instant asOf_{}; ///< the view was current at this time
    UpstreamPhase phase_ = UpstreamPhase::Gone;
    std::uint32_t concurrency_ = 1; ///< number of calls that the upstream runs at once
    Labels labels_; ///< labels that the upstream announced
    Instant announcedAt_{}; ///< time of the last announcement of the upstream
    std::map<AttemptId, Attempt> attempts_; ///< all attempts that the agent keeps
    std::set<AttemptId> queued_; ///< attempts in phase Queued
    std::set<AttemptId> running_; ///< attempts in phase Running
    /// Attempts by time of removal. Only the entry with the time Attempt::removeAt_ is valid.
    std::multimap<Instant, AttemptId> removals_;
    /// Service time in ns that each account has used, for fair queueing.
    std::map<std::string, std::int64_t> serviceTimeByAccount_;
    nanoseconds serviceTime_{0}; ///< moving mean over all calls; 0: unknown
    Instant exitAt_ = Instant::max(); ///< the process leaves then, also during calls
    bool stopping_ = false; ///< new dispatches are refused
    bool stopped_ = false; ///< StopNow was emitted
};

/// @brief Creates the initial state of an agent.
AgentState makeAgent(const AgentSettings &settings);

/// @brief Handles one event.
/// @param state the state
/// @param now local time
/// @param event the event
/// @param effects receives the effects to carry out, in order
/// @since 0.1.0
void reduce(AgentState &state, Instant now, const AgentEvent &event, AgentEffects &effects);

/// @brief Time at which the next Wake event is due; Instant::max() if none is.
Instant nextWake(const AgentState &state);

/// @brief Current load, as reported in pings and results.
Load currentLoad(const AgentState &state);

/// @brief Selects the queued attempt that runs next.
///
/// Attempts are ordered by priority, then by the service time that their account has used, then by
/// deadline.
/// @return the attempt, or nothing if the queue is empty
std::optional<AttemptId> pickNext(const AgentState &state);

/// @brief Checks whether a dispatched attempt may run here.
/// @return the reason for the refusal, empty if it may run
std::string refusalReason(const AgentState &state, Instant now, const Dispatch &dispatch);

} // namespace chervilspring
