/// @file
/// @brief Entry state machine for routes: requests sent directly to upstreams, without an agent.
///
/// The entry guarantees at-most-once execution: an unsafe request is sent to a second upstream only
/// if the first one reported that it did not execute it, or if nothing was sent to the first.
#pragma once

#include "chervilspring/detail/direct/caller_patience.hpp"
#include "chervilspring/detail/direct/retry_budget.hpp"
#include "chervilspring/detail/direct/route_table.hpp"
#include "chervilspring/detail/direct/upstream_choice.hpp"
#include "chervilspring/detail/scheduler/time_estimate.hpp"
#include "chervilspring/detail/upstream_notices.hpp"
#include "chervilspring/events.hpp"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace chervilspring {

/// @brief Event: a caller's request on a route, without its body.
struct DirectCall
{
    std::uint64_t token_ = 0; ///< id of the request within the entry, set by the receiving thread
    std::string id_; ///< id of the client attempt
    std::string host_; ///< host name without a port, in lower case
    std::string path_; ///< path without the query
    std::string credential_; ///< API key of the caller; empty: none
    nanoseconds callerTimeout_{0}; ///< time that the caller waits for the response
    std::vector<std::uint32_t> pieceCounts_; ///< number of pieces by stage; 0: the stage is skipped
    /// Key given by the caller. It is sent with the pieces of stages without predecessors.
    std::string pieceKey_;
    std::uint32_t promptTokens_ = 0; ///< length of the prompt
    std::uint32_t outputTokens_ = 0; ///< expected length of the output
    std::vector<PromptPart> parts_; ///< parts of the prompt, in prompt order
    std::string lastEventId_; ///< id of the last event that the caller received; empty: none
    std::uint64_t bodyDigest_ = 0; ///< digest of the request body
};

/// @brief How a run of a request at an upstream ended.
enum class RunEnd {
    Delivered, ///< the complete response was sent to the caller
    Held, ///< the complete response was received; it is held until it is delivered or dropped
    NotSent, ///< no connection: nothing was sent
    NotExecuted, ///< the upstream reports that it did not execute the request
    InputsGone, ///< not executed, because stage results were lost
    Failed, ///< no usable response; the upstream may have executed the request
    Broken, ///< the stream ended early, after events were sent to the caller
    TimedOut, ///< the time limit of the run expired
    CallerGone, ///< the caller is no longer reachable; its exchange has ended
};

/// @brief Event: a run ended, or its response is held back.
struct RunEnded
{
    std::uint64_t token_ = 0; ///< token of the request
    std::uint32_t attempt_ = 0; ///< number of the run
    RunEnd end_ = RunEnd::Failed;
    unsigned status_ = 0; ///< HTTP status of the upstream's response; 0: none
    std::string lastEventId_; ///< id of the last event sent to the caller; empty: none
    std::string detail_; ///< text for the log
    /// Another run can continue after lastEventId_ without repeating an event that was sent.
    bool resumable_ = true;
    bool responseBegun_ = false; ///< the upstream sent bytes of a response to this run
};

/// @brief Event: the first event of a run is about to be sent to the caller.
struct RunStarted
{
    std::uint64_t token_ = 0; ///< token of the request
    std::uint32_t attempt_ = 0; ///< number of the run
};

/// @brief Event: the head of an upstream's answer has a notice. The end of the run follows.
struct UpstreamNoticed
{
    Upstream upstream_; ///< sender of the answer
    UpstreamNotice notice_;
};

/// @brief Event: no bytes of a stream have arrived for StartRun::silenceLimit_. The run goes on.
struct RunSilent
{
    std::uint64_t token_ = 0; ///< token of the request
    std::uint32_t attempt_ = 0; ///< number of the run
    std::string lastEventId_; ///< as in RunEnded
    bool resumable_ = true; ///< as in RunEnded
    nanoseconds silence_{0}; ///< time since the last bytes arrived
};

/// @brief A run whose connection broke, which may have crashed its upstream.
struct BrokenRun
{
    std::string upstream_; ///< name of the upstream
    std::uint64_t boot_ = 0; ///< boot id of the upstream when the run was started
    std::uint64_t digest_ = 0; ///< DirectRequest::digest_ of the request
    std::optional<RunCrashed> report_; ///< for the scheduler; set if the request was planned
    Instant endedAt_{};
    Instant startedAt_{};
};

/// @brief Event: result of probing whether an upstream accepts connections after it broke one.
struct UpstreamProbed
{
    BrokenRun run_; ///< as in ProbeUpstream
    bool reachable_ = false; ///< the upstream accepts connections
};

/// @brief Event: the process was told to stop.
struct DirectStop
{
    Instant exitAt_{}; ///< when the requests that are still unfinished are ended
};

using DirectEvent =
    std::variant<UpstreamProbed, DirectCall, RunEnded, RunStarted, RunSilent, UpstreamNoticed,
                 CallerGone, PeerMessage, PeerLost, ViewChanged, DirectStop, Wake>;

