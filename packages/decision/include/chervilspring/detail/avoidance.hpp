/// @file
/// @brief Exponential backoff for upstreams that failed.
#pragma once

#include "chervilspring/time.hpp"

#include <algorithm>
#include <cstdint>

namespace chervilspring {

/// @brief Backoff state of one upstream.
///
/// Each failure starts a pause in which the upstream is avoided. The pause doubles with each
/// consecutive failure up to a limit.
struct Avoidance
{
    Instant until_{}; ///< end of the latest pause
    std::uint32_t failures_ = 0; ///< consecutive failures
};

/// @brief Returns whether an upstream is in its pause.
///
/// It then gets no requests, or gets them only if there is no other upstream.
inline bool isAvoided(const Avoidance &avoidance, Instant now)
{
    return avoidance.until_ > now;
}

/// @brief Records a failure and starts the next pause.
/// @param first length of the pause after the first failure
inline void noteFailure(Avoidance &avoidance, nanoseconds first, Instant now)
{
    constexpr std::uint32_t maxDoublings = 4; // at most 16 times the first pause
    avoidance.until_ = now + first * (1 << std::min(avoidance.failures_, maxDoublings));
    ++avoidance.failures_;
}

/// @brief Records a success, which resets the count of failures. A pause in progress goes on.
inline void noteSuccess(Avoidance &avoidance)
{
    avoidance.failures_ = 0;
}

} // namespace chervilspring
