#include "chervilspring/detail/control/membership.hpp"

#include "chervilspring/detail/control/consensus_steps.hpp"

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

// Tells whether enough voters remain when a lost voter is removed. With open membership no number
// of voters is configured. One of three or more voters may then be removed if their number is above
// maxOpenVoters, or if it is even, since one voter fewer tolerates as many failures.
bool canRemoveVoter(const ConsensusState &state)
{
    const std::size_t voters = voterCount(state);
    if (state.settings_.openMembership_)
        return voters > 2 && (voters % 2 == 0 || voters > maxOpenVoters);
    return voters > std::min(state.settings_.controlNames_.size(), maxVoters);
}

std::optional<MembershipPlan> promoteLearner(const ConsensusState &state, Instant now)
{
    const auto &list = members(state);
    if (!needsVoter(state, now))
        return std::nullopt;
    for (const Member &member : list) {
        if (member.voter_ || isReplaced(state, member) || !hasCaughtUp(state, member, now))
            continue;
        std::vector<Member> changed = list;
        std::find(changed.begin(), changed.end(), member)->voter_ = true;
        return MembershipPlan{changed, "promote name=" + member.name_};
    }
    return std::nullopt;
}

std::optional<MembershipPlan> removeVoter(const ConsensusState &state, Instant now)
{
    const auto &list = members(state);
    if (!canRemoveVoter(state))
        return std::nullopt;
    for (const Member &member : list) {
        if (!member.voter_ || !isLost(state, member, now))
            continue;
        std::vector<Member> changed = list;
        std::erase(changed, member);
        return MembershipPlan{changed, "remove name=" + member.name_};
    }
    return std::nullopt;
}

} // namespace

std::optional<MembershipPlan> planMembership(const ConsensusState &state, Instant now)
{
    if (isChangeInProgress(state))
        return std::nullopt;
    if (auto plan = removeVoter(state, now))
        return plan;
    if (auto plan = promoteLearner(state, now))
        return plan;
    return addLearner(state, now);
}

std::optional<Snapshot> planBootstrap(const ConsensusState &state)
{
    const auto &names = state.settings_.controlNames_;
    const bool isFirst = !names.empty() && names.front() == state.settings_.self_.name_;
    const bool isBlank = state.hardState_.cluster_ == 0 && state.memberLists_.empty()
        && lastIndex(state) == 0 && state.hardState_.term_ == 0;
    if (!isFirst || !isBlank || !state.settings_.mayBootstrap_)
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