/// @brief Effect: send a request to an upstream.
struct StartRun
{
    std::string id_; ///< id of the client attempt
    std::uint64_t token_ = 0; ///< token of the request
    std::uint32_t attempt_ = 0; ///< number of the run within the request, starting at 1
    Upstream upstream_;
    std::string account_; ///< name of the client account; empty: none
    nanoseconds remaining_{0}; ///< time until the response must be complete
    bool streaming_ = false; ///< the response is a stream of events
    bool repeatable_ = false; ///< the request may be executed more than once
    bool hasStages_ = false; ///< the request's route has stages
    std::vector<std::string> inputs_; ///< handles of the stage results that the run needs
    std::string lastEventId_; ///< id of the event after which the stream resumes; empty: none
    std::uint32_t priority_ = 0; ///< 0 is first
    nanoseconds silenceLimit_{0}; ///< RunSilent is reported after this time; 0: never
    std::uint32_t connectionLimit_ = 0; ///< connections of this entry to the upstream; 0: no limit
};

/// @brief Effect: cancel a run, or drop its held response, since the response is no longer needed.
struct StopRun
{
    std::uint64_t token_ = 0; ///< token of the request
    std::uint32_t attempt_ = 0; ///< number of the run
};

/// @brief Effect: send the held response of a run to the caller, see RunEnd::Held.
struct DeliverHeld
{
    std::uint64_t token_ = 0; ///< token of the request
    std::uint32_t attempt_ = 0; ///< number of the run
};

/// @brief Effect: send the caller a response generated by the entry.
struct RefuseCall
{
    std::uint64_t token_ = 0; ///< token of the request
    unsigned status_ = 503; ///< HTTP status
    nanoseconds retryAfter_{0}; ///< time after which the caller may retry; 0: not stated
    std::string reason_; ///< a single word, as in DirectEnded::outcome_
};

/// @brief Effect: close the caller's connection, since its partial response can't be completed.
struct AbortCall
{
    std::uint64_t token_ = 0; ///< token of the request
};

/// @brief Effect: probe whether an upstream accepts connections.
struct ProbeUpstream
{
    Upstream upstream_;
    BrokenRun run_; ///< copied to UpstreamProbed::run_
};

/// @brief Effect: the request is finished; no further effects follow for it.
struct DirectEnded
{
    std::uint64_t token_ = 0; ///< token of the request
    std::string outcome_; ///< a single word from a small fixed set
};

using DirectEffect =
    std::variant<StartRun, StopRun, DeliverHeld, RefuseCall, AbortCall, DirectEnded, SubmitProposal,
                 ProbeUpstream, SendToPeer, DecisionLine>;
using DirectEffects = std::vector<DirectEffect>;

/// @brief Settings of the state machine.
struct DirectSettings
{
    std::string name_; ///< name of the entry
    double retryRatio_ = 0.2; ///< retries allowed for each request to a pool, fleet-wide
    std::uint32_t retrySlack_ = 0; ///< additional retries for each pool and window, fleet-wide
    nanoseconds retryWindow_ = seconds(10); ///< window in which requests and retries are counted
    std::uint64_t seed_ = 1; ///< seed of the random choices
};

/// @brief Processing phase of a request.
enum class DirectPhase {
    Planning, ///< a scheduler chooses the upstream, or has yet to be found
    Running, ///< a run is in progress at an upstream
    AwaitingTrial, ///< requests like it are refused; the entry has asked to run it as a trial
};

/// @brief A result of a request's stage, held by the upstream that produced it.
struct StageResult
{
    std::string upstream_; ///< name of the upstream that holds the result
    std::string handle_; ///< name of the result at that upstream
    Instant producedAt_{}; ///< when the scheduler reported the result
};

/// @brief A request in progress.
struct DirectRequest
{
    DirectCall call_;
    std::shared_ptr<const RouteTable> table_; ///< lookup index at the arrival of the request
    const RouteSpec *route_ = nullptr; ///< route, owned by table_
    std::string pool_; ///< name of the pool that serves the request
    std::string account_; ///< name of the client account; empty: none
    std::uint32_t priority_ = 0; ///< 0 is first
    std::uint64_t digest_ = 0; ///< digest of account, path and body; crashes are counted by it
    DirectPhase phase_ = DirectPhase::Planning;
    bool isTrial_ = false; ///< it runs although requests like it have crashed too many upstreams
    bool responseStarted_ = false; ///< part of the response was sent or is being sent
    Instant arrivedAt_{};
    Instant deadlineAt_{}; ///< the caller's deadline or the route's timeout, whichever is earlier
    /// When the caller gives up unless it gets an event, see callerPatience(). Never after
    /// deadlineAt_. Set at the arrival and whenever a stream that has begun is planned again.
    Instant startDeadlineAt_{};
    std::uint32_t attempt_ = 0; ///< number of the latest run; 0: none
    bool runStarted_ = false; ///< the first event of the latest run has arrived
    std::uint32_t possibleExecutions_ = 0; ///< runs that an upstream may have executed
    std::uint32_t planRound_ = 0; ///< number of plan requests for this request
    std::string scheduler_; ///< name of the scheduler that was asked last; empty: none
    std::string upstream_; ///< name of the upstream of the latest run; empty: none
    std::uint64_t upstreamBoot_ = 0; ///< its boot id at the start of the run
    Instant runStartedAt_{}; ///< start of the latest run
    std::vector<std::string> avoidedUpstreams_; ///< names; used only if there is no other
    std::string lastEventId_; ///< id of the last event sent to the caller; empty: none
    /// Results by index of the stage and index of the piece within the stage.
    std::map<std::pair<std::uint32_t, std::uint32_t>, StageResult> stageResults_;
};

