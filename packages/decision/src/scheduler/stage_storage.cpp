#include "chervilspring/detail/scheduler/stage_storage.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

// Time for which storage counts as full after it ran out. It is shorter than a call, and results
// are freed meanwhile.
constexpr nanoseconds fullPause = milliseconds(150);
// Additive increase, multiplicative decrease of the usable fraction, as for congestion windows.
constexpr double usableDecreaseFactor = 0.9; // for each call that found the storage full
constexpr double usableIncrease = 0.005; // for each call whose results all found storage
constexpr double minUsableFraction = 0.8;

} // namespace

std::uint64_t knownBytes(const StageUpstream &upstream, Instant now)
{
    std::uint64_t bytes = upstream.reservedBytes_;
    for (const auto &[handle, result] : upstream.heldResults_)
        bytes += result.expiresAt_ > now ? result.bytes_ : 0;
    return bytes;
}

void recordUnknownResults(StageUpstream &upstream, std::uint64_t bytes, Instant until)
{
    upstream.unknownBytes_ = bytes;
    upstream.unknownExpireAt_ = until;
}

std::uint64_t availableBytes(const StageUpstream &upstream, const PieceCapacity &capacity,
                             Instant now)
{
    if (upstream.storageFullUntil_ > now)
        return 0;
    const std::uint64_t used =
        knownBytes(upstream, now) + (upstream.unknownExpireAt_ > now ? upstream.unknownBytes_ : 0);
    const auto usable = static_cast<std::uint64_t>(static_cast<double>(capacity.resultBytes_)
                                                   * upstream.usableFraction_);
    return usable > used ? usable - used : 0;
}

void freeResults(StageUpstream &upstream, const std::vector<std::string> &handles, Instant now)
{
    for (const std::string &handle : handles) {
        const auto found = upstream.heldResults_.find(handle);
        if (found != upstream.heldResults_.end())
            found->second.expiresAt_ = std::min(found->second.expiresAt_, now + resultFreeDelay);
    }
    std::erase_if(upstream.heldResults_,
                  [&](const auto &item) { return item.second.expiresAt_ <= now; });
}

void recordStorageFull(StageUpstream &upstream, Instant now)
{
    upstream.storageFullUntil_ = now + fullPause;
    upstream.usableFraction_ =
        std::max(minUsableFraction, upstream.usableFraction_ * usableDecreaseFactor);
}

void recordStorageAvailable(StageUpstream &upstream)
{
    upstream.usableFraction_ = std::min(1.0, upstream.usableFraction_ + usableIncrease);
}

} // namespace chervilspring
