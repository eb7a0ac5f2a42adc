#include "chervilspring/detail/control/consensus.hpp"

#include "chervilspring/detail/control/membership.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr std::size_t maxEntriesPerMessage = 128;
constexpr int heartbeatsPerTimeout = 6;
constexpr auto joinInterval = milliseconds(300);
constexpr auto planInterval = milliseconds(100);
constexpr auto snapshotRetry = seconds(2);

std::string memberText(const ConsensusState &state, std::uint64_t id)
{
    const Member *member = findMember(state, id);
    return member ? member->name_ : std::to_string(id);
}

void decide(ConsensusOutput &output, const ConsensusState &state, const std::string &text)
{
    output.decisions_.push_back("decision=consensus member=" + state.settings_.self_.name_
                                + " term=" + std::to_string(state.hard_.term_) + " " + text);
}

bool change(ConsensusState &state, MemberTrigger trigger, ConsensusOutput &output)
{
    const auto next = nextRole(state.role_, trigger);
    if (!next)
        return false;
    if (*next != state.role_)
        decide(output, state,
               "role=" + std::string(boost::describe::enum_to_string(*next, "?"))
                   + " was=" + boost::describe::enum_to_string(state.role_, "?"));
    state.role_ = *next;
    return true;
}

bool isVoter(const ConsensusState &state, std::uint64_t id)
{
    const Member *member = findMember(state, id);
    return member && member->voter_;
}

std::size_t voterCount(const ConsensusState &state)
{
    const auto &list = members(state);
    return static_cast<std::size_t>(
        std::count_if(list.begin(), list.end(), [](const Member &m) { return m.voter_; }));
}

std::size_t quorum(const ConsensusState &state)
{
    return voterCount(state) / 2 + 1;
}

std::uint64_t lastTerm(const ConsensusState &state)
{
    return state.log_.empty() ? state.baseTerm_ : state.log_.back().term_;
}

// Writes a batch and returns nothing: messages sent later wait for its sync.
void persist(ConsensusState &state, PersistBatch batch, ConsensusOutput &output)
{
    batch.sequence_ = ++state.persistSequence_;
    state.unsynced_.emplace_back(batch.sequence_, lastIndex(state));
    output.batches_.push_back(std::move(batch));
}

void persistHardState(ConsensusState &state, ConsensusOutput &output)
{
    PersistBatch batch;
    batch.hardState_ = state.hard_;
    persist(state, std::move(batch), output);
}

void sendNow(const ConsensusState &state, std::uint64_t member, Message message,
             ConsensusOutput &output)
{
    const Member *target = findMember(state, member);
    if (!target || target->id_ == state.settings_.self_.id_)
        return;
    const auto join = state.joins_.find(target->name_);
    const bool otherDisk = join != state.joins_.end() && join->second.member_.id_ != member;
    if (!otherDisk)
        output.messages_.emplace_back(target->name_, std::move(message));
}

// Sends once everything handed to persist() so far is on disk.
void sendAfterSync(ConsensusState &state, const std::string &name, Message message,
                   ConsensusOutput &output)
{
    if (state.persistSequence_ == state.syncedSequence_) {
        output.messages_.emplace_back(name, std::move(message));
        return;
    }
    state.held_.push_back(HeldMessage{state.persistSequence_, name, std::move(message)});
}

void resetElectionTimer(ConsensusState &state, Instant now)
{
    const nanoseconds timeout = state.settings_.electionTimeout_;
    std::uniform_int_distribution<std::int64_t> spread(0, timeout.count());
    state.electionAt_ = now + timeout + nanoseconds(spread(state.random_));
}

void failReads(ConsensusState &state, ConsensusOutput &output)
{
    for (const PendingRead &read : state.reads_)
        output.readsFailed_.push_back(read.token_);
    state.reads_.clear();
}

void adoptRoleFromMembers(ConsensusState &state, ConsensusOutput &output)
{
    if (isVoter(state, state.settings_.self_.id_))
        change(state, MemberTrigger::Promoted, output);
    else
        change(state, MemberTrigger::Demoted, output);
}

