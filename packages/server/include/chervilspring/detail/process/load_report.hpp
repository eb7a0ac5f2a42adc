/// @file
/// @brief What a thread that handles events reports of its own load, once a second.
#pragma once

#include "chervilspring/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace chervilspring {

/// @brief Load since the last report.
struct LoadReport
{
    Instant since_{};
    std::uint64_t events_ = 0;
    nanoseconds busy_{0}; ///< handling events
    nanoseconds longestEvent_{0};
    nanoseconds longestLag_{0}; ///< from when an event was queued until it was handled
    bool probed_ = false; ///< a probe of the lag is queued
};

/// @brief Notes that an event was handled.
void noteEvent(LoadReport &report, nanoseconds took);

/// @brief Notes how long a probe waited in the queue.
void noteLag(LoadReport &report, nanoseconds lag);

/// @brief Ends the report if it is due.
/// @return its fields as text; none if it isn't due
std::optional<std::string> takeReport(LoadReport &report, Instant now);

} // namespace chervilspring
