/// @file
/// @brief Framing of connections between two processes.
///
/// A frame consists of the payload's length in bytes (32 bits), the sender's BootClock in ns
/// (64 bits) and the payload. Both numbers are in the byte order of the sender's VM.
#pragma once

#include "chervilspring/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace chervilspring {

/// @brief A received frame.
struct Frame
{
    nanoseconds senderClock_{0}; ///< sender's BootClock when it queued the frame
    std::string payload_;
};

/// @brief Encodes a frame.
/// @param now current time of the sender's BootClock
/// @param payload at most maxFrameBytes
std::string makeFrame(Instant now, const std::string &payload);

/// @brief Bytes of a connection that were read, but not returned as frames yet.
struct FrameBuffer
{
    std::string bytes_; ///< the unread frames start at offset_
    std::size_t offset_ = 0; ///< number of bytes that belong to frames returned before
};

/// @brief Reads one frame. Frames that have arrived together take one read of the socket.
/// @param socket the connection
/// @param buffer the bytes read so far; the same for all frames of the connection
/// @param limit largest accepted payload in bytes
/// @return the frame
/// @throws boost::system::system_error if the connection ends or the payload exceeds the limit
boost::asio::awaitable<Frame> readFrame(boost::asio::ip::tcp::socket &socket, FrameBuffer &buffer,
                                        std::size_t limit);

/// @brief Estimates the one-way delay of frames in order to detect delayed ones.
///
/// Compares the sender's clock with the receiver's. The smallest difference so far is taken as the
/// offset between the clocks; it is raised slowly over time because the clocks of two VMs drift.
class FrameDelayEstimator
{
public:
    /// @brief Initializes the clock offset from a frame of the handshake.
    /// @param senderClock sender's clock in the frame
    /// @param received receiver's clock when the frame was received
    FrameDelayEstimator(nanoseconds senderClock, Instant received);

    /// @brief Returns how much longer this frame took than the fastest one.
    /// @param senderClock sender's clock in the frame
    /// @param received receiver's clock when the frame was received
    nanoseconds estimateDelay(nanoseconds senderClock, Instant received);

private:
    /// Smallest difference so far between the receiver's and the sender's clock, plus the tolerated
    /// drift since then.
    nanoseconds minClockOffset_;
    Instant updatedAt_; ///< when the last frame was received
};

} // namespace chervilspring