void becomeFollower(ConsensusState &state, Instant now, std::uint64_t term, std::uint64_t leader,
                    ConsensusOutput &output)
{
    if (state.role_ != MemberRole::Learner)
        change(state, MemberTrigger::LeaderSeen, output);
    failReads(state, output);
    if (leader != 0 && state.leader_ != leader)
        decide(output, state, "leader=" + memberText(state, leader));
    state.leader_ = leader;
    state.transferring_ = false;
    if (term > state.hard_.term_) {
        state.hard_.term_ = term;
        state.hard_.vote_ = 0;
        persistHardState(state, output);
    }
    resetElectionTimer(state, now);
}

void noteMembers(ConsensusState &state, const LogEntry &entry, ConsensusOutput &output)
{
    const auto *list = std::get_if<ChangeMembers>(&entry.command_);
    if (!list)
        return;
    state.memberLists_.push_back(MemberList{entry.index_, list->members_});
    adoptRoleFromMembers(state, output);
}

void forgetMembersFrom(ConsensusState &state, std::uint64_t index, ConsensusOutput &output)
{
    while (state.memberLists_.size() > 1 && state.memberLists_.back().index_ >= index)
        state.memberLists_.pop_back();
    adoptRoleFromMembers(state, output);
}

void commitUpTo(ConsensusState &state, std::uint64_t index, ConsensusOutput &output)
{
    state.commit_ = std::max(state.commit_, std::min(index, lastIndex(state)));
    while (state.applied_ < state.commit_) {
        ++state.applied_;
        const LogEntry &entry = state.log_[state.applied_ - state.baseIndex_ - 1];
        // A repair has several steps; the next one follows at once.
        if (std::holds_alternative<ChangeMembers>(entry.command_))
            state.planAt_ = Instant{};
        output.committed_.push_back(entry);
    }
}

AppendRequest makeAppend(const ConsensusState &state, std::uint64_t previous)
{
    AppendRequest request;
    request.cluster_ = state.hard_.cluster_;
    request.term_ = state.hard_.term_;
    request.leader_ = state.settings_.self_.id_;
    request.previousIndex_ = previous;
    request.previousTerm_ = termAt(state, previous).value_or(0);
    request.commit_ = state.commit_;
    request.round_ = state.round_;
    return request;
}

void sendAppend(ConsensusState &state, Instant now, std::uint64_t member, ConsensusOutput &output)
{
    Progress &progress = state.progress_[member];
    if (progress.next_ <= state.baseIndex_) {
        if (now - progress.snapshotSent_ >= snapshotRetry)
            output.wantSnapshot_.push_back(member);
        // An empty request at the base still confirms the leadership.
        sendNow(state, member, makeAppend(state, state.baseIndex_), output);
        return;
    }
    AppendRequest request = makeAppend(state, progress.next_ - 1);
    while (progress.next_ <= lastIndex(state) && request.entries_.size() < maxEntriesPerMessage) {
        request.entries_.push_back(state.log_[progress.next_ - state.baseIndex_ - 1]);
        ++progress.next_;
    }
    sendNow(state, member, std::move(request), output);
}

void broadcast(ConsensusState &state, Instant now, ConsensusOutput &output)
{
    ++state.round_;
    state.roundSent_.emplace_back(state.round_, now);
    state.heartbeatAt_ = now + state.settings_.electionTimeout_ / heartbeatsPerTimeout;
    for (const Member &member : members(state)) {
        if (member.id_ == state.settings_.self_.id_)
            continue;
        sendAppend(state, now, member.id_, output);
    }
}

// The value that at least a quorum of the voters has reached.
template<typename Value>
std::uint64_t quorumValue(const ConsensusState &state, std::uint64_t own, Value value)
{
    std::vector<std::uint64_t> values;
    for (const Member &member : members(state)) {
        if (!member.voter_)
            continue;
        const auto found = state.progress_.find(member.id_);
        if (member.id_ == state.settings_.self_.id_)
            values.push_back(own);
        else
            values.push_back(found == state.progress_.end() ? 0 : value(found->second));
    }
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[quorum(state) - 1];
}

void advanceCommit(ConsensusState &state, ConsensusOutput &output)
{
    const std::uint64_t index =
        quorumValue(state, state.syncedIndex_, [](const Progress &p) { return p.match_; });
    // Only entries of the own term are committed by counting.
    if (index > state.commit_ && termAt(state, index) == state.hard_.term_)
        commitUpTo(state, index, output);
}

void finishReads(ConsensusState &state, std::uint64_t confirmedRound, ConsensusOutput &output)
{
    if (state.commit_ < state.termStart_)
        return;
    std::erase_if(state.reads_, [&](const PendingRead &read) {
        if (read.round_ > confirmedRound)
            return false;
        output.readsDone_.push_back(read.token_);
        return true;
    });
}

