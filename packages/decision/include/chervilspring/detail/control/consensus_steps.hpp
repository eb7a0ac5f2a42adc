/// @file
/// @brief Parts of the consensus that its source files share. Not for use elsewhere.
#pragma once

#include "chervilspring/detail/control/consensus.hpp"

namespace chervilspring {

/// @brief Name of a member for logs, its id if it is not in the list.
std::string memberText(const ConsensusState &state, std::uint64_t id);

/// @brief Adds a decision line.
void decide(ConsensusOutput &output, const ConsensusState &state, const std::string &text);

/// @brief Applies a trigger to the role.
/// @return false if the trigger does not apply
bool change(ConsensusState &state, MemberTrigger trigger, ConsensusOutput &output);

/// @brief Whether a member votes.
bool isVoter(const ConsensusState &state, std::uint64_t id);

/// @brief Number of voters.
std::size_t voterCount(const ConsensusState &state);

/// @brief Smallest number of voters that is a majority.
std::size_t quorum(const ConsensusState &state);

/// @brief Term of the newest entry.
std::uint64_t lastTerm(const ConsensusState &state);

/// @brief Hands a batch to the disk: messages sent with sendAfterSync wait for its sync.
void persist(ConsensusState &state, PersistBatch batch, ConsensusOutput &output);

/// @brief Hands term, vote and cluster to the disk.
void persistHardState(ConsensusState &state, ConsensusOutput &output);

/// @brief Sends to a member at once, unless its process runs with another disk now.
void sendNow(const ConsensusState &state, std::uint64_t member, Message message,
             ConsensusOutput &output);

/// @brief Sends once everything handed to persist() so far is on disk.
void sendAfterSync(ConsensusState &state, const std::string &name, Message message,
                   ConsensusOutput &output);

/// @brief Draws the time of the next election.
void resetElectionTimer(ConsensusState &state, Instant now);

/// @brief Fails the reads that wait for a confirmation.
void failReads(ConsensusState &state, ConsensusOutput &output);

/// @brief Becomes follower or learner as the member list says.
void adoptRoleFromMembers(ConsensusState &state, ConsensusOutput &output);

/// @brief Follows a leader, or nobody, in a term that is not older.
void becomeFollower(ConsensusState &state, Instant now, std::uint64_t term, std::uint64_t leader,
                    ConsensusOutput &output);

/// @brief Puts a member list in force as soon as it is in the log.
void noteMembers(ConsensusState &state, const LogEntry &entry, ConsensusOutput &output);

/// @brief Takes member lists back that a truncation removed.
void forgetMembersFrom(ConsensusState &state, std::uint64_t index, ConsensusOutput &output);

/// @brief Hands entries up to an index to the state machine.
void commitUpTo(ConsensusState &state, std::uint64_t index, ConsensusOutput &output);

/// @brief Whether a message belongs to this cluster, or this disk is blank.
bool sameCluster(const ConsensusState &state, std::uint64_t cluster);

/// @brief Stands for election in the next term.
void startElection(ConsensusState &state, Instant now, bool transfer, ConsensusOutput &output);

/// @brief Goes on with the election if a majority has voted for this member.
void countVotes(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output);

/// @brief Asks whether an election would succeed.
void startPreVote(ConsensusState &state, Instant now, ConsensusOutput &output);

/// @brief Grants or refuses a vote.
void onVoteRequest(ConsensusState &state, Instant now, const std::string &from,
                   const VoteRequest &request, ConsensusOutput &output);

/// @brief Counts a vote.
void onVoteReply(ConsensusState &state, Instant now, const VoteReply &reply,
                 ConsensusOutput &output);

/// @brief Stands for election because the leader asked for it.
void onTimeoutNow(ConsensusState &state, Instant now, const TimeoutNow &order,
                  ConsensusOutput &output);

/// @brief Sends a member what it lacks.
void sendAppend(ConsensusState &state, Instant now, std::uint64_t member, ConsensusOutput &output);

/// @brief Sends heartbeats, with entries where some are missing, and starts a new read round.
void broadcast(ConsensusState &state, Instant now, ConsensusOutput &output);

/// @brief Commits what a quorum has on disk.
void advanceCommit(ConsensusState &state, ConsensusOutput &output);

/// @brief Notes the newest round that a quorum has answered and finishes reads.
void confirmLeadership(ConsensusState &state, ConsensusOutput &output);

/// @brief Stores a leader's entries.
void onAppendRequest(ConsensusState &state, Instant now, const std::string &from,
                     const AppendRequest &request, ConsensusOutput &output);

/// @brief Notes a member's progress.
void onAppendReply(ConsensusState &state, Instant now, const AppendReply &reply,
                   ConsensusOutput &output);

/// @brief Replaces the state by a snapshot, unless the log reaches further.
void onInstallSnapshot(ConsensusState &state, Instant now, const std::string &from,
                       const InstallSnapshot &install, ConsensusOutput &output);

} // namespace chervilspring
