/// @file
/// @brief Planning of membership changes and of the initial member list.
#pragma once

#include "chervilspring/detail/control/consensus.hpp"

namespace chervilspring {

/// @brief A planned membership change.
struct MembershipPlan
{
    std::vector<Member> members_; ///< complete member list after the change
    std::string reason_; ///< kind of the change and name of the member, for the decision log
};

/// @brief Plans the next membership change of the leader.
///
/// A change adds a learner, promotes a learner that has caught up, or removes a voter.
///
/// - A voter that has lost its disk is removed at once.
/// - A voter that has announced that it stops is removed if there are more voters than groupSize().
/// - A silent voter may return with its disk. It is removed only if there are more voters than
///   groupSize(), or if a learner is ready that can't be promoted in addition.
/// - A learner is promoted only while the other voters form a quorum without it: a process that
///   fails before it has stored that it votes, and loses its disk, must not be needed to remove it
///   again.
/// @param state the consensus state
/// @param now local time
/// @return the change, or nothing if none is needed or the last one is not committed yet
std::optional<MembershipPlan> planMembership(const ConsensusState &state, Instant now);

/// @brief Returns the number of voters that the group keeps although some of them are silent.
///
/// With open membership this is the number of founding members, rounded up to an odd number: an
/// even number of voters tolerates no more losses than one voter fewer.
std::size_t groupSize(const ConsensusState &state);

/// @brief Returns the member id of a process that takes part in the first start of the system.
///
/// It follows from the name, so that a disk from the first start is recognised by its id.
/// @param name name of the process
std::uint64_t foundingId(const std::string &name);

/// @brief Creates the member list of a snapshot.
MemberList memberListOf(const Snapshot &snapshot);

/// @brief Creates the member list that a change puts in force.
/// @param previous list in force before; nullptr if there is none
/// @param index log index of the change
/// @param members members after the change
MemberList nextMemberList(const MemberList *previous, std::uint64_t index,
                          const std::vector<Member> &members);

/// @brief Creates the first state of a founding member: a process that takes part in the first
/// start.
///
/// To be used at the first start of the whole system only, for an empty data folder. Ids of cluster
/// and members follow from the names, so that all seeds begin with the same list of voters without
/// any message. A process that starts later on an empty folder has a random id, and so never votes
/// in the place of a founding member.
/// @param self name of the process
/// @param seeds names of the first voters, in any order
/// @return the state; without a snapshot if the process is not one of the seeds
FoundingState makeFounding(const std::string &self, const std::vector<std::string> &seeds);

/// @brief Creates the initial snapshot with which a process bootstraps a new cluster of fixed
/// membership.
///
/// Only the first process of controlNames_ may bootstrap, and only if its disk is blank,
/// mayBootstrap_ is set and all processes of controlNames_ have reported blank disks. With open
/// membership no process bootstraps; see makeFounding().
/// @param state the consensus state
/// @return the snapshot with the first members, or nothing if the conditions don't hold
std::optional<Snapshot> planBootstrap(const ConsensusState &state);

} // namespace chervilspring
