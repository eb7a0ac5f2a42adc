// Tests detail/direct/*.hpp: retries, responses to callers, retry budgets and routes.
#include "chervilspring/detail/direct/direct.hpp"
#include "chervilspring/digest.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

// Returns a view with an ordinary pool, an engine pool and a route of each kind.
ViewPointer testView(std::uint32_t maxAttempts = 2, milliseconds timeout = milliseconds(2000))
{
    auto view = std::make_shared<View>();
    view->version_ = 7;
    view->fleetVersion_ = 7;
    Pool plain;
    plain.name_ = "plain";
    plain.selector_ = "service = plain";
    Pool engine;
    engine.name_ = "engine";
    engine.selector_ = "service = engine";
    engine.engine_ = EngineCapacity{64, 400'000};
    view->fleet_.pools_ = {plain, engine};
    const auto addRoute = [&](const char *name, RouteKind kind, const char *pool, bool resumable) {
        RouteSpec route;
        route.name_ = name;
        route.host_ = "host";
        route.pathPrefix_ = std::string("/") + name + "/";
        route.kind_ = kind;
        route.maxAttempts_ = maxAttempts;
        route.timeout_ = timeout;
        route.objective_ = milliseconds(300);
        route.resumable_ = resumable;
        route.targets_ = {RouteTarget{pool, 1}};
        view->fleet_.routes_.push_back(route);
    };
    addRoute("safe", RouteKind::Safe, "plain", false);
    addRoute("unsafe", RouteKind::Unsafe, "plain", false);
    addRoute("stream", RouteKind::Streaming, "engine", false);
    addRoute("resumable", RouteKind::Streaming, "engine", true);
    Account account;
    account.name_ = "shop";
    account.keyDigests_ = {credentialDigest({}, "key")};
    view->fleet_.accounts_ = {account};
    for (const char *pool : {"plain", "engine"}) {
        for (const char *number : {"1", "2", "3"}) {
            Upstream upstream;
            upstream.name_ = std::string(pool) + "-" + number;
            upstream.phase_ = UpstreamPhase::Serving;
            upstream.direct_ = true;
            upstream.agentAddress_ = std::string("10.0.0.") + number;
            upstream.agentPort_ = 80;
            upstream.labels_ = {Label{"service", pool}};
            view->upstreams_.push_back(upstream);
        }
    }
    std::sort(view->upstreams_.begin(), view->upstreams_.end(),
              [](const Upstream &a, const Upstream &b) { return a.name_ < b.name_; });
    return view;
}

// A direct entry with the configuration of testView(). Collects the effects of all events.
class DirectFixture
{
public:
    explicit DirectFixture(std::uint64_t seed = 1, std::uint32_t maxAttempts = 2,
                           milliseconds timeout = milliseconds(2000))
    {
        DirectSettings settings;
        settings.name_ = "e1";
        settings.retrySlack_ = 1000;
        settings.seed_ = seed;
        state_ = makeDirect(settings);
        ViewChanged view;
        view.view_ = testView(maxAttempts, timeout);
        view.share_ = wholeShare;
        view.shareExpires_ = now_ + seconds(1000);
        view.leader_ = "c1";
        view.controlNames_ = {"c1", "c2"};
        handle(view);
    }

    DirectEffects handle(const DirectEvent &event)
    {
        DirectEffects effects;
        reduce(state_, now_, event, effects);
        allEffects_.insert(allEffects_.end(), effects.begin(), effects.end());
        return effects;
    }

    DirectEffects call(const std::string &route, std::uint64_t token = 1,
                       milliseconds timeout = milliseconds(1500))
    {
        DirectCall call;
        call.token_ = token;
        call.id_ = "id" + std::to_string(token);
        call.host_ = "host";
        call.path_ = "/" + route + "/x";
        call.credential_ = "key";
        call.callerTimeout_ = timeout;
        call.parts_ = parts_;
        return handle(call);
    }

    /// Delivers a grant from the scheduler of a request for its latest plan request.
    DirectEffects grant(const std::string &upstream, std::uint64_t token = 1)
    {
        const DirectRequest &request = state_.requests_.at(token);
        return handle(
            PeerMessage{request.scheduler_,
                        PlanGrant{request.call_.id_, request.planRound_, upstream, 0, {"handle"}}});
    }

    /// Sends a request whose run at engine-1 sends its first event.
    void beginStream(const std::string &route)
    {
        call(route);
        grant("engine-1");
        handle(RunStarted{1, 1});
    }

    DirectState state_;
    std::vector<PromptPart> parts_; ///< prompt of the next calls
    Instant now_ = Instant(seconds(1000));
    DirectEffects allEffects_;
};

// Returns the effects of type T.
template<typename T> std::vector<T> effectsOf(const DirectEffects &effects)
{
    std::vector<T> found;
    for (const DirectEffect &effect : effects) {
        if (const auto *item = std::get_if<T>(&effect))
            found.push_back(*item);
    }
    return found;
}

struct RetryRow
{
    const char *route_;
    RunEnd end_;
    unsigned status_; ///< status of the upstream's response, 0: none
    bool retried_; ///< another run or another plan follows
    unsigned refusalStatus_; ///< status of a generated response, 0: none
};

std::ostream &operator<<(std::ostream &stream, const RetryRow &row)
{
    return stream << row.route_ << " end " << static_cast<int>(row.end_) << " status "
                  << row.status_;
}

// Whether a request is retried, and which response the caller gets if it is not. 503 guarantees
// that no upstream executed the request.
const RetryRow retryTable[] = {
    {"safe", RunEnd::Failed, 0, true, 0},         {"safe", RunEnd::NotExecuted, 503, true, 0},
    {"safe", RunEnd::NotSent, 0, true, 0},        {"safe", RunEnd::Held, 500, true, 0},
    {"safe", RunEnd::Held, 200, false, 0},        {"unsafe", RunEnd::Failed, 0, false, 502},
    {"unsafe", RunEnd::TimedOut, 0, false, 502},  {"unsafe", RunEnd::NotExecuted, 503, true, 0},
    {"unsafe", RunEnd::NotSent, 0, true, 0},      {"unsafe", RunEnd::Held, 500, false, 0},
    {"stream", RunEnd::Failed, 0, false, 502},    {"stream", RunEnd::NotExecuted, 503, true, 0},
    {"stream", RunEnd::InputsGone, 409, true, 0}, {"resumable", RunEnd::Failed, 0, true, 0},
    {"resumable", RunEnd::Broken, 200, true, 0},
};

BOOST_DATA_TEST_CASE(run_end_determines_retry_or_response, data::make(retryTable), row)
{
    DirectFixture fixture;
    fixture.call(row.route_);
    if (effectsOf<StartRun>(fixture.allEffects_).empty())
        fixture.grant("engine-1");
    const auto first = effectsOf<StartRun>(fixture.allEffects_);
    BOOST_REQUIRE(first.size() == 1u);
    if (row.end_ == RunEnd::Broken)
        fixture.handle(RunStarted{1, 1});
    const DirectEffects effects = fixture.handle(RunEnded{1, 1, row.end_, row.status_, "4", ""});
    bool retried = !effectsOf<StartRun>(effects).empty();
    for (const SendToPeer &sent : effectsOf<SendToPeer>(effects))
        retried = retried || std::holds_alternative<PlanRequest>(sent.message_);
    BOOST_TEST(retried == row.retried_);
    const auto refusals = effectsOf<RefuseCall>(effects);
    BOOST_TEST((refusals.empty() ? 0u : refusals[0].status_) == row.refusalStatus_);
    for (const StartRun &run : effectsOf<StartRun>(effects))
        BOOST_TEST(run.upstream_.name_ != first[0].upstream_.name_);
}

BOOST_AUTO_TEST_CASE(broken_stream_that_is_not_resumable_is_aborted)
{
    DirectFixture fixture;
    fixture.beginStream("stream");
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Broken, 200, "4", ""});
    BOOST_TEST(effectsOf<AbortCall>(effects).size() == 1u);
    BOOST_TEST(effectsOf<RefuseCall>(effects).empty());
}

struct SilenceRow
{
    const char *name_;
    std::uint32_t maxAttempts_;
    milliseconds remaining_; ///< time left for the request
    bool budget_; ///< the retry budget is not used up
    bool resumable_; ///< the stream can continue after its last event
    std::size_t upstreams_; ///< upstreams in the pool
    bool resumed_;
};

std::ostream &operator<<(std::ostream &stream, const SilenceRow &row)
{
    return stream << row.name_;
}

// A run that has become silent is stopped only if another one can take over.
const SilenceRow silenceTable[] = {
    {"another run", 2, milliseconds(1000), true, true, 3, true},
    {"no attempt left", 1, milliseconds(1000), true, true, 3, false},
    {"no time left", 2, milliseconds(400), true, true, 3, false},
    {"no budget left", 2, milliseconds(1000), false, true, 3, false},
    {"no event to continue after", 2, milliseconds(1000), true, false, 3, false},
    {"no other upstream", 2, milliseconds(1000), true, true, 1, false},
};

BOOST_DATA_TEST_CASE(silent_run_is_stopped_only_for_another_one, data::make(silenceTable), row)
{
    DirectFixture fixture(1, row.maxAttempts_);
    fixture.beginStream("resumable");
    auto view = std::make_shared<View>(*testView(row.maxAttempts_));
    view->version_ = 8;
    for (std::size_t number = 3; number > row.upstreams_; --number)
        std::erase_if(view->upstreams_, [&](const Upstream &upstream) {
            return upstream.name_ == "engine-" + std::to_string(number);
        });
    ViewChanged changed;
    changed.view_ = view;
    changed.share_ = row.budget_ ? wholeShare : 0;
    changed.shareExpires_ = fixture.now_ + seconds(1000);
    changed.leader_ = "c1";
    changed.controlNames_ = {"c1", "c2"};
    fixture.handle(changed);
    fixture.now_ += milliseconds(1500) - row.remaining_;
    const auto effects = fixture.handle(RunSilent{1, 1, "4", row.resumable_});
    const std::size_t resumed = row.resumed_ ? 1 : 0;
    BOOST_TEST(effectsOf<StopRun>(effects).size() == resumed);
    BOOST_TEST(effectsOf<SendToPeer>(effects).size() == resumed);
    BOOST_TEST(effectsOf<AbortCall>(effects).empty());
    BOOST_TEST(fixture.state_.requests_.size() == 1u);
    if (!row.resumed_) { // the run goes on
        const auto end = fixture.handle(RunEnded{1, 1, RunEnd::Delivered, 200, "9", ""});
        BOOST_REQUIRE(effectsOf<DirectEnded>(end).size() == 1u);
        BOOST_TEST(effectsOf<DirectEnded>(end)[0].outcome_ == "delivered");
        return;
    }
    BOOST_TEST(std::holds_alternative<StopRun>(effects[1])); // before the plan for the next run
    const auto run = effectsOf<StartRun>(fixture.grant("engine-2"));
    BOOST_REQUIRE(run.size() == 1u);
    BOOST_TEST(run[0].lastEventId_ == "4");
}

BOOST_AUTO_TEST_CASE(silent_run_is_not_stopped_if_the_other_upstreams_have_just_failed)
{
    DirectFixture fixture;
    fixture.beginStream("resumable");
    for (const char *upstream : {"engine-2", "engine-3"}) {
        recordRunStart(fixture.state_.upstreamStats_, upstream);
        recordRunEnd(fixture.state_.upstreamStats_, upstream, milliseconds(10), true, fixture.now_);
    }
    BOOST_TEST(effectsOf<StopRun>(fixture.handle(RunSilent{1, 1, "4"})).empty());
}

