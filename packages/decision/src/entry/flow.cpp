#include "chervilspring/detail/entry/flow.hpp"

#include "chervilspring/detail/entry/admission.hpp"
#include "chervilspring/detail/entry/routing.hpp"
#include "chervilspring/digest.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace chervilspring {

namespace {

constexpr nanoseconds inquireInterval = milliseconds(200);
constexpr nanoseconds recordPollInterval = milliseconds(100);
// Age of a request from which it inquires about the attempt of another request with the same key.
// Until then it polls the record.
constexpr nanoseconds otherRequestGrace = milliseconds(400);
// How long an upstream is avoided whose agent contradicts the view. The view is updated meanwhile.
constexpr nanoseconds staleViewEjection = milliseconds(500);
// An idempotent attempt is checked after checkDelayFactor times its expected service time, at least
// after minCheckDelay.
constexpr nanoseconds minCheckDelay = milliseconds(500);
constexpr int checkDelayFactor = 4;
// A non-idempotent attempt is checked this long before the deadline, at most a quarter of the time
// left.
constexpr nanoseconds finalCheckLead = milliseconds(200);
constexpr std::uint32_t maxStageAttempts = 6; // attempts of a request in one stage
constexpr std::uint32_t maxRequestCrashes = 2; // upstream crashes until the request is refused
constexpr std::size_t maxFinishedRequests = 2048; // kept for explanations
constexpr auto retryAfterFailure = milliseconds(500);
constexpr auto retryAfterStop = milliseconds(1); // another entry can take the request at once

nanoseconds timeLeft(const FlowContext &context, const Request &request)
{
    return request.deadline_ - context.now_;
}

bool needsRecord(const FlowContext &context, const Request &request)
{
    return !stageOf(request).idempotent_ && !request.key_.empty()
        && context.state_.features_.record_;
}

RecordKey recordKey(const Request &request)
{
    return RecordKey{request.account_, request.pipeline_->name_, request.key_};
}

void setPhase(Request &request, RequestTrigger trigger)
{
    request.phase_ = nextPhase(request.phase_, trigger).value_or(request.phase_);
}

// Submits a command whose outcome the request waits for, in place of any pending one.
void submit(FlowContext &context, Request &request, const Command &command)
{
    EntryState &state = context.state_;
    state.byProposal_.erase(request.proposal_);
    // The answer finds its shard by the token modulo the number of shards.
    const std::uint64_t token =
        state.nextProposal_++ * state.settings_.shards_ + state.settings_.shard_;
    request.proposal_ = token;
    state.byProposal_[token] = request.id_.sequence_;
    context.effects_.push_back(SubmitProposal{token, command, timeLeft(context, request)});
}

// Submits a command without waiting for its outcome.
void submitWithoutReply(FlowContext &context, const Command &command)
{
    constexpr nanoseconds timeout = seconds(5);
    context.effects_.push_back(SubmitProposal{0, command, timeout});
}

// Counts the current attempt as in flight at its upstream.
void openAttempt(FlowContext &context, Request &request)
{
    request.attempt_.countedInFlight_ = true;
    UpstreamEstimate &estimate = context.state_.estimates_[request.attempt_.upstream_];
    if (estimate.inFlight_++ == 0)
        estimate.busySince_ = context.now_;
}

// Logs a routing decision and keeps it for explanations.
void recordRoute(FlowContext &context, Request &request, const Route &route)
{
    std::string text = "decision=route request=" + toString(request.id_) + " stage="
        + stageOf(request).name_ + " attempt=" + std::to_string(request.attempt_.number_)
        + " upstream=" + (route.upstream_ ? route.upstream_->name_ : "none")
        + " reason=" + (route.upstream_ ? route.decision_.reason_ : "no_candidate")
        + " runner_up=" + (route.decision_.runnerUp_.empty() ? "none" : route.decision_.runnerUp_)
        + " candidates=" + std::to_string(route.decision_.candidates_);
    context.effects_.push_back(DecisionLine{std::move(text)});
    request.decisions_.push_back(route.decision_);
}

Record makeRecord(const Request &request)
{
    Record record;
    record.key_ = recordKey(request);
    record.bodyDigest_ = request.contentDigest_;
    record.attempt_ = attemptId(request);
    record.upstream_ = request.attempt_.upstream_;
    record.agentBoot_ = request.attempt_.agentBoot_;
    return record;
}

void reserve(FlowContext &context, Request &request)
{
    setPhase(request, RequestTrigger::Reserve);
    if (!request.ownsRecord_) {
        submit(context, request, ReserveRecord{makeRecord(request)});
        return;
    }
    submit(context, request,
           ReassignRecord{recordKey(request), request.recorded_, attemptId(request),
                          request.attempt_.upstream_, request.attempt_.agentBoot_});
}

void keepFinished(EntryState &state, const Request &request, const Answer &answer)
{
    state.finished_.push_back(FinishedRequest{request.id_, request.pipeline_->name_,
                                              request.account_, answer.errorId_, answer.truth_,
                                              answer.detail_, request.decisions_});
    if (state.finished_.size() > maxFinishedRequests)
        state.finished_.pop_front();
}

void sendAnswer(FlowContext &context, Request &request, Answer answer)
{
    answer.token_ = request.callerToken_;
    answer.requestId_ = toString(request.id_);
    answer.replayed_ = request.replayed_;
    const bool attained = answer.errorId_ == 0 && context.now_ <= request.deadline_;
    const nanoseconds firstToken =
        request.firstToken_ == Instant{} ? nanoseconds(0) : request.firstToken_ - request.arrived_;
    context.effects_.push_back(RequestMeasured{request.pipeline_->name_, request.account_, attained,
                                               answer.errorId_, context.now_ - request.arrived_,
                                               firstToken});
    logDecision(context, request,
                "answer=" + (answer.errorId_ == 0 ? "ok" : "CS-" + std::to_string(answer.errorId_))
                    + " ran=" + toText(answer.truth_) + (answer.detail_.empty() ? "" : " detail=\"")
                    + answer.detail_ + (answer.detail_.empty() ? "" : "\""));
    keepFinished(context.state_, request, answer);
    if (!request.callerGone_)
        context.effects_.push_back(std::move(answer));
    removeRequest(context, request);
}

// Body of the current stage's result, as the next stage or the caller gets it. The text of a
// streamed stage is wrapped in a JSON object.
std::string resultBody(const Request &request, const std::string &result)
{
    if (!stageOf(request).stream_)
        return result;
    boost::json::object body;
    body["text"] = result;
    return boost::json::serialize(body);
}

// Takes a retry from the budget if the limits on attempts and time allow one.
bool acquireRetry(FlowContext &context, const Request &request)
{
    return request.attempt_.number_ + 1 < maxStageAttempts
        && timeLeft(context, request) > nanoseconds(0)
        && takeRetry(context.state_, request.pipeline_->name_);
}

// Whether an agent refused an attempt for a reason that a newer view of the fleet would have shown.
bool indicatesStaleView(const std::string &reason)
{
    static constexpr std::string_view reasons[] = {"agent_restarted", "upstream_not_serving",
                                                   "upstream_drained", "upstream_unreachable",
                                                   "view_too_old"};
    return std::find(std::begin(reasons), std::end(reasons), reason) != std::end(reasons);
}

void ejectUpstream(FlowContext &context, const Request &request)
{
    UpstreamEstimate &estimate = context.state_.estimates_[request.attempt_.upstream_];
    estimate.ejectedUntil_ = context.now_ + staleViewEjection;
}

// Whether to retry an attempt that was refused because of a stale view. No upstream did any work
// for it, so the retry adds no load and does not count against the retry budget.
bool mayRetryWithoutBudget(const FlowContext &context, const Request &request)
{
    return request.attempt_.number_ + 1 < maxStageAttempts
        && timeLeft(context, request) > nanoseconds(0);
}

void retry(FlowContext &context, Request &request)
{
    request.tried_.insert(request.attempt_.upstream_);
    ++request.attempt_.number_;
    startAttempt(context, request);
}

// Whether the agent has restarted since the attempt was routed to it, and so has lost its state.
bool agentRestarted(const EntryState &state, const std::string &upstream, std::uint64_t boot)
{
    const Upstream *current = findByName(state.view_->upstreams_, upstream);
    return current && current->agentBoot_ != boot && current->phase_ != UpstreamPhase::Gone;
}

} // namespace

