/// @file
/// @brief Replicated log of the control processes, as a pure reducer.
///
/// Terms, pre-vote, check-quorum, read rounds, snapshots, learners, leadership transfer and one
/// membership change at a time. Nothing here reads a clock or does I/O: the caller passes the time
/// in and carries out what stands in ConsensusOutput. Votes and appends are answered after the sync
/// that covers them.
#pragma once

#include "chervilspring/lifecycle.hpp"
#include "chervilspring/persistence.hpp"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace chervilspring {

/// @brief What stays the same for the life of a control process.
struct ConsensusSettings
{
    Member self_;
    std::vector<std::string> controlNames_; ///< all control processes, from the settings
    bool openMembership_ = false; ///< controlNames_ only says where to begin; others may join
    bool mayFound_ = true; ///< false: a blank disk only joins
    milliseconds electionTimeout_{600};
    milliseconds replaceAfter_{30000};
    std::uint32_t snapshotEntries_ = 4096;
    std::uint64_t seed_ = 1; ///< for election timeouts
    std::uint64_t newCluster_ = 0; ///< id used if this process has to found the cluster
};

/// @brief What the leader knows about another member.
struct Progress
{
    std::uint64_t next_ = 1; ///< first entry to send
    std::uint64_t match_ = 0; ///< last entry known to be on its disk
    std::uint64_t ackedRound_ = 0;
    Instant lastHeard_{};
    Instant snapshotSent_{};
};

/// @brief A message that waits for a sync.
struct HeldMessage
{
    std::uint64_t sequence_ = 0;
    std::string peer_;
    Message message_;
};

/// @brief A read that waits for a round of heartbeats.
struct PendingRead
{
    std::uint64_t token_ = 0;
    std::uint64_t round_ = 0;
};

/// @brief Members in force from an index on.
struct MemberList
{
    std::uint64_t index_ = 0;
    std::vector<Member> members_;
};

/// @brief Whole state of the replicated log at one member.
struct ConsensusState
{
    ConsensusSettings settings_;
    HardState hard_;
    MemberRole role_ = MemberRole::Learner;
    std::uint64_t leader_ = 0; ///< member id, 0: unknown
    std::uint64_t baseIndex_ = 0; ///< entry before log_.front()
    std::uint64_t baseTerm_ = 0;
    std::uint64_t snapshotIndex_ = 0;
    std::deque<LogEntry> log_;
    std::vector<MemberList> memberLists_; ///< oldest first; the last one is in force
    std::uint64_t commit_ = 0;
    std::uint64_t applied_ = 0;
    std::uint64_t persistSequence_ = 0;
    std::uint64_t syncedSequence_ = 0;
    std::uint64_t syncedIndex_ = 0;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> unsynced_; ///< sequence, last index
    std::deque<HeldMessage> held_;
    std::map<std::uint64_t, Progress> progress_;
    std::set<std::uint64_t> votes_;
    std::uint64_t candidacySequence_ = 0;
    std::uint64_t round_ = 0;
    std::deque<std::pair<std::uint64_t, Instant>> roundSent_;
    Instant quorumContact_{};
    Instant lastLeaderContact_{};
    Instant electionAt_{};
    Instant heartbeatAt_{};
    Instant planAt_{}; ///< next look at the membership; reads don't postpone it
    std::uint64_t termStart_ = 0; ///< index of this leader's Noop
    std::vector<PendingRead> reads_;
    std::map<std::string, Join> joins_; ///< newest identity heard from each control process
    std::map<std::string, Instant> joinHeard_;
    std::string leaderHint_; ///< leader that another process named, empty if none
    bool transferring_ = false;
    std::mt19937_64 random_;
};

/// @brief What a step of the consensus asks for.
struct ConsensusOutput
{
    std::vector<std::pair<std::string, Message>> messages_; ///< to a member, by name
    std::vector<PersistBatch> batches_;
    std::vector<LogEntry> committed_; ///< to be applied, in order
    std::optional<Snapshot> restored_; ///< replaces the state machine before committed_
    std::vector<std::uint64_t> wantSnapshot_; ///< members that need a snapshot
    std::vector<std::uint64_t> readsDone_; ///< tokens
    std::vector<std::uint64_t> readsFailed_; ///< tokens
    std::vector<std::string> decisions_; ///< log lines
};

/// @brief Initial state from what the disk held.
ConsensusState makeConsensus(const ConsensusSettings &settings, const LoadedState &loaded,
                             Instant now);

/// @brief Time-driven work: elections, heartbeats, check-quorum, membership repair.
/// @param wall leader's wall clock, for entries that it appends
void tick(ConsensusState &state, Instant now, WallTime wall, ConsensusOutput &output);

/// @brief When tick has to be called next.
Instant nextWake(const ConsensusState &state);

/// @brief Handles a message of the consensus; ignores other messages.
/// @param from name of the sender
void step(ConsensusState &state, Instant now, const std::string &from, const Message &message,
          ConsensusOutput &output);

/// @brief Handles the end of a sync.
/// @param sequence of the last batch that is on disk
void synced(ConsensusState &state, Instant now, std::uint64_t sequence, ConsensusOutput &output);

/// @brief Appends a command at the leader.
/// @return its index, or nothing if this member does not lead
std::optional<std::uint64_t> append(ConsensusState &state, Instant now, WallTime wall,
                                    const Command &command, ConsensusOutput &output);

/// @brief Starts a linearizable read at the leader.
/// @param token returned in readsDone_ or readsFailed_
/// @return false if this member does not lead
bool startRead(ConsensusState &state, Instant now, std::uint64_t token, ConsensusOutput &output);

/// @brief Drops entries that a snapshot at applied_ replaces.
/// @param snapshot state machine at applied_
void compact(ConsensusState &state, Snapshot snapshot, ConsensusOutput &output);

/// @brief Sends a snapshot to a member listed in wantSnapshot_.
void sendSnapshot(ConsensusState &state, Instant now, std::uint64_t member, Snapshot snapshot,
                  ConsensusOutput &output);

/// @brief Hands the leadership to the member with the longest log.
/// @return false if there is nobody to hand it to
bool transferLeadership(ConsensusState &state, ConsensusOutput &output);

/// @brief Members in force.
const std::vector<Member> &members(const ConsensusState &state);

/// @brief Finds a member by id.
/// @return the member, or nullptr
const Member *findMember(const ConsensusState &state, std::uint64_t id);

/// @brief Index of the newest entry.
std::uint64_t lastIndex(const ConsensusState &state);

/// @brief Term of an entry.
/// @return nothing if the entry is not in memory
std::optional<std::uint64_t> termAt(const ConsensusState &state, std::uint64_t index);

/// @brief Whether the leader's knowledge is confirmed by a quorum in this term.
bool leads(const ConsensusState &state);

/// @brief How far this member may lag behind a quorum.
/// @return an upper bound, or nothing if it heard from no leader since its start
std::optional<nanoseconds> lag(const ConsensusState &state, Instant now);

} // namespace chervilspring
