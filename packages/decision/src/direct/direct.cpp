#include "chervilspring/detail/direct/direct.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr unsigned firstServerError = 500;

constexpr std::uint32_t crashesToRefuse = 3; // of upstreams that ran the same request
constexpr nanoseconds crashPatience = seconds(3); // for a crash to be committed
constexpr nanoseconds suspectRetry = seconds(5); // the cause may be mended by then

constexpr nanoseconds noViewRetry = milliseconds(500); // while there is no configuration
constexpr nanoseconds noUpstreamRetry = milliseconds(300);
constexpr nanoseconds fullRetry = milliseconds(200); // after upstreams refused
constexpr nanoseconds replanInterval = milliseconds(100); // while no scheduler is known
constexpr nanoseconds lostSchedulerPause = seconds(5); // before it is asked again unnamed
constexpr nanoseconds lostLeaderPause = seconds(1); // before its naming as leader is believed
constexpr nanoseconds resumeSilence = seconds(1); // of a stream that can go on elsewhere
constexpr nanoseconds leastForRepeat = milliseconds(20); // a run needs at least this long
constexpr std::uint32_t maxRuns = 6; // sends of one request, including those that did not run it
constexpr std::uint32_t priorityStep = 100; // an account's priority goes before a route's
constexpr double shareMargin = 0.9; // of the retry budget: entries count in different windows

/// How a request ended.
struct Ending
{
    std::string outcome_; ///< one word of a small set, for metrics and callers
    std::string detail_; ///< figures for the log
};

/// What a scheduler is told of a request that it planned.
enum class PlanResult { Served, NotServed, EngineFailed };

RetryLimit retryLimit(const DirectState &state, Instant now)
{
    const double share = state.shareExpires_ > now
        ? static_cast<double>(state.share_) / static_cast<double>(wholeShare)
        : 0.0;
    return RetryLimit{state.settings_.retryRatio_ * shareMargin,
                      state.settings_.retrySlack_ * share * shareMargin,
                      state.settings_.retryWindow_};
}

bool repeatable(const DirectRequest &request)
{
    const RouteSpec &route = *request.route_;
    return route.kind_ == RouteKind::Safe
        || (route.kind_ == RouteKind::Streaming && route.resumable_);
}

bool isPlanned(const DirectRequest &request)
{
    const Pool *pool = findPool(*request.table_, request.pool_);
    return pool && pool->engine_;
}

void addLine(DirectEffects &effects, const DirectRequest &request, const std::string &decision,
             const std::string &rest)
{
    effects.push_back(DecisionLine{"decision=" + decision + " request=" + request.call_.id_
                                   + " attempt=" + std::to_string(request.attempt_) + " " + rest});
}

void tellScheduler(const DirectRequest &request, PlanResult result, const std::string &detail,
                   DirectEffects &effects)
{
    if (request.scheduler_.empty())
        return;
    effects.push_back(
        SendToPeer{request.scheduler_,
                   PlanEnd{request.call_.id_, request.round_, result == PlanResult::Served, detail,
                           result == PlanResult::EngineFailed}});
}

// Removes a request; its end has been decided.
void finish(DirectState &state, Instant now, std::uint64_t token, const Ending &ending,
            unsigned status, DirectEffects &effects)
{
    const auto found = state.requests_.find(token);
    const DirectRequest &request = found->second;
    addLine(effects, request, "end",
            "outcome=" + ending.outcome_ + " " + ending.detail_
                + " status=" + std::to_string(status) + " route=" + request.route_->name_
                + " pool=" + request.pool_ + " account=" + request.account_
                + " upstream=" + request.upstream_ + " runs=" + std::to_string(request.maybeRan_)
                + " total_ms=" + millisecondsText(now - request.arrivedAt_)
                + " view=" + std::to_string(request.table_->view_->version_));
    effects.push_back(DirectEnded{token, ending.outcome_});
    state.ends_.erase({request.endAt_, token});
    state.tokens_.erase(request.call_.id_);
    state.requests_.erase(found);
}

void refuse(DirectState &state, Instant now, std::uint64_t token, unsigned status,
            nanoseconds retryAfter, const Ending &ending, DirectEffects &effects)
{
    DirectRequest &request = state.requests_.at(token);
    if (request.streamed_)
        effects.push_back(AbortCall{token});
    else
        effects.push_back(RefuseCall{token, status, retryAfter, ending.outcome_});
    finish(state, now, token, ending, status, effects);
}

