// Tests of detail/control/control.hpp: heartbeats, announcements and shares of fleet-wide limits.
#include "chervilspring/detail/node/node.hpp"
#include "control_group.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

// A group of one control process, which is the leader.
struct LeaderFixture
{
    LeaderFixture() : group_(1, 3) { group_.run(milliseconds(3000)); }

    // Passes a heartbeat to the leader and returns its reply.
    HeartbeatReply sendHeartbeat(const Heartbeat &heartbeat)
    {
        ControlEffects effects;
        reduce(group_.member("c1").state_, group_.now(), WallTime{},
               PeerMessage{heartbeat.node_, heartbeat}, effects);
        HeartbeatReply found;
        for (const ControlEffect &effect : effects) {
            if (const auto *batch = std::get_if<PersistBatch>(&effect))
                group_.member("c1").disk_.unsynced_.push_back(*batch);
            const auto *send = std::get_if<SendToPeer>(&effect);
            if (send && std::holds_alternative<HeartbeatReply>(send->message_))
                found = std::get<HeartbeatReply>(send->message_);
        }
        return found;
    }

    Heartbeat agentHeartbeat(UpstreamPhase phase, std::uint64_t boot = 5)
    {
        Heartbeat heartbeat;
        heartbeat.node_ = "u1";
        heartbeat.upstream_ = Upstream{};
        heartbeat.upstream_->name_ = "u1";
        heartbeat.upstream_->agentBoot_ = boot;
        heartbeat.upstream_->phase_ = phase;
        return heartbeat;
    }

    static Heartbeat entryHeartbeat(const std::string &name, std::uint32_t share)
    {
        Heartbeat heartbeat;
        heartbeat.node_ = name;
        heartbeat.isEntry_ = true;
        heartbeat.share_ = share;
        return heartbeat;
    }

    const std::vector<Upstream> &upstreams()
    {
        return group_.member("c1").state_.fleet_.view_.upstreams_;
    }

    ControlGroup group_;
};

// Guards against an announcement being ignored because one was proposed shortly before: an agent
// that left right after a heartbeat then stayed in the view until its lease expired.
BOOST_AUTO_TEST_CASE(announcements_close_together_all_take_effect)
{
    LeaderFixture fixture;
    fixture.sendHeartbeat(fixture.agentHeartbeat(UpstreamPhase::Serving));
    fixture.group_.run(milliseconds(50));
    BOOST_REQUIRE(fixture.upstreams().size() == 1u);
    fixture.sendHeartbeat(fixture.agentHeartbeat(UpstreamPhase::Leaving));
    fixture.group_.run(milliseconds(50));
    BOOST_TEST((fixture.upstreams().at(0).phase_ == UpstreamPhase::Leaving));
    fixture.sendHeartbeat(fixture.agentHeartbeat(UpstreamPhase::Gone));
    fixture.group_.run(milliseconds(50));
    BOOST_TEST(fixture.upstreams().empty());
    fixture.sendHeartbeat(fixture.agentHeartbeat(UpstreamPhase::Serving, 6));
    fixture.group_.run(milliseconds(50));
    BOOST_REQUIRE(fixture.upstreams().size() == 1u);
    BOOST_TEST(fixture.upstreams().at(0).agentBoot_ == 6u);
}

BOOST_AUTO_TEST_CASE(silent_agent_loses_its_lease)
{
    LeaderFixture fixture;
    fixture.sendHeartbeat(fixture.agentHeartbeat(UpstreamPhase::Serving));
    fixture.group_.run(milliseconds(2500));
    BOOST_TEST(fixture.upstreams().size() == 1u);
    fixture.group_.run(milliseconds(1500));
    BOOST_TEST(fixture.upstreams().empty());
}

// The unexpired shares must never add up to more than wholeShare, even if entries fail and replies
// are lost.
BOOST_AUTO_TEST_CASE(shares_never_sum_above_the_whole)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        LeaderFixture fixture;
        std::mt19937_64 random(seed);
        std::map<std::string, std::pair<std::uint32_t, Instant>> shares; // share, expiry
        for (int step = 0; step < 400; ++step) {
            const std::string name = "e" + std::to_string(random() % 6);
            const Instant now = fixture.group_.now();
            auto &own = shares[name];
            const std::uint32_t current = own.second > now ? own.first : 0;
            const HeartbeatReply reply =
                fixture.sendHeartbeat(LeaderFixture::entryHeartbeat(name, current));
            // One reply in five is lost; the entry then keeps its current share.
            if (reply.granted_ && random() % 5 != 0)
                own = {reply.share_, now + reply.shareLease_};
            std::uint32_t sum = 0;
            for (const auto &[other, share] : shares)
                sum += share.second > now ? share.first : 0;
            BOOST_REQUIRE_MESSAGE(sum <= wholeShare, "seed " << seed << " sum " << sum);
            fixture.group_.run(milliseconds(50 * (random() % 10)));
        }
    }
}

