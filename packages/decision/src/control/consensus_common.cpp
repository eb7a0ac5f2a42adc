#include "chervilspring/detail/control/consensus_steps.hpp"

#include "chervilspring/detail/control/membership.hpp"
#include "chervilspring/memory_size.hpp"

#include <algorithm>

namespace chervilspring {

std::string memberText(const ConsensusState &state, std::uint64_t id)
{
    const Member *member = findMember(state, id);
    return member ? member->name_ : std::to_string(id);
}

void addDecisionLine(ConsensusOutput &output, const ConsensusState &state, const std::string &text)
{
    output.decisionLines_.push_back("decision=consensus member=" + state.settings_.self_.name_
                                    + " term=" + std::to_string(state.hardState_.term_) + " "
                                    + text);
}

bool applyTrigger(ConsensusState &state, MemberTrigger trigger, ConsensusOutput &output)
{
    const auto next = nextRole(state.role_, trigger);
    if (!next)
        return false;
    if (*next != state.role_)
        addDecisionLine(output, state,
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

std::size_t quorumOf(std::size_t voters)
{
    return voters / 2 + 1;
}

std::size_t quorum(const ConsensusState &state)
{
    return quorumOf(voterCount(state));
}

std::uint64_t lastTerm(const ConsensusState &state)
{
    return state.log_.empty() ? state.baseTerm_ : state.log_.back().term_;
}

void persist(ConsensusState &state, PersistBatch batch, ConsensusOutput &output)
{
    batch.sequence_ = ++state.persistSequence_;
    state.unsyncedBatches_.emplace_back(batch.sequence_, lastIndex(state));
    output.batches_.push_back(std::move(batch));
}

void persistHardState(ConsensusState &state, ConsensusOutput &output)
{
    PersistBatch batch;
    batch.hardState_ = state.hardState_;
    persist(state, std::move(batch), output);
}

void sendNow(const ConsensusState &state, std::uint64_t member, Message message,
             ConsensusOutput &output)
{
    const Member *target = findMember(state, member);
    if (!target || target->id_ == state.settings_.self_.id_)
        return;
    const auto join = state.joins_.find(target->name_);
    const bool diskReplaced = join != state.joins_.end() && join->second.member_.id_ != member;
    if (!diskReplaced)
        output.messages_.emplace_back(target->name_, std::move(message));
}

void sendAfterSync(ConsensusState &state, const std::string &name, Message message,
                   ConsensusOutput &output)
{
    if (state.persistSequence_ == state.syncedSequence_) {
        output.messages_.emplace_back(name, std::move(message));
        return;
    }
    state.deferredMessages_.push_back(
        DeferredMessage{state.persistSequence_, name, std::move(message)});
}

void resetElectionTimer(ConsensusState &state, Instant now)
{
    const nanoseconds timeout = state.settings_.electionTimeout_;
    std::uniform_int_distribution<std::int64_t> spread(0, timeout.count());
    state.electionDeadline_ = now + timeout + nanoseconds(spread(state.randomEngine_));
}

void failReads(ConsensusState &state, ConsensusOutput &output)
{
    for (const PendingRead &read : state.pendingReads_)
        output.failedReads_.push_back(read.token_);
    state.pendingReads_.clear();
}

void adoptRoleFromMembers(ConsensusState &state, ConsensusOutput &output)
{
    if (isVoter(state, state.settings_.self_.id_))
        applyTrigger(state, MemberTrigger::Promoted, output);
    else
        applyTrigger(state, MemberTrigger::Demoted, output);
}

void becomeFollower(ConsensusState &state, Instant now, std::uint64_t term, std::uint64_t leader,
                    ConsensusOutput &output)
{
    if (state.role_ != MemberRole::Learner)
        applyTrigger(state, MemberTrigger::LeaderSeen, output);
    failReads(state, output);
    if (leader != 0 && state.leaderId_ != leader)
        addDecisionLine(output, state, "leader=" + memberText(state, leader));
    state.leaderId_ = leader;
    state.transferringLeadership_ = false;
    if (term > state.hardState_.term_) {
        state.hardState_.term_ = term;
        state.hardState_.vote_ = 0;
        persistHardState(state, output);
    }
    resetElectionTimer(state, now);
}

void adoptMembers(ConsensusState &state, const LogEntry &entry, ConsensusOutput &output)
{
    const auto *list = std::get_if<ChangeMembers>(&entry.command_);
    if (!list)
        return;
    const MemberList *previous = state.memberLists_.empty() ? nullptr : &state.memberLists_.back();
    state.memberLists_.push_back(nextMemberList(previous, entry.index_, list->members_));
    adoptRoleFromMembers(state, output);
}

void dropMembersFrom(ConsensusState &state, std::uint64_t index, ConsensusOutput &output)
{
    while (state.memberLists_.size() > 1 && state.memberLists_.back().index_ >= index)
        state.memberLists_.pop_back();
    adoptRoleFromMembers(state, output);
}

void commitUpTo(ConsensusState &state, std::uint64_t index, ConsensusOutput &output)
{
    state.commitIndex_ = std::max(state.commitIndex_, std::min(index, lastIndex(state)));
    while (state.appliedIndex_ < state.commitIndex_) {
        ++state.appliedIndex_;
        const LogEntry &entry = state.log_[state.appliedIndex_ - state.baseIndex_ - 1];
        // Replacing a member takes several changes; plan the next one without delay.
        if (std::holds_alternative<ChangeMembers>(entry.command_))
            state.nextMembershipCheck_ = Instant{};
        state.appliedSize_ += memorySize(entry);
        output.committedEntries_.push_back(entry);
    }
}

bool acceptsCluster(const ConsensusState &state, std::uint64_t cluster)
{
    return state.hardState_.cluster_ == cluster || state.hardState_.cluster_ == 0;
}

} // namespace chervilspring
