#include "chervilspring/detail/direct/direct_steps.hpp"

#include <algorithm>

namespace chervilspring {

namespace directing {

namespace {

constexpr nanoseconds exitCheckInterval = milliseconds(50);
constexpr int allowedDeviations = 2; // above the mean service time
// The load balancer removes an entry after two failed readiness probes, one each second.
constexpr nanoseconds loadBalancerDelay = seconds(2);

bool isStopping(const DirectState &state)
{
    return state.exitAt_ != Instant::max();
}

// Returns whether a request is expected to end before the exit; without a measured time, its
// deadline has to lie before the exit.
bool endsBeforeExit(const DirectState &state, Instant now, const TimeEstimate &time,
                    Instant deadlineAt)
{
    const bool inTime =
        time.mean_ && now + meanTime(time) + allowedDeviations * time.deviation_ <= state.exitAt_;
    return inTime || deadlineAt <= state.exitAt_;
}

const char *phaseText(DirectPhase phase)
{
    switch (phase) {
    case DirectPhase::Planning:
        return "planning";
    case DirectPhase::Running:
        return "running";
    case DirectPhase::AwaitingTrial:
        return "awaiting_trial";
    }
    return "?";
}

const RouteTimes &timesOf(const DirectState &state, const std::string &route)
{
    static const RouteTimes unknown;
    const auto found = state.routeTimes_.find(route);
    return found == state.routeTimes_.end() ? unknown : found->second;
}

} // namespace

void onStop(DirectState &state, Instant now, const DirectStop &event, DirectEffects &effects)
{
    state.exitAt_ = event.exitAt_;
    state.stopRequestedAt_ = now;
    state.nextExitCheckAt_ = now;
    effects.push_back(
        DecisionLine{"decision=stop unfinished=" + std::to_string(state.requests_.size())
                     + untilExitText(state, now)});
}

bool isServableBeforeExit(const DirectState &state, Instant now, const RouteSpec &route,
                          Instant deadlineAt)
{
    if (!isStopping(state))
        return true;
    // Until the load balancer has noticed the stop, a caller that is refused may meet this entry or
    // another stopping one again. Afterwards a refusal costs it only a new connection.
    if (now - state.stopRequestedAt_ >= loadBalancerDelay)
        return deadlineAt <= state.exitAt_;
    return endsBeforeExit(state, now, timesOf(state, route.name_).total_, deadlineAt);
}

bool isRunnableBeforeExit(const DirectState &state, Instant now, const DirectRequest &request)
{
    return !isStopping(state)
        || endsBeforeExit(state, now, timesOf(state, request.route_->name_).run_,
                          request.deadlineAt_);
}

bool mayRunBeforeExit(const DirectState &state, Instant now, const DirectRequest &request)
{
    const bool resumable = request.responseStarted_ && state.exitAt_ - now >= minResumeTime;
    return resumable || isRunnableBeforeExit(state, now, request);
}

void endForExit(DirectState &state, Instant now, std::uint64_t token, DirectEffects &effects)
{
    cancelWork(state, now, state.requests_.at(token), false, "stopping", effects);
    failRequest(state, now, token, stoppingRetryAfter,
                EndReason{"stopping", untilExitText(state, now)}, effects);
}

void endUnfinishable(DirectState &state, Instant now, DirectEffects &effects)
{
    if (now < state.nextExitCheckAt_)
        return;
    const bool exitDue = now >= state.exitAt_;
    std::vector<std::uint64_t> ending;
    for (const auto &[token, request] : state.requests_) {
        const bool waiting = request.phase_ != DirectPhase::Running;
        if (exitDue || (waiting && !mayRunBeforeExit(state, now, request)))
            ending.push_back(token);
    }
    for (const std::uint64_t token : ending)
        endForExit(state, now, token, effects);
    state.nextExitCheckAt_ =
        exitDue ? Instant::max() : std::min(now + exitCheckInterval, state.exitAt_);
}

void recordServiceTime(DirectState &state, Instant now, const DirectRequest &request)
{
    RouteTimes &times = state.routeTimes_[request.route_->name_];
    addSample(times.total_, now - request.arrivedAt_);
    addSample(times.run_, now - request.runStartedAt_);
}

void removeUnlistedRoutes(DirectState &state)
{
    const auto &routes = state.table_->view_->fleet_.routes_;
    std::erase_if(state.routeTimes_, [&](const auto &item) {
        return std::none_of(routes.begin(), routes.end(),
                            [&](const RouteSpec &route) { return route.name_ == item.first; });
    });
}

std::string untilExitText(const DirectState &state, Instant now)
{
    if (!isStopping(state))
        return {};
    return " until_exit_ms=" + millisecondsText(state.exitAt_ - now);
}

} // namespace directing

std::vector<DecisionLine> describeUnfinished(const DirectState &state, Instant now)
{
    std::vector<DecisionLine> lines;
    for (const auto &[token, request] : state.requests_)
        lines.push_back(DecisionLine{
            "decision=unfinished request=" + request.call_.id_
            + " phase=" + directing::phaseText(request.phase_) + " upstream=" + request.upstream_
            + " response_started=" + (request.responseStarted_ ? "true" : "false")
            + " age_ms=" + millisecondsText(now - request.arrivedAt_) + " until_end_ms="
            + millisecondsText(request.deadlineAt_ - now) + directing::untilExitText(state, now)});
    return lines;
}

} // namespace chervilspring
