// Tests detail/scheduler/cold_rate.hpp and the choices that depend on it: the rate of a cold engine
// over the whole fleet, a change of scheduler, warm engines that take over.
#include "chervilspring/detail/control/fleet_state.hpp"
#include "chervilspring/detail/direct/upstream_choice.hpp"
#include "stage_model.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace {

using namespace chervilspring;
namespace data = boost::unit_test::data;

const std::string engineName = "engine-1";

Upstream coldUpstream()
{
    Upstream upstream;
    upstream.name_ = engineName;
    upstream.cold_ = true;
    return upstream;
}

// Returns the largest number of times within one second.
std::size_t mostInOneSecond(std::vector<Instant> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (std::size_t first = 0, next = 0; first < times.size(); ++first) {
        while (next < times.size() && times[next] < times[first] + seconds(1))
            ++next;
        most = std::max(most, next - first);
    }
    return most;
}

// The most requests that a cold server may get in one second.
std::size_t allowedInOneSecond(double rate)
{
    return static_cast<std::size_t>(rate * 1.5 + 5);
}

std::vector<Instant> grantTimes(const StageModel &model, const std::string &engine)
{
    std::vector<Instant> times;
    for (const auto &[id, grant] : model.grants_) {
        if (grant.upstream_ == engine)
            times.push_back(model.granted_.at(id));
    }
    return times;
}

struct BurstRow
{
    double rate_;
    bool newScheduler_;
    int granted_; ///< of 100 requests at the same time
};

std::ostream &operator<<(std::ostream &stream, const BurstRow &row)
{
    return stream << row.rate_ << (row.newScheduler_ ? " new" : " established");
}

const BurstRow burstTable[] = {
    {9.8, false, 9}, {9.8, true, 4}, {20, false, 20}, {20, true, 10}, {1, true, 1},
    {0.3, false, 1}, {0.3, true, 1}, {0, false, 100}, {0, true, 100}, {1e300, false, 100},
};

BOOST_DATA_TEST_CASE(cold_engine_gets_its_rate_of_a_burst, data::make(burstTable), row)
{
    ColdRates rates;
    Instant now(seconds(10));
    notePlanRequest(rates, now);
    if (!row.newScheduler_) {
        now += seconds(1);
        notePlanRequest(rates, now);
        now += seconds(1);
        notePlanRequest(rates, now);
    }
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
        if (!hasColdRoom(rates, coldUpstream(), row.rate_, now))
            continue;
        recordGrant(rates, engineName, row.rate_, now);
        ++granted;
    }
    BOOST_TEST(granted == row.granted_);
    Upstream warm = coldUpstream();
    warm.cold_ = false;
    BOOST_TEST(hasColdRoom(rates, warm, row.rate_, now));
    now += milliseconds(1100);
    BOOST_TEST(hasColdRoom(rates, coldUpstream(), row.rate_, now));
    removeOldGrants(rates, now);
    BOOST_TEST(rates.grants_.empty());
}

BOOST_DATA_TEST_CASE(arrivals_stay_within_the_rate_despite_different_delays,
                     data::make({0.5, 2.0, 9.8, 50.0, 400.0}), rate)
{
    ColdRates rates;
    std::mt19937_64 random(1);
    std::uniform_int_distribution<int> delayMs(0, 100);
    std::vector<Instant> grants;
    std::vector<Instant> arrivals;
    const Instant start(seconds(10));
    const Instant end = start + seconds(10);
    for (Instant now = start; now < end; now += milliseconds(5)) {
        notePlanRequest(rates, now);
        while (hasColdRoom(rates, coldUpstream(), rate, now)) {
            recordGrant(rates, engineName, rate, now);
            grants.push_back(now);
            arrivals.push_back(now + milliseconds(delayMs(random)));
        }
    }
    BOOST_TEST(mostInOneSecond(grants) <= std::max(1.0, rate));
    BOOST_TEST(mostInOneSecond(arrivals) <= std::max(1.0, rate));
    // The rate is used, apart from the first second and the spread of the arrivals.
    BOOST_TEST(static_cast<double>(grants.size()) >= 0.75 * 10 * std::floor(rate));
}

BOOST_AUTO_TEST_CASE(warm_engine_that_starts_again_counts_its_latest_grants)
{
    ColdRates rates;
    const Instant now(seconds(10));
    for (int i = 0; i < 1000; ++i)
        recordGrant(rates, engineName, 9.8, now);
    BOOST_TEST(rates.grants_.at(engineName).size() == 9u); // bounded
    BOOST_TEST(!hasColdRoom(rates, coldUpstream(), 9.8, now));
}

// Requests of all entries are planned by one scheduler.
BOOST_DATA_TEST_CASE(burst_waits_at_a_cold_engine_that_is_the_only_one,
                     data::make({2.0, 9.8, 30.0}), rate)
{
    StageModelSettings settings;
    settings.engines_ = 1;
    settings.coldRate_ = rate;
    StageModel model(settings);
    model.setCold(engineName, true);
    for (int i = 0; i < 200; ++i) {
        model.submit(0, 0);
        model.advance(milliseconds(5));
    }
    model.advance(seconds(2));
    const std::vector<Instant> times = grantTimes(model, engineName);
    BOOST_TEST(mostInOneSecond(times) <= rate);
    BOOST_TEST(times.size() >= static_cast<std::size_t>(rate)); // waiting ones are granted later
    // Once it is warm it gets all that wait, in each sweep as many as it has slots.
    model.setCold(engineName, false);
    model.advance(milliseconds(300));
    const StageModelResult result = model.result();
    BOOST_TEST(result.onTime_ + result.late_ == result.submitted_);
    BOOST_TEST(result.unanswered_ == 0);
}

