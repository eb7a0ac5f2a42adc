// Tests detail/direct/even_choice.hpp in a model of choosers and upstreams with slots.
#include "chervilspring/detail/direct/direct.hpp"
#include "chervilspring/detail/direct/even_choice.hpp"
#include "chervilspring/digest.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cmath>
#include <functional>
#include <numeric>
#include <queue>
#include <random>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

constexpr std::size_t upstreamCount = 3;
constexpr std::size_t slotCount = 6;
constexpr double requestsPerSecond = 56; // of all choosers together
constexpr nanoseconds serviceTime = milliseconds(200); // average
constexpr double slowFactor = 2.5;
constexpr nanoseconds failureTime = milliseconds(10);
constexpr nanoseconds runTime = seconds(60);
constexpr nanoseconds sampleInterval = milliseconds(100);
constexpr std::size_t samplesPerWindow = 10;
constexpr Instant startAt = Instant(seconds(1000));

enum class Method { Today, WeightedRandom, TwoCandidates, Rotation };
constexpr Method methods[] = {Method::Today, Method::WeightedRandom, Method::TwoCandidates,
                              Method::Rotation};

const char *nameOf(Method method)
{
    switch (method) {
    case Method::Today:
        return "today";
    case Method::WeightedRandom:
        return "weighted random";
    case Method::TwoCandidates:
        return "two candidates";
    case Method::Rotation:
        return "rotation";
    }
    return "";
}

// Times since the start at which an upstream is slow or fails.
struct Disturbance
{
    std::size_t upstream_ = 0;
    nanoseconds from_{0};
    nanoseconds until_{0};
    bool fails_ = false; // otherwise it is slower by slowFactor
};

struct Model
{
    Method method_ = Method::Today;
    std::size_t chooserCount_ = 28;
    nanoseconds age_{0}; // interval at which choosers learn average times and failure rates
    std::vector<Disturbance> disturbances_;
    std::uint64_t seed_ = 1;
};

struct Outcome
{
    double spread_ = 0; // load of the busiest upstream / mean load, average over windows
    nanoseconds slowest_{0}; // 99th percentile of the response time
    std::array<int, upstreamCount> sent_{}; // requests by upstream
    int failed_ = 0;
};

struct Chooser
{
    UpstreamTable stats_; // up to date
    UpstreamTable known_; // average times and failure rates as of knownAt_
    Instant knownAt_{};
    Rotation rotation_;
};

struct Job
{
    std::size_t chooser_ = 0;
    Instant sentAt_{};
};

struct ModelUpstream
{
    std::size_t running_ = 0;
    std::deque<Job> waiting_;
    std::size_t windowLoad_ = 0; // sum of the samples in the window
};

enum class EventKind { Send, End, Sample };

struct Event
{
    Instant at_{};
    std::uint64_t order_ = 0;
    EventKind kind_ = EventKind::Send;
    std::size_t upstream_ = 0;
    Job job_;
    bool failed_ = false;

    bool operator>(const Event &other) const
    {
        return std::pair(at_, order_) > std::pair(other.at_, other.order_);
    }
};

const std::vector<Upstream> &modelUpstreams()
{
    static const std::vector<Upstream> upstreams = [] {
        std::vector<Upstream> result(upstreamCount);
        for (std::size_t i = 0; i < upstreamCount; ++i)
            result[i].name_ = "u" + std::to_string(i);
        return result;
    }();
    return upstreams;
}

std::vector<const Upstream *> modelPool()
{
    std::vector<const Upstream *> pool;
    for (const Upstream &upstream : modelUpstreams())
        pool.push_back(&upstream);
    return pool;
}

double costIn(const UpstreamTable &stats, const Upstream *upstream)
{
    const auto found = stats.find(upstream->name_);
    return expectedCost(found == stats.end() ? UpstreamStats{} : found->second);
}

// Chooses at random with weights inverse to the cost.
const Upstream *chooseWeighted(const std::vector<const Upstream *> &preferred,
                               const UpstreamTable &stats, std::mt19937_64 &random)
{
    std::vector<double> weights;
    for (const Upstream *upstream : preferred)
        weights.push_back(1 / costIn(stats, upstream));
    return preferred[std::discrete_distribution<std::size_t>(weights.begin(),
                                                             weights.end())(random)];
}

