/// @file
/// @brief Timer that wakes a reducer at the time it requested.
#pragma once

#include "chervilspring/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace chervilspring {

/// @brief Timer of a thread that owns a reducer. Used on that thread only.
class WakeTimer
{
public:
    /// @param context run by the owning thread
    /// @param onWake called at the requested time or earlier; it must arm the timer again
    WakeTimer(boost::asio::io_context &context, std::function<void()> onWake);

    /// @brief Arms the timer. If it is already armed for an earlier time, that time is kept.
    void arm(Instant at);

    /// @brief Disarms the timer.
    void cancel() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
    std::function<void()> onWake_;
    Instant firesAt_{}; ///< zero: not armed
};

} // namespace chervilspring
