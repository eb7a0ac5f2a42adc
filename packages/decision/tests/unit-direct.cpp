// Covers detail/direct/*.hpp: what may run again, what callers are told, budgets, routes.
#include "chervilspring/detail/direct/direct.hpp"
#include "chervilspring/digest.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

ViewPointer testView(std::uint32_t maxAttempts = 2)
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
        route.timeout_ = milliseconds(2000);
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
            upstream.labels_ = {Label{"service", pool}};
            view->upstreams_.push_back(upstream);
        }
    }
    std::sort(view->upstreams_.begin(), view->upstreams_.end(),
              [](const Upstream &a, const Upstream &b) { return a.name_ < b.name_; });
    return view;
}

class Bench
{
public:
    explicit Bench(std::uint64_t seed = 1, std::uint32_t maxAttempts = 2)
    {
        DirectSettings settings;
        settings.name_ = "e1";
        settings.retrySlack_ = 1000;
        settings.seed_ = seed;
        state_ = makeDirect(settings);
        ViewChanged view;
        view.view_ = testView(maxAttempts);
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
        all_.insert(all_.end(), effects.begin(), effects.end());
        return effects;
    }

    DirectEffects call(const std::string &route, std::uint64_t token = 1,
                       milliseconds patience = milliseconds(1500))
    {
        DirectCall call;
        call.token_ = token;
        call.id_ = "id" + std::to_string(token);
        call.host_ = "host";
        call.path_ = "/" + route + "/x";
        call.credential_ = "key";
        call.patience_ = patience;
        return handle(call);
    }

    /// The newest request to the scheduler is granted.
    DirectEffects grant(const std::string &upstream, std::uint64_t token = 1)
    {
        const DirectRequest &request = state_.requests_.at(token);
        return handle(
            PeerMessage{request.scheduler_,
                        PlanGrant{request.call_.id_, request.round_, upstream, 0, {"handle"}}});
    }

    DirectState state_;
    Instant now_ = Instant(seconds(1000));
    DirectEffects all_;
};

template<typename T> std::vector<T> only(const DirectEffects &effects)
{
    std::vector<T> found;
    for (const DirectEffect &effect : effects) {
        if (const auto *item = std::get_if<T>(&effect))
            found.push_back(*item);
    }
    return found;
}

struct RepeatRow
{
    const char *route_;
    RunEnd end_;
    unsigned status_; ///< of the upstream
    bool again_; ///< another run or another plan follows
    unsigned told_; ///< to the caller, 0: nothing yet or the upstream's answer
};

std::ostream &operator<<(std::ostream &stream, const RepeatRow &row)
{
    return stream << row.route_ << " end " << static_cast<int>(row.end_) << " status "
                  << row.status_;
}

// What may run again, and what the caller is told if it may not. 503 promises that nothing ran.
const RepeatRow repeatTable[] = {
    {"safe", RunEnd::Failed, 0, true, 0},         {"safe", RunEnd::NotExecuted, 503, true, 0},
    {"safe", RunEnd::NotSent, 0, true, 0},        {"safe", RunEnd::Held, 500, true, 0},
    {"safe", RunEnd::Held, 200, false, 0},        {"unsafe", RunEnd::Failed, 0, false, 502},
    {"unsafe", RunEnd::TimedOut, 0, false, 502},  {"unsafe", RunEnd::NotExecuted, 503, true, 0},
    {"unsafe", RunEnd::NotSent, 0, true, 0},      {"unsafe", RunEnd::Held, 500, false, 0},
    {"stream", RunEnd::Failed, 0, false, 502},    {"stream", RunEnd::NotExecuted, 503, true, 0},
    {"stream", RunEnd::InputsGone, 409, true, 0}, {"resumable", RunEnd::Failed, 0, true, 0},
    {"resumable", RunEnd::Broken, 200, true, 0},
};

