#include "chervilspring/detail/control/membership.hpp"

#include "chervilspring/detail/control/consensus_steps.hpp"
#include "chervilspring/digest.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr std::size_t maxVoters = 5;
constexpr std::size_t maxOpenGroupSize = 7; // largest number of VMs reserved for control processes
// With successors of all members that a group of that size may replace at once.
constexpr std::size_t maxOpenVoters = maxOpenGroupSize + maxOpenGroupSize / 2;
constexpr std::uint64_t maxPromotionLagEntries = 64;
constexpr auto maxJoinAge = seconds(2);

bool heardWithin(const ConsensusState &state, std::uint64_t id, Instant now, nanoseconds limit)
{
    if (id == state.settings_.self_.id_)
        return true;
    const auto found = state.progress_.find(id);
    return found != state.progress_.end() && now - found->second.lastHeard_ < limit;
}

// Tells whether the process of this name has restarted with another disk, and so with another id.
bool isReplaced(const ConsensusState &state, const Member &member)
{
    const auto found = state.joins_.find(member.name_);
    return found != state.joins_.end() && found->second.member_.id_ != member.id_;
}

// Tells whether the process of a member has announced that it is about to end.
bool isStopping(const ConsensusState &state, const Member &member)
{
    const auto found = state.joins_.find(member.name_);
    return found != state.joins_.end() && found->second.member_.id_ == member.id_
        && found->second.stopping_;
}

bool hasCaughtUp(const ConsensusState &state, const Member &member, Instant now)
{
    const auto found = state.progress_.find(member.id_);
    if (found == state.progress_.end())
        return false;
    return found->second.matchIndex_ + maxPromotionLagEntries >= state.commitIndex_
        && found->second.matchIndex_ > 0
        && heardWithin(state, member.id_, now, state.settings_.electionTimeout_);
}

// Tells whether a member has to be replaced: it has another disk, or was silent for replaceAfter_.
bool isLost(const ConsensusState &state, const Member &member, Instant now)
{
    return isReplaced(state, member)
        || !heardWithin(state, member.id_, now, state.settings_.replaceAfter_);
}

bool isChangeInProgress(const ConsensusState &state)
{
    return state.memberLists_.back().index_ > state.commitIndex_ || !leads(state);
}

std::optional<MembershipPlan> addLearner(const ConsensusState &state, Instant now)
{
    for (const auto &item : state.joins_) {
        const std::string &name = item.first;
        const Join &join = item.second;
        const bool isRecent = now - state.joinTimes_.at(name) < maxJoinAge;
        const bool isOtherCluster =
            join.cluster_ != 0 && join.cluster_ != state.hardState_.cluster_;
        if (!isRecent || isOtherCluster || join.stopping_ || findMember(state, join.member_.id_))
            continue;
        std::vector<Member> list = members(state);
        std::erase_if(list, [&](const Member &old) { return !old.voter_ && old.name_ == name; });
        list.push_back(Member{join.member_.id_, name, false});
        return MembershipPlan{list, "add_learner name=" + name};
    }
    return std::nullopt;
}

// Tells whether another voter is needed, as an addition or as the replacement of a lost one.
bool needsVoter(const ConsensusState &state, Instant now)
{
    const auto &list = members(state);
    const std::size_t voters = voterCount(state);
    const bool anyLost = std::any_of(list.begin(), list.end(), [&](const Member &m) {
        return m.voter_ && isLost(state, m, now);
    });
    const std::size_t limit = state.settings_.openMembership_ ? maxOpenVoters : groupSize(state);
    return voters < limit || (voters == limit && anyLost);
}

const Member *findReadyLearner(const ConsensusState &state, Instant now)
{
    if (!needsVoter(state, now))
        return nullptr;
    const auto &list = members(state);
    const auto found = std::find_if(list.begin(), list.end(), [&](const Member &member) {
        return !member.voter_ && !isReplaced(state, member) && !isStopping(state, member)
            && hasCaughtUp(state, member, now);
    });
    return found == list.end() ? nullptr : &*found;
}

const Member *findStoppingVoter(const ConsensusState &state)
{
    const auto &list = members(state);
    const auto found = std::find_if(list.begin(), list.end(), [&](const Member &member) {
        return member.voter_ && member.id_ != state.settings_.self_.id_
            && isStopping(state, member);
    });
    return found == list.end() ? nullptr : &*found;
}

// Finds the voter to remove first: one whose disk was replaced, else the one that is silent for the
// longest time.
const Member *findLostVoter(const ConsensusState &state, Instant now)
{
    const Member *lost = nullptr;
    Instant lostSince{};
    for (const Member &member : members(state)) {
        if (!member.voter_ || !isLost(state, member, now))
            continue;
        if (isReplaced(state, member))
            return &member;
        const auto progress = state.progress_.find(member.id_);
        const Instant lastHeard =
            progress == state.progress_.end() ? Instant{} : progress->second.lastHeard_;
        if (lost && lastHeard >= lostSince)
            continue;
        lost = &member;
        lostSince = lastHeard;
    }
    return lost;
}

