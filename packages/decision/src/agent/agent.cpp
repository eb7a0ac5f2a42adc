#include "chervilspring/detail/agent/agent.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr nanoseconds announceLease = seconds(3); // upstreams announce themselves every second
// A revoked attempt is remembered this long after its deadline, or after its revocation if that is
// later. A connection cannot delay a dispatch for longer.
constexpr nanoseconds tombstoneRetention = seconds(10);
// The result of an idempotent attempt is kept this long after its deadline, that of any other
// attempt this long after the retention of its idempotency record.
constexpr nanoseconds idempotentResultMargin = seconds(2);
constexpr nanoseconds recordedResultMargin = seconds(60);
constexpr int serviceTimeWindow = 8; // window of the exponential moving mean, in calls

std::string attemptFields(const AttemptId &id)
{
    return "request=" + toString(id.request_) + " stage=" + std::to_string(id.stage_)
        + " attempt=" + std::to_string(id.attempt_);
}

void logDecision(const AgentState &state, const AttemptId &id, const std::string &text,
                 AgentEffects &effects)
{
    effects.push_back(DecisionLine{"decision=agent " + attemptFields(id)
                                   + " upstream=" + state.settings_.name_ + " " + text});
}

void announce(const AgentState &state, AgentEffects &effects)
{
    Upstream upstream;
    upstream.name_ = state.settings_.name_;
    upstream.dataCenter_ = state.settings_.dataCenter_;
    upstream.agentAddress_ = state.settings_.address_;
    upstream.agentPort_ = state.settings_.port_;
    upstream.agentBoot_ = state.settings_.boot_;
    upstream.concurrency_ = state.concurrency_;
    upstream.phase_ = state.phase_;
    upstream.labels_ = state.labels_;
    effects.push_back(Announce{upstream});
}

// Changes the phase of the upstream. Returns false if the trigger leaves it as it is.
bool changePhase(AgentState &state, UpstreamTrigger trigger, AgentEffects &effects)
{
    const auto next = nextPhase(state.phase_, trigger);
    if (!next || *next == state.phase_)
        return false;
    effects.push_back(DecisionLine{"decision=placement upstream=" + state.settings_.name_
                                   + " phase=" + boost::describe::enum_to_string(*next, "?")
                                   + " was=" + boost::describe::enum_to_string(state.phase_, "?")});
    state.phase_ = *next;
    return true;
}

void scheduleRemoval(AgentState &state, const AttemptId &id, Instant when)
{
    state.attempts_.at(id).removeAt_ = when;
    state.removals_.emplace(when, id);
}

void sendState(const AgentState &state, const std::string &peer, const AttemptId &id,
               AttemptTruth truth, AgentEffects &effects)
{
    effects.push_back(SendToPeer{peer, AttemptState{id, state.settings_.boot_, truth}});
}

AttemptResult makeResult(const AgentState &state, const AttemptId &id, ResultKind kind,
                         const std::string &detail)
{
    AttemptResult result;
    result.id_ = id;
    result.agentBoot_ = state.settings_.boot_;
    result.kind_ = kind;
    result.detail_ = detail;
    result.load_ = currentLoad(state);
    return result;
}

void refuse(const AgentState &state, const std::string &peer, const AttemptId &id,
            const std::string &reason, AgentEffects &effects)
{
    logDecision(state, id, "refused=" + reason, effects);
    effects.push_back(SendToPeer{peer, makeResult(state, id, ResultKind::NotRun, reason)});
}

// Marks an attempt as revoked so that it never starts, also if its dispatch arrives later.
void revoke(AgentState &state, Instant now, const AttemptId &id, nanoseconds remaining)
{
    Attempt &attempt = state.attempts_[id];
    attempt.phase_ = nextPhase(attempt.phase_, AttemptTrigger::Revoke).value_or(attempt.phase_);
    state.queued_.erase(id);
    scheduleRemoval(state, id, now + std::max(remaining, nanoseconds(0)) + tombstoneRetention);
}

bool needsIsolation(const AgentState &state, const Dispatch &dispatch)
{
    const auto &suspects = state.view_->suspects_;
    return dispatch.isolate_
        || std::any_of(suspects.begin(), suspects.end(), [&](const Suspect &suspect) {
               return suspect.digest_ == dispatch.contentDigest_;
           });
}

bool isIsolatedRunning(const AgentState &state)
{
    return std::any_of(state.running_.begin(), state.running_.end(), [&](const AttemptId &id) {
        return needsIsolation(state, state.attempts_.at(id).dispatch_);
    });
}

