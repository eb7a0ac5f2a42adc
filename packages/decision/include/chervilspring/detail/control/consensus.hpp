/// @file
/// @brief Consensus of the control processes (Raft) as a pure reducer.
///
/// Implements pre-vote, check-quorum, linearizable reads confirmed by heartbeat rounds, snapshots,
/// learners, leadership transfer and membership changes one at a time. No function reads a clock
/// or does I/O: the caller passes the time in and executes what ConsensusOutput requests. Replies
/// to votes and appends are sent only after the sync that makes them durable.
#pragma once

#include "chervilspring/lifecycle.hpp"
#include "chervilspring/persistence.hpp"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace chervilspring {

/// @brief Configuration of the consensus; fixed while the process runs, except controlNames_.
struct ConsensusSettings
{
    Member self_; ///< id and name of this process; voter_ is not used
    std::vector<std::string> controlNames_; ///< control processes listed in the settings
    bool openMembership_ = false; ///< controlNames_ are only seeds; any other process may join
    bool mayBootstrap_ = true; ///< false: a process with a blank disk never bootstraps a cluster
    milliseconds electionTimeout_{600}; ///< shortest election timeout; randomized up to twice this
    milliseconds replaceAfter_{30000}; ///< silence after which a voter counts as lost
    std::uint32_t snapshotEntries_ = 4096; ///< most entries applied between two snapshots
    /// Memory size of the entries applied between two snapshots, in bytes. The size of the newest
    /// snapshot counts instead if it is larger.
    std::size_t snapshotBytes_ = 8u << 20;
    std::uint64_t seed_ = 1; ///< seed of the random election timeouts
    std::uint64_t newCluster_ = 0; ///< cluster id to use if this process bootstraps the cluster
};

/// @brief Replication progress of another member, as tracked by the leader.
struct Progress
{
    std::uint64_t nextIndex_ = 1; ///< index of the next entry to send
    std::uint64_t matchIndex_ = 0; ///< highest entry known to be durable at the member
    std::uint64_t ackedRound_ = 0; ///< newest heartbeat round that the member has answered
    /// First heartbeat round that was sent after matchIndex_ became known; 0: it isn't known.
    std::uint64_t caughtUpRound_ = 0;
    Instant lastHeard_{}; ///< when its last AppendReply arrived
    Instant lastSnapshotSent_{}; ///< when a snapshot was last sent to it
};

/// @brief An outgoing message that is held back until a batch is durable.
struct DeferredMessage
{
    std::uint64_t sequence_ = 0; ///< PersistBatch::sequence_ that has to be synced first
    std::string peer_; ///< name of the recipient
    Message message_;
};

/// @brief A linearizable read that waits for a quorum to answer a heartbeat round.
struct PendingRead
{
    std::uint64_t token_ = 0; ///< identifies the read to the caller of startRead
    std::uint64_t round_ = 0; ///< heartbeat round that has to be confirmed
};

/// @brief Member list that applies from a log index on.
struct MemberList
{
    std::uint64_t index_ = 0; ///< index of the entry or snapshot that introduced the list
    std::vector<Member> members_;
    std::uint32_t foundingMembers_ = 0; ///< most founding members that a list has had until now
};

