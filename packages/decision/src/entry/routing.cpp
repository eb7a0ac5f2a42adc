#include "chervilspring/detail/entry/routing.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr std::size_t maxSubsetSize = 24; // upstreams of one stage that one entry talks to
constexpr nanoseconds crossDataCenterLatency = microseconds(500); // one-way
constexpr nanoseconds slowStartTime = seconds(2); // after the restart of an agent
constexpr std::uint32_t failuresToEject = 3; // consecutive
constexpr nanoseconds ejectionTime = seconds(2);
constexpr nanoseconds maxSilence = milliseconds(600); // active connections are pinged every 400 ms
// A silent upstream's expected time is raised by this multiple of the time since its last message.
constexpr int silencePenalty = 4;
constexpr std::size_t maxWeighedCandidates = 4; // candidates kept for explanations
// Windows of the exponential moving means, in attempts.
constexpr int upstreamMeanWindow = 8;
constexpr int stageMeanWindow = 64;
// Increase of the service time at full concurrency, as a fraction of the service time.
constexpr double contentionFactor = 1.0;
// Multiple of the usual service time up to which an upstream does not count as slow: differing work
// and batching explain as much.
constexpr double slownessTolerance = 1.5;
// Bounds of the measured ratio to the usual service time, against single outliers.
constexpr double minSlowness = 0.1;
constexpr double maxSlowness = 20;
// Ejections apply only while at least this share of a stage's candidates is not ejected.
constexpr double minHealthyShare = 0.5;

std::string stageKey(const PipelineSpec &pipeline, std::uint32_t stage)
{
    return pipeline.name_ + "/" + std::to_string(stage);
}

Selector selectorOf(const std::string &text)
{
    return leaf::try_handle_all([&]() -> leaf::result<Selector> { return parseSelector(text); },
                                [] { return Selector{}; });
}

// Selects a subset of upstreams by rendezvous hashing: those with the highest hash for this entry.
// Each entry uses a stable subset, and a change of the fleet replaces few of its members.
void keepSubset(std::vector<const Upstream *> &list, const std::string &entry)
{
    if (list.size() <= maxSubsetSize)
        return;
    const auto rank = [&](const Upstream *item) {
        return contentDigest(entry + '/' + item->name_);
    };
    std::sort(list.begin(), list.end(),
              [&](const Upstream *a, const Upstream *b) { return rank(a) > rank(b); });
    list.resize(maxSubsetSize);
}

bool ejected(const EntryState &state, const Upstream &upstream, Instant now)
{
    const auto found = state.estimates_.find(upstream.name_);
    return state.features_.eject_ && found != state.estimates_.end()
        && found->second.ejectedUntil_ > now;
}

// Leaves out ejected upstreams, unless less than minHealthyShare would remain, and those that this
// request has tried already, unless none would remain.
std::vector<const Upstream *> eligibleUpstreams(const EntryState &state, Instant now,
                                                const Request &request,
                                                const std::vector<const Upstream *> &all)
{
    std::vector<const Upstream *> healthy;
    for (const Upstream *upstream : all) {
        if (!ejected(state, *upstream, now))
            healthy.push_back(upstream);
    }
    if (static_cast<double>(healthy.size()) < static_cast<double>(all.size()) * minHealthyShare)
        healthy = all;
    std::vector<const Upstream *> untried;
    for (const Upstream *upstream : healthy) {
        if (!request.tried_.contains(upstream->name_))
            untried.push_back(upstream);
    }
    return untried.empty() ? healthy : untried;
}

// Ignores small differences. They are noise, and routing by them would overload the upstream that
// happened to be fastest last.
double slownessFactor(const UpstreamEstimate &estimate)
{
    return estimate.slowness_ > slownessTolerance ? estimate.slowness_ : 1;
}

// Time that an upstream with attempts of this shard has sent no message; 0 if it has no attempts.
nanoseconds silentTime(const UpstreamEstimate &estimate, Instant now)
{
    if (estimate.inFlight_ == 0)
        return nanoseconds(0);
    return now - std::max(estimate.lastMessageAt_, estimate.busySince_);
}