// Chooses the cheaper one of two different random candidates.
const Upstream *chooseOfTwo(const std::vector<const Upstream *> &preferred,
                            const UpstreamTable &stats, std::mt19937_64 &random)
{
    std::vector<const Upstream *> candidates;
    std::sample(preferred.begin(), preferred.end(), std::back_inserter(candidates), 2, random);
    std::shuffle(candidates.begin(), candidates.end(), random);
    return *std::min_element(
        candidates.begin(), candidates.end(),
        [&](const Upstream *a, const Upstream *b) { return costIn(stats, a) < costIn(stats, b); });
}

const Upstream *choose(Method method, Chooser &chooser, std::mt19937_64 &random, Instant now)
{
    const auto pool = modelPool();
    const UpstreamTable &stats = chooser.known_;
    switch (method) {
    case Method::Today:
        return chooseUpstream(pool, stats, {}, random(), now);
    case Method::WeightedRandom:
        return chooseWeighted(preferredUpstreams(pool, stats, {}, now), stats, random);
    case Method::TwoCandidates:
        return chooseOfTwo(preferredUpstreams(pool, stats, {}, now), stats, random);
    case Method::Rotation:
        return chooseEvenly(chooser.rotation_, pool, stats, {}, random(), now);
    }
    return nullptr;
}

// A run of the model. Requests that find no slot wait at the upstream.
class Simulation
{
public:
    explicit Simulation(const Model &model)
        : model_(model), random_(model.seed_), choosers_(model.chooserCount_)
    {
        std::uniform_real_distribution<double> phase(0, 1);
        for (std::size_t i = 0; i < choosers_.size(); ++i) {
            choosers_[i].knownAt_ = startAt - scaled(model.age_, phase(random_));
            add(startAt + scaled(sendInterval(), phase(random_)), EventKind::Send, 0, {i, {}});
        }
        add(startAt + sampleInterval, EventKind::Sample);
    }

    Outcome run()
    {
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at_;
            if (event.kind_ == EventKind::Send)
                onSend(event.job_.chooser_);
            else if (event.kind_ == EventKind::End)
                onEnd(event);
            else
                onSample();
        }
        std::sort(times_.begin(), times_.end());
        outcome_.slowest_ = times_.at(times_.size() * 99 / 100);
        outcome_.spread_ = spreadSum_ / windowCount_;
        return outcome_;
    }

private:
    static nanoseconds scaled(nanoseconds time, double factor)
    {
        return nanoseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }

    nanoseconds sendInterval() const
    {
        return scaled(seconds(1), static_cast<double>(model_.chooserCount_) / requestsPerSecond);
    }

    double randomFactor() { return std::uniform_real_distribution<double>(0.5, 1.5)(random_); }

    void add(Instant at, EventKind kind, std::size_t upstream = 0, Job job = {},
             bool failed = false)
    {
        events_.push(Event{at, nextOrder_++, kind, upstream, job, failed});
    }

    const Disturbance *findDisturbance(std::size_t upstream) const
    {
        const nanoseconds time = now_ - startAt;
        for (const Disturbance &item : model_.disturbances_) {
            if (item.upstream_ == upstream && time >= item.from_ && time < item.until_)
                return &item;
        }
        return nullptr;
    }

    // Own active runs and pauses are always known, only the averages are old.
    void learn(Chooser &chooser)
    {
        if (now_ - chooser.knownAt_ >= model_.age_) {
            chooser.known_ = chooser.stats_;
            chooser.knownAt_ = now_;
        }
        for (const auto &[name, stats] : chooser.stats_) {
            chooser.known_[name].activeRuns_ = stats.activeRuns_;
            chooser.known_[name].avoidance_ = stats.avoidance_;
        }
    }

    void onSend(std::size_t index)
    {
        if (now_ - startAt >= runTime)
            return;
        add(now_ + scaled(sendInterval(), randomFactor()), EventKind::Send, 0, {index, {}});
        Chooser &chooser = choosers_[index];
        learn(chooser);
        const Upstream *upstream = choose(model_.method_, chooser, random_, now_);
        recordRunStart(chooser.stats_, upstream->name_);
        const auto number = static_cast<std::size_t>(upstream - modelUpstreams().data());
        ++outcome_.sent_[number];
        upstreams_[number].waiting_.push_back(Job{index, now_});
        startWaiting(number);
    }

    void startWaiting(std::size_t number)
    {
        ModelUpstream &upstream = upstreams_[number];
        while (upstream.running_ < slotCount && !upstream.waiting_.empty()) {
            const Disturbance *disturbance = findDisturbance(number);
            const bool fails = disturbance && disturbance->fails_;
            const double factor = disturbance ? slowFactor : 1;
            const nanoseconds time =
                fails ? failureTime : scaled(serviceTime, factor * randomFactor());
            add(now_ + time, EventKind::End, number, upstream.waiting_.front(), fails);
            upstream.waiting_.pop_front();
            ++upstream.running_;
        }
    }

    void onEnd(const Event &event)
    {
        const nanoseconds time = now_ - event.job_.sentAt_;
        recordRunEnd(choosers_[event.job_.chooser_].stats_, modelUpstreams()[event.upstream_].name_,
                     time, event.failed_, now_);
        if (event.failed_)
            ++outcome_.failed_;
        else
            times_.push_back(time);
        --upstreams_[event.upstream_].running_;
        startWaiting(event.upstream_);
    }

    void onSample()
    {
        if (now_ - startAt >= runTime)
            return;
        add(now_ + sampleInterval, EventKind::Sample);
        for (ModelUpstream &upstream : upstreams_)
            upstream.windowLoad_ += upstream.running_ + upstream.waiting_.size();
        if (++sampleCount_ % samplesPerWindow != 0)
            return;
        std::size_t busiest = 0;
        std::size_t sum = 0;
        for (ModelUpstream &upstream : upstreams_) {
            busiest = std::max(busiest, upstream.windowLoad_);
            sum += upstream.windowLoad_;
            upstream.windowLoad_ = 0;
        }
        if (sum == 0)
            return;
        spreadSum_ += static_cast<double>(busiest * upstreamCount) / static_cast<double>(sum);
        ++windowCount_;
    }

    Model model_;
    std::mt19937_64 random_;
    std::vector<Chooser> choosers_;
    std::array<ModelUpstream, upstreamCount> upstreams_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t nextOrder_ = 0;
    Instant now_{};
    std::vector<nanoseconds> times_;
    std::size_t sampleCount_ = 0;
    double spreadSum_ = 0;
    int windowCount_ = 0;
    Outcome outcome_;
};

