#include "chervilspring/detail/process/load_report.hpp"

#include <algorithm>

namespace chervilspring {

namespace {

constexpr nanoseconds reportInterval = seconds(1);

} // namespace

void recordEvent(LoadReport &report, nanoseconds duration)
{
    ++report.events_;
    report.busy_ += duration;
    report.longestEvent_ = std::max(report.longestEvent_, duration);
}

void recordLag(LoadReport &report, nanoseconds lag)
{
    report.lagProbeQueued_ = false;
    report.longestLag_ = std::max(report.longestLag_, lag);
}

std::optional<std::string> takeReportIfDue(LoadReport &report, Instant now)
{
    if (now - report.startedAt_ < reportInterval)
        return std::nullopt;
    std::string text = "events=" + std::to_string(report.events_)
        + " busy_ms=" + millisecondsText(report.busy_)
        + " longest_event_ms=" + millisecondsText(report.longestEvent_)
        + " longest_lag_ms=" + millisecondsText(report.longestLag_)
        + " over_ms=" + millisecondsText(now - report.startedAt_);
    const bool lagProbeQueued = report.lagProbeQueued_;
    report = LoadReport{};
    report.startedAt_ = now;
    report.lagProbeQueued_ = lagProbeQueued;
    return text;
}

} // namespace chervilspring
