#include "chervilspring/detail/direct/direct_steps.hpp"

#include <algorithm>

namespace chervilspring::directing {

namespace {

// Time in which what else runs at the upstream of a trial ends.
constexpr nanoseconds quietTime = milliseconds(200);
constexpr nanoseconds endTimeout = seconds(3); // for storing the end of a trial

// Starts a request that has waited.
void startAfterWait(DirectState &state, Instant now, DirectRequest &request, DirectEffects &effects)
{
    const Suspect *suspect = findSuspect(state, request.digest_);
    request.isTrial_ = suspect && hasCrashedTooOften(*suspect);
    addDecisionLine(effects, request, "trial",
                    "digest=" + std::to_string(request.digest_)
                        + " suspended=" + (request.isTrial_ ? "true" : "false"));
    if (isPlanned(request)) {
        requestPlan(state, now, request, false, effects);
        return;
    }
    const auto &upstreams = state.table_->availableUpstreams_;
    const auto chosen = suspect ? upstreams.find(suspect->trialUpstream_) : upstreams.end();
    const bool isUsable =
        chosen != upstreams.end() && usableFrom(state.notices_, *chosen->second, now) == Instant{};
    if (isUsable)
        startRun(state, now, request, *chosen->second, {}, effects);
    else
        startUnplannedRun(state, now, request.call_.token_, effects);
}

} // namespace

bool mayAwaitTrial(const DirectState &state, std::uint64_t digest)
{
    const Suspect *suspect = findSuspect(state, digest);
    return suspect && suspect->trialPhase_ == TrialPhase::Offered && state.exitAt_ == Instant::max()
        && !state.awaitedTrials_.contains(digest);
}

void awaitTrial(DirectState &state, Instant now, DirectRequest &request, DirectEffects &effects)
{
    request.phase_ = DirectPhase::AwaitingTrial;
    std::string upstream;
    if (!isPlanned(request)) {
        const Upstream *chosen = chooseUnplanned(state, now, request);
        if (!chosen) {
            failUnusable(state, now, request.call_.token_, upstreamsOf(state, request), effects);
            return;
        }
        upstream = chosen->name_;
    }
    const nanoseconds patience = (request.deadlineAt_ - now) / 2; // the rest is for the run
    state.awaitedTrials_[request.digest_] = AwaitedTrial{request.call_.token_, now + patience};
    addDecisionLine(effects, request, "await_trial",
                    "digest=" + std::to_string(request.digest_) + " upstream=" + upstream);
    effects.push_back(SubmitProposal{0,
                                     ChangeTrial{request.digest_, TrialPhase::Running,
                                                 state.settings_.name_, std::move(upstream)},
                                     patience});
}

void updateTrials(DirectState &state, Instant now)
{
    for (auto &[digest, trial] : state.awaitedTrials_) {
        const Suspect *suspect = findSuspect(state, digest);
        const DirectRequest &request = state.requests_.at(trial.token_);
        if (!suspect || !hasCrashedTooOften(*suspect)) { // a request like it has run to its end
            trial.startAt_ = std::min(trial.startAt_, now);
            continue;
        }
        const bool isOwn = suspect->trialPhase_ == TrialPhase::Running
            && suspect->trialEntry_ == state.settings_.name_;
        if (isOwn && trial.startAt_ == Instant::max()) {
            trial.startAt_ = now + std::min(quietTime, (request.deadlineAt_ - now) / 4);
        } else if (!isOwn && suspect->trialPhase_ != TrialPhase::Offered) {
            trial.startAt_ = Instant::max();
            trial.refuseAt_ = now;
        }
    }
}

void endTrialWaits(DirectState &state, Instant now, DirectEffects &effects)
{
    std::vector<AwaitedTrial> due;
    for (const auto &[digest, trial] : state.awaitedTrials_) {
        const bool isLate = trial.startAt_ == Instant::max() && trial.refuseAt_ <= now;
        if (trial.startAt_ <= now || isLate)
            due.push_back(trial);
    }
    for (const AwaitedTrial &trial : due) {
        DirectRequest &request = state.requests_.at(trial.token_);
        const std::uint64_t digest = request.digest_;
        state.awaitedTrials_.erase(digest);
        if (trial.startAt_ <= now)
            startAfterWait(state, now, request, effects);
        else
            failRequest(state, now, trial.token_, suspectRetryAfter,
                        EndReason{"crashed_upstreams", "digest=" + std::to_string(digest)},
                        effects);
    }
}

void endTrial(DirectState &state, const DirectRequest &request, DirectEffects &effects)
{
    const auto awaited = state.awaitedTrials_.find(request.digest_);
    if (awaited != state.awaitedTrials_.end() && awaited->second.token_ == request.call_.token_)
        state.awaitedTrials_.erase(awaited);
    if (!request.isTrial_)
        return;
    effects.push_back(SubmitProposal{
        0, ChangeTrial{request.digest_, TrialPhase::None, state.settings_.name_, {}}, endTimeout});
}

} // namespace chervilspring::directing