/// @brief Complete consensus state of one member.
struct ConsensusState
{
    ConsensusSettings settings_;
    HardState hardState_; ///< cluster id, term and vote
    MemberRole role_ = MemberRole::Learner;
    std::uint64_t leaderId_ = 0; ///< member id of the leader, 0: unknown
    std::uint64_t baseIndex_ = 0; ///< index of the entry that precedes log_.front()
    std::uint64_t baseTerm_ = 0; ///< term of the entry at baseIndex_
    std::uint64_t snapshotIndex_ = 0; ///< last index covered by the newest snapshot
    std::size_t snapshotSize_ = 0; ///< memory size of the newest snapshot in bytes
    std::size_t appliedSize_ = 0; ///< memory size of the entries applied since, in bytes
    std::deque<LogEntry> log_; ///< entries from baseIndex_ + 1 on
    std::vector<MemberList> memberLists_; ///< oldest first; the last one is in force
    std::uint64_t commitIndex_ = 0; ///< highest committed index
    std::uint64_t appliedIndex_ = 0; ///< highest index passed to the state machine
    std::uint64_t persistSequence_ = 0; ///< sequence number of the last batch requested
    std::uint64_t syncedSequence_ = 0; ///< sequence number of the last durable batch
    std::uint64_t syncedIndex_ = 0; ///< highest durable log index
    /// Batches that are not durable yet: sequence number and last log index at that batch.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> unsyncedBatches_;
    std::deque<DeferredMessage> deferredMessages_; ///< in the order of their sequence numbers
    std::map<std::uint64_t, Progress> progress_; ///< by member id; used by the leader
    std::set<std::uint64_t> votes_; ///< ids of members that granted the current vote or pre-vote
    std::uint64_t ownVoteSequence_ = 0; ///< PersistBatch::sequence_ of its vote for itself
    std::uint64_t heartbeatRound_ = 0; ///< number of the last heartbeat round sent
    /// Rounds that no quorum has answered yet: round number and when it was sent.
    std::deque<std::pair<std::uint64_t, Instant>> roundSendTimes_;
    Instant lastQuorumContact_{}; ///< when the newest round answered by a quorum was sent
    Instant lastLeaderContact_{}; ///< when the last message of a current leader arrived
    Instant electionDeadline_{}; ///< when the election timeout expires
    /// When a leader sends the next heartbeat, or any other role the next Join messages.
    Instant nextHeartbeat_{};
    /// When the leader next checks the membership. Separate from nextHeartbeat_, which every read
    /// postpones.
    Instant nextMembershipCheck_{};
    std::uint64_t termStartIndex_ = 0; ///< index of the Noop that starts this leader's term
    std::vector<PendingRead> pendingReads_;
    std::map<std::string, Join> joins_; ///< last Join of each process, also of this one, by name
    std::map<std::string, Instant> joinTimes_; ///< when each Join of joins_ was stored, by name
    std::string leaderHint_; ///< name of the leader according to another process; may be empty
    bool transferringLeadership_ = false; ///< true: the leader refuses new commands
    Instant transferStartedAt_{}; ///< when the leadership was last offered to a voter
    /// The process is about to end: it refuses new commands and stands for no election.
    bool stopping_ = false;
    bool removed_ = false; ///< while stopping: a leader has said that this is no member any more
    std::mt19937_64 randomEngine_; ///< generates the random election timeouts
};

/// @brief Work that a call of the consensus requests from its caller.
struct ConsensusOutput
{
    std::vector<std::pair<std::string, Message>> messages_; ///< name of the recipient and message
    std::vector<PersistBatch> batches_; ///< to be written and synced in this order
    std::vector<LogEntry> committedEntries_; ///< to be applied to the state machine in this order
    std::optional<Snapshot> restoredSnapshot_; ///< to be loaded before committedEntries_ is applied
    std::vector<std::uint64_t> snapshotTargets_; ///< ids of members to call sendSnapshot for
    std::vector<std::uint64_t> confirmedReads_; ///< tokens of reads that may be answered now
    std::vector<std::uint64_t> failedReads_; ///< tokens of reads that have to be refused
    std::vector<std::string> decisionLines_; ///< for the decision log
};

/// @brief Creates the initial state from the data loaded from disk.
/// @param settings the configuration
/// @param loaded hard state, snapshot and entries found on disk
/// @param now local time
/// @return the state of a follower or learner, depending on the loaded member list
ConsensusState makeConsensus(const ConsensusSettings &settings, const LoadedState &loaded,
                             Instant now);

/// @brief Performs the work that is due: elections, heartbeats, check-quorum, membership changes.
/// @param state the state
/// @param now local time
/// @param wall wall-clock time, stored in the entries that the leader appends
/// @param output receives the requested work
void tick(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output);