void start(AgentState &state, Instant now, const AttemptId &id, AgentEffects &effects)
{
    Attempt &attempt = state.attempts_.at(id);
    attempt.phase_ = nextPhase(attempt.phase_, AttemptTrigger::Start).value_or(attempt.phase_);
    attempt.started_ = now;
    attempt.alone_ = state.running_.empty();
    for (const AttemptId &other : state.running_)
        state.attempts_.at(other).alone_ = false;
    state.queued_.erase(id);
    state.running_.insert(id);
    // An account without service time starts with the lowest total of all accounts; if it started
    // with 0, it would precede all others until it has caught up. An account that has used service
    // time before keeps its total, however long it was idle.
    const std::int64_t minServiceTime = state.serviceTimeByAccount_.empty()
        ? 0
        : std::min_element(state.serviceTimeByAccount_.begin(), state.serviceTimeByAccount_.end(),
                           [](const auto &a, const auto &b) { return a.second < b.second; })
              ->second;
    state.serviceTimeByAccount_.try_emplace(attempt.dispatch_.account_, minServiceTime);
    const Dispatch &dispatch = attempt.dispatch_;
    logDecision(state, id,
                "start=call waiting=" + std::to_string(state.queued_.size())
                    + " running=" + std::to_string(state.running_.size())
                    + (needsIsolation(state, dispatch) ? " isolated=true" : ""),
                effects);
    effects.push_back(StartCall{id, dispatch.stageName_, dispatch.body_, dispatch.stream_,
                                dispatch.resumeOffset_, dispatch.priority_,
                                attempt.deadline_ - now});
}

// Revokes an accepted attempt and reports to its entries that it did not run.
void revokeAndRefuse(AgentState &state, Instant now, const AttemptId &id, const std::string &reason,
                     AgentEffects &effects)
{
    const std::set<std::string> peers = state.attempts_.at(id).peers_;
    revoke(state, now, id, nanoseconds(0));
    for (const std::string &peer : peers)
        refuse(state, peer, id, reason, effects);
}

void startQueued(AgentState &state, Instant now, AgentEffects &effects)
{
    while (state.running_.size() < state.concurrency_ && !isIsolatedRunning(state)) {
        const auto next = pickNext(state);
        if (!next)
            return;
        const Attempt &attempt = state.attempts_.at(*next);
        if (attempt.deadline_ <= now) {
            revokeAndRefuse(state, now, *next, "deadline_passed", effects);
            continue;
        }
        // An isolated attempt starts only when the upstream is idle. Attempts behind it in the
        // queue wait too.
        if (needsIsolation(state, attempt.dispatch_) && !state.running_.empty())
            return;
        start(state, now, *next, effects);
    }
}

void onDispatch(AgentState &state, Instant now, const std::string &peer, const Dispatch &dispatch,
                AgentEffects &effects)
{
    const auto known = state.attempts_.find(dispatch.id_);
    if (known != state.attempts_.end()) {
        // A duplicate of an accepted dispatch is ignored, so that the attempt runs only once.
        if (known->second.phase_ == AttemptPhase::Revoked)
            refuse(state, peer, dispatch.id_, "revoked", effects);
        return;
    }
    const std::string reason = refusalReason(state, now, dispatch);
    if (!reason.empty()) {
        refuse(state, peer, dispatch.id_, reason, effects);
        return;
    }
    Attempt attempt;
    attempt.dispatch_ = dispatch;
    attempt.peers_ = {peer};
    attempt.deadline_ = now + dispatch.remaining_;
    state.attempts_.emplace(dispatch.id_, std::move(attempt));
    state.queued_.insert(dispatch.id_);
    startQueued(state, now, effects);
}

// Sends the tokens of a streamed attempt that were received so far, from an offset in the complete
// stream on.
void sendTokens(const AgentState &state, const std::string &peer, const Attempt &attempt,
                std::uint32_t offset, AgentEffects &effects)
{
    const std::uint32_t first = attempt.dispatch_.resumeOffset_;
    const std::uint32_t end = first + static_cast<std::uint32_t>(attempt.tokens_.size());
    const std::uint32_t from = std::max(offset, first);
    if (from >= end)
        return;
    StreamChunk chunk;
    chunk.id_ = attempt.dispatch_.id_;
    chunk.agentBoot_ = state.settings_.boot_;
    chunk.offset_ = from;
    chunk.tokens_.assign(attempt.tokens_.begin() + (from - first), attempt.tokens_.end());
    effects.push_back(SendToPeer{peer, std::move(chunk)});
}

