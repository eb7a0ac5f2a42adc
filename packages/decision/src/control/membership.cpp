#include "chervilspring/detail/control/membership.hpp"

#include "chervilspring/detail/control/consensus_steps.hpp"
#include "chervilspring/digest.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr std::size_t maxVoters = 5;
constexpr std::size_t maxOpenVoters = 7; // largest number of VMs reserved for control processes
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
        if (!isRecent || isOtherCluster || findMember(state, join.member_.id_))
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
    if (state.settings_.openMembership_)
        return voters < maxOpenVoters || (voters == maxOpenVoters && anyLost);
    const std::size_t target = std::min(state.settings_.controlNames_.size(), maxVoters);
    return voters < target || (voters == target && anyLost);
}

const Member *findReadyLearner(const ConsensusState &state, Instant now)
{
    if (!needsVoter(state, now))
        return nullptr;
    const auto &list = members(state);
    const auto found = std::find_if(list.begin(), list.end(), [&](const Member &member) {
        return !member.voter_ && !isReplaced(state, member) && hasCaughtUp(state, member, now);
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

// Tells whether a lost voter may be removed. The remaining voters must be able to go on without the
// next one that joins: a quorum of them is never larger than before.
// hasReplacement: a learner has caught up that needs its place
bool canRemoveVoter(const ConsensusState &state, const Member &lost, bool hasReplacement)
{
    const std::size_t voters = voterCount(state);
    if (voters <= 2)
        return false;
    // A voter without its disk never votes again, while a silent one may return.
    if (isReplaced(state, lost) || hasReplacement)
        return true;
    // With open membership no number of voters is configured. An even number of them tolerates no
    // more failures than one voter fewer.
    if (state.settings_.openMembership_)
        return voters % 2 == 0 || voters > maxOpenVoters;
    return voters > std::min(state.settings_.controlNames_.size(), maxVoters);
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

MembershipPlan planRemoval(const ConsensusState &state, const Member &lost)
{
    std::vector<Member> list = members(state);
    std::erase(list, lost);
    return MembershipPlan{list,
                          "remove name=" + lost.name_ + " reason="
                              + (isReplaced(state, lost) ? "disk_replaced" : "silent")};
}

} // namespace

std::optional<MembershipPlan> planMembership(const ConsensusState &state, Instant now)
{
    if (isChangeInProgress(state))
        return std::nullopt;
    const Member *learner = findReadyLearner(state, now);
    const Member *lost = findLostVoter(state, now);
    if (lost && canRemoveVoter(state, *lost, learner != nullptr))
        return planRemoval(state, *lost);
    if (learner && canPromoteLearner(state, *learner, now))
        return planPromotion(state, *learner);
    return addLearner(state, now);
}

std::optional<FoundingState> makeFounding(const std::string &self,
                                          const std::vector<std::string> &names)
{
    if (std::find(names.begin(), names.end(), self) == names.end())
        return std::nullopt;
    const std::set<std::string> sorted(names.begin(), names.end());
    FoundingState founding;
    std::string all;
    for (const std::string &name : sorted) {
        const std::uint64_t id = contentDigest("founding member " + name);
        founding.snapshot_.members_.push_back(Member{id, name, true});
        if (name == self)
            founding.memberId_ = id;
        all += name + "\n";
    }
    founding.snapshot_.cluster_ = contentDigest("founding members " + all);
    founding.snapshot_.lastIndex_ = 1;
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
