/// @file
/// @brief Clock and time types used in every signature that holds a time.
#pragma once

#include <chrono>
#include <ctime>
#include <string>

namespace chervilspring {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// @brief Monotonic clock that also counts the time during which the VM was suspended.
///
/// Leases rely on it: a process that was frozen sees the whole pause when it wakes.
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

/// @brief Whole milliseconds as text, for log lines.
inline std::string millisecondsText(nanoseconds time)
{
    return std::to_string(time / milliseconds(1));
}

/// @brief A point on the local BootClock. Never sent to another VM.
using Instant = BootClock::time_point;

/// @brief Seconds since the Unix epoch, as the leader read them when it accepted a command.
using WallTime = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

} // namespace chervilspring
