#include "chervilspring/detail/scheduler/stage_room.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr nanoseconds freeLag = milliseconds(10); // until an upstream has heard that it may free
constexpr nanoseconds fullPause = milliseconds(150); // less than a call: results go meanwhile
constexpr double roomDecrease = 0.9; // multiplicative, as for congestion windows
constexpr double roomIncrease = 0.005; // for each call that found room
constexpr double leastUsableRoom = 0.8;

} // namespace

std::uint64_t ownBytes(const StageUpstream &upstream, Instant now)
{
    std::uint64_t bytes = upstream.reservedBytes_;
    for (const auto &[handle, result] : upstream.held_)
        bytes += result.expiresAt_ > now ? result.bytes_ : 0;
    return bytes;
}

void noteUnknownResults(StageUpstream &upstream, std::uint64_t bytes, Instant until)
{
    upstream.unknownBytes_ = bytes;
    upstream.unknownUntil_ = until;
}

std::uint64_t freeRoom(const StageUpstream &upstream, const PieceCapacity &capacity, Instant now)
{
    if (upstream.fullUntil_ > now)
        return 0;
    const std::uint64_t used =
        ownBytes(upstream, now) + (upstream.unknownUntil_ > now ? upstream.unknownBytes_ : 0);
    const auto usable = static_cast<std::uint64_t>(static_cast<double>(capacity.resultBytes_)
                                                   * upstream.usableRoom_);
    return usable > used ? usable - used : 0;
}

void giveBack(StageUpstream &upstream, const std::string &handle, Instant now)
{
    const auto found = upstream.held_.find(handle);
    if (found != upstream.held_.end())
        found->second.expiresAt_ = std::min(found->second.expiresAt_, now + freeLag);
    std::erase_if(upstream.held_, [&](const auto &item) { return item.second.expiresAt_ <= now; });
}

void noteNoRoom(StageUpstream &upstream, Instant now)
{
    upstream.fullUntil_ = now + fullPause;
    upstream.usableRoom_ = std::max(leastUsableRoom, upstream.usableRoom_ * roomDecrease);
}

void noteRoom(StageUpstream &upstream)
{
    upstream.usableRoom_ = std::min(1.0, upstream.usableRoom_ + roomIncrease);
}

} // namespace chervilspring
