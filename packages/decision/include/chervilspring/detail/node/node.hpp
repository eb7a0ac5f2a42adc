/// @file
/// @brief Client side of the control processes, shared by entries and agents.
///
/// Sends heartbeats, keeps the view of the fleet current and submits commands. A node that has no
/// contact with any control process gets newer views from its peers.
#pragma once

#include "chervilspring/events.hpp"

#include <map>
#include <random>

namespace chervilspring {

/// @brief Settings of a node, which is an entry or an agent.
struct NodeSettings
{
    std::string name_; ///< name of the entry or agent
    bool isEntry_ = false; ///< true: an entry; false: an agent
    std::vector<std::string> controlNames_; ///< names of the control processes
    bool openMembership_ = false; ///< heartbeat replies that name the members update controlNames_
    std::uint64_t seed_ = 1; ///< seed of the random numbers
};

/// @brief The announcement of the local upstream changed; agents only.
struct AnnouncementChanged
{
    Upstream upstream_;
};
BOOST_DESCRIBE_STRUCT(AnnouncementChanged, (), (upstream_))

/// @brief The load of the local upstream changed; sent with the next heartbeat; agents only.
struct LoadChanged
{
    Load load_;
};
BOOST_DESCRIBE_STRUCT(LoadChanged, (), (load_))

/// @brief A peer holds a newer version of the view than this node.
struct NewerVersionSeen
{
    std::string peer_; ///< name of the peer
    std::uint64_t version_ = 0; ///< version of the peer's view
};
BOOST_DESCRIBE_STRUCT(NewerVersionSeen, (), (peer_, version_))

/// @brief The settings were reloaded; adds their control processes to the known ones.
struct ControlNamesChanged
{
    std::vector<std::string> names_; ///< names of control processes
};
BOOST_DESCRIBE_STRUCT(ControlNamesChanged, (), (names_))

using NodeEvent = std::variant<PeerMessage, PeerLost, SubmitProposal, AnnouncementChanged,
                               LoadChanged, NewerVersionSeen, Wake, ControlNamesChanged>;
using NodeEffect = std::variant<SendToPeer, ViewChanged, ProposalAnswered, DecisionLine>;
using NodeEffects = std::vector<NodeEffect>;

/// @brief A command that was submitted and not yet answered.
struct PendingProposal
{
    std::uint64_t token_ = 0; ///< token of the SubmitProposal
    Command command_;
    Instant expiresAt_{}; ///< time at which the proposal fails as OutcomeKind::Unavailable
    Instant resendAt_{}; ///< time at which the proposal is sent again
    std::string sentTo_; ///< name of the control process that the proposal was last sent to
};

/// @brief The blocks of a large fleet configuration that are being fetched.
struct FleetTransfer
{
    std::uint64_t fleetVersion_ = 0; ///< version of the configuration; 0: nothing is fetched
    std::vector<std::uint64_t> digests_; ///< of its blocks, in order
    std::map<std::uint64_t, Fleet> parts_; ///< blocks that are present, by digest
    std::set<std::uint64_t> requested_; ///< digests of the blocks that source_ was asked for
    std::string source_; ///< control process that is asked
    Instant progressAt_{}; ///< when source_ was first asked, or last sent a block
};

/// @brief The state of a node.
struct NodeState
{
    NodeSettings settings_;
    ViewPointer view_ = std::make_shared<const View>();
    Instant asOf_{}; ///< the view was current at this time; zero: never
    std::uint32_t share_ = 0; ///< share of fleet-wide limits, in millionths
    Instant shareExpires_{}; ///< end of the lease on share_
    std::string leader_; ///< presumed leader of the control processes, empty if unknown
    std::string lostLeader_; ///< last leader to which the connection broke
    Instant lostLeaderAt_{}; ///< time at which the connection to lostLeader_ broke
    std::size_t nextControlIndex_ = 0; ///< next control process to try while no leader is known
    std::optional<Upstream> upstream_; ///< local upstream; agents only
    Load load_; ///< load of the local upstream; agents only
    Instant heartbeatAt_{}; ///< time of the next heartbeat
    std::map<std::string, Instant>
        heartbeatSent_; ///< time of the oldest unanswered heartbeat by peer
    std::string
        viewAwaitedFrom_; ///< control process that was asked for the whole view; may be empty
    Instant viewAwaitedSince_{}; ///< when it was asked
    FleetTransfer transfer_;
    std::map<std::uint64_t, PendingProposal> proposals_; ///< by sequence number
    std::uint64_t nextSequence_ = 1;
    std::mt19937_64 random_;
};

/// @brief Creates the initial state of a node.
NodeState makeNode(const NodeSettings &settings);

/// @brief Handles one event.
/// @param state the state
/// @param now local time
/// @param event the event
/// @param effects receives the effects to carry out, in order
/// @since 0.1.0
void reduce(NodeState &state, Instant now, const NodeEvent &event, NodeEffects &effects);

/// @brief Time at which the next Wake event is due.
Instant nextWake(const NodeState &state);

/// @brief Applies an update to a view.
/// @param view the current view
/// @param update the update
/// @return the newer view, or nullptr if the update is not newer or starts at a later version than
/// the view; a view is never replaced by an older one
ViewPointer updateView(const View &view, const ViewUpdate &update);

} // namespace chervilspring