void confirmLeadership(ConsensusState &state, ConsensusOutput &output)
{
    const std::uint64_t confirmed =
        quorumValue(state, state.round_, [](const Progress &p) { return p.ackedRound_; });
    while (!state.roundSent_.empty() && state.roundSent_.front().first <= confirmed) {
        state.quorumContact_ = std::max(state.quorumContact_, state.roundSent_.front().second);
        state.roundSent_.pop_front();
    }
    finishReads(state, confirmed, output);
}

void becomeLeader(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output)
{
    change(state, MemberTrigger::ElectionWon, output);
    state.leader_ = state.settings_.self_.id_;
    state.transferring_ = false;
    state.progress_.clear();
    state.roundSent_.clear();
    state.quorumContact_ = now;
    state.heartbeatAt_ = now;
    for (const Member &member : members(state))
        state.progress_[member.id_] = Progress{lastIndex(state) + 1, 0, 0, now, Instant{}};
    state.termStart_ = lastIndex(state) + 1;
    append(state, now, wall, Noop{state.hard_.term_}, output);
}

void requestVotes(ConsensusState &state, bool pre, bool transfer, ConsensusOutput &output)
{
    VoteRequest request;
    request.cluster_ = state.hard_.cluster_;
    request.term_ = state.hard_.term_ + (pre ? 1 : 0);
    request.candidate_ = state.settings_.self_.id_;
    request.lastIndex_ = lastIndex(state);
    request.lastTerm_ = lastTerm(state);
    request.pre_ = pre;
    request.transfer_ = transfer;
    state.votes_ = {request.candidate_};
    for (const Member &member : members(state)) {
        if (!member.voter_ || member.id_ == request.candidate_)
            continue;
        sendAfterSync(state, member.name_, request, output);
    }
}

void startElection(ConsensusState &state, Instant now, bool transfer, ConsensusOutput &output)
{
    change(state, MemberTrigger::PreVoteWon, output);
    ++state.hard_.term_;
    state.hard_.vote_ = state.settings_.self_.id_;
    persistHardState(state, output);
    state.candidacySequence_ = state.persistSequence_;
    resetElectionTimer(state, now);
    requestVotes(state, false, transfer, output);
}

bool hasMajority(const ConsensusState &state)
{
    const auto granted = static_cast<std::size_t>(
        std::count_if(state.votes_.begin(), state.votes_.end(),
                      [&](std::uint64_t id) { return isVoter(state, id); }));
    return granted >= quorum(state);
}

void countVotes(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output)
{
    if (!hasMajority(state))
        return;
    if (state.role_ == MemberRole::PreCandidate)
        startElection(state, now, false, output);
    // The own vote counts once it is on disk.
    const bool ownVoteStored = state.syncedSequence_ >= state.candidacySequence_;
    if (state.role_ == MemberRole::Candidate && ownVoteStored && hasMajority(state))
        becomeLeader(state, now, wall, output);
}

void startPreVote(ConsensusState &state, Instant now, ConsensusOutput &output)
{
    if (!change(state, MemberTrigger::ElectionTimeout, output))
        return;
    state.leader_ = 0;
    resetElectionTimer(state, now);
    requestVotes(state, true, false, output);
}

bool hearsLeader(const ConsensusState &state, Instant now)
{
    if (state.role_ == MemberRole::Leader)
        return true;
    return state.leader_ != 0 && now - state.lastLeaderContact_ < state.settings_.electionTimeout_;
}

bool upToDate(const ConsensusState &state, const VoteRequest &request)
{
    if (request.lastTerm_ != lastTerm(state))
        return request.lastTerm_ > lastTerm(state);
    return request.lastIndex_ >= lastIndex(state);
}

bool sameCluster(const ConsensusState &state, std::uint64_t cluster)
{
    return state.hard_.cluster_ == cluster || state.hard_.cluster_ == 0;
}

