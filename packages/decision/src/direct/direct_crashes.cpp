#include "chervilspring/detail/direct/direct_steps.hpp"

#include <algorithm>

namespace chervilspring::directing {

namespace {

// For storing a report in the log, longer than the control processes may be without a leader.
constexpr nanoseconds reportTimeout = seconds(30);
constexpr std::size_t maxReportedCrashes = 8; // that are reported again
constexpr nanoseconds reportLifetime = minutes(10); // as schedulers remember crashes

// The connection broke before the response or in it.
bool mayHaveCrashed(const RunEnded &event)
{
    if (event.end_ != RunEnd::Failed && event.end_ != RunEnd::Broken)
        return false;
    const bool noResponse = event.end_ == RunEnd::Failed && event.status_ == 0;
    return noResponse || event.responseBegun_;
}

// Reports a crash to a scheduler.
void sendReport(Instant now, const std::string &scheduler, const ReportedCrash &crash,
                DirectEffects &effects)
{
    RunCrashed report = crash.report_;
    report.ago_ = now - crash.at_;
    effects.push_back(SendToPeer{scheduler, std::move(report)});
}

void keepReport(DirectState &state, ReportedCrash crash)
{
    state.reportedCrashes_.push_back(std::move(crash));
    if (state.reportedCrashes_.size() > maxReportedCrashes)
        state.reportedCrashes_.pop_front();
}

} // namespace

void probeAfterFailure(const DirectState &state, Instant now, const DirectRequest &request,
                       const RunEnded &event, DirectEffects &effects)
{
    if (!mayHaveCrashed(event))
        return;
    const Suspect *suspect = findSuspect(state, request.digest_);
    addDecisionLine(effects, request, "crash",
                    "upstream=" + request.upstream_ + " digest=" + std::to_string(request.digest_)
                        + " crashes_before=" + std::to_string(suspect ? suspect->crashes_ : 0)
                        + " started=" + (request.runStarted_ ? "true" : "false"));
    const auto upstream = state.table_->availableUpstreams_.find(request.upstream_);
    if (upstream == state.table_->availableUpstreams_.end())
        return;
    const bool isLeaving = usableFrom(state.notices_, *upstream->second, now) == Instant::max();
    if (isLeaving)
        return;
    ProbeUpstream probe{*upstream->second, request.digest_, {}, now};
    if (isPlanned(request))
        probe.run_ =
            RunCrashed{request.call_.id_,    request.upstream_, upstream->second->agentBoot_,
                       request.call_.parts_, nanoseconds(0),    request.runStarted_};
    effects.push_back(std::move(probe));
}

void onUpstreamProbed(DirectState &state, Instant now, const UpstreamProbed &event,
                      DirectEffects &effects)
{
    const bool reported = event.run_ && !event.reachable_;
    const std::string scheduler = reported ? chooseScheduler(state, now) : std::string();
    effects.push_back(DecisionLine{"decision=crash_checked upstream=" + event.upstream_
                                   + " digest=" + std::to_string(event.digest_)
                                   + " reachable=" + (event.reachable_ ? "true" : "false")
                                   + " reported_to=" + scheduler});
    if (event.reachable_)
        return;
    effects.push_back(
        SubmitProposal{0, ReportCrash{event.digest_, event.upstream_, false}, reportTimeout});
    if (!reported)
        return;
    const ReportedCrash crash{*event.run_, event.failedAt_};
    keepReport(state, crash);
    if (!scheduler.empty())
        sendReport(now, scheduler, crash, effects);
}

void repeatCrashReports(DirectState &state, Instant now, DirectEffects &effects)
{
    std::erase_if(state.reportedCrashes_, [&](const ReportedCrash &crash) {
        return now - crash.at_ > reportLifetime || crash.report_.parts_.empty();
    });
    for (const ReportedCrash &crash : state.reportedCrashes_) {
        effects.push_back(DecisionLine{"decision=crash_repeated request=" + crash.report_.id_
                                       + " upstream=" + crash.report_.upstream_
                                       + " reported_to=" + state.leader_});
        sendReport(now, state.leader_, crash, effects);
    }
}

void forgetCrashesOf(DirectState &state, const std::vector<std::string> &parts, SoundUntil until)
{
    for (ReportedCrash &crash : state.reportedCrashes_) {
        if (crash.report_.started_ && until == SoundUntil::FirstToken)
            continue;
        std::erase_if(crash.report_.parts_, [&](const PromptPart &part) {
            return std::find(parts.begin(), parts.end(), part.id_) != parts.end();
        });
    }
}

void forgetLiftedCrashes(DirectState &state, const View &newer)
{
    for (const Quarantine &old : state.table_->view_->quarantines_) {
        const bool isInForce =
            std::any_of(newer.quarantines_.begin(), newer.quarantines_.end(),
                        [&](const Quarantine &item) { return item.id_ == old.id_; });
        if (!isInForce)
            forgetCrashesOf(state, old.parts_, SoundUntil::End);
    }
}

} // namespace chervilspring::directing