AttemptId attemptId(const Request &request)
{
    return AttemptId{request.id_, request.stage_, request.attempt_.number_};
}

const StageSpec &stageOf(const Request &request)
{
    return request.pipeline_->stages_[request.stage_];
}

void scheduleTimer(EntryState &state, const Request &request, Instant when)
{
    state.timers_.emplace(std::min(when, request.deadline_), request.id_.sequence_);
}

void logDecision(FlowContext &context, const Request &request, const std::string &text)
{
    context.effects_.push_back(DecisionLine{
        "decision=request request=" + toString(request.id_) + " stage="
        + (request.stage_ < request.pipeline_->stages_.size() ? stageOf(request).name_ : "end")
        + " attempt=" + std::to_string(request.attempt_.number_) + " " + text});
}

void closeAttempt(FlowContext &context, Request &request)
{
    if (!request.attempt_.countedInFlight_)
        return;
    request.attempt_.countedInFlight_ = false;
    UpstreamEstimate &estimate = context.state_.estimates_[request.attempt_.upstream_];
    if (estimate.inFlight_ > 0)
        --estimate.inFlight_;
}

void removeRequest(FlowContext &context, Request &request)
{
    closeAttempt(context, request);
    EntryState &state = context.state_;
    AccountUse &use = state.accounts_[request.account_];
    if (use.inFlight_ > 0)
        --use.inFlight_;
    state.byCallerToken_.erase(request.callerToken_);
    state.byProposal_.erase(request.proposal_);
    setPhase(request, RequestTrigger::Answer);
    state.requests_.erase(request.id_.sequence_);
}