BOOST_AUTO_TEST_CASE(silent_run_is_not_stopped_if_another_one_cannot_end_before_the_exit)
{
    DirectFixture fixture;
    fixture.beginStream("resumable");
    fixture.handle(DirectStop{fixture.now_ + milliseconds(1000)});
    const auto effects = fixture.handle(RunSilent{1, 1, "4"});
    BOOST_TEST(effectsOf<StopRun>(effects).empty());
    BOOST_TEST(effectsOf<AbortCall>(effects).empty());
    BOOST_TEST(fixture.state_.requests_.size() == 1u);
}

BOOST_AUTO_TEST_CASE(broken_stream_without_an_event_to_continue_after_is_aborted)
{
    DirectFixture fixture;
    fixture.beginStream("resumable");
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Broken, 200, "", "", false});
    BOOST_TEST(effectsOf<AbortCall>(effects).size() == 1u);
}

struct BegunRow
{
    RunEnd end_; ///< of the second run
    unsigned status_; ///< status of its response, 0: none
    const char *outcome_;
};

std::ostream &operator<<(std::ostream &stream, const BegunRow &row)
{
    return stream << "end " << static_cast<int>(row.end_) << " status " << row.status_;
}

// What ends a resumed stream whose first run has sent events.
const BegunRow begunTable[] = {
    {RunEnd::Held, 500, "broken"},         {RunEnd::Held, 404, "broken"},
    {RunEnd::Held, 200, "broken"},         {RunEnd::Failed, 0, "run_failed"},
    {RunEnd::Broken, 200, "broken"},       {RunEnd::NotExecuted, 503, "upstreams_full"},
    {RunEnd::NotSent, 0, "upstreams_full"}};

BOOST_DATA_TEST_CASE(response_that_has_begun_is_cut_and_not_replaced, data::make(begunTable), row)
{
    DirectFixture fixture;
    fixture.beginStream("resumable");
    fixture.handle(RunEnded{1, 1, RunEnd::Broken, 200, "3", ""});
    fixture.state_.settings_.retryRatio_ = 0; // the second run is the last one
    fixture.state_.settings_.retrySlack_ = 0;
    fixture.grant("engine-2");
    fixture.now_ += milliseconds(1490); // too little time for a third run
    const auto effects = fixture.handle(RunEnded{1, 2, row.end_, row.status_, "", ""});
    BOOST_TEST(effectsOf<DeliverHeld>(effects).empty());
    BOOST_TEST(effectsOf<RefuseCall>(effects).empty());
    BOOST_TEST(effectsOf<AbortCall>(effects).size() == 1u);
    BOOST_REQUIRE(effectsOf<DirectEnded>(effects).size() == 1u);
    BOOST_TEST(effectsOf<DirectEnded>(effects)[0].outcome_ == row.outcome_);
    const std::string line = effectsOf<DecisionLine>(effects).back().text_;
    BOOST_TEST(line.find("response=cut status=0") != std::string::npos, line);
}

// An answer that is held for a run and neither delivered nor dropped would occupy memory for ever.
BOOST_AUTO_TEST_CASE(held_answer_of_a_retried_run_is_dropped)
{
    DirectFixture fixture;
    fixture.call("safe");
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Held, 500, "", ""});
    BOOST_TEST(effectsOf<StartRun>(effects).size() == 1u);
    BOOST_REQUIRE(effectsOf<StopRun>(effects).size() == 1u);
    BOOST_TEST(effectsOf<StopRun>(effects)[0].attempt_ == 1u);
}

BOOST_AUTO_TEST_CASE(resumed_stream_continues_after_the_last_delivered_event)
{
    DirectFixture fixture;
    fixture.beginStream("resumable");
    fixture.handle(RunEnded{1, 1, RunEnd::Broken, 200, "17", ""});
    const auto effects = fixture.grant("engine-2");
    BOOST_REQUIRE(effectsOf<StartRun>(effects).size() == 1u);
    BOOST_TEST(effectsOf<StartRun>(effects)[0].lastEventId_ == "17");
    // A duplicate grant starts no further run.
    const DirectRequest &request = fixture.state_.requests_.at(1);
    const auto twice = fixture.handle(
        PeerMessage{"c1", PlanGrant{request.call_.id_, request.planRound_, "engine-3", 0, {}}});
    BOOST_TEST(effectsOf<StartRun>(twice).empty());
}

struct RefusalRow
{
    const char *host_;
    const char *path_;
    const char *key_; ///< API key of the caller; empty: none
    unsigned status_; ///< status of the refusal
};

std::ostream &operator<<(std::ostream &stream, const RefusalRow &row)
{
    return stream << row.host_ << row.path_ << " " << row.key_;
}

const RefusalRow refusalTable[] = {
    {"host", "/safe/x", "wrong", 401}, {"host", "/safe/x", "", 401},
    {"host", "/other/x", "key", 404},  {"elsewhere", "/safe/x", "key", 404},
    {"host", "/safe", "key", 404}, // the path prefix is "/safe/"
};

BOOST_DATA_TEST_CASE(request_without_matching_route_or_account_is_refused, data::make(refusalTable),
                     row)
{
    DirectFixture fixture;
    DirectCall call;
    call.token_ = 5;
    call.id_ = "id";
    call.host_ = row.host_;
    call.path_ = row.path_;
    call.credential_ = row.key_;
    call.callerTimeout_ = seconds(1);
    const auto refusals = effectsOf<RefuseCall>(fixture.handle(call));
    BOOST_REQUIRE(refusals.size() == 1u);
    BOOST_TEST(refusals[0].status_ == row.status_);
}

struct KeyRow
{
    const char *description_;
    bool needsKey_; ///< Fleet::needsKey_
    std::vector<std::string> keys_; ///< keys of the only account; empty: there is no account
    const char *key_; ///< key of the caller; empty: none
    bool refused_;
};

std::ostream &operator<<(std::ostream &stream, const KeyRow &row)
{
    return stream << row.description_;
}

const KeyRow keyTable[] = {
    {"accounts were never configured", false, {}, "key", false},
    {"accounts were never configured, no key", false, {}, "", false},
    {"no account is left", true, {}, "key", true},
    {"no account is left, no key", true, {}, "", true},
    {"account", true, {"key"}, "key", false},
    {"account, other key", true, {"key"}, "other", true},
    {"account with an empty key, no key", true, {""}, "", true},
};

// Guards against requests that run without a valid key after the last account was removed, since an
// empty list of accounts is taken for none.
BOOST_DATA_TEST_CASE(keys_are_needed_although_no_account_is_left, data::make(keyTable), row)
{
    DirectFixture fixture;
    auto view = std::make_shared<View>(*testView(2, milliseconds(2000)));
    ++view->version_;
    view->fleet_.needsKey_ = row.needsKey_;
    view->fleet_.accounts_.clear();
    if (!row.keys_.empty()) {
        Account account;
        account.name_ = "shop";
        for (const std::string &key : row.keys_)
            account.keyDigests_.push_back(credentialDigest({}, key));
        view->fleet_.accounts_ = {account};
    }
    ViewChanged change;
    change.view_ = view;
    change.share_ = wholeShare;
    change.shareExpires_ = fixture.now_ + seconds(1000);
    fixture.handle(change);
    DirectCall call;
    call.token_ = 5;
    call.id_ = "id";
    call.host_ = "host";
    call.path_ = "/safe/x";
    call.credential_ = row.key_;
    call.callerTimeout_ = seconds(1);
    const auto refusals = effectsOf<RefuseCall>(fixture.handle(call));
    BOOST_TEST(refusals.empty() != row.refused_);
    for (const RefuseCall &refusal : refusals)
        BOOST_TEST(refusal.status_ == 401u);
}

struct PieceCountRow
{
    std::vector<std::uint32_t> counts_;
    bool accepted_;
};

std::ostream &operator<<(std::ostream &stream, const PieceCountRow &row)
{
    for (const std::uint32_t count : row.counts_)
        stream << count << " ";
    return stream;
}

const PieceCountRow pieceCountTable[] = {
    {{}, true},
    {{4, 2}, true},
    {{maxPiecesPerRequest, 0}, true},
    {{maxPiecesPerRequest, 1}, false},
    {{0, 4294967295}, false},
    {{4294967295, 1}, false}, // the sum doesn't fit into 32 bits
    {{4, 2, 4294967295}, true}, // the route has two stages
};

// The allocation of the pieces failed at each scheduler in turn, or used up its memory.
BOOST_DATA_TEST_CASE(request_with_too_many_pieces_never_reaches_a_scheduler,
                     data::make(pieceCountTable), row)
{
    DirectFixture fixture;
    auto view = std::make_shared<View>(*testView());
    view->version_ = 8;
    for (RouteSpec &route : view->fleet_.routes_)
        route.stages_ = {RouteStage{"plain", {}, 1}, RouteStage{"plain", {0}, 1}};
    ViewChanged change;
    change.view_ = view;
    change.leader_ = "c1";
    fixture.handle(change);
    DirectCall call;
    call.token_ = 1;
    call.id_ = "id";
    call.host_ = "host";
    call.path_ = "/stream/x";
    call.credential_ = "key";
    call.callerTimeout_ = seconds(1);
    call.pieceCounts_ = row.counts_;
    const DirectEffects effects = fixture.handle(call);
    BOOST_TEST(effectsOf<SendToPeer>(effects).size() == (row.accepted_ ? 1u : 0u));
    const auto refusals = effectsOf<RefuseCall>(effects);
    BOOST_REQUIRE(refusals.size() == (row.accepted_ ? 0u : 1u));
    if (!row.accepted_)
        BOOST_TEST(refusals[0].status_ == 400u);
}

BOOST_AUTO_TEST_CASE(entry_without_a_configuration_refuses_with_a_retry_delay)
{
    DirectState state = makeDirect(DirectSettings{});
    DirectEffects effects;
    DirectCall call;
    call.token_ = 1;
    reduce(state, Instant(seconds(5)), call, effects);
    BOOST_REQUIRE(effectsOf<RefuseCall>(effects).size() == 1u);
    BOOST_TEST(effectsOf<RefuseCall>(effects)[0].status_ == 503u);
    BOOST_TEST((effectsOf<RefuseCall>(effects)[0].retryAfter_ > nanoseconds(0)));
}

BOOST_AUTO_TEST_CASE(request_is_answered_at_its_deadline)
{
    DirectFixture fixture;
    fixture.call("unsafe", 1, milliseconds(1500));
    fixture.call("stream", 2, milliseconds(1500));
    fixture.now_ += milliseconds(1500);
    const auto effects = fixture.handle(Wake{});
    const auto refusals = effectsOf<RefuseCall>(effects);
    BOOST_REQUIRE(refusals.size() == 2u);
    BOOST_TEST(refusals[0].status_ == 504u); // the unsafe request may have been executed
    BOOST_TEST(refusals[1].status_ == 503u); // the streaming one was being planned
    BOOST_TEST(effectsOf<StopRun>(effects).size() == 1u);
    BOOST_TEST(fixture.state_.requests_.empty());
}

struct PatienceRow
{
    const char *name_;
    RouteKind kind_;
    milliseconds objective_;
    milliseconds gapObjective_;
    milliseconds patience_; ///< 0: none
};

std::ostream &operator<<(std::ostream &stream, const PatienceRow &row)
{
    return stream << row.name_;
}

