#include "chervilspring/detail/direct/direct_steps.hpp"

#include <algorithm>

namespace chervilspring::directing {

namespace {

constexpr nanoseconds replanInterval = milliseconds(100); // while no scheduler is known
constexpr nanoseconds lostSchedulerPause = seconds(5); // before it is asked again unnamed
constexpr nanoseconds lostLeaderPause = seconds(1); // before its naming as leader is believed

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
    for (const auto &[place, result] : request.results_)
        plan.results_.push_back(PieceResult{place.first, place.second, result.upstream_,
                                            result.handle_, now - result.madeAt_});
    return plan;
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
    request->results_.clear();
    startRun(state, now, *request, *upstream->second, grant.inputs_, effects);
}

void onProgress(DirectState &state, Instant now, const std::string &peer,
                const PlanProgress &progress)
{
    DirectRequest *request = findPlanned(state, peer, progress.id_, progress.round_);
    if (!request)
        return;
    for (const PieceResult &result : progress.results_)
        request->results_[{result.stage_, result.piece_}] =
            KnownResult{result.upstream_, result.handle_, now};
}

// Moves what is planned elsewhere: two schedulers would each count on the whole room and time of
// the stage upstreams.
void moveToLeader(DirectState &state, Instant now, DirectEffects &effects)
{
    for (auto &[token, request] : state.requests_) {
        if (request.phase_ == DirectPhase::Planning && isPlanned(request)
            && request.scheduler_ != state.leader_)
            askScheduler(state, now, request, false, effects);
    }
}

} // namespace

void askScheduler(DirectState &state, Instant now, DirectRequest &request, bool remake,
                  DirectEffects &effects)
{
    request.phase_ = DirectPhase::Planning;
    if (remake)
        request.results_.clear();
    const std::string scheduler = chooseScheduler(state, now);
    const std::string before = std::exchange(request.scheduler_, scheduler);
    ++request.round_;
    if (scheduler.empty()) {
        state.replanAt_ = std::min(state.replanAt_, now + replanInterval);
        return;
    }
    if (!before.empty() && before != scheduler)
        effects.push_back(SendToPeer{
            before, PlanEnd{request.call_.id_, request.round_, false, "moved", false, true}});
    addLine(effects, request, "plan",
            "scheduler=" + scheduler + " round=" + std::to_string(request.round_)
                + " results=" + std::to_string(request.results_.size()) + " until_objective_ms="
                + millisecondsText(request.arrivedAt_ + request.route_->objective_ - now)
                + " until_end_ms=" + millisecondsText(request.endAt_ - now));
    effects.push_back(SendToPeer{scheduler, makePlanRequest(request, now, remake)});
}

void onPeerMessage(DirectState &state, Instant now, const PeerMessage &event,
                   DirectEffects &effects)
{
    if (const auto *grant = std::get_if<PlanGrant>(&event.message_)) {
        onGrant(state, now, event.peer_, *grant, effects);
        return;
    }
    if (const auto *progress = std::get_if<PlanProgress>(&event.message_)) {
        onProgress(state, now, event.peer_, *progress);
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
            askScheduler(state, now, request, false, effects);
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
        moveToLeader(state, now, effects);
    }
    state.controlNames_ = event.controlNames_;
    if (event.view_->version_ == state.table_->view_->version_)
        return;
    state.table_ = makeRouteTable(event.view_);
    forgetUnlisted(state.upstreams_, *state.table_);
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

} // namespace chervilspring::directing
