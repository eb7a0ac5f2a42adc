/// @file
/// @brief Events and effects that the reducers of all roles share.
#pragma once

#include "chervilspring/messages.hpp"

namespace chervilspring {

/// @brief A message from another process.
struct PeerMessage
{
    std::string peer_;
    Message message_;
};
BOOST_DESCRIBE_STRUCT(PeerMessage, (), (peer_, message_))

/// @brief The connection to a process is gone.
struct PeerLost
{
    std::string peer_;
};
BOOST_DESCRIBE_STRUCT(PeerLost, (), (peer_))

/// @brief The time that nextWake named has come.
struct Wake
{ };
BOOST_DESCRIBE_STRUCT(Wake, (), ())

/// @brief The process was asked to stop.
struct StopRequested
{ };
BOOST_DESCRIBE_STRUCT(StopRequested, (), ())

/// @brief The caller closed its connection.
struct CallerGone
{
    std::uint64_t token_ = 0;
};
BOOST_DESCRIBE_STRUCT(CallerGone, (), (token_))

/// @brief Send a message to a process, if there is a connection.
struct SendToPeer
{
    std::string peer_;
    Message message_;
};
BOOST_DESCRIBE_STRUCT(SendToPeer, (), (peer_, message_))

/// @brief Write a log line.
struct DecisionLine
{
    std::string text_;
};
BOOST_DESCRIBE_STRUCT(DecisionLine, (), (text_))

/// @brief The process may end now.
struct StopNow
{ };
BOOST_DESCRIBE_STRUCT(StopNow, (), ())

/// @brief The node has a newer view, or proof that its view is still current.
struct ViewChanged
{
    ViewPointer view_;
    Instant asOf_{}; ///< the view was current at this time
    std::uint32_t share_ = 0; ///< share of fleet-wide limits, in millionths
    Instant shareExpires_{};
    std::string leader_; ///< leader of the control processes, empty if unknown
    std::vector<std::string> controlNames_;
};

/// @brief Have a command committed by the control processes.
struct SubmitProposal
{
    std::uint64_t token_ = 0;
    Command command_;
    nanoseconds patience_{0}; ///< give up after this time
};
BOOST_DESCRIBE_STRUCT(SubmitProposal, (), (token_, command_, patience_))

/// @brief A submitted command was committed, refused or given up.
struct ProposalAnswered
{
    std::uint64_t token_ = 0;
    Outcome outcome_;
};
BOOST_DESCRIBE_STRUCT(ProposalAnswered, (), (token_, outcome_))

} // namespace chervilspring
