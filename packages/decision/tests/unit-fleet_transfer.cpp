// Tests detail/node/fleet_transfer.hpp, and what control processes send of large configurations.
#include "control_group.hpp"

#include "chervilspring/detail/node/node.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

constexpr std::size_t maxBlocksOnTheWay = 4;

Fleet largeFleet(int routes)
{
    Fleet fleet;
    fleet.pools_.push_back(Pool{"book", "service=book", {}, 100, {}, {}, 0});
    for (int i = 0; i < routes; ++i) {
        RouteSpec route;
        route.name_ = "route-" + std::to_string(i);
        route.host_ = "fleet.example";
        route.pathPrefix_ = "/" + route.name_ + "/";
        route.targets_ = {RouteTarget{"book", 1}};
        fleet.routes_.push_back(route);
    }
    return fleet;
}

// A node and the blocks that its control processes "c1" to "c3" have.
class TransferFixture
{
public:
    TransferFixture()
    {
        NodeSettings settings;
        settings.name_ = "e1";
        settings.isEntry_ = true;
        settings.controlNames_ = {"c1", "c2", "c3"};
        state_ = makeNode(settings);
    }

    void handle(const NodeEvent &event)
    {
        NodeEffects effects;
        reduce(state_, now_, event, effects);
        for (const NodeEffect &effect : effects) {
            const auto *send = std::get_if<SendToPeer>(&effect);
            const auto *request = send ? std::get_if<RequestFleetBlocks>(&send->message_) : nullptr;
            if (!request)
                continue;
            for (const std::uint64_t digest : request->digests_) {
                onTheWay_.emplace_back(send->peer_, digest);
                ++requests_[digest];
            }
        }
        BOOST_TEST(onTheWay_.size() <= maxBlocksOnTheWay + lost_);
    }

    // Lets a control process send the view with the digests of a configuration.
    void announce(const std::string &peer, std::uint64_t version, const Fleet &fleet)
    {
        HeartbeatReply reply;
        reply.leader_ = peer;
        reply.fresh_ = true;
        reply.update_.emplace();
        reply.update_->toVersion_ = version;
        reply.update_->fleetVersion_ = version;
        for (FleetBlock &block : splitFleet(fleet)) {
            reply.update_->fleetBlocks_.push_back(block.digest_);
            parts_[block.digest_] = std::move(block.part_);
        }
        blocks_ = reply.update_->fleetBlocks_.size();
        handle(PeerMessage{peer, reply});
    }

    // Delivers the oldest block on the way. Returns false if there is none.
    bool deliver()
    {
        if (onTheWay_.empty())
            return false;
        const auto [peer, digest] = onTheWay_.front();
        onTheWay_.pop_front();
        handle(PeerMessage{peer, FleetBlockReply{digest, true, parts_.at(digest)}});
        return true;
    }

    void deliverAll()
    {
        while (deliver()) { }
    }

    // Tells whether the view has a configuration.
    bool holds(std::uint64_t version, const Fleet &fleet) const
    {
        return state_.view_->fleetVersion_ == version
            && fleetDigest(state_.view_->fleet_) == fleetDigest(fleet);
    }

    NodeState state_;
    Instant now_ = Instant(seconds(1000));
    std::deque<std::pair<std::string, std::uint64_t>>
        onTheWay_; ///< source and digest, oldest first
    std::map<std::uint64_t, int> requests_; ///< how often each block was asked for
    std::map<std::uint64_t, Fleet> parts_; ///< blocks of all configurations
    std::size_t blocks_ = 0; ///< number of blocks of the newest configuration
    std::size_t lost_ = 0; ///< blocks that were on their way from a lost source
};

BOOST_AUTO_TEST_CASE(each_block_is_fetched_once_from_one_source)
{
    TransferFixture fixture;
    const Fleet fleet = largeFleet(3000);
    fixture.announce("c2", 7, fleet);
    fixture.announce("c3", 7, fleet);
    BOOST_TEST(fixture.state_.view_->fleetVersion_ == 0u);
    fixture.deliverAll();
    BOOST_TEST(fixture.holds(7, fleet));
    BOOST_TEST(fixture.requests_.size() == fixture.blocks_);
    for (const auto &[digest, requests] : fixture.requests_)
        BOOST_TEST(requests == 1);
}

// The configuration in force stays until the next one is complete, what else changes is applied.
BOOST_AUTO_TEST_CASE(growth_fetches_new_blocks_only)
{
    TransferFixture fixture;
    const Fleet before = largeFleet(3000);
    fixture.announce("c2", 7, before);
    fixture.deliverAll();
    fixture.requests_.clear();
    const Fleet after = largeFleet(4000);
    fixture.announce("c2", 9, after);
    BOOST_TEST(fixture.state_.view_->version_ == 9u);
    BOOST_TEST(fixture.holds(7, before));
    fixture.deliverAll();
    BOOST_TEST(fixture.holds(9, after));
    BOOST_TEST(fixture.requests_.size() <= fixture.blocks_ / 3);
}

