// Covers detail/node/node.hpp: heartbeats, finding the leader, learning from peers, proposals.
#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/detail/node/node.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

namespace {

using namespace chervilspring;

struct Bench
{
    explicit Bench(const std::string &name = "e1")
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

BOOST_AUTO_TEST_CASE(freshness_counts_from_the_question_not_the_answer)
{
    Bench bench;
    const auto question = sent<Heartbeat>(bench.handle(Wake{}));
    BOOST_REQUIRE(question.size() == 1u);
    const Instant asked = bench.now_;
    bench.now_ += seconds(3);
    bench.handle(PeerMessage{question[0].first, Bench::reply(5, milliseconds(200))});
    BOOST_TEST(bench.state_.view_->version_ == 5u);
    BOOST_TEST((bench.state_.asOf_ == asked - milliseconds(200)));
    BOOST_TEST(bench.state_.leader_ == "c2");
}

BOOST_AUTO_TEST_CASE(older_view_never_replaces_a_newer_one)
{
    Bench bench;
    bench.handle(Wake{});
    bench.handle(PeerMessage{"c1", Bench::reply(9, {})});
    bench.handle(PeerMessage{"c3", Bench::reply(4, {})});
    BOOST_TEST(bench.state_.view_->version_ == 9u);
}

// A node that hears from no control process learns from a peer on the connection of its work.
BOOST_AUTO_TEST_CASE(cut_off_node_learns_from_its_peer)
{
    Bench agent("u1");
    const auto first = sent<Heartbeat>(agent.handle(Wake{}));
    BOOST_REQUIRE(first.size() == 1u);
    agent.handle(PeerMessage{first[0].first, Bench::reply(7, {})});
    Bench entry("e1");
    const auto question = sent<Heartbeat>(entry.handle(NewerVersionSeen{"u1", 7}));
    BOOST_REQUIRE(question.size() == 1u);
    BOOST_TEST(question[0].first == "u1");
    agent.now_ += seconds(1);
    const auto answer = sent<HeartbeatReply>(agent.handle(PeerMessage{"e1", question[0].second}));
    BOOST_REQUIRE(answer.size() == 1u);
    entry.handle(PeerMessage{"u1", answer[0].second});
    BOOST_TEST(entry.state_.view_->version_ == 7u);
    // Its freshness is the peer's, not newer.
    BOOST_TEST((entry.now_ - entry.state_.asOf_ >= seconds(1)));
    BOOST_TEST(sent<Heartbeat>(entry.handle(NewerVersionSeen{"u1", 7})).empty());
}

BOOST_AUTO_TEST_CASE(silent_leader_is_left_for_another_control_process)
{
    Bench bench;
    bench.handle(Wake{});
    bench.handle(PeerMessage{"c1", Bench::reply(1, {})});
    std::set<std::string> asked;
    for (int i = 0; i < 60; ++i) {
        bench.now_ += milliseconds(100);
        for (const auto &[peer, heartbeat] : sent<Heartbeat>(bench.handle(Wake{})))
            asked.insert(peer);
    }
    BOOST_TEST(asked.size() == 3u);
}

// A leader that was cut off from the other control processes still answers nodes. A node that
// stayed with it would miss what its successor has committed.
// Followers go on naming a leader until they notice that it is gone.
BOOST_AUTO_TEST_CASE(successor_of_a_lost_leader_is_looked_for_at_once)
{
    Bench bench;
    bench.handle(Wake{});
    HeartbeatReply led = Bench::reply(5, {});
    led.granted_ = true;
    led.share_ = 1;
    led.shareLease_ = seconds(60);
    bench.handle(PeerMessage{"c2", led});
    BOOST_REQUIRE(bench.state_.leader_ == "c2");
    bench.handle(Wake{});
    bench.handle(PeerLost{"c2"});
    BOOST_TEST((nextWake(bench.state_) <= bench.now_));
    bench.handle(PeerMessage{"c1", Bench::reply(5, {})}); // names c2
    BOOST_TEST(bench.state_.leader_ == "");
    bench.handle(Wake{});
    BOOST_TEST((nextWake(bench.state_) <= bench.now_ + milliseconds(100)));
    HeartbeatReply newer = Bench::reply(5, {});
    newer.leader_ = "c3";
    bench.handle(PeerMessage{"c1", newer});
    BOOST_TEST(bench.state_.leader_ == "c3");
}

BOOST_AUTO_TEST_CASE(lost_leader_that_is_back_and_leads_is_believed)
{
    Bench bench;
    bench.handle(Wake{});
    bench.handle(PeerMessage{"c2", Bench::reply(5, {})});
    bench.handle(PeerLost{"c2"});
    bench.handle(PeerMessage{"c2", Bench::reply(5, {})});
    BOOST_TEST(bench.state_.leader_ == "c2");
}

BOOST_AUTO_TEST_CASE(process_that_no_longer_leads_is_left_at_once)
{
    Bench bench;
    bench.handle(Wake{});
    bench.handle(PeerMessage{"c2", Bench::reply(1, {})});
    BOOST_REQUIRE(bench.state_.leader_ == "c2");
    bench.state_.share_ = wholeShare;
    bench.now_ += seconds(1);
    bench.handle(Wake{});
    HeartbeatReply deposed;
    deposed.fresh_ = true;
    deposed.age_ = seconds(1);
    bench.handle(PeerMessage{"c2", deposed});
    std::set<std::string> asked;
    for (int i = 0; i < 10; ++i) {
        bench.now_ += milliseconds(100);
        for (const auto &[peer, heartbeat] : sent<Heartbeat>(bench.handle(Wake{})))
            asked.insert(peer);
    }
    BOOST_TEST(asked.size() == 3u);
}

BOOST_AUTO_TEST_CASE(proposal_goes_on_to_the_new_leader_and_is_answered_once)
{
    Bench bench;
    const auto first = sent<Propose>(bench.handle(SubmitProposal{42, Noop{}, seconds(5)}));
    BOOST_REQUIRE(first.size() == 1u);
    const std::uint64_t sequence = first[0].second.sequence_;
    Outcome refused;
    refused.kind_ = OutcomeKind::NotLeader;
    const auto second = sent<Propose>(
        bench.handle(PeerMessage{first[0].first, ProposeReply{sequence, refused, "c3"}}));
    BOOST_REQUIRE(second.size() == 1u);
    BOOST_TEST(second[0].first == "c3");
    Outcome accepted;
    accepted.kind_ = OutcomeKind::Accepted;
    int answers = 0;
    for (int i = 0; i < 2; ++i) {
        for (const NodeEffect &effect :
             bench.handle(PeerMessage{"c3", ProposeReply{sequence, accepted, "c3"}}))
            answers += std::holds_alternative<ProposalAnswered>(effect);
    }
    BOOST_TEST(answers == 1);
}

BOOST_AUTO_TEST_CASE(proposal_is_given_up_in_time)
{
    Bench bench;
    bench.handle(SubmitProposal{42, Noop{}, seconds(1)});
    bench.now_ += milliseconds(1100);
    int given = 0;
    for (const NodeEffect &effect : bench.handle(Wake{})) {
        const auto *answered = std::get_if<ProposalAnswered>(&effect);
        given += answered && answered->outcome_.kind_ == OutcomeKind::Unavailable;
    }
    BOOST_TEST(given == 1);
    BOOST_TEST(bench.state_.proposals_.empty());
}

} // namespace