void onVoteRequest(ConsensusState &state, Instant now, const std::string &from,
                   const VoteRequest &request, ConsensusOutput &output)
{
    if (!sameCluster(state, request.cluster_))
        return;
    if (hearsLeader(state, now) && !request.transfer_)
        return;
    VoteReply reply;
    reply.cluster_ = request.cluster_;
    reply.voter_ = state.settings_.self_.id_;
    reply.pre_ = request.pre_;
    if (request.pre_) {
        reply.term_ = request.term_;
        reply.granted_ = request.term_ > state.hard_.term_ && upToDate(state, request);
        if (!reply.granted_)
            reply.term_ = state.hard_.term_;
        sendAfterSync(state, from, reply, output);
        return;
    }
    if (request.term_ > state.hard_.term_)
        becomeFollower(state, now, request.term_, 0, output);
    const bool free = state.hard_.vote_ == 0 || state.hard_.vote_ == request.candidate_;
    reply.term_ = state.hard_.term_;
    reply.granted_ = request.term_ == state.hard_.term_ && free && upToDate(state, request);
    if (reply.granted_) {
        state.hard_.vote_ = request.candidate_;
        state.hard_.cluster_ = request.cluster_;
        persistHardState(state, output);
        resetElectionTimer(state, now);
    }
    sendAfterSync(state, from, reply, output);
}

void onVoteReply(ConsensusState &state, Instant now, const VoteReply &reply,
                 ConsensusOutput &output)
{
    if (reply.cluster_ != state.hard_.cluster_)
        return;
    if (!reply.granted_) {
        if (reply.term_ > state.hard_.term_)
            becomeFollower(state, now, reply.term_, 0, output);
        return;
    }
    const bool preVote = reply.pre_ && state.role_ == MemberRole::PreCandidate
        && reply.term_ == state.hard_.term_ + 1;
    const bool vote =
        !reply.pre_ && state.role_ == MemberRole::Candidate && reply.term_ == state.hard_.term_;
    if (!preVote && !vote)
        return;
    state.votes_.insert(reply.voter_);
    countVotes(state, now, WallTime{}, output);
}

AppendReply makeAppendReply(const ConsensusState &state, const AppendRequest &request)
{
    AppendReply reply;
    reply.cluster_ = request.cluster_;
    reply.term_ = state.hard_.term_;
    reply.member_ = state.settings_.self_.id_;
    reply.round_ = request.round_;
    return reply;
}

// Index from which the leader should try again after a mismatch.
std::uint64_t mismatchHint(const ConsensusState &state, std::uint64_t previous)
{
    if (previous > lastIndex(state))
        return lastIndex(state);
    const auto conflicting = termAt(state, previous);
    std::uint64_t index = previous;
    while (index > state.commit_ && termAt(state, index) == conflicting)
        --index;
    return index;
}

void storeEntries(ConsensusState &state, const AppendRequest &request, ConsensusOutput &output)
{
    PersistBatch batch;
    for (const LogEntry &entry : request.entries_) {
        if (entry.index_ <= state.baseIndex_ || entry.index_ <= state.commit_)
            continue;
        if (termAt(state, entry.index_) == entry.term_)
            continue;
        if (entry.index_ <= lastIndex(state)) {
            batch.truncateFrom_ = entry.index_;
            state.log_.resize(entry.index_ - state.baseIndex_ - 1);
            state.syncedIndex_ = std::min(state.syncedIndex_, entry.index_ - 1);
            for (auto &[sequence, index] : state.unsynced_)
                index = std::min(index, entry.index_ - 1);
            forgetMembersFrom(state, entry.index_, output);
        }
        state.log_.push_back(entry);
        batch.entries_.push_back(entry);
        noteMembers(state, entry, output);
    }
    if (!batch.entries_.empty())
        persist(state, std::move(batch), output);
}

void onAppendRequest(ConsensusState &state, Instant now, const std::string &from,
                     const AppendRequest &request, ConsensusOutput &output)
{
    if (!sameCluster(state, request.cluster_))
        return;
    AppendReply reply = makeAppendReply(state, request);
    if (request.term_ < state.hard_.term_) {
        sendAfterSync(state, from, reply, output);
        return;
    }
    if (state.hard_.cluster_ == 0) {
        state.hard_.cluster_ = request.cluster_;
        persistHardState(state, output);
    }
    becomeFollower(state, now, request.term_, request.leader_, output);
    state.lastLeaderContact_ = now;
    reply.term_ = state.hard_.term_;
    const bool covered = request.previousIndex_ <= state.commit_;
    if (!covered && termAt(state, request.previousIndex_) != request.previousTerm_) {
        reply.match_ = mismatchHint(state, request.previousIndex_);
        sendAfterSync(state, from, reply, output);
        return;
    }
    storeEntries(state, request, output);
    reply.success_ = true;
    reply.match_ = request.previousIndex_ + request.entries_.size();
    if (reply.match_ <= lastIndex(state))
        commitUpTo(state, std::min(request.commit_, reply.match_), output);
    sendAfterSync(state, from, reply, output);
}

