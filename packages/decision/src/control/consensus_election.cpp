#include "chervilspring/detail/control/consensus_steps.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

void becomeLeader(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output)
{
    applyTrigger(state, MemberTrigger::ElectionWon, output);
    state.leaderId_ = state.settings_.self_.id_;
    state.transferringLeadership_ = false;
    state.progress_.clear();
    state.roundSendTimes_.clear();
    state.lastQuorumContact_ = now;
    state.nextHeartbeat_ = now;
    for (const Member &member : members(state))
        state.progress_[member.id_] =
            Progress{.nextIndex_ = lastIndex(state) + 1, .lastHeard_ = now};
    state.termStartIndex_ = lastIndex(state) + 1;
    append(state, now, wall, Noop{state.hardState_.term_}, output);
}

void requestVotes(ConsensusState &state, bool preVote, bool transfer, ConsensusOutput &output)
{
    VoteRequest request;
    request.cluster_ = state.hardState_.cluster_;
    request.term_ = state.hardState_.term_ + (preVote ? 1 : 0);
    request.candidate_ = state.settings_.self_.id_;
    request.lastIndex_ = lastIndex(state);
    request.lastTerm_ = lastTerm(state);
    request.pre_ = preVote;
    request.transfer_ = transfer;
    state.votes_ = {request.candidate_};
    for (const Member &member : members(state)) {
        if (!member.voter_ || member.id_ == request.candidate_)
            continue;
        sendAfterSync(state, member.name_, request, output);
    }
}

} // namespace

void startElection(ConsensusState &state, Instant now, bool transfer, ConsensusOutput &output)
{
    applyTrigger(state, MemberTrigger::PreVoteWon, output);
    ++state.hardState_.term_;
    state.hardState_.vote_ = state.settings_.self_.id_;
    persistHardState(state, output);
    state.ownVoteSequence_ = state.persistSequence_;
    resetElectionTimer(state, now);
    requestVotes(state, false, transfer, output);
}

namespace {

bool hasMajority(const ConsensusState &state)
{
    const auto granted = static_cast<std::size_t>(
        std::count_if(state.votes_.begin(), state.votes_.end(),
                      [&](std::uint64_t id) { return isVoter(state, id); }));
    return granted >= quorum(state);
}

} // namespace

void countVotes(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output)
{
    if (!hasMajority(state) || state.stopping_)
        return;
    if (state.role_ == MemberRole::PreCandidate)
        startElection(state, now, false, output);
    // The candidate's own vote counts only once it is durable.
    const bool ownVoteStored = state.syncedSequence_ >= state.ownVoteSequence_;
    if (state.role_ == MemberRole::Candidate && ownVoteStored && hasMajority(state))
        becomeLeader(state, now, wall, output);
}

void startPreVote(ConsensusState &state, Instant now, ConsensusOutput &output)
{
    if (!applyTrigger(state, MemberTrigger::ElectionTimeout, output))
        return;
    state.leaderId_ = 0;
    resetElectionTimer(state, now);
    requestVotes(state, true, false, output);
}

namespace {

bool hasLiveLeader(const ConsensusState &state, Instant now)
{
    if (state.role_ == MemberRole::Leader)
        return true;
    return state.leaderId_ != 0
        && now - state.lastLeaderContact_ < state.settings_.electionTimeout_;
}

bool isLogUpToDate(const ConsensusState &state, const VoteRequest &request)
{
    if (request.lastTerm_ != lastTerm(state))
        return request.lastTerm_ > lastTerm(state);
    return request.lastIndex_ >= lastIndex(state);
}

} // namespace

void onVoteRequest(ConsensusState &state, Instant now, const std::string &from,
                   const VoteRequest &request, ConsensusOutput &output)
{
    if (!acceptsCluster(state, request.cluster_))
        return;
    if (hasLiveLeader(state, now) && !request.transfer_)
        return;
    VoteReply reply;
    reply.cluster_ = request.cluster_;
    reply.voter_ = state.settings_.self_.id_;
    reply.pre_ = request.pre_;
    if (request.pre_) {
        reply.term_ = request.term_;
        reply.granted_ = request.term_ > state.hardState_.term_ && isLogUpToDate(state, request);
        if (!reply.granted_)
            reply.term_ = state.hardState_.term_;
        sendAfterSync(state, from, reply, output);
        return;
    }
    if (request.term_ > state.hardState_.term_)
        becomeFollower(state, now, request.term_, 0, output);
    const bool mayVote =
        state.hardState_.vote_ == 0 || state.hardState_.vote_ == request.candidate_;
    reply.term_ = state.hardState_.term_;
    reply.granted_ =
        request.term_ == state.hardState_.term_ && mayVote && isLogUpToDate(state, request);
    if (reply.granted_) {
        state.hardState_.vote_ = request.candidate_;
        state.hardState_.cluster_ = request.cluster_;
        persistHardState(state, output);
        resetElectionTimer(state, now);
    }
    sendAfterSync(state, from, reply, output);
}

void onVoteReply(ConsensusState &state, Instant now, const VoteReply &reply,
                 ConsensusOutput &output)
{
    if (reply.cluster_ != state.hardState_.cluster_)
        return;
    if (!reply.granted_) {
        if (reply.term_ > state.hardState_.term_)
            becomeFollower(state, now, reply.term_, 0, output);
        return;
    }
    const bool preVote = reply.pre_ && state.role_ == MemberRole::PreCandidate
        && reply.term_ == state.hardState_.term_ + 1;
    const bool vote = !reply.pre_ && state.role_ == MemberRole::Candidate
        && reply.term_ == state.hardState_.term_;
    if (!preVote && !vote)
        return;
    state.votes_.insert(reply.voter_);
    countVotes(state, now, WallTime{}, output);
}

void onTimeoutNow(ConsensusState &state, Instant now, const TimeoutNow &request,
                  ConsensusOutput &output)
{
    if (request.cluster_ != state.hardState_.cluster_ || request.term_ != state.hardState_.term_
        || state.stopping_)
        return;
    if (!applyTrigger(state, MemberTrigger::ElectionTimeout, output))
        return;
    startElection(state, now, true, output);
}

} // namespace chervilspring
