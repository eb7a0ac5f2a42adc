#include "chervilspring/detail/control/control.hpp"

#include "chervilspring/detail/control/membership.hpp"
#include "chervilspring/memory_size.hpp"

#include <algorithm>
#include <array>

namespace chervilspring {

namespace {

constexpr auto sweepInterval = milliseconds(250);
constexpr nanoseconds proposalRetryInterval = seconds(1);
constexpr nanoseconds suspectLifetime = seconds(60); // long enough for several upstream restarts
// Pauses before the trials of a request that is refused. After the last one only operators lift the
// refusal: each trial may cost an upstream and what runs there. Upstreams that crashed in a row
// have mostly started again before the first one.
constexpr std::array<nanoseconds, 2> trialPauses = {seconds(3), minutes(1)};
constexpr nanoseconds trialTimeout = seconds(10); // longer than the deadlines of most requests
constexpr auto stopTimeout = seconds(2);
// A stopping voter waits so long for its removal if it has a successor; there may be no leader yet.
constexpr auto removalTimeout = seconds(5);
// A stopping leader hands over before its entries are committed if they take longer than this.
constexpr auto stopCommitTimeout = seconds(1);
constexpr nanoseconds shareLease = seconds(10); // longer than a leader change takes
constexpr nanoseconds shareClockMargin = seconds(1); // clock drift between VMs
// Changes within this time reach the nodes in one update. It is short compared with the time in
// which changes have to be in force everywhere, and long enough for the announcements of a fleet
// that starts.
constexpr nanoseconds viewPushInterval = milliseconds(100);
// An upstream that announces itself so often, for so long, goes on after its departure.
// Announcements from before the departure may arrive after it, too, but hardly in order over this
// time: after a network cut, TCP retransmits what was sent last first.
constexpr int returnAnnouncements = 3;
constexpr nanoseconds returnPeriod = seconds(2);
// A larger fleet configuration, by its size in memory, is fetched by the nodes block by block.
constexpr std::size_t maxInlineFleetBytes = 128u << 10;
constexpr std::size_t maxBlocksPerRequest = 16;
// An update that a heartbeat doesn't confirm after this time counts as lost.
constexpr nanoseconds updateTimeout = milliseconds(500);

void processOutput(ControlState &state, Instant now, WallTime wall, ConsensusOutput output,
                   ControlEffects &effects);

void sendAnswer(const ControlState &state, const Waiter &waiter, const Outcome &outcome,
                ControlEffects &effects)
{
    // A leader that refuses commands because it stops isn't named, so that nobody asks it again.
    const bool stops = state.consensus_.role_ == MemberRole::Leader && state.consensus_.stopping_;
    const std::string leader = stops ? std::string() : leaderName(state);
    if (waiter.peer_.empty())
        effects.push_back(AnswerProposal{waiter.token_, outcome, leader});
    else
        effects.push_back(SendToPeer{waiter.peer_, ProposeReply{waiter.token_, outcome, leader}});
}

void failWaiters(ControlState &state, ControlEffects &effects)
{
    const Outcome unavailable{OutcomeKind::Unavailable, 0, "the leader changed", std::nullopt};
    for (const auto &[index, waiter] : state.waiters_)
        sendAnswer(state, waiter, unavailable, effects);
    state.waiters_.clear();
}

std::vector<std::string> memberNames(const ControlState &state)
{
    std::vector<std::string> names;
    for (const Member &member : members(state.consensus_))
        names.push_back(member.name_);
    return names;
}

// Records that an update to the current version is sent to a node.
void recordUpdateSent(NodeStatus &node, std::uint64_t version, Instant now)
{
    node.sentVersion_ = version;
    if (node.unconfirmedVersion_ != 0)
        return;
    node.unconfirmedVersion_ = version;
    node.unconfirmedSince_ = now;
}

// Takes over the version that a heartbeat reports. Updates that it doesn't include may still be on
// their way; after updateTimeout they count as lost and are sent again.
void confirmVersion(NodeStatus &node, std::uint64_t reported, Instant now)
{
    node.viewVersion_ = reported;
    const bool firstConfirmed = reported >= node.unconfirmedVersion_;
    const bool onTheWay = reported < node.sentVersion_ && node.unconfirmedVersion_ != 0
        && (firstConfirmed || now - node.unconfirmedSince_ <= updateTimeout);
    if (!onTheWay) {
        node.sentVersion_ = reported;
        node.unconfirmedVersion_ = 0;
    } else if (firstConfirmed) {
        node.unconfirmedVersion_ = node.sentVersion_;
        node.unconfirmedSince_ = now;
    }
}

// Returns the blocks of the current fleet configuration.
const FleetBlocks &currentFleetBlocks(ControlState &state)
{
    const View &view = state.fleet_.view_;
    FleetBlocks &blocks = state.fleetBlocks_;
    if (blocks.fleetVersion_ == view.fleetVersion_)
        return blocks;
    blocks = FleetBlocks{view.fleetVersion_, {}, {}};
    if (memorySize(view.fleet_) <= maxInlineFleetBytes)
        return blocks;
    for (FleetBlock &block : splitFleet(view.fleet_)) {
        blocks.digests_.push_back(block.digest_);
        blocks.parts_.emplace(block.digest_, std::move(block.part_));
    }
    return blocks;
}

ViewUpdate makeNodeUpdate(ControlState &state, std::uint64_t version)
{
    const std::vector<std::uint64_t> &blocks = currentFleetBlocks(state).digests_;
    return makeUpdate(state.fleet_, version, blocks);
}

void onBlockRequest(ControlState &state, const std::string &peer, const RequestFleetBlocks &request,
                    ControlEffects &effects)
{
    const FleetBlocks &blocks = currentFleetBlocks(state);
    const std::size_t count = std::min(request.digests_.size(), maxBlocksPerRequest);
    for (std::size_t i = 0; i < count; ++i) {
        const auto found = blocks.parts_.find(request.digests_[i]);
        const bool known = found != blocks.parts_.end();
        effects.push_back(SendToPeer{
            peer, FleetBlockReply{request.digests_[i], known, known ? found->second : Fleet{}}});
    }
}

// Sends the nodes what has changed in the view, the same update to all that have the same version.
void pushViewIfDue(ControlState &state, Instant now, ControlEffects &effects)
{
    if (!state.pushPending_ || now < state.nextPushAt_)
        return;
    state.pushPending_ = false;
    if (!leads(state.consensus_))
        return; // heartbeats get the newest view from the leader
    state.nextPushAt_ = now + viewPushInterval;
    const std::uint64_t current = state.fleet_.view_.version_;
    std::map<std::uint64_t, std::vector<std::string>> namesByVersion;
    for (auto &[name, node] : state.nodes_) {
        if (!node.holdsView_ || node.sentVersion_ >= current)
            continue;
        namesByVersion[node.sentVersion_].push_back(name);
        recordUpdateSent(node, current, now);
    }
    for (auto &[version, names] : namesByVersion) {
        HeartbeatReply reply;
        reply.leader_ = leaderName(state);
        reply.members_ = memberNames(state);
        reply.update_ = makeNodeUpdate(state, version);
        effects.push_back(SendToPeers{std::move(names), std::move(reply)});
    }
}

// The updates that were on their way to a node are lost with its connection.
void onPeerLost(ControlState &state, const std::string &peer)
{
    const auto found = state.nodes_.find(peer);
    if (found == state.nodes_.end())
        return;
    found->second.sentVersion_ = found->second.viewVersion_;
    found->second.unconfirmedVersion_ = 0;
}

std::string suspectText(const FleetState &fleet, std::uint64_t digest)
{
    std::string text = " digest=" + std::to_string(digest);
    for (const Suspect &suspect : fleet.view_.suspects_) {
        if (suspect.digest_ == digest)
            text += " crashes=" + std::to_string(suspect.crashes_)
                + " refused=" + (hasCrashedTooOften(suspect) ? "true" : "false")
                + " explained=" + (suspect.isExplained_ ? "true" : "false")
                + " trials=" + std::to_string(suspect.trials_) + " trial="
                + boost::describe::enum_to_string(suspect.trialPhase_, "?") + " trial_entry="
                + suspect.trialEntry_ + " trial_upstream=" + suspect.trialUpstream_;
    }
    return text;
}

// Logs what a command has changed about a suspect.
void logSuspect(const FleetState &fleet, const Command &command, ControlEffects &effects)
{
    if (const auto *report = std::get_if<ReportCrash>(&command))
        effects.push_back(DecisionLine{"decision=suspect" + suspectText(fleet, report->digest_)
                                       + " upstream=" + report->upstream_
                                       + " boot=" + std::to_string(report->boot_)});
    else if (const auto *trial = std::get_if<ChangeTrial>(&command))
        effects.push_back(
            DecisionLine{"decision=suspect_trial" + suspectText(fleet, trial->digest_)});
    else if (const auto *cleared = std::get_if<ClearSuspect>(&command))
        effects.push_back(DecisionLine{
            "decision=suspect_cleared" + suspectText(fleet, cleared->digest_)
            + " reason=" + (cleared->lapsed_ ? "no_further_crash" : "ran_to_its_end")});
}

void applyCommitted(ControlState &state, const std::vector<LogEntry> &entries,
                    ControlEffects &effects)
{
    const std::uint64_t versionBefore = state.fleet_.view_.version_;
    for (const LogEntry &entry : entries) {
        const Outcome outcome = apply(state.fleet_, entry);
        const bool changedView = state.fleet_.view_.version_ == entry.index_;
        if (changedView && leads(state.consensus_))
            logSuspect(state.fleet_, entry.command_, effects);
        const auto waiter = state.waiters_.find(entry.index_);
        if (waiter == state.waiters_.end())
            continue;
        // An entry of another term at this index replaced the one that the waiter proposed.
        const bool isProposed = waiter->second.term_ == entry.term_;
        const Outcome lost{OutcomeKind::Unavailable, 0, "the leader changed", std::nullopt};
        sendAnswer(state, waiter->second, isProposed ? outcome : lost, effects);
        state.waiters_.erase(waiter);
    }
    if (state.fleet_.view_.version_ != versionBefore)
        state.pushPending_ = true;
}

void compactIfDue(ControlState &state, Instant now, WallTime wall, ControlEffects &effects)
{
    const ConsensusState &log = state.consensus_;
    if (!isSnapshotDue(log))
        return;
    effects.push_back(
        DecisionLine{"decision=snapshot index=" + std::to_string(log.appliedIndex_)
                     + " entries=" + std::to_string(log.appliedIndex_ - log.snapshotIndex_)
                     + " bytes=" + std::to_string(log.appliedSize_)});
    ConsensusOutput output;
    compact(state.consensus_, makeSnapshot(state.fleet_), output);
    processOutput(state, now, wall, std::move(output), effects);
}

void onRoleChange(ControlState &state, Instant now, ControlEffects &effects)
{
    const MemberRole role = state.consensus_.role_;
    if (role == state.lastRole_)
        return;
    if (state.lastRole_ == MemberRole::Leader)
        failWaiters(state, effects);
    state.returnEvidence_.clear();
    if (role == MemberRole::Leader) {
        state.leadingSince_ = now;
        // No entry can hold a share before the first fleet configuration exists.
        state.ledBeforeFirstFleet_ = state.fleet_.view_.fleetVersion_ == 0;
        // Restart all leases, so that every agent has a full lease to find the new leader.
        state.nodes_.clear();
        for (const Upstream &upstream : state.fleet_.view_.upstreams_) {
            NodeStatus &node = state.nodes_[upstream.name_];
            node.lastHeard_ = now;
            node.isAgent_ = true;
            node.agentBoot_ = upstream.agentBoot_;
        }
    }
    state.lastRole_ = role;
}

void processOutput(ControlState &state, Instant now, WallTime wall, ConsensusOutput output,
                   ControlEffects &effects)
{
    for (std::string &line : output.decisionLines_)
        effects.push_back(DecisionLine{std::move(line)});
    for (PersistBatch &batch : output.batches_)
        effects.push_back(std::move(batch));
    for (auto &[peer, message] : output.messages_)
        effects.push_back(SendToPeer{peer, std::move(message)});
    if (output.restoredSnapshot_)
        state.fleet_ = restoreFleetState(*output.restoredSnapshot_);
    onRoleChange(state, now, effects);
    applyCommitted(state, output.committedEntries_, effects);
    for (const std::uint64_t token : output.confirmedReads_)
        effects.push_back(AnswerRead{token, true, leaderName(state)});
    for (const std::uint64_t token : output.failedReads_)
        effects.push_back(AnswerRead{token, false, leaderName(state)});
    for (const std::uint64_t member : output.snapshotTargets_) {
        ConsensusOutput nested;
        sendSnapshot(state.consensus_, now, member, makeSnapshot(state.fleet_), nested);
        processOutput(state, now, wall, std::move(nested), effects);
    }
    compactIfDue(state, now, wall, effects);
}

void propose(ControlState &state, Instant now, WallTime wall, const Command &command,
             const Waiter &waiter, ControlEffects &effects)
{
    ConsensusOutput output;
    const auto index = append(state.consensus_, now, wall, command, output);
    if (!index) {
        sendAnswer(
            state, waiter,
            Outcome{OutcomeKind::NotLeader, 0, "this control process does not lead", std::nullopt},
            effects);
        return;
    }
    if (const auto *removal = std::get_if<RemoveUpstream>(&command); removal && removal->departed_)
        state.returnEvidence_.erase(removal->name_);
    Waiter stored = waiter;
    stored.term_ = state.consensus_.hardState_.term_;
    state.waiters_[*index] = stored;
    processOutput(state, now, wall, std::move(output), effects);
}

void appendCommand(ControlState &state, Instant now, WallTime wall, const Command &command,
                   ControlEffects &effects)
{
    ConsensusOutput output;
    append(state.consensus_, now, wall, command, output);
    processOutput(state, now, wall, std::move(output), effects);
}

bool changesUpstream(const ControlState &state, const Upstream &announced)
{
    const Upstream *known = findByName(state.fleet_.view_.upstreams_, announced.name_);
    if (!known)
        return announced.phase_ != UpstreamPhase::Gone;
    return !sameAnnouncement(*known, announced);
}

void proposeAnnouncement(ControlState &state, Instant now, WallTime wall, const std::string &peer,
                         const Upstream &upstream, ControlEffects &effects)
{
    NodeStatus &node = state.nodes_[peer];
    // Heartbeats repeat an announcement until it is committed. Append it again only after the retry
    // interval.
    const bool isPending = node.proposedAnnouncement_
        && sameAnnouncement(*node.proposedAnnouncement_, upstream)
        && now - node.proposedAt_ < proposalRetryInterval;
    if (isPending || !changesUpstream(state, upstream))
        return;
    node.proposedAnnouncement_ = upstream;
    node.proposedAt_ = now;
    effects.push_back(DecisionLine{"decision=membership upstream=" + upstream.name_ + " phase="
                                   + boost::describe::enum_to_string(upstream.phase_, "?")
                                   + " reason=announced"});
    if (upstream.phase_ == UpstreamPhase::Gone)
        appendCommand(state, now, wall, RemoveUpstream{upstream.name_, upstream.agentBoot_},
                      effects);
    else
        appendCommand(state, now, wall, AnnounceUpstream{upstream}, effects);
}

// Whether an announcement names no upstream to use, as no pool of the configuration has its
// service, but would take the name or address of one that is in use. It is not appended to the log:
// the other one's announcements would be outdated from then on.
bool displacesWithoutPool(const ControlState &state, const Upstream &announced)
{
    const View &view = state.fleet_.view_;
    if (view.fleetVersion_ == 0 || belongsToPool(announced, view.fleet_))
        return false;
    return std::any_of(view.upstreams_.begin(), view.upstreams_.end(), [&](const Upstream &other) {
        const bool displaced = other.name_ == announced.name_ || sameAddress(other, announced);
        return displaced && other.direct_ && belongsToPool(other, view.fleet_);
    });
}

// Records an announcement of an upstream that has departed. Returns whether the upstream goes on,
// so that the departure was one of an earlier start and arrived late.
bool hasReturned(ControlState &state, Instant now, const Upstream &announced)
{
    ReturnEvidence &evidence = state.returnEvidence_[announced.name_];
    if (announced.agentBoot_ > evidence.boot_)
        evidence = ReturnEvidence{.boot_ = announced.agentBoot_};
    const bool isFirst = evidence.announcements_ == 0;
    const bool isNewer = isFirst || announced.sequence_ > evidence.sequence_;
    if (announced.agentBoot_ != evidence.boot_ || !isNewer)
        return false;
    evidence.sequence_ = announced.sequence_;
    evidence.lastAt_ = now;
    if (isFirst)
        evidence.firstAt_ = now;
    ++evidence.announcements_;
    return evidence.announcements_ >= returnAnnouncements
        && now - evidence.firstAt_ >= returnPeriod;
}

// Renews the lease of a direct upstream. An announcement that changes nothing is answered at once;
// any other one is appended to the log and answered after the commit.
void onLocalAnnouncement(ControlState &state, Instant now, WallTime wall,
                         const LocalAnnouncement &event, ControlEffects &effects)
{
    const Upstream &upstream = event.upstream_;
    const Waiter waiter{0, "", event.token_};
    if (!leads(state.consensus_)) {
        sendAnswer(state, waiter, Outcome{OutcomeKind::NotLeader, 0, {}, std::nullopt}, effects);
        return;
    }
    if (displacesWithoutPool(state, upstream)) {
        sendAnswer(state, waiter,
                   Outcome{OutcomeKind::Accepted, 0, "the service is unknown", std::nullopt},
                   effects);
        return;
    }
    NodeStatus &node = state.nodes_[upstream.name_];
    const bool isOlder = node.sequenceBoot_ > upstream.agentBoot_
        || (node.sequenceBoot_ == upstream.agentBoot_ && node.sequence_ > upstream.sequence_);
    const bool isOutdated = isOlder || isSuperseded(state.fleet_, upstream);
    const bool departed = !isOutdated && hasDeparted(state.fleet_, upstream);
    const bool returned = departed && hasReturned(state, now, upstream);
    if (departed)
        effects.push_back(
            DecisionLine{"decision=membership upstream=" + upstream.name_
                         + " boot=" + std::to_string(upstream.agentBoot_)
                         + " sequence=" + std::to_string(upstream.sequence_)
                         + " reason=departed returned=" + (returned ? "true" : "false")});
    if (isOutdated || (departed && !returned)) {
        sendAnswer(state, waiter, Outcome{OutcomeKind::Accepted, 0, "outdated", std::nullopt},
                   effects);
        return;
    }
    node.lastHeard_ = now;
    node.isAgent_ = true;
    node.agentBoot_ = upstream.agentBoot_;
    node.sequence_ = upstream.sequence_;
    node.sequenceBoot_ = upstream.agentBoot_;
    if (!changesUpstream(state, upstream)) {
        sendAnswer(state, waiter, Outcome{OutcomeKind::Accepted, 0, {}, std::nullopt}, effects);
        return;
    }
    effects.push_back(DecisionLine{
        "decision=membership upstream=" + upstream.name_ + " boot="
        + std::to_string(upstream.agentBoot_) + " sequence=" + std::to_string(upstream.sequence_)
        + " phase=" + boost::describe::enum_to_string(upstream.phase_, "?") + " reason=announced"});
    propose(state, now, wall, AnnounceUpstream{upstream, returned}, waiter, effects);
}

// Returns the boot id of the newest start that a departure received now can belong to. A start that
// is newer than the listed one may have sent it, since its announcements may be delayed. So this is
// any start until now, and any that is known.
std::uint64_t departedBoot(const ControlState &state, WallTime wall, const std::string &name)
{
    std::uint64_t boot = bootIdOfStart(std::max(wall, state.fleet_.time_));
    if (const Upstream *listed = findByName(state.fleet_.view_.upstreams_, name))
        boot = std::max(boot, listed->agentBoot_);
    return boot;
}

void onLocalDeparture(ControlState &state, Instant now, WallTime wall, const LocalDeparture &event,
                      ControlEffects &effects)
{
    const Waiter waiter{0, "", event.token_};
    if (!leads(state.consensus_)) {
        sendAnswer(state, waiter, Outcome{OutcomeKind::NotLeader, 0, {}, std::nullopt}, effects);
        return;
    }
    const std::uint64_t boot = departedBoot(state, wall, event.upstream_);
    const Upstream *listed = findByName(state.fleet_.view_.upstreams_, event.upstream_);
    effects.push_back(DecisionLine{
        "decision=membership upstream=" + event.upstream_ + " boot=" + std::to_string(boot)
        + " phase=Gone reason=departed listed=" + (listed ? "true" : "false")});
    propose(state, now, wall, RemoveUpstream{event.upstream_, boot, true}, waiter, effects);
}

std::uint32_t sumOtherShares(const ControlState &state, Instant now, const std::string &self)
{
    std::uint32_t sum = 0;
    for (const auto &[name, node] : state.nodes_) {
        if (name != self && node.shareExpires_ > now)
            sum += node.share_;
    }
    return sum;
}

std::uint32_t countLiveEntries(const ControlState &state, Instant now)
{
    const nanoseconds lease = state.settings_.nodeLease_;
    return static_cast<std::uint32_t>(
        std::count_if(state.nodes_.begin(), state.nodes_.end(), [&](const auto &item) {
            return item.second.isEntry_ && now - item.second.lastHeard_ <= lease;
        }));
}

// Grants a share such that the sum of all unexpired shares never exceeds wholeShare.
void grantShare(ControlState &state, Instant now, NodeStatus &node, const Heartbeat &heartbeat,
                HeartbeatReply &reply)
{
    const std::uint32_t others = sumOtherShares(state, now, heartbeat.node_);
    const std::uint32_t available = wholeShare - std::min(wholeShare, others);
    std::uint32_t wanted = wholeShare / std::max(1u, countLiveEntries(state, now));
    // A new leader doesn't know the shares granted by its predecessor. Until these have expired it
    // only renews the share that an entry reports.
    const bool isNewLeader = now - state.leadingSince_ < shareLease + shareClockMargin;
    if (isNewLeader && !state.ledBeforeFirstFleet_)
        wanted = std::min(wanted, heartbeat.share_);
    reply.granted_ = true;
    reply.share_ = std::min(wanted, available);
    // If the reply is lost, the entry keeps using the share that it reported.
    node.share_ = std::max(reply.share_, heartbeat.share_);
    node.shareExpires_ = now + shareLease;
    reply.shareLease_ = shareLease;
}

void onHeartbeat(ControlState &state, Instant now, WallTime wall, const std::string &peer,
                 const Heartbeat &heartbeat, ControlEffects &effects)
{
    const bool leading = leads(state.consensus_);
    if (leading && heartbeat.upstream_)
        proposeAnnouncement(state, now, wall, peer, *heartbeat.upstream_, effects);
    NodeStatus &node = state.nodes_[peer];
    node.lastHeard_ = now;
    confirmVersion(node, heartbeat.viewVersion_, now);
    node.fleetVersion_ = heartbeat.fleetVersion_;
    node.holdsView_ = heartbeat.viewVersion_ != 0 || !heartbeat.awaitsView_;
    node.isAgent_ = heartbeat.upstream_.has_value();
    node.isEntry_ = heartbeat.isEntry_;
    node.load_ = heartbeat.load_;
    node.agentBoot_ = heartbeat.upstream_ ? heartbeat.upstream_->agentBoot_ : 0;
    HeartbeatReply reply;
    reply.leader_ = leaderName(state);
    reply.members_ = memberNames(state);
    if (const auto age = maxStaleness(state.consensus_, now)) {
        reply.fresh_ = true;
        reply.age_ = *age;
    }
    if (leading && heartbeat.isEntry_)
        grantShare(state, now, node, heartbeat, reply);
    const View &view = state.fleet_.view_;
    if (!heartbeat.awaitsView_ && node.sentVersion_ < view.version_) {
        reply.update_ = makeNodeUpdate(state, node.sentVersion_);
        recordUpdateSent(node, view.version_, now);
    }
    // The node has applied an update that named the blocks of a large configuration, but lacks
    // some.
    const bool lacksFleet = heartbeat.viewVersion_ >= view.fleetVersion_
        && heartbeat.fleetVersion_ < view.fleetVersion_;
    if (lacksFleet && !currentFleetBlocks(state).digests_.empty()) {
        if (!reply.update_)
            reply.update_ = makeNodeUpdate(state, view.version_);
        reply.update_->fleetBlocks_ = currentFleetBlocks(state).digests_;
    }
    effects.push_back(SendToPeer{peer, reply});
}

// Returns the time for which a suspect has not changed.
nanoseconds ageOf(ControlState &state, Instant now, const Suspect &suspect)
{
    SuspectAge &age = state.suspectAges_[suspect.digest_];
    const bool isSame = age.crashes_ == suspect.crashes_ && age.trials_ == suspect.trials_
        && age.trialPhase_ == suspect.trialPhase_;
    if (!isSame)
        age = SuspectAge{suspect.crashes_, suspect.trials_, suspect.trialPhase_, now};
    return now - age.since_;
}

// Returns the change of a suspect that is due after a time without one; nothing: none.
std::optional<Command> dueSuspectChange(const Suspect &suspect, nanoseconds age)
{
    if (!hasCrashedTooOften(suspect)) {
        if (age > suspectLifetime)
            return ClearSuspect{suspect.digest_, true};
        return std::nullopt;
    }
    const bool mayBeTried = suspect.trials_ < trialPauses.size();
    if (suspect.trialPhase_ == TrialPhase::None && mayBeTried && age > trialPauses[suspect.trials_])
        return ChangeTrial{suspect.digest_, TrialPhase::Offered, {}, {}};
    if (suspect.trialPhase_ == TrialPhase::Running && age > trialTimeout)
        return ChangeTrial{suspect.digest_, TrialPhase::None, {}, {}};
    return std::nullopt;
}

// Removes suspects without a further crash, which upstreams have for many reasons, and offers
// trials of requests that are refused.
void updateSuspects(ControlState &state, Instant now, WallTime wall, ControlEffects &effects)
{
    const auto &suspects = state.fleet_.view_.suspects_;
    std::erase_if(state.suspectAges_, [&](const auto &item) {
        return std::none_of(suspects.begin(), suspects.end(),
                            [&](const Suspect &suspect) { return suspect.digest_ == item.first; });
    });
    std::vector<Command> changes;
    for (const Suspect &suspect : suspects) {
        if (suspect.refused_)
            continue;
        if (auto change = dueSuspectChange(suspect, ageOf(state, now, suspect)))
            changes.push_back(std::move(*change));
    }
    for (const Command &change : changes)
        appendCommand(state, now, wall, change, effects);
}

// Removes suspects, upstreams and nodes whose lifetime or lease has expired.
void removeExpired(ControlState &state, Instant now, WallTime wall, ControlEffects &effects)
{
    if (now < state.nextSweep_)
        return;
    state.nextSweep_ = now + sweepInterval;
    if (leads(state.consensus_))
        updateSuspects(state, now, wall, effects);
    const nanoseconds lease = state.settings_.nodeLease_;
    std::vector<RemoveUpstream> expired;
    for (const Upstream &upstream : state.fleet_.view_.upstreams_) {
        if (upstream.phase_ == UpstreamPhase::Gone || !leads(state.consensus_))
            continue;
        // A leader may be elected before it has applied the log: upstreams that it finds there
        // later get a full lease, too.
        const auto [node, isNew] = state.nodes_.try_emplace(upstream.name_);
        if (isNew) {
            node->second.lastHeard_ = now;
            node->second.isAgent_ = true;
            node->second.agentBoot_ = upstream.agentBoot_;
        }
        if (now - node->second.lastHeard_ <= lease)
            continue;
        // An upstream that is leaving will not return: ignore what it announced before.
        const bool departed = upstream.direct_ && upstream.phase_ == UpstreamPhase::Leaving;
        expired.push_back(RemoveUpstream{upstream.name_, upstream.agentBoot_, departed});
    }
    // Keep an expired entry until its share has expired too, so that the share is still counted.
    std::erase_if(state.nodes_, [&](const auto &item) {
        return now - item.second.lastHeard_ > lease && item.second.shareExpires_ <= now;
    });
    std::erase_if(state.returnEvidence_,
                  [&](const auto &item) { return now - item.second.lastAt_ > lease; });
    for (const RemoveUpstream &removal : expired) {
        effects.push_back(DecisionLine{"decision=membership upstream=" + removal.name_
                                       + " phase=Gone reason=lease_expired"});
        appendCommand(state, now, wall, removal, effects);
    }
}

bool hasOtherVoter(const ConsensusState &state)
{
    const auto &list = members(state);
    return std::any_of(list.begin(), list.end(), [&](const Member &member) {
        return member.voter_ && member.id_ != state.settings_.self_.id_;
    });
}

// Whether a stopping leader may not end yet: it has to hand over and to answer what waits for it.
bool holdsStop(ControlState &state, Instant now, WallTime wall, ControlEffects &effects)
{
    ConsensusState &log = state.consensus_;
    if (log.role_ != MemberRole::Leader || now >= state.stopDeadline_)
        return false;
    if (!hasOtherVoter(log))
        return !state.waiters_.empty() || !log.pendingReads_.empty();
    const bool isCommitted = log.commitIndex_ == lastIndex(log);
    const bool mayTransfer =
        isCommitted || now >= state.stopDeadline_ - stopTimeout + stopCommitTimeout;
    const bool isOffered = log.transferringLeadership_
        && now - log.transferStartedAt_ < log.settings_.electionTimeout_;
    if (mayTransfer && !isOffered) {
        ConsensusOutput output;
        transferLeadership(log, now, output);
        processOutput(state, now, wall, std::move(output), effects);
    }
    return true;
}

// Whether the leader may be about to remove this process, which stops, from the voters. Until then
// the process acknowledges entries: a group must not be left with a voter that is gone.
bool awaitsRemoval(const ControlState &state, Instant now)
{
    const ConsensusState &log = state.consensus_;
    const bool isVoter = log.role_ != MemberRole::Leader && log.role_ != MemberRole::Learner;
    if (!log.settings_.openMembership_ || !isVoter || log.removed_)
        return false;
    return members(log).size() > groupSize(log)
        && now < state.stopDeadline_ - stopTimeout + removalTimeout;
}

void stopWhenHandedOver(ControlState &state, Instant now, WallTime wall, ControlEffects &effects)
{
    if (state.stopDeadline_ == Instant{} || state.stopped_ || holdsStop(state, now, wall, effects)
        || awaitsRemoval(state, now))
        return;
    ConsensusOutput output;
    stepDown(state.consensus_, now, "stop", output);
    processOutput(state, now, wall, std::move(output), effects);
    state.stopped_ = true;
    effects.push_back(StopNow{});
}

void onPeerMessage(ControlState &state, Instant now, WallTime wall, const PeerMessage &event,
                   ControlEffects &effects)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&event.message_)) {
        onHeartbeat(state, now, wall, event.peer_, *heartbeat, effects);
        return;
    }
    if (const auto *proposal = std::get_if<Propose>(&event.message_)) {
        propose(state, now, wall, proposal->command_, Waiter{0, event.peer_, proposal->sequence_},
                effects);
        return;
    }
    if (const auto *request = std::get_if<RequestFleetBlocks>(&event.message_)) {
        onBlockRequest(state, event.peer_, *request, effects);
        return;
    }
    ConsensusOutput output;
    step(state.consensus_, now, event.peer_, event.message_, output);
    processOutput(state, now, wall, std::move(output), effects);
}

} // namespace

