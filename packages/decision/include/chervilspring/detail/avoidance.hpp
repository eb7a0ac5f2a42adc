/// @file
/// @brief How long an upstream is left alone after it failed.
#pragma once

#include "chervilspring/time.hpp"

#include <algorithm>
#include <cstdint>

namespace chervilspring {

/// @brief Pause after failures in a row, doubled with each one.
struct Avoidance
{
    Instant until_{};
    std::uint32_t failures_ = 0; ///< in a row
};

/// @brief Whether the upstream is to be left alone.
inline bool isAvoided(const Avoidance &avoidance, Instant now)
{
    return avoidance.until_ > now;
}

/// @brief Notes a failure.
/// @param first pause after the first one
inline void noteFailure(Avoidance &avoidance, nanoseconds first, Instant now)
{
    constexpr std::uint32_t mostDoublings = 4; // sixteen times the first pause
    avoidance.until_ = now + first * (1 << std::min(avoidance.failures_, mostDoublings));
    ++avoidance.failures_;
}

/// @brief Notes that the upstream did what it should.
inline void noteSuccess(Avoidance &avoidance)
{
    avoidance.failures_ = 0;
}

} // namespace chervilspring
