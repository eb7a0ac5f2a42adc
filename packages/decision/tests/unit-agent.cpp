// Covers detail/agent/agent.hpp: refusals, revocation, restarts, fair queueing, isolation.
#include "chervilspring/detail/agent/agent.hpp"
#include "chervilspring/digest.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

namespace {

using namespace chervilspring;

struct Bench
{
    Bench(std::uint32_t concurrency = 1)
    {
        AgentSettings settings;
        settings.name_ = "u1";
        settings.boot_ = 7;
        settings.queueLimit_ = 4;
        state_ = makeAgent(settings);
        handle(ViewChanged{std::make_shared<const View>(), now_, 0, now_});
        handle(UpstreamAnnounced{concurrency, {}});
    }

    AgentEffects handle(const AgentEvent &event)
    {
        AgentEffects effects;
        reduce(state_, now_, event, effects);
        return effects;
    }

    Dispatch dispatch(std::uint64_t sequence) const
    {
        Dispatch item;
        item.id_.request_ = RequestId{"e1", 1, sequence};
        item.agentBoot_ = 7;
        item.account_ = "a";
        item.remaining_ = seconds(2);
        item.idempotent_ = false;
        item.body_ = "{}";
        item.bodyDigest_ = contentDigest(item.body_);
        item.contentDigest_ = sequence;
        return item;
    }

    AgentEffects send(const Message &message) { return handle(PeerMessage{"e1", message}); }

    void setView(const View &view)
    {
        handle(ViewChanged{std::make_shared<const View>(view), now_, 0, now_});
    }

