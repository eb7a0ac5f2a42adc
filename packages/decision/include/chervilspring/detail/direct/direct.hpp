/// @file
/// @brief Reducer of an entry for routes: requests that go straight to upstreams, without an agent.
///
/// The entry answers for at most once: an unsafe request goes to a second upstream only if the
/// first one said that it did not run it, or nothing was sent to it.
#pragma once

#include "chervilspring/detail/direct/retry_budget.hpp"
#include "chervilspring/detail/direct/route_table.hpp"
#include "chervilspring/detail/direct/upstream_choice.hpp"
#include "chervilspring/events.hpp"

#include <map>
#include <random>
#include <set>

namespace chervilspring {

/// @brief A caller's request on a route, without its body.
struct DirectCall
{
    std::uint64_t token_ = 0; ///< chosen by the thread that read it
    std::string id_; ///< of the client attempt
    std::string host_;
    std::string path_;
    std::string credential_;
    nanoseconds patience_{0}; ///< how long the caller waits
    std::vector<std::uint32_t> pieceCounts_; ///< by stage
    std::string pieceKey_;
    std::uint32_t promptTokens_ = 0;
    std::uint32_t outputTokens_ = 0; ///< expected
    std::vector<PromptPart> parts_;
    std::string lastEventId_; ///< the caller already has events up to this one
    std::uint64_t bodyDigest_ = 0;
};

/// @brief How a run at an upstream ended.
enum class RunEnd {
    Delivered, ///< the caller has the whole answer
    Held, ///< a whole answer is here and waits for a decision
    NotSent, ///< no connection: nothing was sent
    NotExecuted, ///< the upstream says that it did not run the request
    InputsGone, ///< the same, because results of stages are gone
    Failed, ///< no usable answer; it may have run
    Broken, ///< the stream ended early, with events at the caller
    TimedOut, ///< the time that the run was given is over
};

/// @brief A run ended, or has an answer that waits.
struct RunEnded
{
    std::uint64_t token_ = 0;
    std::uint32_t attempt_ = 0;
    RunEnd end_ = RunEnd::Failed;
    unsigned status_ = 0; ///< of the upstream's answer, 0: none
    std::string lastEventId_; ///< newest event that the caller has
    std::string detail_;
};

/// @brief The first event of a stream went to the caller.
struct RunStarted
{
    std::uint64_t token_ = 0;
    std::uint32_t attempt_ = 0;
};

/// @brief Whether an upstream still takes connections after it broke one.
struct UpstreamProbed
{
    std::string upstream_;
    std::uint64_t digest_ = 0; ///< of the request that ran there
    bool reachable_ = false;
};

using DirectEvent = std::variant<UpstreamProbed, DirectCall, RunEnded, RunStarted, CallerGone,
                                 PeerMessage, PeerLost, ViewChanged, Wake>;

/// @brief Send the request to an upstream.
struct StartRun
{
    std::string id_; ///< of the client attempt
    std::uint64_t token_ = 0;
    std::uint32_t attempt_ = 0;
    Upstream upstream_;
    std::string account_;
    nanoseconds remaining_{0}; ///< until the answer has to be complete
    bool streaming_ = false;
    bool repeatable_ = false; ///< may run more than once
    bool hasStages_ = false;
    std::vector<std::string> inputs_;
    std::string lastEventId_; ///< where a stream goes on
    std::uint32_t priority_ = 0; ///< 0 is first
    nanoseconds gapLimit_{0}; ///< longest silence between events; 0: none
    std::uint32_t connectionLimit_ = 0; ///< of this entry at the upstream
};

/// @brief Stop a run whose answer nobody needs.
struct StopRun
{
    std::uint64_t token_ = 0;
    std::uint32_t attempt_ = 0;
};

/// @brief Give the caller the answer that waits.
struct DeliverHeld
{
    std::uint64_t token_ = 0;
    std::uint32_t attempt_ = 0;
};

/// @brief Answer the caller without an upstream's answer.
struct RefuseCall
{
    std::uint64_t token_ = 0;
    unsigned status_ = 503;
    nanoseconds retryAfter_{0}; ///< 0: not said
    std::string reason_; ///< one word
};

/// @brief Close the caller's connection: what it has can't be completed.
struct AbortCall
{
    std::uint64_t token_ = 0;
};

/// @brief Find out whether an upstream still takes connections.
struct ProbeUpstream
{
    Upstream upstream_;
    std::uint64_t digest_ = 0; ///< returned with the answer
};

/// @brief The request is over; nothing more comes for it.
struct DirectEnded
{
    std::uint64_t token_ = 0;
    std::string outcome_; ///< one word of a small set
};

using DirectEffect =
    std::variant<StartRun, StopRun, DeliverHeld, RefuseCall, AbortCall, DirectEnded, SubmitProposal,
                 ProbeUpstream, SendToPeer, DecisionLine>;
using DirectEffects = std::vector<DirectEffect>;

/// @brief Settings of the reducer.
struct DirectSettings
{
    std::string name_;
    double retryRatio_ = 0.2; ///< repeats for each request to a pool, fleet-wide
    std::uint32_t retrySlack_ = 0; ///< further repeats in a window, fleet-wide
    nanoseconds retryWindow_ = seconds(10);
    std::uint64_t seed_ = 1;
};

/// @brief Where a request stands.
enum class DirectPhase { Planning, Running };

/// @brief A piece of a request that lies at its maker.
struct KnownResult
{
    std::string upstream_;
    std::string handle_;
    Instant madeAt_{};
};

/// @brief A request under way.
struct DirectRequest
{
    DirectCall call_;
    std::shared_ptr<const RouteTable> table_; ///< the configuration that it came under
    const RouteSpec *route_ = nullptr; ///< in table_
    std::string pool_;
    std::string account_;
    std::uint32_t priority_ = 0;
    std::uint64_t digest_ = 0; ///< of account, path and body: what a crash is counted against
    DirectPhase phase_ = DirectPhase::Planning;
    bool streamed_ = false; ///< the caller has a part of the answer
    Instant arrivedAt_{};
    Instant endAt_{}; ///< deadline or the route's timeout
    std::uint32_t attempt_ = 0; ///< number of the newest run
    std::uint32_t maybeRan_ = 0; ///< runs that may have been started by an upstream
    std::uint32_t round_ = 0; ///< of planning
    std::string scheduler_; ///< asked last, empty: none
    std::string upstream_; ///< of the newest run
    Instant startedAt_{}; ///< of the newest run
    std::vector<std::string> avoid_;
    std::string lastEventId_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, KnownResult> results_; ///< by stage, piece
};

/// @brief Whole state.
struct DirectState
{
    DirectSettings settings_;
    std::shared_ptr<const RouteTable> table_ = std::make_shared<const RouteTable>();
    std::map<std::uint64_t, DirectRequest> requests_; ///< by token
    std::map<std::string, std::uint64_t> tokens_; ///< by request id
    std::set<std::pair<Instant, std::uint64_t>> ends_; ///< when requests have to be over, by token
    Instant replanAt_ = Instant::max(); ///< when requests without a scheduler are looked at
    UpstreamTable upstreams_;
    std::map<std::string, RepeatWindow> budgets_; ///< by pool
    std::uint32_t share_ = 0; ///< of fleet-wide limits, in millionths
    Instant shareExpires_{};
    std::string leader_; ///< leader of the control processes, empty if unknown
    std::vector<std::string> controlNames_;
    std::map<std::string, Instant> lostSchedulers_; ///< when the connection to them broke
    std::mt19937_64 random_;
};

/// @brief Initial state.
DirectState makeDirect(const DirectSettings &settings);

/// @brief Handles one event.
/// @since 0.2.0
void reduce(DirectState &state, Instant now, const DirectEvent &event, DirectEffects &effects);

/// @brief When a Wake event is due.
Instant nextWake(const DirectState &state);

/// @brief Whether the entry can serve: it has a configuration.
bool canServe(const DirectState &state);

} // namespace chervilspring
