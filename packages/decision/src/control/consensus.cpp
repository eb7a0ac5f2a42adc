#include "chervilspring/detail/control/consensus_steps.hpp"

#include "chervilspring/detail/control/membership.hpp"
#include "chervilspring/memory_size.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr auto joinMessageInterval = milliseconds(300);
constexpr auto membershipCheckInterval = milliseconds(100);

void recordJoin(ConsensusState &state, Instant now, const std::string &from, const Join &join)
{
    state.joins_[from] = join;
    state.joinTimes_[from] = now;
}

std::string leaderName(const ConsensusState &state)
{
    const Member *leader = findMember(state, state.leaderId_);
    return leader ? leader->name_ : std::string();
}

Join ownJoin(const ConsensusState &state)
{
    return Join{state.hardState_.cluster_, state.settings_.self_, leaderName(state),
                state.stopping_};
}

bool isMemberName(const ConsensusState &state, const std::string &name)
{
    const auto &list = members(state);
    return std::any_of(list.begin(), list.end(),
                       [&](const Member &member) { return member.name_ == name; });
}

// Tells whether this leader knows that the member list in force stays.
bool areMembersCommitted(const ConsensusState &state)
{
    return leads(state) && state.memberLists_.back().index_ <= state.commitIndex_;
}

void onJoin(ConsensusState &state, Instant now, const std::string &from, const Join &join,
            ConsensusOutput &output)
{
    recordJoin(state, now, from, join);
    if (!state.settings_.openMembership_)
        return;
    if (!join.leader_.empty())
        state.leaderHint_ = join.leader_;
    // A joining process may know only a few seeds, none of which has to be the leader: tell it
    // who leads.
    const bool isJoining = !join.stopping_ && !isMemberName(state, from);
    if (isJoining && state.role_ != MemberRole::Leader && !leaderName(state).empty())
        output.messages_.emplace_back(from, ownJoin(state));
    // A member that stops isn't sent the change that removes it. A leader sends no other Join.
    if (join.stopping_ && !findMember(state, join.member_.id_) && areMembersCommitted(state))
        output.messages_.emplace_back(from, ownJoin(state));
    state.removed_ = state.removed_ || (state.stopping_ && join.leader_ == from);
}

std::set<std::string> joinTargets(const ConsensusState &state)
{
    const auto &names = state.settings_.controlNames_;
    std::set<std::string> targets(names.begin(), names.end());
    if (state.settings_.openMembership_) {
        for (const Member &member : members(state))
            targets.insert(member.name_);
        if (!state.leaderHint_.empty())
            targets.insert(state.leaderHint_);
    }
    targets.erase(state.settings_.self_.name_);
    return targets;
}

void sendJoins(ConsensusState &state, Instant now, ConsensusOutput &output)
{
    recordJoin(state, now, state.settings_.self_.name_, ownJoin(state));
    for (const std::string &name : joinTargets(state))
        output.messages_.emplace_back(name, ownJoin(state));
}

void bootstrap(ConsensusState &state, Instant now, ConsensusOutput &output)
{
    const auto snapshot = planBootstrap(state);
    if (!snapshot)
        return;
    addDecisionLine(output, state,
                    "bootstrap=" + std::to_string(snapshot->members_.size()) + "_voters");
    state.hardState_.cluster_ = snapshot->cluster_;
    state.baseIndex_ = state.snapshotIndex_ = state.commitIndex_ = state.appliedIndex_ =
        snapshot->lastIndex_;
    state.baseTerm_ = snapshot->lastTerm_;
    state.memberLists_ = {memberListOf(*snapshot)};
    PersistBatch batch;
    batch.hardState_ = state.hardState_;
    batch.snapshot_ = *snapshot;
    persist(state, std::move(batch), output);
    output.restoredSnapshot_ = *snapshot;
    adoptRoleFromMembers(state, output);
    resetElectionTimer(state, now);
}

