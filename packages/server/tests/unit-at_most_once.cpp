// Covers at most once with real processes: kills, lost answers, two entries, settling.
#include "process_fixture.hpp"

#include <fstream>
#include <future>
#include <thread>

namespace {

using namespace standins;

BOOST_AUTO_TEST_CASE(same_key_at_both_entries_at_once_runs_once)
{
    TestTown town("amo-two-entries");
    std::vector<std::future<CallerAnswer>> answers;
    const std::string key = newKey("both");
    for (int i = 0; i < 12; ++i) {
        const std::string entry = i % 2 == 0 ? "e1" : "e2";
        answers.push_back(
            std::async(std::launch::async, [&, entry] { return town.order(entry, "both", key); }));
    }
    for (auto &answer : answers) {
        const CallerAnswer got = answer.get();
        BOOST_TEST(got.status_ == 200u, got.body_);
        BOOST_TEST(got.body_.find("\"both\"") != std::string::npos);
    }
    BOOST_TEST(town.runs("both") == 1);
    const CallerAnswer other = town.order("e2", "another body", key);
    BOOST_TEST(other.status_ == 409u);
    BOOST_TEST(TestTown::errorId(other) == "CS-2008");
    BOOST_TEST(town.runs("another body") == 0);
    const CallerAnswer old = town.order("e1", "old", "1000000000-old");
    BOOST_TEST(TestTown::errorId(old) == "CS-2009");
    BOOST_TEST(town.runs("old") == 0);
}

BOOST_AUTO_TEST_CASE(killed_entry_leaves_a_record_that_answers_the_resend)
{
    TestTown town("amo-entry-killed");
    for (const char *upstream : {"booking-1", "booking-2"})
        town.fleet_.fault(upstream, R"({"slow": 60})");
    const std::string key = newKey("resent");
    auto first = std::async(std::launch::async, [&] { return town.order("e1", "resent", key); });
    while (town.runs("resent") == 0)
        std::this_thread::sleep_for(milliseconds(5));
    town.fleet_.signal("e1", SIGKILL);
    BOOST_TEST(first.get().status_ == 0u);
    const CallerAnswer resend = town.order("e2", "resent", key);
    BOOST_TEST(resend.status_ == 200u, resend.body_);
    BOOST_TEST(town.runs("resent") == 1);
}

// Kills entries at random moments, between commit and dispatch among them.
BOOST_AUTO_TEST_CASE(entries_killed_at_any_moment)
{
    TestTown town("amo-entry-any");
    for (int i = 0; i < 12; ++i) {
        const std::string marker = "any-" + std::to_string(i);
        const std::string key = newKey(marker);
        auto first = std::async(std::launch::async, [&] { return town.order("e1", marker, key); });
        std::this_thread::sleep_for(milliseconds(2 * i));
        town.fleet_.signal("e1", SIGKILL);
        const CallerAnswer lost = first.get();
        town.fleet_.waitForEnd("e1", processLimit);
        town.fleet_.restart("e1");
        const CallerAnswer resend = town.order("e2", marker, key);
        BOOST_TEST(resend.status_ == 200u, marker << " " << resend.body_);
        BOOST_TEST(town.runs(marker) == 1, marker);
        BOOST_REQUIRE(town.fleet_.waitReady("e1", processLimit));
    }
}

BOOST_AUTO_TEST_CASE(killed_agent_leaves_an_unknown_outcome_for_the_operator)
{
    TestTown town("amo-agent-killed");
    for (const char *upstream : {"booking-1", "booking-2"})
        town.fleet_.fault(upstream, R"({"slow": 40})");
    const std::string key = newKey("unsure");
    auto first = std::async(std::launch::async, [&] { return town.order("e1", "unsure", key); });
    while (town.runs("unsure") == 0)
        std::this_thread::sleep_for(milliseconds(5));
    for (const char *agent : {"booking-1", "booking-2"}) {
        town.fleet_.signal(agent, SIGKILL);
        town.fleet_.waitForEnd(agent, processLimit);
        town.fleet_.restart(agent);
    }
    const CallerAnswer answer = first.get();
    BOOST_TEST(TestTown::errorId(answer) == "CS-3003", answer.body_);
    BOOST_TEST(TestTown::ran(answer) == "may_have_run");
    const CallerAnswer resend = town.order("e2", "unsure", key);
    BOOST_TEST(TestTown::errorId(resend) == "CS-3003", resend.body_);
    BOOST_TEST(town.runs("unsure") == 1);
    // The operator looks the order up at the service and settles it.
    BOOST_TEST(town.fleet_.ctl({"settle"}) == 0);
    BOOST_TEST(town.fleet_.lastOutput().find(key) != std::string::npos);
    BOOST_TEST(town.fleet_.ctl({"settle", "shop", "order", key, "ran", "{\"settled\":1}"}) == 0,
               town.fleet_.lastOutput());
    const CallerAnswer settled = town.order("e1", "unsure", key);
    BOOST_TEST(settled.status_ == 200u);
    BOOST_TEST(settled.body_ == "{\"settled\":1}");
    BOOST_TEST(town.runs("unsure") == 1);
}

BOOST_AUTO_TEST_CASE(leader_killed_in_the_middle)
{
    TestTown town("amo-leader-killed");
    std::vector<std::future<CallerAnswer>> answers;
    for (int i = 0; i < 20; ++i) {
        const std::string marker = "mid-" + std::to_string(i);
        answers.push_back(std::async(std::launch::async, [&town, marker] {
            return town.order("e1", marker, newKey(marker));
        }));
        if (i == 10)
            town.fleet_.signal(town.fleet_.leader(), SIGKILL);
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const CallerAnswer answer = answers[i].get();
        const int runs = town.runs("mid-" + std::to_string(i));
        BOOST_TEST(answer.status_ == 200u, answer.body_);
        BOOST_TEST(runs == 1);
    }
}

BOOST_AUTO_TEST_CASE(refusals_that_say_not_run_are_true)
{
    TestTown town("amo-not-run");
    for (const char *upstream : {"booking-1", "booking-2"})
        town.fleet_.fault(upstream, R"({"slow": 30})");
    std::vector<std::future<CallerAnswer>> answers;
    for (int i = 0; i < 40; ++i) {
        const std::string marker = "tight-" + std::to_string(i);
        answers.push_back(std::async(std::launch::async, [&town, marker] {
            return town.fleet_.call("e1", "bare-order", "shop", "{\"marker\":\"" + marker + "\"}",
                                    newKey(marker), milliseconds(700));
        }));
    }
    int notRun = 0;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const CallerAnswer answer = answers[i].get();
        const int runs = town.runs("tight-" + std::to_string(i));
        BOOST_TEST(runs <= 1);
        if (TestTown::ran(answer) != "not_run")
            continue;
        ++notRun;
        BOOST_TEST(runs == 0, answer.body_);
    }
    BOOST_TEST(notRun > 0);
}

BOOST_AUTO_TEST_CASE(frozen_agent_wakes_and_runs_nothing_that_was_given_up)
{
    TestTown town("amo-frozen");
    for (const char *agent : {"booking-1", "booking-2"})
        town.fleet_.signal(agent, SIGSTOP);
    const std::string key = newKey("frozen");
    const CallerAnswer answer = town.order("e1", "frozen", key, milliseconds(1500));
    BOOST_TEST(answer.status_ != 200u);
    for (const char *agent : {"booking-1", "booking-2"})
        town.fleet_.signal(agent, SIGCONT);
    BOOST_REQUIRE(town.fleet_.waitServing(6, processLimit));
    std::this_thread::sleep_for(milliseconds(500));
    BOOST_TEST(town.runs("frozen") == 0);
    const CallerAnswer resend = town.order("e2", "frozen", key);
    BOOST_TEST(resend.status_ == 200u, resend.body_);
    BOOST_TEST(town.runs("frozen") == 1);
}

} // namespace
