// Tests detail/process/load_report.hpp: load statistics of an event-handling thread.
#include "chervilspring/detail/process/load_report.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;

BOOST_AUTO_TEST_CASE(report_covers_events_since_the_previous_report)
{
    LoadReport report;
    report.startedAt_ = Instant(seconds(5));
    recordEvent(report, milliseconds(2));
    recordEvent(report, milliseconds(3));
    report.lagProbeQueued_ = true;
    recordLag(report, milliseconds(7));
    BOOST_TEST(!report.lagProbeQueued_);
    BOOST_TEST(!takeReportIfDue(report, Instant(milliseconds(5999))));
    const auto text = takeReportIfDue(report, Instant(seconds(6)));
    BOOST_REQUIRE(text.has_value());
    BOOST_TEST(*text == "events=2 busy_ms=5 longest_event_ms=3 longest_lag_ms=7 over_ms=1000");
    BOOST_TEST(report.events_ == 0u);
    BOOST_TEST(!takeReportIfDue(report, Instant(milliseconds(6500))));
}

} // namespace
