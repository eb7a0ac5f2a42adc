// Tests detail/scheduler/service_share.hpp: the capacity share reserved for low priorities.
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
    int arrivedHigher_;
    int servedHigher_;
    int arrivedOwn_;
    int servedOwn_;
    bool underserved_; ///< expected result for the lower priority
};

std::ostream &operator<<(std::ostream &out, const Case &item)
{
    return out << item.name_;
}

const Case cases[] = {
    {"no higher priority", 0, 0, 10, 0, false},
    {"all served", 20, 20, 10, 10, false},
    // The names compare the served fraction of the priority with that of the higher one.
    {"more than a third of the higher share", 20, 20, 10, 4, false},
    {"less than a third of the higher share", 20, 20, 10, 3, true},
    {"more than a third of a small higher share", 20, 10, 10, 2, false},
    {"all refused", 20, 0, 10, 0, false},
};

BOOST_DATA_TEST_CASE(priority_is_underserved_below_a_third_of_the_higher_share, data::make(cases),
                     item)
{
    ServiceTable table;
    const Instant now(seconds(100));
    for (int i = 0; i < item.arrivedHigher_; ++i)
        countArrival(table, 1, now);
    for (int i = 0; i < item.servedHigher_; ++i)
        countServed(table, 1, now);
    for (int i = 0; i < item.arrivedOwn_; ++i)
        countArrival(table, 7, now);
    for (int i = 0; i < item.servedOwn_; ++i)
        countServed(table, 7, now);
    BOOST_TEST(isUnderserved(serviceShares(table, 7, now)) == item.underserved_);
    BOOST_TEST(!isUnderserved(serviceShares(table, 1, now))); // there is no higher priority
}

BOOST_AUTO_TEST_CASE(old_counts_are_ignored)
{
    ServiceTable table;
    const Instant now(seconds(100));
    for (int i = 0; i < 20; ++i) {
        countArrival(table, 0, now);
        countServed(table, 0, now);
    }
    countArrival(table, 2, now + seconds(60));
    BOOST_TEST(!isUnderserved(serviceShares(table, 2, now + seconds(60))));
}

} // namespace
