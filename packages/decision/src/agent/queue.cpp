#include "chervilspring/detail/agent/agent.hpp"
#include "chervilspring/digest.hpp"

#include <tuple>

namespace chervilspring {

namespace {

const Suspect *findSuspect(const View &view, std::uint64_t digest)
{
    for (const Suspect &suspect : view.suspects_) {
        if (suspect.digest_ == digest)
            return &suspect;
    }
    return nullptr;
}

bool isDrained(const AgentState &state)
{
    const Upstream *self = findByName(state.view_->upstreams_, state.settings_.name_);
    return self && self->drained_;
}

} // namespace

std::optional<AttemptId> pickNext(const AgentState &state)
{
    std::optional<AttemptId> best;
    // Priority, service time of the account in ns, deadline. The lowest rank runs first.
    std::tuple<std::uint32_t, std::int64_t, Instant> bestRank;
    for (const AttemptId &id : state.queued_) {
        const Attempt &attempt = state.attempts_.at(id);
        const auto found = state.serviceTimeByAccount_.find(attempt.dispatch_.account_);
        const std::int64_t serviceTime =
            found == state.serviceTimeByAccount_.end() ? 0 : found->second;
        const std::tuple rank{attempt.dispatch_.priority_, serviceTime, attempt.deadline_};
        if (best && rank >= bestRank)
            continue;
        best = id;
        bestRank = rank;
    }
    return best;
}

std::string refusalReason(const AgentState &state, Instant now, const Dispatch &dispatch)
{
    if (dispatch.agentBoot_ != state.settings_.boot_)
        return "agent_restarted";
    if (state.phase_ != UpstreamPhase::Serving || state.stopping_)
        return "upstream_not_serving";
    if (isDrained(state))
        return "upstream_drained";
    if (dispatch.remaining_ <= nanoseconds(0))
        return "deadline_passed";
    if (contentDigest(dispatch.body_) != dispatch.bodyDigest_)
        return "body_digest_differs";
    if (now - state.asOf_ > state.settings_.staleAfter_)
        return "view_too_old";
    const Suspect *suspect = findSuspect(*state.view_, dispatch.contentDigest_);
    if (suspect && suspect->refused_)
        return "request_crashes_upstreams";
    if (state.queued_.size() >= state.settings_.queueLimit_)
        return "queue_full";
    return {};
}

} // namespace chervilspring
