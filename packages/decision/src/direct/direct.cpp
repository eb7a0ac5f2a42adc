#include "chervilspring/detail/direct/direct_steps.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>

namespace chervilspring {

using namespace directing;

namespace {

constexpr std::uint32_t crashesToRefuse = 3; // of upstreams that ran the same request
constexpr nanoseconds suspectRetry = seconds(5); // the cause may be mended by then
constexpr nanoseconds noViewRetry = milliseconds(500); // while there is no configuration
constexpr std::uint32_t priorityStep = 100; // an account's priority goes before a route's

void refuseUnrouted(const DirectCall &call, unsigned status, nanoseconds retryAfter,
                    const Ending &ending, const DirectState &state, DirectEffects &effects)
{
    effects.push_back(DecisionLine{
        "decision=end request=" + call.id_ + " outcome=" + ending.outcome_ + " " + ending.detail_
        + " status=" + std::to_string(status) + " host=" + call.host_ + " path=" + call.path_
        + " view=" + std::to_string(state.table_->view_->version_)});
    effects.push_back(RefuseCall{call.token_, status, retryAfter, ending.outcome_});
    effects.push_back(DirectEnded{call.token_, ending.outcome_});
}

void onCall(DirectState &state, Instant now, const DirectCall &call, DirectEffects &effects)
{
    if (!canServe(state)) {
        refuseUnrouted(call, statusUnavailable, noViewRetry, Ending{"no_configuration"}, state,
                       effects);
        return;
    }
    const RouteSpec *route = findRoute(*state.table_, call.host_, call.path_);
    if (!route) {
        refuseUnrouted(call, statusNotFound, nanoseconds(0), Ending{"no_route"}, state, effects);
        return;
    }
    const Account *account = findAccount(*state.table_, call.credential_);
    if (!account && !route->open_ && !state.table_->view_->fleet_.accounts_.empty()) {
        refuseUnrouted(call, statusUnauthorized, nanoseconds(0), Ending{"bad_credential"}, state,
                       effects);
        return;
    }
    const std::string accountName = account ? account->name_ : std::string();
    const std::uint64_t digest =
        contentDigest(accountName + "\n" + call.path_ + "\n" + std::to_string(call.bodyDigest_));
    const Suspect *suspect = findSuspect(state, digest);
    if (suspect && suspect->crashes_ >= crashesToRefuse) {
        refuseUnrouted(call, statusUnavailable, suspectRetry,
                       Ending{"crashed_upstreams", "digest=" + std::to_string(digest)}, state,
                       effects);
        return;
    }
    DirectRequest &request = state.requests_[call.token_];
    request.call_ = call;
    request.digest_ = digest;
    request.table_ = state.table_;
    request.route_ = route;
    request.pool_ = drawPool(*route, state.random_());
    request.account_ = accountName;
    request.priority_ = (account ? account->priority_ : 0) * priorityStep + route->priority_;
    request.arrivedAt_ = now;
    request.endAt_ = now + std::min<nanoseconds>(call.patience_, route->timeout_);
    state.ends_.insert({request.endAt_, call.token_});
    state.tokens_[call.id_] = call.token_;
    if (isPlanned(request))
        askScheduler(state, now, request, false, effects);
    else
        sendPlain(state, now, call.token_, effects);
}

// Stops whatever is under way for a request that is about to end.
void stopWork(DirectState &state, Instant now, DirectRequest &request, bool upstreamFailed,
              const std::string &detail, DirectEffects &effects)
{
    if (request.phase_ == DirectPhase::Running) {
        effects.push_back(StopRun{request.call_.token_, request.attempt_});
        noteEnd(state.upstreams_, request.upstream_, now - request.startedAt_, upstreamFailed, now);
        ++request.maybeRan_;
    }
    tellScheduler(request, PlanResult::NotServed, detail, effects);
}

void onCallerGone(DirectState &state, Instant now, std::uint64_t token, DirectEffects &effects)
{
    const auto found = state.requests_.find(token);
    if (found == state.requests_.end())
        return;
    stopWork(state, now, found->second, false, "caller_gone", effects);
    finish(state, now, token, Ending{"caller_gone"}, 0, effects);
}

void endOverdue(DirectState &state, Instant now, DirectEffects &effects)
{
    while (!state.ends_.empty() && state.ends_.begin()->first <= now) {
        const std::uint64_t token = state.ends_.begin()->second;
        DirectRequest &request = state.requests_.at(token);
        stopWork(state, now, request, true, "timeout", effects);
        const unsigned status = request.maybeRan_ == 0 ? statusUnavailable : statusGatewayTimeout;
        refuse(state, now, token, status, nanoseconds(0), Ending{"timeout"}, effects);
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
    return state.ends_.empty() ? state.replanAt_
                               : std::min(state.replanAt_, state.ends_.begin()->first);
}

void reduce(DirectState &state, Instant now, const DirectEvent &event, DirectEffects &effects)
{
    std::visit(Overloaded{
                   [&](const DirectCall &e) { onCall(state, now, e, effects); },
                   [&](const UpstreamProbed &e) { onUpstreamProbed(e, effects); },
                   [&](const RunEnded &e) { onRunEnded(state, now, e, effects); },
                   [&](const RunStarted &e) { onRunStarted(state, e, effects); },
                   [&](const CallerGone &e) { onCallerGone(state, now, e.token_, effects); },
                   [&](const PeerMessage &e) { onPeerMessage(state, now, e, effects); },
                   [&](const PeerLost &e) { onPeerLost(state, now, e.peer_, effects); },
                   [&](const ViewChanged &e) { onView(state, now, e, effects); },
                   [](const Wake &) {},
               },
               event);
    endOverdue(state, now, effects);
    replan(state, now, effects);
}

} // namespace chervilspring
