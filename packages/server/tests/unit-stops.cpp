// Covers leaving and planned stops: rolling restart of every process under load, streams included;
// and a request that crashes upstreams.
#include "process_fixture.hpp"

#include <atomic>
#include <future>
#include <thread>

namespace {

using namespace standins;

// Sends to the entry that is ready, as the platform's balancer does.
class Balancer
{
public:
    explicit Balancer(TestTown &town) : town_(town) { }

    void setReady(const std::string &entry, bool ready) { ready_[entry == "e1" ? 0 : 1] = ready; }

    std::string pick()
    {
        const std::size_t first = next_++ % 2;
        return ready_[first] ? name(first) : name(1 - first);
    }

    std::atomic<int> sent_ = 0;
    std::atomic<bool> stop_ = false;

    void run(int number, std::vector<std::string> &failures, std::mutex &mutex)
    {
        for (int i = 0; !stop_; ++i) {
            const std::string marker = "r" + std::to_string(number) + "-" + std::to_string(i);
            const std::string entry = pick();
            const bool stream = number % 2 == 0;
            const std::string body = "{\"marker\":\"" + marker + "\",\"max_tokens\":20}";
            const CallerAnswer answer = stream
                ? town_.fleet_.call(entry, "answer", "shop", body, "", milliseconds(0), true)
                : town_.order(entry, marker, newKey(marker));
            ++sent_;
            const bool whole = answer.status_ == 200
                && (!stream || (answer.events_.size() == 21 && answer.events_.back() == "[DONE]"));
            const bool once = stream || town_.runs(marker) == 1;
            if (whole && once)
                continue;
            const std::lock_guard lock(mutex);
            failures.push_back(marker + " at " + entry + ": " + std::to_string(answer.status_) + " "
                               + answer.body_ + " events " + std::to_string(answer.events_.size()));
        }
    }

private:
    static std::string name(std::size_t index) { return index == 0 ? "e1" : "e2"; }

    TestTown &town_;
    std::array<std::atomic<bool>, 2> ready_ = {true, true};
    std::atomic<std::size_t> next_ = 0;
};

void restartGracefully(TestTown &town, Balancer &balancer, const std::string &name)
{
    const bool entry = name[0] == 'e';
    if (entry)
        balancer.setReady(name, false);
    town.fleet_.signal(name, SIGTERM);
    BOOST_TEST(town.fleet_.waitForEnd(name, processLimit) == 0, name);
    town.fleet_.restart(name);
    if (entry) {
        BOOST_TEST(town.fleet_.waitReady(name, processLimit), name);
        balancer.setReady(name, true);
    }
}

BOOST_AUTO_TEST_CASE(rolling_restart_cuts_off_nothing)
{
    TestTown town("stops-rolling");
    Balancer balancer(town);
    std::vector<std::string> failures;
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i)
        callers.emplace_back([&, i] { balancer.run(i, failures, mutex); });
    for (const char *entry : {"e1", "e2"})
        restartGracefully(town, balancer, entry);
    for (const UpstreamSpec &spec : town.upstreams_) {
        restartGracefully(town, balancer, spec.name_);
        BOOST_TEST(town.fleet_.waitServing(6, processLimit), spec.name_);
        restartGracefully(town, balancer, "up-" + spec.name_);
        BOOST_TEST(town.fleet_.waitServing(6, processLimit), spec.name_);
    }
    for (const char *control : {"c1", "c2", "c3"}) {
        restartGracefully(town, balancer, control);
        BOOST_TEST(town.fleet_.waitReady(control, processLimit), control);
    }
    balancer.stop_ = true;
    for (std::thread &caller : callers)
        caller.join();
    for (const std::string &failure : failures)
        BOOST_ERROR(failure);
    BOOST_TEST_MESSAGE("requests during the rolling restart: " << balancer.sent_);
    BOOST_TEST(balancer.sent_ > 100);
}

// The first crash may hit innocent requests beside the culprit; they are run again, alone.
BOOST_AUTO_TEST_CASE(request_that_crashes_upstreams_is_stopped)
{
    constexpr int crashLimit = 3;
    TestTown town("stops-poison");
    for (const char *upstream : {"index-1", "index-2"})
        town.fleet_.fault(upstream, R"({"crash_on": "poison"})");
    std::atomic<bool> stop = false;
    std::atomic<int> crashes = 0;
    // The platform starts a dead upstream again, with the same fault.
    std::thread platform([&] {
        while (!stop) {
            for (const char *upstream : {"index-1", "index-2"}) {
                const std::string name = std::string("up-") + upstream;
                if (town.fleet_.running(name))
                    continue;
                ++crashes;
                town.fleet_.restart(name);
                while (town.fleet_.http(name, "POST", "/fault", R"({"crash_on": "poison"})").status_
                       != 200)
                    std::this_thread::sleep_for(milliseconds(10));
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
    });
    std::string last;
    for (int i = 0; i < 8 && last != "CS-2013"; ++i) {
        const std::string entry = i % 2 == 0 ? "e1" : "e2";
        last = TestTown::errorId(town.fleet_.call(entry, "note", "shop", R"({"marker":"poison"})",
                                                  "", milliseconds(3000)));
        std::this_thread::sleep_for(milliseconds(300));
    }
    BOOST_TEST(last == "CS-2013");
    const int crashesUntilKnown = crashes;
    BOOST_TEST(crashesUntilKnown <= crashLimit);
    BOOST_REQUIRE(town.fleet_.waitServing(6, processLimit));
    for (int i = 0; i < 20; ++i) {
        const std::string entry = i % 2 == 0 ? "e1" : "e2";
        BOOST_TEST(
            TestTown::errorId(town.fleet_.call(entry, "note", "shop", R"({"marker":"poison"})"))
            == "CS-2013");
        const CallerAnswer innocent =
            town.fleet_.call(entry, "note", "shop", R"({"marker":"innocent"})");
        BOOST_TEST(innocent.status_ == 200u, innocent.body_);
    }
    BOOST_TEST(crashes == crashesUntilKnown);
    stop = true;
    platform.join();
}

} // namespace