// What the caller is told when there is nowhere else to go. The promise that nothing ran is given
// only if no upstream may have started.
void giveUp(DirectState &state, Instant now, std::uint64_t token, nanoseconds retryAfter,
            const Ending &ending, DirectEffects &effects)
{
    const DirectRequest &request = state.requests_.at(token);
    if (request.maybeRan_ == 0)
        refuse(state, now, token, statusUnavailable, retryAfter, ending, effects);
    else
        refuse(state, now, token, statusBadGateway, nanoseconds(0), ending, effects);
}

bool recentlyLost(const DirectState &state, const std::string &scheduler, nanoseconds pause,
                  Instant now)
{
    const auto lost = state.lostSchedulers_.find(scheduler);
    return lost != state.lostSchedulers_.end() && now - lost->second < pause;
}

// The leader of the control processes. While none is known, the first one by name that can be
// reached: all entries choose the same one, so that calls are still filled across entries.
std::string chooseScheduler(const DirectState &state, Instant now)
{
    if (!state.leader_.empty())
        return state.leader_;
    const std::set<std::string> names(state.controlNames_.begin(), state.controlNames_.end());
    for (const std::string &name : names) {
        if (!recentlyLost(state, name, lostSchedulerPause, now))
            return name;
    }
    return {};
}

PlanRequest makePlanRequest(const DirectRequest &request, Instant now, bool remake)
{
    PlanRequest plan;
    plan.id_ = request.call_.id_;
    plan.route_ = request.route_->name_;
    plan.pool_ = request.pool_;
    plan.account_ = request.account_;
    plan.priority_ = request.priority_;
    plan.untilObjective_ = request.arrivedAt_ + request.route_->objective_ - now;
    plan.untilDeadline_ = request.endAt_ - now;
    plan.pieceCounts_ = request.call_.pieceCounts_;
    plan.pieceKey_ = request.call_.pieceKey_;
    plan.promptTokens_ = request.call_.promptTokens_;
    plan.outputTokens_ = request.call_.outputTokens_;
    plan.parts_ = request.call_.parts_;
    plan.round_ = request.round_;
    plan.avoid_ = request.avoid_;
    plan.remake_ = remake;
    return plan;
}

void askScheduler(DirectState &state, Instant now, DirectRequest &request, bool remake,
                  DirectEffects &effects)
{
    request.phase_ = DirectPhase::Planning;
    const std::string scheduler = chooseScheduler(state, now);
    const std::string before = std::exchange(request.scheduler_, scheduler);
    ++request.round_;
    if (scheduler.empty()) {
        state.replanAt_ = std::min(state.replanAt_, now + replanInterval);
        return;
    }
    if (!before.empty() && before != scheduler)
        effects.push_back(
            SendToPeer{before, PlanEnd{request.call_.id_, request.round_, false, "moved", false}});
    addLine(effects, request, "plan",
            "scheduler=" + scheduler + " round=" + std::to_string(request.round_)
                + " until_objective_ms="
                + millisecondsText(request.arrivedAt_ + request.route_->objective_ - now)
                + " until_end_ms=" + millisecondsText(request.endAt_ - now));
    effects.push_back(SendToPeer{scheduler, makePlanRequest(request, now, remake)});
}

// This entry's part of the connections that an upstream takes from all callers together.
std::uint32_t connectionShare(const DirectState &state, const Pool &pool, Instant now)
{
    if (pool.connectionLimit_ == 0 || state.shareExpires_ <= now)
        return pool.connectionLimit_;
    const std::uint64_t part = std::uint64_t{pool.connectionLimit_} * state.share_ / wholeShare;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, part));
}

