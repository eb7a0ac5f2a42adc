#include "chervilspring/detail/control/fleet_state.hpp"

#include "chervilspring/digest.hpp"

#include <algorithm>
#include <charconv>

namespace chervilspring {

namespace {

constexpr std::size_t maxStoredOperations = 4096;
constexpr std::size_t maxViewChanges = 512;
constexpr std::size_t maxSuspects = 256; // the one with the fewest crashes makes room
constexpr std::size_t maxFormerSuspects = 1024; // the one with the fewest crashes makes room
constexpr std::size_t maxCrashIds = 8; // of a suspect
constexpr std::size_t maxEvacuations = 1024;
constexpr std::size_t maxQuarantines = 64; // the one with the fewest crashes makes room
constexpr std::uint32_t refusalCrashCount = 2;
constexpr auto expiryMargin = seconds(1);
constexpr std::size_t maxDepartures = 1024;

Outcome outcome(OutcomeKind kind, std::uint64_t version, std::string detail = {})
{
    return Outcome{kind, version, std::move(detail), std::nullopt};
}

Outcome withRecord(OutcomeKind kind, std::uint64_t version, const Record &record)
{
    return Outcome{kind, version, {}, record};
}

void recordChange(FleetState &state, std::uint64_t version, const std::string &upstream,
                  bool fleetChanged)
{
    state.view_.version_ = version;
    state.viewChanges_.push_back(ViewChange{version, upstream, fleetChanged});
    if (state.viewChanges_.size() > maxViewChanges)
        state.viewChanges_.pop_front();
}

Upstream *findUpstream(FleetState &state, const std::string &name)
{
    auto &list = state.view_.upstreams_;
    const auto found = std::find_if(list.begin(), list.end(),
                                    [&](const Upstream &item) { return item.name_ == name; });
    return found == list.end() ? nullptr : &*found;
}

void removeExpiredRecords(FleetState &state)
{
    while (!state.expiry_.empty() && state.expiry_.begin()->first <= state.time_) {
        state.records_.erase(state.expiry_.begin()->second);
        state.expiry_.erase(state.expiry_.begin());
    }
}

void eraseRecord(FleetState &state, const RecordKey &key)
{
    const auto found = state.records_.find(key);
    if (found == state.records_.end())
        return;
    state.expiry_.erase({found->second.expires_, key});
    state.records_.erase(found);
}

Outcome applyCommand(FleetState &, const LogEntry &, const Noop &)
{
    return outcome(OutcomeKind::Accepted, 0);
}

Outcome applyCommand(FleetState &, const LogEntry &entry, const ChangeMembers &)
{
    return outcome(OutcomeKind::Accepted, entry.index_);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const ReserveRecord &command)
{
    const Record &reserved = command.record_;
    const auto found = state.records_.find(reserved.key_);
    if (found != state.records_.end()) {
        const Record &old = found->second;
        if (old.bodyDigest_ != reserved.bodyDigest_)
            return outcome(OutcomeKind::OtherBody, entry.index_);
        const bool isRepeated =
            old.attempt_ == reserved.attempt_ && old.phase_ == RecordPhase::Pending;
        return withRecord(isRepeated ? OutcomeKind::Accepted : OutcomeKind::Duplicate, entry.index_,
                          old);
    }
    const WallTime issued = keyTime(reserved.key_.key_).value_or(state.time_);
    if (issued + state.view_.fleet_.retention_ <= state.time_)
        return outcome(OutcomeKind::Expired, entry.index_);
    Record record = reserved;
    record.phase_ = RecordPhase::Pending;
    record.created_ = state.time_;
    // The record has to exist until its key is refused as too old, else a resend in between would
    // run a second time.
    record.expires_ = std::max(issued, state.time_) + state.view_.fleet_.retention_ + expiryMargin;
    state.records_[record.key_] = record;
    return withRecord(OutcomeKind::Accepted, entry.index_, record);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const CompleteRecord &command)
{
    const auto found = state.records_.find(command.key_);
    if (found == state.records_.end())
        return outcome(OutcomeKind::NotFound, entry.index_);
    Record &record = found->second;
    if (record.attempt_ != command.attempt_)
        return withRecord(OutcomeKind::Conflict, entry.index_, record);
    if (record.phase_ != RecordPhase::Completed) {
        record.phase_ = RecordPhase::Completed;
        record.body_ = command.body_;
        state.expiry_.insert({record.expires_, record.key_});
    }
    return withRecord(OutcomeKind::Accepted, entry.index_, record);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const ReassignRecord &command)
{
    const auto found = state.records_.find(command.key_);
    if (found == state.records_.end())
        return outcome(OutcomeKind::NotFound, entry.index_);
    Record &record = found->second;
    const bool isRepeated = record.attempt_ == command.to_;
    if (record.phase_ != RecordPhase::Pending || (record.attempt_ != command.from_ && !isRepeated))
        return withRecord(OutcomeKind::Conflict, entry.index_, record);
    record.attempt_ = command.to_;
    record.upstream_ = command.upstream_;
    record.agentBoot_ = command.agentBoot_;
    return withRecord(OutcomeKind::Accepted, entry.index_, record);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const ReleaseRecord &command)
{
    const auto found = state.records_.find(command.key_);
    if (found == state.records_.end())
        return outcome(OutcomeKind::NotFound, entry.index_);
    const Record record = found->second;
    if (record.phase_ != RecordPhase::Pending || record.attempt_ != command.attempt_)
        return withRecord(OutcomeKind::Conflict, entry.index_, record);
    eraseRecord(state, command.key_);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const MarkUnknown &command)
{
    const auto found = state.records_.find(command.key_);
    if (found == state.records_.end())
        return outcome(OutcomeKind::NotFound, entry.index_);
    Record &record = found->second;
    if (record.phase_ != RecordPhase::Pending || record.attempt_ != command.attempt_)
        return withRecord(OutcomeKind::Conflict, entry.index_, record);
    record.phase_ = RecordPhase::Unknown;
    return withRecord(OutcomeKind::Accepted, entry.index_, record);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const SettleRecord &command)
{
    const auto found = state.records_.find(command.key_);
    if (found == state.records_.end())
        return outcome(OutcomeKind::NotFound, entry.index_, "no such record");
    Record &record = found->second;
    if (record.phase_ == RecordPhase::Completed)
        return outcome(OutcomeKind::Conflict, entry.index_, "the record is completed");
    if (!command.ran_) {
        eraseRecord(state, command.key_);
        return outcome(OutcomeKind::Accepted, entry.index_);
    }
    record.phase_ = RecordPhase::Completed;
    record.body_ = command.body_;
    record.expires_ = state.time_ + state.view_.fleet_.retention_ + expiryMargin;
    state.expiry_.insert({record.expires_, record.key_});
    return outcome(OutcomeKind::Accepted, entry.index_);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const ApplyFleet &command)
{
    if (command.baseVersion_ != state.view_.fleetVersion_)
        return outcome(OutcomeKind::Conflict, state.view_.fleetVersion_,
                       "made from version " + std::to_string(command.baseVersion_)
                           + ", the newest is " + std::to_string(state.view_.fleetVersion_));
    state.view_.fleet_ = command.fleet_;
    state.view_.fleetVersion_ = entry.index_;
    recordChange(state, entry.index_, {}, true);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const SetLabel &command)
{
    Upstream *upstream = findUpstream(state, command.upstream_);
    if (!upstream)
        return outcome(OutcomeKind::NotFound, entry.index_, "no such upstream");
    Labels &labels = upstream->operatorLabels_;
    std::erase_if(labels, [&](const Label &label) { return label.key_ == command.key_; });
    if (!command.value_.empty())
        labels.push_back(Label{command.key_, command.value_});
    recordChange(state, entry.index_, command.upstream_, false);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const DrainUpstream &command)
{
    Upstream *upstream = findUpstream(state, command.upstream_);
    if (!upstream)
        return outcome(OutcomeKind::NotFound, entry.index_, "no such upstream");
    upstream->drained_ = command.drained_;
    recordChange(state, entry.index_, command.upstream_, false);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

// Removes direct upstreams that were registered at the address of this one before: an address
// belongs to the direct upstream that started there last.
void removePredecessors(FleetState &state, std::uint64_t version, const Upstream &upstream)
{
    std::vector<std::string> names;
    for (const Upstream &other : state.view_.upstreams_) {
        if (other.direct_ && other.name_ != upstream.name_ && sameAddress(other, upstream))
            names.push_back(other.name_);
    }
    for (const std::string &name : names) {
        std::erase_if(state.view_.upstreams_,
                      [&](const Upstream &item) { return item.name_ == name; });
        recordChange(state, version, name, false);
    }
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const ApplyDocument &command)
{
    if (const auto answer = answerDocument(state, command.documentVersion_, command.document_))
        return *answer;
    state.documentVersion_ = command.documentVersion_;
    state.document_ = command.document_;
    state.view_.fleet_ = command.fleet_;
    state.view_.fleetVersion_ = entry.index_;
    recordChange(state, entry.index_, {}, true);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const AnnounceUpstream &command)
{
    if (command.upstream_.direct_) {
        const bool departed = hasDeparted(state, command.upstream_);
        if (isSuperseded(state, command.upstream_) || (departed && !command.returned_))
            return outcome(OutcomeKind::Conflict, entry.index_, "a newer announcement is known");
        if (departed)
            std::erase_if(state.departures_, [&](const Departure &departure) {
                return departure.name_ == command.upstream_.name_;
            });
        removePredecessors(state, entry.index_, command.upstream_);
    }
    Upstream *old = findUpstream(state, command.upstream_.name_);
    if (old && sameAnnouncement(*old, command.upstream_))
        return outcome(OutcomeKind::Accepted, entry.index_);
    Upstream upstream = command.upstream_;
    // Settings made by operators survive a restart of the agent.
    upstream.operatorLabels_ = old ? old->operatorLabels_ : Labels{};
    upstream.drained_ = old && old->drained_;
    auto &list = state.view_.upstreams_;
    if (old)
        *old = upstream;
    else
        list.insert(std::upper_bound(
                        list.begin(), list.end(), upstream,
                        [](const Upstream &a, const Upstream &b) { return a.name_ < b.name_; }),
                    upstream);
    recordChange(state, entry.index_, upstream.name_, false);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

// Records a departure as the newest one. Of each upstream only the newest start is kept.
void recordDeparture(FleetState &state, const std::string &name, std::uint64_t boot)
{
    std::erase_if(state.departures_, [&](const Departure &departure) {
        if (departure.name_ != name)
            return false;
        boot = std::max(boot, departure.agentBoot_);
        return true;
    });
    state.departures_.push_back(Departure{name, boot});
    if (state.departures_.size() > maxDepartures)
        state.departures_.pop_front();
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const RemoveUpstream &command)
{
    if (command.departed_)
        recordDeparture(state, command.name_, command.agentBoot_);
    Upstream *upstream = findUpstream(state, command.name_);
    const bool present = upstream && upstream->phase_ != UpstreamPhase::Gone;
    const bool isMeant = present
        && (command.departed_ ? upstream->agentBoot_ <= command.agentBoot_
                              : upstream->agentBoot_ == command.agentBoot_);
    if (!isMeant)
        return outcome(OutcomeKind::NotFound, entry.index_);
    if (upstream->drained_ || !upstream->operatorLabels_.empty())
        upstream->phase_ = UpstreamPhase::Gone;
    else
        std::erase_if(state.view_.upstreams_,
                      [&](const Upstream &item) { return item.name_ == command.name_; });
    recordChange(state, entry.index_, command.name_, false);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

bool hasFewerCrashes(const Suspect &a, const Suspect &b)
{
    return std::pair(a.refused_, a.crashes_) < std::pair(b.refused_, b.crashes_);
}

std::vector<Suspect>::iterator findSuspect(std::vector<Suspect> &suspects, std::uint64_t digest)
{
    return std::find_if(suspects.begin(), suspects.end(),
                        [&](const Suspect &item) { return item.digest_ == digest; });
}

void endTrial(Suspect &suspect)
{
    suspect.trialPhase_ = TrialPhase::None;
    suspect.trialEntry_.clear();
    suspect.trialUpstream_.clear();
}

// Removes a suspect from the view, but not its crashes.
void retireSuspect(FleetState &state, std::vector<Suspect>::iterator suspect)
{
    auto &former = state.formerSuspects_;
    if (former.size() == maxFormerSuspects)
        former.erase(std::min_element(former.begin(), former.end(), hasFewerCrashes));
    former.push_back(std::move(*suspect));
    endTrial(former.back());
    state.view_.suspects_.erase(suspect);
}

// Finds a suspect, or adds it to the view.
Suspect &suspectOf(FleetState &state, std::uint64_t digest)
{
    auto &suspects = state.view_.suspects_;
    if (const auto found = findSuspect(suspects, digest); found != suspects.end())
        return *found;
    Suspect added;
    added.digest_ = digest;
    auto &former = state.formerSuspects_;
    if (const auto found = findSuspect(former, digest); found != former.end()) {
        added = std::move(*found);
        former.erase(found);
    }
    if (suspects.size() == maxSuspects)
        retireSuspect(state, std::min_element(suspects.begin(), suspects.end(), hasFewerCrashes));
    return suspects.emplace_back(std::move(added));
}

// Adds the crash that a report is about to those of a suspect. Returns false if it is known
// already: several copies of a request may run at an upstream that crashes, and each is reported.
bool addCrash(Suspect &suspect, const ReportCrash &report)
{
    if (report.boot_ != 0) {
        const std::uint64_t id =
            contentDigest(report.upstream_ + "\n" + std::to_string(report.boot_));
        auto &known = suspect.crashIds_;
        if (std::find(known.begin(), known.end(), id) != known.end())
            return false;
        if (known.size() == maxCrashIds)
            known.erase(known.begin());
        known.push_back(id);
    }
    ++suspect.crashes_;
    suspect.hasRunWell_ = suspect.hasRunWell_ || report.hasRunWell_;
    // A single crash may have been caused by the VM. Refuse the body from the second crash on, if
    // it was the only one running at that crash.
    suspect.refused_ = suspect.refused_ || (report.alone_ && suspect.crashes_ >= refusalCrashCount);
    return true;
}

// Finds out which suspects other ones explain.
void updateExplanations(std::vector<Suspect> &suspects)
{
    std::set<std::uint64_t> culpritCrashes;
    for (const Suspect &suspect : suspects) {
        if (!suspect.hasRunWell_ && hasCrashedTooOften(suspect))
            culpritCrashes.insert(suspect.crashIds_.begin(), suspect.crashIds_.end());
    }
    for (Suspect &suspect : suspects) {
        const bool allKnown = suspect.crashes_ == suspect.crashIds_.size();
        suspect.isExplained_ = suspect.hasRunWell_ && allKnown
            && std::all_of(suspect.crashIds_.begin(), suspect.crashIds_.end(),
                           [&](std::uint64_t id) { return culpritCrashes.contains(id); });
        if (suspect.isExplained_)
            endTrial(suspect);
    }
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const ReportCrash &command)
{
    Suspect &suspect = suspectOf(state, command.digest_);
    if (!addCrash(suspect, command))
        return outcome(OutcomeKind::Accepted, entry.index_);
    const bool isOfOtherRun = suspect.trialPhase_ == TrialPhase::Running
        && !suspect.trialUpstream_.empty() && suspect.trialUpstream_ != command.upstream_;
    if (!isOfOtherRun)
        endTrial(suspect);
    updateExplanations(state.view_.suspects_);
    recordChange(state, entry.index_, {}, false);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const ClearSuspect &command)
{
    auto &suspects = state.view_.suspects_;
    const auto found = findSuspect(suspects, command.digest_);
    const bool isListed = found != suspects.end() && !found->refused_;
    if (isListed && command.lapsed_ && !hasCrashedTooOften(*found)) {
        retireSuspect(state, found);
    } else if (isListed && !command.lapsed_) {
        suspects.erase(found);
    } else {
        return outcome(OutcomeKind::NotFound, entry.index_);
    }
    recordChange(state, entry.index_, {}, false);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

// Tells whether the trial of a suspect may change as a command asks for. A single trial runs in the
// fleet: each may crash an upstream.
bool mayChangeTrial(const FleetState &state, const Suspect &suspect, const ChangeTrial &command)
{
    const auto &suspects = state.view_.suspects_;
    switch (command.phase_) {
    case TrialPhase::None:
        return command.entry_.empty() || command.entry_ == suspect.trialEntry_;
    case TrialPhase::Offered:
        return suspect.trialPhase_ == TrialPhase::None;
    case TrialPhase::Running:
        return suspect.trialPhase_ == TrialPhase::Offered
            && std::none_of(suspects.begin(), suspects.end(), [](const Suspect &other) {
                   return other.trialPhase_ == TrialPhase::Running;
               });
    }
    return false;
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const ChangeTrial &command)
{
    const auto found = findSuspect(state.view_.suspects_, command.digest_);
    if (found == state.view_.suspects_.end() || !hasCrashedTooOften(*found))
        return outcome(OutcomeKind::NotFound, entry.index_);
    const bool isRepeated = found->trialPhase_ == command.phase_
        && (command.phase_ != TrialPhase::Running || found->trialEntry_ == command.entry_);
    if (isRepeated)
        return outcome(OutcomeKind::Accepted, entry.index_);
    if (!mayChangeTrial(state, *found, command))
        return outcome(OutcomeKind::Conflict, entry.index_, "another trial is running or offered");
    endTrial(*found);
    found->trialPhase_ = command.phase_;
    if (command.phase_ == TrialPhase::Running) {
        ++found->trials_;
        found->trialEntry_ = command.entry_;
        found->trialUpstream_ = command.upstream_;
    }
    recordChange(state, entry.index_, {}, false);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const SetQuarantine &command)
{
    auto &quarantines = state.view_.quarantines_;
    const Quarantine &quarantine = command.quarantine_;
    const auto found =
        std::find_if(quarantines.begin(), quarantines.end(),
                     [&](const Quarantine &item) { return item.id_ == quarantine.id_; });
    const bool unchanged =
        found == quarantines.end() ? quarantine.parts_.empty() : *found == quarantine;
    if (unchanged)
        return outcome(OutcomeKind::Accepted, entry.index_);
    if (quarantine.parts_.empty()) {
        quarantines.erase(found);
    } else if (found != quarantines.end()) {
        *found = quarantine;
    } else {
        if (quarantines.size() == maxQuarantines)
            quarantines.erase(std::min_element(
                quarantines.begin(), quarantines.end(),
                [](const Quarantine &a, const Quarantine &b) { return a.crashes_ < b.crashes_; }));
        quarantines.push_back(quarantine);
    }
    recordChange(state, entry.index_, {}, false);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

Outcome applyCommand(FleetState &state, const LogEntry &entry, const EvacuateDataCenter &command)
{
    auto &evacuated = state.view_.evacuated_;
    const auto found = std::lower_bound(evacuated.begin(), evacuated.end(), command.dataCenter_);
    const bool isEvacuated = found != evacuated.end() && *found == command.dataCenter_;
    if (isEvacuated == command.evacuated_)
        return outcome(OutcomeKind::Accepted, entry.index_);
    if (isEvacuated) {
        evacuated.erase(found);
    } else {
        if (evacuated.size() == maxEvacuations)
            return outcome(OutcomeKind::Conflict, entry.index_, "too many evacuations");
        evacuated.insert(found, command.dataCenter_);
    }
    recordChange(state, entry.index_, {}, false);
    return outcome(OutcomeKind::Accepted, entry.index_);
}

std::string operationId(const Command &command)
{
    return std::visit(
        [](const auto &item) -> std::string {
            if constexpr (requires { item.operationId_; })
                return item.operationId_;
            else
                return {};
        },
        command);
}

void storeOperation(FleetState &state, const std::string &id, const Outcome &answer)
{
    state.operations_[id] = answer;
    state.operationOrder_.push_back(id);
    if (state.operationOrder_.size() <= maxStoredOperations)
        return;
    state.operations_.erase(state.operationOrder_.front());
    state.operationOrder_.pop_front();
}

} // namespace

std::optional<Outcome> answerDocument(const FleetState &state, std::uint64_t version,
                                      const std::string &document)
{
    if (version > state.documentVersion_)
        return std::nullopt;
    if (version < state.documentVersion_)
        return outcome(OutcomeKind::Accepted, state.view_.version_,
                       "replaced by version " + std::to_string(state.documentVersion_));
    if (document == state.document_)
        return outcome(OutcomeKind::Accepted, state.view_.version_);
    return outcome(OutcomeKind::Conflict, state.view_.version_,
                   "another document has version " + std::to_string(version));
}

bool sameAddress(const Upstream &left, const Upstream &right)
{
    return left.agentAddress_ == right.agentAddress_ && left.agentPort_ == right.agentPort_;
}

bool sameAnnouncement(const Upstream &left, const Upstream &right)
{
    return left.agentBoot_ == right.agentBoot_ && left.phase_ == right.phase_
        && left.labels_ == right.labels_ && left.concurrency_ == right.concurrency_
        && left.agentPort_ == right.agentPort_ && left.agentAddress_ == right.agentAddress_
        && left.dataCenter_ == right.dataCenter_ && left.direct_ == right.direct_
        && left.cold_ == right.cold_;
}

bool hasDeparted(const FleetState &state, const Upstream &announced)
{
    return std::any_of(state.departures_.begin(), state.departures_.end(),
                       [&](const Departure &departure) {
                           return departure.name_ == announced.name_
                               && departure.agentBoot_ >= announced.agentBoot_;
                       });
}

bool isSuperseded(const FleetState &state, const Upstream &announced)
{
    for (const Upstream &other : state.view_.upstreams_) {
        if (other.name_ == announced.name_) {
            if (other.agentBoot_ > announced.agentBoot_)
                return true;
            if (other.agentBoot_ == announced.agentBoot_ && other.sequence_ > announced.sequence_)
                return true;
            continue;
        }
        if (other.direct_ && sameAddress(other, announced)
            && other.agentBoot_ > announced.agentBoot_)
            return true;
    }
    return false;
}

Outcome apply(FleetState &state, const LogEntry &entry)
{
    state.time_ = std::max(state.time_, entry.time_);
    removeExpiredRecords(state);
    const std::string id = operationId(entry.command_);
    const auto answered = state.operations_.find(id);
    if (!id.empty() && answered != state.operations_.end())
        return answered->second;
    const Outcome answer = std::visit(
        [&](const auto &command) { return applyCommand(state, entry, command); }, entry.command_);
    if (!id.empty())
        storeOperation(state, id, answer);
    return answer;
}

Snapshot makeSnapshot(const FleetState &state)
{
    Snapshot snapshot;
    snapshot.time_ = state.time_;
    snapshot.view_ = state.view_;
    for (const auto &[key, record] : state.records_)
        snapshot.records_.push_back(record);
    snapshot.documentVersion_ = state.documentVersion_;
    snapshot.document_ = state.document_;
    snapshot.departures_.assign(state.departures_.begin(), state.departures_.end());
    snapshot.formerSuspects_ = state.formerSuspects_;
    for (const std::string &id : state.operationOrder_) {
        snapshot.operationIds_.push_back(id);
        snapshot.operationOutcomes_.push_back(state.operations_.at(id));
    }
    return snapshot;
}

FleetState restoreFleetState(const Snapshot &snapshot)
{
    FleetState state;
    state.time_ = snapshot.time_;
    state.view_ = snapshot.view_;
    state.documentVersion_ = snapshot.documentVersion_;
    state.document_ = snapshot.document_;
    state.departures_.assign(snapshot.departures_.begin(), snapshot.departures_.end());
    state.formerSuspects_ = snapshot.formerSuspects_;
    for (const Record &record : snapshot.records_) {
        state.records_[record.key_] = record;
        if (record.phase_ == RecordPhase::Completed)
            state.expiry_.insert({record.expires_, record.key_});
    }
    for (std::size_t i = 0; i < snapshot.operationIds_.size(); ++i)
        storeOperation(state, snapshot.operationIds_[i], snapshot.operationOutcomes_[i]);
    return state;
}

namespace {

void addFleet(ViewUpdate &update, const View &view, const std::vector<std::uint64_t> &fleetBlocks)
{
    if (fleetBlocks.empty())
        update.fleet_ = view.fleet_;
    else
        update.fleetBlocks_ = fleetBlocks;
}

// Returns the suspects without what only the control processes need.
std::vector<Suspect> suspectsForNodes(const View &view)
{
    std::vector<Suspect> suspects = view.suspects_;
    for (Suspect &suspect : suspects)
        suspect.crashIds_.clear();
    return suspects;
}

} // namespace

ViewUpdate makeFullUpdate(const View &view, const std::vector<std::uint64_t> &fleetBlocks)
{
    ViewUpdate update;
    update.toVersion_ = view.version_;
    update.fleetVersion_ = view.fleetVersion_;
    addFleet(update, view, fleetBlocks);
    update.upstreams_ = view.upstreams_;
    update.suspects_ = suspectsForNodes(view);
    update.quarantines_ = view.quarantines_;
    update.evacuated_ = view.evacuated_;
    return update;
}

ViewUpdate makeUpdate(const FleetState &state, std::uint64_t version,
                      const std::vector<std::uint64_t> &fleetBlocks)
{
    const View &view = state.view_;
    const bool canUpdate = version != 0 && version <= view.version_ && !state.viewChanges_.empty()
        && state.viewChanges_.front().version_ <= version;
    if (!canUpdate)
        return makeFullUpdate(view, fleetBlocks);
    ViewUpdate update;
    update.fromVersion_ = version;
    update.toVersion_ = view.version_;
    update.fleetVersion_ = view.fleetVersion_;
    update.suspects_ = suspectsForNodes(view);
    update.quarantines_ = view.quarantines_;
    update.evacuated_ = view.evacuated_;
    std::set<std::string> names;
    bool fleetChanged = false;
    for (const ViewChange &change : state.viewChanges_) {
        if (change.version_ <= version)
            continue;
        fleetChanged = fleetChanged || change.fleetChanged_;
        if (!change.upstream_.empty())
            names.insert(change.upstream_);
    }
    if (fleetChanged)
        addFleet(update, view, fleetBlocks);
    for (const std::string &name : names) {
        const Upstream *upstream = findByName(view.upstreams_, name);
        if (upstream)
            update.upstreams_.push_back(*upstream);
        else
            update.removed_.push_back(name);
    }
    return update;
}

std::optional<WallTime> keyTime(std::string_view key)
{
    const auto dash = key.find('-');
    std::int64_t value = 0;
    if (dash == std::string_view::npos || dash == 0 || dash + 1 == key.size())
        return std::nullopt;
    const auto [end, error] = std::from_chars(key.data(), key.data() + dash, value);
    constexpr std::int64_t maxSeconds = 1ll << 40; // far from an overflow in milliseconds
    if (error != std::errc() || end != key.data() + dash || value < 0 || value > maxSeconds)
        return std::nullopt;
    return WallTime(seconds(value));
}

} // namespace chervilspring