void leaderTick(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output)
{
    if (voterCount(state) == 1)
        state.lastQuorumContact_ = now;
    if (now - state.lastQuorumContact_ > state.settings_.electionTimeout_) {
        stepDown(state, now, "quorum_silent", output);
        return;
    }
    if (now >= state.nextHeartbeat_) {
        broadcast(state, now, output);
        confirmLeadership(state, output);
    }
    if (now < state.nextMembershipCheck_)
        return;
    state.nextMembershipCheck_ = now + membershipCheckInterval;
    const auto plan = planMembership(state, now);
    if (!plan)
        return;
    if (!append(state, now, wall, ChangeMembers{plan->members_}, output))
        return;
    addDecisionLine(output, state,
                    "membership=" + plan->reason_ + " voters=" + std::to_string(voterCount(state))
                        + " group_size=" + std::to_string(groupSize(state)));
}

// Returns the index of the oldest entry that stays in memory when all applied ones are covered by a
// snapshot. The newest are kept, so that members slightly behind need no snapshot.
std::uint64_t firstKeptIndex(const ConsensusState &state)
{
    const std::uint64_t maxEntries = state.settings_.snapshotEntries_ / 2;
    const std::size_t maxBytes = state.settings_.snapshotBytes_ / 2;
    std::uint64_t first = state.appliedIndex_ + 1;
    std::size_t bytes = 0;
    while (first > state.baseIndex_ + 1 && state.appliedIndex_ + 1 - first < maxEntries) {
        bytes += memorySize(state.log_[first - state.baseIndex_ - 2]);
        if (bytes > maxBytes)
            break;
        --first;
    }
    return first;
}

// Stores the member list in force at appliedIndex_.
void storeAppliedMembers(const ConsensusState &state, Snapshot &snapshot)
{
    const MemberList *covered = &state.memberLists_.front();
    for (const MemberList &list : state.memberLists_) {
        if (list.index_ <= state.appliedIndex_)
            covered = &list;
    }
    snapshot.members_ = covered->members_;
    snapshot.foundingMembers_ = covered->foundingMembers_;
}

} // namespace

const std::vector<Member> &members(const ConsensusState &state)
{
    static const std::vector<Member> empty;
    return state.memberLists_.empty() ? empty : state.memberLists_.back().members_;
}

const Member *findMember(const ConsensusState &state, std::uint64_t id)
{
    for (const Member &member : members(state)) {
        if (member.id_ == id)
            return &member;
    }
    return nullptr;
}

std::uint64_t lastIndex(const ConsensusState &state)
{
    return state.baseIndex_ + state.log_.size();
}

std::optional<std::uint64_t> termAt(const ConsensusState &state, std::uint64_t index)
{
    if (index == state.baseIndex_)
        return state.baseTerm_;
    if (index < state.baseIndex_ || index > lastIndex(state))
        return std::nullopt;
    return state.log_[index - state.baseIndex_ - 1].term_;
}

bool leads(const ConsensusState &state)
{
    return state.role_ == MemberRole::Leader && state.commitIndex_ >= state.termStartIndex_;
}

std::optional<nanoseconds> maxStaleness(const ConsensusState &state, Instant now)
{
    if (leads(state))
        return now - state.lastQuorumContact_;
    if (state.leaderId_ == 0 || state.lastLeaderContact_ == Instant{})
        return std::nullopt;
    // A leader that lost its quorum steps down after one election timeout at the latest, so what
    // it sent may have been stale by that long.
    return now - state.lastLeaderContact_ + state.settings_.electionTimeout_;
}

ConsensusState makeConsensus(const ConsensusSettings &settings, const LoadedState &loaded,
                             Instant now)
{
    ConsensusState state;
    state.settings_ = settings;
    state.randomEngine_.seed(settings.seed_);
    state.hardState_ = loaded.hardState_;
    if (loaded.snapshot_) {
        state.baseIndex_ = state.snapshotIndex_ = loaded.snapshot_->lastIndex_;
        state.baseTerm_ = loaded.snapshot_->lastTerm_;
        state.snapshotSize_ = memorySize(*loaded.snapshot_);
        state.commitIndex_ = state.appliedIndex_ = state.baseIndex_;
        state.memberLists_.push_back(memberListOf(*loaded.snapshot_));
    }
    state.log_.assign(loaded.entries_.begin(), loaded.entries_.end());
    state.syncedIndex_ = lastIndex(state);
    ConsensusOutput discarded;
    for (const LogEntry &entry : state.log_)
        adoptMembers(state, entry, discarded);
    adoptRoleFromMembers(state, discarded);
    resetElectionTimer(state, now);
    state.nextHeartbeat_ = now;
    return state;
}

