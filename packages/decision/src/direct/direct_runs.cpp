#include "chervilspring/detail/direct/direct_steps.hpp"

#include <algorithm>

namespace chervilspring::directing {

namespace {

constexpr unsigned firstServerError = 500;
constexpr nanoseconds crashPatience = seconds(3); // for a crash to be committed
constexpr nanoseconds noUpstreamRetry = milliseconds(300);
constexpr nanoseconds fullRetry = milliseconds(200); // after upstreams refused
constexpr nanoseconds resumeSilence = seconds(1); // of a stream that can go on elsewhere
constexpr nanoseconds leastForRepeat = milliseconds(20); // a run needs at least this long
constexpr std::uint32_t maxRuns = 6; // sends of one request, including those that did not run it
constexpr double shareMargin = 0.9; // of the retry budget: entries count in different windows

RetryLimit retryLimit(const DirectState &state, Instant now)
{
    const double share = state.shareExpires_ > now
        ? static_cast<double>(state.share_) / static_cast<double>(wholeShare)
        : 0.0;
    return RetryLimit{state.settings_.retryRatio_ * shareMargin,
                      state.settings_.retrySlack_ * share * shareMargin,
                      state.settings_.retryWindow_};
}

// This entry's part of the connections that an upstream takes from all callers together.
std::uint32_t connectionShare(const DirectState &state, const Pool &pool, Instant now)
{
    if (pool.connectionLimit_ == 0 || state.shareExpires_ <= now)
        return pool.connectionLimit_;
    const std::uint64_t part = std::uint64_t{pool.connectionLimit_} * state.share_ / wholeShare;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, part));
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

} // namespace

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

void onUpstreamProbed(const UpstreamProbed &event, DirectEffects &effects)
{
    effects.push_back(DecisionLine{"decision=crash_checked upstream=" + event.upstream_
                                   + " digest=" + std::to_string(event.digest_)
                                   + " reachable=" + (event.reachable_ ? "true" : "false")});
    if (!event.reachable_)
        effects.push_back(
            SubmitProposal{0, ReportCrash{event.digest_, event.upstream_, false}, crashPatience});
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

} // namespace chervilspring::directing