const PatienceRow patienceTable[] = {
    {"shortest", RouteKind::Streaming, milliseconds(300), milliseconds(100), milliseconds(2000)},
    {"objective", RouteKind::Streaming, milliseconds(1800), milliseconds(400), milliseconds(7200)},
    {"pause", RouteKind::Streaming, milliseconds(600), milliseconds(500), milliseconds(4000)},
    {"no times", RouteKind::Streaming, milliseconds(0), milliseconds(0), milliseconds(2000)},
    {"safe", RouteKind::Safe, milliseconds(1800), milliseconds(400), milliseconds(0)},
    {"unsafe", RouteKind::Unsafe, milliseconds(1800), milliseconds(400), milliseconds(0)},
};

BOOST_DATA_TEST_CASE(callers_give_up_streams_without_events, data::make(patienceTable), row)
{
    RouteSpec route;
    route.kind_ = row.kind_;
    route.objective_ = row.objective_;
    route.gapObjective_ = row.gapObjective_;
    const auto patience = callerPatience(route);
    BOOST_TEST(patience.has_value() == (row.patience_ > milliseconds(0)));
    BOOST_TEST((patience.value_or(nanoseconds(0)) == row.patience_));
}

// The caller of "stream" leaves after two seconds without an event.
BOOST_AUTO_TEST_CASE(stream_without_an_engine_is_refused_while_its_caller_listens)
{
    DirectFixture fixture(1, 2, seconds(20));
    const auto plans = effectsOf<SendToPeer>(fixture.call("stream", 1, seconds(20)));
    BOOST_REQUIRE(plans.size() == 1u);
    const auto &plan = std::get<PlanRequest>(plans[0].message_);
    BOOST_TEST((plan.untilStartDeadline_ == seconds(2)));
    BOOST_TEST((plan.untilDeadline_ == seconds(20)));
    BOOST_TEST((nextWake(fixture.state_) < fixture.now_ + seconds(2)));
    fixture.now_ = nextWake(fixture.state_);
    const auto effects = fixture.handle(Wake{});
    const auto refusals = effectsOf<RefuseCall>(effects);
    BOOST_REQUIRE(refusals.size() == 1u);
    BOOST_TEST(refusals[0].status_ == 503u);
    BOOST_TEST((refusals[0].retryAfter_ > nanoseconds(0)));
    BOOST_REQUIRE(effectsOf<SendToPeer>(effects).size() == 1u);
    BOOST_TEST(std::holds_alternative<PlanEnd>(effectsOf<SendToPeer>(effects)[0].message_));
    BOOST_TEST(fixture.state_.requests_.empty());
    BOOST_TEST(fixture.state_.startDeadlines_.empty());
}

BOOST_AUTO_TEST_CASE(stream_at_an_engine_is_not_refused_for_its_start)
{
    DirectFixture fixture(1, 2, seconds(20));
    fixture.call("stream", 1, seconds(20));
    fixture.grant("engine-1");
    fixture.now_ += seconds(3);
    BOOST_TEST(effectsOf<RefuseCall>(fixture.handle(Wake{})).empty());
    BOOST_TEST(fixture.state_.requests_.size() == 1u);
}

// The caller waits again from its last event on.
BOOST_AUTO_TEST_CASE(moved_stream_has_to_continue_before_its_caller_leaves)
{
    DirectFixture fixture(1, 2, seconds(20));
    fixture.call("resumable", 1, seconds(20));
    fixture.grant("engine-1");
    fixture.handle(RunStarted{1, 1});
    fixture.now_ += seconds(5);
    const auto plans =
        effectsOf<SendToPeer>(fixture.handle(RunSilent{1, 1, "4", true, milliseconds(1750)}));
    BOOST_REQUIRE(plans.size() == 1u);
    const auto &plan = std::get<PlanRequest>(plans[0].message_);
    BOOST_TEST((plan.untilStartDeadline_ == milliseconds(250)));
    BOOST_TEST((plan.untilDeadline_ == seconds(15)));
}

ViewChanged evacuatedView(const DirectFixture &fixture, const std::string &dataCenter)
{
    auto view = std::make_shared<View>(*fixture.state_.table_->view_);
    ++view->version_;
    view->evacuated_ = {dataCenter};
    ViewChanged changed;
    changed.view_ = view;
    return changed;
}

// The scheduler granted the request before it knew of the evacuation.
BOOST_AUTO_TEST_CASE(
    request_that_was_granted_an_engine_of_an_evacuated_data_centre_is_planned_again)
{
    DirectFixture fixture;
    const std::string dataCenter =
        fixture.state_.table_->availableUpstreams_.at("engine-1")->dataCenter_;
    fixture.call("stream");
    fixture.handle(evacuatedView(fixture, dataCenter));
    const DirectRequest &request = fixture.state_.requests_.at(1);
    const std::uint32_t round = request.planRound_;
    fixture.grant("engine-1");
    BOOST_TEST(request.planRound_ == round + 1);
    BOOST_TEST((request.phase_ == DirectPhase::Planning));
}

BOOST_AUTO_TEST_CASE(request_whose_upstreams_are_all_evacuated_is_refused_at_once)
{
    DirectFixture fixture;
    const std::string dataCenter =
        fixture.state_.table_->availableUpstreams_.at("plain-1")->dataCenter_;
    fixture.handle(evacuatedView(fixture, dataCenter));
    const auto effects = fixture.call("unsafe");
    BOOST_TEST(effectsOf<StartRun>(effects).empty());
    BOOST_REQUIRE(effectsOf<RefuseCall>(effects).size() == 1u);
    BOOST_TEST(effectsOf<RefuseCall>(effects)[0].status_ == 503u);
    BOOST_TEST((effectsOf<RefuseCall>(effects)[0].retryAfter_ > nanoseconds(0)));
}

// The same request may arrive under other ids at any entry, so crashes are counted fleet-wide for
// the digest of account, path and body.
BOOST_AUTO_TEST_CASE(request_that_crashed_three_upstreams_is_refused)
{
    DirectFixture fixture;
    fixture.call("unsafe", 1);
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Failed, 0, "", "reset"});
    BOOST_TEST(effectsOf<SubmitProposal>(effects).empty());
    BOOST_REQUIRE(effectsOf<ProbeUpstream>(effects).size() == 1u);
    const BrokenRun run = effectsOf<ProbeUpstream>(effects)[0].run_;
    const std::uint64_t digest = run.digest_;
    // An upstream that still accepts connections lost a response but did not crash.
    BOOST_TEST(effectsOf<SubmitProposal>(fixture.handle(UpstreamProbed{run, true})).empty());
    const auto down = fixture.handle(UpstreamProbed{run, false});
    BOOST_REQUIRE(effectsOf<SubmitProposal>(down).size() == 1u);
    BOOST_TEST(std::get<ReportCrash>(effectsOf<SubmitProposal>(down)[0].command_).digest_
               == digest);
    for (const std::uint32_t crashes : {2u, 3u}) {
        auto view = std::make_shared<View>(*testView());
        view->version_ = 7 + crashes;
        view->suspects_ = {Suspect{digest, crashes, false}};
        ViewChanged changed;
        changed.view_ = view;
        fixture.handle(changed);
        const auto effectsAgain = fixture.call("unsafe", 10 + crashes);
        BOOST_TEST(effectsOf<StartRun>(effectsAgain).size() == (crashes < 3 ? 1u : 0u));
        BOOST_TEST(effectsOf<RefuseCall>(effectsAgain).size() == (crashes < 3 ? 0u : 1u));
    }
    // A request with another digest still runs; a suspect that is served clears its crash count.
    BOOST_TEST(effectsOf<StartRun>(fixture.call("safe", 50)).size() == 1u);
    const auto ended = fixture.handle(RunEnded{12, 1, RunEnd::Held, 200, "", ""});
    BOOST_REQUIRE(effectsOf<SubmitProposal>(ended).size() == 1u);
    BOOST_TEST(std::holds_alternative<ClearSuspect>(effectsOf<SubmitProposal>(ended)[0].command_));
}

struct WithdrawalRow
{
    unsigned status_; ///< of the complete response
    bool withdrawn_;
};

std::ostream &operator<<(std::ostream &stream, const WithdrawalRow &row)
{
    return stream << row.status_;
}

const WithdrawalRow withdrawalTable[] = {{200, true},  {204, true},  {302, false}, {400, false},
                                         {404, false}, {429, false}, {500, false}};

// A response that rejects a request says nothing about what happens when it runs.
BOOST_DATA_TEST_CASE(rejected_request_keeps_its_crash_count, data::make(withdrawalTable), row)
{
    DirectFixture fixture;
    fixture.call("unsafe");
    const std::uint64_t digest = fixture.state_.requests_.at(1).digest_;
    auto view = std::make_shared<View>(*testView());
    ++view->version_;
    view->suspects_ = {Suspect{digest, 2, false}};
    ViewChanged changed;
    changed.view_ = view;
    fixture.handle(changed);
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Held, row.status_, "", ""});
    BOOST_TEST(effectsOf<SubmitProposal>(effects).size() == (row.withdrawn_ ? 1u : 0u));
}

// Guards against reports that can't be told from those about other crashes of the same upstream.
BOOST_AUTO_TEST_CASE(crash_report_names_the_start_of_the_upstream)
{
    DirectFixture fixture;
    const auto effects = fixture.handle(UpstreamProbed{BrokenRun{"plain-1", 7, 5, {}, {}}, false});
    BOOST_REQUIRE(effectsOf<SubmitProposal>(effects).size() == 1u);
    const auto report = std::get<ReportCrash>(effectsOf<SubmitProposal>(effects)[0].command_);
    BOOST_TEST(report.upstream_ == "plain-1");
    BOOST_TEST(report.boot_ == 7u);
}

struct SoundRunRow
{
    const char *description_;
    milliseconds start_; ///< of the other run, from the start of the one that breaks
    const char *route_; ///< of the other run
    unsigned status_; ///< of its response
    bool reported_; ///< the crash counts against the request
    bool hasRunWell_; ///< according to the report
};

std::ostream &operator<<(std::ostream &stream, const SoundRunRow &row)
{
    return stream << row.description_;
}

const SoundRunRow soundRunTable[] = {
    {"a later run of the request", milliseconds(10), "unsafe", 200, false, false},
    {"one that began with it", milliseconds(0), "unsafe", 200, false, false},
    {"an earlier one", milliseconds(-10), "unsafe", 200, true, true},
    {"one that ended badly", milliseconds(10), "unsafe", 500, true, false},
    {"one of another request", milliseconds(10), "safe", 200, true, false},
};

// Guards against a sound request that is refused because it ran at servers that others crashed.
BOOST_DATA_TEST_CASE(request_that_has_run_well_since_is_not_blamed, data::make(soundRunTable), row)
{
    DirectFixture fixture;
    const Instant start = fixture.now_;
    std::multimap<Instant, std::pair<std::uint64_t, const char *>> calls;
    calls.insert({start, {1, "unsafe"}});
    calls.insert({start + row.start_, {2, row.route_}});
    for (const auto &[at, call] : calls) {
        fixture.now_ = at;
        fixture.call(call.second, call.first);
    }
    fixture.now_ = start + milliseconds(50);
    fixture.handle(RunEnded{2, 1, RunEnd::Held, row.status_, "", ""});
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Failed, 0, "", "reset"});
    BOOST_REQUIRE(effectsOf<ProbeUpstream>(effects).size() == 1u);
    const BrokenRun run = effectsOf<ProbeUpstream>(effects)[0].run_;
    const auto down = fixture.handle(UpstreamProbed{run, false});
    const auto proposals = effectsOf<SubmitProposal>(down);
    BOOST_REQUIRE(proposals.size() == (row.reported_ ? 1u : 0u));
    for (const SubmitProposal &proposal : proposals)
        BOOST_TEST(std::get<ReportCrash>(proposal.command_).hasRunWell_ == row.hasRunWell_);
}