void onInquire(AgentState &state, Instant now, const std::string &peer, const Inquire &inquiry,
               AgentEffects &effects)
{
    const AttemptId &id = inquiry.id_;
    if (inquiry.agentBoot_ != state.settings_.boot_) {
        sendState(state, peer, id, AttemptTruth::Unknown, effects);
        return;
    }
    const auto found = state.attempts_.find(id);
    const bool unknown = found == state.attempts_.end();
    const bool queued = !unknown && found->second.phase_ == AttemptPhase::Queued;
    if (unknown || (queued && inquiry.revoke_)) {
        revoke(state, now, id, inquiry.remaining_);
        logDecision(state, id, "revoked=true", effects);
    }
    Attempt &attempt = state.attempts_.at(id);
    switch (attempt.phase_) {
    case AttemptPhase::Revoked:
        sendState(state, peer, id, AttemptTruth::NeverStarted, effects);
        return;
    case AttemptPhase::Queued:
        attempt.peers_.insert(peer);
        sendState(state, peer, id, AttemptTruth::Queued, effects);
        return;
    case AttemptPhase::Running:
        attempt.peers_.insert(peer);
        sendState(state, peer, id, AttemptTruth::Started, effects);
        sendTokens(state, peer, attempt, inquiry.offset_, effects);
        return;
    case AttemptPhase::Finished:
        sendState(state, peer, id, AttemptTruth::Finished, effects);
        sendTokens(state, peer, attempt, inquiry.offset_, effects);
        effects.push_back(SendToPeer{peer, attempt.result_});
        return;
    }
}

void onCancel(AgentState &state, Instant now, const Cancel &cancel, AgentEffects &effects)
{
    const auto found = state.attempts_.find(cancel.id_);
    if (found == state.attempts_.end())
        return;
    Attempt &attempt = found->second;
    if (attempt.phase_ == AttemptPhase::Queued) {
        revoke(state, now, cancel.id_, attempt.deadline_ - now);
        logDecision(state, cancel.id_, "cancelled=queued", effects);
    } else if (attempt.phase_ == AttemptPhase::Running && attempt.dispatch_.idempotent_) {
        attempt.cancelled_ = true;
        effects.push_back(CancelCall{cancel.id_});
        logDecision(state, cancel.id_, "cancelled=running", effects);
    }
}

void onTokens(AgentState &state, const CallTokens &event, AgentEffects &effects)
{
    const auto found = state.attempts_.find(event.id_);
    if (found == state.attempts_.end() || found->second.phase_ != AttemptPhase::Running)
        return;
    Attempt &attempt = found->second;
    const auto before = static_cast<std::uint32_t>(attempt.tokens_.size());
    attempt.tokens_.insert(attempt.tokens_.end(), event.tokens_.begin(), event.tokens_.end());
    for (const std::string &peer : attempt.peers_)
        sendTokens(state, peer, attempt, attempt.dispatch_.resumeOffset_ + before, effects);
}

void recordServiceTime(AgentState &state, const Attempt &attempt, nanoseconds duration)
{
    state.serviceTimeByAccount_[attempt.dispatch_.account_] += duration.count();
    state.serviceTime_ = state.serviceTime_ == nanoseconds(0)
        ? duration
        : state.serviceTime_ + (duration - state.serviceTime_) / serviceTimeWindow;
}

// Reports a crash to the control processes, or clears a suspect that has run alone successfully.
void reportSuspect(const AgentState &state, const Attempt &attempt, ResultKind kind,
                   AgentEffects &effects)
{
    constexpr nanoseconds timeout = seconds(5);
    const std::uint64_t digest = attempt.dispatch_.contentDigest_;
    if (kind == ResultKind::UpstreamCrashed) {
        logDecision(state, attempt.dispatch_.id_,
                    std::string("suspected=crash alone=") + (attempt.alone_ ? "true" : "false"),
                    effects);
        effects.push_back(
            SubmitProposal{0, ReportCrash{digest, state.settings_.name_, attempt.alone_}, timeout});
    } else if (kind == ResultKind::Ok && attempt.alone_
               && needsIsolation(state, attempt.dispatch_)) {
        logDecision(state, attempt.dispatch_.id_, "suspected=cleared", effects);
        effects.push_back(SubmitProposal{0, ClearSuspect{digest}, timeout});
    }
}

std::string concatenate(const std::vector<std::string> &tokens)
{
    std::string text;
    for (const std::string &token : tokens)
        text += token;
    return text;
}

