/// @file
/// @brief State, events and effects of an entry.
///
/// An entry routes requests to upstreams. Each of its traffic threads runs a shard with a state of
/// its own. A shard holds the requests in flight, short-lived estimates and a read-only view of the
/// fleet. None of this state is persistent.
#pragma once

#include "chervilspring/error.hpp"
#include "chervilspring/events.hpp"
#include "chervilspring/lifecycle.hpp"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace chervilspring {

/// @brief Settings that are constant for the lifetime of an entry shard.
struct EntrySettings
{
    std::string name_; ///< name of the entry
    std::string dataCenter_; ///< data centre of the entry
    std::uint64_t boot_ = 0; ///< boot id of the entry, different after each start
    std::uint32_t shard_ = 0; ///< index of the shard, from 0
    std::uint32_t shards_ = 1; ///< number of shards of the entry
    milliseconds staleAfter_{16000}; ///< requests are refused with an older view, by default
    std::uint64_t seed_ = 1; ///< seed of the random numbers
};

/// @brief How an upstream is chosen among the candidates. Cost chooses the lowest score, as in
/// WeighedCandidate; the other modes are baselines to compare Cost with.
enum class RoutingMode { Cost, RoundRobin, LeastInFlight };

/// @brief Feature switches, for experiments that measure what a feature contributes.
struct EntryFeatures
{
    RoutingMode routing_ = RoutingMode::Cost;
    bool admission_ = true; ///< refuse requests that cannot meet their deadline
    bool limitRetries_ = true; ///< apply the retry budget
    bool eject_ = true; ///< avoid upstreams that fail repeatedly
    bool record_ = true; ///< commit an idempotency record before a non-idempotent stage runs
};

/// @brief A request as received from a caller.
struct CallerRequest
{
    std::uint64_t token_ = 0; ///< identifies the caller's connection
    std::string pipeline_; ///< name of the pipeline
    std::string credential_; ///< identifies the client account
    std::string key_; ///< Idempotency-Key, empty if absent
    milliseconds deadline_{0}; ///< time until the answer is due; 0: the pipeline's default
    bool stream_ = false; ///< the caller takes tokens of the last stage as they arrive
    std::string body_; ///< input of the first stage
};
BOOST_DESCRIBE_STRUCT(CallerRequest, (),
                      (token_, pipeline_, credential_, key_, deadline_, stream_, body_))

/// @brief A query for the state of a request.
struct TraceQuery
{
    std::uint64_t token_ = 0; ///< identifies the connection that the answer goes to
    RequestId request_;
    bool explain_ = false; ///< include the routing decisions
};
BOOST_DESCRIBE_STRUCT(TraceQuery, (), (token_, request_, explain_))

using EntryEvent = std::variant<CallerRequest, CallerGone, TraceQuery, PeerMessage, PeerLost,
                                ProposalAnswered, ViewChanged, Wake, ExitScheduled, StopRequested>;

/// @brief Whether a request was executed.
enum class RunTruth { NotRun, MayHaveRun, Ran };
BOOST_DESCRIBE_ENUM(RunTruth, NotRun, MayHaveRun, Ran)

/// @brief Text form of a RunTruth in answers: "not_run", "may_have_run" or "ran".
const char *toText(RunTruth truth);

/// @brief The final answer to a caller.
struct Answer
{
    std::uint64_t token_ = 0; ///< token of the caller's request or query
    std::string requestId_;
    std::uint16_t errorId_ = 0; ///< number of the ErrorId; 0: success
    RunTruth truth_ = RunTruth::NotRun;
    std::string step_; ///< processing step that failed, empty on success
    std::string peer_; ///< on an error, the upstream of the last attempt, if there was one
    std::string detail_; ///< explanation of the error, empty on success
    milliseconds retryAfter_{0}; ///< 0: a retry does not help
    bool replayed_ = false; ///< holds the recorded result of an earlier request with the same key
    std::string body_; ///< result, empty on an error
};
BOOST_DESCRIBE_STRUCT(Answer, (),
                      (token_, requestId_, errorId_, truth_, step_, peer_, detail_, retryAfter_,
                       replayed_, body_))

/// @brief New tokens for the caller of a streamed request.
struct StreamToCaller
{
    std::uint64_t token_ = 0; ///< token of the caller's request
    std::string requestId_;
    std::vector<std::string> tokens_;
};
BOOST_DESCRIBE_STRUCT(StreamToCaller, (), (token_, requestId_, tokens_))

/// @brief Metrics of an attempt that has ended.
struct StageMeasured
{
    std::string pipeline_;
    std::string account_;
    std::string stage_; ///< name of the stage
    bool ok_ = false; ///< the attempt returned a result
    nanoseconds elapsed_{0}; ///< from dispatch to result
    nanoseconds serviceTime_{0}; ///< time that the upstream took
    double cost_ = 0; ///< in cost units
};
BOOST_DESCRIBE_STRUCT(StageMeasured, (),
                      (pipeline_, account_, stage_, ok_, elapsed_, serviceTime_, cost_))