BOOST_AUTO_TEST_CASE(request_that_waits_too_long_for_a_cold_engine_is_refused)
{
    StageModelSettings settings;
    settings.engines_ = 1;
    settings.coldRate_ = 2;
    StageModel model(settings);
    model.setCold(engineName, true);
    for (int i = 0; i < 50; ++i)
        model.submit(0, 0);
    model.advance(seconds(10));
    const StageModelResult result = model.result();
    BOOST_TEST(mostInOneSecond(grantTimes(model, engineName)) <= 2u);
    BOOST_TEST(result.refused_ > 0);
    BOOST_TEST(result.unanswered_ == 0);
}

// Runs a burst in which a new scheduler without knowledge of earlier grants takes over.
BOOST_DATA_TEST_CASE(new_scheduler_in_a_burst_keeps_the_rate_of_a_cold_engine,
                     data::make({2.0, 9.8, 30.0, 100.0}) * data::make({200, 700, 1105, 1600}), rate,
                     changeAfterMs)
{
    StageModelSettings settings;
    settings.engines_ = 1;
    settings.coldRate_ = rate;
    StageModel model(settings);
    model.setCold(engineName, true);
    const auto burst = [&](milliseconds time) {
        const Instant end = model.now_ + time;
        while (model.now_ < end) {
            model.submit(0, 0);
            model.advance(milliseconds(5));
        }
    };
    burst(milliseconds(changeAfterMs));
    const ViewPointer view = model.state().view_;
    model.state() = SchedulerState{};
    model.handle(0, SchedulerView{view});
    for (const auto &[id, request] : std::map(model.requests_)) {
        if (model.granted_.contains(id) || model.refused_.contains(id))
            continue;
        PlanRequest again = request;
        again.round_ = 2;
        model.handle(0, PeerMessage{"entry", again});
    }
    burst(milliseconds(2500));
    const std::vector<Instant> times = grantTimes(model, engineName);
    BOOST_TEST(mostInOneSecond(times) <= allowedInOneSecond(rate));
    BOOST_TEST(times.size() > static_cast<std::size_t>(rate));
}

BOOST_AUTO_TEST_CASE(warm_engine_takes_what_a_cold_one_may_not_get)
{
    StageModelSettings settings;
    settings.engines_ = 2;
    settings.coldRate_ = 9.8;
    StageModel model(settings);
    model.setCold(engineName, true);
    for (int i = 0; i < 200; ++i) {
        model.submit(0, 0);
        model.advance(milliseconds(5));
    }
    BOOST_TEST(mostInOneSecond(grantTimes(model, engineName)) <= 9u);
    BOOST_TEST(grantTimes(model, engineName).size() > 0u);
    BOOST_TEST(model.result().onTime_ == 200);
}

BOOST_AUTO_TEST_CASE(cold_engine_of_a_pool_without_a_limit_is_granted_everything_at_once)
{
    StageModelSettings settings;
    settings.engines_ = 1;
    StageModel model(settings);
    model.setCold(engineName, true);
    for (int i = 0; i < 200; ++i)
        model.submit(0, 0);
    BOOST_TEST(grantTimes(model, engineName).size() == 200u);
    BOOST_TEST(model.state().coldRates_.grants_.empty());
}

struct SpareRow
{
    const char *description_;
    bool spareCold_;
    std::vector<std::string> avoided_;
    bool mayChooseCold_;
    bool mayChooseWarm_;
};

std::ostream &operator<<(std::ostream &stream, const SpareRow &row)
{
    return stream << row.description_;
}

const SpareRow spareTable[] = {
    {"no limit", false, {}, true, true},
    {"a warm one is usable", true, {}, false, true},
    {"the warm one is avoided", true, {"warm"}, true, false},
    {"both are avoided", true, {"warm", engineName}, false, true},
};

BOOST_DATA_TEST_CASE(entry_chooses_a_cold_upstream_only_without_a_usable_warm_one,
                     data::make(spareTable), row)
{
    const Upstream cold = coldUpstream();
    Upstream warm;
    warm.name_ = "warm";
    std::set<std::string> chosen;
    for (std::uint64_t randomValue = 0; randomValue < 8; ++randomValue)
        chosen.insert(chooseUpstream({&cold, &warm}, {}, row.avoided_, randomValue,
                                     Instant(seconds(10)), row.spareCold_)
                          ->name_);
    BOOST_TEST(chosen.contains(engineName) == row.mayChooseCold_);
    BOOST_TEST(chosen.contains("warm") == row.mayChooseWarm_);
}

BOOST_AUTO_TEST_CASE(announcements_differ_by_being_cold_but_not_by_their_number)
{
    const Upstream cold = coldUpstream();
    Upstream later = cold;
    ++later.sequence_;
    BOOST_TEST(sameAnnouncement(cold, later));
    later.cold_ = false;
    BOOST_TEST(!sameAnnouncement(cold, later));
}

BOOST_AUTO_TEST_CASE(view_changes_only_when_an_upstream_becomes_warm)
{
    FleetState state;
    std::uint64_t index = 0;
    const auto announce = [&](std::uint64_t sequence, bool cold) {
        Upstream upstream = coldUpstream();
        upstream.direct_ = true;
        upstream.sequence_ = sequence;
        upstream.cold_ = cold;
        apply(state, LogEntry{++index, 1, WallTime(seconds(1)), AnnounceUpstream{upstream}});
        return state.view_.version_;
    };
    BOOST_TEST(announce(1, true) == 1u);
    BOOST_TEST(announce(2, true) == 1u);
    BOOST_TEST(announce(3, false) == 3u);
    BOOST_TEST(!state.view_.upstreams_.at(0).cold_);
    BOOST_TEST(announce(4, false) == 3u);
}

} // namespace
