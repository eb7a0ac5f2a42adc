#include "chervilspring/detail/process/wake_timer.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

// The steady clock stops while the VM is suspended, but the reducers' clock does not. Limiting each
// wait bounds how late a wake-up can be after a suspension.
constexpr nanoseconds maxWait = seconds(60);

} // namespace

WakeTimer::WakeTimer(boost::asio::io_context &context, std::function<void()> onWake)
    : timer_(context), onWake_(std::move(onWake))
{ }

void WakeTimer::arm(Instant at)
{
    const Instant now = BootClock::now();
    // An early wake-up costs only one extra check, which is cheaper than moving the timer.
    if (firesAt_ > now && firesAt_ <= at)
        return;
    const nanoseconds wait = std::clamp<nanoseconds>(at - now, nanoseconds(0), maxWait);
    firesAt_ = now + wait;
    timer_.expires_after(wait);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        firesAt_ = Instant{};
        onWake_();
    });
}

} // namespace chervilspring
