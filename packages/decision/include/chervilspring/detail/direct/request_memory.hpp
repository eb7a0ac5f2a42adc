/// @file
/// @brief Decides which requests may be held in memory when many large ones arrive at once.
///
/// Answers a load of clients that send large bodies at the same time, and of clients that stop
/// before the end of a request and keep its memory. A request that doesn't fit is refused before it
/// is read. Requests whose bytes have ceased to arrive make room for others. A part of the memory
/// is kept for small requests, and for these every unfinished request makes room.
#pragma once

#include "chervilspring/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace chervilspring {

/// @brief A request in memory.
struct HeldRequest
{
    std::size_t bytes_ = 0; ///< memory that it holds or is going to hold
    bool isReading_ = true; ///< it isn't complete yet, so that it may be given up
    Instant progressAt_{}; ///< when bytes of it arrived last
};

/// @brief The requests that a process holds.
struct RequestMemory
{
    std::size_t limitBytes_ = 0; ///< for all requests together
    std::size_t usedBytes_ = 0;
    std::map<std::uint64_t, HeldRequest> requests_; ///< by id, which the owner chooses
};

/// @brief What becomes of a request that needs memory.
struct MemoryDecision
{
    bool isAdmitted_ = false; ///< the request may be read on; otherwise it is no longer held
    std::vector<std::uint64_t> evicted_; ///< unfinished requests that were given up for it
};

/// @brief Requests up to this size count as small, in bytes.
inline constexpr std::size_t smallRequestBytes = 64u << 10;

/// @brief Asks for the memory of a request of which bytes have arrived.
/// @param memory the requests that are held
/// @param id id of the request; a new one is added
/// @param bytes memory that the request needs in all
/// @param now time of the arrival
MemoryDecision holdRequest(RequestMemory &memory, std::uint64_t id, std::size_t bytes, Instant now);

/// @brief Records that a request is complete. From now on it isn't given up.
/// @param bytes memory that the request holds
void completeRequest(RequestMemory &memory, std::uint64_t id, std::size_t bytes);

/// @brief Releases the memory of a request. Does nothing if it isn't held.
void releaseRequest(RequestMemory &memory, std::uint64_t id);

} // namespace chervilspring
