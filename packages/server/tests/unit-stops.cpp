// Tests graceful stops with a rolling restart of every process under load, including streams, and
// the blocking of a request that crashes upstreams.
#include "process_fixture.hpp"

#include <atomic>
#include <future>
#include <thread>

namespace {

using namespace standins;

// Selects a ready entry for each request, as the platform's load balancer does.
class LoadBalancer
{
public:
    explicit LoadBalancer(TestFleet &fleet) : fleet_(fleet) { }

    void setReady(const std::string &entry, bool ready) { ready_[entry == "e1" ? 0 : 1] = ready; }

    std::string pick()
    {
        const std::size_t first = next_++ % 2;
        return ready_[first] ? name(first) : name(1 - first);
    }

    std::atomic<int> sent_ = 0;
    std::atomic<bool> stop_ = false;

    // Sends requests until stop_ is set. Callers with an even number read streams, the others place
    // orders. Adds a line to failures for each request that was not answered completely or did not
    // run once.
    void run(int caller, std::vector<std::string> &failures, std::mutex &mutex)
    {
        for (int i = 0; !stop_; ++i) {
            const std::string marker = "r" + std::to_string(caller) + "-" + std::to_string(i);
            const std::string entry = pick();
            const bool stream = caller % 2 == 0;
            const std::string body = "{\"marker\":\"" + marker + "\",\"max_tokens\":20}";
            const CallerAnswer answer = stream
                ? fleet_.fixture_.call(entry, "answer", "shop", body, "", milliseconds(0), true)
                : fleet_.order(entry, marker, newKey(marker));
            ++sent_;
            // A complete stream has 20 tokens and the end marker.
            const bool complete = answer.status_ == 200
                && (!stream || (answer.events_.size() == 21 && answer.events_.back() == "[DONE]"));
            const bool ranOnce = stream || fleet_.runs(marker) == 1;
            if (complete && ranOnce)
                continue;
            const std::lock_guard lock(mutex);
            failures.push_back(marker + " at " + entry + ": " + std::to_string(answer.status_) + " "
                               + answer.body_ + " events " + std::to_string(answer.events_.size()));
        }
    }

private:
    static std::string name(std::size_t index) { return index == 0 ? "e1" : "e2"; }

    TestFleet &fleet_;
    std::array<std::atomic<bool>, 2> ready_ = {true, true};
    std::atomic<std::size_t> next_ = 0;
};

// Stops a process with SIGTERM, checks that it exits with status 0 and starts it again.
void restartGracefully(TestFleet &fleet, LoadBalancer &loadBalancer, const std::string &name)
{
    const bool isEntry = name[0] == 'e';
    if (isEntry)
        loadBalancer.setReady(name, false);
    fleet.fixture_.signal(name, SIGTERM);
    BOOST_TEST(fleet.fixture_.waitForEnd(name, processTimeout) == 0, name);
    fleet.fixture_.restart(name);
    if (isEntry) {
        BOOST_TEST(fleet.fixture_.waitReady(name, processTimeout), name);
        loadBalancer.setReady(name, true);
    }
}

BOOST_AUTO_TEST_CASE(rolling_restart_interrupts_no_request)
{
    TestFleet fleet("stops-rolling");
    LoadBalancer loadBalancer(fleet);
    std::vector<std::string> failures;
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i)
        callers.emplace_back([&, i] { loadBalancer.run(i, failures, mutex); });
    for (const char *entry : {"e1", "e2"})
        restartGracefully(fleet, loadBalancer, entry);
    for (const UpstreamSpec &spec : fleet.upstreams_) {
        restartGracefully(fleet, loadBalancer, spec.name_);
        BOOST_TEST(fleet.fixture_.waitServing(6, processTimeout), spec.name_);
        restartGracefully(fleet, loadBalancer, "up-" + spec.name_);
        BOOST_TEST(fleet.fixture_.waitServing(6, processTimeout), spec.name_);
    }
    for (const char *control : {"c1", "c2", "c3"}) {
        restartGracefully(fleet, loadBalancer, control);
        BOOST_TEST(fleet.fixture_.waitReady(control, processTimeout), control);
    }
    loadBalancer.stop_ = true;
    for (std::thread &caller : callers)
        caller.join();
    for (const std::string &failure : failures)
        BOOST_ERROR(failure);
    BOOST_TEST_MESSAGE("requests during the rolling restart: " << loadBalancer.sent_);
    BOOST_TEST(loadBalancer.sent_ > 100);
}

// Guards against an entry that waits for its requests beyond its grace period and is then killed.
BOOST_AUTO_TEST_CASE(entry_answers_its_requests_before_the_grace_period_ends)
{
    constexpr auto grace = milliseconds(2000);
    FixtureSettings settings;
    settings.graceMs_ = grace.count();
    TestFleet fleet("stops-grace", settings);
    for (const char *upstream : {"index-1", "index-2"})
        fleet.fixture_.signal(std::string("up-") + upstream, SIGSTOP);
    auto answer = std::async(std::launch::async, [&] {
        return fleet.fixture_.call("e1", "note", "shop", R"({"marker":"m"})");
    });
    std::this_thread::sleep_for(milliseconds(200));
    fleet.fixture_.signal("e1", SIGTERM);
    BOOST_TEST(fleet.fixture_.waitForEnd("e1", grace) == 0);
    const CallerAnswer received = answer.get();
    BOOST_TEST(received.status_ == 504u, received.body_);
    BOOST_TEST(TestFleet::ran(received) == "may_have_run");
}