Instant nextWake(const ConsensusState &state)
{
    if (state.role_ == MemberRole::Leader)
        return std::min(state.nextHeartbeat_, state.nextMembershipCheck_);
    return std::min(state.electionDeadline_, state.nextHeartbeat_);
}

void tick(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output)
{
    if (now >= state.nextHeartbeat_ && state.role_ != MemberRole::Leader) {
        state.nextHeartbeat_ = now + joinMessageInterval;
        sendJoins(state, now, output);
        bootstrap(state, now, output);
    }
    if (state.role_ == MemberRole::Leader) {
        leaderTick(state, now, wall, output);
        return;
    }
    if (now < state.electionDeadline_)
        return;
    if (state.role_ == MemberRole::Learner || state.stopping_) {
        resetElectionTimer(state, now);
        return;
    }
    startPreVote(state, now, output);
    countVotes(state, now, wall, output);
}

void step(ConsensusState &state, Instant now, const std::string &from, const Message &message,
          ConsensusOutput &output)
{
    std::visit(
        Overloaded{
            [&](const VoteRequest &m) { onVoteRequest(state, now, from, m, output); },
            [&](const VoteReply &m) { onVoteReply(state, now, m, output); },
            [&](const AppendRequest &m) { onAppendRequest(state, now, from, m, output); },
            [&](const AppendReply &m) { onAppendReply(state, now, m, output); },
            [&](const InstallSnapshot &m) { onInstallSnapshot(state, now, from, m, output); },
            [&](const TimeoutNow &m) { onTimeoutNow(state, now, m, output); },
            [&](const Join &m) { onJoin(state, now, from, m, output); },
            [](const auto &) {},
        },
        message);
}

void onSynced(ConsensusState &state, Instant now, std::uint64_t sequence, ConsensusOutput &output)
{
    state.syncedSequence_ = std::max(state.syncedSequence_, sequence);
    while (!state.unsyncedBatches_.empty() && state.unsyncedBatches_.front().first <= sequence) {
        state.syncedIndex_ = std::max(state.syncedIndex_, state.unsyncedBatches_.front().second);
        state.unsyncedBatches_.pop_front();
    }
    while (!state.deferredMessages_.empty()
           && state.deferredMessages_.front().sequence_ <= sequence) {
        DeferredMessage deferred = std::move(state.deferredMessages_.front());
        state.deferredMessages_.pop_front();
        output.messages_.emplace_back(std::move(deferred.peer_), std::move(deferred.message_));
    }
    if (state.role_ == MemberRole::Leader)
        advanceCommit(state, output);
    if (state.role_ == MemberRole::Candidate)
        countVotes(state, now, WallTime{}, output);
}

std::optional<std::uint64_t> append(ConsensusState &state, Instant now, WallTime wall,
                                    const Command &command, ConsensusOutput &output)
{
    if (state.role_ != MemberRole::Leader || state.transferringLeadership_ || state.stopping_)
        return std::nullopt;
    LogEntry entry;
    entry.index_ = lastIndex(state) + 1;
    entry.term_ = state.hardState_.term_;
    entry.time_ = wall;
    entry.command_ = command;
    state.log_.push_back(entry);
    adoptMembers(state, entry, output);
    PersistBatch batch;
    batch.entries_.push_back(entry);
    persist(state, std::move(batch), output);
    for (const Member &member : members(state)) {
        if (member.id_ != state.settings_.self_.id_)
            sendAppend(state, now, member.id_, output);
    }
    return entry.index_;
}

