// Covers detail/control/control.hpp: heartbeats of nodes, announcements, shares of limits.
#include "control_group.hpp"

namespace {

using namespace chervilspring;

struct Leading
{
    Leading() : group_(1, 3) { group_.settle(milliseconds(3000)); }

    HeartbeatReply beat(const Heartbeat &heartbeat)
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

    Heartbeat agent(UpstreamPhase phase, std::uint64_t boot = 5)
    {
        Heartbeat heartbeat;
        heartbeat.node_ = "u1";
        heartbeat.upstream_ = Upstream{};
        heartbeat.upstream_->name_ = "u1";
        heartbeat.upstream_->agentBoot_ = boot;
        heartbeat.upstream_->phase_ = phase;
        return heartbeat;
    }

    static Heartbeat entry(const std::string &name, std::uint32_t share)
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

// An agent that left right after a heartbeat once stayed in the view until its lease ran out.
BOOST_AUTO_TEST_CASE(announcements_close_together_all_take_effect)
{
    Leading leading;
    leading.beat(leading.agent(UpstreamPhase::Serving));
    leading.group_.settle(milliseconds(50));
    BOOST_REQUIRE(leading.upstreams().size() == 1u);
    leading.beat(leading.agent(UpstreamPhase::Leaving));
    leading.group_.settle(milliseconds(50));
    BOOST_TEST((leading.upstreams().at(0).phase_ == UpstreamPhase::Leaving));
    leading.beat(leading.agent(UpstreamPhase::Gone));
    leading.group_.settle(milliseconds(50));
    BOOST_TEST(leading.upstreams().empty());
    leading.beat(leading.agent(UpstreamPhase::Serving, 6));
    leading.group_.settle(milliseconds(50));
    BOOST_REQUIRE(leading.upstreams().size() == 1u);
    BOOST_TEST(leading.upstreams().at(0).agentBoot_ == 6u);
}

BOOST_AUTO_TEST_CASE(silent_agent_loses_its_lease)
{
    Leading leading;
    leading.beat(leading.agent(UpstreamPhase::Serving));
    leading.group_.settle(milliseconds(2500));
    BOOST_TEST(leading.upstreams().size() == 1u);
    leading.group_.settle(milliseconds(1500));
    BOOST_TEST(leading.upstreams().empty());
}

// The sum of all shares that are in force never passes the whole, also while entries die.
BOOST_AUTO_TEST_CASE(shares_never_sum_above_the_whole)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Leading leading;
        std::mt19937_64 random(seed);
        std::map<std::string, std::pair<std::uint32_t, Instant>> held;
        for (int step = 0; step < 400; ++step) {
            const std::string name = "e" + std::to_string(random() % 6);
            const Instant now = leading.group_.now();
            auto &own = held[name];
            const std::uint32_t current = own.second > now ? own.first : 0;
            const HeartbeatReply reply = leading.beat(Leading::entry(name, current));
            // The answer may be lost; the entry then goes on with what it has.
            if (reply.granted_ && random() % 5 != 0)
                own = {reply.share_, now + reply.shareLease_};
            std::uint32_t sum = 0;
            for (const auto &[other, share] : held)
                sum += share.second > now ? share.first : 0;
            BOOST_REQUIRE_MESSAGE(sum <= wholeShare, "seed " << seed << " sum " << sum);
            leading.group_.settle(milliseconds(50 * (random() % 10)));
        }
    }
}

} // namespace