// Crashes were forgotten if the control processes had no leader for three seconds.
BOOST_AUTO_TEST_CASE(crash_reports_outlast_a_change_of_leader)
{
    constexpr nanoseconds longestRecovery = seconds(15); // without a leader, by the users' bounds
    DirectFixture fixture;
    const auto effects = fixture.handle(UpstreamProbed{BrokenRun{"plain-1", 1, 5, {}, {}}, false});
    BOOST_REQUIRE(effectsOf<SubmitProposal>(effects).size() == 1u);
    BOOST_TEST((effectsOf<SubmitProposal>(effects)[0].patience_ > longestRecovery));
}

struct CrashRow
{
    const char *name_;
    bool started_; ///< the run sent an event
    RunEnd end_;
    unsigned status_; ///< status of the upstream's response, 0: none
    bool responseBegun_;
    bool probed_; ///< the upstream is probed
    bool reported_; ///< the scheduler is told of the crash if the upstream is down
};

std::ostream &operator<<(std::ostream &stream, const CrashRow &row)
{
    return stream << row.name_;
}

const CrashRow crashTable[] = {
    {"no response", false, RunEnd::Failed, 0, false, true, true},
    {"cut head", false, RunEnd::Failed, 0, true, true, true},
    {"head without events", false, RunEnd::Failed, 200, true, true, true},
    {"head of a resumed run without events", false, RunEnd::Broken, 200, true, true, true},
    {"cut after an event", true, RunEnd::Broken, 200, true, true, true},
    {"cut after an event, before the caller got it", true, RunEnd::Failed, 200, true, true, true},
    {"response to another request", false, RunEnd::Failed, 200, false, false, false},
    {"time limit", false, RunEnd::TimedOut, 200, true, false, false},
    {"not executed", false, RunEnd::NotExecuted, 503, false, false, false},
};

// Returns whether a crash was reported to a scheduler.
bool reportsCrash(const DirectEffects &effects)
{
    const auto sent = effectsOf<SendToPeer>(effects);
    return std::any_of(sent.begin(), sent.end(), [](const SendToPeer &item) {
        return std::holds_alternative<RunCrashed>(item.message_);
    });
}

BOOST_DATA_TEST_CASE(run_that_crashes_its_engine_is_reported, data::make(crashTable), row)
{
    DirectFixture fixture;
    fixture.call("stream");
    fixture.grant("engine-1");
    if (row.started_)
        fixture.handle(RunStarted{1, 1});
    RunEnded end{1, 1, row.end_, row.status_, "", ""};
    end.responseBegun_ = row.responseBegun_;
    const auto probes = effectsOf<ProbeUpstream>(fixture.handle(end));
    BOOST_TEST(probes.size() == (row.probed_ ? 1u : 0u));
    for (const ProbeUpstream &probe : probes) {
        UpstreamProbed probed{probe.run_, true};
        BOOST_TEST(!reportsCrash(fixture.handle(probed)));
        probed.reachable_ = false;
        const auto effects = fixture.handle(probed);
        BOOST_TEST(reportsCrash(effects) == row.reported_);
        for (const SendToPeer &sent : effectsOf<SendToPeer>(effects))
            BOOST_TEST(std::get<RunCrashed>(sent.message_).started_ == row.started_);
    }
}

ViewChanged leaderView(const DirectFixture &fixture, const std::string &leader)
{
    ViewChanged changed;
    changed.view_ = fixture.state_.table_->view_;
    changed.leader_ = leader;
    changed.controlNames_ = {"c1", "c2"};
    return changed;
}

struct RestartRow
{
    const char *name_;
    nanoseconds noticedAfter_; ///< time from the broken run to the view with the new boot id
    std::uint64_t bootsAhead_; ///< difference of the boot ids; 0: the upstream lives
    bool beforeProbe_; ///< the view comes before the result of the probe
    bool reported_;
};

std::ostream &operator<<(std::ostream &stream, const RestartRow &row)
{
    return stream << row.name_;
}

const RestartRow restartTable[] = {
    {"restarted at once", milliseconds(400), 1, false, true},
    {"the view is quicker than the probe", milliseconds(1), 1, true, true},
    {"restarted twice", seconds(3), 2, false, true},
    {"same process", milliseconds(400), 0, false, false},
    {"restarted long after", seconds(6), 1, false, false},
};

// The probe of a crashed upstream reaches its successor, or a supervisor that holds its socket.
BOOST_DATA_TEST_CASE(upstream_that_accepts_connections_with_a_new_boot_id_has_crashed,
                     data::make(restartTable), row)
{
    for (const bool planned : {false, true}) {
        DirectFixture fixture;
        fixture.call(planned ? "stream" : "unsafe");
        if (planned)
            fixture.grant("engine-1");
        RunEnded end{1, 1, RunEnd::Failed, 0, "", ""};
        const auto probes = effectsOf<ProbeUpstream>(fixture.handle(end));
        BOOST_REQUIRE(probes.size() == 1u);
        const auto showView = [&] {
            fixture.now_ += row.noticedAfter_;
            auto view = std::make_shared<View>(*fixture.state_.table_->view_);
            ++view->version_;
            for (Upstream &upstream : view->upstreams_)
                upstream.agentBoot_ += row.bootsAhead_;
            ViewChanged changed = leaderView(fixture, "c1");
            changed.view_ = view;
            return fixture.handle(changed);
        };
        DirectEffects effects;
        if (row.beforeProbe_)
            effects = showView();
        const auto probed = fixture.handle(UpstreamProbed{probes[0].run_, true});
        BOOST_TEST(effectsOf<SubmitProposal>(effects).empty());
        effects.insert(effects.end(), probed.begin(), probed.end());
        if (!row.beforeProbe_) {
            BOOST_TEST(effectsOf<SubmitProposal>(probed).empty());
            const auto later = showView();
            effects.insert(effects.end(), later.begin(), later.end());
        }
        BOOST_TEST(effectsOf<SubmitProposal>(effects).size() == (row.reported_ ? 1u : 0u));
        BOOST_TEST(reportsCrash(effects) == (row.reported_ && planned));
        BOOST_TEST(effectsOf<SubmitProposal>(showView()).empty()); // reported once
    }
}

BOOST_AUTO_TEST_CASE(run_that_breaks_at_an_engine_that_leaves_is_no_crash)
{
    DirectFixture fixture;
    fixture.call("stream");
    fixture.grant("engine-1");
    const Upstream engine = *fixture.state_.table_->availableUpstreams_.at("engine-1");
    fixture.handle(UpstreamNoticed{engine, UpstreamNotice{true, nanoseconds(0)}});
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Failed, 0, "", ""});
    BOOST_TEST(effectsOf<ProbeUpstream>(effects).empty());
}

// Returns the requests whose crashes were reported to a scheduler.
std::vector<std::string> reportedTo(const DirectEffects &effects, const std::string &scheduler)
{
    std::vector<std::string> ids;
    for (const SendToPeer &sent : effectsOf<SendToPeer>(effects)) {
        const auto *report = std::get_if<RunCrashed>(&sent.message_);
        if (report && sent.peer_ == scheduler)
            ids.push_back(report->id_);
    }
    return ids;
}

// Lets a request crash the engine at which it runs.
void crashEngine(DirectFixture &fixture, std::uint64_t token, const std::string &part)
{
    fixture.parts_ = {PromptPart{"common", 10}, PromptPart{part, 10}};
    fixture.call("stream", token);
    fixture.grant("engine-1", token);
    RunEnded end{token, 1, RunEnd::Failed, 200, "", ""};
    end.responseBegun_ = true;
    const auto probes = effectsOf<ProbeUpstream>(fixture.handle(end));
    BOOST_REQUIRE(probes.size() == 1u);
    fixture.handle(UpstreamProbed{probes[0].run_, false});
}

// The scheduler at the former leader was the only one that had counted them.
BOOST_AUTO_TEST_CASE(new_leader_learns_of_crashes_that_the_former_one_was_told_of)
{
    DirectFixture fixture;
    crashEngine(fixture, 1, "bad");
    crashEngine(fixture, 2, "bad");
    const auto effects = fixture.handle(leaderView(fixture, "c2"));
    BOOST_TEST(reportedTo(effects, "c2") == (std::vector<std::string>{"id1", "id2"}),
               boost::test_tools::per_element());
    BOOST_TEST(reportedTo(fixture.handle(leaderView(fixture, "c2")), "c2").empty());
}

BOOST_AUTO_TEST_CASE(reports_of_crashes_leave_out_parts_that_were_sound_since)
{
    DirectFixture fixture;
    crashEngine(fixture, 1, "bad");
    fixture.parts_ = {PromptPart{"common", 10}, PromptPart{"good", 10}};
    fixture.call("stream", 2);
    fixture.grant("engine-2", 2);
    fixture.handle(RunStarted{2, 1});
    const auto effects = fixture.handle(leaderView(fixture, "c2"));
    BOOST_REQUIRE(reportedTo(effects, "c2").size() == 1u);
    for (const SendToPeer &sent : effectsOf<SendToPeer>(effects)) {
        const auto *report = std::get_if<RunCrashed>(&sent.message_);
        if (!report)
            continue;
        BOOST_REQUIRE(report->parts_.size() == 1u);
        BOOST_TEST(report->parts_[0].id_ == "bad");
    }
}

BOOST_AUTO_TEST_CASE(reports_of_crashes_end_with_the_quarantine_that_they_led_to)
{
    DirectFixture fixture;
    crashEngine(fixture, 1, "bad");
    auto view = std::make_shared<View>(*fixture.state_.table_->view_);
    ++view->version_;
    view->quarantines_ = {Quarantine{5, {"bad"}, 3, 0}};
    ViewChanged changed = leaderView(fixture, "c1");
    changed.view_ = view;
    fixture.handle(changed);
    auto lifted = std::make_shared<View>(*view);
    ++lifted->version_;
    lifted->quarantines_.clear();
    changed.view_ = lifted;
    fixture.handle(changed);
    fixture.parts_ = {PromptPart{"common", 10}, PromptPart{"good", 10}};
    fixture.call("stream", 2);
    fixture.grant("engine-2", 2);
    fixture.handle(RunStarted{2, 1}); // clears "common"
    BOOST_TEST(reportedTo(fixture.handle(leaderView(fixture, "c2")), "c2").empty());
}

BOOST_AUTO_TEST_CASE(reports_of_crashes_are_few_and_end_after_ten_minutes)
{
    DirectFixture fixture;
    for (std::uint64_t token = 1; token <= 50; ++token)
        crashEngine(fixture, token, "bad" + std::to_string(token));
    const auto effects = fixture.handle(leaderView(fixture, "c2"));
    BOOST_REQUIRE(reportedTo(effects, "c2").size() == 8u);
    BOOST_TEST(reportedTo(effects, "c2").back() == "id50");
    fixture.now_ += minutes(11);
    BOOST_TEST(reportedTo(fixture.handle(leaderView(fixture, "c1")), "c1").empty());
}

struct ServedRow
{
    unsigned status_; ///< of the complete response
    bool served_;
};

std::ostream &operator<<(std::ostream &stream, const ServedRow &row)
{
    return stream << row.status_;
}

