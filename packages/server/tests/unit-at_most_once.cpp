// Tests at-most-once execution with real processes: killed processes, lost answers, the same key at
// two entries, and settling of unknown outcomes by an operator.
#include "process_fixture.hpp"

#include <fstream>
#include <future>
#include <thread>

namespace {

using namespace standins;

BOOST_AUTO_TEST_CASE(same_key_at_both_entries_at_once_runs_once)
{
    TestFleet fleet("amo-two-entries");
    std::vector<std::future<CallerAnswer>> answers;
    const std::string key = newKey("both");
    for (int i = 0; i < 12; ++i) {
        const std::string entry = i % 2 == 0 ? "e1" : "e2";
        answers.push_back(
            std::async(std::launch::async, [&, entry] { return fleet.order(entry, "both", key); }));
    }
    for (auto &answer : answers) {
        const CallerAnswer received = answer.get();
        BOOST_TEST(received.status_ == 200u, received.body_);
        BOOST_TEST(received.body_.find("\"both\"") != std::string::npos);
    }
    BOOST_TEST(fleet.runs("both") == 1);
    // The same key with another body is rejected.
    const CallerAnswer other = fleet.order("e2", "another body", key);
    BOOST_TEST(other.status_ == 409u);
    BOOST_TEST(TestFleet::errorId(other) == "CS-2008");
    BOOST_TEST(fleet.runs("another body") == 0);
    // A key that is older than the retention of records is rejected.
    const CallerAnswer old = fleet.order("e1", "old", "1000000000-old");
    BOOST_TEST(TestFleet::errorId(old) == "CS-2009");
    BOOST_TEST(fleet.runs("old") == 0);
}

BOOST_AUTO_TEST_CASE(resend_after_entry_kill_is_answered_from_the_record)
{
    TestFleet fleet("amo-entry-killed");
    for (const char *upstream : {"booking-1", "booking-2"})
        fleet.fixture_.fault(upstream, R"({"slow": 60})");
    const std::string key = newKey("resent");
    auto first = std::async(std::launch::async, [&] { return fleet.order("e1", "resent", key); });
    while (fleet.runs("resent") == 0)
        std::this_thread::sleep_for(milliseconds(5));
    fleet.fixture_.signal("e1", SIGKILL);
    BOOST_TEST(first.get().status_ == 0u);
    const CallerAnswer resend = fleet.order("e2", "resent", key);
    BOOST_TEST(resend.status_ == 200u, resend.body_);
    BOOST_TEST(fleet.runs("resent") == 1);
}

// Kills an entry at increasing delays, so that some kills hit between commit and dispatch.
BOOST_AUTO_TEST_CASE(entry_killed_at_varied_times_runs_each_order_once)
{
    TestFleet fleet("amo-entry-any");
    for (int i = 0; i < 12; ++i) {
        const std::string marker = "any-" + std::to_string(i);
        const std::string key = newKey(marker);
        auto first = std::async(std::launch::async, [&] { return fleet.order("e1", marker, key); });
        std::this_thread::sleep_for(milliseconds(2 * i));
        fleet.fixture_.signal("e1", SIGKILL);
        const CallerAnswer lost = first.get();
        fleet.fixture_.waitForEnd("e1", processTimeout);
        fleet.fixture_.restart("e1");
        const CallerAnswer resend = fleet.order("e2", marker, key);
        BOOST_TEST(resend.status_ == 200u, marker << " " << resend.body_);
        BOOST_TEST(fleet.runs(marker) == 1, marker);
        BOOST_REQUIRE(fleet.fixture_.waitReady("e1", processTimeout));
    }
}

BOOST_AUTO_TEST_CASE(killed_agent_leaves_an_unknown_outcome_for_the_operator)
{
    TestFleet fleet("amo-agent-killed");
    for (const char *upstream : {"booking-1", "booking-2"})
        fleet.fixture_.fault(upstream, R"({"slow": 40})");
    const std::string key = newKey("unsure");
    auto first = std::async(std::launch::async, [&] { return fleet.order("e1", "unsure", key); });
    while (fleet.runs("unsure") == 0)
        std::this_thread::sleep_for(milliseconds(5));
    for (const char *agent : {"booking-1", "booking-2"}) {
        fleet.fixture_.signal(agent, SIGKILL);
        fleet.fixture_.waitForEnd(agent, processTimeout);
        fleet.fixture_.restart(agent);
    }
    const CallerAnswer answer = first.get();
    BOOST_TEST(TestFleet::errorId(answer) == "CS-3003", answer.body_);
    BOOST_TEST(TestFleet::ran(answer) == "may_have_run");
    const CallerAnswer resend = fleet.order("e2", "unsure", key);
    BOOST_TEST(TestFleet::errorId(resend) == "CS-3003", resend.body_);
    BOOST_TEST(fleet.runs("unsure") == 1);
    // An operator checks the outcome at the service and settles the record.
    BOOST_TEST(fleet.fixture_.ctl({"settle"}) == 0);
    BOOST_TEST(fleet.fixture_.lastOutput().find(key) != std::string::npos);
    BOOST_TEST(fleet.fixture_.ctl({"settle", "shop", "order", key, "ran", "{\"settled\":1}"}) == 0,
               fleet.fixture_.lastOutput());
    const CallerAnswer settled = fleet.order("e1", "unsure", key);
    BOOST_TEST(settled.status_ == 200u);
    BOOST_TEST(settled.body_ == "{\"settled\":1}");
    BOOST_TEST(fleet.runs("unsure") == 1);
}

BOOST_AUTO_TEST_CASE(requests_run_once_although_the_leader_is_killed)
{
    TestFleet fleet("amo-leader-killed");
    std::vector<std::future<CallerAnswer>> answers;
    for (int i = 0; i < 20; ++i) {
        const std::string marker = "mid-" + std::to_string(i);
        answers.push_back(std::async(std::launch::async, [&fleet, marker] {
            return fleet.order("e1", marker, newKey(marker));
        }));
        if (i == 10)
            fleet.fixture_.signal(fleet.fixture_.leader(), SIGKILL);
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const CallerAnswer answer = answers[i].get();
        const int runs = fleet.runs("mid-" + std::to_string(i));
        BOOST_TEST(answer.status_ == 200u, answer.body_);
        BOOST_TEST(runs == 1);
    }
}

BOOST_AUTO_TEST_CASE(requests_reported_as_not_run_did_not_run)
{
    TestFleet fleet("amo-not-run");
    for (const char *upstream : {"booking-1", "booking-2"})
        fleet.fixture_.fault(upstream, R"({"slow": 30})");
    std::vector<std::future<CallerAnswer>> answers;
    for (int i = 0; i < 40; ++i) {
        const std::string marker = "tight-" + std::to_string(i);
        answers.push_back(std::async(std::launch::async, [&fleet, marker] {
            return fleet.fixture_.call("e1", "bare-order", "shop",
                                       "{\"marker\":\"" + marker + "\"}", newKey(marker),
                                       milliseconds(700));
        }));
    }
    int notRun = 0;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const CallerAnswer answer = answers[i].get();
        const int runs = fleet.runs("tight-" + std::to_string(i));
        BOOST_TEST(runs <= 1);
        if (TestFleet::ran(answer) != "not_run")
            continue;
        ++notRun;
        BOOST_TEST(runs == 0, answer.body_);
    }
    BOOST_TEST(notRun > 0);
}

BOOST_AUTO_TEST_CASE(resumed_agent_does_not_run_abandoned_requests)
{
    TestFleet fleet("amo-frozen");
    for (const char *agent : {"booking-1", "booking-2"})
        fleet.fixture_.signal(agent, SIGSTOP);
    const std::string key = newKey("frozen");
    const CallerAnswer answer = fleet.order("e1", "frozen", key, milliseconds(1500));
    BOOST_TEST(answer.status_ != 200u);
    for (const char *agent : {"booking-1", "booking-2"})
        fleet.fixture_.signal(agent, SIGCONT);
    BOOST_REQUIRE(fleet.fixture_.waitServing(6, processTimeout));
    std::this_thread::sleep_for(milliseconds(500));
    BOOST_TEST(fleet.runs("frozen") == 0);
    const CallerAnswer resend = fleet.order("e2", "frozen", key);
    BOOST_TEST(resend.status_ == 200u, resend.body_);
    BOOST_TEST(fleet.runs("frozen") == 1);
}

} // namespace
