/// @file
/// @brief Events and effects that are common to the reducers of all roles.
#pragma once

#include "chervilspring/messages.hpp"

namespace chervilspring {

/// @brief Event: a message from another process arrived.
struct PeerMessage
{
    std::string peer_; ///< name of the sender
    Message message_;
};
BOOST_DESCRIBE_STRUCT(PeerMessage, (), (peer_, message_))

/// @brief Event: the connection to another process was lost.
struct PeerLost
{
    std::string peer_; ///< name of the other process
};
BOOST_DESCRIBE_STRUCT(PeerLost, (), (peer_))

/// @brief Event: the time that nextWake() returned has come.
struct Wake
{ };
BOOST_DESCRIBE_STRUCT(Wake, (), ())

/// @brief Event: the process was asked to stop.
struct StopRequested
{ };
BOOST_DESCRIBE_STRUCT(StopRequested, (), ())

/// @brief Event: the process is about to stop. StopRequested follows.
struct ExitScheduled
{
    Instant exitAt_{}; ///< the process leaves then, whatever it has not finished
};
BOOST_DESCRIBE_STRUCT(ExitScheduled, (), (exitAt_))

/// @brief Event: a caller closed its connection.
struct CallerGone
{
    std::uint64_t token_ = 0; ///< token of the caller's request
};
BOOST_DESCRIBE_STRUCT(CallerGone, (), (token_))

/// @brief Effect: send a message to another process if it is connected.
struct SendToPeer
{
    std::string peer_; ///< name of the receiver
    Message message_;
};
BOOST_DESCRIBE_STRUCT(SendToPeer, (), (peer_, message_))

/// @brief Effect: send the same message to several processes, each if it is connected.
struct SendToPeers
{
    std::vector<std::string> peers_; ///< names of the receivers
    Message message_;
};
BOOST_DESCRIBE_STRUCT(SendToPeers, (), (peers_, message_))

/// @brief Effect: write a line to the log.
struct DecisionLine
{
    std::string text_; ///< key=value pairs, starting with "decision="
};
BOOST_DESCRIBE_STRUCT(DecisionLine, (), (text_))

/// @brief Effect: end the process; its work is finished.
struct StopNow
{ };
BOOST_DESCRIBE_STRUCT(StopNow, (), ())

/// @brief The node received a newer view, or confirmation that its view is current.
///
/// Effect of the node reducer, event of the others.
struct ViewChanged
{
    ViewPointer view_;
    Instant asOf_{}; ///< the view was current at this time
    std::uint32_t share_ = 0; ///< share of fleet-wide limits, in millionths
    Instant shareExpires_{}; ///< end of the lease on share_
    std::string leader_; ///< name of the leader of the control processes, empty if unknown
    std::vector<std::string> controlNames_; ///< names of the known control processes
};

/// @brief Effect: have the control processes commit a command.
struct SubmitProposal
{
    std::uint64_t token_ = 0; ///< returned in the ProposalAnswered event; 0: the answer is ignored
    Command command_;
    nanoseconds patience_{0}; ///< timeout for the commit
};
BOOST_DESCRIBE_STRUCT(SubmitProposal, (), (token_, command_, patience_))

/// @brief Event: a submitted command was committed or refused, or timed out.
struct ProposalAnswered
{
    std::uint64_t token_ = 0; ///< token of the SubmitProposal effect
    Outcome outcome_;
};
BOOST_DESCRIBE_STRUCT(ProposalAnswered, (), (token_, outcome_))

} // namespace chervilspring