const ServedRow servedTable[] = {
    {200, true}, {204, true}, {302, false}, {404, false}, {500, false}};

// A served request clears its prompt parts at the scheduler.
BOOST_DATA_TEST_CASE(failure_that_an_engine_answers_is_not_reported_as_served,
                     data::make(servedTable), row)
{
    DirectFixture fixture;
    fixture.call("stream");
    fixture.grant("engine-1");
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Held, row.status_, "", ""});
    BOOST_REQUIRE(effectsOf<SendToPeer>(effects).size() == 1u);
    BOOST_TEST(std::get<PlanEnd>(effectsOf<SendToPeer>(effects)[0].message_).served_
               == row.served_);
}

// Returns a view with a quarantine of the part "bad".
ViewChanged quarantineView(const DirectFixture &fixture)
{
    auto view = std::make_shared<View>(*fixture.state_.table_->view_);
    ++view->version_;
    view->quarantines_ = {Quarantine{5, {"bad"}, 3, 0}};
    ViewChanged changed;
    changed.view_ = view;
    changed.leader_ = "c1";
    return changed;
}

// Their first tokens tell whether the part is sound.
BOOST_AUTO_TEST_CASE(quarantine_stops_no_run_that_an_engine_has)
{
    DirectFixture fixture;
    fixture.parts_ = {PromptPart{"bad", 10}};
    fixture.call("stream");
    fixture.grant("engine-1");
    BOOST_TEST(effectsOf<StopRun>(fixture.handle(quarantineView(fixture))).empty());
    BOOST_TEST(fixture.state_.requests_.size() == 1u);
}

BOOST_DATA_TEST_CASE(quarantined_request_runs_only_as_a_trial, data::make({false, true}), trial)
{
    DirectFixture fixture;
    fixture.handle(quarantineView(fixture));
    fixture.parts_ = {PromptPart{"bad", 10}};
    fixture.call("stream");
    const DirectRequest &request = fixture.state_.requests_.at(1);
    PlanGrant grant{request.call_.id_, request.planRound_, "engine-1", 0, {"handle"}};
    grant.trial_ = trial;
    const auto effects = fixture.handle(PeerMessage{request.scheduler_, grant});
    BOOST_TEST(effectsOf<StartRun>(effects).size() == (trial ? 1u : 0u));
    const auto refusals = effectsOf<RefuseCall>(effects);
    BOOST_REQUIRE(refusals.size() == (trial ? 0u : 1u));
    if (!trial)
        BOOST_TEST(refusals[0].status_ == 503u);
}

BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_its_run_and_its_plan)
{
    DirectFixture fixture;
    fixture.call("stream");
    fixture.grant("engine-1");
    const auto effects = fixture.handle(CallerGone{1});
    BOOST_TEST(effectsOf<StopRun>(effects).size() == 1u);
    BOOST_REQUIRE(effectsOf<SendToPeer>(effects).size() == 1u);
    BOOST_TEST(std::holds_alternative<PlanEnd>(effectsOf<SendToPeer>(effects)[0].message_));
}

BOOST_AUTO_TEST_CASE(run_whose_caller_is_gone_is_neither_retried_nor_answered)
{
    DirectFixture fixture;
    fixture.beginStream("resumable");
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::CallerGone, 200, "4", ""});
    BOOST_TEST(effectsOf<AbortCall>(effects).empty());
    BOOST_REQUIRE(effectsOf<SendToPeer>(effects).size() == 1u);
    BOOST_TEST(std::holds_alternative<PlanEnd>(effectsOf<SendToPeer>(effects)[0].message_));
    BOOST_REQUIRE(effectsOf<DirectEnded>(effects).size() == 1u);
    BOOST_TEST(effectsOf<DirectEnded>(effects)[0].outcome_ == "caller_gone");
    BOOST_TEST(fixture.state_.upstreamStats_.at("engine-1").failureRate_ == 0.0);
}

struct StopRow
{
    const char *route_;
    milliseconds callerTimeout_;
    milliseconds servedIn_; ///< service time of an earlier request; 0: there was none
    milliseconds sinceStop_;
    milliseconds untilExit_;
    bool accepted_;
};

std::ostream &operator<<(std::ostream &stream, const StopRow &row)
{
    return stream << row.route_ << " timeout " << row.callerTimeout_.count() << " ms, served in "
                  << row.servedIn_.count() << " ms, stopped " << row.sinceStop_.count()
                  << " ms ago, exit in " << row.untilExit_.count() << " ms";
}

// Routes time out after 2 s. After one measurement the deviation is half of the mean, so that two
// times the measured time is required. Once the load balancer has noticed the stop, only the
// deadline counts.
const StopRow stopTable[] = {
    {"unsafe", milliseconds(1500), milliseconds(0), milliseconds(0), milliseconds(1600), true},
    {"unsafe", milliseconds(1500), milliseconds(0), milliseconds(0), milliseconds(1400), false},
    {"unsafe", milliseconds(1500), milliseconds(500), milliseconds(0), milliseconds(1100), true},
    {"unsafe", milliseconds(1500), milliseconds(500), milliseconds(0), milliseconds(900), false},
    {"unsafe", milliseconds(1500), milliseconds(10), milliseconds(2000), milliseconds(1600), true},
    {"unsafe", milliseconds(1500), milliseconds(10), milliseconds(2000), milliseconds(1400), false},
    {"stream", milliseconds(9000), milliseconds(0), milliseconds(0), milliseconds(2100), true},
    {"stream", milliseconds(9000), milliseconds(0), milliseconds(0), milliseconds(1900), false},
    {"stream", milliseconds(9000), milliseconds(900), milliseconds(0), milliseconds(1900), true},
    {"stream", milliseconds(9000), milliseconds(1000), milliseconds(0), milliseconds(1900), false},
    {"stream", milliseconds(9000), milliseconds(10), milliseconds(2000), milliseconds(2100), true},
    {"stream", milliseconds(9000), milliseconds(10), milliseconds(2000), milliseconds(1900), false},
};

// Serves one request of a route in a given time, so that its service time is known.
void serveOne(DirectFixture &fixture, const std::string &route, milliseconds time)
{
    constexpr std::uint64_t token = 99;
    const bool planned = route == "stream" || route == "resumable";
    fixture.call(route, token);
    if (planned)
        fixture.grant("engine-1", token);
    fixture.now_ += time;
    fixture.handle(RunEnded{token, 1, planned ? RunEnd::Delivered : RunEnd::Held, 200, "", ""});
}

// Returns the number of messages that release what a scheduler has planned.
std::size_t planEnds(const DirectEffects &effects)
{
    const auto sent = effectsOf<SendToPeer>(effects);
    return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [](const auto &item) {
        return std::holds_alternative<PlanEnd>(item.message_);
    }));
}

BOOST_DATA_TEST_CASE(request_that_cannot_end_before_the_exit_is_refused_at_arrival,
                     data::make(stopTable), row)
{
    DirectFixture fixture;
    if (row.servedIn_ > milliseconds(0))
        serveOne(fixture, row.route_, row.servedIn_);
    fixture.handle(DirectStop{fixture.now_ + row.sinceStop_ + row.untilExit_});
    fixture.now_ += row.sinceStop_;
    const auto effects = fixture.call(row.route_, 2, row.callerTimeout_);
    BOOST_TEST(fixture.state_.requests_.contains(2) == row.accepted_);
    const auto refusals = effectsOf<RefuseCall>(effects);
    BOOST_TEST(refusals.size() == (row.accepted_ ? 0u : 1u));
    for (const RefuseCall &refusal : refusals) {
        BOOST_TEST(refusal.status_ == 503u);
        BOOST_TEST((refusal.retryAfter_ > nanoseconds(0)));
    }
}

BOOST_AUTO_TEST_CASE(planned_request_that_cannot_end_before_the_exit_gets_no_run)
{
    DirectFixture fixture;
    serveOne(fixture, "stream", milliseconds(300));
    fixture.call("stream", 2, seconds(9));
    fixture.handle(DirectStop{fixture.now_ + milliseconds(1000)});
    BOOST_REQUIRE(fixture.state_.requests_.contains(2));
    const DirectRequest request = fixture.state_.requests_.at(2);
    fixture.now_ += milliseconds(450);
    const auto effects = fixture.handle(PeerMessage{
        "c1", PlanGrant{request.call_.id_, request.planRound_, "engine-2", 0, {"handle"}}});
    BOOST_TEST(effectsOf<StartRun>(effects).empty());
    BOOST_REQUIRE(effectsOf<RefuseCall>(effects).size() == 1u);
    BOOST_TEST(effectsOf<RefuseCall>(effects)[0].status_ == 503u);
    BOOST_TEST(planEnds(effects) == 1u);
}

// A request waits for a grant that doesn't come; nothing else happens at the entry.
BOOST_AUTO_TEST_CASE(request_in_planning_is_refused_once_its_run_cannot_end_before_the_exit)
{
    DirectFixture fixture;
    serveOne(fixture, "stream", milliseconds(300));
    fixture.call("stream", 2, seconds(9));
    fixture.handle(DirectStop{fixture.now_ + milliseconds(1000)});
    DirectEffects effects;
    while (fixture.state_.requests_.contains(2)) {
        BOOST_REQUIRE((nextWake(fixture.state_) > fixture.now_));
        fixture.now_ = nextWake(fixture.state_);
        effects = fixture.handle(Wake{});
    }
    BOOST_TEST((fixture.now_ < fixture.state_.exitAt_ - milliseconds(500)));
    BOOST_REQUIRE(effectsOf<RefuseCall>(effects).size() == 1u);
    BOOST_TEST(effectsOf<RefuseCall>(effects)[0].status_ == 503u);
    BOOST_TEST(planEnds(effects) == 1u);
}

struct RetryAtExitRow
{
    const char *route_;
    RunEnd end_; ///< how the first run ends, 100 ms before the exit
    bool responseStarted_;
    unsigned refusalStatus_; ///< 0: the response is aborted
};

std::ostream &operator<<(std::ostream &stream, const RetryAtExitRow &row)
{
    return stream << row.route_ << " end " << static_cast<int>(row.end_);
}

const RetryAtExitRow retryAtExitTable[] = {
    {"unsafe", RunEnd::NotSent, false, 503},   {"unsafe", RunEnd::NotExecuted, false, 503},
    {"safe", RunEnd::Failed, false, 502},      {"stream", RunEnd::NotExecuted, false, 503},
    {"resumable", RunEnd::Failed, false, 502}, {"resumable", RunEnd::Broken, true, 0},
};

BOOST_DATA_TEST_CASE(request_is_not_retried_if_the_retry_cannot_end_before_the_exit,
                     data::make(retryAtExitTable), row)
{
    DirectFixture fixture;
    fixture.call(row.route_, 1, seconds(9));
    if (effectsOf<StartRun>(fixture.allEffects_).empty())
        fixture.grant("engine-1");
    if (row.responseStarted_)
        fixture.handle(RunStarted{1, 1});
    fixture.handle(DirectStop{fixture.now_ + milliseconds(100)});
    const auto effects = fixture.handle(RunEnded{1, 1, row.end_, 0, "4", ""});
    BOOST_TEST(effectsOf<StartRun>(effects).empty());
    BOOST_TEST(fixture.state_.requests_.empty());
    BOOST_TEST(effectsOf<AbortCall>(effects).size() == (row.refusalStatus_ == 0 ? 1u : 0u));
    const auto refusals = effectsOf<RefuseCall>(effects);
    BOOST_TEST((refusals.empty() ? 0u : refusals[0].status_) == row.refusalStatus_);
}

