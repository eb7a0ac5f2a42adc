/// @file
/// @brief Reducer of a control process: consensus, state machine, node leases, operators' reads.
#pragma once

#include "chervilspring/detail/control/consensus.hpp"
#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/events.hpp"

namespace chervilspring {

/// @brief A batch is on disk.
struct BatchSynced
{
    std::uint64_t sequence_ = 0;
};
BOOST_DESCRIBE_STRUCT(BatchSynced, (), (sequence_))

/// @brief An operator's command, from the local HTTP port.
struct LocalProposal
{
    std::uint64_t token_ = 0;
    Command command_;
};
BOOST_DESCRIBE_STRUCT(LocalProposal, (), (token_, command_))

/// @brief An operator wants a linearizable read.
struct LocalRead
{
    std::uint64_t token_ = 0;
};
BOOST_DESCRIBE_STRUCT(LocalRead, (), (token_))

/// @brief A direct upstream announced itself at the local HTTP port.
struct LocalAnnouncement
{
    std::uint64_t token_ = 0;
    Upstream upstream_;
};
BOOST_DESCRIBE_STRUCT(LocalAnnouncement, (), (token_, upstream_))

/// @brief Other control processes to begin with, from newer settings.
struct SeedsChanged
{
    std::vector<std::string> names_;
};
BOOST_DESCRIBE_STRUCT(SeedsChanged, (), (names_))

using ControlEvent = std::variant<PeerMessage, PeerLost, BatchSynced, LocalProposal, LocalRead,
                                  Wake, StopRequested, LocalAnnouncement, SeedsChanged>;

/// @brief Answer a local proposal.
struct AnswerProposal
{
    std::uint64_t token_ = 0;
    Outcome outcome_;
    std::string leader_; ///< where to go, if this process does not lead
};
BOOST_DESCRIBE_STRUCT(AnswerProposal, (), (token_, outcome_, leader_))

/// @brief Answer a local read; the state may be read now if ok_.
struct AnswerRead
{
    std::uint64_t token_ = 0;
    bool ok_ = false;
    std::string leader_;
};
BOOST_DESCRIBE_STRUCT(AnswerRead, (), (token_, ok_, leader_))

using ControlEffect =
    std::variant<SendToPeer, PersistBatch, AnswerProposal, AnswerRead, DecisionLine, StopNow>;
using ControlEffects = std::vector<ControlEffect>;

/// @brief Who waits for the outcome of a log entry.
struct Waiter
{
    std::uint64_t term_ = 0;
    std::string peer_; ///< empty: a local proposal
    std::uint64_t token_ = 0; ///< local token or the peer's sequence number
};

/// @brief A node as its heartbeats show it.
struct NodeStatus
{
    Instant lastHeard_{};
    std::uint64_t viewVersion_ = 0;
    bool isAgent_ = false;
    bool isEntry_ = false;
    std::uint64_t agentBoot_ = 0;
    Load load_; ///< of an agent's upstream
    std::uint32_t share_ = 0; ///< granted share of fleet-wide limits, in millionths
    Instant shareExpires_{};
    std::optional<Upstream> proposed_; ///< newest announcement handed to the log
    Instant proposedAt_{};
    std::uint64_t sequence_ = 0; ///< of the newest announcement of a direct upstream
    std::uint64_t sequenceBoot_ = 0; ///< boot that sequence_ belongs to
};

/// @brief What stays the same for the life of a control process.
struct ControlSettings
{
    ConsensusSettings consensus_;
    milliseconds nodeLease_{3000};
};

/// @brief Whole state of a control process.
struct ControlState
{
    ControlSettings settings_;
    ConsensusState consensus_;
    FleetState fleet_;
    std::map<std::uint64_t, Waiter> waiters_; ///< by log index
    std::map<std::string, NodeStatus> nodes_;
    std::map<std::uint64_t, std::pair<std::uint32_t, Instant>> suspects_; ///< crashes, seen at
    MemberRole roleBefore_ = MemberRole::Learner;
    Instant leadingSince_{};
    bool founding_ = false; ///< became leader before there was any configuration
    Instant sweepAt_{};
    Instant stopBy_{}; ///< not zero: stopping
};

/// @brief Initial state from what the disk held.
ControlState makeControl(const ControlSettings &settings, const LoadedState &loaded, Instant now);

/// @brief Handles one event.
/// @param state the state
/// @param now local time
/// @param wall wall clock, for entries appended by the leader
/// @param event what happened
/// @param effects receives what has to be done, in order
/// @since 0.1.0
void reduce(ControlState &state, Instant now, WallTime wall, const ControlEvent &event,
            ControlEffects &effects);

/// @brief When a Wake event is due.
Instant nextWake(const ControlState &state);

/// @brief Name of the leader, empty if unknown.
std::string leaderName(const ControlState &state);

} // namespace chervilspring
