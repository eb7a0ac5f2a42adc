#include "chervilspring/detail/entry/routing.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>
#include <cmath>

namespace chervilspring {

namespace {

constexpr std::size_t maxSubset = 24; // upstreams of one stage that one entry talks to
constexpr nanoseconds reportHalfLife = milliseconds(300);
constexpr nanoseconds otherDataCenter = microseconds(500); // one way
constexpr nanoseconds slowStart = seconds(2);
constexpr std::uint32_t failuresToEject = 3;
constexpr nanoseconds ejection = seconds(2);
constexpr int upstreamWeight = 8; // moving mean over about this many attempts
constexpr int stageWeight = 64;
constexpr double crowding = 0.5; // added to the service time at full concurrency
constexpr double minSlowness = 0.1;
constexpr double maxSlowness = 20;
constexpr double maxEjectedShare = 0.5;

std::string stageKey(const PipelineSpec &pipeline, std::uint32_t stage)
{
    return pipeline.name_ + "/" + std::to_string(stage);
}

Selector selectorOf(const std::string &text)
{
    return leaf::try_handle_all([&]() -> leaf::result<Selector> { return parseSelector(text); },
                                [] { return Selector{}; });
}

// Keeps the upstreams with the highest hash for this entry, so that each entry talks to a stable
// subset and a change of the fleet moves few of them.
void keepSubset(std::vector<const Upstream *> &list, const std::string &entry)
{
    if (list.size() <= maxSubset)
        return;
    const auto rank = [&](const Upstream *item) {
        return contentDigest(entry + '/' + item->name_);
    };
    std::sort(list.begin(), list.end(),
              [&](const Upstream *a, const Upstream *b) { return rank(a) > rank(b); });
    list.resize(maxSubset);
}

double ageFactor(nanoseconds age)
{
    return std::exp2(-static_cast<double>(age.count())
                     / static_cast<double>(reportHalfLife.count()));
}

bool ejected(const EntryState &state, const Upstream &upstream, Instant now)
{
    const auto found = state.estimates_.find(upstream.name_);
    return state.policy_.eject_ && found != state.estimates_.end()
        && found->second.ejectedUntil_ > now;
}

// Leaves out upstreams that failed, unless too few would remain.
std::vector<const Upstream *> usable(const EntryState &state, Instant now, const Request &request,
                                     const std::vector<const Upstream *> &all)
{
    std::vector<const Upstream *> healthy;
    for (const Upstream *upstream : all) {
        if (!ejected(state, *upstream, now))
            healthy.push_back(upstream);
    }
    if (static_cast<double>(healthy.size()) < static_cast<double>(all.size()) * maxEjectedShare)
        healthy = all;
    std::vector<const Upstream *> untried;
    for (const Upstream *upstream : healthy) {
        if (!request.tried_.contains(upstream->name_))
            untried.push_back(upstream);
    }
    return untried.empty() ? healthy : untried;
}

double scoreOf(EntryState &state, Instant now, const Request &request, const Upstream &upstream)
{
    const UpstreamEstimate &estimate = state.estimates_[upstream.name_];
    const nanoseconds usual = usualServiceTime(state, *request.pipeline_, request.stage_);
    nanoseconds time = expectedTime(estimate, upstream, usual, now);
    if (upstream.dataCenter_ != state.settings_.dataCenter_)
        time += 2 * otherDataCenter;
    const double milliseconds = static_cast<double>(time.count()) / 1e6;
    const double service = static_cast<double>(usual.count()) / 1e6 * estimate.slowness_;
    // With a cost weight, slow service counts beside the expected answer time.
    return milliseconds + service * request.policy_.costWeight_ / 100.0;
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

// Weighs two random candidates, so that a lagging report doesn't draw every request to one place.
Route routeByCost(EntryState &state, Instant now, const Request &request,
                  const std::vector<const Upstream *> &list)
{
    Route route;
    const std::size_t first = state.random_() % list.size();
    const std::size_t step = list.size() > 1 ? 1 + state.random_() % (list.size() - 1) : 0;
    const Upstream *one = list[first];
    const Upstream *other = list[(first + step) % list.size()];
    const double oneScore = scoreOf(state, now, request, *one);
    const double otherScore = scoreOf(state, now, request, *other);
    const bool swap = otherScore < oneScore;
    route.upstream_ = swap ? other : one;
    route.decision_.weighed_ = {{one->name_, oneScore}, {other->name_, otherScore}};
    route.decision_.runnerUp_ = (swap ? one : other)->name_;
    if (one == other) {
        route.decision_.weighed_.pop_back();
        route.decision_.runnerUp_.clear();
    }
    route.decision_.reason_ = list.size() == 1 ? "only_candidate" : "lower_expected_time";
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
        if (!takesNewWork(upstream))
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
    const double service = static_cast<double>(usual.count()) * estimate.slowness_;
    const double mean = estimate.serviceTime_ > nanoseconds(0)
        ? static_cast<double>(estimate.serviceTime_.count())
        : service;
    // Load that others put there fades with the age of the report; the own load is exact.
    const std::uint32_t foreign =
        estimate.reported_ > estimate.ownAtReport_ ? estimate.reported_ - estimate.ownAtReport_ : 0;
    const double load = estimate.inFlight_ + foreign * ageFactor(now - estimate.reportedAt_);
    const double slots = std::max(1u, upstream.concurrency_);
    // Work beside others takes longer; work beyond the concurrency waits for a slot.
    double time = service * (1 + crowding * std::min(1.0, load / slots));
    time += mean * std::max(0.0, load + 1 - slots) / slots;
    const nanoseconds serving = now - estimate.servingSince_;
    if (estimate.servingSince_ != Instant{} && serving < slowStart)
        time *= 2 - static_cast<double>(serving.count()) / static_cast<double>(slowStart.count());
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
        const auto list = usable(state, now, request, all);
        if (state.policy_.routing_ == RoutingMode::RoundRobin)
            route = routeRoundRobin(state, request, list);
        else if (state.policy_.routing_ == RoutingMode::LeastInFlight)
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

void noteLoad(EntryState &state, Instant now, const std::string &upstream, const Load &load)
{
    UpstreamEstimate &estimate = state.estimates_[upstream];
    estimate.reported_ = load.queued_ + load.running_;
    estimate.ownAtReport_ = estimate.inFlight_;
    estimate.reportedAt_ = now;
    if (load.serviceTime_ > nanoseconds(0))
        estimate.serviceTime_ = load.serviceTime_;
}

void noteSuccess(EntryState &state, const Request &request, nanoseconds serviceTime)
{
    UpstreamEstimate &estimate = state.estimates_[request.attempt_.upstream_];
    estimate.failures_ = 0;
    const std::string key = stageKey(*request.pipeline_, request.stage_);
    nanoseconds &usual = state.stageTimes_.try_emplace(key, serviceTime).first->second;
    const double ratio = static_cast<double>(serviceTime.count())
        / static_cast<double>(std::max<std::int64_t>(1, usual.count()));
    estimate.slowness_ +=
        (std::clamp(ratio, minSlowness, maxSlowness) - estimate.slowness_) / upstreamWeight;
    usual += (serviceTime - usual) / stageWeight;
}

void noteFailure(EntryState &state, Instant now, const std::string &upstream)
{
    UpstreamEstimate &estimate = state.estimates_[upstream];
    if (++estimate.failures_ >= failuresToEject)
        estimate.ejectedUntil_ = now + ejection;
}

} // namespace chervilspring