BOOST_DATA_TEST_CASE(end_of_a_run_decides_what_follows, data::make(repeatTable), row)
{
    Bench bench;
    bench.call(row.route_);
    if (only<StartRun>(bench.all_).empty())
        bench.grant("engine-1");
    const auto first = only<StartRun>(bench.all_);
    BOOST_REQUIRE(first.size() == 1u);
    if (row.end_ == RunEnd::Broken)
        bench.handle(RunStarted{1, 1});
    const DirectEffects effects = bench.handle(RunEnded{1, 1, row.end_, row.status_, "4", ""});
    bool again = !only<StartRun>(effects).empty();
    for (const SendToPeer &sent : only<SendToPeer>(effects))
        again = again || std::holds_alternative<PlanRequest>(sent.message_);
    BOOST_TEST(again == row.again_);
    const auto refusals = only<RefuseCall>(effects);
    BOOST_TEST((refusals.empty() ? 0u : refusals[0].status_) == row.told_);
    for (const StartRun &run : only<StartRun>(effects))
        BOOST_TEST(run.upstream_.name_ != first[0].upstream_.name_);
}

BOOST_AUTO_TEST_CASE(broken_stream_that_may_not_go_on_is_cut_not_completed)
{
    Bench bench;
    bench.call("stream");
    bench.grant("engine-1");
    bench.handle(RunStarted{1, 1});
    const auto effects = bench.handle(RunEnded{1, 1, RunEnd::Broken, 200, "4", ""});
    BOOST_TEST(only<AbortCall>(effects).size() == 1u);
    BOOST_TEST(only<RefuseCall>(effects).empty());
}

BOOST_AUTO_TEST_CASE(resumed_stream_goes_on_after_the_last_event_of_the_caller)
{
    Bench bench;
    bench.call("resumable");
    bench.grant("engine-1");
    bench.handle(RunStarted{1, 1});
    bench.handle(RunEnded{1, 1, RunEnd::Broken, 200, "17", ""});
    const auto effects = bench.grant("engine-2");
    BOOST_REQUIRE(only<StartRun>(effects).size() == 1u);
    BOOST_TEST(only<StartRun>(effects)[0].lastEventId_ == "17");
    // A grant that comes twice starts nothing more.
    const DirectRequest &request = bench.state_.requests_.at(1);
    const auto twice = bench.handle(
        PeerMessage{"c1", PlanGrant{request.call_.id_, request.round_, "engine-3", 0, {}}});
    BOOST_TEST(only<StartRun>(twice).empty());
}

struct RefusalRow
{
    const char *host_;
    const char *path_;
    const char *key_;
    unsigned status_;
};

std::ostream &operator<<(std::ostream &stream, const RefusalRow &row)
{
    return stream << row.host_ << row.path_ << " " << row.key_;
}

const RefusalRow refusalTable[] = {
    {"host", "/safe/x", "wrong", 401}, {"host", "/safe/x", "", 401},
    {"host", "/other/x", "key", 404},  {"elsewhere", "/safe/x", "key", 404},
    {"host", "/safe", "key", 404}, // a prefix ends with a slash
};

BOOST_DATA_TEST_CASE(request_that_no_route_or_account_allows, data::make(refusalTable), row)
{
    Bench bench;
    DirectCall call;
    call.token_ = 5;
    call.id_ = "id";
    call.host_ = row.host_;
    call.path_ = row.path_;
    call.credential_ = row.key_;
    call.patience_ = seconds(1);
    const auto refusals = only<RefuseCall>(bench.handle(call));
    BOOST_REQUIRE(refusals.size() == 1u);
    BOOST_TEST(refusals[0].status_ == row.status_);
}

BOOST_AUTO_TEST_CASE(entry_without_a_configuration_says_come_back)
{
    DirectState state = makeDirect(DirectSettings{});
    DirectEffects effects;
    DirectCall call;
    call.token_ = 1;
    reduce(state, Instant(seconds(5)), call, effects);
    BOOST_REQUIRE(only<RefuseCall>(effects).size() == 1u);
    BOOST_TEST(only<RefuseCall>(effects)[0].status_ == 503u);
    BOOST_TEST((only<RefuseCall>(effects)[0].retryAfter_ > nanoseconds(0)));
}

