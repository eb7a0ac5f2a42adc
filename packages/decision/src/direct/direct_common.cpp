#include "chervilspring/detail/direct/direct_steps.hpp"

#include <algorithm>

namespace chervilspring::directing {

namespace {

// Shortest time from the choice of a model engine to the arrival of the first event at the caller.
constexpr nanoseconds minTimeToFirstEvent = milliseconds(100);

} // namespace

Instant firstStartDeadline(const DirectRequest &request)
{
    const std::optional<nanoseconds> patience = callerPatience(*request.route_);
    return patience ? std::min(request.deadlineAt_, request.arrivedAt_ + *patience)
                    : request.deadlineAt_;
}

Instant unstartedRefusalAt(const DirectRequest &request)
{
    return firstStartDeadline(request) - minTimeToFirstEvent;
}

bool isRepeatable(const DirectRequest &request)
{
    const RouteSpec &route = *request.route_;
    return route.kind_ == RouteKind::Safe
        || (route.kind_ == RouteKind::Streaming && route.resumable_);
}

namespace {

// Whether stages have to be processed before the request can run.
bool hasPieces(const DirectRequest &request)
{
    const auto &counts = request.call_.pieceCounts_;
    const std::size_t stages = std::min(request.route_->stages_.size(), counts.size());
    return std::any_of(counts.begin(), counts.begin() + static_cast<std::ptrdiff_t>(stages),
                       [](std::uint32_t count) { return count > 0; });
}

} // namespace

bool isPlanned(const DirectRequest &request)
{
    const Pool *pool = findPool(*request.table_, request.pool_);
    return (pool && pool->engine_) || hasPieces(request);
}

void addDecisionLine(DirectEffects &effects, const DirectRequest &request,
                     const std::string &decision, const std::string &rest)
{
    effects.push_back(DecisionLine{"decision=" + decision + " request=" + request.call_.id_
                                   + " attempt=" + std::to_string(request.attempt_) + " " + rest});
}

void notifyScheduler(const DirectRequest &request, PlanOutcome outcome, const std::string &detail,
                     DirectEffects &effects)
{
    if (request.scheduler_.empty())
        return;
    effects.push_back(
        SendToPeer{request.scheduler_,
                   PlanEnd{request.call_.id_, request.planRound_, outcome == PlanOutcome::Served,
                           detail, outcome == PlanOutcome::EngineFailed}});
}

void cancelWork(DirectState &state, Instant now, DirectRequest &request, bool upstreamFailed,
                const std::string &detail, DirectEffects &effects)
{
    if (request.phase_ == DirectPhase::Running) {
        effects.push_back(StopRun{request.call_.token_, request.attempt_});
        recordRunEnd(state.upstreamStats_, request.upstream_, now - request.runStartedAt_,
                     upstreamFailed, now);
        ++request.possibleExecutions_;
    }
    notifyScheduler(request, PlanOutcome::NotServed, detail, effects);
}

void finishRequest(DirectState &state, Instant now, std::uint64_t token, const EndReason &reason,
                   unsigned status, DirectEffects &effects)
{
    const auto found = state.requests_.find(token);
    const DirectRequest &request = found->second;
    addDecisionLine(effects, request, "end",
                    "outcome=" + reason.outcome_ + " " + reason.detail_
                        + " status=" + std::to_string(status) + " route=" + request.route_->name_
                        + " pool=" + request.pool_ + " account=" + request.account_ + " upstream="
                        + request.upstream_ + " runs=" + std::to_string(request.possibleExecutions_)
                        + " total_ms=" + millisecondsText(now - request.arrivedAt_)
                        + " view=" + std::to_string(request.table_->view_->version_));
    effects.push_back(DirectEnded{token, reason.outcome_});
    endTrial(state, request, effects);
    state.deadlines_.erase({request.deadlineAt_, token});
    state.startDeadlines_.erase({unstartedRefusalAt(request), token});
    state.tokensById_.erase(request.call_.id_);
    state.requests_.erase(found);
}

void refuseRequest(DirectState &state, Instant now, std::uint64_t token, unsigned status,
                   nanoseconds retryAfter, const EndReason &reason, DirectEffects &effects)
{
    const DirectRequest &request = state.requests_.at(token);
    if (request.responseStarted_) {
        effects.push_back(AbortCall{token});
        EndReason cut = reason;
        cut.detail_ += (cut.detail_.empty() ? "" : " ") + std::string("response=cut");
        finishRequest(state, now, token, cut, 0, effects);
        return;
    }
    effects.push_back(RefuseCall{token, status, retryAfter, reason.outcome_});
    finishRequest(state, now, token, reason, status, effects);
}

void failRequest(DirectState &state, Instant now, std::uint64_t token, nanoseconds retryAfter,
                 const EndReason &reason, DirectEffects &effects)
{
    const DirectRequest &request = state.requests_.at(token);
    if (request.possibleExecutions_ == 0)
        refuseRequest(state, now, token, statusUnavailable, retryAfter, reason, effects);
    else
        refuseRequest(state, now, token, statusBadGateway, nanoseconds(0), reason, effects);
}

const Suspect *findSuspect(const DirectState &state, std::uint64_t digest)
{
    for (const Suspect &suspect : state.table_->view_->suspects_) {
        if (suspect.digest_ == digest)
            return &suspect;
    }
    return nullptr;
}

bool crashedTooOften(const DirectState &state, std::uint64_t digest)
{
    const Suspect *suspect = findSuspect(state, digest);
    return suspect && hasCrashedTooOften(*suspect);
}

bool failIfCrashedTooOften(DirectState &state, Instant now, const DirectRequest &request,
                           DirectEffects &effects)
{
    if (request.isTrial_ || !crashedTooOften(state, request.digest_))
        return false;
    notifyScheduler(request, PlanOutcome::NotServed, "crashed_upstreams", effects);
    failRequest(state, now, request.call_.token_, suspectRetryAfter,
                EndReason{"crashed_upstreams", "digest=" + std::to_string(request.digest_)},
                effects);
    return true;
}

} // namespace chervilspring::directing