void beginStage(FlowContext &context, Request &request)
{
    request.attempt_ = CurrentAttempt{};
    request.tried_.clear();
    request.receivedTokens_ = 0;
    request.streamText_.clear();
    request.ownsRecord_ = false;
    request.stageResult_.reset();
    startAttempt(context, request);
}

bool canEndBeforeExit(FlowContext &context, const Request &request)
{
    const Instant exitAt = context.state_.exitAt_;
    return exitAt == Instant::max()
        || context.now_ + expectedTotal(context.state_, context.now_, request) <= exitAt;
}

void limitToExit(EntryState &state, Request &request)
{
    if (request.deadline_ <= state.exitAt_)
        return;
    request.deadline_ = state.exitAt_;
    scheduleTimer(state, request, request.deadline_);
    if (request.phase_ != RequestPhase::Dispatched || stageOf(request).idempotent_)
        return;
    request.attempt_.checkAt_ =
        std::min(request.attempt_.checkAt_, request.deadline_ - finalCheckLead);
    scheduleTimer(state, request, request.attempt_.checkAt_);
}

bool refuseIfLeaving(FlowContext &context, Request &request)
{
    if (request.mayHaveRun_ || canEndBeforeExit(context, request))
        return false;
    fail(context, request, ErrorId::EntryStopping, "this entry leaves before the request can end",
         retryAfterStop);
    return true;
}

void startAttempt(FlowContext &context, Request &request)
{
    if (refuseIfLeaving(context, request))
        return;
    const Route route = chooseUpstream(context.state_, context.now_, request);
    recordRoute(context, request, route);
    if (!route.upstream_) {
        fail(context, request, ErrorId::NoUpstream,
             "no upstream serves stage " + stageOf(request).name_, retryAfterFailure);
        return;
    }
    request.attempt_.upstream_ = route.upstream_->name_;
    request.attempt_.agentBoot_ = route.upstream_->agentBoot_;
    if (needsRecord(context, request))
        reserve(context, request);
    else
        dispatchAttempt(context, request);
}

void dispatchAttempt(FlowContext &context, Request &request)
{
    setPhase(request, RequestTrigger::Dispatch);
    const StageSpec &stage = stageOf(request);
    CurrentAttempt &attempt = request.attempt_;
    attempt.sent_ = context.now_;
    attempt.streamTextStart_ = request.streamText_.size();
    attempt.mayHaveRunBefore_ = request.mayHaveRun_;
    request.mayHaveRun_ = true;
    openAttempt(context, request);
    const nanoseconds service =
        std::max(nanoseconds(stage.estimate_),
                 usualServiceTime(context.state_, *request.pipeline_, request.stage_));
    attempt.checkAt_ = stage.idempotent_
        ? context.now_ + std::max(minCheckDelay, service * checkDelayFactor)
        : request.deadline_ - std::min(finalCheckLead, timeLeft(context, request) / 4);
    Dispatch dispatch;
    dispatch.id_ = attemptId(request);
    dispatch.agentBoot_ = attempt.agentBoot_;
    dispatch.pipeline_ = request.pipeline_->name_;
    dispatch.stageName_ = stage.name_;
    dispatch.account_ = request.account_;
    dispatch.remaining_ = timeLeft(context, request);
    dispatch.priority_ = request.policy_.priority_;
    dispatch.idempotent_ = stage.idempotent_;
    dispatch.stream_ = stage.stream_;
    dispatch.resumeOffset_ = request.receivedTokens_;
    dispatch.contentDigest_ = request.contentDigest_;
    dispatch.viewVersion_ = context.state_.view_->version_;
    dispatch.body_ = request.stageInput_;
    dispatch.bodyDigest_ = contentDigest(request.stageInput_);
    dispatch.isolate_ = request.isolate_;
    context.effects_.push_back(SendToPeer{attempt.upstream_, std::move(dispatch)});
    scheduleTimer(context.state_, request, attempt.checkAt_);
}

