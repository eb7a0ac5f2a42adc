/// @file
/// @brief Load statistics of an event-handling thread, reported once per second.
#pragma once

#include "chervilspring/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace chervilspring {

/// @brief Load of a thread since its last report.
struct LoadReport
{
    Instant startedAt_{}; ///< start of the reported period
    std::uint64_t events_ = 0; ///< number of events handled
    nanoseconds busy_{0}; ///< total time spent handling events
    nanoseconds longestEvent_{0}; ///< longest time spent handling one event
    nanoseconds longestLag_{0}; ///< longest time that a probe waited in the event queue
    bool lagProbeQueued_ = false; ///< a probe that measures the queueing delay is queued
};

/// @brief Records a handled event.
/// @param report the report to update
/// @param duration time that handling the event took
void recordEvent(LoadReport &report, nanoseconds duration);

/// @brief Records how long a probe waited in the event queue, and that none is queued any more.
void recordLag(LoadReport &report, nanoseconds lag);

/// @brief Formats and resets the report if a second has passed since the last one.
/// @return the fields as "key=value" text, or nothing if the report is not due
std::optional<std::string> takeReportIfDue(LoadReport &report, Instant now);

} // namespace chervilspring