struct OtherEntryRow
{
    const char *description_;
    const char *name_;
    const char *service_;
    const char *address_;
    std::uint64_t boot_;
    std::uint64_t sequence_;
    bool replaces_; ///< the upstream that was announced before is no longer listed
};

std::ostream &operator<<(std::ostream &stream, const OtherEntryRow &row)
{
    return stream << row.description_;
}

const OtherEntryRow otherEntryTable[] = {
    {"address of a good one", "odd", "nowhere", "10.0.0.1", 7, 1, false},
    {"address of a good one, later start", "odd", "nowhere", "10.0.0.1", 1ull << 52, 1, false},
    {"name of a good one", "good", "nowhere", "10.0.0.2", 5, 1ull << 52, false},
    {"name of a good one, later start", "good", "nowhere", "10.0.0.2", 1ull << 52, 1, false},
    {"own name and address", "odd", "nowhere", "10.0.0.2", 7, 1, false},
    {"restart with another name", "next", "a", "10.0.0.1", 7, 1, true},
    {"restart at the address by another service", "next", "b", "10.0.0.1", 7, 1, true},
};

// An entry with an unknown service took the place of a good upstream, whose own announcements were
// outdated from then on.
BOOST_DATA_TEST_CASE(entry_with_an_unknown_service_replaces_no_upstream,
                     data::make(otherEntryTable), row)
{
    LeaderFixture fixture;
    Fleet fleet;
    for (const char *service : {"a", "b"}) {
        Pool pool;
        pool.name_ = service;
        pool.selector_ = std::string("service = ") + service;
        fleet.pools_.push_back(pool);
    }
    fixture.group_.propose(ApplyDocument{1, "{}", fleet});
    fixture.group_.run(milliseconds(100));
    const auto announce = [&](const char *name, const char *service, const char *address,
                              std::uint64_t boot, std::uint64_t sequence) {
        Upstream upstream;
        upstream.name_ = name;
        upstream.agentAddress_ = address;
        upstream.agentPort_ = 80;
        upstream.agentBoot_ = boot;
        upstream.sequence_ = sequence;
        upstream.phase_ = UpstreamPhase::Serving;
        upstream.direct_ = true;
        upstream.labels_ = {Label{"service", service}};
        fixture.group_.handle("c1", LocalAnnouncement{sequence, upstream});
        fixture.group_.run(milliseconds(200));
        const auto answer = fixture.group_.answers_.find(sequence);
        BOOST_REQUIRE(answer != fixture.group_.answers_.end());
        BOOST_TEST((answer->second.kind_ == OutcomeKind::Accepted));
    };
    // Two leases long, the good one announces itself and the other entry is written again.
    for (std::uint64_t round = 0; round < 12; ++round) {
        if (!row.replaces_ || round == 0)
            announce("good", "a", "10.0.0.1", 5, 100 + round);
        announce(row.name_, row.service_, row.address_, row.boot_, row.sequence_ + round);
        fixture.group_.run(milliseconds(100));
        const Upstream *good = findByName(fixture.upstreams(), "good");
        BOOST_REQUIRE((good != nullptr) == !row.replaces_);
        if (good)
            BOOST_TEST(good->agentAddress_ == "10.0.0.1");
    }
}

Upstream directUpstream(std::uint64_t number)
{
    Upstream upstream;
    upstream.name_ = "u" + std::to_string(number);
    upstream.agentBoot_ = 5;
    upstream.sequence_ = 1;
    upstream.phase_ = UpstreamPhase::Serving;
    upstream.direct_ = true;
    upstream.agentAddress_ = "10.0.0." + std::to_string(number);
    upstream.agentPort_ = 80;
    return upstream;
}