void inquire(FlowContext &context, Request &request)
{
    const std::string &upstream =
        request.followsOtherRequest_ ? request.otherRecord_.upstream_ : request.attempt_.upstream_;
    const std::uint64_t boot = request.followsOtherRequest_ ? request.otherRecord_.agentBoot_
                                                            : request.attempt_.agentBoot_;
    setPhase(request, RequestTrigger::Inquire);
    if (agentRestarted(context.state_, upstream, boot)) {
        onAttemptUnknown(context, request);
        return;
    }
    Inquire inquiry;
    inquiry.id_ = request.followsOtherRequest_ ? request.otherRecord_.attempt_ : attemptId(request);
    inquiry.agentBoot_ = boot;
    inquiry.offset_ = request.followsOtherRequest_ ? 0 : request.receivedTokens_;
    inquiry.revoke_ = true;
    inquiry.remaining_ = timeLeft(context, request);
    logDecision(context, request, "inquire=" + upstream);
    context.effects_.push_back(SendToPeer{upstream, inquiry});
    request.retryAt_ = context.now_ + inquireInterval;
    scheduleTimer(context.state_, request, request.retryAt_);
}

void followRecord(FlowContext &context, Request &request, const Record &record)
{
    request.otherRecord_ = record;
    request.followsOtherRequest_ = true;
    request.ownsRecord_ = false;
    if (record.phase_ == RecordPhase::Completed) {
        request.replayed_ = true;
        request.mayHaveRun_ = true;
        request.stageResult_ = record.body_;
        logDecision(context, request, "replay=" + toString(record.attempt_));
        advance(context, request);
        return;
    }
    if (record.phase_ == RecordPhase::Unknown) {
        request.mayHaveRun_ = true;
        fail(context, request, ErrorId::OutcomeUnknown,
             "an earlier request with this key may have run; an operator has to settle it");
        return;
    }
    request.mayHaveRun_ = true; // the attempt of the other request may run
    if (context.now_ - request.arrived_ >= otherRequestGrace) {
        inquire(context, request);
        return;
    }
    setPhase(request, RequestTrigger::Wait);
    request.retryAt_ = context.now_ + recordPollInterval;
    scheduleTimer(context.state_, request, request.retryAt_);
}

void pollRecord(FlowContext &context, Request &request)
{
    setPhase(request, RequestTrigger::Reserve);
    submit(context, request, ReserveRecord{makeRecord(request)});
}

void onNeverStarted(FlowContext &context, Request &request, const std::string &reason)
{
    if (request.followsOtherRequest_) {
        // The attempt of the other request was revoked before it started: take over its record.
        request.followsOtherRequest_ = false;
        request.mayHaveRun_ = false;
        request.ownsRecord_ = true;
        request.recorded_ = request.otherRecord_.attempt_;
        logDecision(context, request, "take_over=" + toString(request.recorded_));
        startAttempt(context, request);
        return;
    }
    closeAttempt(context, request);
    request.mayHaveRun_ = request.attempt_.mayHaveRunBefore_;
    logDecision(context, request, "never_started=" + reason);
    if (refuseIfLeaving(context, request))
        return;
    if (reason == "request_crashes_upstreams") {
        fail(context, request, ErrorId::RequestRefused,
             "this request has crashed upstreams that ran it");
        return;
    }
    // The view of this upstream is out of date: prefer other upstreams until the view is updated.
    const bool viewIsStale = indicatesStaleView(reason);
    if (viewIsStale)
        ejectUpstream(context, request);
    const bool retryAllowed =
        viewIsStale ? mayRetryWithoutBudget(context, request) : acquireRetry(context, request);
    if (retryAllowed)
        retry(context, request);
    else
        fail(context, request, ErrorId::StageFailed, "refused: " + reason, retryAfterFailure);
}