BOOST_AUTO_TEST_CASE(request_is_answered_when_its_time_is_over)
{
    Bench bench;
    bench.call("unsafe", 1, milliseconds(1500));
    bench.call("stream", 2, milliseconds(1500));
    bench.now_ += milliseconds(1500);
    const auto effects = bench.handle(Wake{});
    const auto refusals = only<RefuseCall>(effects);
    BOOST_REQUIRE(refusals.size() == 2u);
    BOOST_TEST(refusals[0].status_ == 504u); // it was sent and may have run
    BOOST_TEST(refusals[1].status_ == 503u); // it still waited for a plan
    BOOST_TEST(only<StopRun>(effects).size() == 1u);
    BOOST_TEST(bench.state_.requests_.empty());
}

// The same body comes again under other ids, at any entry: crashes are counted for the fleet.
BOOST_AUTO_TEST_CASE(request_that_crashed_three_upstreams_reaches_no_further_one)
{
    Bench bench;
    bench.call("unsafe", 1);
    const auto effects = bench.handle(RunEnded{1, 1, RunEnd::Failed, 0, "", "reset"});
    BOOST_TEST(only<SubmitProposal>(effects).empty());
    BOOST_REQUIRE(only<ProbeUpstream>(effects).size() == 1u);
    const std::uint64_t digest = only<ProbeUpstream>(effects)[0].digest_;
    // An upstream that takes connections has lost an answer, not its life.
    BOOST_TEST(only<SubmitProposal>(bench.handle(UpstreamProbed{"plain-1", digest, true})).empty());
    const auto down = bench.handle(UpstreamProbed{"plain-1", digest, false});
    BOOST_REQUIRE(only<SubmitProposal>(down).size() == 1u);
    BOOST_TEST(std::get<ReportCrash>(only<SubmitProposal>(down)[0].command_).digest_ == digest);
    for (const std::uint32_t crashes : {2u, 3u}) {
        auto view = std::make_shared<View>(*testView());
        view->version_ = 7 + crashes;
        view->suspects_ = {Suspect{digest, crashes, false}};
        ViewChanged changed;
        changed.view_ = view;
        bench.handle(changed);
        const auto again = bench.call("unsafe", 10 + crashes);
        BOOST_TEST(only<StartRun>(again).size() == (crashes < 3 ? 1u : 0u));
        BOOST_TEST(only<RefuseCall>(again).size() == (crashes < 3 ? 0u : 1u));
    }
    // Other bodies run; one that ends well takes its count back.
    BOOST_TEST(only<StartRun>(bench.call("safe", 50)).size() == 1u);
    const auto ended = bench.handle(RunEnded{12, 1, RunEnd::Held, 200, "", ""});
    BOOST_REQUIRE(only<SubmitProposal>(ended).size() == 1u);
    BOOST_TEST(std::holds_alternative<ClearSuspect>(only<SubmitProposal>(ended)[0].command_));
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_stops_its_run_and_its_plan)
{
    Bench bench;
    bench.call("stream");
    bench.grant("engine-1");
    const auto effects = bench.handle(CallerGone{1});
    BOOST_TEST(only<StopRun>(effects).size() == 1u);
    BOOST_REQUIRE(only<SendToPeer>(effects).size() == 1u);
    BOOST_TEST(std::holds_alternative<PlanEnd>(only<SendToPeer>(effects)[0].message_));
}

BOOST_AUTO_TEST_CASE(requests_of_a_lost_scheduler_are_asked_again_elsewhere)
{
    Bench bench;
    bench.call("stream");
    const auto effects = bench.handle(PeerLost{"c1"});
    const auto sent = only<SendToPeer>(effects);
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST(sent[0].peer_ == "c2");
    BOOST_TEST(std::holds_alternative<PlanRequest>(sent[0].message_));
    // A late grant of the lost one starts nothing.
    BOOST_TEST(
        only<StartRun>(bench.handle(PeerMessage{"c1", PlanGrant{"id1", 1, "engine-1", 0, {}}}))
            .empty());
}

