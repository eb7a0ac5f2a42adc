/// @file
/// @brief Wakes a reducer when it asked to be woken.
#pragma once

#include "chervilspring/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace chervilspring {

/// @brief One timer of a thread that owns a reducer. Used on that thread only.
class WakeTimer
{
public:
    /// @param context run by the owning thread
    /// @param wake called when the time has come, or a little before; it has to arm the timer anew
    WakeTimer(boost::asio::io_context &context, std::function<void()> wake);

    /// @brief Asks to be woken at a time. A time that is already waited for, if earlier, stays.
    void arm(Instant at);

    /// @brief Wakes nobody any more.
    void cancel() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
    std::function<void()> wake_;
    Instant firesAt_{}; ///< zero: not waiting
};

} // namespace chervilspring