// Tells whether the other voters form a quorum without a learner that is promoted. It may fail
// before it has stored that it votes, and lose its disk, so that nobody could remove it.
bool canPromoteLearner(const ConsensusState &state, const Member &learner, Instant now)
{
    const std::size_t voters = voterCount(state);
    if (voters == 1) // there is no other way to get a second voter
        return true;
    const std::uint64_t round = state.progress_.at(learner.id_).caughtUpRound_;
    const auto isRunning = [&](const Member &member) {
        if (member.id_ == state.settings_.self_.id_)
            return true;
        const auto found = state.progress_.find(member.id_);
        return found != state.progress_.end() && found->second.ackedRound_ >= round
            && !isReplaced(state, member)
            && heardWithin(state, member.id_, now, state.settings_.electionTimeout_);
    };
    const auto &list = members(state);
    const auto running = std::count_if(list.begin(), list.end(), [&](const Member &member) {
        return member.voter_ && isRunning(member);
    });
    return static_cast<std::size_t>(running) >= quorumOf(voters + 1);
}

MembershipPlan planPromotion(const ConsensusState &state, const Member &learner)
{
    std::vector<Member> list = members(state);
    std::find(list.begin(), list.end(), learner)->voter_ = true;
    return MembershipPlan{list, "promote name=" + learner.name_};
}

MembershipPlan planRemoval(const ConsensusState &state, const Member &member, const char *reason)
{
    std::vector<Member> list = members(state);
    std::erase(list, member);
    return MembershipPlan{list, "remove name=" + member.name_ + " reason=" + reason};
}

} // namespace

std::optional<MembershipPlan> planMembership(const ConsensusState &state, Instant now)
{
    if (isChangeInProgress(state))
        return std::nullopt;
    const std::size_t voters = voterCount(state);
    const std::size_t size = groupSize(state);
    const Member *lost = voters > 2 ? findLostVoter(state, now) : nullptr;
    if (lost && isReplaced(state, *lost))
        return planRemoval(state, *lost, "disk_replaced");
    const Member *stopping = findStoppingVoter(state);
    if (stopping && voters > size)
        return planRemoval(state, *stopping, "stopping");
    if (lost && voters > size)
        return planRemoval(state, *lost, "silent");
    const Member *learner = findReadyLearner(state, now);
    const bool canPromote = learner && canPromoteLearner(state, *learner, now);
    if (canPromote && voters < size)
        return planPromotion(state, *learner);
    if (lost && learner)
        return planRemoval(state, *lost, "silent");
    if (canPromote)
        return planPromotion(state, *learner);
    return addLearner(state, now);
}

std::size_t groupSize(const ConsensusState &state)
{
    if (!state.settings_.openMembership_)
        return std::min(state.settings_.controlNames_.size(), maxVoters);
    const std::size_t founding =
        state.memberLists_.empty() ? 0 : state.memberLists_.back().foundingMembers_;
    return std::min(founding | 1, maxOpenGroupSize);
}

std::uint64_t foundingId(const std::string &name)
{
    return contentDigest("founding member " + name);
}

MemberList memberListOf(const Snapshot &snapshot)
{
    MemberList list{snapshot.lastIndex_, snapshot.members_, snapshot.foundingMembers_};
    if (list.foundingMembers_ == 0) // written by a version that didn't count them
        list.foundingMembers_ = static_cast<std::uint32_t>(
            std::count_if(list.members_.begin(), list.members_.end(),
                          [](const Member &member) { return member.voter_; }));
    return list;
}

MemberList nextMemberList(const MemberList *previous, std::uint64_t index,
                          const std::vector<Member> &members)
{
    // The largest number, so that a removed member stays counted, and only once if it returns.
    const auto present = static_cast<std::uint32_t>(
        std::count_if(members.begin(), members.end(),
                      [](const Member &member) { return member.id_ == foundingId(member.name_); }));
    return MemberList{index, members, std::max(present, previous ? previous->foundingMembers_ : 0)};
}

FoundingState makeFounding(const std::string &self, const std::vector<std::string> &seeds)
{
    FoundingState founding;
    founding.memberId_ = foundingId(self);
    if (std::find(seeds.begin(), seeds.end(), self) == seeds.end())
        return founding;
    const std::set<std::string> sorted(seeds.begin(), seeds.end());
    Snapshot snapshot;
    std::string all;
    for (const std::string &name : sorted) {
        snapshot.members_.push_back(Member{foundingId(name), name, true});
        all += name + "\n";
    }
    snapshot.cluster_ = contentDigest("founding members " + all);
    snapshot.lastIndex_ = 1;
    snapshot.foundingMembers_ = static_cast<std::uint32_t>(snapshot.members_.size());
    founding.snapshot_ = std::move(snapshot);
    return founding;
}

std::optional<Snapshot> planBootstrap(const ConsensusState &state)
{
    const auto &names = state.settings_.controlNames_;
    const bool isFirst = !names.empty() && names.front() == state.settings_.self_.name_;
    const bool isBlank = state.hardState_.cluster_ == 0 && state.memberLists_.empty()
        && lastIndex(state) == 0 && state.hardState_.term_ == 0;
    const bool mayBootstrap = state.settings_.mayBootstrap_ && !state.settings_.openMembership_;
    if (!isFirst || !isBlank || !mayBootstrap)
        return std::nullopt;
    Snapshot snapshot;
    snapshot.cluster_ = state.settings_.newCluster_;
    snapshot.lastIndex_ = 1;
    for (const std::string &name : names) {
        const auto join = state.joins_.find(name);
        if (join == state.joins_.end() || join->second.cluster_ != 0)
            return std::nullopt;
        const bool voter = snapshot.members_.size() < maxVoters;
        snapshot.members_.push_back(Member{join->second.member_.id_, name, voter});
    }
    return snapshot;
}

} // namespace chervilspring