// Two schedulers would each count on the whole time and room of the stage upstreams.
BOOST_AUTO_TEST_CASE(requests_move_to_a_new_leader_with_what_was_made)
{
    Bench bench;
    bench.call("stream");
    bench.handle(PeerMessage{
        "c1", PlanProgress{"id1", 1, {PieceResult{0, 2, "stage-1", "stage-1/a", nanoseconds(0)}}}});
    bench.now_ += milliseconds(40);
    ViewChanged view;
    view.view_ = testView();
    view.leader_ = "c2";
    view.controlNames_ = {"c1", "c2"};
    const auto sent = only<SendToPeer>(bench.handle(view));
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

// Entries that lose the leader at different moments and list the others in different orders still
// meet at one scheduler, and don't go back to the lost one before it is named again.
BOOST_AUTO_TEST_CASE(entries_without_a_leader_choose_the_same_scheduler)
{
    std::set<std::string> chosen;
    for (const auto &names :
         {std::vector<std::string>{"c1", "c3", "c2"}, std::vector<std::string>{"c3", "c2", "c1"}}) {
        Bench bench;
        ViewChanged view;
        view.view_ = testView();
        view.leader_ = "c1";
        view.controlNames_ = names;
        bench.handle(view);
        bench.handle(PeerLost{"c1"});
        bench.handle(view); // the control thread hasn't noticed yet
        for (const std::uint64_t token : {1, 2}) {
            for (const SendToPeer &sent : only<SendToPeer>(bench.call("stream", token)))
                chosen.insert(sent.peer_);
            bench.now_ += seconds(2);
        }
        bench.handle(view); // it leads again
        for (const SendToPeer &sent : only<SendToPeer>(bench.call("stream", 3)))
            BOOST_TEST(sent.peer_ == "c1");
    }
    BOOST_TEST((chosen == std::set<std::string>{"c2"}));
}

// Random ends, losses and departures: whatever comes, an attempt that may not run twice doesn't, a
// promise is true, and each request gets one end.
BOOST_DATA_TEST_CASE(seeded_sessions_keep_the_promises, data::xrange(1, 201), seed)
{
    Bench bench(static_cast<std::uint64_t>(seed), 3);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const char *routes[] = {"safe", "unsafe", "stream", "resumable"};
    const RunEnd ends[] = {RunEnd::Delivered,  RunEnd::Held,   RunEnd::NotSent, RunEnd::NotExecuted,
                           RunEnd::InputsGone, RunEnd::Failed, RunEnd::Broken,  RunEnd::TimedOut};
    std::map<std::uint64_t, std::string> route;
    std::map<std::uint64_t, int> mayHaveRun;
    std::map<std::uint64_t, int> ended;
    std::uint64_t next = 1;
    std::size_t seen = 0;
    const auto observe = [&] {
        for (; seen < bench.all_.size(); ++seen) {
            const DirectEffect &effect = bench.all_[seen];
            if (const auto *run = std::get_if<StartRun>(&effect)) {
                const std::string &name = route.at(run->token_);
                const bool once = name == "unsafe" || name == "stream";
                BOOST_TEST((!once || mayHaveRun[run->token_] == 0), name);
                BOOST_TEST(ended[run->token_] == 0);
                ++mayHaveRun[run->token_]; // taken back if the upstream says otherwise
            } else if (const auto *refusal = std::get_if<RefuseCall>(&effect)) {
                if (refusal->status_ == 503)
                    BOOST_TEST(mayHaveRun[refusal->token_] == 0);
            } else if (const auto *end = std::get_if<DirectEnded>(&effect)) {
                BOOST_TEST(++ended[end->token_] == 1);
                BOOST_TEST(end->outcome_.find_first_not_of("abcdefghijklmnopqrstuvwxyz_")
                               == std::string::npos,
                           end->outcome_);
            }
        }
    };
    for (int step = 0; step < 400; ++step) {
        const auto draw = random() % 10;
        if (draw < 3 || bench.state_.requests_.empty()) {
            route[next] = routes[random() % 4];
            bench.call(route[next], next);
            ++next;
        } else {
            auto item = bench.state_.requests_.begin();
            std::advance(item, static_cast<long>(random() % bench.state_.requests_.size()));
            const std::uint64_t token = item->first;
            const DirectRequest &request = item->second;
            if (draw == 3)
                bench.handle(CallerGone{token});
            else if (draw == 4)
                bench.handle(PeerLost{random() % 2 ? "c1" : "c2"});
            else if (request.phase_ == DirectPhase::Planning && !request.scheduler_.empty())
                bench.grant("engine-" + std::to_string(1 + random() % 3), token);
            else if (request.phase_ == DirectPhase::Running) {
                const RunEnd end = ends[random() % 8];
                const bool ran = end != RunEnd::NotSent && end != RunEnd::NotExecuted
                    && end != RunEnd::InputsGone;
                if (!ran)
                    --mayHaveRun[token];
                bench.handle(
                    RunEnded{token, request.attempt_, end, random() % 2 ? 200u : 500u, "3", ""});
            }
        }
        observe();
        bench.now_ += milliseconds(random() % 40);
        bench.handle(Wake{});
        observe();
    }
    bench.now_ += seconds(5);
    bench.handle(Wake{});
    observe();
    BOOST_TEST(bench.state_.requests_.empty());
    for (const auto &[token, name] : route)
        BOOST_TEST(ended[token] == 1);
}

// Whatever the arrivals, no window of the stated length holds more repeats than allowed.
BOOST_DATA_TEST_CASE(repeats_stay_within_every_window, data::xrange(1, 21), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const RetryLimit limit{0.2, 5, seconds(10)};
    RepeatWindow window;
    Instant now(seconds(500));
    std::vector<Instant> requests;
    std::vector<Instant> repeats;
    for (int i = 0; i < 3000; ++i) {
        now += milliseconds(random() % 30);
        if (random() % 3) {
            countRequest(window, limit, now);
            requests.push_back(now);
        } else if (takeRepeat(window, limit, now)) {
            repeats.push_back(now);
        }
    }
    const auto within = [](const std::vector<Instant> &times, Instant end, nanoseconds length) {
        return std::count_if(times.begin(), times.end(),
                             [&](Instant time) { return time <= end && time > end - length; });
    };
    for (const Instant end : repeats) {
        // The allowance comes from the requests of the window and at most one slice before it.
        const auto allowed =
            0.2 * static_cast<double>(within(requests, end, seconds(10) + milliseconds(1200))) + 5;
        BOOST_TEST(static_cast<double>(within(repeats, end, seconds(10))) <= allowed);
    }
    BOOST_TEST(!repeats.empty());
}

BOOST_AUTO_TEST_CASE(entry_without_a_share_sends_nothing_twice_beyond_its_own_requests)
{
    Bench bench;
    bench.state_.shareExpires_ = Instant{};
    bench.call("safe");
    const auto effects = bench.handle(RunEnded{1, 1, RunEnd::Failed, 0, "", ""});
    BOOST_TEST(only<StartRun>(effects).empty());
}

BOOST_AUTO_TEST_CASE(longest_prefix_wins)
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

BOOST_AUTO_TEST_CASE(weights_decide_the_share_of_a_pool)
{
    RouteSpec route;
    route.targets_ = {RouteTarget{"a", 90}, RouteTarget{"b", 10}, RouteTarget{"c", 0}};
    std::map<std::string, int> drawn;
    for (std::uint64_t i = 0; i < 1000; ++i)
        ++drawn[drawPool(route, i)];
    BOOST_TEST(drawn["a"] == 900);
    BOOST_TEST(drawn["b"] == 100);
    BOOST_TEST(drawn["c"] == 0);
}

BOOST_AUTO_TEST_CASE(failing_upstream_is_avoided_and_tried_again_later)
{
    const auto view = testView();
    const auto table = makeRouteTable(view);
    const auto &members = table->members_.at("plain");
    UpstreamTable records;
    Instant now(seconds(10));
    noteStart(records, "plain-1");
    noteEnd(records, "plain-1", milliseconds(5), true, now);
    for (std::uint64_t draw = 0; draw < 9; ++draw)
        BOOST_TEST(chooseUpstream(members, records, {}, draw, now)->name_ != "plain-1");
    const std::vector<std::string> others = {"plain-2", "plain-3"};
    BOOST_TEST(chooseUpstream(members, records, others, 0, now + seconds(1))->name_ == "plain-1");
}

} // namespace
