#include "chervilspring/detail/control/consensus_steps.hpp"

#include "chervilspring/detail/control/membership.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr auto joinInterval = milliseconds(300);
constexpr auto planInterval = milliseconds(100);

void noteJoin(ConsensusState &state, Instant now, const std::string &from, const Join &join)
{
    state.joins_[from] = join;
    state.joinHeard_[from] = now;
}

std::string leaderName(const ConsensusState &state)
{
    const Member *leader = findMember(state, state.leader_);
    return leader ? leader->name_ : std::string();
}

Join ownJoin(const ConsensusState &state)
{
    return Join{state.hard_.cluster_, state.settings_.self_, leaderName(state)};
}

bool isMemberName(const ConsensusState &state, const std::string &name)
{
    const auto &list = members(state);
    return std::any_of(list.begin(), list.end(),
                       [&](const Member &member) { return member.name_ == name; });
}

void onJoin(ConsensusState &state, Instant now, const std::string &from, const Join &join,
            ConsensusOutput &output)
{
    noteJoin(state, now, from, join);
    if (!state.settings_.openMembership_)
        return;
    if (!join.leader_.empty())
        state.leaderHint_ = join.leader_;
    // A process that is told of few others has to learn from one of them who leads.
    const bool stranger = !isMemberName(state, from);
    if (stranger && state.role_ != MemberRole::Leader && !leaderName(state).empty())
        output.messages_.emplace_back(from, ownJoin(state));
}

std::set<std::string> announceTargets(const ConsensusState &state)
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

void announceSelf(ConsensusState &state, Instant now, ConsensusOutput &output)
{
    noteJoin(state, now, state.settings_.self_.name_, ownJoin(state));
    for (const std::string &name : announceTargets(state))
        output.messages_.emplace_back(name, ownJoin(state));
}

void bootstrap(ConsensusState &state, Instant now, ConsensusOutput &output)
{
    const auto snapshot = planBootstrap(state);
    if (!snapshot)
        return;
    decide(output, state, "bootstrap=" + std::to_string(snapshot->members_.size()) + "_voters");
    state.hard_.cluster_ = snapshot->cluster_;
    state.baseIndex_ = state.snapshotIndex_ = state.commit_ = state.applied_ = snapshot->lastIndex_;
    state.baseTerm_ = snapshot->lastTerm_;
    state.memberLists_ = {MemberList{snapshot->lastIndex_, snapshot->members_}};
    PersistBatch batch;
    batch.hardState_ = state.hard_;
    batch.snapshot_ = *snapshot;
    persist(state, std::move(batch), output);
    output.restored_ = *snapshot;
    adoptRoleFromMembers(state, output);
    resetElectionTimer(state, now);
}

void leaderTick(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output)
{
    if (voterCount(state) == 1)
        state.quorumContact_ = now;
    if (now - state.quorumContact_ > state.settings_.electionTimeout_) {
        decide(output, state, "step_down=quorum_silent");
        change(state, MemberTrigger::QuorumLost, output);
        state.leader_ = 0;
        failReads(state, output);
        resetElectionTimer(state, now);
        return;
    }
    if (now >= state.heartbeatAt_) {
        broadcast(state, now, output);
        confirmLeadership(state, output);
    }
    if (now < state.planAt_)
        return;
    state.planAt_ = now + planInterval;
    const auto plan = planMembership(state, now);
    if (!plan)
        return;
    decide(output, state, "membership=" + plan->reason_);
    append(state, now, wall, ChangeMembers{plan->members_}, output);
}

} // namespace

const std::vector<Member> &members(const ConsensusState &state)
{
    static const std::vector<Member> none;
    return state.memberLists_.empty() ? none : state.memberLists_.back().members_;
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
    return state.role_ == MemberRole::Leader && state.commit_ >= state.termStart_;
}

std::optional<nanoseconds> lag(const ConsensusState &state, Instant now)
{
    if (leads(state))
        return now - state.quorumContact_;
    if (state.leader_ == 0 || state.lastLeaderContact_ == Instant{})
        return std::nullopt;
    // A leader without a quorum goes on for one election timeout at most.
    return now - state.lastLeaderContact_ + state.settings_.electionTimeout_;
}

ConsensusState makeConsensus(const ConsensusSettings &settings, const LoadedState &loaded,
                             Instant now)
{
    ConsensusState state;
    state.settings_ = settings;
    state.random_.seed(settings.seed_);
    state.hard_ = loaded.hardState_;
    if (loaded.snapshot_) {
        state.baseIndex_ = state.snapshotIndex_ = loaded.snapshot_->lastIndex_;
        state.baseTerm_ = loaded.snapshot_->lastTerm_;
        state.commit_ = state.applied_ = state.baseIndex_;
        state.memberLists_.push_back(MemberList{state.baseIndex_, loaded.snapshot_->members_});
    }
    state.log_.assign(loaded.entries_.begin(), loaded.entries_.end());
    state.syncedIndex_ = lastIndex(state);
    ConsensusOutput ignored;
    for (const LogEntry &entry : state.log_)
        noteMembers(state, entry, ignored);
    adoptRoleFromMembers(state, ignored);
    resetElectionTimer(state, now);
    state.heartbeatAt_ = now;
    return state;
}