BOOST_AUTO_TEST_CASE(failure_of_an_upstream_is_delivered_if_no_retry_can_end_before_the_exit)
{
    DirectFixture fixture;
    fixture.call("safe", 1, seconds(9));
    fixture.handle(DirectStop{fixture.now_ + milliseconds(100)});
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Held, 500, "", ""});
    BOOST_TEST(effectsOf<DeliverHeld>(effects).size() == 1u);
    BOOST_TEST(effectsOf<RefuseCall>(effects).empty());
}

struct MovedAtExitRow
{
    bool stoppedFirst_; ///< the stop comes before the silence that moves the stream, not after it
    milliseconds untilExit_; ///< from the moved stream's grant
    bool resumed_;
};

std::ostream &operator<<(std::ostream &stream, const MovedAtExitRow &row)
{
    return stream << (row.stoppedFirst_ ? "moved during" : "moved before") << " the stop, granted "
                  << row.untilExit_.count() << " ms before the exit";
}

// A whole run needs 800 ms here, the rest of a stream may need less.
const MovedAtExitRow movedAtExitTable[] = {
    {false, milliseconds(900), true}, {false, milliseconds(700), true},
    {false, milliseconds(500), true}, {false, milliseconds(450), false},
    {true, milliseconds(700), true},  {true, milliseconds(500), true},
    {true, milliseconds(450), false},
};

BOOST_DATA_TEST_CASE(moved_stream_is_not_cut_while_its_rest_can_be_sent_before_the_exit,
                     data::make(movedAtExitTable), row)
{
    DirectFixture fixture;
    serveOne(fixture, "resumable", milliseconds(400));
    fixture.beginStream("resumable");
    const Instant exitAt = fixture.now_ + milliseconds(1000);
    if (row.stoppedFirst_)
        fixture.handle(DirectStop{exitAt});
    const auto moved = fixture.handle(RunSilent{1, 1, "4"});
    BOOST_REQUIRE(effectsOf<StopRun>(moved).size() == 1u);
    if (!row.stoppedFirst_)
        fixture.handle(DirectStop{exitAt});
    const DirectRequest request = fixture.state_.requests_.at(1);
    fixture.now_ = exitAt - row.untilExit_;
    fixture.handle(Wake{});
    BOOST_TEST(effectsOf<AbortCall>(fixture.allEffects_).size() == (row.resumed_ ? 0u : 1u));
    const auto runs = effectsOf<StartRun>(fixture.handle(PeerMessage{
        "c1", PlanGrant{request.call_.id_, request.planRound_, "engine-2", 0, {"handle"}}}));
    BOOST_REQUIRE(runs.size() == (row.resumed_ ? 1u : 0u));
    if (row.resumed_)
        BOOST_TEST(runs[0].lastEventId_ == "4");
}

BOOST_DATA_TEST_CASE(broken_stream_is_not_cut_while_its_rest_can_be_sent_before_the_exit,
                     data::make({900, 700, 500, 450}), untilExit)
{
    DirectFixture fixture;
    serveOne(fixture, "resumable", milliseconds(400));
    fixture.beginStream("resumable");
    fixture.handle(DirectStop{fixture.now_ + milliseconds(untilExit)});
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Broken, 200, "4", ""});
    const bool resumed = untilExit >= 500;
    BOOST_TEST(effectsOf<AbortCall>(effects).size() == (resumed ? 0u : 1u));
    BOOST_REQUIRE(fixture.state_.requests_.contains(1) == resumed);
    if (!resumed)
        return;
    const auto runs = effectsOf<StartRun>(fixture.grant("engine-2"));
    BOOST_REQUIRE(runs.size() == 1u);
    BOOST_TEST(runs[0].lastEventId_ == "4");
}

BOOST_AUTO_TEST_CASE(exit_answers_all_unfinished_requests)
{
    DirectFixture fixture;
    fixture.call("unsafe", 1);
    fixture.call("stream", 2);
    fixture.grant("engine-1", 2);
    fixture.handle(RunStarted{2, 1});
    fixture.handle(DirectStop{fixture.now_ + milliseconds(1000)});
    BOOST_TEST((nextWake(fixture.state_) <= fixture.now_ + milliseconds(1000)));
    fixture.now_ += milliseconds(1000);
    const auto effects = fixture.handle(Wake{});
    BOOST_TEST(fixture.state_.requests_.empty());
    BOOST_TEST(effectsOf<StopRun>(effects).size() == 2u);
    BOOST_REQUIRE(effectsOf<RefuseCall>(effects).size() == 1u);
    BOOST_TEST(effectsOf<RefuseCall>(effects)[0].status_ == 502u); // it may have been executed
    BOOST_REQUIRE(effectsOf<AbortCall>(effects).size() == 1u);
    BOOST_TEST(effectsOf<AbortCall>(effects)[0].token_ == 2u);
    BOOST_TEST((nextWake(fixture.state_) == Instant::max()));
}

BOOST_AUTO_TEST_CASE(response_that_is_complete_at_the_exit_is_delivered)
{
    DirectFixture fixture;
    fixture.call("unsafe", 1);
    fixture.handle(DirectStop{fixture.now_ + milliseconds(1000)});
    fixture.now_ += milliseconds(1010);
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Held, 200, "", ""});
    BOOST_TEST(effectsOf<DeliverHeld>(effects).size() == 1u);
    BOOST_TEST(effectsOf<RefuseCall>(effects).empty());
}

BOOST_AUTO_TEST_CASE(requests_that_the_exit_interrupts_are_logged_with_their_times)
{
    DirectFixture fixture;
    fixture.call("stream");
    const auto stop =
        effectsOf<DecisionLine>(fixture.handle(DirectStop{fixture.now_ + milliseconds(7600)}));
    BOOST_REQUIRE(stop.size() == 1u);
    BOOST_TEST(stop[0].text_ == "decision=stop unfinished=1 until_exit_ms=7600");
    fixture.now_ += milliseconds(1000);
    const auto lines = describeUnfinished(fixture.state_, fixture.now_);
    BOOST_REQUIRE(lines.size() == 1u);
    BOOST_TEST(lines[0].text_
               == "decision=unfinished request=id1 phase=planning upstream= response_started=false"
                  " age_ms=1000 until_end_ms=500 until_exit_ms=6600");
}

BOOST_AUTO_TEST_CASE(requests_of_a_lost_scheduler_are_replanned_at_another_one)
{
    DirectFixture fixture;
    fixture.call("stream");
    const auto effects = fixture.handle(PeerLost{"c1"});
    const auto sent = effectsOf<SendToPeer>(effects);
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST(sent[0].peer_ == "c2");
    BOOST_TEST(std::holds_alternative<PlanRequest>(sent[0].message_));
    // A late grant of the lost scheduler starts no run.
    BOOST_TEST(effectsOf<StartRun>(
                   fixture.handle(PeerMessage{"c1", PlanGrant{"id1", 1, "engine-1", 0, {}}}))
                   .empty());
}

// Two schedulers would each allocate the entire time and storage of the stage upstreams.
BOOST_AUTO_TEST_CASE(requests_move_to_a_new_leader_with_existing_results)
{
    DirectFixture fixture;
    fixture.call("stream");
    fixture.handle(PeerMessage{
        "c1", PlanProgress{"id1", 1, {PieceResult{0, 2, "stage-1", "stage-1/a", nanoseconds(0)}}}});
    fixture.now_ += milliseconds(40);
    ViewChanged view;
    view.view_ = testView();
    view.leader_ = "c2";
    view.controlNames_ = {"c1", "c2"};
    const auto sent = effectsOf<SendToPeer>(fixture.handle(view));
    BOOST_REQUIRE(sent.size() == 2u);
    BOOST_TEST(sent[0].peer_ == "c1");
    BOOST_TEST(std::get<PlanEnd>(sent[0].message_).moved_);
    BOOST_TEST(sent[1].peer_ == "c2");
    const auto &request = std::get<PlanRequest>(sent[1].message_);
    BOOST_REQUIRE(request.results_.size() == 1u);
    BOOST_TEST(request.results_[0].piece_ == 2u);
    BOOST_TEST(request.results_[0].handle_ == "stage-1/a");
    BOOST_TEST((request.results_[0].age_ == milliseconds(40)));
    BOOST_TEST(!request.remake_);
}

// Guards against a scheduler that keeps the engine of a request taken until its deadline, because
// the request was planned again when no other scheduler was known.
BOOST_AUTO_TEST_CASE(previous_scheduler_is_told_when_no_other_one_is_known)
{
    DirectFixture fixture;
    fixture.call("stream");
    fixture.grant("engine-1"); // by c1
    ViewChanged view;
    view.view_ = testView();
    view.share_ = wholeShare;
    view.shareExpires_ = fixture.now_ + seconds(1000);
    view.leader_ = "c2";
    view.controlNames_ = {"c2"};
    fixture.handle(view);
    fixture.handle(PeerLost{"c2"});
    const auto sent =
        effectsOf<SendToPeer>(fixture.handle(RunEnded{1, 1, RunEnd::NotExecuted, 503, "", ""}));
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST(sent[0].peer_ == "c1");
    BOOST_REQUIRE(std::holds_alternative<PlanEnd>(sent[0].message_));
    BOOST_TEST(std::get<PlanEnd>(sent[0].message_).moved_);
}

// Entries that lose the leader at different times and know the others in different orders still
// choose the same scheduler, and don't return to the lost one before it is reported as leader
// again.
BOOST_AUTO_TEST_CASE(entries_without_a_leader_choose_the_same_scheduler)
{
    std::set<std::string> chosen;
    for (const auto &names :
         {std::vector<std::string>{"c1", "c3", "c2"}, std::vector<std::string>{"c3", "c2", "c1"}}) {
        DirectFixture fixture;
        ViewChanged view;
        view.view_ = testView();
        view.leader_ = "c1";
        view.controlNames_ = names;
        fixture.handle(view);
        fixture.handle(PeerLost{"c1"});
        fixture.handle(view); // the control thread still reports the lost leader
        for (const std::uint64_t token : {1, 2}) {
            for (const SendToPeer &sent : effectsOf<SendToPeer>(fixture.call("stream", token)))
                chosen.insert(sent.peer_);
            fixture.now_ += seconds(2);
        }
        fixture.handle(view); // the old leader is reported again
        for (const SendToPeer &sent : effectsOf<SendToPeer>(fixture.call("stream", 3)))
            BOOST_TEST(sent.peer_ == "c1");
    }
    BOOST_TEST((chosen == std::set<std::string>{"c2"}));
}

