#include "chervilspring/detail/direct/direct_steps.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>

namespace chervilspring {

using namespace directing;

namespace {

constexpr nanoseconds unconfiguredRetryAfter = milliseconds(500); // without a configuration
constexpr nanoseconds unstartedRetryAfter = milliseconds(100); // no engine was chosen in time
// An account's priority outranks a route's, as long as route priorities are less than this factor.
constexpr std::uint32_t accountPriorityFactor = 100;

// Refuses a call for which no request has been created.
void refuseUnrouted(const DirectCall &call, unsigned status, nanoseconds retryAfter,
                    const EndReason &reason, const DirectState &state, DirectEffects &effects)
{
    effects.push_back(DecisionLine{
        "decision=end request=" + call.id_ + " outcome=" + reason.outcome_ + " " + reason.detail_
        + " status=" + std::to_string(status) + " host=" + call.host_ + " path=" + call.path_
        + " view=" + std::to_string(state.table_->view_->version_)});
    effects.push_back(RefuseCall{call.token_, status, retryAfter, reason.outcome_});
    effects.push_back(DirectEnded{call.token_, reason.outcome_});
}

void onCall(DirectState &state, Instant now, const DirectCall &call, DirectEffects &effects)
{
    if (!canServe(state)) {
        refuseUnrouted(call, statusUnavailable, unconfiguredRetryAfter,
                       EndReason{"no_configuration"}, state, effects);
        return;
    }
    const RouteSpec *route = findRoute(*state.table_, call.host_, call.path_);
    if (!route) {
        refuseUnrouted(call, statusNotFound, nanoseconds(0), EndReason{"no_route"}, state, effects);
        return;
    }
    const Account *account = findAccount(*state.table_, call.credential_);
    if (!account && needsKey(*state.table_, *route)) {
        refuseUnrouted(call, statusUnauthorized, nanoseconds(0), EndReason{"bad_credential"}, state,
                       effects);
        return;
    }
    if (hasTooManyPieces(call.pieceCounts_, route->stages_.size())) {
        refuseUnrouted(call, statusBadRequest, nanoseconds(0), EndReason{"too_many_pieces"}, state,
                       effects);
        return;
    }
    const std::string accountName = account ? account->name_ : std::string();
    const std::uint64_t digest =
        contentDigest(accountName + "\n" + call.path_ + "\n" + std::to_string(call.bodyDigest_));
    const bool isSuspended = crashedTooOften(state, digest);
    if (isSuspended && !mayAwaitTrial(state, digest)) {
        refuseUnrouted(call, statusUnavailable, suspectRetryAfter,
                       EndReason{"crashed_upstreams", "digest=" + std::to_string(digest)}, state,
                       effects);
        return;
    }
    const Instant deadlineAt = now + std::min<nanoseconds>(call.callerTimeout_, route->timeout_);
    if (!isServableBeforeExit(state, now, *route, deadlineAt)) {
        refuseUnrouted(call, statusUnavailable, stoppingRetryAfter,
                       EndReason{"stopping", untilExitText(state, now)}, state, effects);
        return;
    }
    DirectRequest &request = state.requests_[call.token_];
    request.call_ = call;
    request.digest_ = digest;
    request.table_ = state.table_;
    request.route_ = route;
    request.pool_ = selectPool(*route, state.random_());
    request.account_ = accountName;
    request.priority_ =
        (account ? account->priority_ : 0) * accountPriorityFactor + route->priority_;
    request.arrivedAt_ = now;
    request.deadlineAt_ = deadlineAt;
    state.deadlines_.insert({request.deadlineAt_, call.token_});
    request.startDeadlineAt_ = firstStartDeadline(request);
    if (isPlanned(request))
        state.startDeadlines_.insert({unstartedRefusalAt(request), call.token_});
    state.tokensById_[call.id_] = call.token_;
    if (isSuspended)
        awaitTrial(state, now, request, effects);
    else if (isPlanned(request))
        requestPlan(state, now, request, false, effects);
    else
        startUnplannedRun(state, now, call.token_, effects);
}

void onCallerGone(DirectState &state, Instant now, std::uint64_t token, DirectEffects &effects)
{
    const auto found = state.requests_.find(token);
    if (found == state.requests_.end())
        return;
    cancelWork(state, now, found->second, false, "caller_gone", effects);
    finishRequest(state, now, token, EndReason{"caller_gone"}, 0, effects);
}

// Refuses the requests in planning whose callers are about to give up.
void refuseUnstarted(DirectState &state, Instant now, DirectEffects &effects)
{
    while (!state.startDeadlines_.empty() && state.startDeadlines_.begin()->first <= now) {
        const std::uint64_t token = state.startDeadlines_.begin()->second;
        state.startDeadlines_.erase(state.startDeadlines_.begin());
        const auto found = state.requests_.find(token);
        const bool waiting = found != state.requests_.end()
            && found->second.phase_ == DirectPhase::Planning && !found->second.responseStarted_;
        if (!waiting)
            continue;
        cancelWork(state, now, found->second, false, "start_deadline", effects);
        failRequest(state, now, token, unstartedRetryAfter, EndReason{"start_deadline"}, effects);
    }
}

// Ends the requests whose deadline has passed.
void timeOutRequests(DirectState &state, Instant now, DirectEffects &effects)
{
    while (!state.deadlines_.empty() && state.deadlines_.begin()->first <= now) {
        const std::uint64_t token = state.deadlines_.begin()->second;
        DirectRequest &request = state.requests_.at(token);
        cancelWork(state, now, request, true, "timeout", effects);
        const unsigned status =
            request.possibleExecutions_ == 0 ? statusUnavailable : statusGatewayTimeout;
        refuseRequest(state, now, token, status, nanoseconds(0), EndReason{"timeout"}, effects);
    }
}

} // namespace

DirectState makeDirect(const DirectSettings &settings)
{
    DirectState state;
    state.settings_ = settings;
    state.random_.seed(settings.seed_);
    return state;
}

bool canServe(const DirectState &state)
{
    return state.table_->view_->fleetVersion_ != 0;
}

Instant nextWake(const DirectState &state)
{
    Instant wake = std::min(state.replanAt_, state.nextExitCheckAt_);
    for (const auto *times : {&state.deadlines_, &state.startDeadlines_}) {
        if (!times->empty())
            wake = std::min(wake, times->begin()->first);
    }
    for (const auto &[digest, trial] : state.awaitedTrials_)
        wake = std::min({wake, trial.refuseAt_, trial.startAt_});
    return wake;
}

void reduce(DirectState &state, Instant now, const DirectEvent &event, DirectEffects &effects)
{
    std::visit(Overloaded{
                   [&](const DirectCall &e) { onCall(state, now, e, effects); },
                   [&](const UpstreamProbed &e) { onUpstreamProbed(state, now, e, effects); },
                   [&](const RunEnded &e) { onRunEnded(state, now, e, effects); },
                   [&](const RunStarted &e) { onRunStarted(state, e, effects); },
                   [&](const RunSilent &e) { onRunSilent(state, now, e, effects); },
                   [&](const UpstreamNoticed &e) { onUpstreamNoticed(state, now, e, effects); },
                   [&](const CallerGone &e) { onCallerGone(state, now, e.token_, effects); },
                   [&](const PeerMessage &e) { onPeerMessage(state, now, e, effects); },
                   [&](const PeerLost &e) { onPeerLost(state, now, e.peer_, effects); },
                   [&](const ViewChanged &e) { onView(state, now, e, effects); },
                   [&](const DirectStop &e) { onStop(state, now, e, effects); },
                   [](const Wake &) {},
               },
               event);
    timeOutRequests(state, now, effects);
    refuseUnstarted(state, now, effects);
    endUnfinishable(state, now, effects);
    endTrialWaits(state, now, effects);
    replanUnscheduled(state, now, effects);
}

} // namespace chervilspring