Instant nextWake(const ConsensusState &state)
{
    if (state.role_ == MemberRole::Leader)
        return std::min(state.heartbeatAt_, state.planAt_);
    return std::min(state.electionAt_, state.heartbeatAt_);
}

void tick(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output)
{
    if (now >= state.heartbeatAt_ && state.role_ != MemberRole::Leader) {
        state.heartbeatAt_ = now + joinInterval;
        announceSelf(state, now, output);
        bootstrap(state, now, output);
    }
    if (state.role_ == MemberRole::Leader) {
        leaderTick(state, now, wall, output);
        return;
    }
    if (now < state.electionAt_)
        return;
    if (state.role_ == MemberRole::Learner) {
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

void synced(ConsensusState &state, Instant now, std::uint64_t sequence, ConsensusOutput &output)
{
    state.syncedSequence_ = std::max(state.syncedSequence_, sequence);
    while (!state.unsynced_.empty() && state.unsynced_.front().first <= sequence) {
        state.syncedIndex_ = std::max(state.syncedIndex_, state.unsynced_.front().second);
        state.unsynced_.pop_front();
    }
    while (!state.held_.empty() && state.held_.front().sequence_ <= sequence) {
        HeldMessage held = std::move(state.held_.front());
        state.held_.pop_front();
        output.messages_.emplace_back(std::move(held.peer_), std::move(held.message_));
    }
    if (state.role_ == MemberRole::Leader)
        advanceCommit(state, output);
    if (state.role_ == MemberRole::Candidate)
        countVotes(state, now, WallTime{}, output);
}

std::optional<std::uint64_t> append(ConsensusState &state, Instant now, WallTime wall,
                                    const Command &command, ConsensusOutput &output)
{
    if (state.role_ != MemberRole::Leader || state.transferring_)
        return std::nullopt;
    LogEntry entry;
    entry.index_ = lastIndex(state) + 1;
    entry.term_ = state.hard_.term_;
    entry.time_ = wall;
    entry.command_ = command;
    state.log_.push_back(entry);
    noteMembers(state, entry, output);
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
    state.reads_.push_back(PendingRead{token, state.round_ + 1});
    broadcast(state, now, output);
    confirmLeadership(state, output);
    return true;
}

void compact(ConsensusState &state, Snapshot snapshot, ConsensusOutput &output)
{
    snapshot.cluster_ = state.hard_.cluster_;
    snapshot.lastIndex_ = state.applied_;
    snapshot.lastTerm_ = termAt(state, state.applied_).value_or(0);
    const MemberList *inForce = &state.memberLists_.front();
    for (const MemberList &list : state.memberLists_) {
        if (list.index_ <= state.applied_)
            inForce = &list;
    }
    snapshot.members_ = inForce->members_;
    state.snapshotIndex_ = snapshot.lastIndex_;
    // Entries behind the snapshot stay in memory for members that lag a little.
    const std::uint64_t keep = state.settings_.snapshotEntries_ / 2;
    const std::uint64_t newBase = state.applied_ > keep ? state.applied_ - keep : 0;
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
    snapshot.cluster_ = state.hard_.cluster_;
    snapshot.lastIndex_ = state.applied_;
    snapshot.lastTerm_ = termAt(state, state.applied_).value_or(0);
    for (const MemberList &list : state.memberLists_) {
        if (list.index_ <= state.applied_)
            snapshot.members_ = list.members_;
    }
    Progress &progress = state.progress_[member];
    progress.snapshotSent_ = now;
    decide(output, state,
           "send=snapshot to=" + memberText(state, member)
               + " index=" + std::to_string(snapshot.lastIndex_));
    InstallSnapshot install;
    install.term_ = state.hard_.term_;
    install.leader_ = state.settings_.self_.id_;
    install.snapshot_ = std::move(snapshot);
    sendNow(state, member, std::move(install), output);
}

bool transferLeadership(ConsensusState &state, ConsensusOutput &output)
{
    if (state.role_ != MemberRole::Leader)
        return false;
    const Progress *best = nullptr;
    std::uint64_t target = 0;
    for (const Member &member : members(state)) {
        if (!member.voter_ || member.id_ == state.settings_.self_.id_)
            continue;
        const Progress &progress = state.progress_[member.id_];
        if (best && progress.match_ <= best->match_)
            continue;
        best = &progress;
        target = member.id_;
    }
    if (!best || best->match_ < lastIndex(state))
        return false;
    decide(output, state, "transfer_to=" + memberText(state, target));
    state.transferring_ = true;
    TimeoutNow order;
    order.cluster_ = state.hard_.cluster_;
    order.term_ = state.hard_.term_;
    sendNow(state, target, order, output);
    return true;
}

} // namespace chervilspring
