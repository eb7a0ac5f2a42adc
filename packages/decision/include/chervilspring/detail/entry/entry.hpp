/// @file
/// @brief State, events and effects of an entry.
///
/// An entry decides where a request goes. It holds requests in flight, short-lived estimates and a
/// read-only view of the fleet; nothing of it has to survive.
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

/// @brief What stays the same for the life of an entry shard.
struct EntrySettings
{
    std::string name_;
    std::string dataCenter_;
    std::uint64_t boot_ = 0;
    std::uint32_t shard_ = 0; ///< this traffic thread
    std::uint32_t shards_ = 1; ///< all traffic threads
    milliseconds staleAfter_{16000};
    std::uint64_t seed_ = 1;
};

/// @brief How an upstream is chosen among the candidates. All but Cost are baselines.
enum class RoutingMode { Cost, RoundRobin, LeastInFlight };

/// @brief Switches that experiments turn.
struct EntryPolicy
{
    RoutingMode routing_ = RoutingMode::Cost;
    bool admission_ = true; ///< refuse what can't meet its deadline
    bool limitRetries_ = true;
    bool eject_ = true; ///< avoid upstreams that fail
    bool record_ = true; ///< commit a record before non-idempotent work
};

/// @brief A request as it came from the caller.
struct CallerRequest
{
    std::uint64_t token_ = 0; ///< names the caller's connection
    std::string pipeline_;
    std::string credential_;
    std::string key_; ///< Idempotency-Key, empty if absent
    milliseconds deadline_{0}; ///< 0: the pipeline's own
    bool stream_ = false;
    std::string body_;
};
BOOST_DESCRIBE_STRUCT(CallerRequest, (),
                      (token_, pipeline_, credential_, key_, deadline_, stream_, body_))

/// @brief Somebody asks what became of a request.
struct TraceQuery
{
    std::uint64_t token_ = 0;
    RequestId request_;
    bool explain_ = false;
};
BOOST_DESCRIBE_STRUCT(TraceQuery, (), (token_, request_, explain_))

using EntryEvent = std::variant<CallerRequest, CallerGone, TraceQuery, PeerMessage, PeerLost,
                                ProposalAnswered, ViewChanged, Wake, StopRequested>;

/// @brief Whether a request had any effect.
enum class RunTruth { NotRun, MayHaveRun, Ran };
BOOST_DESCRIBE_ENUM(RunTruth, NotRun, MayHaveRun, Ran)

/// @brief Name of a RunTruth in answers: "not_run", "may_have_run" or "ran".
const char *toText(RunTruth truth);

/// @brief The end of a request.
struct Answer
{
    std::uint64_t token_ = 0;
    std::string requestId_;
    std::uint16_t errorId_ = 0; ///< 0: success
    RunTruth truth_ = RunTruth::NotRun;
    std::string step_;
    std::string peer_;
    std::string detail_;
    milliseconds retryAfter_{0}; ///< 0: a retry doesn't help
    bool replayed_ = false; ///< the stored result of an earlier request with the same key
    std::string body_;
};
BOOST_DESCRIBE_STRUCT(Answer, (),
                      (token_, requestId_, errorId_, truth_, step_, peer_, detail_, retryAfter_,
                       replayed_, body_))

/// @brief Tokens for the caller of a streamed request.
struct StreamToCaller
{
    std::uint64_t token_ = 0;
    std::string requestId_;
    std::vector<std::string> tokens_;
};
BOOST_DESCRIBE_STRUCT(StreamToCaller, (), (token_, requestId_, tokens_))

/// @brief One attempt ended; for the metrics.
struct StageMeasured
{
    std::string pipeline_;
    std::string account_;
    std::string stage_;
    bool ok_ = false;
    nanoseconds elapsed_{0}; ///< from dispatch to result
    nanoseconds serviceTime_{0}; ///< at the upstream
    double cost_ = 0; ///< cost units
};
BOOST_DESCRIBE_STRUCT(StageMeasured, (),
                      (pipeline_, account_, stage_, ok_, elapsed_, serviceTime_, cost_))

/// @brief One request ended; for the metrics.
struct RequestMeasured
{
    std::string pipeline_;
    std::string account_;
    bool attained_ = false; ///< answered whole within its deadline
    std::uint16_t errorId_ = 0;
    nanoseconds elapsed_{0};
    nanoseconds firstToken_{0}; ///< 0: not streamed
};
BOOST_DESCRIBE_STRUCT(RequestMeasured, (),
                      (pipeline_, account_, attained_, errorId_, elapsed_, firstToken_))

using EntryEffect = std::variant<SendToPeer, SubmitProposal, Answer, StreamToCaller, StageMeasured,
                                 RequestMeasured, DecisionLine, StopNow>;
using EntryEffects = std::vector<EntryEffect>;

/// @brief What an entry believes about an upstream.
struct UpstreamEstimate
{
    std::uint32_t inFlight_ = 0; ///< this shard's own attempts
    Instant heardAt_{}; ///< any message from the agent
    Instant busySince_{}; ///< inFlight_ became positive
    nanoseconds serviceTime_{0}; ///< moving mean over all kinds of work, 0: unknown
    double slowness_ = 1; ///< moving mean of service time over the stage's usual one
    std::uint32_t failures_ = 0; ///< in a row
    Instant ejectedUntil_{};
    Instant servingSince_{}; ///< for slow start
    std::uint64_t boot_ = 0;
};

/// @brief A candidate that was weighed, for explanations.
struct WeighedCandidate
{
    std::string upstream_;
    double score_ = 0; ///< expected time in ms, cost included
};
BOOST_DESCRIBE_STRUCT(WeighedCandidate, (), (upstream_, score_))