// Under random run ends, scheduler losses and caller disconnects, an unsafe request is never
// executed twice, 503 is sent only if nothing ran, and each request ends exactly once.
BOOST_DATA_TEST_CASE(guarantees_hold_in_random_sessions, data::xrange(1, 201), seed)
{
    DirectFixture fixture(static_cast<std::uint64_t>(seed), 3);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const char *routes[] = {"safe", "unsafe", "stream", "resumable"};
    const RunEnd ends[] = {RunEnd::Delivered,   RunEnd::Held,       RunEnd::NotSent,
                           RunEnd::NotExecuted, RunEnd::InputsGone, RunEnd::Failed,
                           RunEnd::Broken,      RunEnd::TimedOut,   RunEnd::CallerGone};
    std::map<std::uint64_t, std::string> routeNames;
    std::map<std::uint64_t, int> possibleExecutions;
    std::map<std::uint64_t, int> endCounts;
    std::set<std::uint64_t> begun; // requests whose response has begun
    // Number of the run whose answer is held, by request.
    std::map<std::uint64_t, std::uint32_t> heldAnswers;
    std::uint64_t nextToken = 1;
    std::size_t seen = 0;
    const auto observe = [&] {
        for (; seen < fixture.allEffects_.size(); ++seen) {
            const DirectEffect &effect = fixture.allEffects_[seen];
            if (const auto *run = std::get_if<StartRun>(&effect)) {
                const std::string &name = routeNames.at(run->token_);
                const bool atMostOnce = name == "unsafe" || name == "stream";
                BOOST_TEST((!atMostOnce || possibleExecutions[run->token_] == 0), name);
                BOOST_TEST(endCounts[run->token_] == 0);
                ++possibleExecutions[run->token_]; // reverted if the run was not executed
            } else if (const auto *refusal = std::get_if<RefuseCall>(&effect)) {
                if (refusal->status_ == 503)
                    BOOST_TEST(possibleExecutions[refusal->token_] == 0);
                BOOST_TEST(!begun.contains(refusal->token_));
            } else if (const auto *abort = std::get_if<AbortCall>(&effect)) {
                BOOST_TEST(begun.contains(abort->token_));
            } else if (const auto *delivery = std::get_if<DeliverHeld>(&effect)) {
                BOOST_TEST(!begun.contains(delivery->token_));
                BOOST_TEST(heldAnswers[delivery->token_] == delivery->attempt_);
                heldAnswers.erase(delivery->token_);
            } else if (const auto *stop = std::get_if<StopRun>(&effect)) {
                heldAnswers.erase(stop->token_);
            } else if (const auto *end = std::get_if<DirectEnded>(&effect)) {
                BOOST_TEST(++endCounts[end->token_] == 1);
                BOOST_TEST(end->outcome_.find_first_not_of("abcdefghijklmnopqrstuvwxyz_")
                               == std::string::npos,
                           end->outcome_);
            }
        }
    };
    for (int step = 0; step < 400; ++step) {
        const auto draw = random() % 10;
        if (draw < 3 || fixture.state_.requests_.empty()) {
            routeNames[nextToken] = routes[random() % 4];
            fixture.call(routeNames[nextToken], nextToken);
            ++nextToken;
        } else {
            auto item = fixture.state_.requests_.begin();
            std::advance(item, static_cast<long>(random() % fixture.state_.requests_.size()));
            const std::uint64_t token = item->first;
            const DirectRequest &request = item->second;
            if (draw == 3)
                fixture.handle(CallerGone{token});
            else if (draw == 4)
                fixture.handle(PeerLost{random() % 2 ? "c1" : "c2"});
            else if (request.phase_ == DirectPhase::Planning && !request.scheduler_.empty())
                fixture.grant("engine-" + std::to_string(1 + random() % 3), token);
            else if (request.phase_ == DirectPhase::Running) {
                if (routeNames[token] == "resumable" && random() % 3 == 0) {
                    begun.insert(token);
                    fixture.handle(RunStarted{token, request.attempt_});
                }
                if (begun.contains(token) && random() % 3 == 0)
                    fixture.handle(RunSilent{token, request.attempt_, "2"});
                if (request.phase_ != DirectPhase::Running)
                    continue; // the stream moves to another upstream
                const RunEnd end = ends[random() % std::size(ends)];
                if (end == RunEnd::Held)
                    heldAnswers[token] = request.attempt_;
                const bool mayHaveExecuted = end != RunEnd::NotSent && end != RunEnd::NotExecuted
                    && end != RunEnd::InputsGone;
                if (!mayHaveExecuted)
                    --possibleExecutions[token];
                fixture.handle(
                    RunEnded{token, request.attempt_, end, random() % 2 ? 200u : 500u, "3", ""});
            }
        }
        observe();
        fixture.now_ += milliseconds(random() % 40);
        fixture.handle(Wake{});
        observe();
    }
    fixture.now_ += seconds(5);
    fixture.handle(Wake{});
    observe();
    BOOST_TEST(fixture.state_.requests_.empty());
    BOOST_TEST(heldAnswers.empty());
    for (const auto &[token, name] : routeNames)
        BOOST_TEST(endCounts[token] == 1);
}

// For any arrival pattern, no span of the window's length holds more retries than allowed.
BOOST_DATA_TEST_CASE(retries_stay_within_the_limit_in_every_window, data::xrange(1, 21), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const RetryLimit limit{0.2, 5, seconds(10)};
    RetryWindow window;
    Instant now(seconds(500));
    std::vector<Instant> requests;
    std::vector<Instant> retries;
    for (int i = 0; i < 3000; ++i) {
        now += milliseconds(random() % 30);
        if (random() % 3) {
            countRequest(window, limit, now);
            requests.push_back(now);
        } else if (tryTakeRetry(window, limit, now)) {
            retries.push_back(now);
        }
    }
    const auto within = [](const std::vector<Instant> &times, Instant end, nanoseconds length) {
        return std::count_if(times.begin(), times.end(),
                             [&](Instant time) { return time <= end && time > end - length; });
    };
    for (const Instant end : retries) {
        // The limit follows from the requests of the window and of at most one slice before it. A
        // slice is a ninth of the window, 1111 ms.
        const auto allowed =
            0.2 * static_cast<double>(within(requests, end, seconds(10) + milliseconds(1200))) + 5;
        BOOST_TEST(static_cast<double>(within(retries, end, seconds(10))) <= allowed);
    }
    BOOST_TEST(!retries.empty());
}

BOOST_AUTO_TEST_CASE(entry_without_a_share_retries_only_in_proportion_to_its_requests)
{
    DirectFixture fixture;
    fixture.state_.shareExpires_ = Instant{};
    fixture.call("safe");
    const auto effects = fixture.handle(RunEnded{1, 1, RunEnd::Failed, 0, "", ""});
    BOOST_TEST(effectsOf<StartRun>(effects).empty());
}

// Earlier versions accepted any text as the address of an upstream, and their logs are still
// replayed.
BOOST_AUTO_TEST_CASE(upstream_without_an_ip_address_gets_no_requests)
{
    for (const char *address : {"host", "", "256.1.1.1", "10.0.0.1:80"}) {
        auto view = std::make_shared<View>(*testView());
        for (Upstream &upstream : view->upstreams_) {
            if (upstream.name_ != "plain-3")
                upstream.agentAddress_ = address;
        }
        const auto table = makeRouteTable(view);
        BOOST_TEST(table->availableUpstreams_.size() == 1u, address);
        BOOST_TEST(table->upstreamsByPool_.at("plain").size() == 1u, address);
        BOOST_TEST(table->upstreamsByPool_.at("engine").empty(), address);
    }
}

BOOST_AUTO_TEST_CASE(route_with_the_longest_prefix_is_chosen)
{
    auto view = std::make_shared<View>(*testView());
    RouteSpec deeper = view->fleet_.routes_[0];
    deeper.name_ = "deeper";
    deeper.pathPrefix_ = "/safe/deep/";
    view->fleet_.routes_.push_back(deeper);
    const auto table = makeRouteTable(view);
    BOOST_TEST(findRoute(*table, "host", "/safe/deep/x")->name_ == "deeper");
    BOOST_TEST(findRoute(*table, "host", "/safe/dee/x")->name_ == "safe");
}

BOOST_AUTO_TEST_CASE(pools_are_selected_in_proportion_to_their_weights)
{
    RouteSpec route;
    route.targets_ = {RouteTarget{"a", 90}, RouteTarget{"b", 10}, RouteTarget{"c", 0}};
    std::map<std::string, int> drawn;
    for (std::uint64_t i = 0; i < 1000; ++i)
        ++drawn[selectPool(route, i)];
    BOOST_TEST(drawn["a"] == 900);
    BOOST_TEST(drawn["b"] == 100);
    BOOST_TEST(drawn["c"] == 0);
}

BOOST_AUTO_TEST_CASE(failing_upstream_is_avoided_for_a_limited_time)
{
    const auto view = testView();
    const auto table = makeRouteTable(view);
    const auto &upstreams = table->upstreamsByPool_.at("plain");
    UpstreamTable stats;
    Instant now(seconds(10));
    recordRunStart(stats, "plain-1");
    recordRunEnd(stats, "plain-1", milliseconds(5), true, now);
    for (std::uint64_t randomValue = 0; randomValue < 9; ++randomValue)
        BOOST_TEST(chooseUpstream(upstreams, stats, {}, randomValue, now)->name_ != "plain-1");
    const std::vector<std::string> others = {"plain-2", "plain-3"};
    BOOST_TEST(chooseUpstream(upstreams, stats, others, 0, now + seconds(1))->name_ == "plain-1");
}

struct NoticeRow
{
    const char *route_;
    UpstreamNotice notice_;
};

std::ostream &operator<<(std::ostream &stream, const NoticeRow &row)
{
    return stream << row.route_ << (row.notice_.leaving_ ? " leaving" : " pause");
}

const NoticeRow noticeRows[] = {
    {"safe", {true, {}}},
    {"safe", {false, seconds(2)}},
    {"unsafe", {true, {}}},
    {"unsafe", {false, seconds(2)}},
};

Upstream listedUpstream(const DirectFixture &fixture, const std::string &name)
{
    return *fixture.state_.table_->availableUpstreams_.at(name);
}

// Guards against requests to an upstream that has said that it leaves or wants none for a while.
BOOST_DATA_TEST_CASE(upstream_with_a_notice_gets_no_requests, data::make(noticeRows), row)
{
    DirectFixture fixture;
    for (const char *name : {"plain-1", "plain-3"})
        fixture.handle(UpstreamNoticed{listedUpstream(fixture, name), row.notice_});
    for (std::uint64_t token = 1; token <= 40; ++token) {
        const auto runs = effectsOf<StartRun>(fixture.call(row.route_, token));
        BOOST_REQUIRE(runs.size() == 1u);
        BOOST_TEST(runs[0].upstream_.name_ == "plain-2");
    }
}

BOOST_AUTO_TEST_CASE(request_is_refused_until_the_first_pause_of_its_upstreams_ends)
{
    DirectFixture fixture;
    for (const char *name : {"plain-1", "plain-2", "plain-3"})
        fixture.handle(UpstreamNoticed{listedUpstream(fixture, name),
                                       {name == std::string("plain-1"), seconds(3)}});
    const auto refusals = effectsOf<RefuseCall>(fixture.call("unsafe"));
    BOOST_REQUIRE(refusals.size() == 1u);
    BOOST_TEST(refusals[0].status_ == 503u);
    BOOST_TEST((refusals[0].retryAfter_ == seconds(3)));
    fixture.now_ += seconds(3);
    BOOST_TEST(effectsOf<StartRun>(fixture.call("unsafe", 2)).size() == 1u);
}

// The other upstreams of the pool may have no room: the request must not go back and forth between
// the entry and its scheduler.
BOOST_DATA_TEST_CASE(engine_with_a_notice_is_replaced_once_and_then_refused,
                     data::make({true, false}), leaving)
{
    DirectFixture fixture;
    fixture.handle(UpstreamNoticed{listedUpstream(fixture, "engine-1"),
                                   {leaving, leaving ? seconds(0) : seconds(2)}});
    fixture.call("stream");
    const auto replanned = effectsOf<SendToPeer>(fixture.grant("engine-1"));
    BOOST_REQUIRE(replanned.size() == 1u);
    const auto &plan = std::get<PlanRequest>(replanned[0].message_);
    BOOST_TEST(plan.avoid_ == std::vector<std::string>{"engine-1"});
    const auto effects = fixture.grant("engine-1");
    BOOST_REQUIRE(effectsOf<RefuseCall>(effects).size() == 1u);
    BOOST_TEST(effectsOf<RefuseCall>(effects)[0].status_ == 503u);
    BOOST_TEST(effectsOf<StartRun>(fixture.allEffects_).empty());
    fixture.call("stream", 2);
    BOOST_TEST(effectsOf<StartRun>(fixture.grant("engine-2", 2)).size() == 1u);
}

