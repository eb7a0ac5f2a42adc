/// @file
/// @brief Internal functions shared by the source files of the consensus.
#pragma once

#include "chervilspring/detail/control/consensus.hpp"

namespace chervilspring {

/// @brief Returns the name of a member for log lines, or its id if it isn't in the list in force.
std::string memberText(const ConsensusState &state, std::uint64_t id);

/// @brief Adds a line to the decision log, prefixed with member and term.
void addDecisionLine(ConsensusOutput &output, const ConsensusState &state, const std::string &text);

/// @brief Changes the role according to a trigger.
/// @return false if the trigger is not valid in the current role
bool applyTrigger(ConsensusState &state, MemberTrigger trigger, ConsensusOutput &output);

/// @brief Tells whether the member list in force has a voter with this id.
bool isVoter(const ConsensusState &state, std::uint64_t id);

/// @brief Returns the number of voters in the member list in force.
std::size_t voterCount(const ConsensusState &state);

/// @brief Returns the smallest majority of a number of voters.
std::size_t quorumOf(std::size_t voters);

/// @brief Returns the smallest number of voters that forms a majority.
std::size_t quorum(const ConsensusState &state);

/// @brief Returns the term of the newest log entry.
std::uint64_t lastTerm(const ConsensusState &state);

/// @brief Requests a batch to be written. Later messages of sendAfterSync wait for its sync.
void persist(ConsensusState &state, PersistBatch batch, ConsensusOutput &output);

/// @brief Requests cluster id, term and vote to be written.
void persistHardState(ConsensusState &state, ConsensusOutput &output);

/// @brief Sends a message to a member without waiting for a sync.
///
/// Sends nothing to this process itself, to an unknown member, or to a process that has restarted
/// with another disk and so is no longer this member.
void sendNow(const ConsensusState &state, std::uint64_t member, Message message,
             ConsensusOutput &output);

/// @brief Sends a message as soon as all batches requested so far are durable.
void sendAfterSync(ConsensusState &state, const std::string &name, Message message,
                   ConsensusOutput &output);

/// @brief Restarts the election timer with a random timeout of one to two electionTimeout_.
void resetElectionTimer(ConsensusState &state, Instant now);

/// @brief Fails all pending reads.
void failReads(ConsensusState &state, ConsensusOutput &output);

/// @brief Updates the role to follower or learner according to the member list in force.
void adoptRoleFromMembers(ConsensusState &state, ConsensusOutput &output);

/// @brief Becomes a follower in the given term, which must not be older than the current one.
///
/// A learner stays a learner. All pending reads fail.
/// @param leader member id of the leader, 0: unknown
void becomeFollower(ConsensusState &state, Instant now, std::uint64_t term, std::uint64_t leader,
                    ConsensusOutput &output);

/// @brief Puts the member list of an entry in force, if it has one, even before it is committed.
void adoptMembers(ConsensusState &state, const LogEntry &entry, ConsensusOutput &output);

/// @brief Removes the member lists of entries from an index on, after the log was truncated.
void dropMembersFrom(ConsensusState &state, std::uint64_t index, ConsensusOutput &output);

/// @brief Commits entries up to an index and outputs them for the state machine.
void commitUpTo(ConsensusState &state, std::uint64_t index, ConsensusOutput &output);

/// @brief Tells whether messages of a cluster are accepted.
///
/// A member accepts those of its own cluster, a process with a blank disk those of any cluster.
/// @param cluster cluster id of the message
bool acceptsCluster(const ConsensusState &state, std::uint64_t cluster);

/// @brief Becomes a candidate in the next term and requests votes.
/// @param transfer true if the leader asked for the election
void startElection(ConsensusState &state, Instant now, bool transfer, ConsensusOutput &output);

/// @brief Proceeds from pre-vote to election, or from election to leadership, on a majority.
void countVotes(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output);

/// @brief Becomes a pre-candidate and asks the voters whether an election would succeed.
void startPreVote(ConsensusState &state, Instant now, ConsensusOutput &output);

/// @brief Grants or refuses a vote or pre-vote.
///
/// While there is an active leader, ignores all requests except those of a leadership transfer.
void onVoteRequest(ConsensusState &state, Instant now, const std::string &from,
                   const VoteRequest &request, ConsensusOutput &output);

/// @brief Counts a granted vote, or becomes a follower if the reply has a newer term.
void onVoteReply(ConsensusState &state, Instant now, const VoteReply &reply,
                 ConsensusOutput &output);

/// @brief Starts an election because the leader transfers its leadership to this member.
void onTimeoutNow(ConsensusState &state, Instant now, const TimeoutNow &request,
                  ConsensusOutput &output);

/// @brief Sends a member the entries that it lacks, or requests a snapshot for it.
void sendAppend(ConsensusState &state, Instant now, std::uint64_t member, ConsensusOutput &output);

/// @brief Starts a new heartbeat round and sends it to all other members with missing entries.
void broadcast(ConsensusState &state, Instant now, ConsensusOutput &output);

/// @brief Commits all entries that are durable on a quorum, if the last of them is of the current
/// term.
void advanceCommit(ConsensusState &state, ConsensusOutput &output);

/// @brief Finds the newest heartbeat round answered by a quorum and confirms the reads up to it.
void confirmLeadership(ConsensusState &state, ConsensusOutput &output);

/// @brief Stores the entries of a leader and replies after the sync.
void onAppendRequest(ConsensusState &state, Instant now, const std::string &from,
                     const AppendRequest &request, ConsensusOutput &output);

/// @brief Updates the replication progress of a member and sends it further entries.
void onAppendReply(ConsensusState &state, Instant now, const AppendReply &reply,
                   ConsensusOutput &output);

/// @brief Loads a snapshot that is ahead of the log. If the log contains the last entry of the
/// snapshot, only the commit index advances.
void onInstallSnapshot(ConsensusState &state, Instant now, const std::string &from,
                       const InstallSnapshot &install, ConsensusOutput &output);

} // namespace chervilspring