struct SourceRow
{
    const char *description_;
    bool connectionLost_; ///< false: the source is silent
};

std::ostream &operator<<(std::ostream &stream, const SourceRow &row)
{
    return stream << row.description_;
}

const SourceRow sourceTable[] = {{"connection lost", true}, {"silent", false}};

// Guards against blocks that are lost with the process or connection that they came from.
BOOST_DATA_TEST_CASE(another_source_continues, data::make(sourceTable), row)
{
    TransferFixture fixture;
    const Fleet fleet = largeFleet(3000);
    fixture.announce("c2", 7, fleet);
    for (int i = 0; i < 10; ++i)
        fixture.deliver();
    fixture.lost_ = fixture.onTheWay_.size();
    const auto lost = std::exchange(fixture.onTheWay_, {});
    if (row.connectionLost_) {
        fixture.handle(PeerLost{"c2"});
    } else {
        fixture.now_ += seconds(1);
        fixture.handle(Wake{});
        BOOST_TEST(fixture.onTheWay_.empty());
        fixture.now_ += seconds(1);
        fixture.handle(Wake{});
    }
    BOOST_REQUIRE(!fixture.onTheWay_.empty());
    BOOST_TEST(fixture.onTheWay_.front().first != "c2");
    fixture.deliverAll();
    BOOST_TEST(fixture.holds(7, fleet));
    std::size_t repeated = 0;
    for (const auto &[digest, requests] : fixture.requests_)
        repeated += requests > 1 ? 1 : 0;
    BOOST_TEST(repeated == lost.size());
}

BOOST_AUTO_TEST_CASE(newer_configuration_replaces_the_one_that_is_fetched)
{
    TransferFixture fixture;
    fixture.announce("c2", 7, largeFleet(3000));
    for (int i = 0; i < 10; ++i)
        fixture.deliver();
    fixture.lost_ = fixture.onTheWay_.size();
    const Fleet newer = largeFleet(3300);
    fixture.announce("c2", 8, newer);
    fixture.announce("c3", 7, largeFleet(3000)); // a process that is behind
    fixture.deliverAll();
    BOOST_TEST(fixture.holds(8, newer));
    const auto again = std::count_if(fixture.requests_.begin(), fixture.requests_.end(),
                                     [](const auto &item) { return item.second > 1; });
    BOOST_TEST(again <= static_cast<long>(maxBlocksOnTheWay));
}

struct BadBlockRow
{
    const char *description_;
    bool known_;
    bool damaged_;
    bool foreign_; ///< a block that the configuration doesn't have
    int repeats_;
};

std::ostream &operator<<(std::ostream &stream, const BadBlockRow &row)
{
    return stream << row.description_;
}

const BadBlockRow badBlockTable[] = {
    {"unknown at the source", false, false, false, 1},
    {"damaged", true, true, false, 1},
    {"of another configuration", true, false, true, 1},
    {"repeated", true, false, false, 3},
};

BOOST_DATA_TEST_CASE(bad_block_is_dropped, data::make(badBlockTable), row)
{
    TransferFixture fixture;
    const Fleet fleet = largeFleet(3000);
    fixture.announce("c2", 7, fleet);
    const auto [peer, digest] = fixture.onTheWay_.front();
    FleetBlockReply reply{digest, row.known_, row.known_ ? fixture.parts_.at(digest) : Fleet{}};
    if (row.damaged_)
        reply.part_.retention_ = seconds(1);
    if (row.foreign_)
        reply.digest_ = fleetDigest(reply.part_ = largeFleet(1));
    for (int i = 0; i < row.repeats_; ++i)
        fixture.handle(PeerMessage{peer, reply});
    BOOST_TEST(fixture.state_.view_->fleetVersion_ == 0u);
    fixture.lost_ = maxBlocksOnTheWay;
    // The block is asked for again, at the latest when the source counts as silent.
    fixture.deliverAll();
    fixture.now_ += seconds(2);
    fixture.handle(Wake{});
    fixture.deliverAll();
    BOOST_TEST(fixture.holds(7, fleet));
}

BOOST_AUTO_TEST_CASE(block_without_a_transfer_is_dropped)
{
    TransferFixture fixture;
    const Fleet fleet = largeFleet(1);
    fixture.handle(PeerMessage{"c1", FleetBlockReply{fleetDigest(fleet), true, fleet}});
    BOOST_TEST(fixture.state_.view_->fleetVersion_ == 0u);
}