/// @brief Returns the time at which tick has to be called next.
Instant nextWake(const ConsensusState &state);

/// @brief Handles a consensus message; ignores messages of any other type.
/// @param state the state
/// @param now local time
/// @param from name of the sender
/// @param message the message
/// @param output receives the requested work
void step(ConsensusState &state, Instant now, const std::string &from, const Message &message,
          ConsensusOutput &output);

/// @brief Handles the completion of a sync.
/// @param state the state
/// @param now local time
/// @param sequence sequence number of the last durable batch
/// @param output receives the requested work
void onSynced(ConsensusState &state, Instant now, std::uint64_t sequence, ConsensusOutput &output);

/// @brief Appends a command to the log, if this member leads.
/// @param state the state
/// @param now local time
/// @param wall wall-clock time, stored in the entry
/// @param command the command
/// @param output receives the requested work
/// @return index of the new entry, or nothing if this member isn't the leader or is handing the
/// leadership over
std::optional<std::uint64_t> append(ConsensusState &state, Instant now, WallTime wall,
                                    const Command &command, ConsensusOutput &output);

/// @brief Starts a linearizable read, if this member leads.
/// @param state the state
/// @param now local time
/// @param token returned in confirmedReads_ or failedReads_ when the read ends
/// @param output receives the requested work
/// @return false if this member isn't the leader
bool startRead(ConsensusState &state, Instant now, std::uint64_t token, ConsensusOutput &output);

/// @brief Tells whether so much was applied since the newest snapshot that the next one is due.
bool isSnapshotDue(const ConsensusState &state);

/// @brief Persists a snapshot and removes the older part of the log that it covers.
/// @param state the state
/// @param snapshot the state machine at appliedIndex_
/// @param output receives the requested work
void compact(ConsensusState &state, Snapshot snapshot, ConsensusOutput &output);

/// @brief Sends a snapshot to a member listed in ConsensusOutput::snapshotTargets_.
/// @param state the state
/// @param now local time
/// @param member id of the recipient
/// @param snapshot the state machine at appliedIndex_
/// @param output receives the requested work
void sendSnapshot(ConsensusState &state, Instant now, std::uint64_t member, Snapshot snapshot,
                  ConsensusOutput &output);

/// @brief Offers the leadership to the voter with the complete log that was heard last.
///
/// If that voter doesn't take it, because it has just failed, a later call offers it to another.
/// @param state the state
/// @param now local time
/// @param output receives the requested work
/// @return false if this member isn't the leader or no other voter has the complete log
bool transferLeadership(ConsensusState &state, Instant now, ConsensusOutput &output);

/// @brief Gives up the leadership and fails pending reads, if this member is the leader.
/// @param state the state
/// @param now local time
/// @param reason reason for the decision log
/// @param output receives the requested work
void stepDown(ConsensusState &state, Instant now, const std::string &reason,
              ConsensusOutput &output);

/// @brief Returns the member list in force; empty if there is none yet.
const std::vector<Member> &members(const ConsensusState &state);

/// @brief Finds a member of the list in force by its id.
/// @return the member, or nullptr
const Member *findMember(const ConsensusState &state, std::uint64_t id);

/// @brief Returns the index of the newest log entry.
std::uint64_t lastIndex(const ConsensusState &state);

/// @brief Returns the term of the entry at an index.
/// @return the term, or nothing if the entry is neither in memory nor the one at baseIndex_
std::optional<std::uint64_t> termAt(const ConsensusState &state, std::uint64_t index);

/// @brief Tells whether this member is the leader and has committed an entry of its own term.
bool leads(const ConsensusState &state);

/// @brief Returns an upper bound on the time by which the applied state lags behind a quorum.
/// @param state the state
/// @param now local time
/// @return the bound, or nothing if no leader has been heard since the start
std::optional<nanoseconds> maxStaleness(const ConsensusState &state, Instant now);

} // namespace chervilspring
