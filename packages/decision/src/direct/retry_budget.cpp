#include "chervilspring/detail/direct/retry_budget.hpp"

#include <algorithm>
#include <numeric>

namespace chervilspring {

namespace {

// Clears the slices that have left the window. Slices are window / (sliceCount - 1) long, so that
// the counted slices always cover a full window and no span of that length exceeds the limit.
void advanceWindow(RetryWindow &window, const RetryLimit &limit, Instant now)
{
    const nanoseconds slice =
        limit.window_ / static_cast<std::int64_t>(RetryWindow::sliceCount - 1);
    const std::int64_t current = now.time_since_epoch() / slice;
    const std::int64_t newSlices =
        std::min<std::int64_t>(current - window.newestSlice_, RetryWindow::sliceCount);
    for (std::int64_t step = 0; step < newSlices; ++step) {
        const auto index = static_cast<std::size_t>(
            (current - step) % static_cast<std::int64_t>(RetryWindow::sliceCount));
        window.requests_[index] = 0;
        window.retries_[index] = 0;
    }
    window.newestSlice_ = std::max(window.newestSlice_, current);
}

std::size_t newestIndex(const RetryWindow &window)
{
    return static_cast<std::size_t>(window.newestSlice_
                                    % static_cast<std::int64_t>(RetryWindow::sliceCount));
}

} // namespace

void countRequest(RetryWindow &window, const RetryLimit &limit, Instant now)
{
    advanceWindow(window, limit, now);
    ++window.requests_[newestIndex(window)];
}

bool tryTakeRetry(RetryWindow &window, const RetryLimit &limit, Instant now)
{
    advanceWindow(window, limit, now);
    const auto requests =
        std::accumulate(window.requests_.begin(), window.requests_.end(), std::uint64_t{0});
    const auto retries =
        std::accumulate(window.retries_.begin(), window.retries_.end(), std::uint64_t{0});
    const double allowed =
        limit.retriesPerRequest_ * static_cast<double>(requests) + limit.extraRetries_;
    if (static_cast<double>(retries + 1) > allowed)
        return false;
    ++window.retries_[newestIndex(window)];
    return true;
}

} // namespace chervilspring
