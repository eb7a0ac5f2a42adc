/// @file
/// @brief What every entry and agent does towards the control processes: heartbeats, keeping the
/// view current, having commands committed.
///
/// A node that hears from no control process learns newer versions from its peers.
#pragma once

#include "chervilspring/events.hpp"

#include <map>
#include <random>

namespace chervilspring {

/// @brief Settings of the node's part.
struct NodeSettings
{
    std::string name_;
    bool isEntry_ = false;
    std::vector<std::string> controlNames_;
    bool openMembership_ = false; ///< controlNames_ grows by the members that replies name
    std::uint64_t seed_ = 1;
};

/// @brief The local upstream changed; agents only.
struct AnnouncementChanged
{
    Upstream upstream_;
};
BOOST_DESCRIBE_STRUCT(AnnouncementChanged, (), (upstream_))

/// @brief Load of the local upstream, for the next heartbeat; agents only.
struct LoadChanged
{
    Load load_;
};
BOOST_DESCRIBE_STRUCT(LoadChanged, (), (load_))

/// @brief A peer was seen to hold a newer version than this node.
struct NewerVersionSeen
{
    std::string peer_;
    std::uint64_t version_ = 0;
};
BOOST_DESCRIBE_STRUCT(NewerVersionSeen, (), (peer_, version_))

/// @brief Control processes to begin with, from newer settings.
struct ControlNamesChanged
{
    std::vector<std::string> names_;
};
BOOST_DESCRIBE_STRUCT(ControlNamesChanged, (), (names_))

using NodeEvent = std::variant<PeerMessage, PeerLost, SubmitProposal, AnnouncementChanged,
                               LoadChanged, NewerVersionSeen, Wake, ControlNamesChanged>;
using NodeEffect = std::variant<SendToPeer, ViewChanged, ProposalAnswered, DecisionLine>;
using NodeEffects = std::vector<NodeEffect>;

/// @brief A command on its way to the leader.
struct PendingProposal
{
    std::uint64_t token_ = 0;
    Command command_;
    Instant giveUpAt_{};
    Instant resendAt_{};
    std::string sentTo_;
};

/// @brief State of the node's part.
struct NodeState
{
    NodeSettings settings_;
    ViewPointer view_ = std::make_shared<const View>();
    Instant asOf_{}; ///< the view was current at this time; zero: never
    std::uint32_t share_ = 0;
    Instant shareExpires_{};
    std::string leader_; ///< best guess
    std::string lostLeader_; ///< leader whose connection broke last
    Instant lostLeaderAt_{};
    std::size_t nextGuess_ = 0;
    std::optional<Upstream> upstream_;
    Load load_;
    Instant heartbeatAt_{};
    std::map<std::string, Instant> heartbeatSent_; ///< oldest unanswered, by peer
    std::map<std::uint64_t, PendingProposal> proposals_; ///< by sequence
    std::uint64_t nextSequence_ = 1;
    std::mt19937_64 random_;
};

/// @brief Initial state.
NodeState makeNode(const NodeSettings &settings);

/// @brief Handles one event.
/// @since 0.1.0
void reduce(NodeState &state, Instant now, const NodeEvent &event, NodeEffects &effects);

/// @brief When a Wake event is due.
Instant nextWake(const NodeState &state);

/// @brief Applies an update to a view.
/// @param view the view held so far
/// @param update the update
/// @return the newer view, or nullptr if the update is older or doesn't fit; a view never goes back
ViewPointer updateView(const View &view, const ViewUpdate &update);

} // namespace chervilspring
