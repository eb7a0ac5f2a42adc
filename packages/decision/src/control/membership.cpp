#include "chervilspring/detail/control/membership.hpp"

#include "chervilspring/detail/control/consensus_steps.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr std::size_t maxVoters = 5;
constexpr std::size_t maxOpenVoters = 7; // the most VMs that may be set aside for control
constexpr std::uint64_t caughtUpWithin = 64; // entries
constexpr auto recentJoin = seconds(2);

bool heardWithin(const ConsensusState &state, std::uint64_t id, Instant now, nanoseconds limit)
{
    if (id == state.settings_.self_.id_)
        return true;
    const auto found = state.progress_.find(id);
    return found != state.progress_.end() && now - found->second.lastHeard_ < limit;
}

// Whether the process of this name runs with another disk now.
bool replaced(const ConsensusState &state, const Member &member)
{
    const auto found = state.joins_.find(member.name_);
    return found != state.joins_.end() && found->second.member_.id_ != member.id_;
}

bool caughtUp(const ConsensusState &state, const Member &member, Instant now)
{
    const auto found = state.progress_.find(member.id_);
    if (found == state.progress_.end())
        return false;
    return found->second.match_ + caughtUpWithin >= state.commit_ && found->second.match_ > 0
        && heardWithin(state, member.id_, now, state.settings_.electionTimeout_);
}

bool lost(const ConsensusState &state, const Member &member, Instant now)
{
    return replaced(state, member)
        || !heardWithin(state, member.id_, now, state.settings_.replaceAfter_);
}

bool changeUnderWay(const ConsensusState &state)
{
    return state.memberLists_.back().index_ > state.commit_ || !leads(state);
}

std::optional<MembershipPlan> addLearner(const ConsensusState &state, Instant now)
{
    for (const auto &item : state.joins_) {
        const std::string &name = item.first;
        const Join &join = item.second;
        const bool recent = now - state.joinHeard_.at(name) < recentJoin;
        const bool foreign = join.cluster_ != 0 && join.cluster_ != state.hard_.cluster_;
        if (!recent || foreign || findMember(state, join.member_.id_))
            continue;
        std::vector<Member> list = members(state);
        std::erase_if(list, [&](const Member &old) { return !old.voter_ && old.name_ == name; });
        list.push_back(Member{join.member_.id_, name, false});
        return MembershipPlan{list, "add_learner name=" + name};
    }
    return std::nullopt;
}

// Whether one more voter is wanted.
bool wantsVoter(const ConsensusState &state, Instant now)
{
    const auto &list = members(state);
    const std::size_t voters = voterCount(state);
    const bool anyLost = std::any_of(
        list.begin(), list.end(), [&](const Member &m) { return m.voter_ && lost(state, m, now); });
    if (state.settings_.openMembership_)
        return voters < maxOpenVoters || (voters == maxOpenVoters && anyLost);
    const std::size_t target = std::min(state.settings_.controlNames_.size(), maxVoters);
    return voters < target || (voters == target && anyLost);
}

// Whether a voter that is lost may go. Where nobody says how many there should be, an even number
// of voters bears no more losses than one voter less: its lost one goes.
bool hasVoterToSpare(const ConsensusState &state)
{
    const std::size_t voters = voterCount(state);
    if (state.settings_.openMembership_)
        return voters > 2 && (voters % 2 == 0 || voters > maxOpenVoters);
    return voters > std::min(state.settings_.controlNames_.size(), maxVoters);
}

std::optional<MembershipPlan> promoteLearner(const ConsensusState &state, Instant now)
{
    const auto &list = members(state);
    if (!wantsVoter(state, now))
        return std::nullopt;
    for (const Member &member : list) {
        if (member.voter_ || replaced(state, member) || !caughtUp(state, member, now))
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
    if (!hasVoterToSpare(state))
        return std::nullopt;
    for (const Member &member : list) {
        if (!member.voter_ || !lost(state, member, now))
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
    if (changeUnderWay(state))
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
    const bool first = !names.empty() && names.front() == state.settings_.self_.name_;
    const bool blank = state.hard_.cluster_ == 0 && state.memberLists_.empty()
        && lastIndex(state) == 0 && state.hard_.term_ == 0;
    if (!first || !blank || !state.settings_.mayFound_)
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
