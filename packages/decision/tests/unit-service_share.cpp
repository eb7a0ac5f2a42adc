// Covers detail/scheduler/service_share.hpp: the share that is kept for low priorities.
#include "chervilspring/detail/scheduler/service_share.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

struct Case
{
    const char *name_;
    int askedAbove_;
    int servedAbove_;
    int askedOwn_;
    int servedOwn_;
    bool underserved_;
};

std::ostream &operator<<(std::ostream &out, const Case &item)
{
    return out << item.name_;
}

const Case cases[] = {
    {"nobody above", 0, 0, 10, 0, false},
    {"all served", 20, 20, 10, 10, false},
    {"more than a third of the share above", 20, 20, 10, 4, false},
    {"less than a third of it", 20, 20, 10, 3, true},
    {"more than a third of a small share", 20, 10, 10, 2, false},
    {"everybody is refused", 20, 0, 10, 0, false},
};

BOOST_DATA_TEST_CASE(priority_is_underserved_below_a_third_of_the_share_above, data::make(cases),
                     item)
{
    ServiceTable table;
    const Instant now(seconds(100));
    for (int i = 0; i < item.askedAbove_; ++i)
        noteAsked(table, 1, now);
    for (int i = 0; i < item.servedAbove_; ++i)
        noteServed(table, 1, now);
    for (int i = 0; i < item.askedOwn_; ++i)
        noteAsked(table, 7, now);
    for (int i = 0; i < item.servedOwn_; ++i)
        noteServed(table, 7, now);
    BOOST_TEST(isUnderserved(serviceShares(table, 7, now)) == item.underserved_);
    BOOST_TEST(!isUnderserved(serviceShares(table, 1, now))); // nobody is above the highest
}

BOOST_AUTO_TEST_CASE(service_of_long_ago_says_nothing)
{
    ServiceTable table;
    const Instant now(seconds(100));
    for (int i = 0; i < 20; ++i) {
        noteAsked(table, 0, now);
        noteServed(table, 0, now);
    }
    noteAsked(table, 2, now + seconds(60));
    BOOST_TEST(!isUnderserved(serviceShares(table, 2, now + seconds(60))));
}

} // namespace
