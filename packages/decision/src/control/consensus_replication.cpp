#include "chervilspring/detail/control/consensus_steps.hpp"

#include "chervilspring/detail/control/membership.hpp"
#include "chervilspring/memory_size.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr std::size_t maxEntriesPerMessage = 128;
// Bytes of text in the entries of a message, unless a single entry has more. Encoded, a message is
// larger, but stays below the limit of a frame.
constexpr std::size_t maxTextBytesPerMessage = 1u << 20;
constexpr int heartbeatsPerTimeout = 6;
constexpr auto snapshotRetryInterval = seconds(2);

// Returns the bytes of the part of an entry that may be long.
std::size_t textBytes(const LogEntry &entry)
{
    return std::visit(
        [](const auto &command) -> std::size_t {
            if constexpr (requires { command.document_; })
                return command.document_.size();
            else if constexpr (requires { command.body_; })
                return command.body_.size();
            else
                return 0;
        },
        entry.command_);
}

AppendRequest makeAppend(const ConsensusState &state, std::uint64_t previous)
{
    AppendRequest request;
    request.cluster_ = state.hardState_.cluster_;
    request.term_ = state.hardState_.term_;
    request.leader_ = state.settings_.self_.id_;
    request.previousIndex_ = previous;
    request.previousTerm_ = termAt(state, previous).value_or(0);
    request.commit_ = state.commitIndex_;
    request.round_ = state.heartbeatRound_;
    return request;
}

} // namespace

void sendAppend(ConsensusState &state, Instant now, std::uint64_t member, ConsensusOutput &output)
{
    Progress &progress = state.progress_[member];
    if (progress.nextIndex_ <= state.baseIndex_) {
        if (now - progress.lastSnapshotSent_ >= snapshotRetryInterval)
            output.snapshotTargets_.push_back(member);
        // An empty request still serves as a heartbeat, so that the reply confirms the leadership.
        sendNow(state, member, makeAppend(state, state.baseIndex_), output);
        return;
    }
    AppendRequest request = makeAppend(state, progress.nextIndex_ - 1);
    std::size_t bytes = 0;
    while (progress.nextIndex_ <= lastIndex(state)
           && request.entries_.size() < maxEntriesPerMessage) {
        const LogEntry &entry = state.log_[progress.nextIndex_ - state.baseIndex_ - 1];
        bytes += textBytes(entry);
        if (!request.entries_.empty() && bytes > maxTextBytesPerMessage)
            break;
        request.entries_.push_back(entry);
        ++progress.nextIndex_;
    }
    sendNow(state, member, std::move(request), output);
}

void broadcast(ConsensusState &state, Instant now, ConsensusOutput &output)
{
    ++state.heartbeatRound_;
    state.roundSendTimes_.emplace_back(state.heartbeatRound_, now);
    state.nextHeartbeat_ = now + state.settings_.electionTimeout_ / heartbeatsPerTimeout;
    for (const Member &member : members(state)) {
        if (member.id_ == state.settings_.self_.id_)
            continue;
        sendAppend(state, now, member.id_, output);
    }
}

namespace {

// Returns the highest value that a quorum of the voters has reached.
// own: value of this member; value: callable that reads another member's value from its Progress
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

} // namespace

void advanceCommit(ConsensusState &state, ConsensusOutput &output)
{
    const std::uint64_t index =
        quorumValue(state, state.syncedIndex_, [](const Progress &p) { return p.matchIndex_; });
    // An entry of an older term may be overwritten although a quorum stores it. It is committed
    // only together with an entry of the current term (section 5.4.2 of the Raft paper).
    if (index > state.commitIndex_ && termAt(state, index) == state.hardState_.term_)
        commitUpTo(state, index, output);
}

namespace {

void finishReads(ConsensusState &state, std::uint64_t confirmedRound, ConsensusOutput &output)
{
    if (state.commitIndex_ < state.termStartIndex_)
        return;
    std::erase_if(state.pendingReads_, [&](const PendingRead &read) {
        if (read.round_ > confirmedRound)
            return false;
        output.confirmedReads_.push_back(read.token_);
        return true;
    });
}

} // namespace

void confirmLeadership(ConsensusState &state, ConsensusOutput &output)
{
    const std::uint64_t confirmed =
        quorumValue(state, state.heartbeatRound_, [](const Progress &p) { return p.ackedRound_; });
    while (!state.roundSendTimes_.empty() && state.roundSendTimes_.front().first <= confirmed) {
        state.lastQuorumContact_ =
            std::max(state.lastQuorumContact_, state.roundSendTimes_.front().second);
        state.roundSendTimes_.pop_front();
    }
    finishReads(state, confirmed, output);
}