/// @brief Metrics of a request that has ended.
struct RequestMeasured
{
    std::string pipeline_;
    std::string account_;
    bool attained_ = false; ///< answered without an error within its deadline
    std::uint16_t errorId_ = 0; ///< number of the ErrorId; 0: success
    nanoseconds elapsed_{0}; ///< from arrival to answer
    nanoseconds firstToken_{0}; ///< from arrival to the first token; 0: not streamed
};
BOOST_DESCRIBE_STRUCT(RequestMeasured, (),
                      (pipeline_, account_, attained_, errorId_, elapsed_, firstToken_))

using EntryEffect = std::variant<SendToPeer, SubmitProposal, Answer, StreamToCaller, StageMeasured,
                                 RequestMeasured, DecisionLine, StopNow>;
using EntryEffects = std::vector<EntryEffect>;

/// @brief Estimates of an upstream that an entry shard keeps.
struct UpstreamEstimate
{
    std::uint32_t inFlight_ = 0; ///< attempts of this shard at the upstream
    Instant lastMessageAt_{}; ///< time of the last result, tokens or ping from the agent
    Instant busySince_{}; ///< time at which inFlight_ became positive
    nanoseconds serviceTime_{0}; ///< moving mean over all stages, from load reports; 0: unknown
    double slowness_ = 1; ///< moving mean of service time / usual service time of the stage
    std::uint32_t consecutiveFailures_ = 0;
    Instant ejectedUntil_{}; ///< not chosen before this time while enough others remain
    Instant servingSince_{}; ///< start of the slow start after a restart; zero: no slow start
    std::uint64_t agentBoot_ = 0; ///< boot id of the agent that the estimates are of; 0: none yet
};

/// @brief A scored candidate, for explanations.
struct WeighedCandidate
{
    std::string upstream_;
    double score_ = 0; ///< expected time in ms plus weighted cost; lower is better
};
BOOST_DESCRIBE_STRUCT(WeighedCandidate, (), (upstream_, score_))

/// @brief The routing decision for one attempt.
struct Decision
{
    std::uint32_t stage_ = 0; ///< index of the stage
    std::uint32_t attempt_ = 0; ///< number of the attempt in the stage, from 0
    std::string upstream_; ///< name of the chosen upstream, empty if none serves the stage
    std::string runnerUp_; ///< candidate with the second-best score, empty if none
    std::string reason_; ///< reason for the choice, as a word for logs and explanations
    std::uint32_t candidates_ = 0; ///< number of candidates of the stage, ejected ones included
    std::vector<WeighedCandidate> weighed_; ///< best candidates first
};
BOOST_DESCRIBE_STRUCT(Decision, (),
                      (stage_, attempt_, upstream_, runnerUp_, reason_, candidates_, weighed_))

/// @brief The current attempt of a request.
struct CurrentAttempt
{
    std::uint32_t number_ = 0; ///< counts from 0 in each stage
    std::string upstream_;
    std::uint64_t agentBoot_ = 0; ///< boot id of the upstream's agent that may run the attempt
    Instant sent_{}; ///< time of the dispatch
    Instant checkAt_{}; ///< time from which the attempt is overdue
    bool countedInFlight_ = false; ///< the attempt is counted in the upstream's inFlight_
    bool mayHaveRunBefore_ = false; ///< Request::mayHaveRun_ before this attempt was dispatched
    std::size_t streamTextStart_ = 0; ///< position in streamText_ of the attempt's first token
};

/// @brief A request in flight.
struct Request
{
    RequestId id_;
    std::uint64_t callerToken_ = 0; ///< CallerRequest::token_
    ViewPointer view_; ///< keeps pipeline_ alive
    const PipelineSpec *pipeline_ = nullptr;
    Policy policy_;
    std::string account_;
    std::string key_; ///< Idempotency-Key, empty if absent
    std::uint64_t contentDigest_ = 0; ///< digest of account, pipeline and body
    Instant arrived_{};
    Instant deadline_{};
    bool stream_ = false; ///< the caller takes tokens of the last stage as they arrive
    bool callerGone_ = false; ///< the caller has closed its connection
    RequestPhase phase_ = RequestPhase::Reserving;
    std::uint32_t stage_ = 0; ///< index of the current stage
    CurrentAttempt attempt_;
    Record otherRecord_; ///< record of the request that is followed
    bool followsOtherRequest_ = false; ///< waits for another request with the same key
    std::string stageInput_; ///< input of the current stage
    std::uint32_t receivedTokens_ = 0; ///< number of tokens received in the current stage
    std::string streamText_; ///< concatenated tokens of the current stage
    Instant firstToken_{}; ///< arrival of the first token; zero: none yet
    bool mayHaveRun_ = false; ///< false only if no attempt can have started
    bool isolate_ = false; ///< an attempt crashed its upstream; later ones run alone at theirs
    bool replayed_ = false; ///< answered with the recorded result of another request
    bool ownsRecord_ = false; ///< has reserved or taken over the record of the current stage
    AttemptId recorded_; ///< attempt that the record names; valid while ownsRecord_ is set
    std::optional<std::string> stageResult_; ///< result of the current stage, once it is complete
    std::uint32_t crashes_ = 0; ///< attempts during which the upstream crashed
    std::uint64_t proposal_ = 0; ///< token of the pending proposal; 0: none
    Instant retryAt_{}; ///< next poll or inquiry in the phases Waiting and Inquiring
    std::set<std::string> tried_; ///< upstreams that attempts of the current stage failed at
    std::vector<Decision> decisions_; ///< one for each attempt, oldest first
};

