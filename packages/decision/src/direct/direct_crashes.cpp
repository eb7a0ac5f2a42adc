#include "chervilspring/detail/direct/direct_steps.hpp"

#include <algorithm>

namespace chervilspring::directing {

namespace {

// For storing a report in the log, longer than the control processes may be without a leader.
constexpr nanoseconds reportTimeout = seconds(30);
constexpr std::size_t maxReportedCrashes = 8; // that are reported again
constexpr nanoseconds reportLifetime = minutes(10); // as schedulers remember crashes
constexpr std::size_t maxUnexplainedBreaks = 512;
// Time in which a restarted upstream announces itself and the next view arrives. A later restart is
// taken for one with another cause.
constexpr nanoseconds restartNoticeTime = seconds(5);

// Runs that began with one that crashed its upstream have mostly ended after this time.
constexpr nanoseconds soundRunPeriod = seconds(10);
constexpr std::size_t maxSoundRuns = 4096; // by digest, in a period

// Whether a run of a request has ended well lately.
bool hasSoundRun(const SoundRuns &runs, std::uint64_t digest)
{
    return runs.starts_.contains(digest) || runs.earlierStarts_.contains(digest);
}

// Whether a run of a request that began after another one, or with it, has ended well. Then the
// request is sound, and something else has crashed the upstream of the other run.
bool hasSoundRunSince(const SoundRuns &runs, std::uint64_t digest, Instant start)
{
    const auto isSince = [&](const std::unordered_map<std::uint64_t, Instant> &starts) {
        const auto found = starts.find(digest);
        return found != starts.end() && found->second >= start;
    };
    return isSince(runs.starts_) || isSince(runs.earlierStarts_);
}

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

// Reports a run that has crashed its upstream.
// @param evidence key=value pair for the log
void reportCrash(DirectState &state, Instant now, const BrokenRun &run, const std::string &evidence,
                 DirectEffects &effects)
{
    const std::string scheduler = run.report_ ? chooseScheduler(state, now) : std::string();
    const bool isSound = hasSoundRunSince(state.soundRuns_, run.digest_, run.startedAt_);
    effects.push_back(DecisionLine{
        "decision=crash_checked upstream=" + run.upstream_ + " boot=" + std::to_string(run.boot_)
        + " digest=" + std::to_string(run.digest_) + " " + evidence
        + " sound_since=" + (isSound ? "true" : "false") + " reported_to=" + scheduler});
    if (!isSound)
        effects.push_back(SubmitProposal{0,
                                         ReportCrash{run.digest_, run.upstream_, false, run.boot_,
                                                     hasSoundRun(state.soundRuns_, run.digest_)},
                                         reportTimeout});
    if (!run.report_)
        return;
    const ReportedCrash crash{*run.report_, run.endedAt_};
    keepReport(state, crash);
    if (!scheduler.empty())
        sendReport(now, scheduler, crash, effects);
}

// Whether an upstream is listed with another boot id than when a run was started.
bool hasRestarted(const DirectState &state, const BrokenRun &run)
{
    const auto listed = state.table_->availableUpstreams_.find(run.upstream_);
    return listed != state.table_->availableUpstreams_.end()
        && listed->second->agentBoot_ != run.boot_;
}

} // namespace

void recordSoundRun(DirectState &state, Instant now, const DirectRequest &request)
{
    SoundRuns &runs = state.soundRuns_;
    const bool isOver = now - runs.periodStart_ >= soundRunPeriod;
    if (isOver || runs.starts_.size() >= maxSoundRuns) {
        runs.earlierStarts_ = std::exchange(runs.starts_, {});
        runs.periodStart_ = now;
    }
    Instant &start = runs.starts_[request.digest_];
    start = std::max(start, request.runStartedAt_);
}

void checkForCrash(DirectState &state, Instant now, const DirectRequest &request,
                   const RunEnded &event, DirectEffects &effects)
{
    if (!mayHaveCrashed(event))
        return;
    const Suspect *suspect = findSuspect(state, request.digest_);
    addDecisionLine(effects, request, "crash",
                    "upstream=" + request.upstream_
                        + " boot=" + std::to_string(request.upstreamBoot_)
                        + " digest=" + std::to_string(request.digest_)
                        + " crashes_before=" + std::to_string(suspect ? suspect->crashes_ : 0)
                        + " started=" + (request.runStarted_ ? "true" : "false"));
    const auto upstream = state.table_->availableUpstreams_.find(request.upstream_);
    if (upstream == state.table_->availableUpstreams_.end())
        return;
    const bool isLeaving = usableFrom(state.notices_, *upstream->second, now) == Instant::max();
    if (isLeaving)
        return;
    BrokenRun run{request.upstream_,    request.upstreamBoot_, request.digest_, {}, now,
                  request.runStartedAt_};
    if (isPlanned(request))
        run.report_ =
            RunCrashed{request.call_.id_,    request.upstream_, request.upstreamBoot_,
                       request.call_.parts_, nanoseconds(0),    now - request.runStartedAt_,
                       request.runStarted_};
    if (hasRestarted(state, run))
        reportCrash(state, now, run, "restarted=true", effects);
    else
        effects.push_back(ProbeUpstream{*upstream->second, std::move(run)});
}

void onUpstreamProbed(DirectState &state, Instant now, const UpstreamProbed &event,
                      DirectEffects &effects)
{
    const BrokenRun &run = event.run_;
    if (!event.reachable_) {
        reportCrash(state, now, run, "reachable=false", effects);
        return;
    }
    if (hasRestarted(state, run)) {
        reportCrash(state, now, run, "restarted=true", effects);
        return;
    }
    effects.push_back(DecisionLine{"decision=crash_checked upstream=" + run.upstream_
                                   + " boot=" + std::to_string(run.boot_) + " digest="
                                   + std::to_string(run.digest_) + " reachable=true reported_to="});
    state.unexplainedBreaks_.push_back(run);
    if (state.unexplainedBreaks_.size() > maxUnexplainedBreaks)
        state.unexplainedBreaks_.pop_front();
}

void reportRestarted(DirectState &state, Instant now, DirectEffects &effects)
{
    std::deque<BrokenRun> unexplained;
    for (BrokenRun &run : state.unexplainedBreaks_) {
        if (now - run.endedAt_ > restartNoticeTime)
            continue;
        if (hasRestarted(state, run))
            reportCrash(state, now, run, "restarted=true", effects);
        else
            unexplained.push_back(std::move(run));
    }
    state.unexplainedBreaks_ = std::move(unexplained);
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