// Each upstream in turn is slow for a while.
std::vector<Disturbance> slowMoments(nanoseconds length, nanoseconds interval)
{
    std::vector<Disturbance> moments;
    for (nanoseconds from = interval; from < runTime; from += interval)
        moments.push_back(Disturbance{moments.size() % upstreamCount, from, from + length});
    return moments;
}

struct AxisRow
{
    std::size_t chooserCount_;
    milliseconds age_;
};

std::ostream &operator<<(std::ostream &out, const AxisRow &row)
{
    return out << row.chooserCount_ << " choosers, age " << row.age_.count() << " ms";
}

const AxisRow axisRows[] = {
    {7, milliseconds(0)},   {7, milliseconds(1000)},   {7, milliseconds(5000)},
    {28, milliseconds(0)},  {28, milliseconds(1000)},  {28, milliseconds(5000)},
    {112, milliseconds(0)}, {112, milliseconds(1000)}, {112, milliseconds(5000)},
    {224, milliseconds(0)}, {224, milliseconds(1000)}, {224, milliseconds(5000)},
};

// Choosers that send less than one request in a slow moment learn of it when it is over.
const AxisRow lateRows[] = {
    {112, milliseconds(0)}, {112, milliseconds(1000)}, {112, milliseconds(5000)},
    {224, milliseconds(0)}, {224, milliseconds(1000)}, {224, milliseconds(5000)},
};

struct MomentRow
{
    const char *name_;
    nanoseconds length_; // of a slow moment
    nanoseconds interval_; // between the starts of two
};

std::ostream &operator<<(std::ostream &out, const MomentRow &row)
{
    return out << row.name_;
}

const MomentRow momentRows[] = {
    {"1 s of 4 s", seconds(1), seconds(4)},
    {"10 s of 20 s", seconds(10), seconds(20)},
};

constexpr std::uint64_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};

Outcome runModel(Method method, const AxisRow &row, std::uint64_t seed,
                 const std::vector<Disturbance> &disturbances)
{
    return Simulation(Model{method, row.chooserCount_, row.age_, disturbances, seed}).run();
}

// Returns the averages over all seeds. Checks that no request was lost.
Outcome averageOutcome(Method method, const AxisRow &row, const MomentRow &moment)
{
    Outcome average;
    for (const std::uint64_t seed : seeds) {
        const Outcome outcome =
            runModel(method, row, seed, slowMoments(moment.length_, moment.interval_));
        BOOST_TEST(outcome.failed_ == 0);
        average.spread_ += outcome.spread_ / std::size(seeds);
        average.slowest_ += outcome.slowest_ / std::size(seeds);
    }
    return average;
}