void startRun(DirectState &state, Instant now, DirectRequest &request, const Upstream &upstream,
              std::vector<std::string> inputs, DirectEffects &effects)
{
    if (request.attempt_ == 0)
        countRequest(state.budgets_[request.pool_], retryLimit(state, now), now);
    ++request.attempt_;
    request.upstream_ = upstream.name_;
    request.startedAt_ = now;
    request.phase_ = DirectPhase::Running;
    noteStart(state.upstreams_, upstream.name_);
    const RouteSpec &route = *request.route_;
    const Pool *pool = findPool(*request.table_, request.pool_);
    StartRun run;
    run.id_ = request.call_.id_;
    run.repeatable_ = repeatable(request);
    run.token_ = request.call_.token_;
    run.attempt_ = request.attempt_;
    run.upstream_ = upstream;
    run.account_ = request.account_;
    run.remaining_ = request.endAt_ - now;
    run.streaming_ = route.kind_ == RouteKind::Streaming;
    run.hasStages_ = !route.stages_.empty();
    run.inputs_ = std::move(inputs);
    run.lastEventId_ =
        request.lastEventId_.empty() ? request.call_.lastEventId_ : request.lastEventId_;
    run.priority_ = request.priority_;
    run.gapLimit_ = run.streaming_ && run.repeatable_ ? resumeSilence : nanoseconds(0);
    run.connectionLimit_ = pool ? connectionShare(state, *pool, now) : 0;
    addLine(effects, request, "route",
            "route=" + route.name_ + " pool=" + request.pool_ + " upstream=" + upstream.name_
                + " open=" + std::to_string(state.upstreams_[upstream.name_].open_)
                + " remaining_ms=" + millisecondsText(run.remaining_)
                + " view=" + std::to_string(state.table_->view_->version_));
    effects.push_back(std::move(run));
}

// Sends a request of a plain pool to an upstream.
void sendPlain(DirectState &state, Instant now, std::uint64_t token, DirectEffects &effects)
{
    DirectRequest &request = state.requests_.at(token);
    static const std::vector<const Upstream *> none;
    const auto members = state.table_->members_.find(request.pool_);
    const auto &list = members == state.table_->members_.end() ? none : members->second;
    const Upstream *upstream =
        chooseUpstream(list, state.upstreams_, request.avoid_, state.random_(), now);
    if (!upstream) {
        giveUp(state, now, token, noUpstreamRetry, Ending{"no_upstream"}, effects);
        return;
    }
    startRun(state, now, request, *upstream, {}, effects);
}

void sendAgain(DirectState &state, Instant now, std::uint64_t token, bool remake,
               DirectEffects &effects)
{
    DirectRequest &request = state.requests_.at(token);
    if (isPlanned(request))
        askScheduler(state, now, request, remake, effects);
    else
        sendPlain(state, now, token, effects);
}

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

