/// @file
/// @brief The fleet configuration applied by operators: pipelines, pools, routes, accounts,
/// policies.
#pragma once

#include "chervilspring/labels.hpp"
#include "chervilspring/time.hpp"

#include <boost/describe/enum.hpp>

#include <cstdint>
#include <optional>

namespace chervilspring {

/// @brief Stage of a pipeline.
struct StageSpec
{
    std::string name_;
    std::string selector_; ///< selector over the labels of upstreams that can run the stage
    bool idempotent_ = true; ///< false: runs at most once, with a record committed before dispatch
    bool stream_ = false; ///< tokens are sent to the caller as they are generated
    milliseconds estimate_{0}; ///< service time assumed before any was measured
    std::uint32_t costPerSecond_ = 1; ///< cost units for each second of service
};
BOOST_DESCRIBE_STRUCT(StageSpec, (),
                      (name_, selector_, idempotent_, stream_, estimate_, costPerSecond_))

/// @brief Sequence of stages that share one deadline.
struct PipelineSpec
{
    std::string name_;
    Labels labels_;
    milliseconds deadline_{0}; ///< default and upper limit of the deadline of a request
    std::vector<StageSpec> stages_; ///< in the order of execution
};
BOOST_DESCRIBE_STRUCT(PipelineSpec, (), (name_, labels_, deadline_, stages_))

/// @brief Capacity of an upstream that processes pieces of stages, several in a call.
struct PieceCapacity
{
    std::uint32_t calls_ = 1; ///< number of calls processed at once
    std::uint32_t queue_ = 0; ///< number of calls that may wait at the upstream
    std::uint32_t batch_ = 1; ///< largest number of pieces in a call
    microseconds callTime_{0}; ///< duration of a call, without its pieces
    microseconds pieceTime_{0}; ///< approximate duration of each piece of a call
    std::uint64_t resultBytes_ = 0; ///< memory for results until they are freed, in bytes
    milliseconds resultLifetime_{0}; ///< time from the end of a call to the loss of its results
};
BOOST_DESCRIBE_STRUCT(PieceCapacity, (),
                      (calls_, queue_, batch_, callTime_, pieceTime_, resultBytes_,
                       resultLifetime_))

/// @brief Capacity of a model engine.
struct EngineCapacity
{
    std::uint32_t slots_ = 1; ///< number of requests that run at once
    std::uint64_t cacheTokens_ = 0; ///< memory for running requests and cached prompts, in tokens
};
BOOST_DESCRIBE_STRUCT(EngineCapacity, (), (slots_, cacheTokens_))

/// @brief Named set of upstreams. Its members get the pool's labels and the label "pool=<name>".
struct Pool
{
    std::string name_;
    std::string selector_; ///< selector over the labels of upstreams
    Labels labels_; ///< added to the labels of members
    std::uint32_t connectionLimit_ = 0; ///< fleet-wide connections to each member; 0: unlimited
    std::optional<PieceCapacity> pieces_; ///< set if members process pieces of stages
    std::optional<EngineCapacity> engine_; ///< set if members are model engines
    double coldRate_ = 0; ///< requests a second that a cold member bears; 0: unlimited
};
BOOST_DESCRIBE_STRUCT(Pool, (),
                      (name_, selector_, labels_, connectionLimit_, pieces_, engine_, coldRate_))

/// @brief Tells whether requests of a route may be repeated.
enum class RouteKind : std::uint16_t {
    Safe, ///< may run more than once
    Unsafe, ///< runs at most once for each client attempt
    Streaming, ///< answers with a stream of events; unsafe unless resumable_ is set
};
BOOST_DESCRIBE_ENUM(RouteKind, Safe, Unsafe, Streaming)

/// @brief Pool that gets a weighted part of a route's requests.
struct RouteTarget
{
    std::string pool_; ///< name of the pool
    std::uint32_t weight_ = 1; ///< share in proportion to the other targets of the route
};
BOOST_DESCRIBE_STRUCT(RouteTarget, (), (pool_, weight_))

/// @brief Stage of a route: pieces to process before a request can run at a model engine.
struct RouteStage
{
    std::string pool_; ///< name of the pool that processes the pieces
    std::vector<std::uint32_t> after_; ///< indexes of the stages whose results it needs
    std::uint64_t resultBytes_ = 0; ///< approximate size of a result in bytes
};
BOOST_DESCRIBE_STRUCT(RouteStage, (), (pool_, after_, resultBytes_))

/// @brief Route: requests with a host and path prefix that are sent to direct upstreams, without
/// agents.
struct RouteSpec
{
    std::string name_;
    std::string host_; ///< host name of the request, in lower case
    std::string pathPrefix_; ///< prefix of the request path
    RouteKind kind_ = RouteKind::Safe;
    std::uint32_t priority_ = 0; ///< 0 is the highest priority
    std::uint32_t maxAttempts_ = 1; ///< number of upstreams that one client attempt may be sent to
    milliseconds timeout_{0}; ///< longest time until the end of the answer
    milliseconds objective_{0}; ///< target latency; an answer within it is worth most
    milliseconds gapObjective_{0}; ///< target for the longest pause between events
    bool open_ = false; ///< no credential is needed
    /// Requests have prompt parts in common. Stored and sent, but not evaluated: caches are
    /// considered for every request that runs at a model engine.
    bool affine_ = false;
    bool resumable_ = false; ///< a broken stream may continue at another upstream
    std::vector<RouteTarget> targets_; ///< pools that serve the requests
    std::vector<RouteStage> stages_; ///< stages to process before a request runs
};
BOOST_DESCRIBE_STRUCT(RouteSpec, (),
                      (name_, host_, pathPrefix_, kind_, priority_, maxAttempts_, timeout_,
                       objective_, gapObjective_, open_, affine_, resumable_, targets_, stages_))

/// @brief Limits for callers of routes.
struct CallerLimits
{
    std::uint32_t headerBytes_ = 16384; ///< largest request header in bytes
    std::uint32_t bodyBytes_ = 4194304; ///< largest request body in bytes
    milliseconds headerTime_{3000}; ///< time within which the header has to be complete
    milliseconds idleTime_{15000}; ///< time that a connection may wait for the next request
};
BOOST_DESCRIBE_STRUCT(CallerLimits, (), (headerBytes_, bodyBytes_, headerTime_, idleTime_))

/// @brief Client account. Only digests of its credentials are stored.
struct Account
{
    std::string name_;
    Labels labels_;
    std::string salt_; ///< salt of credentialDigest_
    std::string credentialDigest_; ///< salted digest of the pipeline credential
    std::uint32_t requestsPerSecond_ = 0; ///< fleet-wide limit of the request rate
    std::uint32_t concurrency_ = 0; ///< limit of concurrent requests at one entry
    std::vector<std::string> keyDigests_; ///< unsalted digests of the keys for routes
    /// Priority on routes, compared before the priority of the route; 0 is the highest.
    std::uint32_t priority_ = 0;
};
BOOST_DESCRIBE_STRUCT(Account, (),
                      (name_, labels_, salt_, credentialDigest_, requestsPerSecond_, concurrency_,
                       keyDigests_, priority_))

/// @brief Rules for matching requests. Of several matching policies the first by name applies.
struct Policy
{
    std::string name_;
    std::string requests_; ///< selector over the labels of account and pipeline
    std::string upstreams_; ///< additional selector over the labels of upstreams
    std::uint32_t costWeight_ = 0; ///< in percent of attainment; 0: ignores cost
    std::uint32_t retryPercent_ = 20; ///< retries allowed for each 100 first attempts
    std::uint32_t priority_ = 5; ///< 0 runs first, 9 last
    bool serveWhenStale_ = false; ///< continue idempotent work with an outdated view
};
BOOST_DESCRIBE_STRUCT(Policy, (),
                      (name_, requests_, upstreams_, costWeight_, retryPercent_, priority_,
                       serveWhenStale_))

/// @brief Complete fleet configuration. Its version is the log index at which it was accepted.
struct Fleet
{
    seconds retention_{900}; ///< how long an idempotency record answers resends
    std::vector<PipelineSpec> pipelines_;
    std::vector<Pool> pools_;
    std::vector<Account> accounts_;
    std::vector<Policy> policies_;
    std::vector<RouteSpec> routes_;
    CallerLimits limits_;
    /// Requests on routes that aren't open need a key of one of accounts_, also if there is none.
    bool needsKey_ = false;
};
BOOST_DESCRIBE_STRUCT(Fleet, (),
                      (retention_, pipelines_, pools_, accounts_, policies_, routes_, limits_,
                       needsKey_))

/// @brief Parses a fleet file.
/// @param text content of the INI file
/// @param file name used in errors
/// @return the configuration, or an error that names file, section, key and the allowed values
/// @since 0.1.0
leaf::result<Fleet> parseFleet(const std::string &text, const std::string &file);

/// @brief Finds an element by its name_ member.
/// @param items elements with a name_ member, such as pipelines, pools or accounts
/// @param name name to find
/// @return the element, or nullptr
template<typename T> const T *findByName(const std::vector<T> &items, std::string_view name)
{
    for (const T &item : items) {
        if (item.name_ == name)
            return &item;
    }
    return nullptr;
}

} // namespace chervilspring