void fillResult(AgentState &state, Instant now, Attempt &attempt, const CallEnded &event)
{
    AttemptResult &result = attempt.result_;
    result = makeResult(state, event.id_, event.kind_, event.detail_);
    result.serviceTime_ = now - attempt.started_;
    if (attempt.dispatch_.stream_) {
        // The tokens have been sent already; length and digest let the entry check that none is
        // missing.
        const std::string text = concatenate(attempt.tokens_);
        result.tokens_ =
            attempt.dispatch_.resumeOffset_ + static_cast<std::uint32_t>(attempt.tokens_.size());
        result.bodyLength_ = text.size();
        result.bodyDigest_ = contentDigest(text);
    } else {
        result.body_ = event.body_;
        result.bodyLength_ = event.body_.size();
        result.bodyDigest_ = contentDigest(event.body_);
    }
}

void onUnreachable(AgentState &state, Instant now, const CallEnded &event, AgentEffects &effects)
{
    state.running_.erase(event.id_);
    revokeAndRefuse(state, now, event.id_, "upstream_unreachable", effects);
    if (changePhase(state, UpstreamTrigger::LeaseExpired, effects))
        announce(state, effects);
}

void onEnded(AgentState &state, Instant now, const CallEnded &event, AgentEffects &effects)
{
    const auto found = state.attempts_.find(event.id_);
    if (found == state.attempts_.end() || found->second.phase_ != AttemptPhase::Running)
        return;
    if (event.kind_ == ResultKind::NotRun) {
        onUnreachable(state, now, event, effects);
        startQueued(state, now, effects);
        return;
    }
    Attempt &attempt = found->second;
    attempt.phase_ = nextPhase(attempt.phase_, AttemptTrigger::Finish).value_or(attempt.phase_);
    state.running_.erase(event.id_);
    if (!attempt.cancelled_) {
        recordServiceTime(state, attempt, now - attempt.started_);
        reportSuspect(state, attempt, event.kind_, effects);
    }
    fillResult(state, now, attempt, event);
    logDecision(state, event.id_,
                "end=" + std::string(boost::describe::enum_to_string(event.kind_, "?"))
                    + " service_us=" + std::to_string(attempt.result_.serviceTime_.count() / 1000)
                    + (event.detail_.empty() ? "" : " detail=" + event.detail_),
                effects);
    for (const std::string &peer : attempt.peers_) {
        if (!attempt.cancelled_)
            effects.push_back(SendToPeer{peer, attempt.result_});
    }
    const nanoseconds retention = attempt.dispatch_.idempotent_
        ? std::max(attempt.deadline_ - now, nanoseconds(0)) + idempotentResultMargin
        : nanoseconds(state.view_->fleet_.retention_) + recordedResultMargin;
    attempt.dispatch_.body_.clear();
    scheduleRemoval(state, event.id_, now + retention);
    if (event.kind_ == ResultKind::UpstreamCrashed
        && changePhase(state, UpstreamTrigger::LeaseExpired, effects))
        announce(state, effects);
    startQueued(state, now, effects);
}

void onAnnounced(AgentState &state, Instant now, const UpstreamAnnounced &event,
                 AgentEffects &effects)
{
    if (state.stopping_)
        return;
    state.announcedAt_ = now;
    const bool changed = state.concurrency_ != event.concurrency_ || state.labels_ != event.labels_;
    state.concurrency_ = event.concurrency_;
    state.labels_ = event.labels_;
    changePhase(state, UpstreamTrigger::Announce, effects);
    const bool ready = changePhase(state, UpstreamTrigger::Ready, effects);
    if (changed || ready)
        announce(state, effects);
    startQueued(state, now, effects);
}

void onLeaving(AgentState &state, AgentEffects &effects)
{
    if (changePhase(state, UpstreamTrigger::Leave, effects))
        announce(state, effects);
}

void stopWhenIdle(AgentState &state, Instant now, AgentEffects &effects)
{
    const bool isIdle = state.queued_.empty() && state.running_.empty();
    if (!state.stopping_ || state.stopped_ || (!isIdle && now < state.exitAt_))
        return;
    state.stopped_ = true;
    changePhase(state, UpstreamTrigger::LeaseExpired, effects);
    state.phase_ = UpstreamPhase::Gone;
    announce(state, effects);
    effects.push_back(StopNow{});
}

// The last time at which an attempt can start that is expected to end before the exit.
Instant lastStart(const AgentState &state)
{
    return state.exitAt_ == Instant::max() ? state.exitAt_ : state.exitAt_ - state.serviceTime_;
}