// A new view, even one that lacks the upstream for a while, doesn't end a notice.
BOOST_AUTO_TEST_CASE(notice_outlives_views_without_the_upstream)
{
    DirectFixture fixture;
    fixture.handle(UpstreamNoticed{listedUpstream(fixture, "plain-1"), {true, {}}});
    for (const bool listed : {false, true}) {
        auto view = std::make_shared<View>(*testView());
        view->version_ = listed ? 9 : 8;
        std::erase_if(view->upstreams_, [&](const Upstream &item) {
            return item.name_ == "plain-2" || item.name_ == "plain-3"
                || (!listed && item.name_ == "plain-1");
        });
        ViewChanged change;
        change.view_ = view;
        change.leader_ = "c2";
        fixture.handle(change);
    }
    BOOST_TEST(effectsOf<StartRun>(fixture.call("safe")).empty());
}

// Passes an entry a view that lists a suspect.
void reportSuspect(DirectFixture &fixture, const Suspect &suspect)
{
    auto view = std::make_shared<View>(*testView());
    view->version_ = fixture.state_.table_->view_->version_ + 1;
    view->suspects_ = {suspect};
    ViewChanged change;
    change.view_ = view;
    change.share_ = wholeShare;
    change.shareExpires_ = fixture.now_ + seconds(1000);
    change.leader_ = "c1";
    fixture.handle(change);
}

struct CrashesRow
{
    const char *route_;
    bool planned_; ///< an engine is granted to the request after the crashes are known
    std::uint32_t crashes_;
    bool runs_;
};

std::ostream &operator<<(std::ostream &stream, const CrashesRow &row)
{
    return stream << row.route_ << " after " << row.crashes_ << " crashes";
}

const CrashesRow crashesRows[] = {
    {"stream", true, 2, true},
    {"stream", true, 3, false},
    {"safe", false, 2, true},
    {"safe", false, 3, false},
};

// Guards against a request that has crashed three upstreams being sent to more of them: by a grant
// that it waited for, or by a retry. Only requests that arrive later were refused.
BOOST_DATA_TEST_CASE(request_that_crashed_upstreams_meanwhile_is_not_sent_again,
                     data::make(crashesRows), row)
{
    DirectFixture fixture;
    fixture.call(row.route_);
    Suspect suspect;
    suspect.digest_ = fixture.state_.requests_.at(1).digest_;
    suspect.crashes_ = row.crashes_;
    reportSuspect(fixture, suspect);
    const auto effects = row.planned_
        ? fixture.grant("engine-1")
        : fixture.handle(RunEnded{1, 1, RunEnd::NotExecuted, 503, "", ""});
    BOOST_TEST(effectsOf<StartRun>(effects).size() == (row.runs_ ? 1u : 0u));
    const auto refusals = effectsOf<RefuseCall>(effects);
    BOOST_REQUIRE(refusals.size() == (row.runs_ ? 0u : 1u));
    for (const RefuseCall &refusal : refusals)
        BOOST_TEST(refusal.status_ == 503u);
}

// Tells an entry that a request is refused, and how far its trial is.
void reportTrial(DirectFixture &fixture, std::uint64_t digest, TrialPhase phase,
                 const std::string &entry, const std::string &upstream, std::uint32_t crashes = 3)
{
    Suspect suspect;
    suspect.digest_ = digest;
    suspect.crashes_ = crashes;
    suspect.trialPhase_ = phase;
    suspect.trialEntry_ = entry;
    suspect.trialUpstream_ = upstream;
    reportSuspect(fixture, suspect);
}

// Returns the digest of the requests of a route.
std::uint64_t digestOf(const std::string &route)
{
    DirectFixture fixture;
    fixture.call(route);
    return fixture.state_.requests_.at(1).digest_;
}

// Returns the changes of trials that an entry asks for.
std::vector<ChangeTrial> trialChanges(const DirectEffects &effects)
{
    std::vector<ChangeTrial> changes;
    for (const SubmitProposal &proposal : effectsOf<SubmitProposal>(effects)) {
        if (const auto *change = std::get_if<ChangeTrial>(&proposal.command_))
            changes.push_back(*change);
    }
    return changes;
}

// Sends a request whose trial is offered, and lets the entry have it.
void beginTrial(DirectFixture &fixture, const std::string &route)
{
    const std::uint64_t digest = digestOf(route);
    reportTrial(fixture, digest, TrialPhase::Offered, {}, {});
    const auto changes = trialChanges(fixture.call(route));
    BOOST_REQUIRE(changes.size() == 1u);
    BOOST_TEST(changes[0].entry_ == "e1");
    BOOST_TEST((changes[0].phase_ == TrialPhase::Running));
    reportTrial(fixture, digest, TrialPhase::Running, "e1", changes[0].upstream_);
    fixture.now_ += milliseconds(200);
    fixture.handle(Wake{});
}

struct TrialAnswerRow
{
    const char *description_;
    std::uint32_t crashes_; ///< in the next view; below 3: the request is no longer refused
    TrialPhase phase_; ///< in the next view
    const char *entry_;
    milliseconds wait_; ///< after that view
    int runs_;
    int refusals_;
};

std::ostream &operator<<(std::ostream &stream, const TrialAnswerRow &row)
{
    return stream << row.description_;
}

const TrialAnswerRow trialAnswerTable[] = {
    {"granted, other runs end first", 3, TrialPhase::Running, "e1", milliseconds(150), 0, 0},
    {"granted", 3, TrialPhase::Running, "e1", milliseconds(200), 1, 0},
    {"granted to another entry", 3, TrialPhase::Running, "e2", milliseconds(0), 0, 1},
    {"another crash was reported", 3, TrialPhase::None, "", milliseconds(0), 0, 1},
    {"no answer yet", 3, TrialPhase::Offered, "", milliseconds(700), 0, 0},
    {"no answer", 3, TrialPhase::Offered, "", milliseconds(750), 0, 1},
    {"no longer refused", 0, TrialPhase::None, "", milliseconds(0), 1, 0},
};

// Guards against a request that runs as a trial without the right to, or waits for it for ever.
BOOST_DATA_TEST_CASE(request_waits_for_the_right_to_a_trial, data::make(trialAnswerTable), row)
{
    DirectFixture fixture;
    const std::uint64_t digest = digestOf("unsafe");
    reportTrial(fixture, digest, TrialPhase::Offered, {}, {});
    fixture.call("unsafe", 1);
    BOOST_TEST(effectsOf<RefuseCall>(fixture.call("unsafe", 2)).size() == 1u); // one at a time
    fixture.allEffects_.clear();
    reportTrial(fixture, digest, row.phase_, row.entry_, "plain-1", row.crashes_);
    fixture.now_ += row.wait_;
    if (nextWake(fixture.state_) <= fixture.now_)
        fixture.handle(Wake{});
    const auto runs = effectsOf<StartRun>(fixture.allEffects_);
    BOOST_REQUIRE(runs.size() == static_cast<std::size_t>(row.runs_));
    for (const StartRun &run : runs)
        BOOST_TEST((row.crashes_ == 0 || run.upstream_.name_ == "plain-1"));
    const auto refusals = effectsOf<RefuseCall>(fixture.allEffects_);
    BOOST_REQUIRE(refusals.size() == static_cast<std::size_t>(row.refusals_));
    for (const RefuseCall &refusal : refusals)
        BOOST_TEST(refusal.status_ == 503u);
}

struct TrialEndRow
{
    const char *description_;
    RunEnd end_;
    unsigned status_;
    bool repeated_; ///< sent to another upstream
    bool cleared_; ///< the request is no longer suspected
};

std::ostream &operator<<(std::ostream &stream, const TrialEndRow &row)
{
    return stream << row.description_;
}

const TrialEndRow trialEndTable[] = {
    {"sound", RunEnd::Held, 200, false, true},
    {"server error", RunEnd::Held, 500, false, false},
    {"reset", RunEnd::Failed, 0, false, false},
    {"not executed", RunEnd::NotExecuted, 503, false, false},
    {"not sent", RunEnd::NotSent, 0, true, false},
};

// Guards against a trial that reaches several upstreams, although requests of its route may run
// more than once.
BOOST_DATA_TEST_CASE(trial_is_sent_to_a_single_upstream, data::make(trialEndTable), row)
{
    DirectFixture fixture;
    beginTrial(fixture, "safe");
    BOOST_REQUIRE(effectsOf<StartRun>(fixture.allEffects_).size() == 1u);
    const auto effects = fixture.handle(RunEnded{1, 1, row.end_, row.status_, "", ""});
    BOOST_TEST(effectsOf<StartRun>(effects).size() == (row.repeated_ ? 1u : 0u));
    const auto proposals = effectsOf<SubmitProposal>(effects);
    BOOST_TEST(row.cleared_
               == std::any_of(proposals.begin(), proposals.end(), [](const SubmitProposal &item) {
                      return std::holds_alternative<ClearSuspect>(item.command_);
                  }));
    const auto changes = trialChanges(effects);
    BOOST_REQUIRE(changes.size() == (row.repeated_ ? 0u : 1u));
    for (const ChangeTrial &change : changes)
        BOOST_TEST((change.phase_ == TrialPhase::None));
}

// Guards against a trial on a planned route that is refused at the grant.
BOOST_AUTO_TEST_CASE(trial_of_a_planned_request_is_planned_first)
{
    DirectFixture fixture;
    beginTrial(fixture, "stream");
    BOOST_TEST(effectsOf<StartRun>(fixture.allEffects_).empty());
    BOOST_TEST(effectsOf<StartRun>(fixture.grant("engine-1")).size() == 1u);
}

// Guards against other requests that are lost by the crash that a trial may cause, also if the
// other upstreams have just failed.
BOOST_DATA_TEST_CASE(upstream_of_a_trial_gets_nothing_else, data::make({false, true}), othersFailed)
{
    DirectFixture fixture;
    for (const char *name : {"plain-2", "plain-3"}) {
        if (othersFailed)
            recordRunEnd(fixture.state_.upstreamStats_, name, milliseconds(5), true, fixture.now_);
    }
    reportTrial(fixture, digestOf("unsafe"), TrialPhase::Running, "e2", "plain-1");
    std::set<std::string> used;
    for (std::uint64_t token = 1; token <= 30; ++token) {
        for (const StartRun &run : effectsOf<StartRun>(fixture.call("safe", token)))
            used.insert(run.upstream_.name_);
    }
    BOOST_TEST((used == std::set<std::string>{"plain-2", "plain-3"}));
}

// Guards against an entry that takes a trial and ends before it has run.
BOOST_AUTO_TEST_CASE(stopping_entry_takes_no_trial)
{
    DirectFixture fixture;
    reportTrial(fixture, digestOf("unsafe"), TrialPhase::Offered, {}, {});
    fixture.handle(DirectStop{fixture.now_ + seconds(10)});
    const auto effects = fixture.call("unsafe");
    BOOST_TEST(trialChanges(effects).empty());
    BOOST_TEST(effectsOf<RefuseCall>(effects).size() == 1u);
}

} // namespace
