// Covers detail/net/event_splitter.hpp: whole events, resumed streams, gaps.
#include "chervilspring/detail/net/event_splitter.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

namespace {

using namespace chervilspring;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

BOOST_AUTO_TEST_CASE(only_whole_events_are_handed_out)
{
    EventSplitter splitter;
    splitter.add(event(1) + "id: 2\ndata: to");
    BOOST_TEST(splitter.takeEvents() == event(1));
    BOOST_TEST(splitter.lastId() == "1");
    splitter.add("ken 2\n\n");
    BOOST_TEST(splitter.takeEvents() == event(2));
    BOOST_TEST(splitter.lastId() == "2");
}

// However the bytes are cut, the same events come out, each once.
BOOST_AUTO_TEST_CASE(any_cut_of_the_bytes_gives_the_same_events)
{
    std::string all;
    for (int id = 1; id <= 20; ++id)
        all += event(id);
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        EventSplitter splitter;
        std::string out;
        for (std::size_t at = 0; at < all.size();) {
            const std::size_t count = std::min<std::size_t>(1 + random() % 40, all.size() - at);
            splitter.add(std::string_view(all).substr(at, count));
            out += splitter.takeEvents();
            at += count;
        }
        BOOST_TEST(out == all);
        BOOST_TEST(splitter.takeRemainder().empty());
        BOOST_TEST(!splitter.hasGap());
    }
}

BOOST_AUTO_TEST_CASE(events_that_the_caller_has_are_left_out_of_a_resumed_stream)
{
    EventSplitter splitter("3");
    splitter.add(event(2) + event(3) + event(4));
    BOOST_TEST(splitter.takeEvents() == event(4));
    BOOST_TEST(!splitter.hasGap());
}

BOOST_AUTO_TEST_CASE(missing_event_is_noticed)
{
    EventSplitter splitter("3");
    splitter.add(event(5));
    splitter.takeEvents();
    BOOST_TEST(splitter.hasGap());
}

} // namespace