BOOST_DATA_TEST_CASE(rotation_is_better_if_choosers_learn_of_slow_moments_too_late,
                     data::make(lateRows), row)
{
    const Outcome today = averageOutcome(Method::Today, row, momentRows[0]);
    const Outcome rotation = averageOutcome(Method::Rotation, row, momentRows[0]);
    BOOST_TEST(rotation.spread_ < today.spread_);
    BOOST_TEST(rotation.slowest_.count() < today.slowest_.count());
}

// Prints the figures of all methods with --log_level=message.
BOOST_DATA_TEST_CASE(no_method_loses_requests, data::make(axisRows) * data::make(momentRows), row,
                     moment)
{
    for (const Method method : methods) {
        const Outcome average = averageOutcome(method, row, moment);
        BOOST_TEST_MESSAGE(moment.name_ << ", " << row << ", " << nameOf(method) << ": spread "
                                        << std::lround(average.spread_ * 100) << " %, p99 "
                                        << average.slowest_ / milliseconds(1) << " ms");
    }
}

BOOST_DATA_TEST_CASE(failing_upstream_is_avoided_by_the_rotation,
                     data::make(axisRows) * data::make(seeds), row, seed)
{
    const std::vector<Disturbance> failing = {{2, seconds(0), runTime * 2, true}};
    const Outcome today = runModel(Method::Today, row, seed, failing);
    const Outcome rotation = runModel(Method::Rotation, row, seed, failing);
    BOOST_TEST_MESSAGE("failed requests, " << row << ", seed " << seed << ": today "
                                           << today.failed_ << ", rotation " << rotation.failed_);
    const int all = std::accumulate(rotation.sent_.begin(), rotation.sent_.end(), 0);
    BOOST_TEST(rotation.failed_ == rotation.sent_[2]);
    BOOST_TEST(rotation.sent_[2] * upstreamCount < static_cast<std::size_t>(all));
    BOOST_TEST(rotation.failed_ < 2 * today.failed_);
}

BOOST_DATA_TEST_CASE(slower_upstream_gets_less_by_the_rotation,
                     data::make(axisRows) * data::make(seeds), row, seed)
{
    const std::vector<Disturbance> slow = {{1, seconds(0), runTime * 2}};
    const Outcome rotation = runModel(Method::Rotation, row, seed, slow);
    for (const std::size_t other : {0, 2})
        BOOST_TEST(rotation.sent_[1] * 3 < rotation.sent_[other] * 2);
    BOOST_TEST(rotation.sent_[1] > 0); // it is measured, so it isn't slow for ever
}

struct ChoiceRow
{
    const char *name_;
    std::vector<std::string> paused_; // upstreams in the pause after a failure
    std::vector<std::string> avoided_;
    std::vector<std::string> expected_; // upstreams that are chosen
};

std::ostream &operator<<(std::ostream &out, const ChoiceRow &row)
{
    return out << row.name_;
}

const ChoiceRow choiceRows[] = {
    {"all usable", {}, {}, {"u0", "u1", "u2"}},
    {"one in the pause", {"u1"}, {}, {"u0", "u2"}},
    {"one avoided", {}, {"u0"}, {"u1", "u2"}},
    {"one avoided, one in the pause", {"u1"}, {"u0"}, {"u2"}},
    {"all avoided or in the pause", {"u1", "u2"}, {"u0"}, {"u0", "u1", "u2"}},
};

