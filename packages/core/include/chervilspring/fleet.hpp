/// @file
/// @brief The configuration that operators apply: pipelines, pools, accounts and policies.
#pragma once

#include "chervilspring/labels.hpp"
#include "chervilspring/time.hpp"

#include <boost/describe/enum.hpp>

#include <cstdint>
#include <optional>

namespace chervilspring {

/// @brief One stage of a pipeline.
struct StageSpec
{
    std::string name_;
    std::string selector_; ///< over the labels of upstreams
    bool idempotent_ = true; ///< false: runs at most once, recorded before dispatch
    bool stream_ = false; ///< tokens go to the caller as they are generated
    milliseconds estimate_{0}; ///< service time assumed before anything was measured
    std::uint32_t costPerSecond_ = 1; ///< cost units for a second of service
};
BOOST_DESCRIBE_STRUCT(StageSpec, (),
                      (name_, selector_, idempotent_, stream_, estimate_, costPerSecond_))

/// @brief Stages that run one after the other under one deadline.
struct PipelineSpec
{
    std::string name_;
    Labels labels_;
    milliseconds deadline_{0}; ///< used when the caller states none, and the largest allowed
    std::vector<StageSpec> stages_;
};
BOOST_DESCRIBE_STRUCT(PipelineSpec, (), (name_, labels_, deadline_, stages_))

/// @brief What one upstream of a pool offers that works on pieces of stages, several a call.
struct PieceCapacity
{
    std::uint32_t calls_ = 1; ///< calls in progress at once
    std::uint32_t queue_ = 0; ///< calls that may wait
    std::uint32_t batch_ = 1; ///< pieces a call
    microseconds callTime_{0}; ///< of a call, whatever it holds
    microseconds pieceTime_{0}; ///< of each piece, approximate
    std::uint64_t resultBytes_ = 0; ///< room for results that were not freed
    milliseconds resultLifetime_{0}; ///< a result is dropped this long after its call
};
BOOST_DESCRIBE_STRUCT(PieceCapacity, (),
                      (calls_, queue_, batch_, callTime_, pieceTime_, resultBytes_,
                       resultLifetime_))

/// @brief What one model engine of a pool offers.
struct EngineCapacity
{
    std::uint32_t slots_ = 1; ///< requests that run at once
    std::uint64_t cacheTokens_ = 0; ///< memory shared by running requests and cached prompts
};
BOOST_DESCRIBE_STRUCT(EngineCapacity, (), (slots_, cacheTokens_))

/// @brief A named set of upstreams. Members gain the pool's labels and "pool=<name>".
struct Pool
{
    std::string name_;
    std::string selector_;
    Labels labels_;
    std::uint32_t connectionLimit_ = 0; ///< of one upstream for all callers; 0: none
    std::optional<PieceCapacity> pieces_;
    std::optional<EngineCapacity> engine_;
};
BOOST_DESCRIBE_STRUCT(Pool, (), (name_, selector_, labels_, connectionLimit_, pieces_, engine_))

/// @brief What may be repeated on a route.
enum class RouteKind : std::uint16_t {
    Safe, ///< may run more than once
    Unsafe, ///< runs at most once for each client attempt
    Streaming, ///< a series of events; unsafe unless resumable
};
BOOST_DESCRIBE_ENUM(RouteKind, Safe, Unsafe, Streaming)

/// @brief A pool that gets a part of a route's requests.
struct RouteTarget
{
    std::string pool_;
    std::uint32_t weight_ = 1;
};
BOOST_DESCRIBE_STRUCT(RouteTarget, (), (pool_, weight_))

/// @brief Work on pieces that has to be done before a request can run.
struct RouteStage
{
    std::string pool_;
    std::vector<std::uint32_t> after_; ///< stages whose results it needs
    std::uint64_t resultBytes_ = 0; ///< approximate size of a result
};
BOOST_DESCRIBE_STRUCT(RouteStage, (), (pool_, after_, resultBytes_))

/// @brief Requests of one host and path that go straight to upstreams, without an agent.
struct RouteSpec
{
    std::string name_;
    std::string host_;
    std::string pathPrefix_;
    RouteKind kind_ = RouteKind::Safe;
    std::uint32_t priority_ = 0; ///< 0 is first
    std::uint32_t maxAttempts_ = 1; ///< upstreams that one client attempt may be sent to
    milliseconds timeout_{0}; ///< longest time until the final answer
    milliseconds objective_{0}; ///< time within which an answer is worth most
    milliseconds gapObjective_{0}; ///< longest pause between events that is on time
    bool open_ = false; ///< needs no credential
    bool affine_ = false; ///< requests share prompt parts
    bool resumable_ = false; ///< a stream may go on at another upstream
    std::vector<RouteTarget> targets_;
    std::vector<RouteStage> stages_;
};
BOOST_DESCRIBE_STRUCT(RouteSpec, (),
                      (name_, host_, pathPrefix_, kind_, priority_, maxAttempts_, timeout_,
                       objective_, gapObjective_, open_, affine_, resumable_, targets_, stages_))

/// @brief What callers may send on routes.
struct CallerLimits
{
    std::uint32_t headerBytes_ = 16384;
    std::uint32_t bodyBytes_ = 4194304;
    milliseconds headerTime_{3000};
    milliseconds idleTime_{15000};
};
BOOST_DESCRIBE_STRUCT(CallerLimits, (), (headerBytes_, bodyBytes_, headerTime_, idleTime_))

/// @brief A client account. The credential itself is never stored.
struct Account
{
    std::string name_;
    Labels labels_;
    std::string salt_;
    std::string credentialDigest_;
    std::uint32_t requestsPerSecond_ = 0; ///< fleet-wide limit
    std::uint32_t concurrency_ = 0; ///< largest number of requests in flight at one entry
    std::vector<std::string> keyDigests_; ///< unsalted digests of the keys for routes
    std::uint32_t priority_ = 0; ///< on routes; goes before the route's own
};
BOOST_DESCRIBE_STRUCT(Account, (),
                      (name_, labels_, salt_, credentialDigest_, requestsPerSecond_, concurrency_,
                       keyDigests_, priority_))

/// @brief Rules for the requests that its selector matches. The first match by name applies.
struct Policy
{
    std::string name_;
    std::string requests_; ///< selector over the labels of the account and the pipeline
    std::string upstreams_; ///< further selector over the labels of upstreams
    std::uint32_t costWeight_ = 0; ///< 0: attainment only; 100: cost counts as much
    std::uint32_t retryPercent_ = 20; ///< retries allowed for each 100 first attempts
    std::uint32_t priority_ = 5; ///< 0 runs first, 9 last
    bool serveWhenStale_ = false; ///< go on with idempotent work past the staleness bound
};
BOOST_DESCRIBE_STRUCT(Policy, (),
                      (name_, requests_, upstreams_, costWeight_, retryPercent_, priority_,
                       serveWhenStale_))

/// @brief The whole configuration. Its version is the log position at which it was accepted.
struct Fleet
{
    seconds retention_{900}; ///< how long an idempotency record answers a resend
    std::vector<PipelineSpec> pipelines_;
    std::vector<Pool> pools_;
    std::vector<Account> accounts_;
    std::vector<Policy> policies_;
    std::vector<RouteSpec> routes_;
    CallerLimits limits_;
};
BOOST_DESCRIBE_STRUCT(Fleet, (),
                      (retention_, pipelines_, pools_, accounts_, policies_, routes_, limits_))

/// @brief Reads a fleet file.
/// @param text the INI text
/// @param file name used in errors
/// @return the fleet, or an error that names file, section, key and what is allowed
/// @since 0.1.0
leaf::result<Fleet> parseFleet(const std::string &text, const std::string &file);

/// @brief Finds an element by its name_ member.
/// @param items pipelines, pools, accounts or policies
/// @param name the name
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