void onAppendReply(ConsensusState &state, Instant now, const AppendReply &reply,
                   ConsensusOutput &output)
{
    if (reply.cluster_ != state.hard_.cluster_)
        return;
    if (reply.term_ > state.hard_.term_) {
        becomeFollower(state, now, reply.term_, 0, output);
        return;
    }
    if (state.role_ != MemberRole::Leader || reply.term_ != state.hard_.term_)
        return;
    const auto found = state.progress_.find(reply.member_);
    if (found == state.progress_.end())
        return;
    Progress &progress = found->second;
    progress.lastHeard_ = now;
    progress.ackedRound_ = std::max(progress.ackedRound_, reply.round_);
    if (reply.success_) {
        progress.match_ = std::max(progress.match_, reply.match_);
        progress.next_ = std::max(progress.next_, progress.match_ + 1);
        advanceCommit(state, output);
    } else {
        progress.next_ = std::max(progress.match_, reply.match_) + 1;
    }
    confirmLeadership(state, output);
    if (progress.next_ <= lastIndex(state) && progress.next_ > state.baseIndex_)
        sendAppend(state, now, reply.member_, output);
}

void onInstallSnapshot(ConsensusState &state, Instant now, const std::string &from,
                       const InstallSnapshot &install, ConsensusOutput &output)
{
    const Snapshot &snapshot = install.snapshot_;
    if (!sameCluster(state, snapshot.cluster_) || install.term_ < state.hard_.term_)
        return;
    becomeFollower(state, now, install.term_, install.leader_, output);
    state.lastLeaderContact_ = now;
    const bool inLog = termAt(state, snapshot.lastIndex_) == snapshot.lastTerm_;
    if (inLog) {
        // Entries behind the snapshot may already count for a commit: keep them.
        commitUpTo(state, snapshot.lastIndex_, output);
    } else if (snapshot.lastIndex_ > state.commit_) {
        state.hard_.cluster_ = snapshot.cluster_;
        state.log_.clear();
        state.baseIndex_ = state.snapshotIndex_ = snapshot.lastIndex_;
        state.baseTerm_ = snapshot.lastTerm_;
        state.commit_ = state.applied_ = snapshot.lastIndex_;
        state.unsynced_.clear();
        state.syncedIndex_ = 0;
        state.memberLists_ = {MemberList{snapshot.lastIndex_, snapshot.members_}};
        adoptRoleFromMembers(state, output);
        decide(output, state, "restored=snapshot index=" + std::to_string(snapshot.lastIndex_));
        PersistBatch batch;
        batch.hardState_ = state.hard_;
        batch.truncateFrom_ = 1;
        batch.snapshot_ = snapshot;
        persist(state, std::move(batch), output);
        output.restored_ = snapshot;
    }
    AppendReply reply;
    reply.cluster_ = state.hard_.cluster_;
    reply.term_ = state.hard_.term_;
    reply.member_ = state.settings_.self_.id_;
    reply.success_ = true;
    reply.match_ = snapshot.lastIndex_;
    sendAfterSync(state, from, reply, output);
}

void onTimeoutNow(ConsensusState &state, Instant now, const TimeoutNow &order,
                  ConsensusOutput &output)
{
    if (order.cluster_ != state.hard_.cluster_ || order.term_ != state.hard_.term_)
        return;
    if (!change(state, MemberTrigger::ElectionTimeout, output))
        return;
    startElection(state, now, true, output);
}

void onJoin(ConsensusState &state, Instant now, const std::string &from, const Join &join)
{
    state.joins_[from] = join;
    state.joinHeard_[from] = now;
}

Join ownJoin(const ConsensusState &state)
{
    return Join{state.hard_.cluster_, state.settings_.self_};
}

void announceSelf(ConsensusState &state, Instant now, ConsensusOutput &output)
{
    onJoin(state, now, state.settings_.self_.name_, ownJoin(state));
    for (const std::string &name : state.settings_.controlNames_) {
        if (name != state.settings_.self_.name_)
            output.messages_.emplace_back(name, ownJoin(state));
    }
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
            [&](const Join &m) { onJoin(state, now, from, m); },
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
