#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

#include <algorithm>

namespace chervilspring::scheduling {

const Upstream *findUpstream(const SchedulerState &state, const std::string &name)
{
    const auto &upstreams = state.view_->upstreams_; // sorted by name
    const auto found = std::lower_bound(
        upstreams.begin(), upstreams.end(), name,
        [](const Upstream &upstream, const std::string &key) { return upstream.name_ < key; });
    return found != upstreams.end() && found->name_ == name ? &*found : nullptr;
}

const PieceCapacity *pieceCapacity(const SchedulerState &state, const std::string &pool)
{
    const Pool *found = findByName(state.view_->fleet_.pools_, pool);
    return found && found->pieces_ ? &*found->pieces_ : nullptr;
}

Job *findJob(SchedulerState &state, const JobId &id)
{
    const auto planned = state.jobs_.find(id);
    if (planned != state.jobs_.end())
        return &planned->second;
    const auto granted = state.granted_.find(id);
    return granted == state.granted_.end() ? nullptr : &granted->second;
}

void eraseJob(SchedulerState &state, const JobId &id)
{
    if (const auto planned = state.jobs_.find(id); planned != state.jobs_.end())
        erasePlanned(state, planned);
    state.granted_.erase(id);
}

void erasePlanned(SchedulerState &state, std::map<JobId, Job>::iterator planned)
{
    removeWork(state.work_, planned->first, planned->second);
    state.jobs_.erase(planned);
}

void addDecisionLine(SchedulerEffects &effects, const Job &job, const std::string &what)
{
    effects.push_back(DecisionLine{"decision=" + what + " request=" + job.request_.id_
                                   + " round=" + std::to_string(job.request_.round_)});
}

void refuse(SchedulerState &state, Instant now, const JobId &id, nanoseconds retryAfter,
            const std::string &reason, const std::string &detail, SchedulerEffects &effects)
{
    const auto found = state.jobs_.find(id);
    if (found == state.jobs_.end())
        return;
    Job &job = found->second;
    addDecisionLine(effects, job,
                    "refuse reason=" + reason + " " + detail
                        + " retry_after_ms=" + millisecondsText(retryAfter));
    effects.push_back(SendToPeer{
        id.entry_, PlanRefusal{job.request_.id_, job.request_.round_, retryAfter, reason, detail}});
    freeAllResults(state, now, job, effects);
    erasePlanned(state, found);
}

} // namespace chervilspring::scheduling