    AgentState state_;
    Instant now_ = Instant(seconds(1000));
};

template<typename Effect> std::vector<Effect> effectsOf(const AgentEffects &effects)
{
    std::vector<Effect> found;
    for (const AgentEffect &effect : effects) {
        if (const auto *item = std::get_if<Effect>(&effect))
            found.push_back(*item);
    }
    return found;
}

template<typename M> std::vector<M> messagesOf(const AgentEffects &effects)
{
    std::vector<M> found;
    for (const SendToPeer &send : effectsOf<SendToPeer>(effects)) {
        if (const auto *item = std::get_if<M>(&send.message_))
            found.push_back(*item);
    }
    return found;
}

struct RefusalRow
{
    const char *reason_;
    std::function<void(Bench &, Dispatch &)> prepare_;
};
std::ostream &operator<<(std::ostream &out, const RefusalRow &row)
{
    return out << row.reason_;
}

const std::vector<RefusalRow> refusals = {
    {"agent_restarted", [](Bench &, Dispatch &d) { d.agentBoot_ = 6; }},
    {"deadline_passed", [](Bench &, Dispatch &d) { d.remaining_ = nanoseconds(0); }},
    {"body_digest_differs", [](Bench &, Dispatch &d) { d.body_ = "{\"x\":1}"; }},
    {"upstream_not_serving", [](Bench &b, Dispatch &) { b.handle(UpstreamLeaving{}); }},
    {"view_too_old",
     [](Bench &b, Dispatch &) {
         b.now_ += seconds(17);
         b.handle(UpstreamAnnounced{1, {}});
     }},
    {"upstream_drained",
     [](Bench &b, Dispatch &) {
         View view;
         view.upstreams_.emplace_back();
         view.upstreams_[0].name_ = "u1";
         view.upstreams_[0].drained_ = true;
         b.setView(view);
     }},
    {"request_crashes_upstreams",
     [](Bench &b, Dispatch &d) {
         View view;
         view.suspects_ = {Suspect{d.contentDigest_, 2, true}};
         b.setView(view);
     }},
    {"queue_full",
     [](Bench &b, Dispatch &) {
         for (std::uint64_t i = 100; i < 105; ++i)
             b.send(b.dispatch(i));
     }},
};

BOOST_DATA_TEST_CASE(refused_dispatch_never_runs, boost::unit_test::data::make(refusals), row)
{
    Bench bench;
    Dispatch dispatch = bench.dispatch(1);
    row.prepare_(bench, dispatch);
    const AgentEffects effects = bench.send(dispatch);
    BOOST_TEST(effectsOf<StartCall>(effects).empty());
    const auto results = messagesOf<AttemptResult>(effects);
    BOOST_REQUIRE(results.size() == 1u);
    BOOST_TEST((results[0].kind_ == ResultKind::NotRun));
    BOOST_TEST(results[0].detail_ == row.reason_);
}

BOOST_AUTO_TEST_CASE(dispatch_after_revocation_never_starts)
{
    Bench bench;
    const Dispatch dispatch = bench.dispatch(1);
    const auto state = messagesOf<AttemptState>(
        bench.send(Inquire{dispatch.id_, 7, 0, true, dispatch.remaining_}));
    BOOST_REQUIRE(state.size() == 1u);
    BOOST_TEST((state[0].truth_ == AttemptTruth::NeverStarted));
    // The delayed dispatch comes up to the end of the longest delay of a connection.
    bench.now_ += seconds(4);
    bench.handle(UpstreamAnnounced{1, {}});
    BOOST_TEST(effectsOf<StartCall>(bench.send(dispatch)).empty());
}

BOOST_AUTO_TEST_CASE(restarted_agent_says_unknown)
{
    Bench bench;
    const auto state =
        messagesOf<AttemptState>(bench.send(Inquire{bench.dispatch(1).id_, 6, 0, true, {}}));
    BOOST_REQUIRE(state.size() == 1u);
    BOOST_TEST((state[0].truth_ == AttemptTruth::Unknown));
}

BOOST_AUTO_TEST_CASE(doubled_dispatch_runs_once_and_finished_result_is_kept)
{
    Bench bench;
    const Dispatch dispatch = bench.dispatch(1);
    BOOST_TEST(effectsOf<StartCall>(bench.send(dispatch)).size() == 1u);
    BOOST_TEST(effectsOf<StartCall>(bench.send(dispatch)).empty());
    bench.handle(CallEnded{dispatch.id_, ResultKind::Ok, "done", ""});
    bench.now_ += seconds(600);
    bench.handle(UpstreamAnnounced{1, {}});
    const auto results =
        messagesOf<AttemptResult>(bench.send(Inquire{dispatch.id_, 7, 0, true, seconds(1)}));
    BOOST_REQUIRE(results.size() == 1u);
    BOOST_TEST(results[0].body_ == "done");
}

BOOST_AUTO_TEST_CASE(stream_is_sent_again_from_the_offset_asked_for)
{
    Bench bench;
    Dispatch dispatch = bench.dispatch(1);
    dispatch.stream_ = dispatch.idempotent_ = true;
    bench.send(dispatch);
    bench.handle(CallTokens{dispatch.id_, {"a", "b", "c"}});
    const auto chunks = messagesOf<StreamChunk>(
        bench.handle(PeerMessage{"e1", Inquire{dispatch.id_, 7, 1, true, seconds(1)}}));
    BOOST_REQUIRE(chunks.size() == 1u);
    BOOST_TEST(chunks[0].offset_ == 1u);
    BOOST_TEST(chunks[0].tokens_.size() == 2u);
}

BOOST_AUTO_TEST_CASE(small_account_is_not_starved_by_a_burst)
{
    Bench bench;
    bench.state_.settings_.queueLimit_ = 1000;
    for (std::uint64_t i = 1; i <= 50; ++i)
        bench.send(bench.dispatch(i));
    Dispatch small = bench.dispatch(100);
    small.account_ = "small";
    bench.send(small);
    // One burst attempt runs; once it ends the small account is next.
    bench.now_ += milliseconds(10);
    const auto started = effectsOf<StartCall>(
        bench.handle(CallEnded{bench.dispatch(1).id_, ResultKind::Ok, "", ""}));
    BOOST_REQUIRE(started.size() == 1u);
    BOOST_TEST((started[0].id_ == small.id_));
}

BOOST_AUTO_TEST_CASE(suspect_runs_alone)
{
    Bench bench(4);
    View view;
    view.suspects_ = {Suspect{2, 1, false}};
    bench.send(bench.dispatch(1));
    bench.setView(view);
    BOOST_TEST(effectsOf<StartCall>(bench.send(bench.dispatch(2))).empty());
    BOOST_TEST(
        effectsOf<StartCall>(bench.handle(CallEnded{bench.dispatch(1).id_, ResultKind::Ok, "", ""}))
            .size()
        == 1u);
    BOOST_TEST(effectsOf<StartCall>(bench.send(bench.dispatch(3))).empty());
    const auto effects = bench.handle(CallEnded{bench.dispatch(2).id_, ResultKind::Ok, "", ""});
    BOOST_TEST(effectsOf<StartCall>(effects).size() == 1u);
    const auto proposals = effectsOf<SubmitProposal>(effects);
    BOOST_REQUIRE(proposals.size() == 1u);
    BOOST_TEST(std::holds_alternative<ClearSuspect>(proposals[0].command_));
}

BOOST_AUTO_TEST_CASE(crash_while_others_ran_is_not_alone)
{
    Bench bench(4);
    bench.send(bench.dispatch(1));
    bench.send(bench.dispatch(2));
    for (const std::uint64_t sequence : {1, 2}) {
        const auto proposals = effectsOf<SubmitProposal>(bench.handle(
            CallEnded{bench.dispatch(sequence).id_, ResultKind::UpstreamCrashed, "", "reset"}));
        BOOST_REQUIRE(proposals.size() == 1u);
        BOOST_TEST(!std::get<ReportCrash>(proposals[0].command_).alone_);
    }
}

BOOST_AUTO_TEST_CASE(planned_stop_finishes_what_runs_and_waits)
{
    Bench bench;
    bench.send(bench.dispatch(1));
    bench.send(bench.dispatch(2));
    BOOST_TEST(effectsOf<StopNow>(bench.handle(StopRequested{})).empty());
    BOOST_TEST(messagesOf<AttemptResult>(bench.send(bench.dispatch(3)))[0].detail_
               == "upstream_not_serving");
    const auto next = bench.handle(CallEnded{bench.dispatch(1).id_, ResultKind::Ok, "", ""});
    BOOST_TEST(effectsOf<StartCall>(next).size() == 1u);
    BOOST_TEST(effectsOf<StopNow>(next).empty());
    const auto last = bench.handle(CallEnded{bench.dispatch(2).id_, ResultKind::Ok, "", ""});
    BOOST_TEST(effectsOf<StopNow>(last).size() == 1u);
}

} // namespace
