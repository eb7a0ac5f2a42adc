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
/// A change adds a learner, promotes a learner that has caught up, or removes a lost voter. A lost
/// voter is removed before its replacement is promoted, and a learner is promoted only while the
/// other voters form a quorum without it: a process that fails before it has stored that it votes,
/// and loses its disk, must not be needed to remove it again.
/// @param state the consensus state
/// @param now local time
/// @return the change, or nothing if none is needed or the last one is not committed yet
std::optional<MembershipPlan> planMembership(const ConsensusState &state, Instant now);

/// @brief Creates the first state of a process that founds a cluster together with others.
///
/// To be used at the first start of the whole system only, for an empty data folder. Ids of cluster
/// and members follow from the names, so that all founding members begin with the same list of
/// voters without any message. A process that starts later on an empty folder has a random id, and
/// so never votes in the place of a founding member.
/// @param self name of the process
/// @param names names of the founding members, in any order
/// @return nothing if the process is not one of them
std::optional<FoundingState> makeFounding(const std::string &self,
                                          const std::vector<std::string> &names);

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