namespace {

AppendReply makeAppendReply(const ConsensusState &state, const AppendRequest &request)
{
    AppendReply reply;
    reply.cluster_ = request.cluster_;
    reply.term_ = state.hardState_.term_;
    reply.member_ = state.settings_.self_.id_;
    reply.round_ = request.round_;
    return reply;
}

// Returns the index after which the leader should retry when previousIndex_ did not match. Skips
// the whole conflicting term, so that a divergent log costs one round trip per term instead of one
// per entry.
std::uint64_t conflictHint(const ConsensusState &state, std::uint64_t previous)
{
    if (previous > lastIndex(state))
        return lastIndex(state);
    const auto conflicting = termAt(state, previous);
    std::uint64_t index = previous;
    while (index > state.commitIndex_ && termAt(state, index) == conflicting)
        --index;
    return index;
}

void storeEntries(ConsensusState &state, const AppendRequest &request, ConsensusOutput &output)
{
    PersistBatch batch;
    for (const LogEntry &entry : request.entries_) {
        if (entry.index_ <= state.baseIndex_ || entry.index_ <= state.commitIndex_)
            continue;
        if (termAt(state, entry.index_) == entry.term_)
            continue;
        if (entry.index_ <= lastIndex(state)) {
            batch.truncateFrom_ = entry.index_;
            state.log_.resize(entry.index_ - state.baseIndex_ - 1);
            state.syncedIndex_ = std::min(state.syncedIndex_, entry.index_ - 1);
            for (auto &[sequence, index] : state.unsyncedBatches_)
                index = std::min(index, entry.index_ - 1);
            dropMembersFrom(state, entry.index_, output);
        }
        state.log_.push_back(entry);
        batch.entries_.push_back(entry);
        adoptMembers(state, entry, output);
    }
    if (!batch.entries_.empty())
        persist(state, std::move(batch), output);
}

} // namespace

void onAppendRequest(ConsensusState &state, Instant now, const std::string &from,
                     const AppendRequest &request, ConsensusOutput &output)
{
    if (!acceptsCluster(state, request.cluster_))
        return;
    AppendReply reply = makeAppendReply(state, request);
    if (request.term_ < state.hardState_.term_) {
        sendAfterSync(state, from, reply, output);
        return;
    }
    if (state.hardState_.cluster_ == 0) {
        state.hardState_.cluster_ = request.cluster_;
        persistHardState(state, output);
    }
    becomeFollower(state, now, request.term_, request.leader_, output);
    state.lastLeaderContact_ = now;
    reply.term_ = state.hardState_.term_;
    const bool isCommitted = request.previousIndex_ <= state.commitIndex_;
    if (!isCommitted && termAt(state, request.previousIndex_) != request.previousTerm_) {
        reply.match_ = conflictHint(state, request.previousIndex_);
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
    if (reply.cluster_ != state.hardState_.cluster_)
        return;
    if (reply.term_ > state.hardState_.term_) {
        becomeFollower(state, now, reply.term_, 0, output);
        return;
    }
    if (state.role_ != MemberRole::Leader || reply.term_ != state.hardState_.term_)
        return;
    const auto found = state.progress_.find(reply.member_);
    if (found == state.progress_.end())
        return;
    Progress &progress = found->second;
    progress.lastHeard_ = now;
    progress.ackedRound_ = std::max(progress.ackedRound_, reply.round_);
    if (reply.success_) {
        if (progress.caughtUpRound_ == 0)
            progress.caughtUpRound_ = state.heartbeatRound_ + 1;
        progress.matchIndex_ = std::max(progress.matchIndex_, reply.match_);
        progress.nextIndex_ = std::max(progress.nextIndex_, progress.matchIndex_ + 1);
        advanceCommit(state, output);
    } else {
        progress.nextIndex_ = std::max(progress.matchIndex_, reply.match_) + 1;
    }
    confirmLeadership(state, output);
    if (progress.nextIndex_ <= lastIndex(state) && progress.nextIndex_ > state.baseIndex_)
        sendAppend(state, now, reply.member_, output);
}

void onInstallSnapshot(ConsensusState &state, Instant now, const std::string &from,
                       const InstallSnapshot &install, ConsensusOutput &output)
{
    const Snapshot &snapshot = install.snapshot_;
    if (!acceptsCluster(state, snapshot.cluster_) || install.term_ < state.hardState_.term_)
        return;
    becomeFollower(state, now, install.term_, install.leader_, output);
    state.lastLeaderContact_ = now;
    const bool inLog = termAt(state, snapshot.lastIndex_) == snapshot.lastTerm_;
    if (inLog) {
        // The log has the snapshot's last entry. Keep the entries after it: this member may have
        // acknowledged them, and the leader may count them towards a commit.
        commitUpTo(state, snapshot.lastIndex_, output);
    } else if (snapshot.lastIndex_ > state.commitIndex_) {
        state.hardState_.cluster_ = snapshot.cluster_;
        state.log_.clear();
        state.baseIndex_ = state.snapshotIndex_ = snapshot.lastIndex_;
        state.baseTerm_ = snapshot.lastTerm_;
        state.snapshotSize_ = memorySize(snapshot);
        state.appliedSize_ = 0;
        state.commitIndex_ = state.appliedIndex_ = snapshot.lastIndex_;
        state.unsyncedBatches_.clear();
        state.syncedIndex_ = 0;
        state.memberLists_ = {memberListOf(snapshot)};
        adoptRoleFromMembers(state, output);
        addDecisionLine(output, state,
                        "restored=snapshot index=" + std::to_string(snapshot.lastIndex_));
        PersistBatch batch;
        batch.hardState_ = state.hardState_;
        batch.truncateFrom_ = 1;
        batch.snapshot_ = snapshot;
        persist(state, std::move(batch), output);
        output.restoredSnapshot_ = snapshot;
    }
    AppendReply reply;
    reply.cluster_ = state.hardState_.cluster_;
    reply.term_ = state.hardState_.term_;
    reply.member_ = state.settings_.self_.id_;
    reply.success_ = true;
    reply.match_ = snapshot.lastIndex_;
    sendAfterSync(state, from, reply, output);
}

} // namespace chervilspring