double scoreOf(EntryState &state, Instant now, const Request &request, const Upstream &upstream)
{
    const UpstreamEstimate &estimate = state.estimates_[upstream.name_];
    const nanoseconds usual = usualServiceTime(state, *request.pipeline_, request.stage_);
    nanoseconds time = expectedTime(estimate, upstream, usual, now);
    if (isSilent(estimate, now))
        time += silentTime(estimate, now) * silencePenalty;
    if (upstream.dataCenter_ != state.settings_.dataCenter_)
        time += 2 * crossDataCenterLatency;
    const double timeMs = static_cast<double>(time.count()) / 1e6;
    const double serviceMs = static_cast<double>(usual.count()) / 1e6 * slownessFactor(estimate);
    // The service time measures the cost; the cost weight is the percentage of it that is added.
    return timeMs + serviceMs * request.policy_.costWeight_ / 100.0;
}

Route routeRoundRobin(EntryState &state, const Request &request,
                      const std::vector<const Upstream *> &list)
{
    const std::string key = stageKey(*request.pipeline_, request.stage_);
    Route route;
    route.upstream_ = list[state.roundRobin_[key]++ % list.size()];
    route.decision_.reason_ = "round_robin";
    return route;
}

Route routeLeastInFlight(EntryState &state, const std::vector<const Upstream *> &list)
{
    Route route;
    const std::size_t start = state.random_() % list.size();
    for (std::size_t i = 0; i < list.size(); ++i) {
        const Upstream *candidate = list[(start + i) % list.size()];
        const auto load = [&](const Upstream *item) {
            return state.estimates_[item->name_].inFlight_;
        };
        if (!route.upstream_ || load(candidate) < load(route.upstream_))
            route.upstream_ = candidate;
    }
    route.decision_.reason_ = "least_in_flight";
    return route;
}

struct Scored
{
    const Upstream *upstream_;
    double score_;
};

// Scores all candidates, starting at a random one so that equal upstreams share the work. The score
// counts this shard's own attempts in flight at once, so a delayed load report does not attract all
// requests to one upstream.
Route routeByCost(EntryState &state, Instant now, const Request &request,
                  const std::vector<const Upstream *> &list)
{
    std::vector<Scored> scored;
    const std::size_t start = state.random_() % list.size();
    for (std::size_t i = 0; i < list.size(); ++i) {
        const Upstream *candidate = list[(start + i) % list.size()];
        scored.push_back(Scored{candidate, scoreOf(state, now, request, *candidate)});
    }
    const std::size_t kept = std::min(scored.size(), maxWeighedCandidates);
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                      scored.end(),
                      [](const Scored &a, const Scored &b) { return a.score_ < b.score_; });
    Route route;
    route.upstream_ = scored[0].upstream_;
    route.decision_.reason_ = list.size() == 1 ? "only_candidate" : "lowest_expected_time";
    if (scored.size() > 1)
        route.decision_.runnerUp_ = scored[1].upstream_->name_;
    for (std::size_t i = 0; i < kept; ++i)
        route.decision_.weighed_.push_back({scored[i].upstream_->name_, scored[i].score_});
    return route;
}

} // namespace

const std::vector<const Upstream *> &candidatesFor(EntryState &state, const PipelineSpec &pipeline,
                                                   std::uint32_t stage, const Policy &policy)
{
    const std::string key = pipeline.name_ + "/" + std::to_string(stage) + "/" + policy.name_;
    const auto known = state.candidates_.find(key);
    if (known != state.candidates_.end())
        return known->second.upstreams_;
    const Selector byStage = selectorOf(pipeline.stages_[stage].selector_);
    const Selector byPolicy = selectorOf(policy.upstreams_);
    std::vector<const Upstream *> list;
    for (const Upstream &upstream : state.view_->upstreams_) {
        if (!takesNewWork(upstream, *state.view_))
            continue;
        const Labels labels = effectiveLabels(upstream, state.view_->fleet_);
        if (matches(byStage, labels) && matches(byPolicy, labels))
            list.push_back(&upstream);
    }
    keepSubset(list, state.settings_.name_);
    return state.candidates_.emplace(key, CandidateList{std::move(list)}).first->second.upstreams_;
}

nanoseconds usualServiceTime(const EntryState &state, const PipelineSpec &pipeline,
                             std::uint32_t stage)
{
    const auto found = state.stageTimes_.find(stageKey(pipeline, stage));
    return found == state.stageTimes_.end() ? nanoseconds(pipeline.stages_[stage].estimate_)
                                            : found->second;
}

