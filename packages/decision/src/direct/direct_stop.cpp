#include "chervilspring/detail/direct/direct_steps.hpp"

namespace chervilspring {

namespace directing {

void onStop(DirectState &state, Instant now, const DirectStop &event, DirectEffects &effects)
{
    state.exitAt_ = event.exitAt_;
    effects.push_back(
        DecisionLine{"decision=stop unfinished=" + std::to_string(state.requests_.size())
                     + untilExitText(state, now)});
}

std::string untilExitText(const DirectState &state, Instant now)
{
    return state.exitAt_ == Instant::max()
        ? std::string()
        : " until_exit_ms=" + millisecondsText(state.exitAt_ - now);
}

} // namespace directing

std::vector<DecisionLine> describeUnfinished(const DirectState &state, Instant now)
{
    std::vector<DecisionLine> lines;
    for (const auto &[token, request] : state.requests_)
        lines.push_back(DecisionLine{
            "decision=unfinished request=" + request.call_.id_
            + " phase=" + (request.phase_ == DirectPhase::Planning ? "planning" : "running")
            + " upstream=" + request.upstream_
            + " response_started=" + (request.responseStarted_ ? "true" : "false")
            + " age_ms=" + millisecondsText(now - request.arrivedAt_) + " until_end_ms="
            + millisecondsText(request.deadlineAt_ - now) + directing::untilExitText(state, now)});
    return lines;
}

} // namespace chervilspring
