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

namespace chervilspring {

/// @brief A result that occupies storage at the upstream that produced it.
struct HeldResult
{
    std::uint64_t bytes_ = 0;
    Instant expiresAt_{};
};

/// @brief A scheduler's view of one stage upstream.
struct StageUpstream
{
    std::uint64_t call_ = 0; ///< id of the call in progress; 0: none
    Avoidance avoidance_;
    Instant busyUntil_{}; ///< no calls before, because the upstream refused one
    double slowdown_ = 1.0; ///< moving average of measured / expected call time
    std::uint64_t reservedBytes_ = 0; ///< storage reserved for the call in progress
    Instant storageFullUntil_{}; ///< storage counts as full before, after a result found none
    double usableFraction_ = 1.0; ///< fraction of the storage that this scheduler uses, 0 to 1
    std::uint64_t unknownBytes_ = 0; ///< storage of results unknown to this scheduler
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

/// @brief Records that a result is freed.
///
/// Its storage counts as occupied until the upstream has received the message.
void freeResult(StageUpstream &upstream, const std::string &handle, Instant now);

/// @brief Records that an upstream ran out of storage: pauses it and lowers the usable fraction.
///
/// Other schedulers may use the upstream as well, or results may be larger than configured.
void recordStorageFull(StageUpstream &upstream, Instant now);

/// @brief Records that an upstream had storage for all results of a call.
void recordStorageAvailable(StageUpstream &upstream);

} // namespace chervilspring