/// @brief Service times of a route's requests at this entry.
struct RouteTimes
{
    TimeEstimate total_; ///< from the arrival of a request to the end of its response
    TimeEstimate run_; ///< from the start of its last run
};

/// @brief Crash of a model engine that this entry has reported to a scheduler.
struct ReportedCrash
{
    RunCrashed report_; ///< without the prompt parts that this entry has seen to be sound since
    Instant at_{}; ///< end of the run
};

/// @brief The newest runs that ended well, by request digest. Those of the last one or two periods
/// are known, unless there are too many.
struct SoundRuns
{
    std::unordered_map<std::uint64_t, Instant> starts_; ///< start of the newest one, by digest
    std::unordered_map<std::uint64_t, Instant> earlierStarts_; ///< starts_ of the period before
    Instant periodStart_{};
};

/// @brief A request that waits until it may run as a trial.
struct AwaitedTrial
{
    std::uint64_t token_ = 0; ///< token of the request
    Instant refuseAt_{}; ///< when the request is refused unless startAt_ is set
    Instant startAt_ = Instant::max(); ///< when the run starts; the maximum: not allowed yet
};

/// @brief Complete state of the direct entry.
struct DirectState
{
    DirectSettings settings_;
    std::shared_ptr<const RouteTable> table_ = std::make_shared<const RouteTable>();
    std::map<std::uint64_t, DirectRequest> requests_; ///< by token
    std::map<std::string, std::uint64_t> tokensById_; ///< tokens by id of the client attempt
    std::set<std::pair<Instant, std::uint64_t>> deadlines_; ///< deadline and token of each request
    /// Time and token of each request that is refused then if no upstream has been chosen for it.
    std::set<std::pair<Instant, std::uint64_t>> startDeadlines_;
    /// Limited number of the newest crashes, oldest first. A new leader is told of them.
    std::deque<ReportedCrash> reportedCrashes_;
    /// Limited number of the newest broken runs whose upstreams accept connections, oldest first.
    /// A new boot of the upstream will show that it has crashed.
    std::deque<BrokenRun> unexplainedBreaks_;
    SoundRuns soundRuns_;
    std::map<std::uint64_t, AwaitedTrial> awaitedTrials_; ///< by digest of the requests
    Instant replanAt_ = Instant::max(); ///< when requests without a scheduler are planned again
    UpstreamTable upstreamStats_;
    NoticeTable notices_; ///< upstreams that leave or want no requests for a while
    std::map<std::string, RetryWindow> retryWindows_; ///< by pool name
    std::uint32_t sharePpm_ = 0; ///< this entry's share of fleet-wide limits, in millionths
    Instant shareExpires_{}; ///< end of the share's validity
    std::string leader_; ///< leader of the control processes; empty: unknown
    std::vector<std::string> controlNames_; ///< names of all control processes
    std::map<std::string, Instant> schedulersLostAt_; ///< time of connection loss by scheduler
    /// When unfinished requests are ended before the process exits; the maximum: it isn't stopping.
    Instant exitAt_ = Instant::max();
    Instant stopRequestedAt_{}; ///< when the process was told to stop, if exitAt_ is set
    Instant nextExitCheckAt_ = Instant::max(); ///< when endUnfinishable() is due
    std::map<std::string, RouteTimes> routeTimes_; ///< by route name, of requests that were served
    std::mt19937_64 random_; ///< for choices among pools and equal upstreams
};

/// @brief Creates the initial state.
DirectState makeDirect(const DirectSettings &settings);

/// @brief Processes one event.
/// @param effects receives the effects to carry out, in order
/// @since 0.2.0
void reduce(DirectState &state, Instant now, const DirectEvent &event, DirectEffects &effects);

/// @brief Returns when the next Wake event is due.
Instant nextWake(const DirectState &state);

/// @brief Describes the requests in progress for the log, one line for each.
std::vector<DecisionLine> describeUnfinished(const DirectState &state, Instant now);

/// @brief Returns whether the entry has a configuration and can serve requests.
bool canServe(const DirectState &state);

} // namespace chervilspring
