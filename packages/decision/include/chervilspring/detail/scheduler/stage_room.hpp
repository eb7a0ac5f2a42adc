/// @file
/// @brief What a scheduler knows of a stage upstream, and of its room for results.
///
/// Answers the load in which results are large against the room at their makers.
#pragma once

#include "chervilspring/detail/avoidance.hpp"
#include "chervilspring/fleet.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace chervilspring {

/// @brief Room that results hold at their maker.
struct HeldResult
{
    std::uint64_t bytes_ = 0;
    Instant expiresAt_{};
};

/// @brief What a scheduler knows of a stage upstream.
struct StageUpstream
{
    std::uint64_t call_ = 0; ///< call under way, 0: none
    Avoidance avoidance_;
    Instant busyUntil_{}; ///< it refused a call
    double slowness_ = 1.0; ///< moving mean of measured over expected call time
    std::uint64_t reservedBytes_ = 0; ///< for the call under way
    Instant fullUntil_{}; ///< it had no room for a result
    double usableRoom_ = 1.0; ///< share of its room that this scheduler may count on
    std::uint64_t unknownBytes_ = 0; ///< results that this scheduler doesn't know of
    Instant unknownUntil_{}; ///< by then they have run out
    std::map<std::string, HeldResult> held_; ///< by handle
};

/// @brief Bytes that a stage upstream has free for further results.
std::uint64_t freeRoom(const StageUpstream &upstream, const PieceCapacity &capacity, Instant now);

/// @brief Bytes of results that this scheduler had made at an upstream, and of the call under way.
std::uint64_t ownBytes(const StageUpstream &upstream, Instant now);

/// @brief Notes results that this scheduler doesn't know of: those of calls of its predecessor.
/// @param bytes that they take
/// @param until when they have run out
void noteUnknownResults(StageUpstream &upstream, std::uint64_t bytes, Instant until);

/// @brief Notes that a result is given back; its room counts until the upstream has heard of it.
void giveBack(StageUpstream &upstream, const std::string &handle, Instant now);

/// @brief Notes that an upstream had no room: others use it too, or results are larger than said.
void noteNoRoom(StageUpstream &upstream, Instant now);

/// @brief Notes that an upstream had room for everything it was sent.
void noteRoom(StageUpstream &upstream);

} // namespace chervilspring