std::string leaderName(const ControlState &state)
{
    const Member *leader = findMember(state.consensus_, state.consensus_.leaderId_);
    return leader ? leader->name_ : std::string();
}

ControlState makeControl(const ControlSettings &settings, const LoadedState &loaded, Instant now)
{
    ControlState state;
    state.settings_ = settings;
    state.consensus_ = makeConsensus(settings.consensus_, loaded, now);
    if (loaded.snapshot_)
        state.fleet_ = restoreFleetState(*loaded.snapshot_);
    state.lastRole_ = state.consensus_.role_;
    return state;
}

Instant nextWake(const ControlState &state)
{
    Instant wake = nextWake(state.consensus_);
    if (state.consensus_.role_ == MemberRole::Leader)
        wake = std::min(wake, state.nextSweep_);
    if (state.pushPending_)
        wake = std::min(wake, state.nextPushAt_);
    if (state.stopDeadline_ != Instant{} && !state.stopped_)
        wake = std::min(wake, state.stopDeadline_);
    return wake;
}

void reduce(ControlState &state, Instant now, WallTime wall, const ControlEvent &event,
            ControlEffects &effects)
{
    // Do the time-driven work first: a leader that was suspended has to step down before it handles
    // the messages that arrived meanwhile.
    ConsensusOutput output;
    tick(state.consensus_, now, wall, output);
    processOutput(state, now, wall, std::move(output), effects);
    removeExpired(state, now, wall, effects);
    std::visit(
        Overloaded{
            [&](const PeerMessage &e) { onPeerMessage(state, now, wall, e, effects); },
            [&](const PeerLost &e) { onPeerLost(state, e.peer_); },
            [&](const BatchSynced &e) {
                ConsensusOutput nested;
                onSynced(state.consensus_, now, e.sequence_, nested);
                processOutput(state, now, wall, std::move(nested), effects);
            },
            [&](const LocalProposal &e) {
                propose(state, now, wall, e.command_, Waiter{0, "", e.token_}, effects);
            },
            [&](const LocalRead &e) {
                ConsensusOutput nested;
                if (!startRead(state.consensus_, now, e.token_, nested))
                    effects.push_back(AnswerRead{e.token_, false, leaderName(state)});
                processOutput(state, now, wall, std::move(nested), effects);
            },
            [](const Wake &) {},
            [&](const StopRequested &) {
                state.stopDeadline_ = now + stopTimeout;
                state.consensus_.stopping_ = true;
                state.consensus_.nextHeartbeat_ = now; // announces the stop at once
            },
            [&](const LocalAnnouncement &e) { onLocalAnnouncement(state, now, wall, e, effects); },
            [&](const LocalDeparture &e) { onLocalDeparture(state, now, wall, e, effects); },
            [&](const SeedsChanged &e) { state.consensus_.settings_.controlNames_ = e.names_; },
        },
        event);
    pushViewIfDue(state, now, effects);
    stopWhenHandedOver(state, now, wall, effects);
}

} // namespace chervilspring