// Gives back queued attempts that can't end before the exit, and at the exit the running ones. A
// call that must not be repeated is left alone: whether it takes effect is unknown.
void giveUpBeforeExit(AgentState &state, Instant now, AgentEffects &effects)
{
    if (now >= lastStart(state)) {
        for (const AttemptId &id : std::set<AttemptId>(state.queued_))
            revokeAndRefuse(state, now, id, "upstream_not_serving", effects);
    }
    if (now < state.exitAt_)
        return;
    for (const AttemptId &id : state.running_) {
        Attempt &attempt = state.attempts_.at(id);
        if (!attempt.dispatch_.idempotent_ || attempt.cancelled_)
            continue;
        attempt.cancelled_ = true;
        logDecision(state, id, "cancelled=exit", effects);
        effects.push_back(CancelCall{id});
        for (const std::string &peer : attempt.peers_)
            effects.push_back(SendToPeer{
                peer, makeResult(state, id, ResultKind::Failed, "the agent left during the call")});
    }
}

void removeExpired(AgentState &state, Instant now)
{
    while (!state.removals_.empty() && state.removals_.begin()->first <= now) {
        const AttemptId id = state.removals_.begin()->second;
        state.removals_.erase(state.removals_.begin());
        const auto found = state.attempts_.find(id);
        // A later entry in removals_ may have postponed the removal.
        if (found != state.attempts_.end() && found->second.removeAt_ <= now)
            state.attempts_.erase(found);
    }
}

void runDueTimers(AgentState &state, Instant now, AgentEffects &effects)
{
    removeExpired(state, now);
    const bool leaseExpired = now - state.announcedAt_ > announceLease;
    if (state.phase_ == UpstreamPhase::Serving && leaseExpired
        && changePhase(state, UpstreamTrigger::LeaseExpired, effects))
        announce(state, effects);
    std::vector<AttemptId> expired;
    for (const AttemptId &id : state.queued_) {
        if (state.attempts_.at(id).deadline_ <= now)
            expired.push_back(id);
    }
    for (const AttemptId &id : expired)
        revokeAndRefuse(state, now, id, "deadline_passed", effects);
    giveUpBeforeExit(state, now, effects);
}

void onPeerMessage(AgentState &state, Instant now, const PeerMessage &event, AgentEffects &effects)
{
    if (const auto *dispatch = std::get_if<Dispatch>(&event.message_))
        onDispatch(state, now, event.peer_, *dispatch, effects);
    else if (const auto *inquiry = std::get_if<Inquire>(&event.message_))
        onInquire(state, now, event.peer_, *inquiry, effects);
    else if (const auto *cancel = std::get_if<Cancel>(&event.message_))
        onCancel(state, now, *cancel, effects);
}

} // namespace

AgentState makeAgent(const AgentSettings &settings)
{
    AgentState state;
    state.settings_ = settings;
    return state;
}

Load currentLoad(const AgentState &state)
{
    Load load;
    load.queued_ = static_cast<std::uint32_t>(state.queued_.size());
    load.running_ = static_cast<std::uint32_t>(state.running_.size());
    load.serviceTime_ = state.serviceTime_;
    load.phase_ = state.phase_;
    load.viewVersion_ = state.view_->version_;
    return load;
}

Instant nextWake(const AgentState &state)
{
    Instant wake = Instant::max();
    if (state.phase_ == UpstreamPhase::Serving)
        wake = state.announcedAt_ + announceLease;
    for (const AttemptId &id : state.queued_)
        wake = std::min(wake, state.attempts_.at(id).deadline_);
    if (!state.queued_.empty())
        wake = std::min(wake, lastStart(state));
    if (!state.stopped_ && !state.running_.empty())
        wake = std::min(wake, state.exitAt_);
    if (!state.removals_.empty())
        wake = std::min(wake, state.removals_.begin()->first);
    return wake;
}

void reduce(AgentState &state, Instant now, const AgentEvent &event, AgentEffects &effects)
{
    runDueTimers(state, now, effects);
    std::visit(Overloaded{
                   [&](const PeerMessage &e) { onPeerMessage(state, now, e, effects); },
                   [&](const UpstreamAnnounced &e) { onAnnounced(state, now, e, effects); },
                   [&](const UpstreamLeaving &) { onLeaving(state, effects); },
                   [&](const CallTokens &e) { onTokens(state, e, effects); },
                   [&](const CallEnded &e) { onEnded(state, now, e, effects); },
                   [&](const ViewChanged &e) {
                       state.view_ = e.view_;
                       state.asOf_ = e.asOf_;
                   },
                   [](const Wake &) {},
                   [&](const ExitScheduled &e) {
                       state.exitAt_ = e.exitAt_;
                       giveUpBeforeExit(state, now, effects);
                   },
                   [&](const StopRequested &) {
                       state.stopping_ = true;
                       onLeaving(state, effects);
                   },
               },
               event);
    stopWhenIdle(state, now, effects);
}

} // namespace chervilspring