// Guards against an agent that waits for a call beyond its grace period and is then killed.
BOOST_AUTO_TEST_CASE(agent_ends_before_the_grace_period_ends)
{
    constexpr auto grace = milliseconds(2000);
    FixtureSettings settings;
    settings.graceMs_ = grace.count();
    TestFleet fleet("stops-agent-grace", settings);
    const std::vector<std::string> agents = {"index-1", "index-2"};
    for (const std::string &agent : agents)
        fleet.fixture_.signal("up-" + agent, SIGSTOP);
    auto answer = std::async(std::launch::async, [&] {
        return fleet.fixture_.call("e1", "note", "shop", R"({"marker":"m"})");
    });
    std::this_thread::sleep_for(milliseconds(200));
    for (const std::string &agent : agents)
        fleet.fixture_.signal(agent, SIGTERM);
    for (const std::string &agent : agents)
        BOOST_TEST(fleet.fixture_.waitForEnd(agent, grace) == 0, agent);
    const CallerAnswer received = answer.get();
    BOOST_TEST(received.status_ >= 500u, received.body_);
}

// Guards against a leader that ends while an operator's command waits for the other members.
BOOST_AUTO_TEST_CASE(operator_call_that_is_pending_at_a_planned_stop_is_answered)
{
    TestFleet fleet("stops-operator");
    const std::string leader = fleet.fixture_.leader();
    BOOST_REQUIRE(!leader.empty());
    const std::vector<std::string> controls = {"c1", "c2", "c3"};
    for (const std::string &name : controls) {
        if (name != leader)
            fleet.fixture_.signal(name, SIGSTOP);
    }
    auto answer = std::async(std::launch::async, [&] {
        return fleet.fixture_.http(
            leader, "POST", "/v1/drain",
            R"({"operation_id": "7", "upstream": "index-1", "drained": true})",
            FleetFixture::operatorCredential());
    });
    std::this_thread::sleep_for(milliseconds(100));
    fleet.fixture_.signal(leader, SIGTERM);
    const CallerAnswer received = answer.get();
    BOOST_TEST(received.status_ == 503u, received.body_);
    BOOST_TEST(fleet.fixture_.waitForEnd(leader, processTimeout) == 0);
    for (const std::string &name : controls) {
        if (name != leader)
            fleet.fixture_.signal(name, SIGCONT);
    }
}

// The first crash also fails other requests that run at the same upstream; each of these is run
// again alone. The crashing request is blocked after at most crashLimit crashes.
BOOST_AUTO_TEST_CASE(request_that_crashes_upstreams_is_blocked)
{
    constexpr int crashLimit = 3;
    TestFleet fleet("stops-poison");
    for (const char *upstream : {"index-1", "index-2"})
        fleet.fixture_.fault(upstream, R"({"crash_on": "poison"})");
    std::atomic<bool> stop = false;
    std::atomic<int> crashes = 0;
    // Simulates the platform: restarts crashed upstreams, with the same fault.
    std::thread platform([&] {
        while (!stop) {
            for (const char *upstream : {"index-1", "index-2"}) {
                const std::string name = std::string("up-") + upstream;
                if (fleet.fixture_.running(name))
                    continue;
                ++crashes;
                fleet.fixture_.restart(name);
                while (
                    fleet.fixture_.http(name, "POST", "/fault", R"({"crash_on": "poison"})").status_
                    != 200)
                    std::this_thread::sleep_for(milliseconds(10));
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
    });
    std::string lastErrorId;
    for (int i = 0; i < 8 && lastErrorId != "CS-2013"; ++i) {
        const std::string entry = i % 2 == 0 ? "e1" : "e2";
        lastErrorId = TestFleet::errorId(fleet.fixture_.call(
            entry, "note", "shop", R"({"marker":"poison"})", "", milliseconds(3000)));
        std::this_thread::sleep_for(milliseconds(300));
    }
    BOOST_TEST(lastErrorId == "CS-2013");
    const int crashesUntilBlocked = crashes;
    BOOST_TEST(crashesUntilBlocked <= crashLimit);
    BOOST_REQUIRE(fleet.fixture_.waitServing(6, processTimeout));
    for (int i = 0; i < 20; ++i) {
        const std::string entry = i % 2 == 0 ? "e1" : "e2";
        BOOST_TEST(
            TestFleet::errorId(fleet.fixture_.call(entry, "note", "shop", R"({"marker":"poison"})"))
            == "CS-2013");
        const CallerAnswer other =
            fleet.fixture_.call(entry, "note", "shop", R"({"marker":"innocent"})");
        BOOST_TEST(other.status_ == 200u, other.body_);
    }
    BOOST_TEST(crashes == crashesUntilBlocked);
    stop = true;
    platform.join();
}

} // namespace
