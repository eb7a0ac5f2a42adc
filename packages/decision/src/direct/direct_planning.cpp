#include "chervilspring/detail/direct/direct_steps.hpp"
#include "chervilspring/detail/scheduler/quarantine.hpp"

#include <algorithm>

namespace chervilspring::directing {

namespace {

constexpr nanoseconds replanInterval = milliseconds(100); // while no scheduler is known
// After the loss of its connection, a control process isn't chosen as scheduler for this time while
// the leader is unknown.
constexpr nanoseconds lostSchedulerPause = seconds(5);
// After the loss of its connection, reports that a control process is the leader are ignored for
// this time.
constexpr nanoseconds lostLeaderPause = seconds(1);
// The scheduler didn't take all stages of the route into account; it may be of another version.
constexpr nanoseconds missingInputsRetryAfter = milliseconds(500);
// The scheduler that granted the request didn't know of the quarantine yet.
constexpr nanoseconds quarantinedRetryAfter = seconds(5);

bool wasRecentlyLost(const DirectState &state, const std::string &scheduler, nanoseconds pause,
                     Instant now)
{
    const auto lost = state.schedulersLostAt_.find(scheduler);
    return lost != state.schedulersLostAt_.end() && now - lost->second < pause;
}

PlanRequest makePlanRequest(const DirectState &state, const DirectRequest &request, Instant now,
                            bool resultsLost)
{
    PlanRequest plan;
    plan.id_ = request.call_.id_;
    plan.route_ = request.route_->name_;
    plan.pool_ = request.pool_;
    plan.account_ = request.account_;
    plan.priority_ = request.priority_;
    plan.untilObjective_ = request.arrivedAt_ + request.route_->objective_ - now;
    plan.untilDeadline_ = std::min(request.deadlineAt_, state.exitAt_) - now;
    // 0 would mean that there is no such time.
    plan.untilStartDeadline_ = std::max(request.startDeadlineAt_ - now, nanoseconds(1));
    plan.pieceCounts_ = request.call_.pieceCounts_;
    plan.stages_ = request.route_->stages_;
    plan.pieceKey_ = request.call_.pieceKey_;
    plan.promptTokens_ = request.call_.promptTokens_;
    plan.outputTokens_ = request.call_.outputTokens_;
    plan.parts_ = request.call_.parts_;
    plan.round_ = request.planRound_;
    plan.avoid_ = request.avoidedUpstreams_;
    plan.remake_ = resultsLost;
    for (const auto &[stageAndPiece, result] : request.stageResults_)
        plan.results_.push_back(PieceResult{stageAndPiece.first, stageAndPiece.second,
                                            result.upstream_, result.handle_,
                                            now - result.producedAt_});
    return plan;
}

// Returns the number of stage results that the run of a request needs: those of all stages that no
// other stage needs.
std::size_t neededInputs(const DirectRequest &request)
{
    const auto &stages = request.route_->stages_;
    const auto &counts = request.call_.pieceCounts_;
    std::set<std::uint32_t> consumed;
    for (const RouteStage &stage : stages)
        consumed.insert(stage.after_.begin(), stage.after_.end());
    std::size_t inputs = 0;
    for (std::uint32_t i = 0; i < std::min(stages.size(), counts.size()); ++i)
        inputs += consumed.contains(i) ? 0 : counts[i];
    return inputs;
}

// Finds the request that a message of a scheduler refers to. Returns nullptr if the request is
// unknown or no longer being planned, or if the message comes from another scheduler or round than
// the current one.
DirectRequest *findPlanned(DirectState &state, const std::string &peer, const std::string &id,
                           std::uint32_t round)
{
    const auto token = state.tokensById_.find(id);
    if (token == state.tokensById_.end())
        return nullptr;
    DirectRequest &request = state.requests_.at(token->second);
    const bool current = request.scheduler_ == peer && request.planRound_ == round
        && request.phase_ == DirectPhase::Planning;
    return current ? &request : nullptr;
}

// Asks the scheduler for another engine than one that leaves or has asked for a pause. A scheduler
// that grants it again has no other.
void replaceUnusableEngine(DirectState &state, Instant now, DirectRequest &request,
                           const std::string &engine, DirectEffects &effects)
{
    auto &avoided = request.avoidedUpstreams_;
    if (std::find(avoided.begin(), avoided.end(), engine) == avoided.end()) {
        avoided.push_back(engine);
        requestPlan(state, now, request, false, effects);
        return;
    }
    notifyScheduler(request, PlanOutcome::NotServed, "unusable_engine", effects);
    const auto upstreams = state.table_->upstreamsByPool_.find(request.pool_);
    failUnusable(state, now, request.call_.token_,
                 upstreams == state.table_->upstreamsByPool_.end() ? std::vector<const Upstream *>{}
                                                                   : upstreams->second,
                 effects);
}

void onGrant(DirectState &state, Instant now, const std::string &peer, const PlanGrant &grant,
             DirectEffects &effects)
{
    DirectRequest *request = findPlanned(state, peer, grant.id_, grant.round_);
    if (!request)
        return;
    if (!mayRunBeforeExit(state, now, *request)) {
        endForExit(state, now, request->call_.token_, effects);
        return;
    }
    if (failIfCrashedTooOften(state, now, *request, effects))
        return;
    if (const std::size_t needed = neededInputs(*request); grant.inputs_.size() < needed) {
        notifyScheduler(*request, PlanOutcome::NotServed, "inputs_missing", effects);
        failRequest(state, now, request->call_.token_, missingInputsRetryAfter,
                    EndReason{"inputs_missing",
                              "scheduler=" + peer
                                  + " inputs=" + std::to_string(grant.inputs_.size()) + "/"
                                  + std::to_string(needed)},
                    effects);
        return;
    }
    const Quarantine *quarantine =
        findQuarantine(state.table_->view_->quarantines_, request->call_.parts_);
    if (quarantine && !grant.trial_) {
        notifyScheduler(*request, PlanOutcome::NotServed, "quarantined", effects);
        failRequest(state, now, request->call_.token_, quarantinedRetryAfter,
                    EndReason{"quarantined", "quarantine=" + std::to_string(quarantine->id_)},
                    effects);
        return;
    }
    const auto upstream = state.table_->availableUpstreams_.find(grant.upstream_);
    if (upstream == state.table_->availableUpstreams_.end()) {
        request->avoidedUpstreams_.push_back(grant.upstream_);
        requestPlan(state, now, *request, false, effects);
        return;
    }
    if (usableFrom(state.notices_, *upstream->second, now) != Instant{}) {
        replaceUnusableEngine(state, now, *request, grant.upstream_, effects);
        return;
    }
    request->stageResults_.clear();
    startRun(state, now, *request, *upstream->second, grant.inputs_, effects);
}

void onProgress(DirectState &state, Instant now, const std::string &peer,
                const PlanProgress &progress)
{
    DirectRequest *request = findPlanned(state, peer, progress.id_, progress.round_);
    if (!request)
        return;
    for (const PieceResult &result : progress.results_)
        request->stageResults_[{result.stage_, result.piece_}] =
            StageResult{result.upstream_, result.handle_, now};
}

// Moves requests that other schedulers plan to the leader: two schedulers would each allocate the
// entire storage and time of the stage upstreams.
void moveToLeader(DirectState &state, Instant now, DirectEffects &effects)
{
    for (auto &[token, request] : state.requests_) {
        if (request.phase_ == DirectPhase::Planning && isPlanned(request)
            && request.scheduler_ != state.leader_)
            requestPlan(state, now, request, false, effects);
    }
}

} // namespace

std::string chooseScheduler(const DirectState &state, Instant now)
{
    if (!state.leader_.empty())
        return state.leader_;
    // All entries choose the same one, so that calls are still filled with pieces from all entries.
    const std::set<std::string> names(state.controlNames_.begin(), state.controlNames_.end());
    for (const std::string &name : names) {
        if (!wasRecentlyLost(state, name, lostSchedulerPause, now))
            return name;
    }
    return {};
}

void requestPlan(DirectState &state, Instant now, DirectRequest &request, bool resultsLost,
                 DirectEffects &effects)
{
    request.phase_ = DirectPhase::Planning;
    if (resultsLost)
        request.stageResults_.clear();
    const std::string scheduler = chooseScheduler(state, now);
    const std::string previous = std::exchange(request.scheduler_, scheduler);
    ++request.planRound_;
    if (!previous.empty() && previous != scheduler)
        effects.push_back(SendToPeer{
            previous, PlanEnd{request.call_.id_, request.planRound_, false, "moved", false, true}});
    if (scheduler.empty()) {
        state.replanAt_ = std::min(state.replanAt_, now + replanInterval);
        return;
    }
    addDecisionLine(
        effects, request, "plan",
        "scheduler=" + scheduler + " round=" + std::to_string(request.planRound_)
            + " results=" + std::to_string(request.stageResults_.size()) + " until_objective_ms="
            + millisecondsText(request.arrivedAt_ + request.route_->objective_ - now)
            + " until_end_ms=" + millisecondsText(request.deadlineAt_ - now)
            + " until_start_deadline_ms=" + millisecondsText(request.startDeadlineAt_ - now)
            + untilExitText(state, now));
    effects.push_back(SendToPeer{scheduler, makePlanRequest(state, request, now, resultsLost)});
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
    failRequest(state, now, request->call_.token_, refusal->retryAfter_,
                EndReason{refusal->reason_, refusal->detail_}, effects);
}

void onPeerLost(DirectState &state, Instant now, const std::string &peer, DirectEffects &effects)
{
    state.schedulersLostAt_[peer] = now;
    if (state.leader_ == peer)
        state.leader_.clear(); // until it or its successor is reported as leader
    effects.push_back(DecisionLine{"decision=dependency_lost peer=" + peer});
    for (auto &[token, request] : state.requests_) {
        if (request.scheduler_ != peer)
            continue;
        request.scheduler_.clear();
        if (request.phase_ == DirectPhase::Planning)
            requestPlan(state, now, request, false, effects);
    }
}

void onView(DirectState &state, Instant now, const ViewChanged &event, DirectEffects &effects)
{
    state.sharePpm_ = event.share_;
    state.shareExpires_ = event.shareExpires_;
    const bool leaderKnown =
        !event.leader_.empty() && !wasRecentlyLost(state, event.leader_, lostLeaderPause, now);
    if (leaderKnown && event.leader_ != state.leader_) {
        effects.push_back(
            DecisionLine{"decision=leader leader=" + event.leader_ + " was=" + state.leader_});
        state.leader_ = event.leader_;
        state.schedulersLostAt_.erase(event.leader_);
        moveToLeader(state, now, effects);
        repeatCrashReports(state, now, effects);
    }
    state.controlNames_ = event.controlNames_;
    const View &current = *state.table_->view_;
    if (event.view_->version_ == current.version_
        && event.view_->fleetVersion_ == current.fleetVersion_)
        return;
    forgetLiftedCrashes(state, *event.view_);
    state.table_ = makeRouteTable(event.view_);
    updateTrials(state, now);
    if (!state.unexplainedBreaks_.empty())
        reportRestarted(state, now, effects);
    removeUnlisted(state.upstreamStats_, *state.table_);
    removeUnlistedRoutes(state);
}

void replanUnscheduled(DirectState &state, Instant now, DirectEffects &effects)
{
    if (now < state.replanAt_)
        return;
    state.replanAt_ = Instant::max();
    for (auto &[token, request] : state.requests_) {
        if (request.phase_ == DirectPhase::Planning && request.scheduler_.empty()
            && isPlanned(request))
            requestPlan(state, now, request, false, effects);
    }
}

} // namespace chervilspring::directing
