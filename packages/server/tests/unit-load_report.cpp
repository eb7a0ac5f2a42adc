// Covers detail/process/load_report.hpp: what a thread says of its own load.
#include "chervilspring/detail/process/load_report.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;

BOOST_AUTO_TEST_CASE(report_covers_what_was_noted_since_the_last_one)
{
    LoadReport report;
    report.since_ = Instant(seconds(5));
    noteEvent(report, milliseconds(2));
    noteEvent(report, milliseconds(3));
    report.probed_ = true;
    noteLag(report, milliseconds(7));
    BOOST_TEST(!report.probed_);
    BOOST_TEST(!takeReport(report, Instant(milliseconds(5999))));
    const auto text = takeReport(report, Instant(seconds(6)));
    BOOST_REQUIRE(text.has_value());
    BOOST_TEST(*text == "events=2 busy_ms=5 longest_event_ms=3 longest_lag_ms=7 over_ms=1000");
    BOOST_TEST(report.events_ == 0u);
    BOOST_TEST(!takeReport(report, Instant(milliseconds(6500))));
}

} // namespace
