// Tests detail/net/event_splitter.hpp: complete events, resumed streams, gaps.
#include "chervilspring/detail/net/event_splitter.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

namespace {

using namespace chervilspring;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

BOOST_AUTO_TEST_CASE(only_complete_events_are_returned)
{
    EventSplitter splitter;
    splitter.add(event(1) + "id: 2\ndata: to");
    BOOST_TEST(splitter.takeEvents() == event(1));
    BOOST_TEST(splitter.lastId() == "1");
    splitter.add("ken 2\n\n");
    BOOST_TEST(splitter.takeEvents() == event(2));
    BOOST_TEST(splitter.lastId() == "2");
}

// Random chunk sizes: every event must be returned exactly once.
BOOST_AUTO_TEST_CASE(events_do_not_depend_on_chunk_boundaries)
{
    std::string all;
    for (int id = 1; id <= 20; ++id)
        all += event(id);
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        EventSplitter splitter;
        std::string out;
        for (std::size_t offset = 0; offset < all.size();) {
            const std::size_t count = std::min<std::size_t>(1 + random() % 40, all.size() - offset);
            splitter.add(std::string_view(all).substr(offset, count));
            out += splitter.takeEvents();
            offset += count;
        }
        BOOST_TEST(out == all);
        BOOST_TEST(splitter.takeRemainder().empty());
        BOOST_TEST(!splitter.hasGap());
    }
}

BOOST_AUTO_TEST_CASE(resumed_stream_skips_events_that_the_caller_has)
{
    EventSplitter splitter("3");
    splitter.add(event(2) + event(3) + event(4));
    BOOST_TEST(splitter.takeEvents() == event(4));
    BOOST_TEST(!splitter.hasGap());
}

BOOST_AUTO_TEST_CASE(missing_event_is_reported_as_gap)
{
    EventSplitter splitter("3");
    splitter.add(event(5));
    splitter.takeEvents();
    BOOST_TEST(splitter.hasGap());
}

BOOST_AUTO_TEST_CASE(events_after_a_missing_one_are_not_returned)
{
    EventSplitter splitter("3");
    splitter.add(event(4) + event(6));
    BOOST_TEST(splitter.takeEvents() == event(4));
    splitter.add(event(7) + "id: 8");
    BOOST_TEST(splitter.takeEvents().empty());
    BOOST_TEST(splitter.takeRemainder().empty());
    BOOST_TEST(splitter.hasGap());
    BOOST_TEST(splitter.lastId() == "4"); // a stream that is resumed after it misses nothing
}

struct ResumableRow
{
    const char *bytes_;
    bool resumable_;
};

std::ostream &operator<<(std::ostream &stream, const ResumableRow &row)
{
    return stream << '"' << row.bytes_ << '"';
}

const ResumableRow resumableTable[] = {
    {"", true},
    {"id: 1\ndata: a\n\n", true},
    {"id: 1\ndata: a\n\n: comment\n\n", true},
    {": comment\n\n", true},
    {"data: a\n\n", false},
    {"id: 1\ndata: a\n\ndata: b\n\n", false},
    {"data: a\n\nid: 1\ndata: b\n\n", true},
    {": comment\ndata: a\n\n", false},
};

BOOST_DATA_TEST_CASE(stream_is_resumable_only_after_an_event_with_an_id,
                     boost::unit_test::data::make(resumableTable), row)
{
    EventSplitter splitter;
    splitter.add(row.bytes_);
    splitter.takeEvents();
    BOOST_TEST(splitter.isResumable() == row.resumable_);
}

struct RemainderRow
{
    const char *bytes_; ///< after the last complete event
    const char *returned_;
    bool hasGap_;
};

std::ostream &operator<<(std::ostream &stream, const RemainderRow &row)
{
    return stream << '"' << row.bytes_ << '"';
}

const RemainderRow remainders[] = {
    {"", "", false},
    {"data: end", "data: end", false},
    {"id: 4\ndata: end", "id: 4\ndata: end", false},
    {"id: 3\ndata: end", "", false},
    {"id: 5\ndata: end", "", true},
};

BOOST_DATA_TEST_CASE(remainder_is_treated_like_an_event, boost::unit_test::data::make(remainders),
                     row)
{
    EventSplitter splitter("3");
    splitter.add(row.bytes_);
    BOOST_TEST(splitter.takeEvents().empty());
    BOOST_TEST(splitter.takeRemainder() == row.returned_);
    BOOST_TEST(splitter.hasGap() == row.hasGap_);
}

} // namespace
