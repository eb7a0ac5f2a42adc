#include "chervilspring/detail/direct/direct_steps.hpp"

#include <algorithm>

namespace chervilspring::directing {

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

void giveUp(DirectState &state, Instant now, std::uint64_t token, nanoseconds retryAfter,
            const Ending &ending, DirectEffects &effects)
{
    const DirectRequest &request = state.requests_.at(token);
    if (request.maybeRan_ == 0)
        refuse(state, now, token, statusUnavailable, retryAfter, ending, effects);
    else
        refuse(state, now, token, statusBadGateway, nanoseconds(0), ending, effects);
}

const Suspect *findSuspect(const DirectState &state, std::uint64_t digest)
{
    for (const Suspect &suspect : state.table_->view_->suspects_) {
        if (suspect.digest_ == digest)
            return &suspect;
    }
    return nullptr;
}

} // namespace chervilspring::directing