/// @brief A request that has ended, kept for explanations.
struct FinishedRequest
{
    RequestId id_;
    std::string pipeline_;
    std::string account_;
    std::uint16_t errorId_ = 0; ///< number of the ErrorId; 0: success
    RunTruth truth_ = RunTruth::NotRun;
    std::string detail_; ///< explanation of the error, empty on success
    std::vector<Decision> decisions_; ///< one for each attempt, oldest first
};

/// @brief Requests in flight and token bucket of one account at this shard.
struct AccountUse
{
    std::uint32_t inFlight_ = 0;
    double tokens_ = 0; ///< requests that the token bucket admits now
    Instant refilledAt_{}; ///< last refill of the token bucket
};

/// @brief Retry budget of one pipeline. Each accepted request adds a fraction of a retry to it.
struct RetryBudget
{
    double remaining_ = 3; ///< retries that may start now
};

/// @brief Cached candidates of a stage under a policy; valid for one view.
struct CandidateList
{
    std::vector<const Upstream *> upstreams_;
};

/// @brief The state of an entry shard.
struct EntryState
{
    EntrySettings settings_;
    EntryFeatures features_;
    ViewPointer view_ = std::make_shared<const View>();
    Instant asOf_{}; ///< the view was current at this time
    std::uint32_t share_ = 0; ///< share of fleet-wide limits, in millionths
    Instant shareExpires_{}; ///< end of the lease on share_
    std::map<std::uint64_t, Request> requests_; ///< requests in flight by sequence number
    std::map<std::uint64_t, std::uint64_t> byCallerToken_; ///< sequence numbers by caller token
    std::map<std::uint64_t, std::uint64_t> byProposal_; ///< sequence numbers by proposal token
    std::multimap<Instant, std::uint64_t> timers_; ///< sequence numbers by time of the next check
    std::uint64_t nextSequence_ = 1;
    std::uint64_t nextProposal_ = 1;
    std::unordered_map<std::string, UpstreamEstimate> estimates_; ///< by upstream
    std::map<std::string, nanoseconds> stageTimes_; ///< usual service times by pipeline and stage
    std::map<std::string, AccountUse> accounts_; ///< by account
    std::map<std::string, RetryBudget> budgets_; ///< by pipeline
    /// Cached account by credential; valid for one fleet version.
    std::map<std::string, std::string> credentials_;
    std::map<std::string, CandidateList> candidates_; ///< by pipeline, stage and policy
    /// Number of round-robin choices so far by pipeline and stage.
    std::map<std::string, std::size_t> roundRobin_;
    std::deque<FinishedRequest> finished_; ///< oldest first, bounded
    Instant exitAt_ = Instant::max(); ///< the process leaves then; every request ends before
    bool stopping_ = false; ///< no new requests are admitted
    bool stopped_ = false; ///< StopNow was emitted
    std::mt19937_64 random_;
};

/// @brief Creates the initial state of an entry shard.
EntryState makeEntry(const EntrySettings &settings, const EntryFeatures &features = {});

/// @brief Handles the timers that are due, then one event.
/// @param state the state
/// @param now local time
/// @param wall wall-clock time, to check the date in idempotency keys
/// @param event the event
/// @param effects receives the effects to carry out, in order
/// @since 0.1.0
void reduce(EntryState &state, Instant now, WallTime wall, const EntryEvent &event,
            EntryEffects &effects);

/// @brief Time at which the next Wake event is due; Instant::max() if none is.
Instant nextWake(const EntryState &state);

/// @brief Whether the platform's load balancer may send requests to this entry: it is not stopping
/// and has a fleet configuration, a recent view and a valid share of the fleet-wide limits.
bool isReady(const EntryState &state, Instant now);

} // namespace chervilspring
