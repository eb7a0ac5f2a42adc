#include "chervilspring/detail/net/frame.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

namespace chervilspring {

namespace {

constexpr std::size_t headerBytes = sizeof(std::uint32_t) + sizeof(std::int64_t);
constexpr std::int64_t clockDriftDivisor = 5000; // tolerates a drift of 200 ppm
constexpr std::size_t readBytes = 4096; // read from a socket at once
constexpr std::size_t maxKeptBytes = 65536; // a larger buffer is given back once it is empty

// Reads until the buffer has a number of unread bytes.
boost::asio::awaitable<void> readUntil(boost::asio::ip::tcp::socket &socket, FrameBuffer &buffer,
                                       std::size_t count)
{
    namespace asio = boost::asio;
    while (buffer.bytes_.size() - buffer.offset_ < count) {
        buffer.bytes_.erase(0, std::exchange(buffer.offset_, 0));
        if (buffer.bytes_.empty() && buffer.bytes_.capacity() > maxKeptBytes)
            buffer.bytes_.shrink_to_fit();
        const std::size_t filled = buffer.bytes_.size();
        const std::size_t missing = count > filled ? count - filled : 0;
        buffer.bytes_.resize(filled + std::max(readBytes, missing));
        const std::size_t read = co_await socket.async_read_some(
            asio::buffer(buffer.bytes_.data() + filled, buffer.bytes_.size() - filled),
            asio::use_awaitable);
        buffer.bytes_.resize(filled + read);
    }
}

} // namespace

std::string makeFrame(Instant now, const std::string &payload)
{
    std::string bytes(headerBytes, '\0');
    const auto length = static_cast<std::uint32_t>(payload.size());
    const std::int64_t clock = now.time_since_epoch().count();
    std::memcpy(bytes.data(), &length, sizeof length);
    std::memcpy(bytes.data() + sizeof length, &clock, sizeof clock);
    return bytes + payload;
}

boost::asio::awaitable<Frame> readFrame(boost::asio::ip::tcp::socket &socket, FrameBuffer &buffer,
                                        std::size_t limit)
{
    co_await readUntil(socket, buffer, headerBytes);
    std::uint32_t length = 0;
    std::int64_t clock = 0;
    const char *header = buffer.bytes_.data() + buffer.offset_;
    std::memcpy(&length, header, sizeof length);
    std::memcpy(&clock, header + sizeof length, sizeof clock);
    if (length > limit)
        throw boost::system::system_error(boost::asio::error::message_size);
    co_await readUntil(socket, buffer, headerBytes + length);
    Frame frame;
    frame.senderClock_ = nanoseconds(clock);
    frame.payload_ = buffer.bytes_.substr(buffer.offset_ + headerBytes, length);
    buffer.offset_ += headerBytes + length;
    co_return frame;
}

FrameDelayEstimator::FrameDelayEstimator(nanoseconds senderClock, Instant received)
    : minClockOffset_(received.time_since_epoch() - senderClock), updatedAt_(received)
{ }

nanoseconds FrameDelayEstimator::estimateDelay(nanoseconds senderClock, Instant received)
{
    minClockOffset_ += (received - updatedAt_) / clockDriftDivisor;
    updatedAt_ = received;
    const nanoseconds clockOffset = received.time_since_epoch() - senderClock;
    if (clockOffset < minClockOffset_)
        minClockOffset_ = clockOffset;
    return clockOffset - minClockOffset_;
}

} // namespace chervilspring
