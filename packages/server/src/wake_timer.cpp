#include "chervilspring/detail/process/wake_timer.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

// The steady clock stands still while the VM is suspended and the reducers' clock doesn't: no wait
// is so long that a suspension would matter much.
constexpr nanoseconds longestWait = seconds(60);

} // namespace

WakeTimer::WakeTimer(boost::asio::io_context &context, std::function<void()> wake)
    : timer_(context), wake_(std::move(wake))
{ }

void WakeTimer::arm(Instant at)
{
    const Instant now = BootClock::now();
    // Waking too early only looks once more; moving the timer costs more than that.
    if (firesAt_ > now && firesAt_ <= at)
        return;
    const nanoseconds wait = std::clamp<nanoseconds>(at - now, nanoseconds(0), longestWait);
    firesAt_ = now + wait;
    timer_.expires_after(wait);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        firesAt_ = Instant{};
        wake_();
    });
}

} // namespace chervilspring
