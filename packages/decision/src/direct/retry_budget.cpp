#include "chervilspring/detail/direct/retry_budget.hpp"

#include <algorithm>
#include <numeric>

namespace chervilspring {

namespace {

// The window slides by a slice at a time. One slice less than the window is counted in full, so
// that no span of the window's length holds more than the limit.
void advance(RepeatWindow &budget, const RetryLimit &limit, Instant now)
{
    const nanoseconds slice = limit.window_ / static_cast<std::int64_t>(RepeatWindow::slices - 1);
    const std::int64_t number = now.time_since_epoch() / slice;
    const std::int64_t steps =
        std::min<std::int64_t>(number - budget.newest_, RepeatWindow::slices);
    for (std::int64_t step = 0; step < steps; ++step) {
        const auto index = static_cast<std::size_t>(
            (number - step) % static_cast<std::int64_t>(RepeatWindow::slices));
        budget.requests_[index] = 0;
        budget.repeats_[index] = 0;
    }
    budget.newest_ = std::max(budget.newest_, number);
}

std::size_t newestIndex(const RepeatWindow &budget)
{
    return static_cast<std::size_t>(budget.newest_
                                    % static_cast<std::int64_t>(RepeatWindow::slices));
}

} // namespace

void countRequest(RepeatWindow &budget, const RetryLimit &limit, Instant now)
{
    advance(budget, limit, now);
    ++budget.requests_[newestIndex(budget)];
}

bool takeRepeat(RepeatWindow &budget, const RetryLimit &limit, Instant now)
{
    advance(budget, limit, now);
    const auto requests =
        std::accumulate(budget.requests_.begin(), budget.requests_.end(), std::uint64_t{0});
    const auto repeats =
        std::accumulate(budget.repeats_.begin(), budget.repeats_.end(), std::uint64_t{0});
    const double allowed = limit.ratio_ * static_cast<double>(requests) + limit.slack_;
    if (static_cast<double>(repeats + 1) > allowed)
        return false;
    ++budget.repeats_[newestIndex(budget)];
    return true;
}

} // namespace chervilspring
