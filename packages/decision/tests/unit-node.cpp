// Tests detail/node/node.hpp: heartbeats, leader discovery, views from peers, proposals.
#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/detail/node/node.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

namespace {

using namespace chervilspring;

// A node with the settings of an entry that knows the control processes "c1" to "c3".
struct NodeFixture
{
    explicit NodeFixture(const std::string &name = "e1")
    {
        NodeSettings settings;
        settings.name_ = name;
        settings.isEntry_ = true;
        settings.controlNames_ = {"c1", "c2", "c3"};
        state_ = makeNode(settings);
    }

    NodeEffects handle(const NodeEvent &event)
    {
        NodeEffects effects;
        reduce(state_, now_, event, effects);
        return effects;
    }

    // Makes a reply with a whole view of the given version and age that names "c2" as the leader.
    static HeartbeatReply reply(std::uint64_t version, nanoseconds age)
    {
        HeartbeatReply item;
        item.leader_ = "c2";
        item.fresh_ = true;
        item.age_ = age;
        View view;
        view.version_ = version;
        item.update_ = makeFullUpdate(view);
        return item;
    }

    NodeState state_;
    Instant now_ = Instant(seconds(1000));
};

// Returns the sent messages of type M with the names of their receivers.
template<typename M> std::vector<std::pair<std::string, M>> sent(const NodeEffects &effects)
{
    std::vector<std::pair<std::string, M>> found;
    for (const NodeEffect &effect : effects) {
        const auto *send = std::get_if<SendToPeer>(&effect);
        if (send && std::holds_alternative<M>(send->message_))
            found.emplace_back(send->peer_, std::get<M>(send->message_));
    }
    return found;
}

BOOST_AUTO_TEST_CASE(view_age_counts_from_the_request_not_the_reply)
{
    NodeFixture fixture;
    const auto request = sent<Heartbeat>(fixture.handle(Wake{}));
    BOOST_REQUIRE(request.size() == 1u);
    const Instant requestedAt = fixture.now_;
    fixture.now_ += seconds(3);
    fixture.handle(PeerMessage{request[0].first, NodeFixture::reply(5, milliseconds(200))});
    BOOST_TEST(fixture.state_.view_->version_ == 5u);
    BOOST_TEST((fixture.state_.asOf_ == requestedAt - milliseconds(200)));
    BOOST_TEST(fixture.state_.leader_ == "c2");
}

BOOST_AUTO_TEST_CASE(older_view_never_replaces_a_newer_one)
{
    NodeFixture fixture;
    fixture.handle(Wake{});
    fixture.handle(PeerMessage{"c1", NodeFixture::reply(9, {})});
    fixture.handle(PeerMessage{"c3", NodeFixture::reply(4, {})});
    BOOST_TEST(fixture.state_.view_->version_ == 9u);
}

// A node without contact to any control process gets the view from a peer that it exchanges work
// with. Both nodes have the settings of an entry.
BOOST_AUTO_TEST_CASE(isolated_node_gets_the_view_from_a_peer)
{
    NodeFixture peer("u1");
    const auto first = sent<Heartbeat>(peer.handle(Wake{}));
    BOOST_REQUIRE(first.size() == 1u);
    peer.handle(PeerMessage{first[0].first, NodeFixture::reply(7, {})});
    NodeFixture node("e1");
    const auto request = sent<Heartbeat>(node.handle(NewerVersionSeen{"u1", 7}));
    BOOST_REQUIRE(request.size() == 1u);
    BOOST_TEST(request[0].first == "u1");
    peer.now_ += seconds(1);
    const auto peerReply = sent<HeartbeatReply>(peer.handle(PeerMessage{"e1", request[0].second}));
    BOOST_REQUIRE(peerReply.size() == 1u);
    node.handle(PeerMessage{"u1", peerReply[0].second});
    BOOST_TEST(node.state_.view_->version_ == 7u);
    // The view is as old as at the peer, not as new as the reply.
    BOOST_TEST((node.now_ - node.state_.asOf_ >= seconds(1)));
    BOOST_TEST(sent<Heartbeat>(node.handle(NewerVersionSeen{"u1", 7})).empty());
}

BOOST_AUTO_TEST_CASE(all_control_processes_are_asked_while_the_leader_is_silent)
{
    NodeFixture fixture;
    fixture.handle(Wake{});
    fixture.handle(PeerMessage{"c1", NodeFixture::reply(1, {})});
    std::set<std::string> asked;
    for (int i = 0; i < 60; ++i) {
        fixture.now_ += milliseconds(100);
        for (const auto &[peer, heartbeat] : sent<Heartbeat>(fixture.handle(Wake{})))
            asked.insert(peer);
    }
    BOOST_TEST(asked.size() == 3u);
}

// Followers name a lost leader until they notice the loss, so for a while a node does not accept it
// from their replies.
BOOST_AUTO_TEST_CASE(successor_of_a_lost_leader_is_searched_at_once)
{
    NodeFixture fixture;
    fixture.handle(Wake{});
    HeartbeatReply leaderReply = NodeFixture::reply(5, {});
    leaderReply.granted_ = true;
    leaderReply.share_ = 1;
    leaderReply.shareLease_ = seconds(60);
    fixture.handle(PeerMessage{"c2", leaderReply});
    BOOST_REQUIRE(fixture.state_.leader_ == "c2");
    fixture.handle(Wake{});
    fixture.handle(PeerLost{"c2"});
    BOOST_TEST((nextWake(fixture.state_) <= fixture.now_));
    fixture.handle(PeerMessage{"c1", NodeFixture::reply(5, {})}); // names c2
    BOOST_TEST(fixture.state_.leader_ == "");
    fixture.handle(Wake{});
    BOOST_TEST((nextWake(fixture.state_) <= fixture.now_ + milliseconds(100)));
    HeartbeatReply successorReply = NodeFixture::reply(5, {});
    successorReply.leader_ = "c3";
    fixture.handle(PeerMessage{"c1", successorReply});
    BOOST_TEST(fixture.state_.leader_ == "c3");
}

BOOST_AUTO_TEST_CASE(lost_leader_that_returns_and_leads_is_accepted)
{
    NodeFixture fixture;
    fixture.handle(Wake{});
    fixture.handle(PeerMessage{"c2", NodeFixture::reply(5, {})});
    fixture.handle(PeerLost{"c2"});
    fixture.handle(PeerMessage{"c2", NodeFixture::reply(5, {})});
    BOOST_TEST(fixture.state_.leader_ == "c2");
}

// A leader that is cut off from the other control processes still answers nodes. A node that stays
// with it misses what its successor commits.
BOOST_AUTO_TEST_CASE(former_leader_is_abandoned_at_once)
{
    NodeFixture fixture;
    fixture.handle(Wake{});
    fixture.handle(PeerMessage{"c2", NodeFixture::reply(1, {})});
    BOOST_REQUIRE(fixture.state_.leader_ == "c2");
    fixture.state_.share_ = wholeShare;
    fixture.now_ += seconds(1);
    fixture.handle(Wake{});
    HeartbeatReply formerLeaderReply;
    formerLeaderReply.fresh_ = true;
    formerLeaderReply.age_ = seconds(1);
    fixture.handle(PeerMessage{"c2", formerLeaderReply});
    std::set<std::string> asked;
    for (int i = 0; i < 10; ++i) {
        fixture.now_ += milliseconds(100);
        for (const auto &[peer, heartbeat] : sent<Heartbeat>(fixture.handle(Wake{})))
            asked.insert(peer);
    }
    BOOST_TEST(asked.size() == 3u);
}

BOOST_AUTO_TEST_CASE(proposal_is_redirected_to_the_new_leader_and_answered_once)
{
    NodeFixture fixture;
    const auto first = sent<Propose>(fixture.handle(SubmitProposal{42, Noop{}, seconds(5)}));
    BOOST_REQUIRE(first.size() == 1u);
    const std::uint64_t sequence = first[0].second.sequence_;
    Outcome refused;
    refused.kind_ = OutcomeKind::NotLeader;
    const auto second = sent<Propose>(
        fixture.handle(PeerMessage{first[0].first, ProposeReply{sequence, refused, "c3"}}));
    BOOST_REQUIRE(second.size() == 1u);
    BOOST_TEST(second[0].first == "c3");
    Outcome accepted;
    accepted.kind_ = OutcomeKind::Accepted;
    int answers = 0;
    for (int i = 0; i < 2; ++i) {
        for (const NodeEffect &effect :
             fixture.handle(PeerMessage{"c3", ProposeReply{sequence, accepted, "c3"}}))
            answers += std::holds_alternative<ProposalAnswered>(effect);
    }
    BOOST_TEST(answers == 1);
}

BOOST_AUTO_TEST_CASE(proposal_expires_after_its_timeout)
{
    NodeFixture fixture;
    fixture.handle(SubmitProposal{42, Noop{}, seconds(1)});
    fixture.now_ += milliseconds(1100);
    int expired = 0;
    for (const NodeEffect &effect : fixture.handle(Wake{})) {
        const auto *answered = std::get_if<ProposalAnswered>(&effect);
        expired += answered && answered->outcome_.kind_ == OutcomeKind::Unavailable;
    }
    BOOST_TEST(expired == 1);
    BOOST_TEST(fixture.state_.proposals_.empty());
}

BOOST_AUTO_TEST_CASE(upstream_without_an_ip_address_is_named_in_the_log_once)
{
    NodeFixture fixture;
    fixture.handle(Wake{});
    int lines = 0;
    for (const std::uint64_t version : {5, 6, 7}) {
        View view;
        view.version_ = version;
        Upstream upstream;
        upstream.direct_ = true;
        upstream.name_ = "good";
        upstream.agentAddress_ = "10.0.0.1";
        view.upstreams_.push_back(upstream);
        upstream.name_ = "odd";
        upstream.agentAddress_ = "host";
        view.upstreams_.push_back(upstream);
        HeartbeatReply reply = NodeFixture::reply(version, {});
        reply.update_ = makeFullUpdate(view);
        for (const NodeEffect &effect : fixture.handle(PeerMessage{"c2", reply})) {
            const auto *line = std::get_if<DecisionLine>(&effect);
            if (line && line->text_.starts_with("decision=upstream_unusable upstream=odd "))
                ++lines;
        }
    }
    BOOST_TEST(fixture.state_.view_->version_ == 7u);
    BOOST_TEST(lines == 1);
}

} // namespace
