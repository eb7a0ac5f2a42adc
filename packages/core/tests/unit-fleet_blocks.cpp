// Tests fleet_blocks.hpp: blocks of large fleet configurations.
#include "chervilspring/fleet_blocks.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

constexpr std::size_t maxRoutesPerBlock = 2000;

Fleet makeFleet(int routes)
{
    Fleet fleet;
    fleet.retention_ = seconds(77);
    fleet.limits_.bodyBytes_ = 1234;
    fleet.needsKey_ = true;
    fleet.pools_.push_back(Pool{"book", "service=book", {}, 100, {}, EngineCapacity{4, 5}, 0.5});
    fleet.accounts_.push_back(Account{"shop", {Label{"a", "b"}}, {}, {}, 1, 2, {"digest"}, 3});
    for (int i = 0; i < routes; ++i) {
        RouteSpec route;
        route.name_ = "route-" + std::to_string(i);
        route.host_ = "fleet.example";
        route.pathPrefix_ = "/" + std::to_string(i) + "/";
        route.timeout_ = milliseconds(1000 + i);
        route.targets_ = {RouteTarget{"book", 1}};
        fleet.routes_.push_back(route);
    }
    return fleet;
}

std::vector<const Fleet *> partsOf(const std::vector<FleetBlock> &blocks)
{
    std::vector<const Fleet *> parts;
    for (const FleetBlock &block : blocks)
        parts.push_back(&block.part_);
    return parts;
}

BOOST_DATA_TEST_CASE(joined_blocks_are_the_configuration, data::make({0, 1, 100, 5000}), routes)
{
    const Fleet fleet = makeFleet(routes);
    const std::vector<FleetBlock> blocks = splitFleet(fleet);
    BOOST_TEST(fleetDigest(joinFleet(partsOf(blocks))) == fleetDigest(fleet));
    for (const FleetBlock &block : blocks) {
        BOOST_TEST(fleetDigest(block.part_) == block.digest_);
        BOOST_TEST(block.part_.routes_.size() <= maxRoutesPerBlock);
    }
}

BOOST_AUTO_TEST_CASE(no_blocks_are_joined_to_an_empty_configuration)
{
    BOOST_TEST(fleetDigest(joinFleet({})) == fleetDigest(Fleet{}));
}

struct ChangeRow
{
    const char *description_;
    std::size_t position_; ///< of the changed route
    int added_; ///< routes added there; -1: it is removed; 0: it is changed
};

std::ostream &operator<<(std::ostream &stream, const ChangeRow &row)
{
    return stream << row.description_;
}

const ChangeRow changeTable[] = {
    {"added at the beginning", 0, 1},
    {"added in the middle", 2500, 1},
    {"added at the end", 5000, 1},
    {"removed at the beginning", 0, -1},
    {"removed in the middle", 2500, -1},
    {"removed at the end", 4999, -1},
    {"changed", 2500, 0},
    {"many added", 2500, 100},
};

// Guards against small changes for which nodes have to fetch most of a large configuration.
BOOST_DATA_TEST_CASE(change_leaves_most_blocks_as_they_are, data::make(changeTable), row)
{
    Fleet fleet = makeFleet(5000);
    std::set<std::uint64_t> before;
    for (const FleetBlock &block : splitFleet(fleet))
        before.insert(block.digest_);
    const auto position = fleet.routes_.begin() + static_cast<std::ptrdiff_t>(row.position_);
    if (row.added_ < 0)
        fleet.routes_.erase(position);
    else if (row.added_ == 0)
        position->timeout_ = milliseconds(1);
    else
        fleet.routes_.insert(position, static_cast<std::size_t>(row.added_),
                             makeFleet(1).routes_[0]);
    const std::vector<FleetBlock> after = splitFleet(fleet);
    const auto changed = std::count_if(after.begin(), after.end(), [&](const FleetBlock &block) {
        return !before.contains(block.digest_);
    });
    BOOST_TEST(after.size() > 30u);
    BOOST_TEST(changed >= (row.added_ < 0 ? 0 : 1));
    BOOST_TEST(changed <= 5);
}

} // namespace