// A leader with the entry "e1", which applies the updates that it gets unless they are lost.
struct PushFixture : LeaderFixture
{
    PushFixture()
    {
        group_.onEffect_ = [this](const ControlEffect &effect) {
            const auto *send = std::get_if<SendToPeer>(&effect);
            const auto *push = std::get_if<SendToPeers>(&effect);
            if (send && send->peer_ == "e1")
                receive(send->message_);
            if (push && std::count(push->peers_.begin(), push->peers_.end(), "e1") > 0)
                receive(push->message_);
        };
    }

    void receive(const Message &message)
    {
        const auto *reply = std::get_if<HeartbeatReply>(&message);
        if (!reply || !reply->update_)
            return;
        ++updates_;
        upstreamsSent_ += reply->update_->upstreams_.size();
        if (lost_)
            return;
        if (const ViewPointer newer = updateView(*view_, *reply->update_))
            view_ = newer;
    }

    void beat()
    {
        Heartbeat heartbeat = entryHeartbeat("e1", 0);
        heartbeat.viewVersion_ = view_->version_;
        group_.handle("c1", PeerMessage{"e1", heartbeat});
    }

    void announce(std::uint64_t number)
    {
        group_.handle("c1", LocalAnnouncement{number, directUpstream(number)});
    }

    ViewPointer view_ = std::make_shared<const View>();
    bool lost_ = false; ///< updates are lost on their way
    std::size_t updates_ = 0;
    std::size_t upstreamsSent_ = 0; ///< in all updates
};

// Each announcement was sent to each entry by itself, together with all others since its last
// heartbeat.
BOOST_AUTO_TEST_CASE(changes_close_together_are_sent_once)
{
    PushFixture fixture;
    fixture.beat();
    fixture.updates_ = 0;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        fixture.announce(number);
        fixture.group_.syncOldest("c1"); // each is committed by itself
        if (number % 50 == 0)
            fixture.group_.run(milliseconds(50));
    }
    fixture.group_.run(milliseconds(200));
    BOOST_TEST(fixture.view_->upstreams_.size() == 100u);
    BOOST_TEST(fixture.updates_ <= 4u); // in 300 ms
    BOOST_TEST(fixture.upstreamsSent_ == 100u);
}

// Each row: when the entry's connection is reported lost, or never.
BOOST_DATA_TEST_CASE(lost_updates_are_sent_again, data::make({false, true}), connectionLost)
{
    PushFixture fixture;
    fixture.beat();
    fixture.lost_ = true;
    fixture.announce(1);
    fixture.group_.run(milliseconds(150));
    if (connectionLost)
        fixture.group_.handle("c1", PeerLost{"e1"});
    fixture.lost_ = false;
    for (int i = 0; i < 3; ++i) {
        fixture.announce(10 + static_cast<std::uint64_t>(i));
        fixture.group_.run(milliseconds(350));
        fixture.beat();
    }
    BOOST_TEST(fixture.view_->upstreams_.size() == 4u);
    BOOST_TEST(fixture.view_->version_ == fixture.group_.member("c1").state_.fleet_.view_.version_);
}

// A restarted entry reports an older version than before.
BOOST_AUTO_TEST_CASE(restarted_entry_gets_the_whole_view)
{
    PushFixture fixture;
    fixture.announce(1);
    fixture.group_.run(milliseconds(150));
    fixture.beat();
    fixture.beat();
    BOOST_TEST(fixture.view_->upstreams_.size() == 1u);
    fixture.view_ = std::make_shared<const View>();
    fixture.beat();
    BOOST_TEST(fixture.view_->upstreams_.size() == 1u);
}

// Direct upstreams announce themselves over HTTP and hold no view. Building an update for each of
// them at each change made the leader of a fleet with 300 upstreams too slow for its heartbeats.
BOOST_AUTO_TEST_CASE(no_view_is_built_for_upstreams_without_one)
{
    LeaderFixture fixture;
    std::size_t updates = 0;
    fixture.group_.onEffect_ = [&](const ControlEffect &effect) {
        const auto *send = std::get_if<SendToPeer>(&effect);
        const bool isPush = std::holds_alternative<SendToPeers>(effect);
        updates +=
            isPush || (send && std::holds_alternative<HeartbeatReply>(send->message_)) ? 1 : 0;
    };
    for (std::uint64_t number = 1; number <= 100; ++number) {
        fixture.group_.handle("c1", LocalAnnouncement{number, directUpstream(number)});
        if (number % 10 == 0)
            fixture.group_.run(milliseconds(50));
    }
    BOOST_TEST(fixture.upstreams().size() == 100u);
    BOOST_TEST(updates == 0u);
}

} // namespace
