#include "chervilspring/detail/scheduler/scheduler_steps.hpp"

namespace chervilspring::scheduling {

namespace {

std::string quarantineText(const Quarantine &quarantine)
{
    return "quarantine=" + std::to_string(quarantine.id_) + " parts=" + partsText(quarantine.parts_)
        + " crashes=" + std::to_string(quarantine.crashes_)
        + " trials=" + std::to_string(quarantine.trials_);
}

std::string partsText(const std::vector<PromptPart> &parts)
{
    std::vector<std::string> ids;
    for (const PromptPart &part : parts)
        ids.push_back(part.id_);
    return chervilspring::partsText(ids);
}

// Refuses the planned requests that have quarantined parts.
void refuseQuarantined(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    if (state.quarantines_.active_.empty())
        return;
    for (auto next = state.jobs_.begin(); next != state.jobs_.end();) {
        auto &[id, job] = *next++; // advance first: a refusal removes the request from the map
        if (!job.trial_)
            refuseIfQuarantined(state, now, id, job, effects);
    }
}

} // namespace

bool refuseIfQuarantined(SchedulerState &state, Instant now, const JobId &id, Job &job,
                         SchedulerEffects &effects)
{
    const QuarantineMatch match = matchQuarantines(state.quarantines_, now, job.request_.parts_);
    job.trial_ = match.isTrial_;
    if (match.isTrial_) {
        planTrial(state.quarantines_, job.request_.parts_, job.deadlineAt_);
        addDecisionLine(effects, job, "trial parts=" + partsText(job.request_.parts_));
    }
    if (!match.quarantine_)
        return false;
    refuse(state, now, id, match.untilTrial_, "quarantined", quarantineText(*match.quarantine_),
           effects);
    return true;
}

void onRunCrashed(SchedulerState &state, Instant now, const RunCrashed &crash,
                  SchedulerEffects &effects)
{
    const bool changed = recordCrash(state.quarantines_, now, crash);
    effects.push_back(DecisionLine{
        "decision=engine_crashed request=" + crash.id_ + " upstream=" + crash.upstream_ + " boot="
        + std::to_string(crash.agentBoot_) + " started=" + (crash.started_ ? "true" : "false")
        + " ago_ms=" + millisecondsText(crash.ago_) + " parts=" + partsText(crash.parts_)
        + " quarantines_changed=" + (changed ? "true" : "false")});
    if (changed)
        refuseQuarantined(state, now, effects);
}

void noteFirstToken(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects)
{
    if (std::exchange(job.firstTokenSent_, true))
        return;
    if (recordStart(state.quarantines_, now, job.request_.parts_))
        addDecisionLine(effects, job, "sound parts=" + partsText(job.request_.parts_));
}

void noteServed(SchedulerState &state, Instant now, Job &job, SchedulerEffects &effects)
{
    noteFirstToken(state, now, job, effects);
    if (recordServed(state.quarantines_, now, job.request_.parts_))
        addDecisionLine(effects, job, "sound parts=" + partsText(job.request_.parts_));
}

void updateQuarantines(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    applyQuarantines(state.quarantines_, now, state.view_->quarantines_);
    refuseQuarantined(state, now, effects);
}

void storeQuarantines(SchedulerState &state, Instant now, SchedulerEffects &effects)
{
    for (const Quarantine &quarantine : takeProposals(state.quarantines_, now)) {
        effects.push_back(DecisionLine{"decision=quarantine " + quarantineText(quarantine)});
        effects.push_back(StoreQuarantine{quarantine});
    }
}

} // namespace chervilspring::scheduling
