// Tests detail/agent/agent.hpp: refusals, revocation, restarts, fair queueing, isolation.
#include "chervilspring/detail/agent/agent.hpp"
#include "chervilspring/digest.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

namespace {

using namespace chervilspring;

// An agent "u1" with boot id 7 whose upstream has announced itself.
struct AgentFixture
{
    AgentFixture(std::uint32_t concurrency = 1)
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

    // Makes a valid dispatch of a non-idempotent stage. Its content digest is its sequence number.
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

    // Delivers a message from the entry "e1".
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
    const char *reason_; ///< expected reason of the refusal
    std::function<void(AgentFixture &, Dispatch &)> prepare_; ///< causes the refusal
};
std::ostream &operator<<(std::ostream &out, const RefusalRow &row)
{
    return out << row.reason_;
}

const std::vector<RefusalRow> refusals = {
    {"agent_restarted", [](AgentFixture &, Dispatch &dispatch) { dispatch.agentBoot_ = 6; }},
    {"deadline_passed",
     [](AgentFixture &, Dispatch &dispatch) { dispatch.remaining_ = nanoseconds(0); }},
    {"body_digest_differs",
     [](AgentFixture &, Dispatch &dispatch) { dispatch.body_ = "{\"x\":1}"; }},
    {"upstream_not_serving",
     [](AgentFixture &fixture, Dispatch &) { fixture.handle(UpstreamLeaving{}); }},
    {"view_too_old",
     [](AgentFixture &fixture, Dispatch &) {
         fixture.now_ += seconds(17); // staleAfter_ is 16 s
         fixture.handle(UpstreamAnnounced{1, {}});
     }},
    {"upstream_drained",
     [](AgentFixture &fixture, Dispatch &) {
         View view;
         view.upstreams_.emplace_back();
         view.upstreams_[0].name_ = "u1";
         view.upstreams_[0].drained_ = true;
         fixture.setView(view);
     }},
    {"request_crashes_upstreams",
     [](AgentFixture &fixture, Dispatch &dispatch) {
         View view;
         view.suspects_ = {Suspect{dispatch.contentDigest_, 2, true}};
         fixture.setView(view);
     }},
    {"queue_full",
     [](AgentFixture &fixture, Dispatch &) {
         for (std::uint64_t i = 100; i < 105; ++i) // one runs, queueLimit_ are queued
             fixture.send(fixture.dispatch(i));
     }},
};

BOOST_DATA_TEST_CASE(refused_dispatch_never_runs, boost::unit_test::data::make(refusals), row)
{
    AgentFixture fixture;
    Dispatch dispatch = fixture.dispatch(1);
    row.prepare_(fixture, dispatch);
    const AgentEffects effects = fixture.send(dispatch);
    BOOST_TEST(effectsOf<StartCall>(effects).empty());
    const auto results = messagesOf<AttemptResult>(effects);
    BOOST_REQUIRE(results.size() == 1u);
    BOOST_TEST((results[0].kind_ == ResultKind::NotRun));
    BOOST_TEST(results[0].detail_ == row.reason_);
}

BOOST_AUTO_TEST_CASE(dispatch_after_revocation_never_starts)
{
    AgentFixture fixture;
    const Dispatch dispatch = fixture.dispatch(1);
    const auto state = messagesOf<AttemptState>(
        fixture.send(Inquire{dispatch.id_, 7, 0, true, dispatch.remaining_}));
    BOOST_REQUIRE(state.size() == 1u);
    BOOST_TEST((state[0].truth_ == AttemptTruth::NeverStarted));
    // The dispatch arrives as late as a connection may delay it.
    fixture.now_ += seconds(4);
    fixture.handle(UpstreamAnnounced{1, {}});
    BOOST_TEST(effectsOf<StartCall>(fixture.send(dispatch)).empty());
}

BOOST_AUTO_TEST_CASE(restarted_agent_reports_unknown_attempts)
{
    AgentFixture fixture;
    const auto state =
        messagesOf<AttemptState>(fixture.send(Inquire{fixture.dispatch(1).id_, 6, 0, true, {}}));
    BOOST_REQUIRE(state.size() == 1u);
    BOOST_TEST((state[0].truth_ == AttemptTruth::Unknown));
}

BOOST_AUTO_TEST_CASE(duplicate_dispatch_runs_once_and_result_is_kept)
{
    AgentFixture fixture;
    const Dispatch dispatch = fixture.dispatch(1);
    BOOST_TEST(effectsOf<StartCall>(fixture.send(dispatch)).size() == 1u);
    BOOST_TEST(effectsOf<StartCall>(fixture.send(dispatch)).empty());
    fixture.handle(CallEnded{dispatch.id_, ResultKind::Ok, "done", ""});
    fixture.now_ += seconds(600); // the record is retained for 900 s
    fixture.handle(UpstreamAnnounced{1, {}});
    const auto results =
        messagesOf<AttemptResult>(fixture.send(Inquire{dispatch.id_, 7, 0, true, seconds(1)}));
    BOOST_REQUIRE(results.size() == 1u);
    BOOST_TEST(results[0].body_ == "done");
}

BOOST_AUTO_TEST_CASE(stream_is_resent_from_the_requested_offset)
{
    AgentFixture fixture;
    Dispatch dispatch = fixture.dispatch(1);
    dispatch.stream_ = dispatch.idempotent_ = true;
    fixture.send(dispatch);
    fixture.handle(CallTokens{dispatch.id_, {"a", "b", "c"}});
    const auto chunks = messagesOf<StreamChunk>(
        fixture.handle(PeerMessage{"e1", Inquire{dispatch.id_, 7, 1, true, seconds(1)}}));
    BOOST_REQUIRE(chunks.size() == 1u);
    BOOST_TEST(chunks[0].offset_ == 1u);
    BOOST_TEST(chunks[0].tokens_.size() == 2u);
}

BOOST_AUTO_TEST_CASE(burst_of_one_account_does_not_starve_another)
{
    AgentFixture fixture;
    fixture.state_.settings_.queueLimit_ = 1000;
    for (std::uint64_t i = 1; i <= 50; ++i)
        fixture.send(fixture.dispatch(i));
    Dispatch other = fixture.dispatch(100);
    other.account_ = "b";
    fixture.send(other);
    // One attempt of the burst runs. When it ends, the attempt of the other account is next.
    fixture.now_ += milliseconds(10);
    const auto started = effectsOf<StartCall>(
        fixture.handle(CallEnded{fixture.dispatch(1).id_, ResultKind::Ok, "", ""}));
    BOOST_REQUIRE(started.size() == 1u);
    BOOST_TEST((started[0].id_ == other.id_));
}

// The body of attempt 2 is suspected of crashing upstreams. Attempt 2 starts only after attempt 1
// has ended, and attempt 3 only after attempt 2 has ended.
BOOST_AUTO_TEST_CASE(suspect_runs_in_isolation)
{
    AgentFixture fixture(4);
    View view;
    view.suspects_ = {Suspect{2, 1, false}};
    fixture.send(fixture.dispatch(1));
    fixture.setView(view);
    BOOST_TEST(effectsOf<StartCall>(fixture.send(fixture.dispatch(2))).empty());
    BOOST_TEST(effectsOf<StartCall>(
                   fixture.handle(CallEnded{fixture.dispatch(1).id_, ResultKind::Ok, "", ""}))
                   .size()
               == 1u);
    BOOST_TEST(effectsOf<StartCall>(fixture.send(fixture.dispatch(3))).empty());
    const auto effects = fixture.handle(CallEnded{fixture.dispatch(2).id_, ResultKind::Ok, "", ""});
    BOOST_TEST(effectsOf<StartCall>(effects).size() == 1u);
    const auto proposals = effectsOf<SubmitProposal>(effects);
    BOOST_REQUIRE(proposals.size() == 1u);
    BOOST_TEST(std::holds_alternative<ClearSuspect>(proposals[0].command_));
}

BOOST_AUTO_TEST_CASE(crash_beside_other_attempts_is_not_reported_as_alone)
{
    AgentFixture fixture(4);
    fixture.send(fixture.dispatch(1));
    fixture.send(fixture.dispatch(2));
    for (const std::uint64_t sequence : {1, 2}) {
        const auto proposals = effectsOf<SubmitProposal>(fixture.handle(
            CallEnded{fixture.dispatch(sequence).id_, ResultKind::UpstreamCrashed, "", "reset"}));
        BOOST_REQUIRE(proposals.size() == 1u);
        BOOST_TEST(!std::get<ReportCrash>(proposals[0].command_).alone_);
    }
}

BOOST_AUTO_TEST_CASE(stop_request_finishes_running_and_queued_attempts)
{
    AgentFixture fixture;
    fixture.send(fixture.dispatch(1));
    fixture.send(fixture.dispatch(2));
    BOOST_TEST(effectsOf<StopNow>(fixture.handle(StopRequested{})).empty());
    BOOST_TEST(messagesOf<AttemptResult>(fixture.send(fixture.dispatch(3)))[0].detail_
               == "upstream_not_serving");
    const auto next = fixture.handle(CallEnded{fixture.dispatch(1).id_, ResultKind::Ok, "", ""});
    BOOST_TEST(effectsOf<StartCall>(next).size() == 1u);
    BOOST_TEST(effectsOf<StopNow>(next).empty());
    const auto last = fixture.handle(CallEnded{fixture.dispatch(2).id_, ResultKind::Ok, "", ""});
    BOOST_TEST(effectsOf<StopNow>(last).size() == 1u);
}

// Guards against attempts that wait at an agent until its process is killed.
BOOST_AUTO_TEST_CASE(queued_attempt_that_can_not_end_before_the_exit_is_given_back)
{
    AgentFixture fixture;
    fixture.send(fixture.dispatch(1));
    fixture.now_ += milliseconds(300); // the service time
    fixture.handle(CallEnded{fixture.dispatch(1).id_, ResultKind::Ok, "", ""});
    fixture.send(fixture.dispatch(2));
    fixture.send(fixture.dispatch(3));
    const auto early = fixture.handle(ExitScheduled{fixture.now_ + milliseconds(500)});
    BOOST_TEST(messagesOf<AttemptResult>(early).empty());
    fixture.handle(StopRequested{});
    BOOST_TEST((nextWake(fixture.state_) <= fixture.now_ + milliseconds(200)));
    fixture.now_ += milliseconds(200);
    const auto results = messagesOf<AttemptResult>(fixture.handle(Wake{}));
    BOOST_REQUIRE(results.size() == 1u);
    BOOST_TEST((results[0].id_ == fixture.dispatch(3).id_));
    BOOST_TEST((results[0].kind_ == ResultKind::NotRun));
    BOOST_TEST(results[0].detail_ == "upstream_not_serving");
}

// Guards against an agent that waits for a call until its process is killed.
BOOST_DATA_TEST_CASE(agent_ends_at_the_exit_time_during_a_call,
                     boost::unit_test::data::make({true, false}), idempotent)
{
    AgentFixture fixture;
    Dispatch dispatch = fixture.dispatch(1);
    dispatch.idempotent_ = idempotent;
    fixture.send(dispatch);
    fixture.handle(ExitScheduled{fixture.now_ + milliseconds(500)});
    BOOST_TEST(effectsOf<StopNow>(fixture.handle(StopRequested{})).empty());
    BOOST_TEST((nextWake(fixture.state_) <= fixture.now_ + milliseconds(500)));
    fixture.now_ += milliseconds(500);
    const auto effects = fixture.handle(Wake{});
    BOOST_TEST(effectsOf<StopNow>(effects).size() == 1u);
    // Whether the call of a non-idempotent stage takes effect is unknown, so nothing is said of it.
    BOOST_TEST(effectsOf<CancelCall>(effects).size() == (idempotent ? 1u : 0u));
    const auto results = messagesOf<AttemptResult>(effects);
    BOOST_REQUIRE(results.size() == (idempotent ? 1u : 0u));
    if (idempotent)
        BOOST_TEST((results[0].kind_ == ResultKind::Failed));
}

} // namespace
