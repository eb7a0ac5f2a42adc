/// @file
/// @brief Reducer of a control process: consensus, state machine, node leases and operator calls.
#pragma once

#include "chervilspring/detail/control/consensus.hpp"
#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/events.hpp"
#include "chervilspring/fleet_blocks.hpp"

namespace chervilspring {

/// @brief A batch has been synced to disk.
struct BatchSynced
{
    std::uint64_t sequence_ = 0; ///< PersistBatch::sequence_ of the batch
};
BOOST_DESCRIBE_STRUCT(BatchSynced, (), (sequence_))

/// @brief A command received from an operator at the local HTTP port.
struct LocalProposal
{
    std::uint64_t token_ = 0; ///< returned in AnswerProposal
    Command command_;
};
BOOST_DESCRIBE_STRUCT(LocalProposal, (), (token_, command_))

/// @brief A linearizable read requested by an operator at the local HTTP port.
struct LocalRead
{
    std::uint64_t token_ = 0; ///< returned in AnswerRead
};
BOOST_DESCRIBE_STRUCT(LocalRead, (), (token_))

/// @brief An announcement received from a direct upstream at the local HTTP port.
struct LocalAnnouncement
{
    std::uint64_t token_ = 0; ///< returned in AnswerProposal
    Upstream upstream_;
};
BOOST_DESCRIBE_STRUCT(LocalAnnouncement, (), (token_, upstream_))

/// @brief A direct upstream says to this process that it leaves. It doesn't name its start.
struct LocalDeparture
{
    std::uint64_t token_ = 0; ///< returned with the answer
    std::string upstream_; ///< name
};
BOOST_DESCRIBE_STRUCT(LocalDeparture, (), (token_, upstream_))

/// @brief The settings now list other control processes.
struct SeedsChanged
{
    std::vector<std::string> names_; ///< new value of ConsensusSettings::controlNames_
};
BOOST_DESCRIBE_STRUCT(SeedsChanged, (), (names_))

using ControlEvent =
    std::variant<PeerMessage, PeerLost, BatchSynced, LocalProposal, LocalRead, Wake, StopRequested,
                 LocalAnnouncement, LocalDeparture, SeedsChanged>;

/// @brief Requests an answer to a LocalProposal, LocalAnnouncement or LocalDeparture.
struct AnswerProposal
{
    std::uint64_t token_ = 0; ///< token of the event
    Outcome outcome_;
    std::string leader_; ///< name of the leader, which the caller can retry at; may be empty
};
BOOST_DESCRIBE_STRUCT(AnswerProposal, (), (token_, outcome_, leader_))

/// @brief Requests an answer to a LocalRead.
struct AnswerRead
{
    std::uint64_t token_ = 0; ///< token of the LocalRead
    bool ok_ = false; ///< true: the state may be read now; false: this process can't confirm it
    std::string leader_; ///< name of the leader, which the caller can retry at; may be empty
};
BOOST_DESCRIBE_STRUCT(AnswerRead, (), (token_, ok_, leader_))

using ControlEffect = std::variant<SendToPeer, SendToPeers, PersistBatch, AnswerProposal,
                                   AnswerRead, DecisionLine, StopNow>;
using ControlEffects = std::vector<ControlEffect>;

/// @brief The proposer that waits for the outcome of a log entry.
struct Waiter
{
    std::uint64_t term_ = 0; ///< term of the proposed entry
    std::string peer_; ///< name of the node that sent the proposal; empty: a local event
    std::uint64_t token_ = 0; ///< token of the local event, or Propose::sequence_ of the peer
};

/// @brief Last known status of a node that sends heartbeats or announcements.
struct NodeStatus
{
    Instant lastHeard_{}; ///< when its last heartbeat or announcement arrived
    std::uint64_t viewVersion_ = 0; ///< newest version of the view that the node has applied
    std::uint64_t fleetVersion_ = 0; ///< version of the fleet configuration in that view
    std::uint64_t sentVersion_ = 0; ///< version that it has once all sent updates have arrived
    /// Version of an update that no heartbeat has confirmed yet; 0: there is none.
    std::uint64_t unconfirmedVersion_ = 0;
    Instant unconfirmedSince_{}; ///< when that update was sent
    bool isAgent_ = false; ///< the node is an agent or a direct upstream
    bool isEntry_ = false; ///< the node is an entry
    bool holdsView_ = false; ///< the node sends heartbeats and gets the view; others announce only
    std::uint64_t agentBoot_ = 0; ///< boot id of the agent or direct upstream, 0: neither
    Load load_; ///< load of the agent's upstream
    std::uint32_t share_ = 0; ///< share of the fleet-wide limits granted to it, in millionths
    Instant shareExpires_{}; ///< when share_ becomes available to other entries
    std::optional<Upstream> proposedAnnouncement_; ///< last announcement appended to the log
    Instant proposedAt_{}; ///< when proposedAnnouncement_ was appended
    std::uint64_t sequence_ = 0; ///< highest announcement sequence of a direct upstream
    std::uint64_t sequenceBoot_ = 0; ///< boot id that sequence_ belongs to
};

/// @brief Announcements of a direct upstream after its departure, each with a higher sequence.
struct ReturnEvidence
{
    std::uint64_t boot_ = 0; ///< boot id in the announcements
    std::uint64_t sequence_ = 0; ///< sequence of the last one
    int announcements_ = 0; ///< number of them
    Instant firstAt_{}; ///< when the first one arrived
    Instant lastAt_{}; ///< when the last one arrived
};

/// @brief State of a suspect, and since when this process, as the leader, has seen it.
struct SuspectAge
{
    std::uint32_t crashes_ = 0;
    std::uint32_t trials_ = 0;
    TrialPhase trialPhase_ = TrialPhase::None;
    Instant since_{};
};

/// @brief The blocks of a large fleet configuration, which nodes fetch one by one.
struct FleetBlocks
{
    std::uint64_t fleetVersion_ = 0; ///< View::fleetVersion_ of the configuration
    std::vector<std::uint64_t> digests_; ///< in order; empty if the configuration isn't large
    std::map<std::uint64_t, Fleet> parts_; ///< by digest
};

/// @brief Configuration of a control process.
struct ControlSettings
{
    ConsensusSettings consensus_;
    milliseconds nodeLease_{3000}; ///< silence after which a node's lease expires
};

/// @brief Complete state of a control process.
struct ControlState
{
    ControlSettings settings_;
    ConsensusState consensus_;
    FleetState fleet_; ///< the replicated state machine
    FleetBlocks fleetBlocks_; ///< those of the configuration that was sent last
    std::map<std::uint64_t, Waiter> waiters_; ///< by log index
    std::map<std::string, NodeStatus> nodes_; ///< by node name
    std::map<std::string, ReturnEvidence> returnEvidence_; ///< by name of the upstream
    std::map<std::uint64_t, SuspectAge> suspectAges_; ///< by digest
    MemberRole lastRole_ = MemberRole::Learner; ///< role at the end of the last step
    Instant leadingSince_{}; ///< when this process last became leader
    bool ledBeforeFirstFleet_ = false; ///< became leader before any fleet configuration existed
    Instant nextSweep_{}; ///< when leases and suspects are next checked for expiry
    Instant nextPushAt_{}; ///< earliest time of the next push of the view to the nodes
    bool pushPending_ = false; ///< the view has changed since the last push
    Instant stopDeadline_{}; ///< when the process stops at the latest; zero: it isn't stopping
    bool stopped_ = false; ///< StopNow was requested
};

/// @brief Creates the initial state from the data loaded from disk.
/// @param settings the configuration
/// @param loaded hard state, snapshot and entries found on disk
/// @param now local time
/// @return the state of a process that doesn't lead yet
ControlState makeControl(const ControlSettings &settings, const LoadedState &loaded, Instant now);

/// @brief Handles one event.
/// @param state the state
/// @param now local time
/// @param wall wall-clock time, stored in the entries that the leader appends
/// @param event the event
/// @param effects receives the requested effects; they have to be executed in order
/// @since 0.1.0
void reduce(ControlState &state, Instant now, WallTime wall, const ControlEvent &event,
            ControlEffects &effects);

/// @brief Returns the time at which the next Wake event is due.
Instant nextWake(const ControlState &state);

/// @brief Returns the name of the leader, empty if unknown.
std::string leaderName(const ControlState &state);

} // namespace chervilspring