void onAttemptFailed(FlowContext &context, Request &request, ResultKind kind,
                     const std::string &detail)
{
    closeAttempt(context, request);
    noteFailure(context.state_, context.now_, request.attempt_.upstream_);
    logDecision(context, request,
                std::string("failed=") + boost::describe::enum_to_string(kind, "?")
                    + " detail=" + detail);
    if (!stageOf(request).idempotent_) {
        onAttemptUnknown(context, request);
        return;
    }
    if (kind == ResultKind::UpstreamCrashed) {
        request.isolate_ = true;
        if (++request.crashes_ >= maxRequestCrashes) {
            fail(context, request, ErrorId::RequestRefused,
                 "upstreams crashed while they ran this request");
            return;
        }
    }
    if (acquireRetry(context, request))
        retry(context, request);
    else
        fail(context, request, ErrorId::StageFailed, detail, retryAfterFailure);
}

void onAttemptUnknown(FlowContext &context, Request &request)
{
    closeAttempt(context, request);
    if (!request.followsOtherRequest_ && stageOf(request).idempotent_) {
        if (acquireRetry(context, request))
            retry(context, request);
        else
            fail(context, request, ErrorId::StageFailed, "the agent restarted", retryAfterFailure);
        return;
    }
    if (request.followsOtherRequest_)
        submitWithoutReply(context, MarkUnknown{recordKey(request), request.otherRecord_.attempt_});
    else if (request.ownsRecord_)
        submitWithoutReply(context, MarkUnknown{recordKey(request), request.recorded_});
    fail(context, request, ErrorId::OutcomeUnknown,
         "nobody can tell whether stage " + stageOf(request).name_
             + " ran; it will not run again, an operator has to settle it");
}

void finishStage(FlowContext &context, Request &request, const std::string &result)
{
    request.stageResult_ = result;
    if (request.followsOtherRequest_) {
        setPhase(request, RequestTrigger::Record);
        submit(context, request,
               CompleteRecord{recordKey(request), request.otherRecord_.attempt_, result});
        return;
    }
    if (!request.ownsRecord_) {
        advance(context, request);
        return;
    }
    setPhase(request, RequestTrigger::Record);
    submit(context, request, CompleteRecord{recordKey(request), request.recorded_, result});
}

void advance(FlowContext &context, Request &request)
{
    const std::string result = *request.stageResult_;
    request.followsOtherRequest_ = false;
    if (request.stage_ + 1 == request.pipeline_->stages_.size()) {
        Answer success;
        success.truth_ = RunTruth::Ran;
        success.body_ = resultBody(request, result);
        sendAnswer(context, request, std::move(success));
        return;
    }
    request.stageInput_ = stageOf(request).stream_ ? resultBody(request, result) : result;
    ++request.stage_;
    beginStage(context, request);
}

void fail(FlowContext &context, Request &request, ErrorId id, const std::string &detail,
          milliseconds retryAfter)
{
    if (request.ownsRecord_ && !request.mayHaveRun_)
        submitWithoutReply(context, ReleaseRecord{recordKey(request), request.recorded_});
    Answer failure;
    failure.errorId_ = static_cast<std::uint16_t>(id);
    failure.truth_ = request.mayHaveRun_ ? RunTruth::MayHaveRun : RunTruth::NotRun;
    failure.step_ = "stage " + stageOf(request).name_;
    failure.peer_ = request.attempt_.upstream_;
    failure.detail_ = detail;
    failure.retryAfter_ = retryAfter;
    sendAnswer(context, request, std::move(failure));
}

void cancelAttempt(FlowContext &context, Request &request)
{
    if (!request.attempt_.countedInFlight_ || !stageOf(request).idempotent_)
        return;
    context.effects_.push_back(SendToPeer{request.attempt_.upstream_, Cancel{attemptId(request)}});
    closeAttempt(context, request);
}

void onDeadlineExpired(FlowContext &context, Request &request)
{
    const bool last = request.stage_ + 1 == request.pipeline_->stages_.size();
    if (request.stageResult_ && last) {
        // The last result is complete; only the commit of its record is late.
        advance(context, request);
        return;
    }
    cancelAttempt(context, request);
    if (request.followsOtherRequest_) {
        fail(context, request, ErrorId::StillRunning,
             "an earlier request with this key has not finished");
        return;
    }
    const bool leaving = context.now_ >= context.state_.exitAt_;
    fail(context, request,
         leaving && !request.mayHaveRun_ ? ErrorId::EntryStopping : ErrorId::DeadlineExceeded,
         (leaving ? "this entry left in stage " : "the deadline passed in stage ")
             + stageOf(request).name_);
}

} // namespace chervilspring