// Guards against the whole view being sent by several control processes at once.
BOOST_AUTO_TEST_CASE(whole_view_is_asked_of_one_process_at_a_time)
{
    TransferFixture fixture;
    int asked = 0;
    for (int i = 0; i < 9; ++i) {
        NodeEffects effects;
        reduce(fixture.state_, fixture.now_, Wake{}, effects);
        for (const NodeEffect &effect : effects) {
            const auto *send = std::get_if<SendToPeer>(&effect);
            const auto *heartbeat = send ? std::get_if<Heartbeat>(&send->message_) : nullptr;
            asked += heartbeat && !heartbeat->awaitsView_ ? 1 : 0;
        }
        fixture.now_ += milliseconds(100);
    }
    BOOST_TEST(asked == 1);
    fixture.handle(PeerLost{fixture.state_.viewAwaitedFrom_});
    NodeEffects effects;
    reduce(fixture.state_, fixture.now_ += milliseconds(100), Wake{}, effects);
    const auto *send = std::get_if<SendToPeer>(&effects.back());
    BOOST_REQUIRE(send);
    BOOST_TEST(!std::get<Heartbeat>(send->message_).awaitsView_);
}

// A control process that leads, and a node's heartbeats to it.
class SourceFixture
{
public:
    explicit SourceFixture(int routes) : group_(1, 3)
    {
        group_.onEffect_ = [this](const ControlEffect &effect) {
            if (const auto *send = std::get_if<SendToPeer>(&effect); send && send->peer_ == "e1")
                messages_.push_back(send->message_);
            if (const auto *push = std::get_if<SendToPeers>(&effect))
                messages_.push_back(push->message_);
        };
        group_.run(seconds(3));
        ApplyDocument command;
        command.documentVersion_ = 1;
        command.document_ = "one";
        command.fleet_ = largeFleet(routes);
        group_.propose(command);
        group_.run(milliseconds(300));
    }

    // Returns the update in the answer to a heartbeat, if there is one.
    std::optional<ViewUpdate> beat(std::uint64_t viewVersion, std::uint64_t fleetVersion,
                                   bool awaitsView = false)
    {
        Heartbeat heartbeat;
        heartbeat.node_ = "e1";
        heartbeat.isEntry_ = true;
        heartbeat.viewVersion_ = viewVersion;
        heartbeat.fleetVersion_ = fleetVersion;
        heartbeat.awaitsView_ = awaitsView;
        messages_.clear();
        group_.handle("c1", PeerMessage{"e1", heartbeat});
        const auto *reply =
            messages_.empty() ? nullptr : std::get_if<HeartbeatReply>(&messages_.front());
        BOOST_REQUIRE(reply);
        return reply->update_;
    }

    std::vector<FleetBlockReply> fetch(std::vector<std::uint64_t> digests)
    {
        messages_.clear();
        group_.handle("c1", PeerMessage{"e1", RequestFleetBlocks{std::move(digests)}});
        std::vector<FleetBlockReply> replies;
        for (const Message &message : messages_) {
            if (const auto *reply = std::get_if<FleetBlockReply>(&message))
                replies.push_back(*reply);
        }
        return replies;
    }

    const View &view() { return group_.member("c1").state_.fleet_.view_; }

    ControlGroup group_;
    std::vector<Message> messages_; ///< to the node
};

struct SizeRow
{
    int routes_;
    bool large_;
};

std::ostream &operator<<(std::ostream &stream, const SizeRow &row)
{
    return stream << row.routes_ << " routes";
}

const SizeRow sizeTable[] = {{10, false}, {3000, true}};

BOOST_DATA_TEST_CASE(update_names_the_blocks_of_a_large_configuration, data::make(sizeTable), row)
{
    SourceFixture source(row.routes_);
    const auto update = source.beat(0, 0);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->fleet_.has_value() == !row.large_);
    BOOST_TEST(update->fleetBlocks_.empty() == !row.large_);
    // A node that has the rest of the view gets the names of the blocks again, until it has all.
    const std::uint64_t version = source.view().version_;
    const auto again = source.beat(version, 0);
    BOOST_TEST((again.has_value() && !again->fleetBlocks_.empty()) == row.large_);
    BOOST_TEST(!source.beat(version, source.view().fleetVersion_).has_value());
}

BOOST_AUTO_TEST_CASE(view_that_is_awaited_from_another_process_is_not_sent)
{
    SourceFixture source(3000);
    BOOST_TEST(!source.beat(0, 0, true).has_value());
    source.group_.propose(EvacuateDataCenter{"dc1", true});
    source.messages_.clear();
    source.group_.run(milliseconds(300));
    BOOST_TEST(source.messages_.empty());
    BOOST_TEST(source.beat(0, 0).has_value());
}

BOOST_AUTO_TEST_CASE(blocks_are_sent_as_asked_and_bounded_in_number)
{
    SourceFixture source(3000);
    const std::vector<std::uint64_t> digests = source.beat(0, 0)->fleetBlocks_;
    BOOST_REQUIRE(digests.size() > 16u);
    const auto replies = source.fetch({digests[1], 12345, digests[0]});
    BOOST_REQUIRE(replies.size() == 3u);
    BOOST_TEST((replies[0].known_ && fleetDigest(replies[0].part_) == digests[1]));
    BOOST_TEST(!replies[1].known_);
    BOOST_TEST((replies[2].known_ && fleetDigest(replies[2].part_) == digests[0]));
    BOOST_TEST(source.fetch(digests).size() == 16u);
}

} // namespace
