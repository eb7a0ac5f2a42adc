/// @file
/// @brief Tracks the state of a stage upstream and of its storage for results.
///
/// Designed for workloads in which results are large compared with the storage of the upstreams
/// that produce them.
#pragma once

#include "chervilspring/detail/avoidance.hpp"
#include "chervilspring/fleet.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilspring {

/// @brief Time after which an upstream has received the message that frees a result.
inline constexpr nanoseconds resultFreeDelay = milliseconds(10);

/// @brief A result that occupies storage at the upstream that produced it.
struct HeldResult
{
    std::uint64_t bytes_ = 0; ///< approximate size
    Instant expiresAt_{}; ///< when the result stops occupying storage
    std::string request_; ///< id of the client attempt whose piece it is
    std::uint32_t stage_ = 0; ///< index of the stage within the route
    std::uint32_t piece_ = 0; ///< index of the piece within the stage
};

/// @brief A scheduler's view of one stage upstream.
struct StageUpstream
{
    std::uint64_t call_ = 0; ///< id of the call in progress; 0: none
    Avoidance avoidance_; ///< backoff after failed calls
    Instant busyUntil_{}; ///< no call is started before this time, since one was refused
    double slowdown_ = 1.0; ///< moving average of measured call time divided by expected
    std::uint64_t reservedBytes_ = 0; ///< storage reserved for the call in progress
    Instant storageFullUntil_{}; ///< storage counts as full before this time
    double usableFraction_ = 1.0; ///< fraction of the storage that this scheduler uses, 0 to 1
    std::uint64_t unknownBytes_ = 0; ///< storage occupied by results unknown to this scheduler
    Instant unknownExpireAt_{}; ///< time by which all unknown results have expired
    std::map<std::string, HeldResult> heldResults_; ///< known results by handle
};

/// @brief Returns the storage in bytes that is available for further results.
std::uint64_t availableBytes(const StageUpstream &upstream, const PieceCapacity &capacity,
                             Instant now);

/// @brief Returns the storage in bytes of known results and of the call in progress.
std::uint64_t knownBytes(const StageUpstream &upstream, Instant now);

/// @brief Records storage occupied by results of calls that the previous scheduler made.
/// @param bytes storage that the results occupy
/// @param until time by which all of them have expired
void recordUnknownResults(StageUpstream &upstream, std::uint64_t bytes, Instant until);

/// @brief Records that results are freed.
///
/// Their storage counts as occupied until the upstream has received the message.
void freeResults(StageUpstream &upstream, const std::vector<std::string> &handles, Instant now);

/// @brief Records that an upstream ran out of storage although this scheduler counted some as free.
///
/// The storage counts as full for a while, and the usable fraction is lowered: other schedulers may
/// use the upstream as well, or results may be larger than configured.
void recordStorageFull(StageUpstream &upstream, Instant now);

/// @brief Records that an upstream stored all results of a call: raises the usable fraction.
void recordStorageAvailable(StageUpstream &upstream);

} // namespace chervilspring