BOOST_DATA_TEST_CASE(paused_and_avoided_upstreams_are_the_last_resort, data::make(choiceRows), row)
{
    UpstreamTable stats;
    for (const std::string &name : row.paused_)
        noteFailure(stats[name].avoidance_, seconds(1), startAt);
    Rotation rotation;
    std::set<std::string> chosen;
    std::mt19937_64 random(1);
    for (int i = 0; i < 30; ++i)
        chosen.insert(
            chooseEvenly(rotation, modelPool(), stats, row.avoided_, random(), startAt)->name_);
    const std::set<std::string> expected(row.expected_.begin(), row.expected_.end());
    BOOST_TEST(chosen == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(no_burst_after_a_pause)
{
    UpstreamTable stats;
    noteFailure(stats["u1"].avoidance_, seconds(1), startAt);
    Rotation rotation;
    std::mt19937_64 random(1);
    for (int i = 0; i < 300; ++i)
        chooseEvenly(rotation, modelPool(), stats, {}, random(), startAt);
    int chosen = 0;
    for (int i = 0; i < 30; ++i) {
        const Upstream *upstream =
            chooseEvenly(rotation, modelPool(), stats, {}, random(), startAt + seconds(2));
        chosen += upstream->name_ == "u1" ? 1 : 0;
    }
    BOOST_TEST(chosen >= 9);
    BOOST_TEST(chosen <= 11);
}

BOOST_AUTO_TEST_CASE(upstreams_that_left_are_forgotten)
{
    Rotation rotation;
    auto pool = modelPool();
    chooseEvenly(rotation, pool, {}, {}, 1, startAt);
    BOOST_TEST(rotation.credits_.size() == upstreamCount);
    pool.pop_back();
    chooseEvenly(rotation, pool, {}, {}, 1, startAt);
    BOOST_TEST(rotation.credits_.size() == upstreamCount - 1);
    BOOST_TEST(!chooseEvenly(rotation, {}, {}, {}, 1, startAt));
    BOOST_TEST(rotation.credits_.empty());
}

// Returns a view with a pool of plain upstreams and a route to it.
ViewPointer plainView()
{
    auto view = std::make_shared<View>();
    view->version_ = 1;
    view->fleetVersion_ = 1;
    Pool pool;
    pool.name_ = "plain";
    pool.selector_ = "service = plain";
    view->fleet_.pools_ = {pool};
    RouteSpec route;
    route.name_ = "safe";
    route.host_ = "host";
    route.pathPrefix_ = "/safe/";
    route.kind_ = RouteKind::Safe;
    route.maxAttempts_ = 2;
    route.timeout_ = seconds(2);
    route.targets_ = {RouteTarget{"plain", 1}};
    view->fleet_.routes_ = {route};
    Account account;
    account.name_ = "shop";
    account.keyDigests_ = {credentialDigest({}, "key")};
    view->fleet_.accounts_ = {account};
    for (Upstream upstream : modelUpstreams()) {
        upstream.phase_ = UpstreamPhase::Serving;
        upstream.direct_ = true;
        upstream.agentAddress_ = "10.0.0.1";
        upstream.agentPort_ = 80;
        upstream.labels_ = {Label{"service", "plain"}};
        view->upstreams_.push_back(upstream);
    }
    return view;
}

struct EntryRow
{
    bool evenLoad_;
    std::array<int, upstreamCount> sent_; // of 70 requests one after the other
};

std::ostream &operator<<(std::ostream &out, const EntryRow &row)
{
    return out << (row.evenLoad_ ? "even load" : "default");
}

// The upstreams take 10, 20 and 40 ms.
const EntryRow entryRows[] = {
    {false, {70, 0, 0}},
    {true, {40, 20, 10}},
};

BOOST_DATA_TEST_CASE(entry_spreads_requests_by_speed_if_it_is_set, data::make(entryRows), row)
{
    BOOST_TEST(!DirectSettings{}.evenLoad_);
    DirectSettings settings;
    settings.name_ = "e1";
    settings.evenLoad_ = row.evenLoad_;
    DirectState state = makeDirect(settings);
    Instant now = startAt;
    DirectEffects effects;
    ViewChanged changed;
    changed.view_ = plainView();
    changed.share_ = wholeShare;
    changed.shareExpires_ = now + seconds(1000);
    changed.leader_ = "c1";
    changed.controlNames_ = {"c1"};
    reduce(state, now, changed, effects);
    const std::map<std::string, milliseconds> times = {
        {"u0", milliseconds(10)}, {"u1", milliseconds(20)}, {"u2", milliseconds(40)}};
    for (const auto &[name, time] : times)
        state.upstreamStats_[name].averageTime_ = time;
    std::map<std::string, int> sent;
    for (std::uint64_t token = 1; token <= 70; ++token) {
        DirectCall call;
        call.token_ = token;
        call.id_ = "id" + std::to_string(token);
        call.host_ = "host";
        call.path_ = "/safe/x";
        call.credential_ = "key";
        call.callerTimeout_ = seconds(1);
        reduce(state, now, call, effects);
        const std::string upstream = state.requests_.at(token).upstream_;
        ++sent[upstream];
        now += times.at(upstream);
        RunEnded ended;
        ended.token_ = token;
        ended.attempt_ = 1;
        ended.end_ = RunEnd::Delivered;
        ended.status_ = 200;
        reduce(state, now, ended, effects);
    }
    for (std::size_t i = 0; i < upstreamCount; ++i)
        BOOST_TEST(std::abs(sent["u" + std::to_string(i)] - row.sent_[i]) <= 1);
    BOOST_TEST(state.rotations_.size() == (row.evenLoad_ ? 1u : 0u));
    const auto emptyView = std::make_shared<View>();
    emptyView->version_ = 2;
    changed.view_ = emptyView;
    reduce(state, now, changed, effects);
    BOOST_TEST(state.rotations_.empty());
}

} // namespace
