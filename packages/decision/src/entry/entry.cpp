#include "chervilspring/detail/entry/entry.hpp"

#include "chervilspring/detail/entry/admission.hpp"
#include "chervilspring/detail/entry/flow.hpp"
#include "chervilspring/detail/entry/routing.hpp"
#include "chervilspring/digest.hpp"
#include "chervilspring/json.hpp"

namespace chervilspring {

namespace {

// An overdue attempt is retried at another upstream only if more time than this is left until the
// deadline. Otherwise it is checked again after this delay or later.
constexpr nanoseconds minRetryTime = milliseconds(50);

Request *findRequest(EntryState &state, std::uint64_t sequence)
{
    const auto found = state.requests_.find(sequence);
    return found == state.requests_.end() ? nullptr : &found->second;
}

bool isOwn(const EntryState &state, const RequestId &id)
{
    return id.entry_ == state.settings_.name_ && id.boot_ == state.settings_.boot_;
}

// Finds the request that waits for an attempt: the request that sent the attempt, or another
// request with the same idempotency key that waits for its result.
Request *findByAttempt(EntryState &state, const AttemptId &id)
{
    if (isOwn(state, id.request_)) {
        Request *request = findRequest(state, id.request_.sequence_);
        if (request && attemptId(*request) == id && !request->followsOtherRequest_)
            return request;
    }
    for (auto &[sequence, request] : state.requests_) {
        if (request.followsOtherRequest_ && request.otherRecord_.attempt_ == id)
            return &request;
    }
    return nullptr;
}

void logDroppedMessage(FlowContext &context, const AttemptId &id, const std::string &reason)
{
    context.effects_.push_back(DecisionLine{"decision=drop request=" + toString(id.request_)
                                            + " stage=" + std::to_string(id.stage_) + " attempt="
                                            + std::to_string(id.attempt_) + " what=" + reason});
}

bool awaitsAgentReply(const Request &request)
{
    return request.phase_ == RequestPhase::Dispatched || request.phase_ == RequestPhase::Inquiring;
}

// Whether the received result has the length and the digest that the agent states. The result of a
// streamed stage has no body; the tokens received before it are checked instead, and their number.
bool isIntact(const Request &request, const AttemptResult &result)
{
    std::string_view body = result.body_;
    if (!request.followsOtherRequest_ && stageOf(request).stream_) {
        if (result.tokens_ != request.receivedTokens_)
            return false;
        body = std::string_view(request.streamText_).substr(request.attempt_.streamTextStart_);
    }
    return body.size() == result.bodyLength_ && contentDigest(body) == result.bodyDigest_;
}

void onOk(FlowContext &context, Request &request, const AttemptResult &result)
{
    if (!isIntact(request, result)) {
        logDecision(context, request, "result=not_whole");
        inquire(context, request);
        return;
    }
    if (!request.followsOtherRequest_) {
        noteSuccess(context.state_, request, result.serviceTime_);
        closeAttempt(context, request);
    }
    const bool streamed = !request.followsOtherRequest_ && stageOf(request).stream_;
    finishStage(context, request, streamed ? request.streamText_ : result.body_);
}

void emitStageMetrics(FlowContext &context, const Request &request, const AttemptResult &result)
{
    if (result.kind_ == ResultKind::NotRun || request.followsOtherRequest_)
        return;
    const StageSpec &stage = stageOf(request);
    const double serviceSeconds = static_cast<double>(result.serviceTime_.count()) / 1e9;
    context.effects_.push_back(
        StageMeasured{request.pipeline_->name_, request.account_, stage.name_,
                      result.kind_ == ResultKind::Ok, context.now_ - request.attempt_.sent_,
                      result.serviceTime_, serviceSeconds * stage.costPerSecond_});
}

void onResult(FlowContext &context, const std::string &peer, const AttemptResult &result)
{
    noteLoad(context.state_, context.now_, peer, result.load_);
    Request *request = findByAttempt(context.state_, result.id_);
    if (!request || !awaitsAgentReply(*request)) {
        logDroppedMessage(context, result.id_, "result_not_awaited");
        return;
    }
    const std::uint64_t boot = request->followsOtherRequest_ ? request->otherRecord_.agentBoot_
                                                             : request->attempt_.agentBoot_;
    if (result.agentBoot_ != boot && result.kind_ != ResultKind::NotRun) {
        logDroppedMessage(context, result.id_, "result_of_other_boot");
        return;
    }
    emitStageMetrics(context, *request, result);
    if (result.kind_ == ResultKind::Ok)
        onOk(context, *request, result);
    else if (result.kind_ == ResultKind::NotRun)
        onNeverStarted(context, *request, result.detail_);
    else
        onAttemptFailed(context, *request, result.kind_, result.detail_);
}

void onChunk(FlowContext &context, const StreamChunk &chunk)
{
    Request *request = findByAttempt(context.state_, chunk.id_);
    const bool expected = request && awaitsAgentReply(*request) && !request->followsOtherRequest_
        && stageOf(*request).stream_ && chunk.agentBoot_ == request->attempt_.agentBoot_;
    if (!expected) {
        logDroppedMessage(context, chunk.id_, "tokens_not_awaited");
        return;
    }
    if (chunk.offset_ > request->receivedTokens_) {
        logDecision(context, *request, "tokens=gap");
        inquire(context, *request);
        return;
    }
    context.state_.estimates_[request->attempt_.upstream_].lastMessageAt_ = context.now_;
    const std::size_t skip = request->receivedTokens_ - chunk.offset_;
    if (skip >= chunk.tokens_.size())
        return;
    if (request->firstToken_ == Instant{})
        request->firstToken_ = context.now_;
    StreamToCaller newTokens{request->callerToken_, toString(request->id_), {}};
    for (std::size_t i = skip; i < chunk.tokens_.size(); ++i) {
        request->streamText_ += chunk.tokens_[i];
        newTokens.tokens_.push_back(chunk.tokens_[i]);
    }
    request->receivedTokens_ += static_cast<std::uint32_t>(newTokens.tokens_.size());
    const bool last = request->stage_ + 1 == request->pipeline_->stages_.size();
    if (request->stream_ && last && !request->callerGone_)
        context.effects_.push_back(std::move(newTokens));
}

void onAttemptState(FlowContext &context, const AttemptState &reply)
{
    Request *request = findByAttempt(context.state_, reply.id_);
    if (!request || request->phase_ != RequestPhase::Inquiring)
        return;
    logDecision(context, *request,
                std::string("state=") + boost::describe::enum_to_string(reply.truth_, "?"));
    switch (reply.truth_) {
    case AttemptTruth::NeverStarted:
        onNeverStarted(context, *request, "revoked");
        return;
    case AttemptTruth::Unknown:
        onAttemptUnknown(context, *request);
        return;
    case AttemptTruth::Finished:
        return; // the agent sends the result after this message
    case AttemptTruth::Queued:
    case AttemptTruth::Started:
        scheduleTimer(context.state_, *request, request->retryAt_);
        return;
    }
}

void onPeerMessage(FlowContext &context, const PeerMessage &event)
{
    if (const auto *result = std::get_if<AttemptResult>(&event.message_))
        onResult(context, event.peer_, *result);
    else if (const auto *chunk = std::get_if<StreamChunk>(&event.message_))
        onChunk(context, *chunk);
    else if (const auto *reply = std::get_if<AttemptState>(&event.message_))
        onAttemptState(context, *reply);
    else if (const auto *ping = std::get_if<Ping>(&event.message_))
        noteLoad(context.state_, context.now_, event.peer_, ping->load_);
}

// Inquires about each attempt at the peer over a new connection. If the view shows that the agent
// has restarted, inquire() retries idempotent stages instead.
void onPeerLost(FlowContext &context, const std::string &peer)
{
    std::vector<std::uint64_t> affected;
    for (const auto &[sequence, request] : context.state_.requests_) {
        const bool atPeer = request.attempt_.upstream_ == peer && !request.followsOtherRequest_;
        if (atPeer && request.phase_ == RequestPhase::Dispatched)
            affected.push_back(sequence);
    }
    for (const std::uint64_t sequence : affected) {
        Request *request = findRequest(context.state_, sequence);
        if (!request)
            continue;
        logDecision(context, *request, "connection_lost=" + peer);
        inquire(context, *request);
    }
}

void onReserved(FlowContext &context, Request &request, const Outcome &outcome)
{
    switch (outcome.kind_) {
    case OutcomeKind::Accepted:
        request.followsOtherRequest_ = false;
        request.ownsRecord_ = true;
        request.recorded_ = attemptId(request);
        request.mayHaveRun_ = request.stage_ > 0; // earlier stages have run
        if (!refuseIfLeaving(context, request))
            dispatchAttempt(context, request);
        return;
    case OutcomeKind::Duplicate:
    case OutcomeKind::Conflict:
        if (outcome.record_) {
            followRecord(context, request, *outcome.record_);
            return;
        }
        break;
    case OutcomeKind::NotFound:
        // The record has been released in the meantime; reserve a new one.
        request.ownsRecord_ = false;
        pollRecord(context, request);
        return;
    case OutcomeKind::OtherBody:
        fail(context, request, ErrorId::KeyReusedWithOtherBody,
             "this Idempotency-Key was used with another body");
        return;
    case OutcomeKind::Expired:
        request.mayHaveRun_ = true; // an earlier request with this key may have run
        fail(context, request, ErrorId::KeyPastRetention,
             "this Idempotency-Key is older than the retention; it will not run");
        return;
    default:
        break;
    }
    fail(context, request, ErrorId::ControlUnavailable,
         "the control processes did not answer: " + outcome.detail_, milliseconds(1000));
}

void onRecorded(FlowContext &context, Request &request, const Outcome &outcome)
{
    const bool stored = outcome.kind_ == OutcomeKind::Accepted;
    logDecision(context, request,
                std::string("recorded=") + boost::describe::enum_to_string(outcome.kind_, "?"));
    // The result is complete, so the request goes on even if its own record was not updated.
    if (stored || !request.followsOtherRequest_) {
        advance(context, request);
        return;
    }
    if (outcome.record_)
        followRecord(context, request, *outcome.record_);
    else
        advance(context, request);
}

void onProposalAnswered(FlowContext &context, const ProposalAnswered &event)
{
    const auto found = context.state_.byProposal_.find(event.token_);
    if (found == context.state_.byProposal_.end())
        return;
    Request *request = findRequest(context.state_, found->second);
    context.state_.byProposal_.erase(found);
    if (!request || request->proposal_ != event.token_)
        return;
    request->proposal_ = 0;
    if (request->phase_ == RequestPhase::Reserving)
        onReserved(context, *request, event.outcome_);
    else if (request->phase_ == RequestPhase::Recording)
        onRecorded(context, *request, event.outcome_);
}

void onAttemptOverdue(FlowContext &context, Request &request)
{
    const bool idempotent = stageOf(request).idempotent_;
    const nanoseconds timeLeft = request.deadline_ - context.now_;
    if (!idempotent) {
        inquire(context, request);
        return;
    }
    const bool streaming = request.receivedTokens_ > 0;
    const auto &candidates =
        candidatesFor(context.state_, *request.pipeline_, request.stage_, request.policy_);
    // An upstream that still sends messages, such as ping replies, is only busy; a retry elsewhere
    // would lose the work done so far.
    const bool silent =
        isSilent(context.state_.estimates_[request.attempt_.upstream_], context.now_);
    const bool worthwhile =
        silent && timeLeft > minRetryTime && candidates.size() > 1 && !streaming;
    if (worthwhile && takeRetry(context.state_, request.pipeline_->name_)) {
        noteFailure(context.state_, context.now_, request.attempt_.upstream_);
        logDecision(context, request, "overdue=retry_elsewhere");
        cancelAttempt(context, request);
        request.tried_.insert(request.attempt_.upstream_);
        ++request.attempt_.number_;
        startAttempt(context, request);
        return;
    }
    request.attempt_.checkAt_ = context.now_ + std::max(minRetryTime, timeLeft / 2);
    scheduleTimer(context.state_, request, request.attempt_.checkAt_);
}

void onTimer(FlowContext &context, Request &request)
{
    if (context.now_ >= request.deadline_) {
        onDeadlineExpired(context, request);
        return;
    }
    if (request.phase_ == RequestPhase::Dispatched && context.now_ >= request.attempt_.checkAt_)
        onAttemptOverdue(context, request);
    else if (request.phase_ == RequestPhase::Inquiring && context.now_ >= request.retryAt_)
        inquire(context, request);
    else if (request.phase_ == RequestPhase::Waiting && context.now_ >= request.retryAt_)
        pollRecord(context, request);
}

void runDueTimers(FlowContext &context)
{
    auto &timers = context.state_.timers_;
    while (!timers.empty() && timers.begin()->first <= context.now_) {
        const std::uint64_t sequence = timers.begin()->second;
        timers.erase(timers.begin());
        if (Request *request = findRequest(context.state_, sequence))
            onTimer(context, *request);
    }
}

void onCallerRequest(FlowContext &context, WallTime wall, const CallerRequest &event)
{
    EntryState &state = context.state_;
    Request request;
    // The sequence number is unique among all shards of the entry.
    request.id_ =
        RequestId{state.settings_.name_, state.settings_.boot_,
                  state.nextSequence_++ * state.settings_.shards_ + state.settings_.shard_};
    request.callerToken_ = event.token_;
    request.arrived_ = context.now_;
    Answer refusal = admit(state, context.now_, wall, event, request);
    if (refusal.errorId_ != 0) {
        refusal.token_ = event.token_;
        refusal.requestId_ = toString(request.id_);
        context.effects_.push_back(DecisionLine{
            "decision=admission request=" + refusal.requestId_ + " pipeline=" + event.pipeline_
            + " account=" + request.account_ + " refused=CS-" + std::to_string(refusal.errorId_)
            + " reason=\"" + refusal.detail_ + "\""});
        context.effects_.push_back(RequestMeasured{event.pipeline_, request.account_, false,
                                                   refusal.errorId_, nanoseconds(0),
                                                   nanoseconds(0)});
        context.effects_.push_back(std::move(refusal));
        return;
    }
    context.effects_.push_back(DecisionLine{
        "decision=admission request=" + toString(request.id_) + " pipeline=" + event.pipeline_
        + " account=" + request.account_
        + " policy=" + (request.policy_.name_.empty() ? "none" : request.policy_.name_)
        + " deadline_ms=" + std::to_string((request.deadline_ - context.now_) / milliseconds(1))});
    ++state.accounts_[request.account_].inFlight_;
    const std::uint64_t sequence = request.id_.sequence_;
    state.byCallerToken_[event.token_] = sequence;
    Request &stored = state.requests_.emplace(sequence, std::move(request)).first->second;
    scheduleTimer(state, stored, stored.deadline_);
    beginStage(context, stored);
}

void onCallerGone(FlowContext &context, const CallerGone &event)
{
    const auto found = context.state_.byCallerToken_.find(event.token_);
    if (found == context.state_.byCallerToken_.end())
        return;
    Request *request = findRequest(context.state_, found->second);
    if (!request)
        return;
    request->callerGone_ = true;
    // A non-idempotent stage continues without its caller, so that its result is recorded.
    if (!stageOf(*request).idempotent_)
        return;
    logDecision(context, *request, "caller=gone");
    cancelAttempt(context, *request);
    removeRequest(context, *request);
}

boost::json::value describe(const FinishedRequest &finished, bool explain)
{
    boost::json::object object;
    object["request"] = toString(finished.id_);
    object["pipeline"] = finished.pipeline_;
    object["account"] = finished.account_;
    object["state"] = finished.errorId_ == 0 ? "answered" : "failed";
    object["error"] = finished.errorId_;
    object["ran"] = toText(finished.truth_);
    object["detail"] = finished.detail_;
    if (explain)
        object["decisions"] = toJson(finished.decisions_);
    return object;
}

boost::json::value describe(const Request &request, bool explain)
{
    boost::json::object object;
    object["request"] = toString(request.id_);
    object["pipeline"] = request.pipeline_->name_;
    object["account"] = request.account_;
    object["state"] = "running";
    object["stage"] = stageOf(request).name_;
    object["phase"] = boost::describe::enum_to_string(request.phase_, "?");
    if (explain)
        object["decisions"] = toJson(request.decisions_);
    return object;
}

void onTraceQuery(FlowContext &context, const TraceQuery &event)
{
    Answer answer;
    answer.token_ = event.token_;
    answer.requestId_ = toString(event.request_);
    answer.truth_ = RunTruth::Ran;
    const EntryState &state = context.state_;
    const auto inFlight = state.requests_.find(event.request_.sequence_);
    if (isOwn(state, event.request_) && inFlight != state.requests_.end()) {
        answer.body_ = boost::json::serialize(describe(inFlight->second, event.explain_));
        context.effects_.push_back(std::move(answer));
        return;
    }
    for (const FinishedRequest &finished : state.finished_) {
        if (finished.id_ != event.request_)
            continue;
        answer.body_ = boost::json::serialize(describe(finished, event.explain_));
        context.effects_.push_back(std::move(answer));
        return;
    }
    answer.errorId_ = static_cast<std::uint16_t>(ErrorId::UnknownPath);
    answer.truth_ = RunTruth::NotRun;
    answer.step_ = "trace";
    answer.detail_ = "this entry does not remember the request";
    context.effects_.push_back(std::move(answer));
}

// Discards the estimates of agents that have restarted. Slow start applies only to an agent that
// was seen before, not to those that an entry finds when it starts itself.
void resetRestartedAgents(EntryState &state, Instant now)
{
    for (const Upstream &upstream : state.view_->upstreams_) {
        UpstreamEstimate &estimate = state.estimates_[upstream.name_];
        if (estimate.agentBoot_ == upstream.agentBoot_)
            continue;
        const bool firstSeen = estimate.agentBoot_ == 0;
        const std::uint32_t inFlight = estimate.inFlight_;
        estimate = UpstreamEstimate{};
        estimate.inFlight_ = inFlight;
        estimate.agentBoot_ = upstream.agentBoot_;
        estimate.servingSince_ = firstSeen ? Instant{} : now;
    }
}

void onViewChanged(FlowContext &context, const ViewChanged &event)
{
    EntryState &state = context.state_;
    state.asOf_ = event.asOf_;
    state.share_ = event.share_;
    state.shareExpires_ = event.shareExpires_;
    if (event.view_ == state.view_)
        return;
    if (event.view_->fleetVersion_ != state.view_->fleetVersion_)
        state.credentials_.clear();
    state.view_ = event.view_;
    state.candidates_.clear();
    resetRestartedAgents(state, context.now_);
}

// Limits all requests to the time that is left. Takes back attempts that can't end in it, unless
// they have started.
void onExitScheduled(FlowContext &context, Instant exitAt)
{
    context.state_.exitAt_ = exitAt;
    std::vector<std::uint64_t> tooLong;
    for (auto &[sequence, request] : context.state_.requests_) {
        limitToExit(context.state_, request);
        if (request.phase_ == RequestPhase::Dispatched && !request.attempt_.mayHaveRunBefore_
            && !canEndBeforeExit(context, request))
            tooLong.push_back(sequence);
    }
    for (const std::uint64_t sequence : tooLong)
        inquire(context, context.state_.requests_.at(sequence));
}

void stopWhenIdle(FlowContext &context)
{
    EntryState &state = context.state_;
    if (!state.stopping_ || state.stopped_ || !state.requests_.empty())
        return;
    state.stopped_ = true;
    context.effects_.push_back(StopNow{});
}

} // namespace

const char *toText(RunTruth truth)
{
    switch (truth) {
    case RunTruth::NotRun:
        return "not_run";
    case RunTruth::MayHaveRun:
        return "may_have_run";
    case RunTruth::Ran:
        return "ran";
    }
    return "may_have_run";
}

EntryState makeEntry(const EntrySettings &settings, const EntryFeatures &features)
{
    EntryState state;
    state.settings_ = settings;
    state.features_ = features;
    state.random_.seed(settings.seed_);
    return state;
}

Instant nextWake(const EntryState &state)
{
    return state.timers_.empty() ? Instant::max() : state.timers_.begin()->first;
}

bool isReady(const EntryState &state, Instant now)
{
    return !state.stopping_ && state.view_->fleetVersion_ != 0
        && now - state.asOf_ <= state.settings_.staleAfter_ && state.shareExpires_ > now
        && state.share_ > 0;
}

void reduce(EntryState &state, Instant now, WallTime wall, const EntryEvent &event,
            EntryEffects &effects)
{
    FlowContext context{state, now, effects};
    runDueTimers(context);
    std::visit(Overloaded{
                   [&](const CallerRequest &e) { onCallerRequest(context, wall, e); },
                   [&](const CallerGone &e) { onCallerGone(context, e); },
                   [&](const TraceQuery &e) { onTraceQuery(context, e); },
                   [&](const PeerMessage &e) { onPeerMessage(context, e); },
                   [&](const PeerLost &e) { onPeerLost(context, e.peer_); },
                   [&](const ProposalAnswered &e) { onProposalAnswered(context, e); },
                   [&](const ViewChanged &e) { onViewChanged(context, e); },
                   [](const Wake &) {},
                   [&](const ExitScheduled &e) { onExitScheduled(context, e.exitAt_); },
                   [&](const StopRequested &) { state.stopping_ = true; },
               },
               event);
    stopWhenIdle(context);
}

} // namespace chervilspring