/// @brief One routing decision.
struct Decision
{
    std::uint32_t stage_ = 0;
    std::uint32_t attempt_ = 0;
    std::string upstream_;
    std::string runnerUp_;
    std::string reason_;
    std::uint32_t candidates_ = 0;
    std::vector<WeighedCandidate> weighed_;
};
BOOST_DESCRIBE_STRUCT(Decision, (),
                      (stage_, attempt_, upstream_, runnerUp_, reason_, candidates_, weighed_))

/// @brief What is known of the current attempt.
struct CurrentAttempt
{
    std::uint32_t number_ = 0;
    std::string upstream_;
    std::uint64_t agentBoot_ = 0;
    Instant sent_{};
    Instant checkAt_{}; ///< ask the agent then
    bool open_ = false; ///< counted in the upstream's inFlight_
    bool mayHaveRunBefore_ = false; ///< Request::mayHaveRun_ before this attempt was sent
    std::size_t textStart_ = 0; ///< position in streamText_ at which its tokens begin
};

/// @brief A request in flight.
struct Request
{
    RequestId id_;
    std::uint64_t token_ = 0;
    ViewPointer view_; ///< keeps pipeline_ alive
    const PipelineSpec *pipeline_ = nullptr;
    Policy policy_;
    std::string account_;
    std::string key_;
    std::uint64_t contentDigest_ = 0; ///< of account, pipeline and body
    Instant arrived_{};
    Instant deadline_{};
    bool stream_ = false;
    bool callerGone_ = false;
    RequestPhase phase_ = RequestPhase::Reserving;
    std::uint32_t stage_ = 0;
    CurrentAttempt attempt_;
    Record foreign_; ///< record of another request with the same key, while Waiting or Inquiring
    bool followsForeign_ = false;
    std::string input_; ///< of the current stage
    std::uint32_t tokens_ = 0; ///< received so far of the current stage
    std::string streamText_; ///< joined tokens of the current stage
    Instant firstToken_{};
    bool mayHaveRun_ = false; ///< some attempt is not known never to have started
    bool isolate_ = false;
    bool replayed_ = false;
    bool ownsRecord_ = false; ///< the record of the current stage names an attempt of this request
    AttemptId recorded_; ///< the attempt that the record names, while ownsRecord_
    std::optional<std::string> result_; ///< of the current stage, while it is being recorded
    std::uint32_t crashes_ = 0; ///< attempts during which the upstream crashed
    std::uint64_t proposal_ = 0; ///< token of the proposal that is waited for
    Instant retryAt_{}; ///< for Waiting and Inquiring
    std::set<std::string> tried_; ///< upstreams that failed in the current stage
    std::vector<Decision> decisions_;
};

/// @brief A request that ended, for explanations.
struct FinishedRequest
{
    RequestId id_;
    std::string pipeline_;
    std::string account_;
    std::uint16_t errorId_ = 0;
    RunTruth truth_ = RunTruth::NotRun;
    std::string detail_;
    std::vector<Decision> decisions_;
};

/// @brief Rate and concurrency of one account at this entry.
struct AccountUse
{
    std::uint32_t inFlight_ = 0;
    double tokens_ = 0; ///< requests that may start now
    Instant filledAt_{};
};

/// @brief First attempts and retries of a pipeline.
struct RetryBudget
{
    double allowed_ = 3; ///< retries that may start now
};

/// @brief Candidates of one stage in one view, computed once.
struct CandidateList
{
    std::vector<const Upstream *> upstreams_;
};

/// @brief Whole state of an entry shard.
struct EntryState
{
    EntrySettings settings_;
    EntryPolicy policy_;
    ViewPointer view_ = std::make_shared<const View>();
    Instant asOf_{};
    std::uint32_t share_ = 0;
    Instant shareExpires_{};
    std::map<std::uint64_t, Request> requests_; ///< by sequence
    std::map<std::uint64_t, std::uint64_t> byToken_; ///< caller token to sequence
    std::map<std::uint64_t, std::uint64_t> byProposal_; ///< proposal token to sequence
    std::multimap<Instant, std::uint64_t> timers_; ///< sequence to look at
    std::uint64_t nextSequence_ = 1;
    std::uint64_t nextProposal_ = 1;
    std::unordered_map<std::string, UpstreamEstimate> estimates_;
    std::map<std::string, nanoseconds> stageTimes_; ///< usual service time by pipeline and stage
    std::map<std::string, AccountUse> accounts_;
    std::map<std::string, RetryBudget> budgets_;
    std::map<std::string, std::string> credentials_; ///< credential to account, for this view
    std::map<std::string, CandidateList> candidates_; ///< by pipeline, stage and policy
    std::map<std::string, std::size_t> roundRobin_;
    std::deque<FinishedRequest> finished_; ///< newest last, bounded
    bool stopping_ = false;
    bool stopped_ = false;
    std::mt19937_64 random_;
};

/// @brief Initial state.
EntryState makeEntry(const EntrySettings &settings, const EntryPolicy &policy = {});

/// @brief Handles one event.
/// @param state the state
/// @param now local time
/// @param wall wall clock, to check the date in idempotency keys
/// @param event what happened
/// @param effects receives what has to be done, in order
/// @since 0.1.0
void reduce(EntryState &state, Instant now, WallTime wall, const EntryEvent &event,
            EntryEffects &effects);

/// @brief When a Wake event is due.
Instant nextWake(const EntryState &state);

/// @brief Whether the platform's balancer may send requests here.
bool isReady(const EntryState &state, Instant now);

} // namespace chervilspring
