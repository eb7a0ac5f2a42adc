/// @file
/// @brief Clock and time types used in all signatures.
#pragma once

#include <chrono>
#include <ctime>
#include <string>

namespace chervilspring {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// @brief Monotonic clock that includes the time during which the VM was suspended.
///
/// Leases rely on it: a process that was suspended observes the complete pause when it resumes.
/// @since 0.1.0
struct BootClock
{
    using duration = nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): as in std

    /// @brief Reads CLOCK_BOOTTIME.
    /// @return the time since the VM booted
    static time_point now() noexcept
    {
        timespec value{};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(seconds(value.tv_sec) + nanoseconds(value.tv_nsec));
    }
};

/// @brief Formats a duration as a number of whole milliseconds, for log lines.
inline std::string millisecondsText(nanoseconds time)
{
    return std::to_string(time / milliseconds(1));
}

/// @brief Point in time of the local BootClock. Not comparable between VMs, so it is never sent.
using Instant = BootClock::time_point;

/// @brief Wall-clock time since the Unix epoch, read by the leader when it accepts a command.
using WallTime = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

} // namespace chervilspring
