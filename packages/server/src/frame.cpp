#include "chervilspring/detail/net/frame.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <array>
#include <cstring>

namespace chervilspring {

namespace {

constexpr std::size_t headerBytes = sizeof(std::uint32_t) + sizeof(std::int64_t);
constexpr std::int64_t clockDriftDivisor = 5000; // tolerates a drift of 200 ppm

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

boost::asio::awaitable<Frame> readFrame(boost::asio::ip::tcp::socket &socket, std::size_t limit)
{
    namespace asio = boost::asio;
    std::array<char, headerBytes> header{};
    co_await asio::async_read(socket, asio::buffer(header), asio::use_awaitable);
    std::uint32_t length = 0;
    std::int64_t clock = 0;
    std::memcpy(&length, header.data(), sizeof length);
    std::memcpy(&clock, header.data() + sizeof length, sizeof clock);
    if (length > limit)
        throw boost::system::system_error(asio::error::message_size);
    Frame frame;
    frame.senderClock_ = nanoseconds(clock);
    frame.payload_.resize(length);
    co_await asio::async_read(socket, asio::buffer(frame.payload_), asio::use_awaitable);
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
