#include "chervilspring/detail/process/load_report.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr nanoseconds reportInterval = seconds(1);

} // namespace

void noteEvent(LoadReport &report, nanoseconds took)
{
    ++report.events_;
    report.busy_ += took;
    report.longestEvent_ = std::max(report.longestEvent_, took);
}

void noteLag(LoadReport &report, nanoseconds lag)
{
    report.probed_ = false;
    report.longestLag_ = std::max(report.longestLag_, lag);
}

std::optional<std::string> takeReport(LoadReport &report, Instant now)
{
    if (now - report.since_ < reportInterval)
        return std::nullopt;
    std::string text = "events=" + std::to_string(report.events_)
        + " busy_ms=" + millisecondsText(report.busy_)
        + " longest_event_ms=" + millisecondsText(report.longestEvent_)
        + " longest_lag_ms=" + millisecondsText(report.longestLag_)
        + " over_ms=" + millisecondsText(now - report.since_);
    const bool probed = report.probed_;
    report = LoadReport{};
    report.since_ = now;
    report.probed_ = probed;
    return text;
}

} // namespace chervilspring
