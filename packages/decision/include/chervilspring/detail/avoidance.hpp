/// @file
/// @brief Exponential backoff for upstreams that failed.
#pragma once

#include "chervilspring/time.hpp"

#include <algorithm>
#include <cstdint>

namespace chervilspring {

/// @brief Backoff state of one upstream. The pause doubles with each consecutive failure.
struct Avoidance
{
    Instant until_{}; ///< end of the pause
    std::uint32_t failures_ = 0; ///< consecutive failures
};

/// @brief Whether the upstream is in its pause and gets no requests.
inline bool isAvoided(const Avoidance &avoidance, Instant now)
{
    return avoidance.until_ > now;
}

/// @brief Records a failure and starts the next pause.
/// @param first pause after the first failure
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