bool startRead(ConsensusState &state, Instant now, std::uint64_t token, ConsensusOutput &output)
{
    if (state.role_ != MemberRole::Leader)
        return false;
    state.pendingReads_.push_back(PendingRead{token, state.heartbeatRound_ + 1});
    broadcast(state, now, output);
    confirmLeadership(state, output);
    return true;
}

bool isSnapshotDue(const ConsensusState &state)
{
    return state.appliedIndex_ >= state.snapshotIndex_ + state.settings_.snapshotEntries_
        || state.appliedSize_ >= std::max(state.settings_.snapshotBytes_, state.snapshotSize_);
}

void compact(ConsensusState &state, Snapshot snapshot, ConsensusOutput &output)
{
    snapshot.cluster_ = state.hardState_.cluster_;
    snapshot.lastIndex_ = state.appliedIndex_;
    snapshot.lastTerm_ = termAt(state, state.appliedIndex_).value_or(0);
    storeAppliedMembers(state, snapshot);
    state.snapshotIndex_ = snapshot.lastIndex_;
    state.snapshotSize_ = memorySize(snapshot);
    state.appliedSize_ = 0;
    const std::uint64_t newBase = firstKeptIndex(state) - 1;
    if (newBase > state.baseIndex_) {
        state.baseTerm_ = termAt(state, newBase).value_or(0);
        state.log_.erase(state.log_.begin(),
                         state.log_.begin()
                             + static_cast<std::ptrdiff_t>(newBase - state.baseIndex_));
        state.baseIndex_ = newBase;
    }
    PersistBatch batch;
    batch.snapshot_ = std::move(snapshot);
    persist(state, std::move(batch), output);
}

void sendSnapshot(ConsensusState &state, Instant now, std::uint64_t member, Snapshot snapshot,
                  ConsensusOutput &output)
{
    snapshot.cluster_ = state.hardState_.cluster_;
    snapshot.lastIndex_ = state.appliedIndex_;
    snapshot.lastTerm_ = termAt(state, state.appliedIndex_).value_or(0);
    storeAppliedMembers(state, snapshot);
    Progress &progress = state.progress_[member];
    progress.lastSnapshotSent_ = now;
    addDecisionLine(output, state,
                    "send=snapshot to=" + memberText(state, member)
                        + " index=" + std::to_string(snapshot.lastIndex_));
    InstallSnapshot install;
    install.term_ = state.hardState_.term_;
    install.leader_ = state.settings_.self_.id_;
    install.snapshot_ = std::move(snapshot);
    sendNow(state, member, std::move(install), output);
}

bool transferLeadership(ConsensusState &state, Instant now, ConsensusOutput &output)
{
    if (state.role_ != MemberRole::Leader)
        return false;
    const Progress *best = nullptr;
    std::uint64_t target = 0;
    for (const Member &member : members(state)) {
        if (!member.voter_ || member.id_ == state.settings_.self_.id_)
            continue;
        const Progress &progress = state.progress_[member.id_];
        if (progress.matchIndex_ < lastIndex(state))
            continue;
        if (best && progress.lastHeard_ <= best->lastHeard_)
            continue;
        best = &progress;
        target = member.id_;
    }
    if (!best)
        return false;
    addDecisionLine(output, state, "transfer_to=" + memberText(state, target));
    state.transferringLeadership_ = true;
    state.transferStartedAt_ = now;
    TimeoutNow request;
    request.cluster_ = state.hardState_.cluster_;
    request.term_ = state.hardState_.term_;
    sendNow(state, target, request, output);
    return true;
}

void stepDown(ConsensusState &state, Instant now, const std::string &reason,
              ConsensusOutput &output)
{
    if (state.role_ != MemberRole::Leader)
        return;
    addDecisionLine(output, state, "step_down=" + reason);
    applyTrigger(state, MemberTrigger::QuorumLost, output);
    state.leaderId_ = 0;
    failReads(state, output);
    resetElectionTimer(state, now);
}

} // namespace chervilspring
