// Tests detail/entry/entry.hpp: requests that can't end before the entry leaves.
#include "simulated_session.hpp"

#include <boost/mp11/algorithm.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace {

using namespace chervilspring;

constexpr auto serviceTime = milliseconds(1000); // expected time of each stage

// An entry with the pipelines "look", which is idempotent, and "book", which is not, and one
// upstream for both.
class EntryFixture
{
public:
    EntryFixture()
    {
        auto view = std::make_shared<View>();
        view->version_ = view->fleetVersion_ = 1;
        view->fleet_ = sessionFleet();
        view->fleet_.pipelines_.clear();
        for (const char *name : {"look", "book"}) {
            const bool idempotent = std::string_view(name) == "look";
            const StageSpec stage{name, "service=x", idempotent, false, serviceTime, 1};
            view->fleet_.pipelines_.push_back(PipelineSpec{name, {}, milliseconds(8000), {stage}});
        }
        Upstream upstream;
        upstream.name_ = "u1";
        upstream.agentBoot_ = 7;
        upstream.dataCenter_ = "dc1";
        upstream.concurrency_ = 4;
        upstream.phase_ = UpstreamPhase::Serving;
        upstream.labels_ = {{"service", "x"}};
        view->upstreams_ = {upstream};
        EntrySettings settings;
        settings.name_ = "e1";
        settings.dataCenter_ = "dc1";
        state_ = makeEntry(settings);
        handle(ViewChanged{view, now_, wholeShare, now_ + seconds(1000)});
    }

    EntryEffects handle(const EntryEvent &event)
    {
        EntryEffects effects;
        reduce(state_, now_, WallTime(seconds(1000)), event, effects);
        return effects;
    }

    EntryEffects call(const std::string &pipeline, const std::string &key = {})
    {
        CallerRequest request;
        request.token_ = 1;
        request.pipeline_ = pipeline;
        request.credential_ = "credential";
        request.key_ = key;
        request.body_ = "{}";
        return handle(request);
    }

    EntryEffects leaveIn(milliseconds time) { return handle(ExitScheduled{now_ + time}); }

    // Reports the state of the current attempt to the entry.
    EntryEffects report(AttemptTruth truth)
    {
        const Request &request = state_.requests_.begin()->second;
        const AttemptId id{request.id_, request.stage_, request.attempt_.number_};
        return handle(PeerMessage{"u1", AttemptState{id, 7, truth}});
    }

    EntryState state_;
    Instant now_ = Instant(seconds(1000));
};

// Returns the effects of type T, or the messages of type T that are sent.
template<typename T> std::vector<T> find(const EntryEffects &effects)
{
    std::vector<T> found;
    for (const EntryEffect &effect : effects) {
        const auto *send = std::get_if<SendToPeer>(&effect);
        if constexpr (boost::mp11::mp_contains<EntryEffect, T>::value) {
            if (std::holds_alternative<T>(effect))
                found.push_back(std::get<T>(effect));
        } else if (send && std::holds_alternative<T>(send->message_)) {
            found.push_back(std::get<T>(send->message_));
        }
    }
    return found;
}

// Checks that the effects answer the request: the entry stops, and the request did not run.
void checkNotRun(const EntryEffects &effects)
{
    const auto answers = find<Answer>(effects);
    BOOST_REQUIRE(answers.size() == 1u);
    BOOST_TEST(answers[0].errorId_ == static_cast<std::uint16_t>(ErrorId::EntryStopping));
    BOOST_TEST((answers[0].truth_ == RunTruth::NotRun));
    BOOST_TEST(find<Dispatch>(effects).empty());
}

BOOST_AUTO_TEST_CASE(request_that_can_not_end_before_the_exit_is_refused_at_arrival)
{
    EntryFixture fixture;
    fixture.leaveIn(serviceTime - milliseconds(1));
    checkNotRun(fixture.call("look"));
}

BOOST_AUTO_TEST_CASE(request_that_can_end_before_the_exit_gets_no_more_time_than_that)
{
    EntryFixture fixture;
    fixture.leaveIn(3 * serviceTime);
    const auto sent = find<Dispatch>(fixture.call("look"));
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST((sent[0].remaining_ == 3 * serviceTime));
}

BOOST_AUTO_TEST_CASE(request_whose_record_is_stored_too_late_before_the_exit_is_refused)
{
    EntryFixture fixture;
    const auto reserved = find<SubmitProposal>(fixture.call("book", "1000-key"));
    BOOST_REQUIRE(reserved.size() == 1u);
    fixture.leaveIn(serviceTime + milliseconds(100));
    fixture.now_ += milliseconds(200);
    Outcome accepted;
    accepted.kind_ = OutcomeKind::Accepted;
    const EntryEffects effects = fixture.handle(ProposalAnswered{reserved[0].token_, accepted});
    checkNotRun(effects);
    const auto released = find<SubmitProposal>(effects);
    BOOST_REQUIRE(released.size() == 1u);
    BOOST_TEST(std::holds_alternative<ReleaseRecord>(released[0].command_));
}

const char *const pipelines[] = {"look", "book"};

BOOST_DATA_TEST_CASE(attempt_that_waits_at_an_agent_is_taken_back_at_once,
                     boost::unit_test::data::make(pipelines), pipeline)
{
    EntryFixture fixture;
    BOOST_REQUIRE(find<Dispatch>(fixture.call(pipeline)).size() == 1u);
    const auto inquiries = find<Inquire>(fixture.leaveIn(serviceTime - milliseconds(1)));
    BOOST_REQUIRE(inquiries.size() == 1u);
    BOOST_TEST(inquiries[0].revoke_);
    checkNotRun(fixture.report(AttemptTruth::NeverStarted));
}

BOOST_DATA_TEST_CASE(request_that_runs_is_answered_when_the_entry_leaves,
                     boost::unit_test::data::make(pipelines), pipeline)
{
    EntryFixture fixture;
    fixture.call(pipeline);
    fixture.leaveIn(serviceTime / 2);
    fixture.report(AttemptTruth::Started);
    fixture.handle(StopRequested{});
    fixture.now_ += serviceTime / 2 - milliseconds(1);
    BOOST_TEST(find<Answer>(fixture.handle(Wake{})).empty());
    BOOST_TEST((nextWake(fixture.state_) <= fixture.now_ + milliseconds(1)));
    fixture.now_ += milliseconds(1);
    const EntryEffects effects = fixture.handle(Wake{});
    const auto answers = find<Answer>(effects);
    BOOST_REQUIRE(answers.size() == 1u);
    BOOST_TEST(answers[0].errorId_ == static_cast<std::uint16_t>(ErrorId::DeadlineExceeded));
    BOOST_TEST((answers[0].truth_ == RunTruth::MayHaveRun));
    BOOST_TEST(find<StopNow>(effects).size() == 1u);
}

} // namespace