const Suspect *findSuspect(const DirectState &state, std::uint64_t digest)
{
    for (const Suspect &suspect : state.table_->view_->suspects_) {
        if (suspect.digest_ == digest)
            return &suspect;
    }
    return nullptr;
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

DirectRequest *findRun(DirectState &state, std::uint64_t token, std::uint32_t attempt)
{
    const auto found = state.requests_.find(token);
    if (found == state.requests_.end() || found->second.attempt_ != attempt)
        return nullptr;
    return &found->second;
}

bool mayRepeat(DirectState &state, Instant now, DirectRequest &request)
{
    return request.attempt_ < maxRuns && request.endAt_ - now > leastForRepeat
        && takeRepeat(state.budgets_[request.pool_], retryLimit(state, now), now);
}

void onNotExecuted(DirectState &state, Instant now, const RunEnded &event, DirectRequest &request,
                   DirectEffects &effects)
{
    const bool remake = event.end_ == RunEnd::InputsGone;
    addLine(effects, request, "not_executed",
            "upstream=" + request.upstream_ + " status=" + std::to_string(event.status_)
                + " detail=" + event.detail_);
    const bool unsent = event.end_ == RunEnd::NotSent;
    if (!remake)
        request.avoid_.push_back(request.upstream_);
    const bool again = unsent ? request.attempt_ < maxRuns && request.endAt_ - now > leastForRepeat
                              : mayRepeat(state, now, request);
    if (again) {
        sendAgain(state, now, event.token_, remake, effects);
        return;
    }
    tellScheduler(request, PlanResult::NotServed, "not_executed", effects);
    giveUp(state, now, event.token_, fullRetry, Ending{"upstreams_full"}, effects);
}

// A connection that breaks before an answer may be the request's doing, if the upstream is down
// then: one that only lost an answer takes connections on.
void suspectCrash(const DirectState &state, const DirectRequest &request, DirectEffects &effects)
{
    const Suspect *known = findSuspect(state, request.digest_);
    addLine(effects, request, "crash",
            "upstream=" + request.upstream_ + " digest=" + std::to_string(request.digest_)
                + " crashes_before=" + std::to_string(known ? known->crashes_ : 0));
    const auto upstream = state.table_->upstreams_.find(request.upstream_);
    if (upstream != state.table_->upstreams_.end())
        effects.push_back(ProbeUpstream{*upstream->second, request.digest_});
}

// Counts a crash for all entries. A request that ends well clears its count.
void onUpstreamProbed(const UpstreamProbed &event, DirectEffects &effects)
{
    effects.push_back(DecisionLine{"decision=crash_checked upstream=" + event.upstream_
                                   + " digest=" + std::to_string(event.digest_)
                                   + " reachable=" + (event.reachable_ ? "true" : "false")});
    if (!event.reachable_)
        effects.push_back(
            SubmitProposal{0, ReportCrash{event.digest_, event.upstream_, false}, crashPatience});
}

void clearIfSuspect(const DirectState &state, const DirectRequest &request, DirectEffects &effects)
{
    if (findSuspect(state, request.digest_))
        effects.push_back(SubmitProposal{0, ClearSuspect{request.digest_}, crashPatience});
}

// A run that may have done its work, without an answer for the caller.
void onFailedRun(DirectState &state, Instant now, const RunEnded &event, DirectRequest &request,
                 DirectEffects &effects)
{
    ++request.maybeRan_;
    request.avoid_.push_back(request.upstream_);
    request.lastEventId_ = event.lastEventId_.empty() ? request.lastEventId_ : event.lastEventId_;
    addLine(effects, request, "run_failed",
            "upstream=" + request.upstream_
                + " took_ms=" + millisecondsText(now - request.startedAt_)
                + " last_event=" + request.lastEventId_ + " detail=" + event.detail_);
    if (event.end_ == RunEnd::Failed && event.status_ == 0)
        suspectCrash(state, request, effects);
    const bool allowed = repeatable(request) && request.maybeRan_ < request.route_->maxAttempts_;
    if (allowed && mayRepeat(state, now, request)) {
        sendAgain(state, now, event.token_, true, effects);
        return;
    }
    tellScheduler(request, PlanResult::EngineFailed, "run_failed", effects);
    if (event.end_ == RunEnd::Broken)
        refuse(state, now, event.token_, statusBadGateway, nanoseconds(0), Ending{"broken"},
               effects);
    else
        giveUp(state, now, event.token_, nanoseconds(0), Ending{"run_failed"}, effects);
}

// A whole answer of the upstream. One that reports a failure is worth another try if that is safe.
void onHeldAnswer(DirectState &state, Instant now, const RunEnded &event, DirectRequest &request,
                  DirectEffects &effects)
{
    ++request.maybeRan_;
    const bool failed = event.status_ >= firstServerError;
    const bool again = failed && repeatable(request)
        && request.maybeRan_ < request.route_->maxAttempts_ && mayRepeat(state, now, request);
    if (again) {
        addLine(effects, request, "repeat",
                "upstream=" + request.upstream_ + " status=" + std::to_string(event.status_));
        request.avoid_.push_back(request.upstream_);
        sendAgain(state, now, event.token_, true, effects);
        return;
    }
    if (!failed)
        clearIfSuspect(state, request, effects);
    tellScheduler(request, failed ? PlanResult::NotServed : PlanResult::Served, "answered",
                  effects);
    effects.push_back(DeliverHeld{event.token_, event.attempt_});
    finish(state, now, event.token_, Ending{"delivered"}, event.status_, effects);
}

void onRunEnded(DirectState &state, Instant now, const RunEnded &event, DirectEffects &effects)
{
    DirectRequest *request = findRun(state, event.token_, event.attempt_);
    if (!request)
        return;
    const bool failed = event.end_ != RunEnd::Delivered
        && !(event.end_ == RunEnd::Held && event.status_ < firstServerError)
        && event.end_ != RunEnd::InputsGone;
    noteEnd(state.upstreams_, request->upstream_, now - request->startedAt_, failed, now);
    switch (event.end_) {
    case RunEnd::Delivered:
        ++request->maybeRan_;
        clearIfSuspect(state, *request, effects);
        tellScheduler(*request, PlanResult::Served, "delivered", effects);
        finish(state, now, event.token_, Ending{"delivered"}, event.status_, effects);
        return;
    case RunEnd::Held:
        onHeldAnswer(state, now, event, *request, effects);
        return;
    case RunEnd::NotSent:
    case RunEnd::NotExecuted:
    case RunEnd::InputsGone:
        onNotExecuted(state, now, event, *request, effects);
        return;
    case RunEnd::Failed:
    case RunEnd::Broken:
    case RunEnd::TimedOut:
        onFailedRun(state, now, event, *request, effects);
        return;
    }
}

void onRunStarted(DirectState &state, const RunStarted &event, DirectEffects &effects)
{
    DirectRequest *request = findRun(state, event.token_, event.attempt_);
    if (!request)
        return;
    request->streamed_ = true;
    if (!request->scheduler_.empty())
        effects.push_back(
            SendToPeer{request->scheduler_, PlanStarted{request->call_.id_, request->round_}});
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

DirectRequest *findPlanned(DirectState &state, const std::string &peer, const std::string &id,
                           std::uint32_t round)
{
    const auto token = state.tokens_.find(id);
    if (token == state.tokens_.end())
        return nullptr;
    DirectRequest &request = state.requests_.at(token->second);
    const bool current = request.scheduler_ == peer && request.round_ == round
        && request.phase_ == DirectPhase::Planning;
    return current ? &request : nullptr;
}

void onGrant(DirectState &state, Instant now, const std::string &peer, const PlanGrant &grant,
             DirectEffects &effects)
{
    DirectRequest *request = findPlanned(state, peer, grant.id_, grant.round_);
    if (!request)
        return;
    const auto upstream = state.table_->upstreams_.find(grant.upstream_);
    if (upstream == state.table_->upstreams_.end()) {
        request->avoid_.push_back(grant.upstream_);
        askScheduler(state, now, *request, false, effects);
        return;
    }
    startRun(state, now, *request, *upstream->second, grant.inputs_, effects);
}

void onPeerMessage(DirectState &state, Instant now, const PeerMessage &event,
                   DirectEffects &effects)
{
    if (const auto *grant = std::get_if<PlanGrant>(&event.message_)) {
        onGrant(state, now, event.peer_, *grant, effects);
        return;
    }
    const auto *refusal = std::get_if<PlanRefusal>(&event.message_);
    if (!refusal)
        return;
    DirectRequest *request = findPlanned(state, event.peer_, refusal->id_, refusal->round_);
    if (!request)
        return;
    giveUp(state, now, request->call_.token_, refusal->retryAfter_,
           Ending{refusal->reason_, refusal->detail_}, effects);
}

// Requests that wait for a scheduler which is gone are handed to another one.
void onPeerLost(DirectState &state, Instant now, const std::string &peer, DirectEffects &effects)
{
    state.lostSchedulers_[peer] = now;
    if (state.leader_ == peer)
        state.leader_.clear(); // until it is named again, or its successor
    effects.push_back(DecisionLine{"decision=dependency_lost peer=" + peer});
    for (auto &[token, request] : state.requests_) {
        if (request.scheduler_ != peer)
            continue;
        request.scheduler_.clear();
        if (request.phase_ == DirectPhase::Planning)
            askScheduler(state, now, request, true, effects);
    }
}

void onView(DirectState &state, Instant now, const ViewChanged &event, DirectEffects &effects)
{
    state.share_ = event.share_;
    state.shareExpires_ = event.shareExpires_;
    const bool named =
        !event.leader_.empty() && !recentlyLost(state, event.leader_, lostLeaderPause, now);
    if (named && event.leader_ != state.leader_) {
        effects.push_back(
            DecisionLine{"decision=leader leader=" + event.leader_ + " was=" + state.leader_});
        state.leader_ = event.leader_;
        state.lostSchedulers_.erase(event.leader_);
    }
    state.controlNames_ = event.controlNames_;
    if (event.view_->version_ == state.table_->view_->version_)
        return;
    state.table_ = makeRouteTable(event.view_);
    forgetUnlisted(state.upstreams_, *state.table_);
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

void replan(DirectState &state, Instant now, DirectEffects &effects)
{
    if (now < state.replanAt_)
        return;
    state.replanAt_ = Instant::max();
    for (auto &[token, request] : state.requests_) {
        if (request.phase_ == DirectPhase::Planning && request.scheduler_.empty()
            && isPlanned(request))
            askScheduler(state, now, request, false, effects);
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
