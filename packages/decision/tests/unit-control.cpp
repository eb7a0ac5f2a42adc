// Tests of detail/control/control.hpp: heartbeats, announcements and shares of fleet-wide limits.
#include "control_group.hpp"

namespace {

using namespace chervilspring;

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

} // namespace