nanoseconds expectedTime(const UpstreamEstimate &estimate, const Upstream &upstream,
                         nanoseconds usual, Instant now)
{
    const double service = static_cast<double>(usual.count()) * slownessFactor(estimate);
    const double mean = estimate.serviceTime_ > nanoseconds(0)
        ? static_cast<double>(estimate.serviceTime_.count())
        : service;
    // Counts only this shard's own attempts: load reports are delayed, and all entries would react
    // to the same report at once.
    const double load = estimate.inFlight_;
    const double slots = std::max(1u, upstream.concurrency_);
    // Concurrent attempts slow each other down; attempts beyond the concurrency wait for a slot.
    double time = service * (1 + contentionFactor * std::min(1.0, load / slots));
    time += mean * std::max(0.0, load + 1 - slots) / slots;
    // Slow start: the expected time is doubled at first and falls to its normal value.
    const nanoseconds servingTime = now - estimate.servingSince_;
    if (estimate.servingSince_ != Instant{} && servingTime < slowStartTime)
        time *= 2
            - static_cast<double>(servingTime.count()) / static_cast<double>(slowStartTime.count());
    return nanoseconds(static_cast<std::int64_t>(time));
}

nanoseconds expectedTotal(EntryState &state, Instant now, const Request &request)
{
    nanoseconds total{0};
    const auto &stages = request.pipeline_->stages_;
    for (std::uint32_t i = request.stage_; i < stages.size(); ++i) {
        nanoseconds best = nanoseconds::max();
        const nanoseconds usual = usualServiceTime(state, *request.pipeline_, i);
        for (const Upstream *item : candidatesFor(state, *request.pipeline_, i, request.policy_))
            best = std::min(best, expectedTime(state.estimates_[item->name_], *item, usual, now));
        if (best != nanoseconds::max())
            total += best;
    }
    return total;
}

Route chooseUpstream(EntryState &state, Instant now, const Request &request)
{
    const auto &all = candidatesFor(state, *request.pipeline_, request.stage_, request.policy_);
    Route route;
    if (!all.empty()) {
        const auto list = eligibleUpstreams(state, now, request, all);
        if (state.features_.routing_ == RoutingMode::RoundRobin)
            route = routeRoundRobin(state, request, list);
        else if (state.features_.routing_ == RoutingMode::LeastInFlight)
            route = routeLeastInFlight(state, list);
        else
            route = routeByCost(state, now, request, list);
        route.decision_.upstream_ = route.upstream_->name_;
    }
    route.decision_.stage_ = request.stage_;
    route.decision_.attempt_ = request.attempt_.number_;
    route.decision_.candidates_ = static_cast<std::uint32_t>(all.size());
    return route;
}

bool isSilent(const UpstreamEstimate &estimate, Instant now)
{
    return silentTime(estimate, now) > maxSilence;
}

void noteLoad(EntryState &state, Instant now, const std::string &upstream, const Load &load)
{
    UpstreamEstimate &estimate = state.estimates_[upstream];
    estimate.lastMessageAt_ = now;
    if (load.serviceTime_ > nanoseconds(0))
        estimate.serviceTime_ = load.serviceTime_;
}

void noteSuccess(EntryState &state, const Request &request, nanoseconds serviceTime)
{
    UpstreamEstimate &estimate = state.estimates_[request.attempt_.upstream_];
    estimate.consecutiveFailures_ = 0;
    const std::string key = stageKey(*request.pipeline_, request.stage_);
    nanoseconds &usual = state.stageTimes_.try_emplace(key, serviceTime).first->second;
    const double ratio = static_cast<double>(serviceTime.count())
        / static_cast<double>(std::max<std::int64_t>(1, usual.count()));
    estimate.slowness_ +=
        (std::clamp(ratio, minSlowness, maxSlowness) - estimate.slowness_) / upstreamMeanWindow;
    usual += (serviceTime - usual) / stageMeanWindow;
}

void noteFailure(EntryState &state, Instant now, const std::string &upstream)
{
    UpstreamEstimate &estimate = state.estimates_[upstream];
    if (++estimate.consecutiveFailures_ >= failuresToEject)
        estimate.ejectedUntil_ = now + ejectionTime;
}

} // namespace chervilspring
